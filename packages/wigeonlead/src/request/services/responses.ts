/**
 * Converts the answers of services, the failures of service calls and the refusals of admission into responses to callers.
 */
import {
  FailureKind, OrderState, ProblemType, ServiceResult, Submission, createProblem, describeFailure,
  type Failure, type HeaderRecord, type Problem, type ServiceAnswer, type ServiceOutcome
} from '@wigeonlead/protocol'
import { refuseAdmission } from '../admission.js'
import { problemResponse, type CallerResponse } from '../caller.js'
import { forwardedHeaders } from './headers.js'
import { refuseUnsent, unsentOrderState, type ServiceOrder } from './order.js'

/** Seconds after which a caller may retry when a failure states no time. */
const DEFAULT_RETRY_SECONDS = 1

/**
 * Returns the response that passes a service's answer on to the caller.
 * @param extraHeaders are added to the headers of the answer; one of the same name replaces it.
 */
export function answerResponse (answer: ServiceAnswer, extraHeaders: HeaderRecord = {}): CallerResponse {
  return { status: answer.status, headers: { ...forwardedHeaders(answer.headers), ...extraHeaders }, body: answer.body }
}

/**
 * Creates the response for the outcome of a service call.
 * @param mayHaveBeenSent whether any attempt of the call may have reached a target. It matters only if the outcome is `NotSent`; in the
 * response, the order then counts as sent.
 */
export function outcomeResponse (serviceOrder: ServiceOrder, outcome: ServiceOutcome, mayHaveBeenSent = false): CallerResponse {
  if (outcome.kind === ServiceResult.Answered) return answerResponse(outcome.answer)
  const detail = describeFailure(outcome.failure)
  const retryAfterSeconds = retryAfterSecondsOf(outcome.failure)
  if (outcome.kind === ServiceResult.NotSent && !mayHaveBeenSent) {
    return problemResponse(refuseUnsent(serviceOrder, ProblemType.NoPath, detail, { retryAfterSeconds }))
  }
  const problemOptions = { submission: Submission.Sent, order: OrderState.Unknown }
  return problemResponse(createProblem(ProblemType.TargetFailed, detail, problemOptions))
}

/** @returns the refusal of a request that was not admitted, with the state of its order. */
export function admissionRefusal (serviceOrder: ServiceOrder, failure: Failure): Problem {
  return { ...refuseAdmission(failure), order: unsentOrderState(serviceOrder) }
}

/**
 * Returns the seconds after which the caller may retry: the time that a refusal states, rounded up and at least 1, or the default for a
 * failure that states none.
 */
export function retryAfterSecondsOf (failure: Failure): number {
  const milliseconds = failure.kind === FailureKind.Refused ? failure.retryAfterMilliseconds : undefined
  return milliseconds === undefined ? DEFAULT_RETRY_SECONDS : Math.max(1, Math.ceil(milliseconds / 1000))
}
