/**
 * Non-idempotent calls. They are sent to another target only while it is certain that no target has run the order.
 */
import { FailureKind, ServiceResult, Step, type ServiceOutcome } from '@wigeonlead/protocol'
import type { CallerResponse } from '../caller.js'
import type { RequestContext } from '../context.js'
import type { ServiceOrder } from './order.js'
import { outcomeResponse } from './responses.js'
import { callTarget, hasUntriedTarget } from './target-call.js'

/** Longest wait for the answer to a sent order. The wait continues after the caller has hung up. */
const ORDER_TIMEOUT_MILLISECONDS = 600_000

/**
 * Sends an order to one target after another until one of them may have received it.
 * @param maySend is called right before each attempt; the attempt is made only if it returns true.
 */
export async function sendOnce (context: RequestContext, order: ServiceOrder, maySend: () => boolean): Promise<ServiceOutcome> {
  const tried = new Set<string>()
  const send = (): Promise<ServiceOutcome> => callTarget({ context, order, tried, limitMilliseconds: ORDER_TIMEOUT_MILLISECONDS })
  if (!maySend()) return abortedOutcome()
  let outcome = await send()
  while (outcome.kind === ServiceResult.NotSent && hasUntriedTarget(context, order.service, tried) && maySend()) outcome = await send()
  return outcome
}

/** Answers an operation that needs no claim. Only this process ensures that it is sent at most once; nothing is stored. */
export async function answerKeyless (context: RequestContext, order: ServiceOrder): Promise<CallerResponse> {
  const maySend = (): boolean => Date.now() < context.deadlineAt && !context.signal.aborted
  return outcomeResponse(order, await sendOnce(context, order, maySend))
}

function abortedOutcome (): ServiceOutcome {
  const failure = { kind: FailureKind.Aborted as const, step: Step.Service, peer: 'local', detail: 'given up before it was sent' }
  return { kind: ServiceResult.NotSent, failure }
}
