/**
 * Property: what a publisher was told to be accepted is in force everywhere in bounded time unless a later accepted change took
 * its place; no node's generation goes down; publishers are told the truth.
 */
import fc from 'fast-check'
import {
  CONFIGURATION_HEAD_KEY, PublishResult, StopSubject, VmState, changeHead, manifestSchema, parseHead, publishManifest,
  type ConfigurationHead, type KeyValueEntry, type KeyValuePort, type PlannedStop, type PublishOutcome, type RandomSource, type VmEntry
} from '@wigeonlead/protocol'
import {
  KeyValueFault, createKeyValueStore, createMemoryKeyValue, createMemoryPeerNetwork, withPausedClock, type KeyValueStore,
  type MemoryPeerNetwork, type PausedClock
} from '@wigeonlead/stand-ins'
import { createConfiguration, type Configuration } from '../../src/process/configuration/index.js'
import { SILENT_LOGGER } from '../../src/process/logging.js'
import { createMembership, type Membership } from '../../src/process/membership/index.js'
import { createSeededRandom } from '../../src/process/random.js'
import type { PromiseProperty } from './property.js'

const NODES = ['10.0.0.1:7000', '10.0.0.2:7000', '10.0.1.1:7000']
const HEALING_MILLISECONDS = 30_000
const PUBLISH_STEP_MILLISECONDS = 10
const PUBLISHER = 'publisher-'

type Command =
  | { kind: 'publish' | 'plan-stop' | 'cancel-stop', fault?: KeyValueFault }
  | { kind: 'race', fault?: KeyValueFault }
  | { kind: 'cut-key-value' | 'stale-key-value' | 'pause' | 'restart', node: number }
  | { kind: 'partition', pairs: number }
  | { kind: 'heal' | 'snapshot' | 'restore' }
  | { kind: 'wait', milliseconds: number }

const fault = fc.option(fc.constantFrom(...Object.values(KeyValueFault)), { nil: undefined, freq: 3 })
const node = fc.nat(NODES.length - 1)
const command: fc.Arbitrary<Command> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('publish' as const, 'plan-stop' as const, 'cancel-stop' as const), fault }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('race' as const), fault }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom('cut-key-value' as const, 'stale-key-value' as const, 'pause' as const, 'restart' as const), node
    })
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('partition' as const), pairs: fc.nat(7) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constantFrom('heal' as const, 'snapshot' as const, 'restore' as const) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.integer({ min: 1, max: 6000 }) }) }
)

interface Node {
  configuration: Configuration
  membership: Membership
  /** Nonces of the heads that were in force here and of their ancestors. */
  held: Set<string>
  isCut: boolean
  staleEntry?: KeyValueEntry
}

interface World {
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

/** The property of the configuration. */
export const configurationProperty: PromiseProperty = {
  name: 'configuration',
  check: ({ seed, runs }) => fc.assert(
    fc.asyncProperty(fc.array(command, { minLength: 1, maxLength: 14 }), commands => withPausedClock(clock => run(clock, commands))),
    { seed, numRuns: runs }
  )
}

async function run (clock: PausedClock, commands: Command[]): Promise<void> {
  const store = createKeyValueStore()
  const world: World = {
    clock,
    store,
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
  try {
    await apply(world, { kind: 'publish' })
    for (const step of commands) {
      await apply(world, step)
      await clock.advance(1)
    }
    await apply(world, { kind: 'heal' })
    await clock.advance(HEALING_MILLISECONDS)
    if (world.violations.length > 0) throw new Error(world.violations.join('; '))
    checkOutcomes(world)
    checkInForce(world)
  } finally {
    for (const { configuration, membership } of world.nodes) {
      configuration.stop()
      membership.stop()
    }
  }
}

async function apply (world: World, command: Command): Promise<void> {
  switch (command.kind) {
    case 'publish': return await make(world, command.fault, publishNew(world))
    case 'plan-stop': return await make(world, command.fault, planStop(world))
    case 'cancel-stop': return await make(world, command.fault, cancelStop)
    case 'race': return await make(world, command.fault, publishNew(world), publishNew(world))
    case 'cut-key-value': (world.nodes[command.node] as Node).isCut = true
      return
    case 'stale-key-value': (world.nodes[command.node] as Node).staleEntry = world.store.get(CONFIGURATION_HEAD_KEY)
      return
    case 'pause':
      (world.nodes[command.node] as Node).isCut = true
      return world.network.pause(NODES[command.node] as string)
    case 'restart': return restart(world, command.node)
    case 'partition': return world.network.partition((from, to) => isCut(command.pairs, from, to))
    case 'heal': return heal(world)
    case 'snapshot': world.snapshot = { entries: world.store.snapshot(), revision: world.store.revision() }
      return
    case 'restore': return restore(world)
    case 'wait': return await world.clock.advance(command.milliseconds)
  }
}

function isCut (pairs: number, from: string, to: string): boolean {
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

function publisherPort (world: World, fault: KeyValueFault | undefined): KeyValuePort {
  let isFirst = true
  return createMemoryKeyValue(world.store, {
    delayMilliseconds: () => 5,
    fault (operation, key) {
      if (operation !== 'compareAndSwap' || key !== CONFIGURATION_HEAD_KEY || !isFirst) return undefined
      isFirst = false
      return fault
    }
  })
}

type Change = (keyValue: KeyValuePort, random: RandomSource) => Promise<PublishOutcome>

function publishNew (world: World): Change {
  const workspaces = [{ name: `workspace-${++world.count}`, keyDigests: ['0'.repeat(64)] }]
  const manifest = manifestSchema.parse({ format: 1, failureDomains: ['howrah', 'salt-lake'], workspaces })
  return (keyValue, random) => publishManifest(keyValue, random, manifest)
}

function planStop (world: World): Change {
  const id = `stop-${++world.count}`
  const stop: PlannedStop = { id, subject: StopSubject.Target, name: 'stage', fromMilliseconds: 0, untilMilliseconds: 1 }
  return (keyValue, random) => changeHead(keyValue, random, head => ({ ...head, stops: [...head.stops, stop] }))
}

const cancelStop: Change = (keyValue, random) => changeHead(keyValue, random, head => ({ ...head, stops: head.stops.slice(1) }))

/** Makes changes at the same time, the first one with a fault, and notes what their publishers are told. */
async function make (world: World, fault: KeyValueFault | undefined, ...changes: Change[]): Promise<void> {
  const all = Promise.all(changes.map(async (change, index) => {
    let nonce = ''
    const random = { nextFloat: () => 0.5, nextNonce: () => (nonce = `${PUBLISHER}${++world.count}`) }
    const outcome = await change(publisherPort(world, index === 0 ? fault : undefined), random)
    world.told.push({ nonce, outcome })
  }))
  const progress = { isDone: false }
  void all.then(() => { progress.isDone = true })
  while (!progress.isDone) await world.clock.advance(PUBLISH_STEP_MILLISECONDS)
}

function restart (world: World, index: number): void {
  const old = world.nodes[index] as Node
  old.configuration.stop()
  old.membership.stop()
  old.held.clear()
  world.network.remove(NODES[index] as string)
  world.network.resume(NODES[index] as string)
  forgetLost(world)
  startNode(world, index)
}

function heal (world: World): void {
  world.network.heal()
  world.nodes.forEach((node, index) => {
    node.isCut = false
    node.staleEntry = undefined
    world.network.resume(NODES[index] as string)
  })
}

function restore (world: World): void {
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

function headInStore (world: World): ConfigurationHead | undefined {
  const entry = world.store.get(CONFIGURATION_HEAD_KEY)
  return entry === undefined ? undefined : parseHead(entry)
}

/** An accepted change took effect; one that was superseded or failed never did. */
function checkOutcomes ({ told, committed }: World): void {
  for (const { nonce, outcome } of told) {
    const isAccepted = outcome.kind === PublishResult.Accepted
    if (outcome.kind === PublishResult.Unknown || isAccepted === committed.has(nonce)) continue
    throw new Error(`publisher ${nonce} was told ${outcome.kind}, and its change ${committed.has(nonce) ? 'took' : 'never took'} effect`)
  }
}

function checkInForce (world: World): void {
  const heads = world.nodes.map(node => node.configuration.current()?.head)
  const first = heads[0]
  if (first === undefined || heads.some(head => head?.nonce !== first.nonce)) {
    throw new Error(`nodes differ: ${heads.map(describeHead).join(' | ')}`)
  }
  if (headInStore(world)?.nonce !== first.nonce) throw new Error(`the service shows ${describeHead(headInStore(world))}, nodes ${describeHead(first)}`)
  const manifest = world.standing.filter(head => head.change?.manifest).at(-1)
  if (manifest !== undefined && manifest.parts.join() !== first.parts.join()) {
    throw new Error(`the manifest of ${describeHead(manifest)} is not in force, but ${describeHead(first)}`)
  }
  const cancelled = new Set(world.standing.flatMap(head => head.change?.cancelledStops ?? []))
  const wanted = new Set(world.standing.flatMap(head => head.stops.map(stop => stop.id)).filter(id => !cancelled.has(id)))
  const found = new Set(first.stops.map(stop => stop.id))
  for (const id of wanted) if (!found.has(id)) throw new Error(`${id} was planned and is not in force`)
  for (const id of found) if (cancelled.has(id)) throw new Error(`${id} was cancelled and is in force`)
}

function describeHead (head: ConfigurationHead | undefined): string {
  return head === undefined ? 'none' : `${head.generation} ${head.nonce} <- ${(head.ancestors ?? []).map(({ nonce }) => nonce).join(',')}`
}
