/**
 * Experiment: how long a published change takes to be in force on every router of a fleet, by the channels over which it can spread.
 * Routers share one process and a paused clock; peers and platform are in memory, and a call between peers takes a millisecond.
 */
import {
  VmState, digestText, manifestSchema, publishManifest, type EnginePort, type KeyValuePort, type ServicePort, type VmEntry
} from '@wigeonlead/protocol'
import { createRouter, createSeededRandom, settingsSchema, type Router } from 'wigeonlead'
import { createMemoryEngines } from '../engine/memory.js'
import { withPausedClock, type PausedClock } from '../paused-clock.js'
import { createMemoryPeerNetwork, type MemoryPeerNetwork } from '../peers/memory.js'
import { KeyValueFault, createMemoryKeyValue } from '../platform/memory.js'
import { createKeyValueStore, type KeyValueStore } from '../platform/store.js'
import type { Cell, Experiment } from './experiment.js'

const FAILURE_DOMAINS = 11
/** Nodes in each failure domain of the measured fleets. */
const NODES_PER_DOMAIN = [3, 14, 42]
const QUICK_NODES_PER_DOMAIN = [3]
const SETTLE_MILLISECONDS = 25_000
const STEP_MILLISECONDS = 50
const TIMEOUT_MILLISECONDS = 30_000
const GOAL_MILLISECONDS = 9000
const PUBLISHES_PER_CASE = 3

interface Fleet {
  clock: PausedClock
  store: KeyValueStore
  network: MemoryPeerNetwork
  routers: Router[]
  /** Whether a node can reach the key-value service. */
  canReachKeyValue: (node: number) => boolean
  /** Whether watches of the key-value service deliver events. */
  hasWatches: boolean
  generation: number
}

/** The cases, by their names in the results. Each function disables some channels of a fleet. */
const CASES: Record<string, (fleet: Fleet) => void> = {
  'all ways': () => {},
  'no watch': fleet => { fleet.hasWatches = false },
  'gossip from one node': fleet => { fleet.canReachKeyValue = node => node === 0 },
  'polls alone': fleet => {
    fleet.hasWatches = false
    fleet.network.partition(() => true)
  }
}

/** Measures each case in fleets of several sizes. */
export const spreadExperiment: Experiment = {
  summary: 'time until a published change is in force on every router, by the channels over which it can spread',
  async run ({ seed, quick }) {
    const rows: Cell[][] = []
    for (const size of quick ? QUICK_NODES_PER_DOMAIN : NODES_PER_DOMAIN) {
      for (const [name, apply] of Object.entries(CASES)) rows.push([name, FAILURE_DOMAINS * size, ...await measureCase(size, seed, apply)])
    }
    const worst = Math.max(...rows.map(row => Number(row[3])))
    return {
      columns: ['way', 'nodes', 'median_ms', 'slowest_ms', 'bytes_a_second_a_node'],
      rows,
      notes: [`goal: ${GOAL_MILLISECONDS} ms at 460 nodes by each way; slowest seen ${worst} ms; ${PUBLISHES_PER_CASE} publishes of each way`]
    }
  }
}

function measureCase (nodesPerDomain: number, seed: number, disableChannels: (fleet: Fleet) => void): Promise<Cell[]> {
  return withPausedClock(async clock => {
    const fleet = startFleet(clock, nodesPerDomain, seed)
    await clock.advance(SETTLE_MILLISECONDS)
    await publish(fleet)
    disableChannels(fleet)
    const times: number[] = []
    const bytesBefore = countBytes(fleet)
    const startedAt = clock.now()
    for (let count = 0; count < PUBLISHES_PER_CASE; count += 1) {
      times.push(await publish(fleet))
      await clock.advance(TIMEOUT_MILLISECONDS / 10 + 777)
    }
    const bytes = (countBytes(fleet) - bytesBefore) / fleet.routers.length / ((clock.now() - startedAt) / 1000)
    for (const router of fleet.routers) router.halt()
    times.sort((left, right) => left - right)
    return [times[Math.floor(times.length / 2)] ?? 0, times.at(-1) ?? 0, Math.round(bytes)]
  })
}

function startFleet (clock: PausedClock, nodesPerDomain: number, seed: number): Fleet {
  const network = createMemoryPeerNetwork({ delayMilliseconds: () => 1 })
  const fleet: Fleet = {
    clock, store: createKeyValueStore(), network, routers: [], canReachKeyValue: () => true, hasWatches: true, generation: 0
  }
  const vms: VmEntry[] = Array.from({ length: FAILURE_DOMAINS * nodesPerDomain }, (_, node) => ({
    name: `entry-${node}`,
    address: `10.${Math.floor(node / nodesPerDomain)}.0.${node % nodesPerDomain}`,
    failureDomain: `domain-${Math.floor(node / nodesPerDomain)}`,
    state: VmState.Live,
    peerPort: 7000
  }))
  fleet.routers = vms.map((vm, node) => startRouter(fleet, vms, vm, seed * 10_000 + node, node))
  return fleet
}

function startRouter (fleet: Fleet, vms: VmEntry[], vm: VmEntry, seed: number, node: number): Router {
  const address = `${vm.address}:${vm.peerPort}`
  const settings = settingsSchema.parse({
    node: { vm: vm.name, failureDomain: vm.failureDomain },
    listen: { callers: '127.0.0.1:1', operators: '127.0.0.1:2', peers: address },
    platform: { keyValue: ['http://in-memory'], vmList: 'http://in-memory' },
    peers: { secrets: [{ id: 'first', value: 'a secret of the experiment only' }] },
    operators: { tokenDigests: [digestText('experiment')] }
  })
  const router = createRouter(settings, {
    keyValue: createNodeKeyValue(fleet, node),
    vmList: { list: async () => ({ ok: true, value: vms }) },
    engines: NO_ENGINES,
    services: NO_SERVICES,
    peers: fleet.network.port(address),
    random: createSeededRandom(seed)
  })
  router.start()
  return router
}

const NO_ENGINES: EnginePort = createMemoryEngines(new Map())
const NO_SERVICES: ServicePort = { call: () => Promise.reject(new Error('the experiment has no services')) }

function createNodeKeyValue (fleet: Fleet, node: number): KeyValuePort {
  const port = createMemoryKeyValue(fleet.store, { fault: () => fleet.canReachKeyValue(node) ? undefined : KeyValueFault.Unreachable })
  return {
    ...port,
    async * watch (key, afterRevision, signal) {
      for await (const events of port.watch(key, afterRevision, signal)) {
        if (!fleet.hasWatches || !fleet.canReachKeyValue(node)) return
        yield events
      }
    }
  }
}

/** Publishes a change. @returns the time until it is in force on every router, or the timeout, milliseconds. */
async function publish (fleet: Fleet): Promise<number> {
  fleet.generation += 1
  const workspaces = [{ name: `workspace-${fleet.generation}`, keyDigests: [digestText('key')] }]
  const manifest = manifestSchema.parse({ format: 1, failureDomains: ['domain-0'], workspaces })
  const publishing = publishManifest(createMemoryKeyValue(fleet.store), createSeededRandom(1), manifest)
  await fleet.clock.advance(1)
  await publishing
  const startedAt = fleet.clock.now()
  const isInForce = (): boolean => fleet.routers.every(router => router.status().member.generation === fleet.generation)
  while (!isInForce() && fleet.clock.now() - startedAt < TIMEOUT_MILLISECONDS) await fleet.clock.advance(STEP_MILLISECONDS)
  return fleet.clock.now() - startedAt
}

function countBytes ({ network, routers }: Fleet): number {
  return routers.reduce((sum, router) => {
    const { sentBytes, receivedBytes } = network.traffic(router.status().member.address)
    return sum + sentBytes + receivedBytes
  }, 0)
}
