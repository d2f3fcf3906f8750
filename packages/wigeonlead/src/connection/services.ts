/**
 * Adapter of the service port to HTTP: sends one request, reads the whole answer, and distinguishes calls that certainly were not sent
 * from those that may have been.
 */
import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import {
  FailureKind, NOT_ACCEPTED_HEADER, ServiceResult, Step, createMemoryBudget, destroyOnAbort, findInvalidAnswerHead, paceReading, readAnswer,
  type Failure, type ServiceAnswer, type ServiceCall, type ServiceOutcome, type MemoryBudget, type ServicePort, type TargetAddress
} from '@wigeonlead/protocol'
import { flattenHeaders } from './headers.js'

/** Options of the adapter. */
export interface HttpServicesOptions {
  /** Timeout of establishing a connection; 1,000 ms by default. */
  connectTimeoutMilliseconds?: number
  /** The memory for answers that are arriving; by default, it is not bounded. */
  memory?: MemoryBudget
}

interface Exchange {
  agent: Agent
  target: TargetAddress
  call: ServiceCall
  signal: AbortSignal
  connectTimeoutMilliseconds: number
  memory: MemoryBudget
  /** Set once the socket is connected, since the request's header may have been sent from then on. */
  isPossiblySent: boolean
}

const CONNECT_TIMEOUT_MILLISECONDS = 1000
const PARSE_ERROR_PREFIX = 'HPE_'
const NOT_ACCEPTED_STATUSES = new Set([429, 503])

/**
 * Creates a service port over HTTP. A call that requires a fresh connection gets a socket of its own: only there does a failure to
 * connect prove that nothing was sent, since a pooled socket may break after the request's header was written to it.
 */
export function createHttpServices (options: HttpServicesOptions = {}): ServicePort {
  const agent = new Agent({ keepAlive: true, maxFreeSockets: 256 })
  const { connectTimeoutMilliseconds = CONNECT_TIMEOUT_MILLISECONDS, memory = createMemoryBudget(() => Infinity) } = options
  return {
    call: (target, call, signal) =>
      callService({ agent, target, call, signal, connectTimeoutMilliseconds, memory, isPossiblySent: false })
  }
}

async function callService (exchange: Exchange): Promise<ServiceOutcome> {
  const { target, call, signal, memory } = exchange
  if (signal.aborted) return notSent(exchange, FailureKind.Aborted, 'given up before it was sent')
  try {
    const response = await send(exchange)
    const body = await readAnswer(response, call.maximumResponseBytes, onEvicted => memory.open(onEvicted, target.target))
    return classifyAnswer(target, { status: response.statusCode ?? 502, headers: flattenHeaders(response.headers), body })
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause)
    if (!exchange.isPossiblySent) return notSent(exchange, FailureKind.Unreachable, detail, cause)
    const kind = signal.aborted ? FailureKind.Aborted : isParseError(cause) ? FailureKind.Malformed : FailureKind.Broken
    return { kind: ServiceResult.Ambiguous, failure: { kind, step: Step.Service, peer: target.target, detail, cause } }
  }
}

function send (exchange: Exchange): Promise<IncomingMessage> {
  const { agent, target, call, signal } = exchange
  return new Promise((resolve, reject) => {
    const outgoing = request(`http://${target.address}${call.path}`, {
      method: call.method,
      agent: call.isFreshConnection ? false : agent,
      headers: { ...call.headers, 'content-length': call.body.byteLength }
    })
    destroyOnAbort(outgoing, signal)
    outgoing.on('socket', socket => watchConnection(exchange, outgoing, socket))
    outgoing.on('response', response => {
      const invalidity = findInvalidAnswerHead(response.statusCode ?? 0, response.rawHeaders)
      if (invalidity === undefined) return resolve(response)
      outgoing.destroy()
      reject(Object.assign(new Error(`the head of the answer is malformed: ${invalidity}`), { code: `${PARSE_ERROR_PREFIX}INVALID_HEAD` }))
    })
    outgoing.on('error', reject)
    outgoing.end(call.body)
  })
}

function watchConnection (exchange: Exchange, outgoing: ClientRequest, socket: Socket): void {
  paceReading(socket)
  if (!socket.connecting) {
    exchange.isPossiblySent = true
    return
  }
  const timer = setTimeout(() => outgoing.destroy(new Error('no connection in time')), exchange.connectTimeoutMilliseconds)
  socket.once('close', () => clearTimeout(timer))
  socket.once('connect', () => {
    clearTimeout(timer)
    exchange.isPossiblySent = true
  })
}

function classifyAnswer (target: TargetAddress, answer: ServiceAnswer): ServiceOutcome {
  const isNotAccepted = NOT_ACCEPTED_STATUSES.has(answer.status) && answer.headers[NOT_ACCEPTED_HEADER] === 'true'
  if (!isNotAccepted) return { kind: ServiceResult.Answered, answer }
  const failure: Failure = {
    kind: FailureKind.Refused,
    step: Step.Service,
    peer: target.target,
    detail: 'the service did not accept the call',
    status: answer.status,
    retryAfterMilliseconds: parseRetryAfter(answer.headers['retry-after'])
  }
  return { kind: ServiceResult.NotSent, failure }
}

/** @returns the delay in milliseconds; undefined if the header is absent or can't be parsed. */
function parseRetryAfter (text: string | undefined): number | undefined {
  if (text === undefined) return undefined
  if (/^\d{1,6}$/.test(text)) return Number(text) * 1000
  const at = Date.parse(text)
  return Number.isNaN(at) ? undefined : Math.max(0, at - Date.now())
}

function notSent (
  { target }: Exchange, kind: FailureKind.Aborted | FailureKind.Unreachable, detail: string, cause?: unknown
): ServiceOutcome {
  return { kind: ServiceResult.NotSent, failure: { kind, step: Step.Service, peer: target.target, detail, cause } }
}

function isParseError (cause: unknown): boolean {
  const { code } = cause as { code?: unknown }
  return typeof code === 'string' && code.startsWith(PARSE_ERROR_PREFIX)
}
