/**
 * Creates the responses to callers for answers and failures of service calls.
 */
import {
  FailureKind, OrderState, ProblemType, ServiceResult, Submission, createProblem, describeFailure,
  type Failure, type HeaderRecord, type Problem, type ServiceAnswer, type ServiceOutcome
} from '@wigeonlead/protocol'
import { refuseAdmission } from '../admission.js'
import { problemResponse, type CallerResponse } from '../caller.js'
import { forwardedHeaders } from './headers.js'
import { refuseUnsent, unsentOrderState, type ServiceOrder } from './order.js'

const DEFAULT_RETRY_SECONDS = 1

/** @returns the response that passes a service's answer on to the caller. */
export function answerResponse (answer: ServiceAnswer, headers: HeaderRecord = {}): CallerResponse {
  return { status: answer.status, headers: { ...forwardedHeaders(answer.headers), ...headers }, body: answer.body }
}

/**
 * Creates the response for the outcome of a call.
 * @param wasSent whether an earlier attempt may have reached a target.
 */
export function outcomeResponse (order: ServiceOrder, outcome: ServiceOutcome, wasSent = false): CallerResponse {
  if (outcome.kind === ServiceResult.Answered) return answerResponse(outcome.answer)
  const detail = describeFailure(outcome.failure)
  const retryAfterSeconds = retryAfterSecondsOf(outcome.failure)
  if (outcome.kind === ServiceResult.NotSent && !wasSent) {
    return problemResponse(refuseUnsent(order, ProblemType.NoPath, detail, { retryAfterSeconds }))
  }
  const sent = { submission: Submission.Sent, order: OrderState.Unknown }
  return problemResponse(createProblem(ProblemType.TargetFailed, detail, sent))
}

/** @returns the refusal of a request that was not admitted. */
export function admissionRefusal (order: ServiceOrder, failure: Failure): Problem {
  return { ...refuseAdmission(failure), order: unsentOrderState(order) }
}

/** @returns the seconds after which the caller may retry. */
export function retryAfterSecondsOf (failure: Failure): number {
  const milliseconds = failure.kind === FailureKind.Refused ? failure.retryAfterMilliseconds : undefined
  return milliseconds === undefined ? DEFAULT_RETRY_SECONDS : Math.max(1, Math.ceil(milliseconds / 1000))
}
