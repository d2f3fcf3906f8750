/**
 * Sends the orders that keep every layer of the model on some card. Only the lease holder sends them. Each step compares the targets as
 * listed with the plan, so a missed step does no harm.
 */
import { OrderResult } from '../../connection/dialect.js'
import type { EngineClient } from '../../connection/engine-client.js'
import type { Service } from '../../version/configuration.js'
import { incarnationOf } from '../../version/target.js'
import type { ConfigurationState } from '../configuration-state.js'
import type { Directory } from '../directory.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'
import { kindOf, maxLayers } from '../routing/stage-cost.js'
import type { CoordinatorLease } from './lease.js'
import type { Placement } from './cards.js'
import { planInitial, planRepair } from './plan.js'
import { createServiceCards, type ServiceCards } from './service-cards.js'

/** Dependencies of the planner. */
export interface PlannerDependencies {
  configurationState: ConfigurationState
  directory: Directory
  engines: EngineClient
  lease: CoordinatorLease
  log: RelayLog
}

/** Plans placements and sends the orders. */
export interface Planner {
  /** Runs one planning step. It sends orders only if this process holds the lease. */
  step: () => Promise<void>
}

/** Report timeout, milliseconds. If a card's report is later, the card is polled again in a later step. */
const REPORT_TIMEOUT_MILLISECONDS = 400
/** A span whose order was accepted counts as held for twice its load time plus this slack, milliseconds. */
const ORDER_SLACK_MILLISECONDS = 4000
/** How long a card counts as holding a span whose order is not confirmed, milliseconds. Then it is planned again. */
const UNCONFIRMED_ORDER_MILLISECONDS = 1200

/** Creates a planner. */
export function createPlanner (dependencies: PlannerDependencies): Planner {
  /** Cards of each service that is placed, by its name. */
  const cardsByService = new Map<string, ServiceCards>()

  async function step (): Promise<void> {
    const current = dependencies.configurationState.current()
    if (current === undefined) return
    const placed = [...current.configuration.services.values()].filter(isPlaced)
    for (const name of cardsByService.keys()) if (!placed.some(service => service.name === name)) cardsByService.delete(name)
    await Promise.all(placed.map(stepService))
  }

  async function stepService (service: Service): Promise<void> {
    const profile = service.engine!
    const targets = dependencies.directory.listed(service.name)
      .filter(target => !target.isLeaving && !dependencies.directory.isSuspectedLost(target))
    const serviceCards = cardsOf(service)
    serviceCards.track(targets)
    if (!dependencies.lease.isHeld() || targets.length === 0) return
    const cards = serviceCards.toCards(targets, profile)
    const placements = cards.every(card => card.held === undefined)
      ? serviceCards.isQuiet() ? planInitial(cards, profile) : []
      : planRepair(cards, profile, serviceCards.stability)
    await Promise.all(placements.map(placement => sendOrder(placement, service, serviceCards)))
  }

  function cardsOf ({ name }: Service): ServiceCards {
    const known = cardsByService.get(name) ?? createServiceCards()
    cardsByService.set(name, known)
    return known
  }

  async function sendOrder (placement: Placement, service: Service, { recordOrder }: ServiceCards): Promise<void> {
    const profile = service.engine!
    const target = dependencies.directory.find(placement.id)
    if (target === undefined) return
    const incarnation = incarnationOf(target)
    const { from, to } = placement
    // A card that is given more layers than fit into its memory crashes with all its running requests, so this is checked here regardless
    // of the plan.
    if (to - from > maxLayers(kindOf(target, profile), profile)) {
      dependencies.log.warn(RelayEvent.OrderWithheld, { target: target.id, from, to, kind: target.acceleratorKind })
      return
    }
    const loadMilliseconds = profile.loadMilliseconds * (to - from) / profile.layers
    recordOrder(incarnation, placement, UNCONFIRMED_ORDER_MILLISECONDS)
    const report = await dependencies.engines.report(target, REPORT_TIMEOUT_MILLISECONDS)
    if (report === undefined || report.isBusyWithOrder || report.bornAtMilliseconds !== target.bornAtMilliseconds) return
    if (!dependencies.lease.isHeld()) return
    const result = await dependencies.engines.place(target, {
      from, to, expectedOrders: report.ordersAccepted, fence: dependencies.lease.fence()
    })
    dependencies.log.info(RelayEvent.OrderSent, {
      target: target.id,
      from,
      to,
      heldFrom: target.layers?.from,
      heldTo: target.layers?.to,
      expectedOrders: report.ordersAccepted,
      fence: dependencies.lease.fence(),
      result
    })
    recordOrder(
      incarnation, placement,
      result === OrderResult.Accepted ? loadMilliseconds * 2 + ORDER_SLACK_MILLISECONDS : UNCONFIRMED_ORDER_MILLISECONDS
    )
  }

  return { step }
}

/** Whether the layers of a service are placed on its targets. */
export function isPlaced ({ engine }: Service): boolean {
  return engine !== undefined && engine.acceleratorKinds.size > 0
}
