/**
 * Property: a change that was reported as accepted to its publisher comes into force on all nodes in bounded time, unless a later
 * accepted change replaced it; no node's generation goes down; publishers get the true outcome of their changes.
 */
import fc from 'fast-check'
import {
  CONFIGURATION_HEAD_KEY, PublishResult, StopSubject, changeHead, manifestSchema, publishManifest, type ConfigurationHead,
  type KeyValuePort, type PlannedStop, type PublishOutcome, type RandomSource
} from '@wigeonlead/protocol'
import { KeyValueFault, createMemoryKeyValue, withPausedClock, type PausedClock } from '@wigeonlead/stand-ins'
import { NODES, PUBLISHER_NONCE_PREFIX, createWorld, headInStore, heal, isCut, restart, restore, type Node, type World } from './configuration-world.js'
import type { ProtocolProperty } from './property.js'

const HEALING_MILLISECONDS = 30_000
const PUBLISH_STEP_MILLISECONDS = 10

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

/** The configuration property. */
export const configurationProperty: ProtocolProperty = {
  name: 'configuration',
  check: ({ seed, runs }) => fc.assert(
    fc.asyncProperty(fc.array(command, { minLength: 1, maxLength: 14 }), commands => withPausedClock(clock => run(clock, commands))),
    { seed, numRuns: runs }
  )
}

async function run (clock: PausedClock, commands: Command[]): Promise<void> {
  const world = createWorld(clock)
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
    case 'publish': return await runChanges(world, command.fault, publishNew(world))
    case 'plan-stop': return await runChanges(world, command.fault, planStop(world))
    case 'cancel-stop': return await runChanges(world, command.fault, cancelStop)
    case 'race': return await runChanges(world, command.fault, publishNew(world), publishNew(world))
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
  const workspaces = [{ name: `workspace-${++world.nonceCount}`, keyDigests: ['0'.repeat(64)] }]
  const manifest = manifestSchema.parse({ format: 1, failureDomains: ['howrah', 'salt-lake'], workspaces })
  return (keyValue, random) => publishManifest(keyValue, random, manifest)
}

function planStop (world: World): Change {
  const id = `stop-${++world.nonceCount}`
  const stop: PlannedStop = { id, subject: StopSubject.Target, name: 'stage', fromMilliseconds: 0, untilMilliseconds: 1 }
  return (keyValue, random) => changeHead(keyValue, random, head => ({ ...head, stops: [...head.stops, stop] }))
}

const cancelStop: Change = (keyValue, random) => changeHead(keyValue, random, head => ({ ...head, stops: head.stops.slice(1) }))

/** Runs changes concurrently, the first one with a fault, and records the outcomes that their publishers get. */
async function runChanges (world: World, fault: KeyValueFault | undefined, ...changes: Change[]): Promise<void> {
  const all = Promise.all(changes.map(async (change, index) => {
    let nonce = ''
    const random = { nextFloat: () => 0.5, nextNonce: () => (nonce = `${PUBLISHER_NONCE_PREFIX}${++world.nonceCount}`) }
    const outcome = await change(publisherPort(world, index === 0 ? fault : undefined), random)
    world.outcomes.push({ nonce, outcome })
  }))
  const progress = { isDone: false }
  void all.then(() => { progress.isDone = true })
  while (!progress.isDone) await world.clock.advance(PUBLISH_STEP_MILLISECONDS)
}

/** Checks that accepted changes took effect, and that superseded or failed ones never did. */
function checkOutcomes ({ outcomes, committedNonces }: World): void {
  for (const { nonce, outcome } of outcomes) {
    const isAccepted = outcome.kind === PublishResult.Accepted
    if (outcome.kind === PublishResult.Unknown || isAccepted === committedNonces.has(nonce)) continue
    throw new Error(`publisher ${nonce} got the outcome ${outcome.kind}, but its change ${committedNonces.has(nonce) ? 'took' : 'never took'} effect`)
  }
}

function checkInForce (world: World): void {
  const heads = world.nodes.map(node => node.configuration.current()?.head)
  const first = heads[0]
  if (first === undefined || heads.some(head => head?.nonce !== first.nonce)) {
    throw new Error(`the nodes have different heads: ${heads.map(describeHead).join(' | ')}`)
  }
  if (headInStore(world)?.nonce !== first.nonce) throw new Error(`the key-value service has ${describeHead(headInStore(world))}, the nodes have ${describeHead(first)}`)
  const manifest = world.survivingHeads.filter(head => head.change?.manifest).at(-1)
  if (manifest !== undefined && manifest.parts.join() !== first.parts.join()) {
    throw new Error(`the manifest of ${describeHead(manifest)} is not in force; ${describeHead(first)} is`)
  }
  const cancelled = new Set(world.survivingHeads.flatMap(head => head.change?.cancelledStops ?? []))
  const planned = new Set(world.survivingHeads.flatMap(head => head.stops.map(stop => stop.id)).filter(id => !cancelled.has(id)))
  const inForce = new Set(first.stops.map(stop => stop.id))
  for (const id of planned) if (!inForce.has(id)) throw new Error(`${id} was planned and is not in force`)
  for (const id of inForce) if (cancelled.has(id)) throw new Error(`${id} was cancelled and is in force`)
}

function describeHead (head: ConfigurationHead | undefined): string {
  return head === undefined ? 'none' : `${head.generation} ${head.nonce} <- ${(head.ancestors ?? []).map(({ nonce }) => nonce).join(',')}`
}
