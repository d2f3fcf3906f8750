/**
 * What is asked of the claims and what they answer.
 */
import type { Failure, ServiceAnswer, ServiceOutcome } from '@wigeonlead/protocol'

/** An order that is to run at most once. */
export interface ClaimedOrder {
  workspace: string
  service: string
  key: string
  /** Digest of the request, to tell a repeat from another request with the same key. */
  requestDigest: string
  retentionSeconds: number
  /** When the caller stops waiting, milliseconds since 1970. The order itself is waited for beyond it. */
  deadlineAt: number
  /** How often the caller submitted the order before, where it says so. */
  previousAttempts?: number
}

/** The closed set of what can be said of a claimed order. */
export enum ClaimResult {
  /** The order has run, now or earlier; its answer is here. */
  Answered = 'answered',
  /** The order has run, but its answer was too large to keep. */
  AnswerNotKept = 'answer-not-kept',
  /** No submission of the order so far has run or ever will. */
  NotRun = 'not-run',
  /** The same, since an earlier release fences this submission off. */
  FencedOff = 'fenced-off',
  /** This submission sent nothing and never will; of others with the same key nothing is known. */
  NotSent = 'not-sent',
  /** The order may have run. */
  Uncertain = 'uncertain',
  /** The key-value service can't be used; this submission sent nothing and never will. */
  Unavailable = 'unavailable',
  /** The key was used for another request. */
  KeyReused = 'key-reused',
  /** The key is older than what is kept of claims. */
  KeyExpired = 'key-expired',
  /** The key states a time that is yet to come. */
  KeyFromFuture = 'key-from-future'
}

/** What became of a claimed order. */
export type ClaimOutcome =
  | { kind: ClaimResult.Answered, answer: ServiceAnswer, isRepeat: boolean }
  | { kind: ClaimResult.AnswerNotKept, status: number }
  | { kind: ClaimResult.NotRun | ClaimResult.FencedOff | ClaimResult.NotSent | ClaimResult.Unavailable, failure: Failure }
  | { kind: ClaimResult.Uncertain, failure: Failure, wasSent: boolean }
  | { kind: ClaimResult.KeyReused | ClaimResult.KeyExpired | ClaimResult.KeyFromFuture }

/**
 * Sends an order to a target, and to another one only where the first certainly did not run it.
 * @param maySend is asked right before each try; once false, nothing more may be sent.
 */
export type SendOrder = (maySend: () => boolean) => Promise<ServiceOutcome>
