/**
 * Requests to plain services: idempotent ones are retried elsewhere, the others run at most once.
 */
import { ClaimKind, ResourceKind } from '@wigeonlead/protocol'
import { problemResponse, type CallerRequest, type CallerResponse } from '../caller.js'
import type { RequestContext } from '../context.js'
import { endOfStatus } from '../metered.js'
import { answerClaimed } from './claimed.js'
import { answerIdempotent } from './idempotent.js'
import { answerKeyless } from './once.js'
import { findOrder, type ServiceOrder } from './order.js'
import { admissionRefusal } from './responses.js'

enum Handling {
  Idempotent = 'idempotent',
  Keyless = 'keyless',
  Keyed = 'keyed'
}

type Answer = (context: RequestContext, order: ServiceOrder, release: () => void) => Promise<CallerResponse>

const ANSWERS: Record<Handling, Answer> = {
  [Handling.Idempotent]: (context, order, release) => answerIdempotent(context, order).finally(release),
  [Handling.Keyless]: (context, order, release) => answerKeyless(context, order).finally(release),
  [Handling.Keyed]: answerClaimed
}

/**
 * Answers a request to a plain service.
 * @param path path and query below the service, beginning with `/`.
 */
export async function answerServiceCall (
  context: RequestContext, request: CallerRequest, serviceName: string, path: string
): Promise<CallerResponse> {
  const order = findOrder(context, request, serviceName, path)
  if ('type' in order) return problemResponse(order)
  const { name, objectives } = order.service
  const meter = context.parts.burn.begin({ kind: ResourceKind.Service, name, objectives })
  const response = await answerOrder(context, order)
  meter.end(endOfStatus(response.status, context.signal))
  return response
}

async function answerOrder (context: RequestContext, order: ServiceOrder): Promise<CallerResponse> {
  const admitted = await context.parts.admission.admit({
    workspace: context.workspace,
    resource: order.service.name,
    priority: context.priority,
    deadlineAt: context.deadlineAt,
    signal: context.signal
  })
  if (!admitted.ok) return problemResponse(admissionRefusal(order, admitted.failure))
  return await ANSWERS[handlingOf(order)](context, order, admitted.value.release)
}

function handlingOf ({ operation }: ServiceOrder): Handling {
  if (operation.idempotent) return Handling.Idempotent
  return operation.claim === ClaimKind.Keyless ? Handling.Keyless : Handling.Keyed
}
