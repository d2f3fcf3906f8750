/**
 * Reports how requests end to metrics and the log.
 */
import { RelayEvent, type RelayLogFields } from '../process/relay-log.js'
import { Refusal, endWithRefusal, RETRYABLE_STATUS } from './refusal.js'
import { urgencyOf, type AdmittedRequest, type RequestDependencies } from './context.js'
import type { AttemptLedger } from './ledger.js'

/**
 * Refuses a request. Answers with the wanted refusal only where the ledger proves that the request has not run; a timeout stays a timeout,
 * anything else becomes `Refusal.Failed`.
 */
export function refuse (
  request: AdmittedRequest, dependencies: RequestDependencies, ledger: AttemptLedger, wanted: Refusal, detail: string,
  retryAfterMilliseconds?: number
): void {
  const refusal = ledger.isCertainlyNotRun() ? wanted : wanted === Refusal.TimedOut ? Refusal.TimedOut : Refusal.Failed
  reportReach(request, dependencies, ledger)
  const status = endWithRefusal(request.exchange.response, refusal, retryAfterMilliseconds)
  const event = status === RETRYABLE_STATUS ? RelayEvent.RequestRefused : RelayEvent.RequestFailed
  if (ledger.possibleArrivals() > 0) recordUnfinished(request, dependencies)
  dependencies.metrics.count('requests_refused_total', { reason: refusal, route: request.route.name })
  dependencies.log.info(event, {
    ...requestLogFields(request, dependencies), reason: refusal, detail, status, ...sendLogFields(ledger), retryAfterMilliseconds
  })
}

/** Adds to the answer which targets were reached, if the VM that has handed the request over limits them. */
export function reportReach (
  { exchange: { response }, handOver }: AdmittedRequest, { dialect }: RequestDependencies, ledger: AttemptLedger
): void {
  if (handOver === undefined || response.headersSent) return
  for (const [name, value] of Object.entries(dialect.writeReachReport(ledger.report()))) response.setHeader(name, value)
}

/** Log fields of an answer; further ones tell how an answer in events went. */
type AnsweredFields = { status: number, target: string, arrivals: number, targets: number } & Record<string, string | number | undefined>

/**
 * Records that a caller has received its answer.
 * @param isInTime whether it met the objectives of its route; by default, whether it was complete within the latency objective.
 */
export function recordAnswered (
  request: AdmittedRequest, dependencies: RequestDependencies, fields: AnsweredFields,
  isInTime?: boolean
): void {
  const milliseconds = performance.now() - request.arrivedAt
  dependencies.level.recordEnd(
    request.service.name, urgencyOf(request), isInTime ?? milliseconds <= request.route.latencyObjectiveMilliseconds
  )
  dependencies.metrics.count('requests_answered_total', { route: request.route.name, status: String(fields.status) })
  dependencies.metrics.observe('answer', milliseconds, { form: request.route.form })
  dependencies.log.info(RelayEvent.RequestAnswered, {
    ...requestLogFields(request, dependencies), ...fields, milliseconds: Math.round(milliseconds)
  })
}

/**
 * Records that a caller disconnected before its answer ended.
 * @param fields further log fields: how far the request had come.
 */
export function recordCallerLeft (
  request: AdmittedRequest, dependencies: RequestDependencies, fields: Record<string, string | number | undefined> = {}
): void {
  const milliseconds = Math.round(performance.now() - request.arrivedAt)
  if (Number(fields.arrivals ?? 0) > 0) recordUnfinished(request, dependencies)
  dependencies.metrics.count('requests_left_total', { route: request.route.name })
  dependencies.log.info(RelayEvent.RequestLeft, { ...requestLogFields(request, dependencies), ...fields, milliseconds })
}

/** Records that a request that had started has ended without its answer. */
function recordUnfinished (request: AdmittedRequest, dependencies: RequestDependencies): void {
  dependencies.level.recordEnd(request.service.name, urgencyOf(request), false)
}

/** @returns the log fields that tell how often, and to how many targets, a request was sent. */
export function sendLogFields (ledger: AttemptLedger): { arrivals: number, targets: number } {
  return { arrivals: ledger.possibleArrivals(), targets: ledger.reachedTargets() }
}

/**
 * @returns the log fields that identify a request, its configuration version and the age of the configuration, and tell whether a peer
 * handed it over.
 */
export function requestLogFields (request: AdmittedRequest, dependencies: RequestDependencies): RelayLogFields {
  return {
    request: request.requestId,
    route: request.route.name,
    service: request.service.name,
    version: request.version,
    ...(request.exchange.isHandedOver ? { isHandedOver: true } : {}),
    beliefAgeMilliseconds: Math.round(dependencies.configurationState.age())
  }
}
