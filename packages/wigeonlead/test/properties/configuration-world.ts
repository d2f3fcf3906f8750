/**
 * What the property of the configuration acts on: three nodes of the real modules over one store and memory peers.
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

/** Addresses of the nodes, two in one failure domain. */
export const NODES = ['10.0.0.1:7000', '10.0.0.2:7000', '10.0.1.1:7000']

/** Begins the nonces of publishers. */
export const PUBLISHER = 'publisher-'

export interface Node {
  configuration: Configuration
  membership: Membership
  /** Nonces of the heads that were in force here and of their ancestors. */
  held: Set<string>
  isCut: boolean
  staleEntry?: KeyValueEntry
}

export interface World {
  clock: PausedClock
  store: KeyValueStore
  network: MemoryPeerNetwork
  nodes: Node[]
  /** Heads of publishers that took effect, in order, without those that a restore lost before any node had them. */
  standing: ConfigurationHead[]
  /** Nonces of all changes of publishers that took effect. */
  committed: Set<string>
  told: Array<{ nonce: string, outcome: PublishOutcome }>
  snapshot?: { entries: KeyValueEntry[], revision: number }
  violations: string[]
  count: number
  starts: number
}

/** Starts the nodes over an empty store. */
export function createWorld (clock: PausedClock): World {
  const world: World = {
    clock,
    store: createKeyValueStore(),
    network: createMemoryPeerNetwork({ delayMilliseconds: () => 1 }),
    nodes: [],
    standing: [],
    committed: new Set(),
    told: [],
    violations: [],
    count: 0,
    starts: 0
  }
  recordCommits(world)
  NODES.forEach((_, index) => startNode(world, index))
  return world
}

export function isCut (pairs: number, from: string, to: string): boolean {
  const bit = NODES.indexOf(from) + NODES.indexOf(to) - 1
  return (pairs >> bit) % 2 === 1
}

function startNode (world: World, index: number): void {
  const address = NODES[index] as string
  const random = createSeededRandom(1000 + world.starts++)
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

/** A node's view of the store: cut off, or reads of the head that lag behind. */
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
    if (result.committed && head !== undefined && head.nonce.startsWith(PUBLISHER)) {
      world.standing.push(head)
      world.committed.add(head.nonce)
    }
    return result
  }
}

export function restart (world: World, index: number): void {
  const old = world.nodes[index] as Node
  old.configuration.stop()
  old.membership.stop()
  old.held.clear()
  world.network.remove(NODES[index] as string)
  world.network.resume(NODES[index] as string)
  forgetLost(world)
  startNode(world, index)
}

export function heal (world: World): void {
  world.network.heal()
  world.nodes.forEach((node, index) => {
    node.isCut = false
    node.staleEntry = undefined
    world.network.resume(NODES[index] as string)
  })
}

export function restore (world: World): void {
  if (world.snapshot === undefined) return
  world.store.restore(world.snapshot.entries, world.snapshot.revision)
  forgetLost(world)
}

/** What neither the service nor any live node has is lost to any design that keeps nothing else. */
function forgetLost (world: World): void {
  const stored = headInStore(world)
  const held = world.nodes.flatMap(node => [...node.held])
  const known = new Set([...held, stored?.nonce, ...(stored?.ancestors ?? []).map(({ nonce }) => nonce)])
  world.standing = world.standing.filter(head => known.has(head.nonce))
}

export function headInStore (world: World): ConfigurationHead | undefined {
  const entry = world.store.get(CONFIGURATION_HEAD_KEY)
  return entry === undefined ? undefined : parseHead(entry)
}
