/**
 * JSON over Node's `http` for the clients of this package: one call with a deadline, or a stream of JSON lines.
 */
import { Agent, request, type IncomingMessage } from 'node:http'
import { createInterface } from 'node:readline'
import type { z } from 'zod'
import { FailureKind, failed, success, type Failure, type Outcome, type Step } from '../failure.js'

const KEEP_ALIVE_AGENT = new Agent({ keepAlive: true, maxFreeSockets: 64 })
const MAXIMUM_ANSWER_BYTES = 16_777_216

/** Options of a JSON call. */
export interface JsonCallOptions {
  method?: 'GET' | 'POST' | 'DELETE'
  headers?: Record<string, string>
}

/** Posts a JSON body and reads a JSON answer that follows the schema. */
export async function postJson<T> (
  url: string, body: unknown, schema: z.ZodType<T>, step: Step, deadlineMilliseconds: number, options: JsonCallOptions = {}
): Promise<Outcome<T>> {
  const origin = { step, peer: new URL(url).host }
  let isConnected = false
  let response: IncomingMessage
  const signal = AbortSignal.timeout(deadlineMilliseconds)
  try {
    response = await send(url, body, signal, options, () => { isConnected = true })
    const text = await readText(response)
    const status = response.statusCode ?? 0
    if (status < 200 || status > 299) return failed(statusFailure(origin, status, text))
    const parsed = schema.safeParse(text === '' ? {} : JSON.parse(text))
    return parsed.success ? success(parsed.data) : failed({ ...origin, kind: FailureKind.Malformed, detail: parsed.error.message })
  } catch (cause) {
    if (cause instanceof SyntaxError) return failed({ ...origin, kind: FailureKind.Malformed, detail: 'not JSON', cause })
    const detail = cause instanceof Error ? cause.message : String(cause)
    if (!isConnected) return failed({ ...origin, kind: FailureKind.Unreachable, detail, cause })
    if (signal.aborted) return failed({ ...origin, kind: FailureKind.TimedOut, detail, afterMilliseconds: deadlineMilliseconds })
    return failed({ ...origin, kind: FailureKind.Broken, detail, cause })
  }
}

/** Posts a JSON body and yields each line of the answer as JSON; ends when the connection does. */
export async function * postStream (url: string, body: unknown, signal: AbortSignal): AsyncIterable<unknown> {
  try {
    const response = await send(url, body, signal, {}, () => {})
    if (response.statusCode !== 200) {
      response.resume()
      return
    }
    for await (const line of createInterface({ input: response, crlfDelay: Infinity })) {
      if (line !== '') yield JSON.parse(line)
    }
  } catch {
    // A broken stream ends like one that the peer closed; the reader starts again.
  }
}

function send (
  url: string, body: unknown, signal: AbortSignal, options: JsonCallOptions, onConnected: () => void
): Promise<IncomingMessage> {
  const content = body === undefined ? '' : JSON.stringify(body)
  return new Promise((resolve, reject) => {
    const outgoing = request(url, {
      method: options.method ?? 'POST',
      agent: KEEP_ALIVE_AGENT,
      signal,
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content), ...options.headers }
    })
    outgoing.on('socket', socket => {
      if (socket.connecting) socket.once('connect', onConnected)
      else onConnected()
    })
    outgoing.on('response', resolve)
    outgoing.on('error', reject)
    outgoing.end(content)
  })
}

async function readText (response: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of response as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAXIMUM_ANSWER_BYTES) throw new Error('the answer is too large')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString()
}

function statusFailure (origin: { step: Step, peer: string }, status: number, text: string): Failure {
  const detail = `status ${status}: ${text.slice(0, 200)}`
  if (status === 401 || status === 403) return { ...origin, kind: FailureKind.Unauthenticated, detail }
  if (status >= 400 && status < 500) return { ...origin, kind: FailureKind.Refused, detail, status }
  return { ...origin, kind: FailureKind.Broken, detail }
}
