/**
 * Ends of requests, told to metrics and the log in one place.
 */
import { RelayEvent } from '../process/relay-log.js'
import { Refusal, endWithRefusal, RETRYABLE_STATUS } from './answer.js'
import type { AdmittedRequest, RequestParts } from './context.js'
import type { AttemptLedger } from './ledger.js'

/** Ends a request with an answer of the router's own; what the ledger knows decides whether it may be called not run. */
export function refuse (
  request: AdmittedRequest, parts: RequestParts, ledger: AttemptLedger, wanted: Refusal, detail: string, retryAfterMilliseconds?: number
): void {
  const refusal = ledger.isCertainlyNotRun() ? wanted : wanted === Refusal.TimedOut ? Refusal.TimedOut : Refusal.Failed
  const status = endWithRefusal(request.exchange.response, refusal, retryAfterMilliseconds)
  const event = status === RETRYABLE_STATUS ? RelayEvent.RequestRefused : RelayEvent.RequestFailed
  parts.metrics.count('requests_refused_total', { reason: refusal, route: request.route.name })
  parts.log.note(event, {
    ...requestFields(request, parts), reason: refusal, detail, status, arrivals: ledger.arrivals(), retryAfterMilliseconds
  })
}

/** Notes that a caller has its answer. */
export function noteAnswered (
  request: AdmittedRequest, parts: RequestParts, fields: { status: number, target: string, arrivals: number }
): void {
  const milliseconds = performance.now() - request.exchange.arrivedAt.steady
  parts.metrics.count('requests_answered_total', { route: request.route.name, status: String(fields.status) })
  parts.metrics.observe('answer', milliseconds, { form: request.route.form })
  parts.log.note(RelayEvent.RequestAnswered, { ...requestFields(request, parts), ...fields, milliseconds: Math.round(milliseconds) })
}

/**
 * Notes that a caller left before its answer ended.
 * @param fields where its request was, and what came of it by then.
 */
export function noteLeft (request: AdmittedRequest, parts: RequestParts, fields: Record<string, string | number | undefined> = {}): void {
  const milliseconds = Math.round(performance.now() - request.exchange.arrivedAt.steady)
  parts.metrics.count('requests_left_total', { route: request.route.name })
  parts.log.note(RelayEvent.RequestLeft, { ...requestFields(request, parts), ...fields, milliseconds })
}

/** @returns the fields that name a request and the belief that it is handled under. */
export function requestFields (request: AdmittedRequest, parts: RequestParts): Record<string, string | number> {
  return {
    request: request.requestId,
    route: request.route.name,
    service: request.service.name,
    version: request.version,
    beliefAgeMilliseconds: Math.round(parts.beliefs.age())
  }
}
