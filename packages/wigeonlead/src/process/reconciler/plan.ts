/**
 * Plans the engine orders that are still needed, from the declared state and the engines' reports alone.
 */
import {
  EngineOrderKind, type EngineOrder, type EngineReport, type ModelPart, type ManifestServedPart, type ManifestTarget
} from '@wigeonlead/protocol'
import type { CompiledModel, CompiledVersion } from '../../version/index.js'
import { isSamePart, isStillServed, type PartRemoval, type ServingPart } from './cover.js'

/** Why a declared state is not in force yet. */
export enum PendingReason {
  WaitingForLease = 'waiting-for-lease',
  /** Orders of an earlier lease holder may still take effect at a target that ignores fencing tokens. */
  WaitingOutEarlierHolder = 'waiting-out-earlier-holder',
  /** The rate limit of loads from the weight store is reached. */
  RateLimited = 'paced',
  Unreachable = 'target-unreachable',
  Leaving = 'target-leaving',
  /** The target has seen a greater fencing token. */
  Fenced = 'refused-as-fenced',
  Refused = 'refused',
  /** The order was accepted; the next reports will show its effect. */
  OrderSent = 'sent',
  /** The reply to the order was lost; the order is sent again if the next reports don't show its effect. */
  AnswerLost = 'answer-lost',
  /** No other part would serve the layers or the adapter. */
  LastReplica = 'last-serving-replica',
  /** Sessions still use the part. */
  InUse = 'in-use',
  /** The reconciler's first pass with this manifest was so recent that some nodes may not have the manifest yet. */
  Settling = 'settling'
}

/** One difference between the declared and the observed state of a target. */
export interface Difference {
  target: ManifestTarget
  /** Absent when there is no report of the target. */
  order?: EngineOrder
  /** Whether the order makes the target read from the weight store. */
  readsWeights: boolean
  /** Why the order can't be sent now; absent when it can. */
  blockedBy?: PendingReason
}

/** Everything that a plan depends on. */
export interface PlanInput {
  version: CompiledVersion
  failureDomain: string
  /** Latest reports of the targets that could be reached; targets of other failure domains count only as replicas. */
  reports: ReadonlyMap<string, EngineReport>
  /** Fencing token of this node's lease. */
  token: number
  /** Whether orders of earlier lease holders can no longer take effect, even at targets that ignore fencing tokens. */
  haveEarlierOrdersExpired: boolean
  /** Time since the first pass of this node's reconciler with the manifest's generation. */
  sinceFirstPassMilliseconds: number
  /** How long an undeclared part stays loaded, from that first pass, when it is unknown whether requests still use it. */
  drainMilliseconds: number
  isLeaving: (target: string) => boolean
  /** Returns whether an order that was already sent may still change the part. */
  mayStillChange: (target: string, part: ModelPart) => boolean
}

const SETTLING_MILLISECONDS = 10_000

/**
 * Lists every difference in the failure domain: role changes and loads first, then removals. A removal is blocked until other parts
 * serve the removed layers.
 */
export function planOrders (input: PlanInput): Difference[] {
  const targets = input.version.manifest.targets.filter(target => target.failureDomain === input.failureDomain)
  const additions = targets.flatMap(target => planAdditions(input, target))
  return [...additions, ...planRemovals(input, targets)]
}

/** @returns a description of an order; it identifies the order across reconciliation passes. */
export function describeOrder (order: EngineOrder): string {
  if (order.kind === EngineOrderKind.SetRole) return `${order.kind} ${order.role}`
  const { model, version, layers, adapters } = order.part
  return `${order.kind} ${model} ${version} ${layers.from}-${layers.to}${adapters.length > 0 ? ` ${adapters.join('+')}` : ''}`
}

function planAdditions (input: PlanInput, target: ManifestTarget): Difference[] {
  const report = input.reports.get(target.name)
  if (report === undefined) {
    const reason = input.isLeaving(target.name) ? PendingReason.Leaving : PendingReason.Unreachable
    return [{ target, readsWeights: false, blockedBy: reason }]
  }
  const blockedBy = findOrderBlocker(input, target, report)
  const orders: EngineOrder[] = []
  const isTokenOutdated = target.checksFencing && (report.fencingToken ?? 0) < input.token
  if (report.role !== target.role || isTokenOutdated) orders.push({ kind: EngineOrderKind.SetRole, role: target.role })
  for (const declared of target.serves) {
    const wanted = toPart(declared)
    const held = report.held.find(part => isSamePart(part, wanted))
    if (held !== undefined && wanted.adapters.every(adapter => held.adapters.includes(adapter))) continue
    const adapters = [...new Set([...wanted.adapters, ...held?.adapters ?? []])].sort()
    orders.push({ kind: EngineOrderKind.Load, part: { ...wanted, adapters } })
  }
  return orders.map(order => ({ target, order, readsWeights: order.kind === EngineOrderKind.Load, blockedBy }))
}

function findOrderBlocker (input: PlanInput, target: ManifestTarget, report: EngineReport): PendingReason | undefined {
  if (input.isLeaving(target.name)) return PendingReason.Leaving
  if (target.checksFencing) return (report.fencingToken ?? 0) > input.token ? PendingReason.Fenced : undefined
  return input.haveEarlierOrdersExpired ? undefined : PendingReason.WaitingOutEarlierHolder
}

function planRemovals (input: PlanInput, targets: ManifestTarget[]): Difference[] {
  let serving = listServing(input)
  const differences: Difference[] = []
  for (const target of targets) {
    const report = input.reports.get(target.name)
    for (const held of report?.held ?? []) {
      if (report === undefined) continue
      const plan = planRemoval(target, held)
      if (plan === undefined) continue
      const blockedBy = findOrderBlocker(input, target, report) ?? findRemovalBlocker(input, target, report, held, plan.removals, serving)
      differences.push({ target, order: plan.order, readsWeights: false, blockedBy })
      if (blockedBy === undefined) serving = serving.filter(({ target: name, part }) => name !== target.name || !isSamePart(part, held))
    }
  }
  return differences
}

function planRemoval (target: ManifestTarget, held: ModelPart): { order: EngineOrder, removals: PartRemoval[] } | undefined {
  const part = pickPart(held)
  const removal = { target: target.name, role: target.role, part }
  const declared = target.serves.map(toPart).find(wanted => isSamePart(wanted, held))
  if (declared === undefined) return { order: { kind: EngineOrderKind.Unload, part }, removals: [removal] }
  const surplus = held.adapters.filter(adapter => !declared.adapters.includes(adapter))
  if (surplus.length === 0 || !declared.adapters.every(adapter => held.adapters.includes(adapter))) return undefined
  return {
    order: { kind: EngineOrderKind.Load, part: declared },
    removals: surplus.map(adapter => ({ ...removal, adapter }))
  }
}

function findRemovalBlocker (
  input: PlanInput, target: ManifestTarget, report: EngineReport, held: EngineReport['held'][number],
  removals: PartRemoval[], serving: readonly ServingPart[]
): PendingReason | undefined {
  if (input.sinceFirstPassMilliseconds < SETTLING_MILLISECONDS) return PendingReason.Settling
  const compiled = input.version.models.get(held.model)
  if (compiled?.model.versions.includes(held.version) !== true) return isVersionUsed(input, held) ? PendingReason.InUse : undefined
  const adapters = declaredAdapters(compiled, held.version)
  if (removals.some(removal => isLastReplica(removal, adapters, serving, compiled.model.layers))) return PendingReason.LastReplica
  return isPartUsed(input, held, isIdle(report)) ? PendingReason.InUse : undefined
}

function declaredAdapters ({ options }: CompiledModel, version: string): ReadonlySet<string> {
  return new Set(options.filter(option => option.version === version).flatMap(option => option.adapters))
}

function isLastReplica (removal: PartRemoval, adapters: ReadonlySet<string>, serving: readonly ServingPart[], layers: number): boolean {
  if (removal.adapter !== undefined) return adapters.has(removal.adapter) && !isStillServed(removal, serving, layers)
  const affectedAdapters = removal.part.adapters.filter(adapter => adapters.has(adapter))
  return [undefined, ...affectedAdapters].some(adapter => !isStillServed({ ...removal, adapter }, serving, layers))
}

/** Requests finish on the version that they began with, so a version that may still be in use is kept for the drain time. */
function isVersionUsed (input: PlanInput, held: ModelPart): boolean {
  return [...input.reports.values()].some(report => report.held.some(part =>
    part.model === held.model && part.version === held.version && isPartUsed(input, part, false)))
}

function isPartUsed (input: PlanInput, held: EngineReport['held'][number], isKnownUnused: boolean): boolean {
  if (held.running !== undefined) return held.running > 0
  return !isKnownUnused && input.sinceFirstPassMilliseconds < input.drainMilliseconds
}

function isIdle (report: EngineReport): boolean {
  return report.running + report.queued === 0
}

function listServing (input: PlanInput): ServingPart[] {
  return [...input.reports.values()].flatMap(report => {
    const target = input.version.targets.get(report.target)
    if (target === undefined || input.isLeaving(target.name)) return []
    const isInOwnDomain = target.failureDomain === input.failureDomain
    if (isInOwnDomain && !areEarlierOrdersExcluded(input, target, report)) return []
    return report.held.filter(part => isInOwnDomain ? !input.mayStillChange(target.name, part) : isDeclaredAt(target, part))
      .map(part => ({ target: target.name, role: report.role, part }))
  })
}

/** Returns whether no order of an earlier lease holder can change the target any more. */
function areEarlierOrdersExcluded (input: PlanInput, target: ManifestTarget, report: EngineReport): boolean {
  return target.checksFencing ? report.fencingToken === input.token : input.haveEarlierOrdersExpired
}

function isDeclaredAt (target: ManifestTarget, part: ModelPart): boolean {
  return target.serves.some(declared => isSamePart(toPart(declared), part))
}

function toPart (declared: ManifestServedPart): ModelPart {
  const { model, version, adapters, layers } = declared
  return { model, version, adapters: [...adapters].sort(), layers: { from: layers[0], to: layers[1] } }
}

function pickPart ({ model, version, adapters, layers }: ModelPart): ModelPart {
  return { model, version, adapters, layers }
}
