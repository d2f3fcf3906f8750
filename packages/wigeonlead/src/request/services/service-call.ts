/**
 * Requests to plain services. Idempotent operations are retried at other targets; all others run at most once.
 */
import { ClaimKind, ResourceKind } from '@wigeonlead/protocol'
import { problemResponse, type CallerRequest, type CallerResponse } from '../caller.js'
import type { RequestContext } from '../context.js'
import { classifyStatus } from '../metered.js'
import { answerClaimed } from './claimed.js'
import { answerIdempotent } from './idempotent.js'
import { answerKeyless } from './once.js'
import { findOrder, type ServiceOrder } from './order.js'
import { admissionRefusal } from './responses.js'

/** How an operation is run: retried, at most once without a claim, or at most once with a claimed key. */
enum CallHandling {
  Idempotent = 'idempotent',
  Keyless = 'keyless',
  Keyed = 'keyed'
}

type Answer = (context: RequestContext, order: ServiceOrder, release: () => void) => Promise<CallerResponse>

const ANSWERS: Record<CallHandling, Answer> = {
  [CallHandling.Idempotent]: (context, order, release) => answerIdempotent(context, order).finally(release),
  [CallHandling.Keyless]: (context, order, release) => answerKeyless(context, order).finally(release),
  [CallHandling.Keyed]: answerClaimed
}

/**
 * Answers a request to a plain service.
 * @param path path and query string below the service, beginning with `/`.
 */
export async function answerServiceCall (
  context: RequestContext, request: CallerRequest, serviceName: string, path: string
): Promise<CallerResponse> {
  const order = findOrder(context, request, serviceName, path)
  if ('type' in order) return problemResponse(order)
  const { name, objectives } = order.service
  const meter = context.dependencies.burn.begin({ kind: ResourceKind.Service, name, objectives })
  const response = await answerOrder(context, order)
  meter.end(classifyStatus(response.status, context.signal))
  return response
}

async function answerOrder (context: RequestContext, order: ServiceOrder): Promise<CallerResponse> {
  const admitted = await context.dependencies.admission.admit({
    workspace: context.workspace,
    resource: order.service.name,
    priority: context.priority,
    deadlineAt: context.deadlineAt,
    signal: context.signal
  })
  if (!admitted.ok) return problemResponse(admissionRefusal(order, admitted.failure))
  return await ANSWERS[classifyOperation(order)](context, order, admitted.value.release)
}

function classifyOperation ({ operation }: ServiceOrder): CallHandling {
  if (operation.idempotent) return CallHandling.Idempotent
  return operation.claim === ClaimKind.Keyless ? CallHandling.Keyless : CallHandling.Keyed
}
