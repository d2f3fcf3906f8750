/**
 * Sends engine orders under the lease: the remaining lease is checked right before each order, and each order's deadline
 * ends within it.
 */
import { EngineOrderKind, FailureKind, describeFailure, type EnginePort, type Failure, type HeldPart } from '@wigeonlead/protocol'
import { LogEvent, type Logger } from '../logging.js'
import { isSamePart } from './cover.js'
import type { FencingLease } from './lease.js'
import { createLoadPace, type LoadPaceOptions } from './pace.js'
import { PendingReason, describeOrder, type Difference } from './plan.js'

/** What became of an order. */
export interface OrderState {
  reason: PendingReason
  detail?: string
}

/** Sends the orders of one tenure of the lease. */
export interface OrderDispatch {
  /**
   * Sends an order unless it is paced, was sent just now, or the lease doesn't last.
   * @param incarnation of the engine, from its report: an order counts as unsent after a restart.
   */
  send: (difference: Difference, incarnation: string) => Promise<OrderState>
  /** Tells whether an order that changes the part may still take effect. */
  isDoubtful: (target: string, part: HeldPart) => boolean
}

/** What the dispatch needs. */
export interface OrderDispatchParts {
  engines: EnginePort
  lease: FencingLease
  logger: Logger
  /** Fencing token of the tenure. */
  token: number
  orderDeadlineMilliseconds: number
  /** How long a lost order may still take effect. */
  doubtMilliseconds: number
  pace: LoadPaceOptions
}

interface Doubt {
  target: string
  part: HeldPart
  until: number
}

interface Attempt extends OrderState {
  incarnation: string
  /** Not sent again before. */
  againAt: number
}

const SHORTEST_DEADLINE_MILLISECONDS = 100
const ACCEPTED_AGAIN_MILLISECONDS = 30_000
const REFUSED_AGAIN_MILLISECONDS = 10_000

/** Makes the dispatch of one tenure. */
export function createOrderDispatch (parts: OrderDispatchParts): OrderDispatch {
  const pace = createLoadPace(parts.pace)
  const attempts = new Map<string, Attempt>()
  let doubts: Doubt[] = []

  async function send (difference: Difference, incarnation: string): Promise<OrderState> {
    const { target, order, blockedBy } = difference
    if (blockedBy !== undefined || order === undefined) return { reason: blockedBy ?? PendingReason.Unreachable }
    const key = `${target.name} ${describeOrder(order)}`
    const before = attempts.get(key)
    if (before?.incarnation === incarnation && performance.now() < before.againAt) return { reason: before.reason, detail: before.detail }
    const isRepeat = before?.incarnation === incarnation && before.reason === PendingReason.AnswerLost
    if (difference.readsWeights && !isRepeat && !pace.take()) return { reason: PendingReason.Paced }
    const lease = parts.lease.current()
    const deadline = Math.min(parts.orderDeadlineMilliseconds, lease?.remainingMilliseconds ?? 0)
    if (lease?.token !== parts.token || deadline < SHORTEST_DEADLINE_MILLISECONDS) return { reason: PendingReason.WaitingForLease }
    const doubt = noteDoubt(difference)
    const outcome = await parts.engines.order({ target: target.name, address: target.address }, parts.token, order, deadline)
    const state = outcome.ok ? { reason: PendingReason.Sent } : stateAfter(outcome.failure)
    if (doubt !== undefined && outcome.ok && difference.readsWeights) doubt.until = 0
    attempts.set(key, { ...state, incarnation, againAt: performance.now() + pauseAfter(state.reason) })
    parts.logger.info(LogEvent.EngineOrdered, {
      target: target.name, order: describeOrder(order), fencingToken: parts.token, result: state.reason, detail: state.detail
    })
    return state
  }

  function noteDoubt ({ target, order }: Difference): Doubt | undefined {
    if (order === undefined || order.kind === EngineOrderKind.SetRole) return undefined
    const doubt = { target: target.name, part: order.part, until: performance.now() + parts.doubtMilliseconds }
    doubts = [...doubts.filter(({ until }) => until > performance.now()), doubt]
    return doubt
  }

  return {
    send,
    isDoubtful (target, part) {
      const now = performance.now()
      return doubts.some(doubt => doubt.until > now && doubt.target === target && isSamePart(doubt.part, part))
    }
  }
}

function stateAfter (failure: Failure): OrderState {
  const detail = describeFailure(failure)
  if (failure.kind === FailureKind.Unreachable) return { reason: PendingReason.Unreachable, detail }
  const isRefused = failure.kind === FailureKind.Refused || failure.kind === FailureKind.Unauthenticated
  return { reason: isRefused ? PendingReason.Refused : PendingReason.AnswerLost, detail }
}

function pauseAfter (reason: PendingReason): number {
  if (reason === PendingReason.Sent) return ACCEPTED_AGAIN_MILLISECONDS
  return reason === PendingReason.Refused ? REFUSED_AGAIN_MILLISECONDS : 0
}
