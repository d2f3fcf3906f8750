/**
 * Finds the service and the operation that a request asks for, and makes the call of it.
 */
import {
  OrderState, ProblemType, createProblem,
  type ManifestOperation, type ManifestService, type Problem, type ProblemOptions, type ServiceCall
} from '@wigeonlead/protocol'
import type { CallerRequest } from '../caller.js'
import type { RequestContext } from '../context.js'
import { forwardedHeaders } from './headers.js'

/** Header of the caller's key. */
export const KEY_HEADER = 'idempotency-key'
/** Header in which a caller counts its earlier submissions of the order. */
export const PREVIOUS_ATTEMPTS_HEADER = 'wigeonlead-previous-attempts'

const MAXIMUM_PREVIOUS_ATTEMPTS = 1_000_000

/** A request to a plain service. */
export interface ServiceOrder {
  request: CallerRequest
  service: ManifestService
  operation: ManifestOperation
  call: ServiceCall
  /** How often the caller submitted the order before, where it says so. */
  previousAttempts?: number
}

/**
 * Finds what a request asks for.
 * @param path path and query below the service, beginning with `/`.
 */
export function findOrder (context: RequestContext, request: CallerRequest, serviceName: string, path: string): ServiceOrder | Problem {
  const compiled = context.version.services.get(serviceName)
  const service = compiled?.service
  const refuse = (type: ProblemType, detail: string): Problem => refuseUnsent({ request, service }, type, detail)
  if (compiled === undefined || service === undefined) return refuse(ProblemType.UnknownService, `service "${serviceName}" is not served`)
  const allowed = context.workspace.services
  if (allowed !== undefined && !allowed.includes(serviceName)) {
    return refuse(ProblemType.Forbidden, `workspace ${context.workspace.name} may not use service "${serviceName}"`)
  }
  const pathname = path.split('?')[0] ?? '/'
  if (!isNormalPath(path, pathname)) return refuse(ProblemType.MalformedRequest, 'the path is not in the normal form of a URL')
  const operation = compiled.operations.find(each => each.operation.method === request.method && each.pattern.test(pathname))?.operation
  if (operation === undefined) return refuse(ProblemType.UnknownOperation, `service "${serviceName}" has no ${request.method} ${pathname}`)
  if (request.body.byteLength > service.maximumBodyBytes) return refuse(ProblemType.BodyTooLarge, `the body is over ${service.maximumBodyBytes} bytes`)
  const previousAttempts = readPreviousAttempts(request)
  if (Number.isNaN(previousAttempts)) return refuse(ProblemType.MalformedRequest, `${PREVIOUS_ATTEMPTS_HEADER} is not a count`)
  return { request, service, operation, previousAttempts, call: createCall(request, service, operation, path) }
}

/** What the HTTP client would resolve to another path (dot segments, backslashes, fragments) could reach another operation. */
function isNormalPath (path: string, pathname: string): boolean {
  try {
    const url = new URL(`http://service${path}`)
    return url.pathname === pathname && url.hash === ''
  } catch {
    return false
  }
}

/** The part of an order that decides what may be said of it. */
export type UnsentOrder = Pick<ServiceOrder, 'request'> & Partial<ServiceOrder>

/** Refuses a request of which this entry VM sent nothing, claiming no more of the order than is certain. */
export function refuseUnsent (order: UnsentOrder, type: ProblemType, detail: string, options: ProblemOptions = {}): Problem {
  return createProblem(type, detail, { order: unsentOrderState(order), ...options })
}

/** @returns whether an order certainly has not run, given that this entry VM sent nothing of it and never will. */
export function unsentOrderState ({ request, service, operation }: UnsentOrder): OrderState {
  const mayBeRepeated = operation === undefined ? mayBeOrder(request) : !operation.idempotent
  if (!mayBeRepeated) return OrderState.NotRun
  const isOnlySubmission = service?.balancerNeverRepeats === true && readPreviousAttempts(request) === 0
  return isOnlySubmission ? OrderState.NotRun : OrderState.Unknown
}

/** What can't be served now may have been an order under another version of the manifest. */
function mayBeOrder (request: CallerRequest): boolean {
  const isSafeMethod = request.method === 'GET' || request.method === 'HEAD'
  return request.headers[KEY_HEADER] !== undefined || (!isSafeMethod && request.url.startsWith('/services/'))
}

/** @returns the stated count, undefined where none is stated, NaN where it is not a count. */
function readPreviousAttempts (request: CallerRequest): number | undefined {
  const text = request.headers[PREVIOUS_ATTEMPTS_HEADER]
  if (text === undefined) return undefined
  return /^\d{1,7}$/.test(text) && Number(text) <= MAXIMUM_PREVIOUS_ATTEMPTS ? Number(text) : Number.NaN
}

function createCall (request: CallerRequest, service: ManifestService, operation: ManifestOperation, path: string): ServiceCall {
  return {
    method: request.method,
    path,
    headers: forwardedHeaders(request.headers),
    body: request.body,
    isFreshConnection: !operation.idempotent,
    maximumResponseBytes: service.maximumResponseBytes
  }
}
