/**
 * What a process knows of the cards of one service: when they have come and gone, and which orders are under way. Nothing of it concerns
 * another service: the cards of one that is laid out, restarts or ends must not hold another one up.
 */
import type { EngineProfile } from '../../version/configuration.js'
import { incarnationOf, type Target } from '../../version/target.js'
import { kindOf } from '../routing/stage-cost.js'
import { gapsOf, type Card, type LayerSpan } from './cards.js'
import { canHold, isUnderReplicated, repairGroupsOf, type LayoutStability } from './plan.js'

/** The cards of one service over time. */
export interface ServiceCards {
  /** Takes note of the targets that may hold layers now. What was known of one that is missing is dropped. */
  track: (targets: readonly Target[]) => void
  /**
   * @returns the cards of targets that were tracked just now, with what they hold or are about to hold. Empty ones that have just joined
   * are left out where the others have waited long enough for further cards.
   */
  toCards: (targets: readonly Target[], profile: EngineProfile) => Card[]
  /** Whether no card has joined for a while, so that empty cards can be placed together. */
  isQuiet: () => boolean
  stability: LayoutStability
  /** Counts a span as held for a time, because its order is under way. */
  recordOrder: (incarnation: string, span: LayerSpan, milliseconds: number) => void
}

/**
 * Empty cards are only placed together once no further card has joined for this time, milliseconds: more than the interval at which a
 * target renews its entry.
 */
const ARRIVAL_QUIET_MILLISECONDS = 1500
/**
 * Longest wait for further empty cards, milliseconds: a card that keeps restarting must not hold up those that stay. From then on, only
 * cards that have stayed for a while are laid out.
 */
const MAX_ARRIVAL_WAIT_MILLISECONDS = 5000
/**
 * Time after which a failure domain that can't hold the model alone shares a chain with others, milliseconds: a card that crashed is back
 * within some seconds.
 */
const SHARE_DELAY_MILLISECONDS = 6000
/**
 * How long after a card with layers has joined, other cards of its failure domain may still be about to return, milliseconds: two intervals
 * at which a target renews its entry.
 */
const RETURN_GRACE_MILLISECONDS = 2500
/** Neighbours close a gap only once it has lasted for this time, milliseconds: an empty card that can fill it may just be starting. */
const GAP_GRACE_MILLISECONDS = 200
/**
 * Time after which other cards take over a layer that one chain lacks but others of its failure domain hold, milliseconds. A card that
 * crashed is back within some seconds, empty, and then fills the gap without a change to any other card.
 */
const REINFORCE_DELAY_MILLISECONDS = 6000
/**
 * How long no card of a failure domain must have joined or been lost before the whole domain is laid out anew, milliseconds: a card that
 * crashed is back within some seconds.
 */
const BALANCE_DELAY_MILLISECONDS = 6000
/**
 * How long an empty card is reserved after it was first listed, milliseconds: until then it only fills missing layers, because it may be
 * needed to replace a leaving card.
 */
const EMPTY_SETTLED_MILLISECONDS = 2500

interface PendingOrder extends LayerSpan {
  /** Monotonic time until which the span counts as held, milliseconds. */
  until: number
}

/** What is known of one card, by its incarnation. */
interface SeenCard {
  failureDomain: string
  firstSeenAt: number
  order?: PendingOrder
}

/** What is known of one failure domain. Monotonic times, milliseconds. */
interface SeenDomain {
  lastArrivalAt?: number
  lastArrivalWithLayersAt?: number
  /** When a card has last joined or been lost. */
  lastChangeAt?: number
  /** Since when all of its cards are empty. */
  emptySince?: number
  /** Since when it can't hold the model alone. */
  incapableSince?: number
  gapSince?: number
  underReplicatedSince?: number
}

/** Creates the state of a service of which no card was seen. */
export function createServiceCards (): ServiceCards {
  const seenCards = new Map<string, SeenCard>()
  const seenDomains = new Map<string, SeenDomain>()

  function domainOf (failureDomain: string): SeenDomain {
    const domain = seenDomains.get(failureDomain) ?? {}
    seenDomains.set(failureDomain, domain)
    return domain
  }

  function trackArrivals (targets: readonly Target[], now: number): void {
    for (const target of targets) {
      const incarnation = incarnationOf(target)
      if (seenCards.has(incarnation)) continue
      seenCards.set(incarnation, { failureDomain: target.failureDomain, firstSeenAt: now })
      const domain = domainOf(target.failureDomain)
      domain.lastArrivalAt = now
      domain.lastChangeAt = now
      if (target.layers !== undefined) domain.lastArrivalWithLayersAt = now
    }
    const present = new Set(targets.map(incarnationOf))
    for (const [incarnation, { failureDomain }] of seenCards) {
      if (present.has(incarnation)) continue
      seenCards.delete(incarnation)
      domainOf(failureDomain).lastChangeAt = now
    }
    forgetEmptyDomains(new Set(targets.map(({ failureDomain }) => failureDomain)))
  }

  /** Forgets failure domains that have had no card for a while: cards that come later wait for each other anew. */
  function forgetEmptyDomains (present: ReadonlySet<string>): void {
    for (const [failureDomain, { lastChangeAt }] of seenDomains) {
      if (!present.has(failureDomain) && hasElapsed(lastChangeAt, BALANCE_DELAY_MILLISECONDS)) seenDomains.delete(failureDomain)
    }
  }

  /** Records since when each failure domain lacks something. Domains that share a chain lack what all of them lack. */
  function trackGaps (cards: readonly Card[], profile: EngineProfile, now: number): void {
    for (const group of repairGroupsOf(cards, profile, stability.mayShare)) {
      const hasGap = gapsOf(group.cards, profile.layers).length > 0
      const isLacking = isUnderReplicated(group.cards, profile)
      for (const failureDomain of group.domains) {
        const domain = domainOf(failureDomain)
        const domainCards = group.cards.filter(card => card.failureDomain === failureDomain)
        domain.gapSince = hasGap ? domain.gapSince ?? now : undefined
        domain.underReplicatedSince = isLacking ? domain.underReplicatedSince ?? now : undefined
        domain.emptySince = domainCards.every(({ held }) => held === undefined) ? domain.emptySince ?? now : undefined
        domain.incapableSince = canHold(domainCards, profile) ? undefined : domain.incapableSince ?? now
      }
    }
  }

  function toCard (target: Target, profile: EngineProfile, now: number): Card {
    const seen = seenCards.get(incarnationOf(target))!
    const isLoaded = seen.order !== undefined && target.layers?.from === seen.order.from && target.layers.to === seen.order.to
    if (seen.order !== undefined && (isLoaded || seen.order.until < now)) seen.order = undefined
    return {
      id: target.id,
      failureDomain: target.failureDomain,
      kind: kindOf(target, profile),
      held: seen.order ?? target.layers,
      isBusy: seen.order !== undefined,
      isSettled: now - seen.firstSeenAt > EMPTY_SETTLED_MILLISECONDS
    }
  }

  const stability: LayoutStability = {
    isSettled: domain => isQuiet(domainOf(domain)) || hasWaited(domainOf(domain)),
    mayExtend: domain => hasElapsed(domainOf(domain).lastArrivalWithLayersAt, RETURN_GRACE_MILLISECONDS) &&
      hasElapsed(domainOf(domain).gapSince, GAP_GRACE_MILLISECONDS),
    mayBalance: domain => hasElapsed(domainOf(domain).lastChangeAt, BALANCE_DELAY_MILLISECONDS),
    mayReinforce: domain => hasElapsed(domainOf(domain).underReplicatedSince, REINFORCE_DELAY_MILLISECONDS),
    mayShare (domain) {
      const { incapableSince } = domainOf(domain)
      return incapableSince !== undefined && hasElapsed(incapableSince, SHARE_DELAY_MILLISECONDS)
    }
  }

  return {
    track (targets) {
      trackArrivals(targets, performance.now())
    },
    toCards (targets, profile) {
      const now = performance.now()
      const cards = targets.map(target => toCard(target, profile, now))
      trackGaps(cards, profile, now)
      return cards.filter(({ isSettled, held, failureDomain }) => isSettled || held !== undefined || isQuiet(domainOf(failureDomain)) ||
        !hasWaited(domainOf(failureDomain)))
    },
    isQuiet: () => [...seenDomains.values()].every(domain => isQuiet(domain) || hasWaited(domain)),
    stability,
    recordOrder (incarnation, { from, to }, milliseconds) {
      const seen = seenCards.get(incarnation)
      if (seen !== undefined) seen.order = { from, to, until: performance.now() + milliseconds }
    }
  }
}

/** Whether no card has joined a failure domain for a while. */
function isQuiet ({ lastArrivalAt }: SeenDomain): boolean {
  return hasElapsed(lastArrivalAt, ARRIVAL_QUIET_MILLISECONDS)
}

/** Whether the empty cards of a failure domain have waited long enough for others to join. */
function hasWaited ({ emptySince }: SeenDomain): boolean {
  return emptySince !== undefined && hasElapsed(emptySince, MAX_ARRIVAL_WAIT_MILLISECONDS)
}

function hasElapsed (at: number | undefined, milliseconds: number): boolean {
  return at === undefined || performance.now() - at > milliseconds
}
