/**
 * What is left to order, from the declared state and the engines' reports alone.
 */
import {
  EngineOrderKind, type EngineOrder, type EngineReport, type HeldPart, type ManifestPart, type ManifestTarget
} from '@wigeonlead/protocol'
import type { CompiledModel, CompiledVersion } from '../../version/index.js'
import { isSamePart, isStillServed, type Departure, type ServingPart } from './cover.js'

/** Why a declared state is not in force yet. */
export enum PendingReason {
  WaitingForLease = 'waiting-for-lease',
  /** An earlier holder's orders could still take effect at a target that ignores fencing tokens. */
  WaitingOutHolder = 'waiting-out-earlier-holder',
  /** The weight store's rate is used up. */
  Paced = 'paced',
  Unreachable = 'target-unreachable',
  Leaving = 'target-leaving',
  /** The target saw a greater fencing token. */
  Fenced = 'refused-as-fenced',
  Refused = 'refused',
  /** Ordered; the next reports will show it. */
  Sent = 'sent',
  /** The order's answer was lost; it is sent again if the next reports don't show it. */
  AnswerLost = 'answer-lost',
  /** Nothing else would serve the layers. */
  LastReplica = 'last-serving-replica',
  /** Sessions still use the part. */
  InUse = 'in-use',
  /** The manifest is so new that some nodes may not follow it yet. */
  Settling = 'settling'
}

/** One difference between the declared and the observed state of a target. */
export interface Difference {
  target: ManifestTarget
  /** Absent where nothing is known of the target. */
  order?: EngineOrder
  /** The order makes the target read the weight store. */
  readsWeights: boolean
  /** Why it can't be ordered now; absent when it can. */
  blockedBy?: PendingReason
}

/** What a plan is made from. */
export interface PlanInput {
  version: CompiledVersion
  failureDomain: string
  /** Latest reports of the targets that could be reached; targets of other failure domains count only as replicas. */
  reports: ReadonlyMap<string, EngineReport>
  token: number
  /** Orders of earlier holders can no longer take effect, also where targets ignore fencing tokens. */
  isWaitedOut: boolean
  /** How long the version has been in force at this node. */
  inForceForMilliseconds: number
  /** How long an undeclared part of unknown use is kept. */
  drainMilliseconds: number
  isLeaving: (target: string) => boolean
  /** An order that changes the part may still take effect. */
  isDoubtful: (target: string, part: HeldPart) => boolean
}

const SETTLE_MILLISECONDS = 10_000

/** Lists every difference in the failure domain: roles, then loads, then what may go once the rest serves. */
export function planOrders (input: PlanInput): Difference[] {
  const targets = input.version.manifest.targets.filter(target => target.failureDomain === input.failureDomain)
  const builds = targets.flatMap(target => planBuild(input, target))
  return [...builds, ...planRemovals(input, targets)]
}

/** @returns a name of an order that stays the same over passes. */
export function describeOrder (order: EngineOrder): string {
  if (order.kind === EngineOrderKind.SetRole) return `${order.kind} ${order.role}`
  const { model, version, layers, adapters } = order.part
  return `${order.kind} ${model} ${version} ${layers.from}-${layers.to}${adapters.length > 0 ? ` ${adapters.join('+')}` : ''}`
}

function planBuild (input: PlanInput, target: ManifestTarget): Difference[] {
  const report = input.reports.get(target.name)
  if (report === undefined) {
    const reason = input.isLeaving(target.name) ? PendingReason.Leaving : PendingReason.Unreachable
    return [{ target, readsWeights: false, blockedBy: reason }]
  }
  const blockedBy = barrier(input, target, report)
  const orders: EngineOrder[] = []
  const isUnfenced = target.checksFencing && (report.fencingToken ?? 0) < input.token
  if (report.role !== target.role || isUnfenced) orders.push({ kind: EngineOrderKind.SetRole, role: target.role })
  for (const declared of target.serves) {
    const wanted = toPart(declared)
    const held = report.held.find(part => isSamePart(part, wanted))
    if (held !== undefined && wanted.adapters.every(adapter => held.adapters.includes(adapter))) continue
    const adapters = [...new Set([...wanted.adapters, ...held?.adapters ?? []])].sort()
    orders.push({ kind: EngineOrderKind.Load, part: { ...wanted, adapters } })
  }
  return orders.map(order => ({ target, order, readsWeights: order.kind === EngineOrderKind.Load, blockedBy }))
}

function barrier (input: PlanInput, target: ManifestTarget, report: EngineReport): PendingReason | undefined {
  if (input.isLeaving(target.name)) return PendingReason.Leaving
  if (target.checksFencing) return (report.fencingToken ?? 0) > input.token ? PendingReason.Fenced : undefined
  return input.isWaitedOut ? undefined : PendingReason.WaitingOutHolder
}

function planRemovals (input: PlanInput, targets: ManifestTarget[]): Difference[] {
  let serving = listServing(input)
  const differences: Difference[] = []
  for (const target of targets) {
    const report = input.reports.get(target.name)
    for (const held of report?.held ?? []) {
      if (report === undefined) continue
      const removal = removalOf(target, held)
      if (removal === undefined) continue
      const blockedBy = barrier(input, target, report) ?? keepReason(input, target, report, held, removal.departures, serving)
      differences.push({ target, order: removal.order, readsWeights: false, blockedBy })
      if (blockedBy === undefined) serving = serving.filter(({ target: name, part }) => name !== target.name || !isSamePart(part, held))
    }
  }
  return differences
}

function removalOf (target: ManifestTarget, held: HeldPart): { order: EngineOrder, departures: Departure[] } | undefined {
  const part = pickPart(held)
  const departure = { target: target.name, role: target.role, part }
  const declared = target.serves.map(toPart).find(wanted => isSamePart(wanted, held))
  if (declared === undefined) return { order: { kind: EngineOrderKind.Unload, part }, departures: [departure] }
  const surplus = held.adapters.filter(adapter => !declared.adapters.includes(adapter))
  if (surplus.length === 0 || !declared.adapters.every(adapter => held.adapters.includes(adapter))) return undefined
  return {
    order: { kind: EngineOrderKind.Load, part: declared },
    departures: surplus.map(adapter => ({ ...departure, adapter }))
  }
}

function keepReason (
  input: PlanInput, target: ManifestTarget, report: EngineReport, held: EngineReport['held'][number],
  departures: Departure[], serving: readonly ServingPart[]
): PendingReason | undefined {
  if (input.inForceForMilliseconds < SETTLE_MILLISECONDS) return PendingReason.Settling
  const compiled = input.version.models.get(held.model)
  if (compiled?.model.versions.includes(held.version) !== true) return isVersionUsed(input, held) ? PendingReason.InUse : undefined
  const adapters = declaredAdapters(compiled, held.version)
  if (departures.some(departure => isKept(departure, adapters, serving, compiled.model.layers))) return PendingReason.LastReplica
  return isPartUsed(input, held, isIdle(report)) ? PendingReason.InUse : undefined
}

function declaredAdapters ({ options }: CompiledModel, version: string): ReadonlySet<string> {
  return new Set(options.filter(option => option.version === version).flatMap(option => option.adapters))
}

function isKept (departure: Departure, adapters: ReadonlySet<string>, serving: readonly ServingPart[], layers: number): boolean {
  if (departure.adapter !== undefined) return adapters.has(departure.adapter) && !isStillServed(departure, serving, layers)
  const own = departure.part.adapters.filter(adapter => adapters.has(adapter))
  return [undefined, ...own].some(adapter => !isStillServed({ ...departure, adapter }, serving, layers))
}

/** Requests end under the version that they began with, so a version of unknown use is kept for the drain. */
function isVersionUsed (input: PlanInput, held: HeldPart): boolean {
  return [...input.reports.values()].some(report => report.held.some(part =>
    part.model === held.model && part.version === held.version && isPartUsed(input, part, false)))
}

function isPartUsed (input: PlanInput, held: EngineReport['held'][number], isSurelyUnused: boolean): boolean {
  if (held.running !== undefined) return held.running > 0
  return !isSurelyUnused && input.inForceForMilliseconds < input.drainMilliseconds
}

function isIdle (report: EngineReport): boolean {
  return report.running + report.queued === 0
}

function listServing (input: PlanInput): ServingPart[] {
  return [...input.reports.values()].flatMap(report => {
    const target = input.version.targets.get(report.target)
    if (target === undefined || input.isLeaving(target.name)) return []
    const isOwn = target.failureDomain === input.failureDomain
    if (isOwn && !isSecured(input, target, report)) return []
    return report.held.filter(part => isOwn ? !input.isDoubtful(target.name, part) : isDeclaredAt(target, part))
      .map(part => ({ target: target.name, role: report.role, part }))
  })
}

function isSecured (input: PlanInput, target: ManifestTarget, report: EngineReport): boolean {
  return target.checksFencing ? report.fencingToken === input.token : input.isWaitedOut
}

function isDeclaredAt (target: ManifestTarget, part: HeldPart): boolean {
  return target.serves.some(declared => isSamePart(toPart(declared), part))
}

function toPart (declared: ManifestPart): HeldPart {
  const { model, version, adapters, layers } = declared
  return { model, version, adapters: [...adapters].sort(), layers: { from: layers[0], to: layers[1] } }
}

function pickPart ({ model, version, adapters, layers }: HeldPart): HeldPart {
  return { model, version, adapters, layers }
}
