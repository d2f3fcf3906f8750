/**
 * Sends engine orders while this node holds the lease. The remaining time of the lease is checked right before each order, and
 * the order's deadline ends before the lease expires.
 */
import { EngineOrderKind, FailureKind, describeFailure, type EnginePort, type Failure, type ModelPart } from '@wigeonlead/protocol'
import { LogEvent, type Logger } from '../logging.js'
import { isSamePart } from './cover.js'
import type { FencingLease } from './lease.js'
import { createLoadRateLimiter, type LoadRateLimits } from './pace.js'
import { PendingReason, describeOrder, type Difference } from './plan.js'

/** Result of an attempt to send an order. */
export interface OrderResult {
  reason: PendingReason
  detail?: string
}

/** Sends the orders of one tenure, the time from acquiring the lease to losing it. */
export interface OrderDispatch {
  /**
   * Sends an order, unless it is blocked, rate-limited or was sent recently, or the lease is lost or expires too soon.
   * @param incarnation incarnation of the engine, from its report: after an engine restart an order counts as not sent.
   */
  send: (difference: Difference, incarnation: string) => Promise<OrderResult>
  /** Returns whether an order that was already sent may still change the part. */
  mayStillChange: (target: string, part: ModelPart) => boolean
}

/** Dependencies and settings of the dispatch. */
export interface OrderDispatchOptions {
  engines: EnginePort
  lease: FencingLease
  logger: Logger
  /** Fencing token of the tenure. */
  token: number
  orderDeadlineMilliseconds: number
  /** Time from sending an order after which it can no longer take effect. */
  orderLifetimeMilliseconds: number
  loadRate: LoadRateLimits
}

/** An order that was sent and may still change the part. */
interface OutstandingOrder {
  target: string
  part: ModelPart
  untilMilliseconds: number
}

interface Attempt extends OrderResult {
  incarnation: string
  /** Earliest time of the next attempt, on the monotonic clock. */
  retryAt: number
}

const MINIMUM_DEADLINE_MILLISECONDS = 100
const ACCEPTED_RESEND_MILLISECONDS = 30_000
const REFUSED_RESEND_MILLISECONDS = 10_000

/** Creates the dispatch of one tenure. */
export function createOrderDispatch (options: OrderDispatchOptions): OrderDispatch {
  const loadLimiter = createLoadRateLimiter(options.loadRate)
  const attempts = new Map<string, Attempt>()
  let outstandingOrders: OutstandingOrder[] = []

  async function send (difference: Difference, incarnation: string): Promise<OrderResult> {
    const { target, order, blockedBy } = difference
    if (blockedBy !== undefined || order === undefined) return { reason: blockedBy ?? PendingReason.Unreachable }
    const key = `${target.name} ${describeOrder(order)}`
    const last = attempts.get(key)
    if (last?.incarnation === incarnation && performance.now() < last.retryAt) return { reason: last.reason, detail: last.detail }
    const isRepeat = last?.incarnation === incarnation && last.reason === PendingReason.AnswerLost
    if (difference.readsWeights && !isRepeat && !loadLimiter.tryTake()) return { reason: PendingReason.RateLimited }
    const lease = options.lease.current()
    const deadline = Math.min(options.orderDeadlineMilliseconds, lease?.remainingMilliseconds ?? 0)
    if (lease?.token !== options.token || deadline < MINIMUM_DEADLINE_MILLISECONDS) return { reason: PendingReason.WaitingForLease }
    const outstanding = recordOutstanding(difference)
    const outcome = await options.engines.order({ target: target.name, address: target.address }, options.token, order, deadline)
    const result = outcome.ok ? { reason: PendingReason.OrderSent } : toFailedResult(outcome.failure)
    if (outstanding !== undefined && outcome.ok && difference.readsWeights) outstanding.untilMilliseconds = 0
    attempts.set(key, { ...result, incarnation, retryAt: performance.now() + resendDelayAfter(result.reason) })
    options.logger.info(LogEvent.EngineOrdered, {
      target: target.name, order: describeOrder(order), fencingToken: options.token, result: result.reason, detail: result.detail
    })
    return result
  }

  function recordOutstanding ({ target, order }: Difference): OutstandingOrder | undefined {
    if (order === undefined || order.kind === EngineOrderKind.SetRole) return undefined
    const outstanding = { target: target.name, part: order.part, untilMilliseconds: performance.now() + options.orderLifetimeMilliseconds }
    outstandingOrders = [...outstandingOrders.filter(({ untilMilliseconds }) => untilMilliseconds > performance.now()), outstanding]
    return outstanding
  }

  return {
    send,
    mayStillChange (target, part) {
      const now = performance.now()
      return outstandingOrders.some(sent => sent.untilMilliseconds > now && sent.target === target && isSamePart(sent.part, part))
    }
  }
}

function toFailedResult (failure: Failure): OrderResult {
  const detail = describeFailure(failure)
  if (failure.kind === FailureKind.Unreachable) return { reason: PendingReason.Unreachable, detail }
  const isRefused = failure.kind === FailureKind.Refused || failure.kind === FailureKind.Unauthenticated
  return { reason: isRefused ? PendingReason.Refused : PendingReason.AnswerLost, detail }
}

function resendDelayAfter (reason: PendingReason): number {
  if (reason === PendingReason.OrderSent) return ACCEPTED_RESEND_MILLISECONDS
  return reason === PendingReason.Refused ? REFUSED_RESEND_MILLISECONDS : 0
}
