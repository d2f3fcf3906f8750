/**
 * Non-idempotent operations with an idempotency key. The key is claimed before the order is sent, and the response states only what is
 * certain about the order.
 */
import { createHash } from 'node:crypto'
import {
  OrderState, ProblemType, Submission, createProblem, describeFailure, type Problem, type ServiceCall
} from '@wigeonlead/protocol'
import { match } from 'ts-pattern'
import { problemResponse, type CallerResponse } from '../caller.js'
import { ClaimResult, type ClaimOutcome } from '../claims/index.js'
import type { RequestContext } from '../context.js'
import { sendOnce } from './once.js'
import { KEY_HEADER, refuseUnsent, type ServiceOrder } from './order.js'
import { answerResponse, retryAfterSecondsOf } from './responses.js'

const MAXIMUM_KEY_LENGTH = 255
const RETRY_AFTER_OUTAGE_SECONDS = 5
const REPLAYED_HEADER = 'idempotent-replayed'

/**
 * Runs an order at most once.
 * @param onEnd is called once no call of the order is in flight any more, which may be after the caller received its response.
 */
export async function answerClaimed (context: RequestContext, order: ServiceOrder, onEnd: () => void): Promise<CallerResponse> {
  const key = order.request.headers[KEY_HEADER] ?? ''
  const fault = findKeyFault(order, key)
  if (fault !== undefined) {
    onEnd()
    return problemResponse(fault)
  }
  let pendingSends = 1
  const end = (): void => {
    pendingSends -= 1
    if (pendingSends === 0) onEnd()
  }
  const outcome = await context.dependencies.claims.run({
    workspace: context.workspace.name,
    service: order.service.name,
    key,
    requestDigest: digestCall(order.call),
    retentionSeconds: order.operation.retentionSeconds,
    deadlineAt: context.deadlineAt,
    previousAttempts: order.previousAttempts
  }, maySend => {
    pendingSends += 1
    return sendOnce(context, order, maySend).finally(end)
  })
  end()
  return toResponse(order, outcome)
}

function findKeyFault (order: ServiceOrder, key: string): Problem | undefined {
  if (key === '') return createProblem(ProblemType.KeyRequired, 'this operation runs at most once and needs an Idempotency-Key')
  if (key.length <= MAXIMUM_KEY_LENGTH) return undefined
  return createProblem(ProblemType.MalformedRequest, `the Idempotency-Key is over ${MAXIMUM_KEY_LENGTH} characters`)
}

function toResponse (order: ServiceOrder, outcome: ClaimOutcome): CallerResponse {
  if (outcome.kind === ClaimResult.Answered) return answerResponse(outcome.answer, { [REPLAYED_HEADER]: String(outcome.isRepeat) })
  return problemResponse(toProblem(order, outcome))
}

function toProblem (order: ServiceOrder, outcome: Exclude<ClaimOutcome, { kind: ClaimResult.Answered }>): Problem {
  const orderUnknown = { order: OrderState.Unknown }
  return match(outcome)
    .with({ kind: ClaimResult.AnswerNotKept }, ({ status }) =>
      createProblem(ProblemType.AnswerNotKept, `the service answered with status ${status}`, { order: OrderState.Run }))
    .with({ kind: ClaimResult.NotRun }, ({ failure }) => {
      const options = { order: OrderState.NotRun, retryAfterSeconds: retryAfterSecondsOf(failure) }
      return createProblem(ProblemType.NoPath, describeFailure(failure), options)
    })
    .with({ kind: ClaimResult.FencedOff }, ({ failure }) =>
      createProblem(ProblemType.OrderNotRun, describeFailure(failure), { order: OrderState.NotRun }))
    .with({ kind: ClaimResult.NotSent }, ({ failure }) =>
      refuseUnsent(order, ProblemType.NoPath, describeFailure(failure), { retryAfterSeconds: retryAfterSecondsOf(failure) }))
    .with({ kind: ClaimResult.Unavailable }, ({ failure }) =>
      refuseUnsent(order, ProblemType.ClaimsUnavailable, describeFailure(failure), { retryAfterSeconds: RETRY_AFTER_OUTAGE_SECONDS }))
    .with({ kind: ClaimResult.Uncertain }, ({ failure, wasSent }) => {
      const submission = wasSent ? Submission.Sent : Submission.NotSent
      return createProblem(ProblemType.OrderUncertain, describeFailure(failure), { ...orderUnknown, submission })
    })
    .with({ kind: ClaimResult.KeyReused }, () => createProblem(ProblemType.KeyReused, 'the key was used for another request', orderUnknown))
    .with({ kind: ClaimResult.KeyExpired }, () => createProblem(ProblemType.KeyExpired, 'the key is older than what is kept of orders', orderUnknown))
    .with({ kind: ClaimResult.KeyFromFuture }, () =>
      createProblem(ProblemType.MalformedRequest, 'the time in the key is yet to come', orderUnknown))
    .exhaustive()
}

function digestCall (call: ServiceCall): string {
  return createHash('sha256').update(`${call.method} ${call.path}\n`).update(call.body).digest('hex')
}
