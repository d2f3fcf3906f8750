/**
 * The port of plain services: one request, one whole answer.
 */
import type { Failure } from '../failure.js'
import type { TargetAddress } from './engine.js'

/** Header by which a service promises, with status 429 or 503, that it has not run and will not run the order. */
export const NOT_ACCEPTED_HEADER = 'wigeonlead-not-accepted'

/** Header names in lower case. */
export type HeaderRecord = Record<string, string>

/** One call of a plain service. */
export interface ServiceCall {
  method: string
  /** Path and query below the service's root, beginning with `/`. */
  path: string
  headers: HeaderRecord
  body: Uint8Array
  /** Opens a connection of its own, so that a failure to connect proves that nothing was sent. */
  isFreshConnection: boolean
  maximumResponseBytes: number
}

/** The whole answer of a service. */
export interface ServiceAnswer {
  status: number
  headers: HeaderRecord
  body: Uint8Array
}

/** The closed set of results of a service call. */
export enum ServiceResult {
  Answered = 'answered',
  /** Certainly not run. */
  NotSent = 'not-sent',
  /** May have run, now or later. */
  Ambiguous = 'ambiguous'
}

/** What is known of a service call. */
export type ServiceOutcome =
  | { kind: ServiceResult.Answered, answer: ServiceAnswer }
  | { kind: ServiceResult.NotSent, failure: Failure }
  | { kind: ServiceResult.Ambiguous, failure: Failure }

/** Plain services. `call` never rejects. */
export interface ServicePort {
  call: (target: TargetAddress, call: ServiceCall, signal: AbortSignal) => Promise<ServiceOutcome>
}
