/**
 * Engine orders under random faults: two or three reconcilers over one key-value store. Checked from the engines' ledgers.
 */
import fc from 'fast-check'
import { KeyValueFault, withPausedClock, type Engine, type PausedClock } from '@wigeonlead/stand-ins'
import type { PromiseProperty } from './property.js'
import { canCompose } from '../../src/process/reconciler/index.js'
import { LAYERS, OrderFault, createWorld, toManifest, type Declaration, type World } from './reconciler-world.js'

enum Action {
  Die = 'die',
  Release = 'release',
  Pause = 'pause',
  CutOff = 'cut-off',
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
  choice: number
  milliseconds: number
  thenMilliseconds: number
}

const CHOICES: Declaration['serves'] = [
  [], [['v1', 0, 4]], [['v1', 0, 2]], [['v1', 2, 4]], [['v2', 0, 4]], [['v1', 0, 4, ['letters']]], [['v1', 0, 2], ['v2', 2, 4]],
  [['v2', 0, 2], ['v1', 2, 4, ['trades']]]
]
const FALLBACK: Declaration = { versions: ['v1'], serves: [[], [['v1', 0, 4]], [], []] }
const TARGET_COUNT = 4
const KEY_VALUE_FAULTS = [KeyValueFault.LostReply, KeyValueFault.LostRequest, KeyValueFault.Unreachable]
const ORDER_FAULTS = [OrderFault.LostReply, OrderFault.LostRequest, OrderFault.Duplicate, OrderFault.Delay]
const LONGEST_ORDER_DELAY_MILLISECONDS = 9000
const LONGEST_MANIFEST_LAG_MILLISECONDS = 20_000
const HEALING_MILLISECONDS = 240_000
const FIRST_MILLISECONDS = 30_000

const ACTIONS: Record<Action, (world: World, step: FaultStep) => void> = {
  [Action.Die]: (world, step) => {
    const node = nodeOf(world, step)
    node.kill()
    setTimeout(node.restart, step.milliseconds)
  },
  [Action.Release]: (world, step) => {
    const node = nodeOf(world, step)
    void node.reconciler.release().then(() => setTimeout(node.restart, step.milliseconds))
  },
  [Action.Pause]: (world, step) => { nodeOf(world, step).faults.pausedUntil = Date.now() + step.milliseconds },
  [Action.CutOff]: (world, step) => {
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
    world.noteEngineLoss()
  },
  [Action.KillEngine]: (world, step) => {
    const engine = engineOf(world, step)
    engine.faults.isDead = true
    world.noteEngineLoss()
    setTimeout(() => {
      engine.restart()
      world.noteEngineLoss()
    }, step.milliseconds)
  },
  [Action.RefuseLoads]: (world, step) => {
    const { name } = engineOf(world, step)
    world.refusesLoads.add(name)
    setTimeout(() => world.refusesLoads.delete(name), step.milliseconds)
  }
}
const FREQUENT_ACTIONS = [Action.Publish, Action.Publish, Action.OrderFault, Action.Release, Action.Pause, Action.RefuseLoads]

const steps = fc.array(fc.record({
  action: fc.constantFrom(...Object.values(Action), ...FREQUENT_ACTIONS),
  node: fc.nat(2),
  choice: fc.nat(CHOICES.length ** TARGET_COUNT - 1),
  milliseconds: fc.integer({ min: 100, max: 60_000 }),
  thenMilliseconds: fc.integer({ min: 0, max: 20_000 })
}), { minLength: 1, maxLength: 16 })

/** Engines obey only the present holder, the last replica stays, and the declared state comes into force. */
export const reconcilerProperty: PromiseProperty = {
  name: 'reconciler',
  async check ({ seed, runs }) {
    const run = (nodes: number, sequence: FaultStep[], first: number): Promise<void> =>
      withPausedClock(clock => runSequence(clock, nodes, sequence, first))
    const property = fc.asyncProperty(fc.integer({ min: 2, max: 3 }), steps, fc.nat(CHOICES.length ** TARGET_COUNT - 1), run)
    await fc.assert(property, { seed, numRuns: runs, includeErrorInReport: true })
  }
}

async function runSequence (clock: PausedClock, nodes: number, sequence: FaultStep[], first: number): Promise<void> {
  const world = createWorld(nodes, toManifest(toDeclaration(first)), first)
  for (const node of world.nodes) node.reconciler.start()
  await clock.advance(FIRST_MILLISECONDS)
  for (const step of sequence) {
    ACTIONS[step.action](world, step)
    await clock.advance(step.thenMilliseconds)
  }
  await clock.advance(HEALING_MILLISECONDS)
  const faults = [...world.broken, ...[...world.engines.values()].flatMap(findLedgerFaults), ...findUnsettled(world)]
  for (const node of world.nodes) node.kill()
  if (faults.length > 0) throw new Error(faults.join('; '))
}

function findLedgerFaults (engine: Engine): string[] {
  const obeyed = engine.orders.filter(order => order.refused === undefined)
  return obeyed.flatMap((order, index) => {
    const newer = obeyed.slice(0, index).find(earlier => earlier.fencingToken > order.fencingToken)
    return newer === undefined ? [] : [`${engine.name} obeyed token ${order.fencingToken} after ${newer.fencingToken}`]
  })
}

function findUnsettled (world: World): string[] {
  const { manifest } = world.nodes.map(node => node.version).sort((left, right) => right.head.generation - left.head.generation)[0]!
  return manifest.targets.flatMap(target => {
    const held = renderParts(world.engines.get(target.name)?.report().held ?? [])
    const declared = renderParts(target.serves.map(part => ({ ...part, layers: { from: part.layers[0], to: part.layers[1] } })))
    return held === declared ? [] : [`${target.name} holds ${held}, declared is ${declared}`]
  })
}

function renderParts (parts: Array<{ version: string, adapters: string[], layers: { from: number, to: number } }>): string {
  return parts.map(({ version, adapters, layers }) => `${version} ${layers.from}-${layers.to} ${[...adapters].sort().join('+')}`).sort().join(', ')
}

function toDeclaration (choice: number): Declaration {
  const serves = Array.from({ length: TARGET_COUNT }, (_, target) => pick(CHOICES, Math.floor(choice / CHOICES.length ** target)))
  const versions = ['v1', 'v2'].filter(version => {
    const ranges = serves.flat().filter(part => part[0] === version).map(([, from, to]) => ({ from, to }))
    return canCompose(ranges, { from: 0, to: LAYERS })
  })
  if (versions.length === 0) return FALLBACK
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
