/**
 * Requests to targets: over kept connections that carried nothing but whole answers, or over new ones.
 */
import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { splitAddress } from './address.js'
import type { AnswerTerms, Dialect } from './dialect.js'

/** How a send ended, as far as the head of the answer. */
export enum SendResult {
  Answered = 'answered',
  /** No connection could be made: the target has seen nothing. */
  NotSent = 'not-sent',
  /** Something was handed to a connection and no answer to it came. */
  Unknown = 'unknown'
}

/** The end of a send. */
export type SendOutcome =
  | {
    kind: SendResult.Answered
    response: IncomingMessage
    terms: AnswerTerms
    /** Asked once the body has ended: whether that was its end, and not a reset that looked like one. */
    isEndSure: () => Promise<boolean>
  }
  | { kind: SendResult.NotSent, reason: string }
  | { kind: SendResult.Unknown, reason: string }

/** A request for a target. */
export interface TargetCall {
  address: string
  method: string
  /** Path and query, as the caller wrote them. */
  path: string
  /** Flat pairs. */
  headers: string[]
  body: Buffer
  /** The answer must name this request. */
  requestId?: string
  /** Whether a kept connection may be used, on which the target may be about to close. */
  mayReuseConnection: boolean
  /** Aborting destroys the connection, which ends the work at the target. */
  signal: AbortSignal
}

/** Sends requests to targets. */
export interface TargetClient {
  send: (call: TargetCall) => Promise<SendOutcome>
  /** Closes all kept connections. */
  close: () => void
}

/** A connection that is not there after this time is given up, milliseconds: some hundred times the longest way and handshake. */
const CONNECT_TIMEOUT_MILLISECONDS = 400
/** Kept connections are probed when idle so long, milliseconds. */
const PROBE_AFTER_MILLISECONDS = 1000
/** A kept connection is not used after this share of the idle time that the target announced. */
const USED_IDLE_SHARE = 0.6
/** Idle time after which a connection is not used where the target announced none, milliseconds. */
const UNANNOUNCED_IDLE_MILLISECONDS = 3000
const KEPT_CONNECTIONS_PER_TARGET = 16

/** Makes a client. */
export function createTargetClient (dialect: Dialect): TargetClient {
  const kept = createCleanAgent()

  function send (call: TargetCall): Promise<SendOutcome> {
    return new Promise(resolve => {
      if (call.signal.aborted) return resolve({ kind: SendResult.NotSent, reason: 'the caller left' })
      const [host, port] = splitAddress(call.address)
      const headers = call.body.length > 0 || call.method !== 'GET'
        ? [...call.headers, 'Content-Length', String(call.body.length)]
        : call.headers
      let isConnected = false
      let connectTimer: NodeJS.Timeout | undefined
      const outgoing = request({
        host,
        port,
        method: call.method,
        path: call.path,
        headers: headers as unknown as Record<string, string>,
        setHost: false,
        agent: call.mayReuseConnection ? kept : false
      })
      const onAbort = (): void => { outgoing.destroy() }
      call.signal.addEventListener('abort', onAbort, { once: true })

      function fail (reason: string): void {
        resolve(isConnected ? { kind: SendResult.Unknown, reason } : { kind: SendResult.NotSent, reason })
      }

      outgoing.on('socket', socket => {
        if (!socket.connecting) {
          isConnected = true
          return
        }
        socket.setNoDelay(true)
        connectTimer = setTimeout(() => outgoing.destroy(new Error('no connection in time')), CONNECT_TIMEOUT_MILLISECONDS)
        socket.once('connect', () => {
          isConnected = true
          clearTimeout(connectTimer)
        })
      })
      let answer: IncomingMessage | undefined
      let isReset = false
      outgoing.on('response', response => {
        answer = response
        if (!hasLength(response)) probeAtEnd(response.socket, () => { isReset = true })
        const terms = dialect.readAnswer(response.headers)
        if (call.requestId !== undefined && terms.requestId !== call.requestId) {
          outgoing.destroy()
          return fail(`the answer names another request: ${terms.requestId ?? 'none'}`)
        }
        noteIdleTime(outgoing, terms)
        resolve({ kind: SendResult.Answered, response, terms, isEndSure: async () => await isEndSure(response, () => isReset) })
      })
      outgoing.on('error', error => {
        // The runtime takes a reset for the end of a body without a length: it must not look whole.
        isReset = true
        answer?.destroy(error)
        fail(error.message)
      })
      outgoing.on('close', () => {
        clearTimeout(connectTimer)
        call.signal.removeEventListener('abort', onAbort)
        fail('closed without an answer')
      })
      outgoing.end(call.body)
    })
  }

  return { send, close: () => kept.destroy() }
}

/** Whether an answer says where its body ends; else it ends with its connection. */
export function hasLength (response: IncomingMessage): boolean {
  return response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined
}

/**
 * Writes to a connection once its other side has ended a body without a length. Where a reset came with the last bytes, the runtime
 * tells only an end; the write then fails. A peer that has closed in order takes an empty line for nothing.
 */
function probeAtEnd (socket: Socket, onReset: () => void): void {
  socket.allowHalfOpen = true
  socket.prependOnceListener('end', () => {
    socket.write('\r\n', error => { if (error != null) onReset() })
  })
}

/** A failed write is told within some turns of the loop, milliseconds. */
const PROBE_MILLISECONDS = 5

async function isEndSure (response: IncomingMessage, isReset: () => boolean): Promise<boolean> {
  if (hasLength(response)) return true
  await new Promise(resolve => { setTimeout(resolve, PROBE_MILLISECONDS) })
  return !isReset()
}

interface KeptSocket extends Duplex {
  idleTimer?: NodeJS.Timeout
  /** Milliseconds. */
  idleLimit?: number
}

function noteIdleTime (outgoing: ClientRequest, terms: AnswerTerms): void {
  const socket = outgoing.socket as KeptSocket | null
  if (socket === null) return
  socket.idleLimit = terms.idleMilliseconds === undefined ? UNANNOUNCED_IDLE_MILLISECONDS : terms.idleMilliseconds * USED_IDLE_SHARE
}

/** An agent whose idle connections are destroyed by any byte that arrives on them: it belongs to no request. */
function createCleanAgent (): Agent {
  const agent = new Agent({
    keepAlive: true, keepAliveMsecs: PROBE_AFTER_MILLISECONDS, maxFreeSockets: KEPT_CONNECTIONS_PER_TARGET, scheduling: 'lifo'
  })
  const keep = agent.keepSocketAlive.bind(agent) as (socket: Duplex) => boolean | void
  const reuse = agent.reuseSocket.bind(agent)
  const destroyOnData = function (this: Duplex): void { this.destroy() }
  agent.keepSocketAlive = (socket: KeptSocket) => {
    if (socket.readableLength > 0) return false as unknown as void
    socket.on('data', destroyOnData)
    socket.idleTimer = setTimeout(() => socket.destroy(), socket.idleLimit ?? UNANNOUNCED_IDLE_MILLISECONDS).unref()
    return keep(socket) as void
  }
  agent.reuseSocket = (socket: KeptSocket, outgoing) => {
    socket.removeListener('data', destroyOnData)
    clearTimeout(socket.idleTimer)
    reuse(socket, outgoing)
  }
  return agent
}
