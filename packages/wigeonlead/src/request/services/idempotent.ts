/**
 * Idempotent calls: tried again at another target within the retry budget, and hedged where an answer is later than most.
 */
import { ServiceResult, type ServiceOutcome } from '@wigeonlead/protocol'
import type { CallerResponse } from '../caller.js'
import type { RequestContext } from '../context.js'
import { createDeadline } from '../deadline.js'
import type { ServiceOrder } from './order.js'
import { outcomeResponse } from './responses.js'
import { callTarget, hasUntriedTarget, latencyName } from './target-call.js'

const MAXIMUM_TRIES = 3
const TOO_MANY_REQUESTS = 429
const FIRST_SERVER_ERROR = 500

/** Answers an idempotent call by the request's deadline. */
export async function answerIdempotent (context: RequestContext, order: ServiceOrder): Promise<CallerResponse> {
  const { retries } = context.parts
  const resource = order.service.name
  const deadline = createDeadline(context.deadlineAt)
  const tried = new Set<string>()
  retries.recordFirstTry(resource)
  let outcome = await callHedged(context, order, tried, deadline.left())
  let wasSent = outcome.kind !== ServiceResult.NotSent
  for (let tries = 1; tries < MAXIMUM_TRIES && !isGood(outcome); tries += 1) {
    if (context.signal.aborted || deadline.left() <= 0 || !retries.take(resource)) break
    const next = await callHedged(context, order, tried, deadline.left())
    wasSent ||= next.kind !== ServiceResult.NotSent
    if (next.kind === ServiceResult.Answered || outcome.kind !== ServiceResult.Answered) outcome = next
  }
  return outcomeResponse(order, outcome, wasSent)
}

async function callHedged (
  context: RequestContext, order: ServiceOrder, tried: Set<string>, leftMilliseconds: number
): Promise<ServiceOutcome> {
  const { latencies, retries } = context.parts
  const loser = new AbortController()
  const signal = AbortSignal.any([context.signal, loser.signal])
  const limitMilliseconds = Math.min(order.service.timeoutMilliseconds, leftMilliseconds)
  const call = (): Promise<ServiceOutcome> => callTarget({ context, order, tried, signal, limitMilliseconds })
  try {
    const first = call()
    const hedgeAfter = latencies.percentile95(latencyName(order))
    if (hedgeAfter === undefined) return await first
    const early = await createDeadline(Date.now() + hedgeAfter).race(first)
    if (early !== undefined) return early
    if (!hasUntriedTarget(context, order.service, tried) || !retries.take(order.service.name)) return await first
    return await firstGood(first, call())
  } finally {
    loser.abort()
  }
}

async function firstGood (first: Promise<ServiceOutcome>, second: Promise<ServiceOutcome>): Promise<ServiceOutcome> {
  const { outcome, other } = await Promise.race([
    first.then(outcome => ({ outcome, other: second })),
    second.then(outcome => ({ outcome, other: first }))
  ])
  if (isGood(outcome)) return outcome
  const later = await other
  return later.kind === ServiceResult.NotSent ? outcome : later
}

function isGood (outcome: ServiceOutcome): boolean {
  if (outcome.kind !== ServiceResult.Answered) return false
  return outcome.answer.status < FIRST_SERVER_ERROR && outcome.answer.status !== TOO_MANY_REQUESTS
}
