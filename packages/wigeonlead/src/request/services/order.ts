/**
 * Finds the service and the operation of a request, and creates the call to the service.
 */
import {
  OrderState, ProblemType, createProblem,
  type ManifestOperation, type ManifestService, type Problem, type ProblemOptions, type ServiceCall
} from '@wigeonlead/protocol'
import type { CallerRequest } from '../caller.js'
import type { RequestContext } from '../context.js'
import { forwardedHeaders } from './headers.js'

/** Header with the caller's idempotency key. */
export const KEY_HEADER = 'idempotency-key'
/** Header with the number of the caller's earlier submissions of the order. */
export const PREVIOUS_ATTEMPTS_HEADER = 'wigeonlead-previous-attempts'

const MAXIMUM_PREVIOUS_ATTEMPTS = 1_000_000

/** A request to a plain service. */
export interface ServiceOrder {
  request: CallerRequest
  service: ManifestService
  operation: ManifestOperation
  call: ServiceCall
  /** Number of the caller's earlier submissions of the order; undefined if not stated. */
  previousAttempts?: number
}

/**
 * Finds the service and the operation of a request.
 * @param path path and query string below the service, beginning with `/`.
 * @returns the order, or the problem for which it is refused.
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

/**
 * Tells whether the HTTP client would send the path unchanged. One that it would resolve to another path (dot segments, backslashes,
 * fragments) could reach another operation.
 */
function isNormalPath (path: string, pathname: string): boolean {
  try {
    const url = new URL(`http://service${path}`)
    return url.pathname === pathname && url.hash === ''
  } catch {
    return false
  }
}

/** The fields of an order that decide whether it certainly has not run. */
export type UnsentOrder = Pick<ServiceOrder, 'request'> & Partial<ServiceOrder>

/** @returns the refusal of a request that this entry VM sent to no target; says that the order has not run only if that is certain. */
export function refuseUnsent (order: UnsentOrder, type: ProblemType, detail: string, options: ProblemOptions = {}): Problem {
  return createProblem(type, detail, { order: unsentOrderState(order), ...options })
}

/**
 * @returns the state of an order that this entry VM has not sent and never will send: `NotRun` if it certainly has not run, otherwise
 * `Unknown`, since the caller or the balancer may have submitted it before.
 */
export function unsentOrderState ({ request, service, operation }: UnsentOrder): OrderState {
  const isPossiblyNonIdempotent = operation === undefined ? mayBeNonIdempotentOrder(request) : !operation.idempotent
  if (!isPossiblyNonIdempotent) return OrderState.NotRun
  const isOnlySubmission = service?.balancerNeverRepeats === true && readPreviousAttempts(request) === 0
  return isOnlySubmission ? OrderState.NotRun : OrderState.Unknown
}

/** Tells whether a request without a known operation may be a non-idempotent order under another version of the manifest. */
function mayBeNonIdempotentOrder (request: CallerRequest): boolean {
  const isSafeMethod = request.method === 'GET' || request.method === 'HEAD'
  return request.headers[KEY_HEADER] !== undefined || (!isSafeMethod && request.url.startsWith('/services/'))
}

/** @returns the stated count, undefined if none is stated, or NaN if it is not a count. */
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
