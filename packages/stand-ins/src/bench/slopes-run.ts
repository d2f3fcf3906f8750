/**
 * A running fleet of the slopes experiment: its child processes, its platform and its publisher.
 */
import { fork, type ChildProcess } from 'node:child_process'
import { createEtcdKeyValue, publishManifest, splitManifest, type KeyValuePort } from '@wigeonlead/protocol'
import { createSystemRandom } from 'wigeonlead'
import { loopbackVm } from '../platform/server.js'
import { createSlopeManifest, slopeDomain } from './slopes-manifest.js'
import { askChild, type FleetNode, type FleetSample, type PlatformAddresses } from './slopes-messages.js'
import type { Point } from './slopes-points.js'

/** Publishes small changes of one manifest. */
export interface Publisher {
  /** Publishes a change. @returns when it was accepted, milliseconds since 1970. */
  publish: () => Promise<number>
  generation: () => number
  kilobytes: () => number
}

/** A fleet that runs. */
export interface RunningFleet {
  /** Processes of nodes, each with neighbours of one failure domain where the point's nodes divide that way. */
  processes: ChildProcess[]
  platform: PlatformAddresses
  publisher: Publisher
  /** Addresses of the peers' listeners of each process. */
  addresses: string[][]
  seeds: string[]
  /** @returns when the last of these processes had the publisher's generation in force, milliseconds since 1970. */
  whenInForce: (processes: ChildProcess[]) => Promise<number>
  /** Starts one more node in a process of its own. */
  addNode: (node: FleetNode) => Promise<ChildProcess>
  stop: () => void
}

const REACHED_TIMEOUT_MILLISECONDS = 20_000

/** Starts a fleet and waits until its first manifest is in force. */
export async function startFleet (point: Point): Promise<RunningFleet> {
  const platformProcess = forkChild('slopes-platform.js')
  const processes: ChildProcess[] = []
  const stop = (): void => { for (const child of [...processes, platformProcess]) child.disconnect() }
  try {
    const platform = await askChild(platformProcess, 'platform', { engines: point.targets, models: point.models })
    const opened = await openNodes(point, processes)
    const all = opened.flat()
    await askChild(platformProcess, 'vms', {
      vms: all.map(({ node, address }) => loopbackVm(node.vm, node.failureDomain, Number(address.split(':')[1])))
    })
    const seeds = all.filter((_, index) => index % point.nodesInDomain === 0).map(({ address }) => address)
    const publisher = createPublisher(point, platform)
    await publisher.publish()
    await askAll(processes, child => askChild(child, 'start', { platform, seeds }))
    const fleet: RunningFleet = {
      processes,
      platform,
      publisher,
      addresses: opened.map(nodes => nodes.map(({ address }) => address)),
      seeds,
      whenInForce: given => whenInForce(given, publisher.generation()),
      async addNode (node) {
        const child = forkChild('slopes-fleet.js')
        processes.push(child)
        await askChild(child, 'open', { nodes: [node] })
        return child
      },
      stop
    }
    await fleet.whenInForce(processes)
    return fleet
  } catch (error) {
    stop()
    throw error
  }
}

/** Asks every process at once. */
export function askAll<T> (processes: ChildProcess[], ask: (child: ChildProcess) => Promise<T>): Promise<T[]> {
  return Promise.all(processes.map(ask))
}

/** Measures every process at once. */
export function measureAll (processes: ChildProcess[], milliseconds: number): Promise<FleetSample[]> {
  return askAll(processes, child => askChild(child, 'measure', { milliseconds }))
}

/** @returns the latest time, or NaN where one did not come. */
export function latest (times: Array<number | null>): number {
  return Math.max(...times.map(time => time ?? NaN))
}

/** Waits on the runtime's clock. */
export function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

async function whenInForce (processes: ChildProcess[], generation: number): Promise<number> {
  const wanted = { generation, timeoutMilliseconds: REACHED_TIMEOUT_MILLISECONDS }
  return latest(await askAll(processes, child => askChild(child, 'reached', wanted)))
}

async function openNodes (point: Point, processes: ChildProcess[]): Promise<Array<Array<{ node: FleetNode, address: string }>>> {
  const nodes: FleetNode[] = Array.from({ length: point.failureDomains * point.nodesInDomain }, (_, index) => ({
    vm: `entry-${index}`, failureDomain: slopeDomain(Math.floor(index / point.nodesInDomain))
  }))
  const opened: Array<Array<{ node: FleetNode, address: string }>> = []
  for (let start = 0; start < nodes.length; start += point.nodesPerProcess) {
    const child = forkChild('slopes-fleet.js')
    processes.push(child)
    const own = nodes.slice(start, start + point.nodesPerProcess)
    const addresses = await askChild(child, 'open', { nodes: own })
    opened.push(own.map((node, index) => ({ node, address: addresses[index] ?? '' })))
  }
  return opened
}

function createPublisher (point: Point, platform: PlatformAddresses): Publisher {
  const keyValue: KeyValuePort = createEtcdKeyValue({ endpoints: [`http://${platform.keyValue}`] })
  const random = createSystemRandom()
  let generation = 0
  let kilobytes = 0
  return {
    async publish () {
      const manifest = createSlopeManifest(point, platform.engines, generation)
      const outcome = await publishManifest(keyValue, random, manifest)
      if (!('head' in outcome)) throw new Error(`publishing ended with ${outcome.kind}`)
      generation = outcome.head.generation
      kilobytes = splitManifest(manifest).reduce((sum, part) => sum + part.content.length, 0) / 1000
      return Date.now()
    },
    generation: () => generation,
    kilobytes: () => kilobytes
  }
}

function forkChild (file: string): ChildProcess {
  return fork(new URL(file, import.meta.url), { execArgv: ['--expose-gc'] })
}
