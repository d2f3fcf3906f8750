/**
 * Sends requests to targets over new connections or over pooled keep-alive connections on which all earlier answers were complete.
 */
import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { createMemoryBudget, findInvalidAnswerHead, paceReading, type MemoryBudget, type OpenHolding } from '@wigeonlead/protocol'
import { isAddress, splitAddress } from './address.js'
import type { AnswerTerms, Dialect } from './dialect.js'
import { scanHead, type HeadScanner } from './head-scanner.js'

/** Result of a send up to the head of the answer. */
export enum SendResult {
  Answered = 'answered',
  /** No connection was established: the target received nothing. */
  NotSent = 'not-sent',
  /** Not sent, because the target wants nothing from this VM for now. */
  Withheld = 'withheld',
  /** The request was handed to a connection and no valid answer arrived: the target may have run it. */
  Unknown = 'unknown'
}

/** Outcome of a send. `isRefused` tells that nothing listens at the address. */
export type SendOutcome =
  | {
    kind: SendResult.Answered
    response: IncomingMessage
    terms: AnswerTerms
    /** To be called once the body has ended: whether it ended regularly, and not by a reset that looked like an end. */
    isEndConfirmed: () => Promise<boolean>
    /** Opens a holding of the memory for answers, in which what is kept of this answer counts. */
    openHolding: OpenHolding
  }
  | { kind: SendResult.NotSent, reason: string, isRefused: boolean }
  | { kind: SendResult.Withheld, reason: string }
  | { kind: SendResult.Unknown, reason: string }

/** A request for a target. */
export interface TargetCall {
  address: string
  /** Incarnation of the target that is expected at the address. */
  incarnation: string
  method: string
  /** Path and query, as the caller sent them. */
  path: string
  /** Flat name-value pairs. */
  headers: string[]
  body: Buffer
  /** Identifier that the answer must repeat. The answer to a call without one must not have any. */
  requestId?: string
  /** Whether an answer without an identifier is valid too: peers refuse requests without naming them. By default, it is not. */
  mayOmitId?: boolean
  /** Whether a pooled connection may be used; the target may be about to close it. */
  mayReuseConnection: boolean
  /** Aborting it destroys the connection, which stops the work at the target. */
  signal: AbortSignal
}

/** State of targets that decides whether anything is sent to them, and that their answers change. */
export interface TargetStates {
  /** @returns milliseconds for which nothing may be sent to a target; 0 if sends are allowed. */
  pauseRemaining: (incarnation: string) => number
  /** Called where a connection is not established within `SLOW_CONNECT_MILLISECONDS`. */
  onSlowConnect: (incarnation: string) => void
  /** Called for each request that is handed to a connection. */
  onSend: (incarnation: string) => void
  /**
   * Called with the terms of each valid answer of the expected target.
   * @param status HTTP status of the answer.
   */
  onAnswer: (incarnation: string, status: number, terms: AnswerTerms) => void
}

/** Sends requests to targets. */
export interface TargetClient {
  send: (call: TargetCall) => Promise<SendOutcome>
  /** Gives up the connections that are being established to certain targets, by their incarnations. */
  abandonConnects: (isAffected: (incarnation: string) => boolean) => void
  /** Closes all pooled connections. */
  close: () => void
}

/** Timeout for establishing a connection, milliseconds: about a hundred times the longest transit and handshake. */
const CONNECT_TIMEOUT_MILLISECONDS = 400
/** Time after which a connection that is not established is unusual, milliseconds: tens of times the usual handshake. */
const SLOW_CONNECT_MILLISECONDS = 100
/** Idle time after which pooled connections are probed with TCP keep-alive, milliseconds. */
const PROBE_AFTER_MILLISECONDS = 1000
/** Share of the idle time announced by the target after which a pooled connection is no longer reused. */
const REUSABLE_IDLE_SHARE = 0.6
/** Idle time after which a pooled connection is no longer reused where the target announced none, milliseconds. */
const DEFAULT_REUSABLE_IDLE_MILLISECONDS = 3000
const IDLE_CONNECTIONS_PER_TARGET = 16
/** Informational answers (1xx) that may precede an answer. Node.js itself accepts any number of them. */
const MAXIMUM_INFORMATIONAL_ANSWERS = 16

const CONNECTION_REFUSED = 'ECONNREFUSED'
/** Status of an answer that comes from another target than the expected one. */
const MISDIRECTED_STATUS = 421

/**
 * Creates a client.
 * @param memory the memory for answers; by default, it is not bounded.
 */
export function createTargetClient (
  dialect: Dialect, states: TargetStates, memory: MemoryBudget = createMemoryBudget(() => Infinity)
): TargetClient {
  const pooledAgent = createPooledAgent()
  /** Requests whose connections are being established, with the incarnations of their targets. */
  const connecting = new Map<ClientRequest, string>()

  function send (call: TargetCall): Promise<SendOutcome> {
    return new Promise(resolve => {
      if (call.signal.aborted) return resolve({ kind: SendResult.NotSent, reason: 'aborted before the send', isRefused: false })
      // Node.js throws where a port is out of range.
      if (!isAddress(call.address)) return resolve({ kind: SendResult.NotSent, reason: `no address: ${call.address}`, isRefused: false })
      const pauseMilliseconds = states.pauseRemaining(call.incarnation)
      if (pauseMilliseconds > 0) {
        return resolve({ kind: SendResult.Withheld, reason: `the target wants nothing for ${Math.ceil(pauseMilliseconds)} ms` })
      }
      states.onSend(call.incarnation)
      const [host, port] = splitAddress(call.address)
      const headers = call.body.length > 0 || call.method !== 'GET'
        ? [...call.headers, 'Content-Length', String(call.body.length)]
        : call.headers
      let isConnected = false
      let connectTimer: NodeJS.Timeout | undefined
      let slowConnectTimer: NodeJS.Timeout | undefined
      let headScanner: HeadScanner | undefined
      const outgoing = request({
        host,
        port,
        method: call.method,
        path: call.path,
        headers: headers as unknown as Record<string, string>,
        setHost: false,
        agent: call.mayReuseConnection ? pooledAgent : false
      })
      const onAbort = (): void => { outgoing.destroy() }
      call.signal.addEventListener('abort', onAbort, { once: true })

      function fail (reason: string, isRefused = false): void {
        resolve(isConnected ? { kind: SendResult.Unknown, reason } : { kind: SendResult.NotSent, reason, isRefused })
      }

      function stopConnecting (): void {
        connecting.delete(outgoing)
        clearTimeout(connectTimer)
        clearTimeout(slowConnectTimer)
      }

      outgoing.on('socket', socket => {
        paceReading(socket)
        headScanner = scanHead(socket)
        if (!socket.connecting) {
          isConnected = true
          return
        }
        socket.setNoDelay(true)
        connecting.set(outgoing, call.incarnation)
        slowConnectTimer = setTimeout(() => states.onSlowConnect(call.incarnation), SLOW_CONNECT_MILLISECONDS)
        connectTimer = setTimeout(() => outgoing.destroy(new Error('connect timeout')), CONNECT_TIMEOUT_MILLISECONDS)
        socket.once('connect', () => {
          isConnected = true
          stopConnecting()
        })
      })
      let informationalAnswers = 0
      outgoing.on('information', () => {
        informationalAnswers += 1
        if (informationalAnswers > MAXIMUM_INFORMATIONAL_ANSWERS) outgoing.destroy(new Error('too many informational answers'))
      })
      let answer: IncomingMessage | undefined
      let isReset = false
      outgoing.on('response', response => {
        answer = response
        const invalidity = headScanner?.isMalformed() === true
          ? 'a line does not end with CR LF'
          : findInvalidAnswerHead(response.statusCode ?? 0, response.rawHeaders)
        headScanner?.stop()
        if (invalidity !== undefined) {
          outgoing.destroy()
          return fail(`the head of the answer is malformed: ${invalidity}`)
        }
        if (!hasLength(response)) probeAtEnd(response.socket, () => { isReset = true })
        const terms = dialect.readAnswer(response.headers)
        const isOmitted = call.mayOmitId === true && terms.requestId === undefined
        if (terms.requestId !== call.requestId && !isOmitted) {
          outgoing.destroy()
          return fail(`the answer names another request: ${terms.requestId ?? 'none'}`)
        }
        if (response.statusCode !== MISDIRECTED_STATUS) states.onAnswer(call.incarnation, response.statusCode ?? 0, terms)
        setIdleLimit(outgoing, terms)
        resolve({
          kind: SendResult.Answered,
          response,
          terms,
          isEndConfirmed: async () => await isEndConfirmed(response, () => isReset),
          openHolding: onEvicted => memory.open(onEvicted, call.incarnation)
        })
      })
      outgoing.on('error', error => {
        // Node.js reports a reset as the regular end of a body without a length: the body must not count as complete.
        isReset = true
        // Bytes that follow a complete answer belong to no request, and take nothing from the answer.
        if (answer !== undefined && !(answer.complete && hasLength(answer))) answer.destroy(error)
        fail(error.message, (error as NodeJS.ErrnoException).code === CONNECTION_REFUSED)
      })
      outgoing.on('close', () => {
        stopConnecting()
        headScanner?.stop()
        call.signal.removeEventListener('abort', onAbort)
        fail('closed without an answer')
      })
      outgoing.end(call.body)
    })
  }

  return {
    send,
    abandonConnects (isAffected) {
      for (const [outgoing, incarnation] of connecting) if (isAffected(incarnation)) outgoing.destroy(new Error('the target is out of reach'))
    },
    close: () => pooledAgent.destroy()
  }
}

/** @returns whether an answer declares where its body ends; otherwise the body ends with the connection. */
export function hasLength (response: IncomingMessage): boolean {
  return response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined
}

/**
 * Writes to a connection once the target has ended a body without a length. Where a reset came together with the last bytes, Node.js
 * reports only an end, but the write then fails. A target that closed the connection regularly ignores an empty line.
 */
function probeAtEnd (socket: Socket, onReset: () => void): void {
  socket.allowHalfOpen = true
  socket.prependOnceListener('end', () => {
    socket.write('\r\n', error => { if (error != null) onReset() })
  })
}

/** Time to wait for the result of the probe, milliseconds: a failed write is reported within a few turns of the event loop. */
const PROBE_WAIT_MILLISECONDS = 5

async function isEndConfirmed (response: IncomingMessage, isReset: () => boolean): Promise<boolean> {
  if (hasLength(response)) return true
  await new Promise(resolve => { setTimeout(resolve, PROBE_WAIT_MILLISECONDS) })
  return !isReset()
}

interface PooledSocket extends Duplex {
  idleTimer?: NodeJS.Timeout
  /** Milliseconds. */
  idleLimit?: number
}

function setIdleLimit (outgoing: ClientRequest, terms: AnswerTerms): void {
  const socket = outgoing.socket as PooledSocket | null
  if (socket === null) return
  socket.idleLimit = terms.idleMilliseconds === undefined
    ? DEFAULT_REUSABLE_IDLE_MILLISECONDS
    : terms.idleMilliseconds * REUSABLE_IDLE_SHARE
}

/** Creates an agent that destroys an idle connection when a byte arrives on it, because that byte belongs to no request. */
function createPooledAgent (): Agent {
  const agent = new Agent({
    keepAlive: true, keepAliveMsecs: PROBE_AFTER_MILLISECONDS, maxFreeSockets: IDLE_CONNECTIONS_PER_TARGET, scheduling: 'lifo'
  })
  const keepSocketAlive = agent.keepSocketAlive.bind(agent) as (socket: Duplex) => boolean | void
  const reuseSocket = agent.reuseSocket.bind(agent)
  const destroyOnData = function (this: Duplex): void { this.destroy() }
  agent.keepSocketAlive = (socket: PooledSocket) => {
    if (socket.readableLength > 0) return false as unknown as void
    socket.on('data', destroyOnData)
    socket.idleTimer = setTimeout(() => socket.destroy(), socket.idleLimit ?? DEFAULT_REUSABLE_IDLE_MILLISECONDS).unref()
    return keepSocketAlive(socket) as void
  }
  agent.reuseSocket = (socket: PooledSocket, outgoing) => {
    socket.removeListener('data', destroyOnData)
    clearTimeout(socket.idleTimer)
    reuseSocket(socket, outgoing)
  }
  return agent
}
