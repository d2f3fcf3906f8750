/**
 * Engine orders under random faults: two or three reconcilers share one key-value store. The property is checked against the
 * orders that the engines recorded.
 */
import fc from 'fast-check'
import { KeyValueFault, withPausedClock, type Engine, type PausedClock } from '@wigeonlead/stand-ins'
import type { ProtocolProperty } from './property.js'
import { canComposeRange } from '../../src/process/reconciler/index.js'
import { LAYERS, OrderFault, createWorld, toManifest, type Declaration, type World } from './reconciler-world.js'

enum Action {
  KillNode = 'die',
  ReleaseLease = 'release',
  PauseNode = 'pause',
  CutOffKeyValue = 'cut-off',
  KeyValueFault = 'key-value-fault',
  OrderFault = 'order-fault',
  Publish = 'publish',
  RestartEngine = 'restart-engine',
  KillEngine = 'kill-engine',
  RefuseLoads = 'refuse-loads'
}

interface FaultStep {
  action: Action
  node: number
  /** Selects the fault, the engine or the manifest, as the action requires. */
  choice: number
  /** How long the fault lasts, or how much a message is delayed. */
  milliseconds: number
  /** Pause before the next step. */
  thenMilliseconds: number
}

const PART_SETS: Declaration['serves'] = [
  [], [['v1', 0, 4]], [['v1', 0, 2]], [['v1', 2, 4]], [['v2', 0, 4]], [['v1', 0, 4, ['letters']]], [['v1', 0, 2], ['v2', 2, 4]],
  [['v2', 0, 2], ['v1', 2, 4, ['trades']]]
]
const FALLBACK_DECLARATION: Declaration = { versions: ['v1'], serves: [[], [['v1', 0, 4]], [], []] }
const TARGET_COUNT = 4
const KEY_VALUE_FAULTS = [KeyValueFault.LostReply, KeyValueFault.LostRequest, KeyValueFault.Unreachable]
const ORDER_FAULTS = [OrderFault.LostReply, OrderFault.LostRequest, OrderFault.Duplicate, OrderFault.Delay]
const LONGEST_ORDER_DELAY_MILLISECONDS = 9000
const LONGEST_MANIFEST_LAG_MILLISECONDS = 20_000
const HEALING_MILLISECONDS = 240_000
const STARTUP_MILLISECONDS = 30_000

const ACTIONS: Record<Action, (world: World, step: FaultStep) => void> = {
  [Action.KillNode]: (world, step) => {
    const node = nodeOf(world, step)
    node.kill()
    setTimeout(node.restart, step.milliseconds)
  },
  [Action.ReleaseLease]: (world, step) => {
    const node = nodeOf(world, step)
    void node.reconciler.release().then(() => setTimeout(node.restart, step.milliseconds))
  },
  [Action.PauseNode]: (world, step) => { nodeOf(world, step).faults.pausedUntil = Date.now() + step.milliseconds },
  [Action.CutOffKeyValue]: (world, step) => {
    const { faults } = nodeOf(world, step)
    faults.isCutOff = true
    setTimeout(() => { faults.isCutOff = false }, step.milliseconds)
  },
  [Action.KeyValueFault]: (world, step) => {
    nodeOf(world, step).faults.keyValue = { fault: pick(KEY_VALUE_FAULTS, step.choice), calls: 1 + step.choice % 4 }
  },
  [Action.OrderFault]: (world, step) => {
    const milliseconds = step.milliseconds % LONGEST_ORDER_DELAY_MILLISECONDS
    nodeOf(world, step).faults.orders = { fault: pick(ORDER_FAULTS, step.choice), calls: 1 + step.choice % 9, milliseconds }
  },
  [Action.Publish]: (world, step) => {
    const version = world.publish(toManifest(toDeclaration(step.choice)))
    for (const [index, node] of world.nodes.entries()) {
      setTimeout(() => {
        if (version.head.generation > node.version.head.generation) node.version = version
      }, index === step.node ? step.milliseconds % LONGEST_MANIFEST_LAG_MILLISECONDS : 0)
    }
  },
  [Action.RestartEngine]: (world, step) => {
    engineOf(world, step).restart()
    world.recordEngineLoss()
  },
  [Action.KillEngine]: (world, step) => {
    const engine = engineOf(world, step)
    engine.faults.isDead = true
    world.recordEngineLoss()
    setTimeout(() => {
      engine.restart()
      world.recordEngineLoss()
    }, step.milliseconds)
  },
  [Action.RefuseLoads]: (world, step) => {
    const { name } = engineOf(world, step)
    world.enginesRefusingLoads.add(name)
    setTimeout(() => world.enginesRefusingLoads.delete(name), step.milliseconds)
  }
}
const FREQUENT_ACTIONS = [Action.Publish, Action.Publish, Action.OrderFault, Action.ReleaseLease, Action.PauseNode, Action.RefuseLoads]

const steps = fc.array(fc.record({
  action: fc.constantFrom(...Object.values(Action), ...FREQUENT_ACTIONS),
  node: fc.nat(2),
  choice: fc.nat(PART_SETS.length ** TARGET_COUNT - 1),
  milliseconds: fc.integer({ min: 100, max: 60_000 }),
  thenMilliseconds: fc.integer({ min: 0, max: 20_000 })
}), { minLength: 1, maxLength: 16 })

/** Engines execute orders of the current lease holder only, the last replica is never unloaded, and the declared state is reached. */
export const reconcilerProperty: ProtocolProperty = {
  name: 'reconciler',
  async check ({ seed, runs }) {
    const run = (nodes: number, sequence: FaultStep[], firstChoice: number): Promise<void> =>
      withPausedClock(clock => runSequence(clock, nodes, sequence, firstChoice))
    const property = fc.asyncProperty(fc.integer({ min: 2, max: 3 }), steps, fc.nat(PART_SETS.length ** TARGET_COUNT - 1), run)
    await fc.assert(property, { seed, numRuns: runs, includeErrorInReport: true })
  }
}

async function runSequence (clock: PausedClock, nodes: number, sequence: FaultStep[], firstChoice: number): Promise<void> {
  const world = createWorld(nodes, toManifest(toDeclaration(firstChoice)), firstChoice)
  for (const node of world.nodes) node.reconciler.start()
  await clock.advance(STARTUP_MILLISECONDS)
  for (const step of sequence) {
    ACTIONS[step.action](world, step)
    await clock.advance(step.thenMilliseconds)
  }
  await clock.advance(HEALING_MILLISECONDS)
  const violations = [...world.violations, ...[...world.engines.values()].flatMap(findFencingViolations), ...findDifferences(world)]
  for (const node of world.nodes) node.kill()
  if (violations.length > 0) throw new Error(violations.join('; '))
}

function findFencingViolations (engine: Engine): string[] {
  const executed = engine.orders.filter(order => order.refused === undefined)
  return executed.flatMap((order, index) => {
    const newer = executed.slice(0, index).find(earlier => earlier.fencingToken > order.fencingToken)
    return newer === undefined ? [] : [`${engine.name} executed an order with token ${order.fencingToken} after token ${newer.fencingToken}`]
  })
}

function findDifferences (world: World): string[] {
  const { manifest } = world.nodes.map(node => node.version).sort((left, right) => right.head.generation - left.head.generation)[0]!
  return manifest.targets.flatMap(target => {
    const held = renderParts(world.engines.get(target.name)?.report().held ?? [])
    const declared = renderParts(target.serves.map(part => ({ ...part, layers: { from: part.layers[0], to: part.layers[1] } })))
    return held === declared ? [] : [`${target.name} holds ${held}, but ${declared} is declared`]
  })
}

function renderParts (parts: Array<{ version: string, adapters: string[], layers: { from: number, to: number } }>): string {
  return parts.map(({ version, adapters, layers }) => `${version} ${layers.from}-${layers.to} ${[...adapters].sort().join('+')}`).sort().join(', ')
}

function toDeclaration (choice: number): Declaration {
  const serves = Array.from({ length: TARGET_COUNT }, (_, target) => pick(PART_SETS, Math.floor(choice / PART_SETS.length ** target)))
  const versions = ['v1', 'v2'].filter(version => {
    const ranges = serves.flat().filter(part => part[0] === version).map(([, from, to]) => ({ from, to }))
    return canComposeRange(ranges, { from: 0, to: LAYERS })
  })
  if (versions.length === 0) return FALLBACK_DECLARATION
  return { versions, serves: serves.map(parts => parts.filter(([version]) => versions.includes(version))) }
}

function nodeOf (world: World, step: FaultStep): World['nodes'][number] {
  return world.nodes[step.node % world.nodes.length]!
}

function engineOf (world: World, step: FaultStep): Engine {
  return pick([...world.engines.values()], step.choice)
}

function pick<T> (list: readonly T[], choice: number): T {
  return list[choice % list.length]!
}
