/**
 * The environment of the configuration property: three nodes with the real modules, one key-value store and an in-memory peer network.
 */
import {
  CONFIGURATION_HEAD_KEY, VmState, parseHead, type ConfigurationHead, type KeyValueEntry, type KeyValuePort,
  type PublishOutcome, type VmEntry
} from '@wigeonlead/protocol'
import {
  KeyValueFault, createKeyValueStore, createMemoryKeyValue, createMemoryPeerNetwork, type KeyValueStore, type MemoryPeerNetwork,
  type PausedClock
} from '@wigeonlead/stand-ins'
import { createConfiguration, type Configuration } from '../../src/process/configuration/index.js'
import { SILENT_LOGGER } from '../../src/process/logging.js'
import { createMembership, type Membership } from '../../src/process/membership/index.js'
import { createSeededRandom } from '../../src/process/random.js'

/** Addresses of the nodes; the first two are in the same failure domain. */
export const NODES = ['10.0.0.1:7000', '10.0.0.2:7000', '10.0.1.1:7000']

/** Prefix of the nonces that publishers create. */
export const PUBLISHER_NONCE_PREFIX = 'publisher-'

/** A node of the world. */
export interface Node {
  configuration: Configuration
  membership: Membership
  /** Nonces of the heads that were in force at this node, and of their ancestors. */
  held: Set<string>
  /** Whether the node can't reach the key-value service. */
  isCut: boolean
  /** Old entry that the node reads instead of the stored head. */
  staleEntry?: KeyValueEntry
}

/** The nodes, their environment and what the publishers observed. */
export interface World {
  clock: PausedClock
  store: KeyValueStore
  network: MemoryPeerNetwork
  nodes: Node[]
  /** Heads written by publishers, in order, without those that a restore removed before any node had them. */
  survivingHeads: ConfigurationHead[]
  /** Nonces of all heads written by publishers. */
  committedNonces: Set<string>
  /** Outcomes that publishers got. */
  outcomes: Array<{ nonce: string, outcome: PublishOutcome }>
  snapshot?: { entries: KeyValueEntry[], revision: number }
  violations: string[]
  nonceCount: number
  startCount: number
}

/** Starts the nodes with an empty key-value store. */
export function createWorld (clock: PausedClock): World {
  const world: World = {
    clock,
    store: createKeyValueStore(),
    network: createMemoryPeerNetwork({ delayMilliseconds: () => 1 }),
    nodes: [],
    survivingHeads: [],
    committedNonces: new Set(),
    outcomes: [],
    violations: [],
    nonceCount: 0,
    startCount: 0
  }
  recordCommits(world)
  NODES.forEach((_, index) => startNode(world, index))
  return world
}

/** Returns whether a partition separates two nodes; each bit of `pairs` stands for one pair of nodes. */
export function isCut (pairs: number, from: string, to: string): boolean {
  const bit = NODES.indexOf(from) + NODES.indexOf(to) - 1
  return (pairs >> bit) % 2 === 1
}

function startNode (world: World, index: number): void {
  const address = NODES[index] as string
  const random = createSeededRandom(1000 + world.startCount++)
  const peers = world.network.port(address)
  const vmList = { list: async () => ({ ok: true as const, value: NODES.map(toVm) }) }
  const state: Pick<Node, 'held' | 'isCut'> & Partial<Node> = { held: new Set(), isCut: false }
  const membership = createMembership({
    peers,
    address,
    vm: address,
    failureDomain: toVm(address).failureDomain,
    seeds: [],
    generation: () => state.configuration?.current()?.head.generation ?? 0,
    random,
    vmList,
    logger: SILENT_LOGGER
  })
  const started: Node = Object.assign(state, {
    membership,
    configuration: createConfiguration({
      keyValue: nodePort(world, state), peers, membership, vmList, seeds: [], random, logger: SILENT_LOGGER
    })
  })
  let generation = 0
  started.configuration.onChange(({ head }) => {
    if (head.generation <= generation) world.violations.push(`the generation went from ${generation} to ${head.generation}`)
    generation = head.generation
    for (const nonce of [head.nonce, ...(head.ancestors ?? []).map(ancestor => ancestor.nonce)]) started.held.add(nonce)
  })
  peers.serve({ ...membership.handlers, ...started.configuration.handlers })
  world.nodes[index] = started
  membership.start()
  started.configuration.start()
}

function toVm (address: string): VmEntry {
  const [host = '', port] = address.split(':')
  const failureDomain = host.startsWith('10.0.0') ? 'howrah' : 'salt-lake'
  return { name: address, address: host, failureDomain, state: VmState.Live, peerPort: Number(port) }
}

/** Returns a node's port to the store, which can be cut off or return stale heads, and which delivers every watch event twice. */
function nodePort (world: World, state: { isCut: boolean, staleEntry?: KeyValueEntry }): KeyValuePort {
  const port = createMemoryKeyValue(world.store, { fault: () => state.isCut ? KeyValueFault.Unreachable : undefined })
  return {
    ...port,
    async get (key) {
      const read = await port.get(key)
      const isStale = read.ok && key === CONFIGURATION_HEAD_KEY && state.staleEntry !== undefined
      return isStale ? { ok: true, value: { ...read.value, entry: state.staleEntry } } : read
    },
    async * watch (key, afterRevision, signal) {
      for await (const events of port.watch(key, afterRevision, signal)) {
        if (state.isCut) return
        yield events
        yield events
      }
    }
  }
}

function recordCommits (world: World): void {
  const { compareAndSwap } = world.store
  world.store.compareAndSwap = write => {
    const result = compareAndSwap(write)
    const isHead = write.key === CONFIGURATION_HEAD_KEY && write.value !== undefined
    const head = isHead ? JSON.parse(write.value ?? '') as ConfigurationHead : undefined
    if (result.committed && head !== undefined && head.nonce.startsWith(PUBLISHER_NONCE_PREFIX)) {
      world.survivingHeads.push(head)
      world.committedNonces.add(head.nonce)
    }
    return result
  }
}

/** Restarts a node without its earlier state. */
export function restart (world: World, index: number): void {
  const old = world.nodes[index] as Node
  old.configuration.stop()
  old.membership.stop()
  old.held.clear()
  world.network.remove(NODES[index] as string)
  world.network.resume(NODES[index] as string)
  dropLostHeads(world)
  startNode(world, index)
}

/** Ends all faults: partitions, cut-off and paused nodes, and stale reads. */
export function heal (world: World): void {
  world.network.heal()
  world.nodes.forEach((node, index) => {
    node.isCut = false
    node.staleEntry = undefined
    world.network.resume(NODES[index] as string)
  })
}

/** Restores the key-value store from the last snapshot, if there is one. */
export function restore (world: World): void {
  if (world.snapshot === undefined) return
  world.store.restore(world.snapshot.entries, world.snapshot.revision)
  dropLostHeads(world)
}

/** Removes the heads that neither the key-value service nor any live node has, since no implementation could recover them. */
function dropLostHeads (world: World): void {
  const stored = headInStore(world)
  const knownToNodes = world.nodes.flatMap(node => [...node.held])
  const survivingNonces = new Set([...knownToNodes, stored?.nonce, ...(stored?.ancestors ?? []).map(({ nonce }) => nonce)])
  world.survivingHeads = world.survivingHeads.filter(head => survivingNonces.has(head.nonce))
}

export function headInStore (world: World): ConfigurationHead | undefined {
  const entry = world.store.get(CONFIGURATION_HEAD_KEY)
  return entry === undefined ? undefined : parseHead(entry)
}
