/**
 * A caller's request and its answer, apart from the transport that carries them.
 */
import type { HeaderRecord, Problem } from '@wigeonlead/protocol'

/** A caller's request with its whole body. */
export interface CallerRequest {
  method: string
  /** Path and query. */
  url: string
  headers: HeaderRecord
  body: Uint8Array
  /** Aborts when the caller hangs up. */
  signal: AbortSignal
}

/** The answer to a caller. */
export interface CallerResponse {
  status: number
  headers: HeaderRecord
  /** A whole body, or pieces that are sent as they come. */
  body: string | Uint8Array | AsyncIterable<string>
}

/** Answers one request of a caller. Never rejects. */
export type CallerHandler = (request: CallerRequest) => Promise<CallerResponse>

/** @returns an answer with a JSON body. */
export function jsonResponse (status: number, body: unknown, headers: HeaderRecord = {}): CallerResponse {
  return { status, headers: { 'content-type': 'application/json', ...headers }, body: JSON.stringify(body) }
}

/** @returns a refusal as RFC 9457 asks for. */
export function problemResponse (problem: Problem): CallerResponse {
  const headers: HeaderRecord = { 'content-type': 'application/problem+json' }
  if (problem.retryAfterSeconds !== undefined) headers['retry-after'] = String(problem.retryAfterSeconds)
  const type = `urn:wigeonlead:problem:${problem.type}`
  return { status: problem.status, headers, body: JSON.stringify({ ...problem, type }) }
}
