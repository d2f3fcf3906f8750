/**
 * Gives the orders that keep every layer on cards: one process at a time, level-triggered from what the targets list.
 */
import { OrderResult } from '../../connection/dialect.js'
import type { EngineClient } from '../../connection/engine-client.js'
import type { EngineProfile, Service } from '../../version/configuration.js'
import { lifeOf, type Target } from '../../version/target.js'
import type { Beliefs } from '../beliefs.js'
import type { Directory } from '../directory.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'
import { kindOf, mostLayers } from '../stage-cost.js'
import type { CoordinatorLease } from './lease.js'
import { gapsOf, type Card, type LayerSpan, type Placement } from './cards.js'
import { isThin, planFirst, planRepair } from './plan.js'

/** Parts of the planner. */
export interface PlannerParts {
  beliefs: Beliefs
  directory: Directory
  engines: EngineClient
  lease: CoordinatorLease
  log: RelayLog
}

/** Gives orders. */
export interface Planner {
  /** Looks once, and orders what is missing if this process holds the lease. */
  step: () => Promise<void>
}

/** Empty cards are only placed on together once no further one has come for so long, milliseconds: over one heartbeat of the list. */
const STABLE_MILLISECONDS = 1500
/** After a card with layers came, others of its failure domain may be on their way back for so long, milliseconds: two heartbeats. */
const RETURN_MILLISECONDS = 2500
/** A gap is closed by neighbours once it has been there for so long, milliseconds: an empty card that takes it may just start. */
const GAP_MILLISECONDS = 200
/**
 * A layer that other chains of the failure domain hold is given to further cards once a chain has lacked it for so long, milliseconds: a
 * crashed card is back within some seconds, empty, and takes the gap without any other card changing.
 */
const THIN_MILLISECONDS = 6000
/** An empty card waits so long for a neighbour to leave before it reinforces a stage, milliseconds. */
const SETTLED_MILLISECONDS = 2500
/** A card whose report is late is asked again after so long, milliseconds. */
const REPORT_LIMIT_MILLISECONDS = 400
/** An ordered span counts as held for its load time and so long, milliseconds. */
const ORDER_SLACK_MILLISECONDS = 4000
/** A span in doubt is looked at again after so long, milliseconds. */
const DOUBT_MILLISECONDS = 1200

interface Pending extends LayerSpan {
  until: number
}

/** Makes a planner. */
export function createPlanner (parts: PlannerParts): Planner {
  const pending = new Map<string, Pending>()
  const firstSeen = new Map<string, number>()
  /** Steady times by failure domain. */
  const cameAt = new Map<string, number>()
  const cameWithLayersAt = new Map<string, number>()
  const gapSince = new Map<string, number>()
  const thinSince = new Map<string, number>()

  async function step (): Promise<void> {
    const version = parts.beliefs.version()
    if (version === undefined) return
    for (const service of version.configuration.services.values()) {
      if (service.engine !== undefined && service.engine.kinds.size > 0) await stepService(service)
    }
  }

  async function stepService (service: Service): Promise<void> {
    const engine = service.engine!
    const targets = parts.directory.listed(service.name).filter(target => !target.isLeaving && !parts.directory.isHeldLost(target))
    noteChanges(targets)
    if (!parts.lease.isHeld() || targets.length === 0) return
    const cards = targets.map(target => toCard(target, service))
    noteGaps(cards, engine)
    const isFirst = cards.every(card => card.held === undefined)
    const placements = isFirst
      ? [...cameAt.values()].every(at => isPast(at, STABLE_MILLISECONDS)) ? planFirst(cards, engine) : []
      : planRepair(cards, engine, {
        isSettled: domain => isPast(cameAt.get(domain), STABLE_MILLISECONDS),
        mayExtend: domain => isPast(cameWithLayersAt.get(domain), RETURN_MILLISECONDS) && isPast(gapSince.get(domain), GAP_MILLISECONDS),
        mayReinforce: domain => isPast(thinSince.get(domain), THIN_MILLISECONDS)
      })
    await Promise.all(placements.map(placement => order(placement, service)))
  }

  function noteChanges (targets: readonly Target[]): void {
    const now = performance.now()
    const present = new Set(targets.map(lifeOf))
    for (const target of targets) {
      const life = lifeOf(target)
      if (firstSeen.has(life)) continue
      firstSeen.set(life, now)
      cameAt.set(target.failureDomain, now)
      if (target.layers !== undefined) cameWithLayersAt.set(target.failureDomain, now)
    }
    for (const life of [...firstSeen.keys()]) {
      if (present.has(life)) continue
      firstSeen.delete(life)
      pending.delete(life)
    }
  }

  function noteGaps (cards: readonly Card[], engine: EngineProfile): void {
    for (const domain of new Set(cards.map(card => card.failureDomain))) {
      const here = cards.filter(card => card.failureDomain === domain)
      noteSince(gapSince, domain, gapsOf(here, engine.layers).length > 0)
      noteSince(thinSince, domain, isThin(here, engine))
    }
  }

  function toCard (target: Target, service: Service): Card {
    const life = lifeOf(target)
    const now = performance.now()
    const ordered = pending.get(life)
    const isThere = ordered !== undefined && target.layers?.from === ordered.from && target.layers.to === ordered.to
    if (ordered !== undefined && (isThere || ordered.until < now)) pending.delete(life)
    const awaited = pending.get(life)
    return {
      id: target.id,
      failureDomain: target.failureDomain,
      kind: kindOf(target, service.engine!),
      held: awaited ?? target.layers,
      isBusy: awaited !== undefined,
      isSettled: now - (firstSeen.get(life) ?? now) > SETTLED_MILLISECONDS
    }
  }

  async function order (placement: Placement, service: Service): Promise<void> {
    const engine = service.engine!
    const target = parts.directory.find(placement.id)
    if (target === undefined) return
    const life = lifeOf(target)
    const { from, to } = placement
    // A card that is given more than its memory holds ends, with all that runs on it: checked again whatever the plan says.
    if (to - from > mostLayers(kindOf(target, engine), engine)) {
      parts.log.warn(RelayEvent.OrderWithheld, { target: target.id, from, to, kind: target.acceleratorKind })
      return
    }
    const loadMilliseconds = engine.loadMilliseconds * (to - from) / engine.layers
    pending.set(life, { from, to, until: performance.now() + DOUBT_MILLISECONDS })
    const report = await parts.engines.report(target, REPORT_LIMIT_MILLISECONDS)
    if (report === undefined || report.isBusyWithOrder || report.bornAtMilliseconds !== target.bornAtMilliseconds) return
    if (!parts.lease.isHeld()) return
    const result = await parts.engines.place(target, { from, to, expectedOrders: report.ordersAccepted, fence: parts.lease.fence() })
    parts.log.note(RelayEvent.OrderSent, {
      target: target.id,
      from,
      to,
      heldFrom: target.layers?.from,
      heldTo: target.layers?.to,
      expectedOrders: report.ordersAccepted,
      fence: parts.lease.fence(),
      result
    })
    const until = performance.now() + (result === OrderResult.Taken ? loadMilliseconds * 2 + ORDER_SLACK_MILLISECONDS : DOUBT_MILLISECONDS)
    pending.set(life, { from, to, until })
  }

  return { step }
}

function noteSince (since: Map<string, number>, domain: string, holds: boolean): void {
  if (!holds) since.delete(domain)
  else if (!since.has(domain)) since.set(domain, performance.now())
}

function isPast (at: number | undefined, milliseconds: number): boolean {
  return at === undefined || performance.now() - at > milliseconds
}
