/**
 * The refusals that end a generation.
 */
import { OrderState, ProblemType, Submission, createProblem, describeFailure, type Failure, type Problem } from '@wigeonlead/protocol'

const RETRY_AFTER_SECONDS = 1

/** @returns the refusal of a generation that found no path, or none that served. */
export function refuseFailed (failure: Failure | undefined, wasSent: boolean): Problem {
  const detail = failure === undefined ? 'every path failed' : describeFailure(failure)
  if (!wasSent) return createProblem(ProblemType.NoPath, detail, { retryAfterSeconds: RETRY_AFTER_SECONDS })
  return createProblem(ProblemType.TargetFailed, detail, { ...SENT, retryAfterSeconds: RETRY_AFTER_SECONDS })
}

/** @returns the refusal of a generation whose deadline passed. */
export function refuseLate (delivered: number, wasSent: boolean): Problem {
  const detail = `the deadline passed after ${delivered} tokens`
  return createProblem(ProblemType.DeadlineUnreachable, detail, { ...(wasSent ? SENT : {}), retryAfterSeconds: RETRY_AFTER_SECONDS })
}

const SENT = { submission: Submission.Sent, order: OrderState.Unknown }
