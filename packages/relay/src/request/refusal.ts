/**
 * Refusals and failures that the relay itself returns to callers.
 */
import type { ServerResponse } from 'node:http'

/** Why a request is refused or failed. Each reason maps to one HTTP status. */
export enum Refusal {
  NoRequestId = 'no-request-id',
  UnknownRoute = 'unknown-route',
  UnknownKey = 'unknown-key',
  /** No target has run the request and none will; the caller may retry. This also holds for the reasons up to `TargetsRefused`. */
  NoConfiguration = 'no-configuration',
  ConfigurationTooOld = 'configuration-too-old',
  NoTarget = 'no-target',
  NoCapacity = 'no-room',
  /** The prompt contains a part that has crashed targets. */
  PromptQuarantined = 'prompt-quarantined',
  /** The request has crashed targets. */
  RequestQuarantined = 'request-quarantined',
  TargetsRefused = 'targets-refused',
  /** A target may have run the request. */
  Failed = 'failed',
  TimedOut = 'timed-out'
}

const STATUSES: Record<Refusal, number> = {
  [Refusal.NoRequestId]: 400,
  [Refusal.UnknownRoute]: 404,
  [Refusal.UnknownKey]: 401,
  [Refusal.NoConfiguration]: 503,
  [Refusal.ConfigurationTooOld]: 503,
  [Refusal.NoTarget]: 503,
  [Refusal.NoCapacity]: 503,
  [Refusal.PromptQuarantined]: 503,
  [Refusal.RequestQuarantined]: 503,
  [Refusal.TargetsRefused]: 503,
  [Refusal.Failed]: 502,
  [Refusal.TimedOut]: 504
}

/** @returns why a VM refused a request, from the body of its answer; undefined if it does not tell. */
export function readRefusal (body: Buffer): Refusal | undefined {
  try {
    const { title } = JSON.parse(body.toString()) ?? {}
    return Object.values(Refusal).find(refusal => refusal === title)
  } catch {
    // A VM that stops refuses with an empty body.
    return undefined
  }
}

/** Status of the refusals that a later retry, or a retry at another vm, may avoid. */
export const RETRYABLE_STATUS = 503

/**
 * Ends an exchange with a problem document written by the relay. Closes the connection instead where the response has already begun.
 * @param retryAfterMilliseconds when the caller may retry; sent only with `RETRYABLE_STATUS`.
 * @returns the status of the refusal.
 */
export function endWithRefusal (response: ServerResponse, refusal: Refusal, retryAfterMilliseconds?: number): number {
  const status = STATUSES[refusal]
  // The listener has ended the request itself.
  if (response.writableEnded) return status
  if (response.headersSent || response.destroyed) {
    response.destroy()
    return status
  }
  const body = JSON.stringify({ status, title: refusal })
  response.setHeader('Content-Type', 'application/problem+json')
  response.setHeader('Content-Length', Buffer.byteLength(body))
  if (status === RETRYABLE_STATUS && retryAfterMilliseconds !== undefined) {
    response.setHeader('Retry-After', (retryAfterMilliseconds / 1000).toFixed(2))
  }
  response.writeHead(status)
  response.end(body)
  return status
}
