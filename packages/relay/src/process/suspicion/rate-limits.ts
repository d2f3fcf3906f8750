/**
 * Keeps to the request rates that targets name: a rate holds for all VMs together, so each VM may use a share of it.
 */
import { digestKey } from '../../version/digest.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'

/** What a target last stated about its rate, as it is told to peers. */
export interface RateStatement {
  incarnation: string
  /** Requests a second from all VMs together; undefined if the target has ended its limit. */
  requestsPerSecond?: number
  /** Time since the answer that stated it, milliseconds. */
  ageMilliseconds: number
}

/** The rates that targets have named, and this VM's share of them. */
export interface RateLimits {
  /** @returns milliseconds until this VM may send a request to a target; 0 if it may send one now. */
  waitFor: (incarnation: string) => number
  /** Counts a request to a target, of any kind. */
  recordSend: (incarnation: string) => void
  /**
   * Takes note of an answer.
   * @param requestsPerSecond rate that it states; undefined if it states none, NaN if what it states is not a rate.
   */
  recordAnswer: (incarnation: string, requestsPerSecond: number | undefined) => void
  /** Applies a statement that a peer has heard, if it is newer than the one known. */
  learn: (statement: RateStatement) => void
  /** @returns statements for gossip, newest first. */
  statements: () => RateStatement[]
}

/** A VM that may send to a target. */
export interface Sender {
  vm: string
  isLocal: boolean
}

/** Dependencies of the limits. */
export interface RateLimitsDependencies {
  ownVm: string
  /** @returns all VMs, including this one, and whether they share the failure domain of a target. */
  sendersTo: (incarnation: string) => readonly Sender[]
  log: RelayLog
}

/** Lowest rate that is used, requests a second: a target that names zero is still asked now and then whether that holds. */
const MINIMUM_RATE = 0.1
/** Number of senders in addition to one for each request a second: the users' bound allows five requests beside the rate. */
const EXTRA_SENDERS = 2
/**
 * Share of a VM in another failure domain than the target, relative to a local VM. A remote VM needs little, because it prefers targets of
 * its own failure domain; without any share, its callers would be refused where those are lost.
 */
const REMOTE_WEIGHT = 0.15
/** Wait of a VM without a share, milliseconds: callers that retry then may reach another VM, or the limit may have ended. */
const NO_SHARE_WAIT_MILLISECONDS = 2000
/** Requests that one VM may send at once, beside those of `BURST_SECONDS`. */
const BURST_REQUESTS = 1
/** Time for which an unused share is saved, seconds. */
const BURST_SECONDS = 0.5
/**
 * How long a statement holds without a newer one, milliseconds. VMs that use the target hear one with each answer, and gossip them; with
 * the minimum rate, two senders ask every 20 seconds.
 */
const STATEMENT_EXPIRY_MILLISECONDS = 30_000
/** Interval at which a share is calculated again if the list of VMs has changed, milliseconds. */
const SHARE_CHECK_MILLISECONDS = 1000
/** Number of statements that one message lists: a datagram must hold them beside the load counts. */
const MAXIMUM_TOLD = 100
const MILLISECONDS_PER_SECOND = 1000

interface Limit {
  requestsPerSecond?: number
  /** Monotonic time of the answer that stated it, milliseconds. */
  statedAt: number
  /** Requests that this VM may send now; negative after calls that were not held back. */
  tokens: number
  refilledAt: number
  /** This VM's share, requests a second. */
  share: number
  /** Rate and VMs from which the share was calculated. */
  shareBasis: string
  shareCheckedAt: number
}

/** Creates the limits of a process that knows none. */
export function createRateLimits (dependencies: RateLimitsDependencies): RateLimits {
  const { ownVm, log } = dependencies
  const limits = new Map<string, Limit>()
  const faultyIncarnations = new Set<string>()

  /** @returns the limit of a target, with the tokens of this moment; undefined if the target has none. */
  function findActive (incarnation: string): Limit | undefined {
    const limit = limits.get(incarnation)
    if (limit?.requestsPerSecond === undefined) return undefined
    const now = performance.now()
    if (now - limit.statedAt > STATEMENT_EXPIRY_MILLISECONDS) return undefined
    if (now - limit.shareCheckedAt > SHARE_CHECK_MILLISECONDS) updateShare(incarnation, limit, limit.requestsPerSecond)
    const capacity = limit.share === 0 ? 0 : BURST_REQUESTS + limit.share * BURST_SECONDS
    const refill = limit.share * (now - limit.refilledAt) / MILLISECONDS_PER_SECOND
    limit.tokens = Math.min(capacity, limit.tokens + refill)
    limit.refilledAt = now
    return limit
  }

  function updateShare (incarnation: string, limit: Limit, requestsPerSecond: number): void {
    limit.shareCheckedAt = performance.now()
    const candidates = dependencies.sendersTo(incarnation)
    const basis = `${requestsPerSecond} ${candidates.map(({ vm }) => vm).join(' ')}`
    if (basis === limit.shareBasis) return
    limit.shareBasis = basis
    limit.share = chooseShare(incarnation, requestsPerSecond, candidates)
  }

  /**
   * @returns this VM's part of a rate, requests a second. The rate is divided among so few VMs that all their bursts together stay within
   * the bound; which ones is the same in the view of each VM.
   */
  function chooseShare (incarnation: string, requestsPerSecond: number, candidates: readonly Sender[]): number {
    const rate = Math.max(MINIMUM_RATE, requestsPerSecond)
    const maximumSenders = Math.floor(rate) + EXTRA_SENDERS
    const senders = candidates.length <= maximumSenders ? candidates : chooseByDigest(candidates, incarnation, maximumSenders)
    const own = senders.find(({ vm }) => vm === ownVm)
    return own === undefined ? 0 : rate * weightOf(own) / senders.reduce((sum, sender) => sum + weightOf(sender), 0)
  }

  function apply (incarnation: string, requestsPerSecond: number | undefined, statedAt: number): void {
    const now = performance.now()
    const known = limits.get(incarnation)
    if (known === undefined ? requestsPerSecond === undefined : known.statedAt >= statedAt) return
    const isChanged = known?.requestsPerSecond !== requestsPerSecond
    if (isChanged) {
      log.info(RelayEvent.TargetLimited, {
        incarnation, requestsPerSecond, before: known?.requestsPerSecond, ageMilliseconds: Math.round(now - statedAt)
      })
    }
    limits.set(incarnation, {
      tokens: BURST_REQUESTS,
      refilledAt: now,
      share: 0,
      shareBasis: '',
      ...known,
      requestsPerSecond,
      statedAt,
      shareCheckedAt: isChanged ? -Infinity : known!.shareCheckedAt
    })
  }

  function dropExpired (): void {
    for (const [incarnation, { statedAt }] of limits) {
      if (performance.now() - statedAt > STATEMENT_EXPIRY_MILLISECONDS) limits.delete(incarnation)
    }
  }

  return {
    waitFor (incarnation) {
      if (limits.size === 0) return 0
      const limit = findActive(incarnation)
      if (limit === undefined || limit.tokens >= 1) return 0
      if (limit.share === 0) return NO_SHARE_WAIT_MILLISECONDS
      return (1 - limit.tokens) / limit.share * MILLISECONDS_PER_SECOND
    },
    recordSend (incarnation) {
      if (limits.size === 0) return
      const limit = findActive(incarnation)
      if (limit !== undefined) limit.tokens -= 1
    },
    recordAnswer (incarnation, requestsPerSecond) {
      if (requestsPerSecond === undefined && limits.size === 0) return
      if (requestsPerSecond === undefined || requestsPerSecond >= 0) return apply(incarnation, requestsPerSecond, performance.now())
      if (!faultyIncarnations.has(incarnation)) log.warn(RelayEvent.TargetLimitFaulty, { incarnation, requestsPerSecond })
      faultyIncarnations.add(incarnation)
      if (faultyIncarnations.size > MAXIMUM_TOLD) faultyIncarnations.delete(faultyIncarnations.values().next().value!)
    },
    learn ({ incarnation, requestsPerSecond, ageMilliseconds }) {
      if (ageMilliseconds < STATEMENT_EXPIRY_MILLISECONDS) apply(incarnation, requestsPerSecond, performance.now() - ageMilliseconds)
    },
    statements () {
      dropExpired()
      const now = performance.now()
      const newest = [...limits].sort(([, a], [, b]) => b.statedAt - a.statedAt).slice(0, MAXIMUM_TOLD)
      return newest.map(([incarnation, { requestsPerSecond, statedAt }]) =>
        ({ incarnation, requestsPerSecond, ageMilliseconds: Math.round(now - statedAt) }))
    }
  }
}

function weightOf ({ isLocal }: Sender): number {
  return isLocal ? 1 : REMOTE_WEIGHT
}

/** Chooses local VMs before others, and by the digests of their names together with the target, so that each VM chooses the same ones. */
function chooseByDigest (senders: readonly Sender[], incarnation: string, count: number): Sender[] {
  const ranked = senders.map(sender => ({ sender, rank: (sender.isLocal ? '0' : '1') + digestKey(`${incarnation} ${sender.vm}`) }))
  return ranked.sort((a, b) => a.rank < b.rank ? -1 : 1).slice(0, count).map(({ sender }) => sender)
}
