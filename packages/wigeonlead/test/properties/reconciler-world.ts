/**
 * What surrounds the reconcilers under test: one key-value store, engines that keep ledgers of their orders, and for each
 * node links that lose, delay and repeat.
 */
import {
  EngineOrderKind, FailureKind, MemberState, Step, failed, manifestSchema,
  type EngineOrder, type EnginePort, type KeyValuePort, type Manifest, type MemberEntry, type Outcome
} from '@wigeonlead/protocol'
import {
  KeyValueFault, createEngine, createKeyValueStore, createMemoryEngines, createMemoryKeyValue, type Engine, type KeyValueStore
} from '@wigeonlead/stand-ins'
import { SILENT_LOGGER, createSeededRandom, settingsSchema, type Settings } from 'wigeonlead'
import { canCompose, createReconciler, type Reconciler } from '../../src/process/reconciler/index.js'
import { compileVersion, type CompiledVersion } from '../../src/version/index.js'

/** Faults of an order on its way. */
export enum OrderFault {
  LostReply = 'lost-reply',
  LostRequest = 'lost-request',
  Duplicate = 'duplicate',
  Delay = 'delay'
}

/** Faults that one node meets; the counts say for how many calls. */
export interface NodeFaults {
  isCutOff: boolean
  keyValue?: { fault: KeyValueFault, calls: number }
  orders?: { fault: OrderFault, calls: number, milliseconds: number }
  /** Replies are withheld until then, as from a paused process. */
  pausedUntil: number
}

/** A node that may die and start anew. */
export interface WorldNode {
  faults: NodeFaults
  version: CompiledVersion
  reconciler: Reconciler
  kill: () => void
  restart: () => void
}

/** Everything around the reconcilers. */
export interface World {
  store: KeyValueStore
  engines: ReadonlyMap<string, Engine>
  nodes: WorldNode[]
  /** Broken promises, in words. */
  broken: string[]
  /** Names of engines that refuse to load. */
  refusesLoads: Set<string>
  noteEngineLoss: () => void
  publish: (manifest: Manifest) => CompiledVersion
}

export const DOMAIN = 'howrah'
export const LAYERS = 4
const SETTINGS: Settings['reconciler'] = settingsSchema.shape.reconciler.parse({ drainMilliseconds: 20_000 })
const LOSS_WINDOW_MILLISECONDS = 12_000
const DECLARED_WINDOW_MILLISECONDS = 40_000
const TARGETS = [
  { name: 'one', checksFencing: true }, { name: 'two', checksFencing: true },
  { name: 'three', checksFencing: false }, { name: 'four', checksFencing: false }
]

/** One line of a manifest: versions and, for each target, its parts as `[version, from, to, adapters]`. */
export interface Declaration {
  versions: string[]
  serves: Array<Array<[string, number, number, string[]?]>>
}

/** @returns a manifest of the four targets. */
export function toManifest ({ versions, serves }: Declaration): Manifest {
  return manifestSchema.parse({
    format: 1,
    failureDomains: [DOMAIN],
    models: [{ name: 'assistant', layers: LAYERS, versions, adapters: [...new Set(serves.flat().flatMap(part => part[3] ?? []))] }],
    targets: TARGETS.map((target, index) => ({
      ...target,
      address: `10.0.0.${index + 1}:80`,
      failureDomain: DOMAIN,
      accelerator: 'large',
      serves: (serves[index] ?? []).map(([version, from, to, adapters]) => ({ model: 'assistant', version, layers: [from, to], adapters }))
    })),
    workspaces: [{ name: 'desk', keyDigests: ['0'.repeat(64)] }]
  })
}

/** Makes a world of some nodes under a first manifest, nothing started. */
export function createWorld (nodeCount: number, first: Manifest, seed: number): World {
  const store = createKeyValueStore()
  const engines = new Map(TARGETS.map(({ name, checksFencing }) => [name, createEngine({ name, held: [], checksFencing })]))
  const declaredAt: Array<{ versions: string[], until: number }> = []
  let lostAt = -Infinity
  const noteEngineLoss = (): void => { lostAt = Date.now() }
  const world: World = { store, engines, nodes: [], broken: [], refusesLoads: new Set(), noteEngineLoss, publish }
  let generation = 0

  function publish (manifest: Manifest): CompiledVersion {
    const last = declaredAt.at(-1)
    if (last !== undefined) last.until = Date.now()
    declaredAt.push({ versions: manifest.models[0]?.versions ?? [], until: Infinity })
    generation += 1
    return compileVersion({ generation, nonce: '', publishedAtMilliseconds: 0, parts: [], stops: [] }, manifest)
  }

  function apply (target: string, token: number, order: EngineOrder): string | undefined {
    const engine = engines.get(target)
    if (engine === undefined || engine.faults.isDead) return undefined
    if (order.kind === EngineOrderKind.Load && world.refusesLoads.has(target)) return 'the weight store is out'
    const before = order.kind === EngineOrderKind.Unload && isServed(order.part.version)
    const refused = engine.order(token, order)
    if (refused === undefined && order.kind === EngineOrderKind.Unload && before) checkUnload(target, order.part.version)
    return refused
  }

  function isServed (version: string): boolean {
    const parts = [...engines.values()].filter(engine => !engine.faults.isDead).flatMap(engine => engine.report().held)
    return canCompose(parts.filter(part => part.version === version).map(part => part.layers), { from: 0, to: LAYERS })
  }

  function checkUnload (target: string, version: string): void {
    const now = Date.now()
    const lately = declaredAt.filter(({ until }) => until > now - DECLARED_WINDOW_MILLISECONDS)
    if (isServed(version) || now - lostAt < LOSS_WINDOW_MILLISECONDS || !lately.every(({ versions }) => versions.includes(version))) return
    world.broken.push(`the last serving replica of ${version} was unloaded at ${target}`)
  }

  const firstVersion = publish(first)
  for (let index = 0; index < nodeCount; index += 1) world.nodes.push(createNode(world, firstVersion, index, seed, apply))
  return world
}

type ApplyOrder = (target: string, token: number, order: EngineOrder) => string | undefined

function createNode (world: World, version: CompiledVersion, index: number, seed: number, apply: ApplyOrder): WorldNode {
  const address = `10.0.1.${index + 1}:80`
  let starts = 0

  function createLife (): { faults: NodeFaults, reconciler: Reconciler } {
    const faults: NodeFaults = { isCutOff: false, pausedUntil: 0 }
    const reconciler = createReconciler({
      keyValue: withholding(faults, faultyKeyValue(world.store, faults)),
      engines: faultyEngines(world.engines, faults, apply),
      random: createSeededRandom(seed * 100 + index * 10 + starts++),
      logger: SILENT_LOGGER,
      settings: SETTINGS,
      failureDomain: DOMAIN,
      address,
      members: () => world.nodes.map((_, other) => toMember(other)),
      current: () => node.version,
      isLeaving: () => false,
      onReport: () => {}
    })
    return { faults, reconciler }
  }

  const node: WorldNode = {
    version,
    ...createLife(),
    kill () {
      node.reconciler.stop()
      node.faults.pausedUntil = Infinity
    },
    restart () {
      node.kill()
      Object.assign(node, createLife())
      node.reconciler.start()
    }
  }
  return node
}

function toMember (index: number): MemberEntry {
  const address = `10.0.1.${index + 1}:80`
  return { address, vm: `entry-${index}`, failureDomain: DOMAIN, incarnation: 1, state: MemberState.Alive, generation: 1 }
}

function faultyKeyValue (store: KeyValueStore, faults: NodeFaults): KeyValuePort {
  return createMemoryKeyValue(store, {
    fault () {
      if (faults.isCutOff) return KeyValueFault.Unreachable
      if (faults.keyValue === undefined || faults.keyValue.calls-- <= 0) return undefined
      return faults.keyValue.fault
    }
  })
}

function withholding (faults: NodeFaults, port: KeyValuePort): KeyValuePort {
  return {
    ...port,
    get: async (...call) => await withhold(faults, port.get(...call)),
    compareAndSwap: async (...call) => await withhold(faults, port.compareAndSwap(...call)),
    grantLease: async (...call) => await withhold(faults, port.grantLease(...call)),
    renewLease: async (...call) => await withhold(faults, port.renewLease(...call))
  }
}

async function withhold<T> (faults: NodeFaults, reply: Promise<T>): Promise<T> {
  const value = await reply
  while (faults.pausedUntil > Date.now()) {
    if (faults.pausedUntil === Infinity) return await new Promise<T>(() => {})
    await pause(faults.pausedUntil - Date.now())
  }
  return value
}

function faultyEngines (engines: ReadonlyMap<string, Engine>, faults: NodeFaults, apply: ApplyOrder): EnginePort {
  const port = createMemoryEngines(engines)

  async function order (target: string, token: number, order: EngineOrder, deadline: number): Promise<Outcome<void>> {
    if (engines.get(target)?.faults.isDead === true) {
      return failed({ kind: FailureKind.Unreachable, step: Step.EngineOrder, peer: target, detail: 'no connection' })
    }
    const current = faults.orders !== undefined && faults.orders.calls-- > 0 ? faults.orders : undefined
    const late = current?.milliseconds ?? 0
    if (current === undefined) return toOutcome(target, apply(target, token, order))
    if (current.fault === OrderFault.Duplicate) {
      setTimeout(() => apply(target, token, order), late)
      return toOutcome(target, apply(target, token, order))
    }
    if (current.fault === OrderFault.LostReply) apply(target, token, order)
    if (current.fault === OrderFault.Delay) setTimeout(() => apply(target, token, order), late)
    await pause(deadline)
    return failed({ kind: FailureKind.TimedOut, step: Step.EngineOrder, peer: target, detail: current.fault, afterMilliseconds: deadline })
  }

  return {
    ...port,
    report: async (target, deadline) => await withhold(faults, port.report(target, deadline)),
    order: async (target, token, change, deadline) => await withhold(faults, order(target.target, token, change, deadline))
  }
}

function toOutcome (target: string, refused: string | undefined): Outcome<void> {
  if (refused === undefined) return { ok: true, value: undefined }
  return failed({ kind: FailureKind.Refused, step: Step.EngineOrder, peer: target, detail: refused })
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
