/**
 * Claimed orders and their outcomes.
 */
import type { Failure, ServiceAnswer, ServiceOutcome } from '@wigeonlead/protocol'

/** An order that is to run at most once. */
export interface ClaimedOrder {
  workspace: string
  service: string
  key: string
  /** Digest of the request; distinguishes a repeat from another request with the same key. */
  requestDigest: string
  retentionSeconds: number
  /** When the caller stops waiting, milliseconds since 1970. A sent order is awaited beyond that. */
  deadlineAt: number
  /** How often the caller submitted the order before; absent if the caller doesn't state that. */
  previousAttempts?: number
}

/** Results of a claimed order. */
export enum ClaimResult {
  /** The order has run, now or earlier, and its answer is included. */
  Answered = 'answered',
  /** The order has run, but its answer was too large to record. */
  AnswerNotKept = 'answer-not-kept',
  /** No submission of the order up to this one has run or ever will. */
  NotRun = 'not-run',
  /** No submission up to this one has run or ever will, because an earlier release fenced this submission off. */
  FencedOff = 'fenced-off',
  /** This submission sent nothing and never will. Other submissions with the same key may have run. */
  NotSent = 'not-sent',
  /** The order may have run. */
  Uncertain = 'uncertain',
  /** The key-value service can't be used; this submission sent nothing and never will. */
  Unavailable = 'unavailable',
  /** The key was used for another request. */
  KeyReused = 'key-reused',
  /** The key is older than the retention of claims. */
  KeyExpired = 'key-expired',
  /** The time in the key is later than the present time plus the allowed clock skew. */
  KeyFromFuture = 'key-from-future'
}

/** Outcome of a claimed order. */
export type ClaimOutcome =
  | { kind: ClaimResult.Answered, answer: ServiceAnswer, isRepeat: boolean }
  | { kind: ClaimResult.AnswerNotKept, status: number }
  | { kind: ClaimResult.NotRun | ClaimResult.FencedOff | ClaimResult.NotSent | ClaimResult.Unavailable, failure: Failure }
  | { kind: ClaimResult.Uncertain, failure: Failure, wasSent: boolean }
  | { kind: ClaimResult.KeyReused | ClaimResult.KeyExpired | ClaimResult.KeyFromFuture }

/**
 * Sends an order to a target, and to another target only if the first one certainly did not run it.
 * @param maySend called right before each try; once it returns false, nothing more may be sent.
 */
export type SendOrder = (maySend: () => boolean) => Promise<ServiceOutcome>
