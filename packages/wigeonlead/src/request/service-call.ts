/**
 * Requests to plain services: idempotent ones are retried elsewhere, the others run at most once.
 */
import { createHash } from 'node:crypto'
import {
  ClaimKind, FailureKind, OrderState, ProblemType, ResourceKind, ServiceResult, Step, Submission, createProblem, describeFailure,
  type Failure, type HeaderRecord, type ManifestOperation, type ManifestService, type Problem, type ServiceAnswer,
  type ServiceCall, type ServiceOutcome
} from '@wigeonlead/protocol'
import { TargetAvailability } from '../process/targets.js'
import { problemResponse, type CallerRequest, type CallerResponse } from './caller.js'
import { ClaimResult, type ClaimOutcome } from './claims/index.js'
import type { RequestContext } from './context.js'
import { endOfStatus } from './metered.js'

const MAXIMUM_TRIES = 3
const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade',
  'host', 'content-length', 'authorization'
])

interface ServiceOrder {
  service: ManifestService
  operation: ManifestOperation
  call: ServiceCall
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
  const { objectives } = order.service
  const meter = context.parts.burn.begin({ kind: ResourceKind.Service, name: serviceName, objectives })
  const response = await answerOrder(context, request, order)
  meter.end(endOfStatus(response.status, context.signal))
  return response
}

async function answerOrder (context: RequestContext, request: CallerRequest, order: ServiceOrder): Promise<CallerResponse> {
  if (order.operation.idempotent) return toResponse(await callIdempotent(context, order))
  if (order.operation.claim === ClaimKind.Keyless) return toResponse(await sendOnce(context, order))
  return await runClaimed(context, request, order)
}

function findOrder (context: RequestContext, request: CallerRequest, serviceName: string, path: string): ServiceOrder | Problem {
  const compiled = context.version.services.get(serviceName)
  if (compiled === undefined) return createProblem(ProblemType.UnknownService, `service "${serviceName}" is not served`)
  const { service } = compiled
  const allowed = context.workspace.services
  if (allowed !== undefined && !allowed.includes(serviceName)) {
    return createProblem(ProblemType.Forbidden, `workspace ${context.workspace.name} may not use service "${serviceName}"`)
  }
  const pathname = path.split('?')[0] ?? '/'
  const operation = compiled.operations.find(each => each.operation.method === request.method && each.pattern.test(pathname))?.operation
  if (operation === undefined) return createProblem(ProblemType.UnknownOperation, `service "${serviceName}" has no ${request.method} ${pathname}`)
  if (request.body.byteLength > service.maximumBodyBytes) {
    return createProblem(ProblemType.BodyTooLarge, `the body is over ${service.maximumBodyBytes} bytes`)
  }
  const call: ServiceCall = {
    method: request.method,
    path,
    headers: forwardedHeaders(request.headers),
    body: request.body,
    isFreshConnection: !operation.idempotent,
    maximumResponseBytes: service.maximumResponseBytes
  }
  return { service, operation, call }
}

async function callIdempotent (context: RequestContext, order: ServiceOrder): Promise<ServiceOutcome> {
  const tried = new Set<string>()
  let outcome: ServiceOutcome | undefined
  for (let attempt = 0; attempt < MAXIMUM_TRIES; attempt += 1) {
    outcome = await callOne(context, order, tried)
    if (outcome.kind === ServiceResult.Answered && outcome.answer.status < 500) return outcome
    if (context.signal.aborted) break
  }
  return outcome ?? nothingServes(order.service)
}

async function sendOnce (context: RequestContext, order: ServiceOrder): Promise<ServiceOutcome> {
  const tried = new Set<string>()
  let outcome = await callOne(context, order, tried)
  while (outcome.kind === ServiceResult.NotSent && tried.size < order.service.targets.length) outcome = await callOne(context, order, tried)
  return outcome
}

async function callOne (context: RequestContext, order: ServiceOrder, tried: Set<string>): Promise<ServiceOutcome> {
  const { targets, services, failureDomain } = context.parts
  const usable = order.service.targets.filter(target => targets.availability(target.name) !== TargetAvailability.Leaving &&
    !context.version.isTargetStopping(target.name, Date.now()))
  const rank = (target: typeof usable[number]): number => (tried.has(target.name) ? 100 : 0) +
    (targets.availability(target.name) === TargetAvailability.Suspect ? 10 : 0) +
    (target.failureDomain === failureDomain ? 0 : 1) + targets.inFlight(target.name) / target.capacity
  const target = usable.sort((left, right) => rank(left) - rank(right))[0]
  if (target === undefined) return nothingServes(order.service)
  tried.add(target.name)
  const release = targets.begin(target.name)
  const signal = order.operation.idempotent
    ? AbortSignal.any([context.signal, AbortSignal.timeout(order.service.timeoutMilliseconds)])
    : AbortSignal.timeout(order.service.timeoutMilliseconds)
  const outcome = await services.call({ target: target.name, address: target.address }, order.call, signal)
  release()
  if (outcome.kind === ServiceResult.Answered) targets.recordSuccess(target.name)
  else targets.recordFailure(target.name, outcome.failure)
  return outcome
}

async function runClaimed (context: RequestContext, request: CallerRequest, order: ServiceOrder): Promise<CallerResponse> {
  const key = request.headers['idempotency-key']
  if (key === undefined || key === '') {
    return problemResponse(createProblem(ProblemType.KeyRequired, 'this operation runs at most once and needs an Idempotency-Key'))
  }
  const outcome = await context.parts.claims.run({
    workspace: context.workspace.name,
    service: order.service.name,
    key,
    requestDigest: digestCall(order.call),
    retentionSeconds: order.operation.retentionSeconds
  }, () => sendOnce(context, order))
  return claimResponse(outcome)
}

function claimResponse (outcome: ClaimOutcome): CallerResponse {
  if (outcome.kind === ClaimResult.Answered) return answerResponse(outcome.answer, { 'idempotent-replayed': String(outcome.isRepeat) })
  if (outcome.kind === ClaimResult.KeyReused) {
    return problemResponse(createProblem(ProblemType.KeyReused, 'the key was used for another request', { order: OrderState.Unknown }))
  }
  const detail = describeFailure(outcome.failure)
  const submission = outcome.wasSent ? Submission.Sent : Submission.NotSent
  const unknown = { submission, order: OrderState.Unknown, retryAfterSeconds: 5 }
  const form: Record<typeof outcome.kind, Problem> = {
    [ClaimResult.NotRun]: createProblem(ProblemType.NoPath, detail, { retryAfterSeconds: 1 }),
    [ClaimResult.Uncertain]: createProblem(ProblemType.OrderUncertain, detail, unknown),
    [ClaimResult.Unavailable]: createProblem(ProblemType.ClaimsUnavailable, detail, unknown)
  }
  return problemResponse(form[outcome.kind])
}

function toResponse (outcome: ServiceOutcome): CallerResponse {
  if (outcome.kind === ServiceResult.Answered) return answerResponse(outcome.answer)
  const detail = describeFailure(outcome.failure)
  if (outcome.kind === ServiceResult.NotSent) return problemResponse(createProblem(ProblemType.NoPath, detail, { retryAfterSeconds: 1 }))
  return problemResponse(createProblem(ProblemType.TargetFailed, detail, { submission: Submission.Sent, order: OrderState.Unknown }))
}

function answerResponse (answer: ServiceAnswer, headers: HeaderRecord = {}): CallerResponse {
  return { status: answer.status, headers: { ...forwardedHeaders(answer.headers), ...headers }, body: answer.body }
}

function forwardedHeaders (headers: HeaderRecord): HeaderRecord {
  return Object.fromEntries(Object.entries(headers).filter(([key]) => !HOP_BY_HOP_HEADERS.has(key)))
}

function digestCall (call: ServiceCall): string {
  return createHash('sha256').update(`${call.method} ${call.path}\n`).update(call.body).digest('hex')
}

function nothingServes (service: ManifestService): ServiceOutcome {
  const failure: Failure = { kind: FailureKind.Refused, step: Step.PathChoice, peer: 'local', detail: `no target serves ${service.name}` }
  return { kind: ServiceResult.NotSent, failure }
}
