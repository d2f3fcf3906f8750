/**
 * Non-idempotent calls: sent to another target only while it is certain that none has run the order.
 */
import { FailureKind, ServiceResult, Step, type ServiceOutcome } from '@wigeonlead/protocol'
import type { CallerResponse } from '../caller.js'
import type { RequestContext } from '../context.js'
import type { ServiceOrder } from './order.js'
import { outcomeResponse } from './responses.js'
import { callTarget, hasUntriedTarget } from './target-call.js'

/** Longest time for which the answer of a sent order is waited for, also after its caller has gone. */
const ORDER_WAIT_MILLISECONDS = 600_000

/**
 * Sends an order at most once.
 * @param maySend is asked right before each try.
 */
export async function sendOnce (context: RequestContext, order: ServiceOrder, maySend: () => boolean): Promise<ServiceOutcome> {
  const tried = new Set<string>()
  const send = (): Promise<ServiceOutcome> => callTarget({ context, order, tried, limitMilliseconds: ORDER_WAIT_MILLISECONDS })
  if (!maySend()) return givenUp()
  let outcome = await send()
  while (outcome.kind === ServiceResult.NotSent && hasUntriedTarget(context, order.service, tried) && maySend()) outcome = await send()
  return outcome
}

/** Answers an operation that needs no claim: it is sent at most once from memory. */
export async function answerKeyless (context: RequestContext, order: ServiceOrder): Promise<CallerResponse> {
  const maySend = (): boolean => Date.now() < context.deadlineAt && !context.signal.aborted
  return outcomeResponse(order, await sendOnce(context, order, maySend))
}

function givenUp (): ServiceOutcome {
  const failure = { kind: FailureKind.Aborted as const, step: Step.Service, peer: 'local', detail: 'given up before it was sent' }
  return { kind: ServiceResult.NotSent, failure }
}
