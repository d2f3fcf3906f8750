/**
 * A running fleet of the slopes experiment: its child processes, its platform and its publisher.
 */
import { fork, type ChildProcess } from 'node:child_process'
import { createEtcdKeyValue, publishManifest, splitManifest, type KeyValuePort } from '@wigeonlead/protocol'
import { createSystemRandom } from 'wigeonlead'
import { loopbackVm } from '../platform/server.js'
import { createSlopeManifest, failureDomainName } from './slopes-manifest.js'
import { callChild, type FleetNode, type ProcessSample, type PlatformAddresses } from './slopes-messages.js'
import type { Point } from './slopes-points.js'

/** Publishes a manifest repeatedly, each time with a small change. */
export interface Publisher {
  /** Publishes the next revision. @returns when it was accepted, milliseconds since 1970. */
  publish: () => Promise<number>
  generation: () => number
  manifestKilobytes: () => number
}

/** A running fleet. */
export interface RunningFleet {
  /** Processes that run the nodes, in order: each has nodes of one failure domain only, if nodesPerProcess divides nodesInDomain. */
  processes: ChildProcess[]
  platform: PlatformAddresses
  publisher: Publisher
  /** Addresses of the peer listeners, by process. */
  addresses: string[][]
  seeds: string[]
  /**
   * Waits until the publisher's generation is in force in the given processes.
   * @returns when it was in force in the last one, milliseconds since 1970; NaN after the timeout.
   */
  waitUntilInForce: (processes: ChildProcess[]) => Promise<number>
  /** Opens the peer listener of one more node in a process of its own; the `start` message to this process then starts its router. */
  addNode: (node: FleetNode) => Promise<ChildProcess>
  stop: () => void
}

const IN_FORCE_TIMEOUT_MILLISECONDS = 20_000

/** Starts a fleet and waits until its first manifest is in force. */
export async function startFleet (point: Point): Promise<RunningFleet> {
  const platformProcess = forkChild('slopes-platform.js')
  const processes: ChildProcess[] = []
  const stop = (): void => { for (const child of [...processes, platformProcess]) child.disconnect() }
  try {
    const platform = await callChild(platformProcess, 'platform', { engines: point.targets, models: point.models })
    const nodesByProcess = await openNodes(point, processes)
    const allNodes = nodesByProcess.flat()
    await callChild(platformProcess, 'vms', {
      vms: allNodes.map(({ node, address }) => loopbackVm(node.vm, node.failureDomain, Number(address.split(':')[1])))
    })
    const seeds = allNodes.filter((_, index) => index % point.nodesInDomain === 0).map(({ address }) => address)
    const publisher = createPublisher(point, platform)
    await publisher.publish()
    await callAll(processes, child => callChild(child, 'start', { platform, seeds }))
    const fleet: RunningFleet = {
      processes,
      platform,
      publisher,
      addresses: nodesByProcess.map(nodes => nodes.map(({ address }) => address)),
      seeds,
      waitUntilInForce: awaitedProcesses => waitUntilInForce(awaitedProcesses, publisher.generation()),
      async addNode (node) {
        const child = forkChild('slopes-fleet.js')
        processes.push(child)
        await callChild(child, 'open', { nodes: [node] })
        return child
      },
      stop
    }
    await fleet.waitUntilInForce(processes)
    return fleet
  } catch (error) {
    stop()
    throw error
  }
}

/** Calls all processes concurrently. */
export function callAll<T> (processes: ChildProcess[], call: (child: ChildProcess) => Promise<T>): Promise<T[]> {
  return Promise.all(processes.map(call))
}

/** Measures all processes over the same time. */
export function measureAll (processes: ChildProcess[], milliseconds: number): Promise<ProcessSample[]> {
  return callAll(processes, child => callChild(child, 'measure', { milliseconds }))
}

/** @returns the latest of the times, or NaN if one of them is null because its wait timed out. */
export function latestTime (times: Array<number | null>): number {
  return Math.max(...times.map(time => time ?? NaN))
}

/** Waits on the real clock. */
export function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

async function waitUntilInForce (processes: ChildProcess[], generation: number): Promise<number> {
  const parameters = { generation, timeoutMilliseconds: IN_FORCE_TIMEOUT_MILLISECONDS }
  return latestTime(await callAll(processes, child => callChild(child, 'reached', parameters)))
}

async function openNodes (point: Point, processes: ChildProcess[]): Promise<Array<Array<{ node: FleetNode, address: string }>>> {
  const nodes: FleetNode[] = Array.from({ length: point.failureDomains * point.nodesInDomain }, (_, index) => ({
    vm: `entry-${index}`, failureDomain: failureDomainName(Math.floor(index / point.nodesInDomain))
  }))
  const nodesByProcess: Array<Array<{ node: FleetNode, address: string }>> = []
  for (let start = 0; start < nodes.length; start += point.nodesPerProcess) {
    const child = forkChild('slopes-fleet.js')
    processes.push(child)
    const processNodes = nodes.slice(start, start + point.nodesPerProcess)
    const addresses = await callChild(child, 'open', { nodes: processNodes })
    nodesByProcess.push(processNodes.map((node, index) => ({ node, address: addresses[index] ?? '' })))
  }
  return nodesByProcess
}

function createPublisher (point: Point, platform: PlatformAddresses): Publisher {
  const keyValue: KeyValuePort = createEtcdKeyValue({ endpoints: [`http://${platform.keyValue}`] })
  const random = createSystemRandom()
  let generation = 0
  let manifestKilobytes = 0
  return {
    async publish () {
      const manifest = createSlopeManifest(point, platform.engines, generation)
      const outcome = await publishManifest(keyValue, random, manifest)
      if (!('head' in outcome)) throw new Error(`the manifest of the experiment was not accepted: ${outcome.kind}`)
      generation = outcome.head.generation
      manifestKilobytes = splitManifest(manifest).reduce((sum, part) => sum + part.content.length, 0) / 1000
      return Date.now()
    },
    generation: () => generation,
    manifestKilobytes: () => manifestKilobytes
  }
}

function forkChild (file: string): ChildProcess {
  return fork(new URL(file, import.meta.url), { execArgv: ['--expose-gc'] })
}
