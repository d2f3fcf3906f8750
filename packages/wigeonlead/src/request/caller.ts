/**
 * A caller's request and its response, independent of the transport.
 */
import type { HeaderRecord, Problem } from '@wigeonlead/protocol'

/** A caller's request, with its body read completely. */
export interface CallerRequest {
  method: string
  /** Path and query string. */
  url: string
  headers: HeaderRecord
  body: Uint8Array
  /** Aborts when the caller hangs up. */
  signal: AbortSignal
}

/** The response to a caller. */
export interface CallerResponse {
  status: number
  headers: HeaderRecord
  /** The whole body, or chunks that are sent as they become available. */
  body: string | Uint8Array | AsyncIterable<string>
}

/** Answers one request of a caller. The promise never rejects. */
export type CallerHandler = (request: CallerRequest) => Promise<CallerResponse>

/** @returns a response with a JSON body. */
export function jsonResponse (status: number, body: unknown, headers: HeaderRecord = {}): CallerResponse {
  return { status, headers: { 'content-type': 'application/json', ...headers }, body: JSON.stringify(body) }
}

/** @returns a problem response in the format of RFC 9457. */
export function problemResponse (problem: Problem): CallerResponse {
  const headers: HeaderRecord = { 'content-type': 'application/problem+json' }
  if (problem.retryAfterSeconds !== undefined) headers['retry-after'] = String(problem.retryAfterSeconds)
  const type = `urn:wigeonlead:problem:${problem.type}`
  return { status: problem.status, headers, body: JSON.stringify({ ...problem, type }) }
}
