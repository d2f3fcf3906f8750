/**
 * The port for calls to plain services: one request, one complete answer.
 */
import type { Failure } from '../failure.js'
import type { TargetAddress } from './engine.js'

/** Response header by which a service, with status 429 or 503, guarantees that it has not run the order and will not run it. */
export const NOT_ACCEPTED_HEADER = 'wigeonlead-not-accepted'

/** Headers by name; the names are in lower case. */
export type HeaderRecord = Record<string, string>

/** One call to a plain service. */
export interface ServiceCall {
  method: string
  /** Path and query below the service's root, beginning with `/`. */
  path: string
  headers: HeaderRecord
  body: Uint8Array
  /** Whether to open a new connection, so that a failure to connect proves that nothing was sent. */
  isFreshConnection: boolean
  maximumResponseBytes: number
}

/** The complete answer of a service. */
export interface ServiceAnswer {
  status: number
  headers: HeaderRecord
  body: Uint8Array
}

/** All results of a service call. */
export enum ServiceResult {
  Answered = 'answered',
  /** The order was certainly not run. */
  NotSent = 'not-sent',
  /** The order may have run, or may still run. */
  Ambiguous = 'ambiguous'
}

/** The outcome of a service call. */
export type ServiceOutcome =
  | { kind: ServiceResult.Answered, answer: ServiceAnswer }
  | { kind: ServiceResult.NotSent, failure: Failure }
  | { kind: ServiceResult.Ambiguous, failure: Failure }

/** Makes calls to plain services. `call` never rejects. */
export interface ServicePort {
  call: (target: TargetAddress, call: ServiceCall, signal: AbortSignal) => Promise<ServiceOutcome>
}
