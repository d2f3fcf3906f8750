/**
 * Idempotent calls. A failed call is retried, preferably at another target. A call that takes longer than the 95th percentile of its
 * operation is hedged: a second call is sent to another target. Retries and hedged calls are limited by the retry budget.
 */
import { ServiceResult, type ServiceOutcome } from '@wigeonlead/protocol'
import type { CallerResponse } from '../caller.js'
import type { RequestContext } from '../context.js'
import { createDeadline } from '../deadline.js'
import type { ServiceOrder } from './order.js'
import { outcomeResponse } from './responses.js'
import { callTarget, hasUntriedTarget, latencyKey } from './target-call.js'

const MAXIMUM_ATTEMPTS = 3
const TOO_MANY_REQUESTS_STATUS = 429
const FIRST_SERVER_ERROR_STATUS = 500

/** Answers an idempotent call before the request's deadline. */
export async function answerIdempotent (context: RequestContext, order: ServiceOrder): Promise<CallerResponse> {
  const { retryBudgets } = context.dependencies
  const resource = order.service.name
  const deadline = createDeadline(context.deadlineAt)
  const tried = new Set<string>()
  retryBudgets.recordFirstTry(resource)
  let outcome = await callHedged(context, order, tried, deadline.remainingMilliseconds())
  let mayHaveBeenSent = outcome.kind !== ServiceResult.NotSent
  for (let tries = 1; tries < MAXIMUM_ATTEMPTS && !isSuccessful(outcome); tries += 1) {
    if (context.signal.aborted || deadline.remainingMilliseconds() <= 0 || !retryBudgets.tryTake(resource)) break
    const next = await callHedged(context, order, tried, deadline.remainingMilliseconds())
    mayHaveBeenSent ||= next.kind !== ServiceResult.NotSent
    if (next.kind === ServiceResult.Answered || outcome.kind !== ServiceResult.Answered) outcome = next
  }
  return outcomeResponse(order, outcome, mayHaveBeenSent)
}

async function callHedged (
  context: RequestContext, order: ServiceOrder, tried: Set<string>, remainingMilliseconds: number
): Promise<ServiceOutcome> {
  const { latencies, retryBudgets } = context.dependencies
  const callEnd = new AbortController()
  const signal = AbortSignal.any([context.signal, callEnd.signal])
  const limitMilliseconds = Math.min(order.service.timeoutMilliseconds, remainingMilliseconds)
  const call = (): Promise<ServiceOutcome> => callTarget({ context, order, tried, signal, limitMilliseconds })
  try {
    const first = call()
    const hedgeAfterMilliseconds = latencies.percentile95(latencyKey(order))
    if (hedgeAfterMilliseconds === undefined) return await first
    const earlyOutcome = await createDeadline(Date.now() + hedgeAfterMilliseconds).race(first)
    if (earlyOutcome !== undefined) return earlyOutcome
    if (!hasUntriedTarget(context, order.service, tried) || !retryBudgets.tryTake(order.service.name)) return await first
    return await firstSuccessful(first, call())
  } finally {
    callEnd.abort()
  }
}

/** @returns the first successful outcome. If neither call succeeds, the later outcome, unless its call was not sent. */
async function firstSuccessful (first: Promise<ServiceOutcome>, second: Promise<ServiceOutcome>): Promise<ServiceOutcome> {
  const { outcome, remaining } = await Promise.race([
    first.then(outcome => ({ outcome, remaining: second })),
    second.then(outcome => ({ outcome, remaining: first }))
  ])
  if (isSuccessful(outcome)) return outcome
  const remainingOutcome = await remaining
  return remainingOutcome.kind === ServiceResult.NotSent ? outcome : remainingOutcome
}

function isSuccessful (outcome: ServiceOutcome): boolean {
  if (outcome.kind !== ServiceResult.Answered) return false
  return outcome.answer.status < FIRST_SERVER_ERROR_STATUS && outcome.answer.status !== TOO_MANY_REQUESTS_STATUS
}
