/**
 * The environment of the reconcilers under test: one key-value store, engines that record their orders, and for each node ports that
 * lose, delay and duplicate messages.
 */
import {
  EngineOrderKind, FailureKind, MemberState, Step, failed, manifestSchema,
  type EngineOrder, type EnginePort, type KeyValuePort, type Manifest, type MemberEntry, type Outcome
} from '@wigeonlead/protocol'
import {
  KeyValueFault, createEngine, createKeyValueStore, createMemoryEngines, createMemoryKeyValue, type Engine, type KeyValueStore
} from '@wigeonlead/stand-ins'
import { SILENT_LOGGER, createSeededRandom, settingsSchema, type Settings } from 'wigeonlead'
import { canComposeRange, createReconciler, type Reconciler } from '../../src/process/reconciler/index.js'
import { compileVersion, type CompiledVersion } from '../../src/version/index.js'

/** Faults in the transmission of an order. */
export enum OrderFault {
  LostReply = 'lost-reply',
  LostRequest = 'lost-request',
  Duplicate = 'duplicate',
  Delay = 'delay'
}

/** Faults injected at one node; `calls` is the number of calls that still fail. */
export interface NodeFaults {
  isCutOff: boolean
  keyValue?: { fault: KeyValueFault, calls: number }
  orders?: { fault: OrderFault, calls: number, milliseconds: number }
  /** Replies are withheld until this time, as if the process were paused; milliseconds since 1970. */
  pausedUntil: number
}

/** A node that can be killed and restarted. */
export interface WorldNode {
  faults: NodeFaults
  version: CompiledVersion
  reconciler: Reconciler
  kill: () => void
  restart: () => void
}

/** The reconcilers and their environment. */
export interface World {
  store: KeyValueStore
  engines: ReadonlyMap<string, Engine>
  nodes: WorldNode[]
  /** Descriptions of the violated guarantees. */
  violations: string[]
  /** Names of engines that refuse to load. */
  enginesRefusingLoads: Set<string>
  recordEngineLoss: () => void
  publish: (manifest: Manifest) => CompiledVersion
}

export const DOMAIN = 'howrah'
export const LAYERS = 4
const SETTINGS: Settings['reconciler'] = settingsSchema.shape.reconciler.parse({ drainMilliseconds: 20_000 })
/** For this time after an engine lost its parts, the unload of a last replica does not count as a violation. */
const LOSS_WINDOW_MILLISECONDS = 12_000
/** A version counts as declared if every manifest that was in force within this time lists it. */
const DECLARED_WINDOW_MILLISECONDS = 40_000
const TARGETS = [
  { name: 'one', checksFencing: true }, { name: 'two', checksFencing: true },
  { name: 'three', checksFencing: false }, { name: 'four', checksFencing: false }
]

/** Short form of a manifest: its versions and, for each target, the parts as `[version, from, to, adapters]`. */
export interface Declaration {
  versions: string[]
  serves: Array<Array<[string, number, number, string[]?]>>
}

/** @returns a manifest with the four targets. */
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

/** Creates a world with the given number of nodes and their first manifest; no reconciler is started. */
export function createWorld (nodeCount: number, first: Manifest, seed: number): World {
  const store = createKeyValueStore()
  const engines = new Map(TARGETS.map(({ name, checksFencing }) => [name, createEngine({ name, held: [], checksFencing })]))
  const declarations: Array<{ versions: string[], until: number }> = []
  let lostAt = -Infinity
  const recordEngineLoss = (): void => { lostAt = Date.now() }
  const world: World = { store, engines, nodes: [], violations: [], enginesRefusingLoads: new Set(), recordEngineLoss, publish }
  let generation = 0

  function publish (manifest: Manifest): CompiledVersion {
    const last = declarations.at(-1)
    if (last !== undefined) last.until = Date.now()
    declarations.push({ versions: manifest.models[0]?.versions ?? [], until: Infinity })
    generation += 1
    return compileVersion({ generation, nonce: '', publishedAtMilliseconds: 0, parts: [], stops: [] }, manifest)
  }

  function applyOrder (target: string, token: number, order: EngineOrder): string | undefined {
    const engine = engines.get(target)
    if (engine === undefined || engine.faults.isDead) return undefined
    if (order.kind === EngineOrderKind.Load && world.enginesRefusingLoads.has(target)) return 'the weight store is unavailable'
    const before = order.kind === EngineOrderKind.Unload && isServed(order.part.version)
    const refused = engine.order(token, order)
    if (refused === undefined && order.kind === EngineOrderKind.Unload && before) checkUnload(target, order.part.version)
    return refused
  }

  function isServed (version: string): boolean {
    const parts = [...engines.values()].filter(engine => !engine.faults.isDead).flatMap(engine => engine.report().held)
    return canComposeRange(parts.filter(part => part.version === version).map(part => part.layers), { from: 0, to: LAYERS })
  }

  function checkUnload (target: string, version: string): void {
    const now = Date.now()
    const recent = declarations.filter(({ until }) => until > now - DECLARED_WINDOW_MILLISECONDS)
    if (isServed(version) || now - lostAt < LOSS_WINDOW_MILLISECONDS || !recent.every(({ versions }) => versions.includes(version))) return
    world.violations.push(`the last serving replica of ${version} was unloaded at ${target}`)
  }

  const firstVersion = publish(first)
  for (let index = 0; index < nodeCount; index += 1) world.nodes.push(createNode(world, firstVersion, index, seed, applyOrder))
  return world
}

type ApplyOrder = (target: string, token: number, order: EngineOrder) => string | undefined

function createNode (world: World, version: CompiledVersion, index: number, seed: number, applyOrder: ApplyOrder): WorldNode {
  const address = `10.0.1.${index + 1}:80`
  let startCount = 0

  function startProcess (): { faults: NodeFaults, reconciler: Reconciler } {
    const faults: NodeFaults = { isCutOff: false, pausedUntil: 0 }
    const reconciler = createReconciler({
      keyValue: withPausableReplies(faults, faultyKeyValue(world.store, faults)),
      engines: faultyEngines(world.engines, faults, applyOrder),
      random: createSeededRandom(seed * 100 + index * 10 + startCount++),
      logger: SILENT_LOGGER,
      settings: SETTINGS,
      failureDomain: DOMAIN,
      address,
      members: () => world.nodes.map((_, other) => toMember(other)),
      versionInForce: () => node.version,
      isLeaving: () => false,
      onReport: () => {}
    })
    return { faults, reconciler }
  }

  const node: WorldNode = {
    version,
    ...startProcess(),
    kill () {
      node.reconciler.stop()
      node.faults.pausedUntil = Infinity
    },
    restart () {
      node.kill()
      Object.assign(node, startProcess())
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

function withPausableReplies (faults: NodeFaults, port: KeyValuePort): KeyValuePort {
  return {
    ...port,
    get: async (...call) => await delayWhilePaused(faults, port.get(...call)),
    compareAndSwap: async (...call) => await delayWhilePaused(faults, port.compareAndSwap(...call)),
    grantLease: async (...call) => await delayWhilePaused(faults, port.grantLease(...call)),
    renewLease: async (...call) => await delayWhilePaused(faults, port.renewLease(...call))
  }
}

async function delayWhilePaused<T> (faults: NodeFaults, reply: Promise<T>): Promise<T> {
  const value = await reply
  while (faults.pausedUntil > Date.now()) {
    if (faults.pausedUntil === Infinity) return await new Promise<T>(() => {})
    await pause(faults.pausedUntil - Date.now())
  }
  return value
}

function faultyEngines (engines: ReadonlyMap<string, Engine>, faults: NodeFaults, applyOrder: ApplyOrder): EnginePort {
  const port = createMemoryEngines(engines)

  async function order (target: string, token: number, order: EngineOrder, deadline: number): Promise<Outcome<void>> {
    if (engines.get(target)?.faults.isDead === true) {
      return failed({ kind: FailureKind.Unreachable, step: Step.EngineOrder, peer: target, detail: 'no connection' })
    }
    const current = faults.orders !== undefined && faults.orders.calls-- > 0 ? faults.orders : undefined
    const delayMilliseconds = current?.milliseconds ?? 0
    if (current === undefined) return toOutcome(target, applyOrder(target, token, order))
    if (current.fault === OrderFault.Duplicate) {
      setTimeout(() => applyOrder(target, token, order), delayMilliseconds)
      return toOutcome(target, applyOrder(target, token, order))
    }
    if (current.fault === OrderFault.LostReply) applyOrder(target, token, order)
    if (current.fault === OrderFault.Delay) setTimeout(() => applyOrder(target, token, order), delayMilliseconds)
    await pause(deadline)
    return failed({ kind: FailureKind.TimedOut, step: Step.EngineOrder, peer: target, detail: current.fault, afterMilliseconds: deadline })
  }

  return {
    ...port,
    report: async (target, deadline) => await delayWhilePaused(faults, port.report(target, deadline)),
    order: async (target, token, change, deadline) => await delayWhilePaused(faults, order(target.target, token, change, deadline))
  }
}

function toOutcome (target: string, refused: string | undefined): Outcome<void> {
  if (refused === undefined) return { ok: true, value: undefined }
  return failed({ kind: FailureKind.Refused, step: Step.EngineOrder, peer: target, detail: refused })
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
