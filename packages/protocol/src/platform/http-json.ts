/**
 * JSON requests over Node's `http`: one call with a deadline, or a stream of JSON lines.
 */
import { Agent, request, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import type { z } from 'zod'
import { FailureKind, failed, success, type Failure, type Outcome, type Step } from '../failure.js'
import { createLineReader } from './line-reader.js'
import { readAnswer, type OpenHolding } from './read-body.js'
import { sendRequest } from './send-request.js'

const KEEP_ALIVE_AGENT = new Agent({ keepAlive: true, maxSockets: 256, maxFreeSockets: 64 })
const MAXIMUM_ANSWER_BYTES = 16_777_216

/** Options of a JSON call. */
export interface JsonCallOptions {
  method?: 'GET' | 'POST' | 'DELETE'
  headers?: Record<string, string>
  /** Opens the holding in which the answer counts until it is complete; without it, only its length is bounded. */
  openHolding?: OpenHolding
  /**
   * Called with the headers of each answer, also of refusals.
   * @returns whether the answer may be used. If not, the call fails as outdated.
   */
  mayUse?: (headers: IncomingHttpHeaders) => boolean
}

/**
 * Destroys a request without an error when a signal aborts. With an error, as with the `signal` option of `request`, the socket
 * emits that error; while the socket returns to the agent's pool it has no error listener, so the process would exit.
 */
export function destroyOnAbort (outgoing: ClientRequest, signal: AbortSignal): void {
  const destroy = (): void => { outgoing.destroy() }
  if (signal.aborted) return destroy()
  signal.addEventListener('abort', destroy, { once: true })
  outgoing.once('close', () => signal.removeEventListener('abort', destroy))
}

/** Sends a JSON body, by default as a POST request, and reads a JSON answer that matches the schema. */
export async function callJson<T> (
  url: string, body: unknown, schema: z.ZodType<T>, step: Step, deadlineMilliseconds: number, options: JsonCallOptions = {}
): Promise<Outcome<T>> {
  const origin = { step, peer: new URL(url).host }
  let isConnected = false
  let response: IncomingMessage
  const aborter = new AbortController()
  const timer = setTimeout(() => aborter.abort(), deadlineMilliseconds)
  try {
    response = await send(url, body, aborter.signal, options, () => { isConnected = true })
    const text = (await readAnswer(response, MAXIMUM_ANSWER_BYTES, options.openHolding)).toString()
    const status = response.statusCode ?? 0
    if (options.mayUse?.(response.headers) === false) {
      return failed({ ...origin, kind: FailureKind.Outdated, detail: `status ${status} of an earlier era` })
    }
    if (status < 200 || status > 299) return failed(statusFailure(origin, status, text))
    const parsed = schema.safeParse(text === '' ? {} : JSON.parse(text))
    return parsed.success ? success(parsed.data) : failed({ ...origin, kind: FailureKind.Malformed, detail: parsed.error.message })
  } catch (cause) {
    if (cause instanceof SyntaxError) return failed({ ...origin, kind: FailureKind.Malformed, detail: 'not JSON', cause })
    const detail = cause instanceof Error ? cause.message : String(cause)
    if (!isConnected) return failed({ ...origin, kind: FailureKind.Unreachable, detail, cause })
    if (aborter.signal.aborted) return failed({ ...origin, kind: FailureKind.TimedOut, detail, afterMilliseconds: deadlineMilliseconds })
    return failed({ ...origin, kind: FailureKind.Broken, detail, cause })
  } finally {
    clearTimeout(timer)
  }
}

/** Posts a JSON body and yields each line of the answer as JSON; ends when the connection ends. */
export async function * postStream (url: string, body: unknown, signal: AbortSignal): AsyncIterable<unknown> {
  let response: IncomingMessage | undefined
  try {
    response = await send(url, body, signal, {}, () => {})
    if (response.statusCode !== 200) return
    const reader = createLineReader(response, MAXIMUM_ANSWER_BYTES)
    for (let lines = await reader.next(); lines !== undefined; lines = await reader.next()) {
      for (const line of lines) yield JSON.parse(line)
    }
  } catch {
    // A broken stream ends like one that the peer closed; the consumer opens a new one.
  } finally {
    response?.destroy()
  }
}

function send (
  url: string, body: unknown, signal: AbortSignal, options: JsonCallOptions, onConnected: () => void
): Promise<IncomingMessage> {
  const content = body === undefined ? '' : JSON.stringify(body)
  const outgoing = request(url, {
    method: options.method ?? 'POST',
    agent: KEEP_ALIVE_AGENT,
    headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content), ...options.headers }
  })
  destroyOnAbort(outgoing, signal)
  return sendRequest(outgoing, content, onConnected)
}

function statusFailure (origin: { step: Step, peer: string }, status: number, text: string): Failure {
  const detail = `status ${status}: ${text.slice(0, 200)}`
  if (status === 401 || status === 403) return { ...origin, kind: FailureKind.Unauthenticated, detail }
  if (status >= 400 && status < 500) return { ...origin, kind: FailureKind.Refused, detail, status }
  return { ...origin, kind: FailureKind.Broken, detail }
}
