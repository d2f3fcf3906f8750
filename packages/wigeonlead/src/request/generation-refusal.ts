/**
 * Creates the refusals that end a generation.
 */
import { OrderState, ProblemType, Submission, createProblem, describeFailure, type Failure, type Problem } from '@wigeonlead/protocol'

const RETRY_AFTER_SECONDS = 1

/** @returns the refusal of a generation that found no path, or whose paths all failed. */
export function refuseAfterFailure (failure: Failure | undefined, mayHaveBeenSent: boolean): Problem {
  const detail = failure === undefined ? 'every path failed' : describeFailure(failure)
  if (!mayHaveBeenSent) return createProblem(ProblemType.NoPath, detail, { retryAfterSeconds: RETRY_AFTER_SECONDS })
  return createProblem(ProblemType.TargetFailed, detail, { ...SENT_ORDER_UNKNOWN, retryAfterSeconds: RETRY_AFTER_SECONDS })
}

/** @returns the refusal of a generation whose deadline passed or whose caller hung up; in the latter case nobody reads it. */
export function refuseAfterDeadline (delivered: number, mayHaveBeenSent: boolean): Problem {
  const detail = `the deadline passed after ${delivered} tokens`
  return createProblem(ProblemType.DeadlineUnreachable, detail, {
    ...(mayHaveBeenSent ? SENT_ORDER_UNKNOWN : {}), retryAfterSeconds: RETRY_AFTER_SECONDS
  })
}

const SENT_ORDER_UNKNOWN = { submission: Submission.Sent, order: OrderState.Unknown }
