/**
 * The HTTP listener for callers: buffers complete requests and passes each to a handler together with its response.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as SocketServer, type Socket } from 'node:net'
import { setImmediate as nextTurn } from 'node:timers/promises'
import {
  BODY_FAULT_STATUSES, BodyResult, GUARDED_SERVER_OPTIONS, createClientGuard, findInvalidHeader, type ClientGuard, type ClientLimits,
  type ReceivedBody
} from '@wigeonlead/protocol'
import type { CallerLimits } from '../version/configuration.js'
import { presentInstant, type Instant } from '../process/instant.js'
import { watchTurns } from './late-turns.js'

/** One request of a caller, and its response. */
export interface Exchange {
  method: string
  /** Path and query, byte for byte as the caller sent them. */
  path: string
  host: string
  headers: IncomingMessage['headers']
  rawHeaders: string[]
  body: Buffer
  arrivedAt: Instant
  /** Whether a peer handed the request over, because it is cut off from the targets. */
  isHandedOver: boolean
  /** Aborts when the caller's connection closes before its answer has ended, or when the listener ends the request itself. */
  callerLeft: AbortSignal
  response: ServerResponse
  /** Takes memory for the answer, bytes. @returns whether it may be taken; without the function, all may be. */
  holdAnswer?: (bytes: number) => boolean
  /** Whether a target may have run the request; set by the handler, and false before. */
  mayHaveRun?: () => boolean
}

/** Handles one request and ends its response. */
export type ExchangeHandler = (exchange: Exchange) => Promise<void>

/** The listener and its open connections. */
export interface CallerListener {
  server: Server
  /** Applies the limits of another version of the configuration. */
  setLimits: (limits: CallerLimits) => void
  /** Makes each later answer ask its caller to close the connection. */
  announceClose: () => void
  /**
   * Refuses each request that is not complete by now, which may still arrive over a keep-alive connection, as not run. One whose head has
   * arrived is refused once its body has, because a connection that is closed earlier can lose the refusal.
   */
  refuseNew: () => void
  /** Ends all open requests: as not run where that is certain, otherwise as failed. An answer that has begun is cut off. */
  endOpen: () => EndedRequests
  /** @returns the number of requests whose answers have not ended. */
  inFlightRequests: () => number
  /** Accepts no more connections; the open ones stay. */
  stopListening: () => void
  /** Closes the connections on which no byte of a request has arrived since the last answer was written. */
  closeIdle: () => void
}

/** Number of open requests that a listener has ended, by what their callers got. */
export interface EndedRequests {
  refused: number
  failed: number
  cutOff: number
}

/** A request whose answer has not ended. */
interface OpenRequest {
  response: ServerResponse
  callerLeft: AbortController
  /** Absent until the whole request has arrived. */
  exchange?: Exchange
}

/** What a connection of a caller is used for. */
interface ConnectionUse {
  /** Requests without a whole answer; a caller may send several without waiting. */
  openRequests: number
  /** Bytes that had been read from it when its latest answer was written. */
  bytesRead: number
}

/** Node.js rejects a request with a longer head, so a limit in the configuration takes effect only if it is lower. */
const HEAD_BYTES_LIMIT = 65_536
/** How much longer an idle connection stays open than callers may reuse it, milliseconds: otherwise its close could cross a new request. */
const IDLE_SLACK_MILLISECONDS = 1000
/** Retry delay sent by a stopping vm, seconds: another vm can serve the caller at once. */
const STOPPING_RETRY_SECONDS = 0.05
/** What a head has beside the bytes that count for its limit, bytes: the method, the version and separators. */
const HEAD_SLACK_BYTES = 4096
const DEFAULT_CONNECTIONS = 2000
const DEFAULT_LIMITS: CallerLimits = {
  headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMilliseconds: 3000, idleTimeoutMilliseconds: 15_000
}

/** Options of a listener. */
export interface CallerListenerOptions {
  /** Whether its callers are peers that hand requests over; false by default. */
  isHandedOver?: boolean
  /** The guard of the process; by default, one of this listener. */
  guard?: ClientGuard
  /** Connections that stay open at a time; 2,000 by default. */
  connections?: number
}

/**
 * Creates the listener; it does not listen yet.
 * @param onFault called with errors that the handler throws.
 */
export function createCallerListener (
  handle: ExchangeHandler, onFault: (error: unknown) => void,
  { isHandedOver = false, guard = createClientGuard(), connections: maximumConnections = DEFAULT_CONNECTIONS }: CallerListenerOptions = {}
): CallerListener {
  let limits = DEFAULT_LIMITS
  let isClosing = false
  let isRefusing = false
  const openRequests = new Set<OpenRequest>()
  const connections = new Map<Socket, ConnectionUse>()
  const turns = watchTurns()
  const server = createServer({ ...GUARDED_SERVER_OPTIONS, maxHeaderSize: HEAD_BYTES_LIMIT, noDelay: true })
  guard.protect(server, clientLimits, (incoming, response) => {
    const { socket } = incoming
    const open: OpenRequest = { response, callerLeft: new AbortController() }
    openRequests.add(open)
    const use = connections.get(socket)
    if (use !== undefined) use.openRequests += 1
    response.on('close', () => {
      openRequests.delete(open)
      if (use !== undefined) {
        use.openRequests -= 1
        use.bytesRead = socket.bytesRead
      }
      if (!response.writableFinished) open.callerLeft.abort()
    })
    if (isClosing) response.setHeader('Connection', 'close')
    void serve(incoming, open).catch(error => {
      onFault(error)
      response.destroy()
    })
  })
  server.on('close', turns.close)
  server.on('connection', (socket: Socket) => {
    connections.set(socket, { openRequests: 0, bytesRead: 0 })
    socket.on('close', () => { connections.delete(socket) })
  })
  setLimits(DEFAULT_LIMITS)

  async function serve (incoming: IncomingMessage, open: OpenRequest): Promise<void> {
    const { response, callerLeft } = open
    const refuse = (status: number): void => {
      openRequests.delete(open)
      guard.refuse(incoming, response, status)
    }
    if (isRefusing) return endWithStatus(response, 503, STOPPING_RETRY_SECONDS)
    if (countHeadBytes(incoming) > limits.headerBytes) return refuse(431)
    if (findInvalidHeader(incoming.rawHeaders) !== undefined) return refuse(400)
    let received: ReceivedBody
    try {
      received = await guard.receive(incoming, limits.bodyBytes)
    } catch {
      // The caller aborted its request: no one is left to answer.
      response.destroy()
      return
    }
    if (response.writableEnded) return
    if (received.result !== BodyResult.Complete) return refuse(BODY_FAULT_STATUSES[received.result])
    if (isRefusing) return endWithStatus(response, 503, STOPPING_RETRY_SECONDS)
    const arrivedAt = presentInstant()
    if (turns.wasLate() && await hasLeft(incoming)) {
      response.destroy()
      return
    }
    open.exchange = {
      method: incoming.method ?? 'GET',
      path: incoming.url ?? '/',
      host: incoming.headers.host ?? '',
      headers: incoming.headers,
      rawHeaders: incoming.rawHeaders,
      body: received.body,
      arrivedAt,
      isHandedOver,
      callerLeft: callerLeft.signal,
      response,
      holdAnswer: bytes => guard.hold(incoming, bytes)
    }
    await handle(open.exchange)
  }

  function endOpen (): EndedRequests {
    const ended: EndedRequests = { refused: 0, failed: 0, cutOff: 0 }
    for (const { response, callerLeft, exchange } of openRequests) {
      if (response.writableEnded) continue
      const mayHaveRun = exchange?.mayHaveRun?.() ?? false
      callerLeft.abort()
      if (response.headersSent) {
        ended.cutOff += 1
        response.destroy()
      } else if (mayHaveRun) {
        ended.failed += 1
        endWithStatus(response, 502)
      } else {
        ended.refused += 1
        endWithStatus(response, 503, STOPPING_RETRY_SECONDS)
      }
    }
    return ended
  }

  function setLimits (next: CallerLimits): void {
    limits = next
    server.keepAliveTimeout = next.idleTimeoutMilliseconds + IDLE_SLACK_MILLISECONDS
  }

  function clientLimits (): ClientLimits {
    return {
      headBytes: limits.headerBytes + HEAD_SLACK_BYTES,
      headTimeoutMilliseconds: limits.headerTimeoutMilliseconds,
      idleTimeoutMilliseconds: limits.idleTimeoutMilliseconds,
      connections: maximumConnections
    }
  }

  return {
    server,
    setLimits,
    announceClose: () => { isClosing = true },
    refuseNew: () => { isRefusing = true },
    endOpen,
    inFlightRequests: () => openRequests.size,
    // Both `close` and `closeIdleConnections` of an HTTP server destroy connections whose answers have ended and are not written yet.
    stopListening: () => { SocketServer.prototype.close.call(server) },
    closeIdle () {
      for (const [socket, { openRequests, bytesRead }] of connections) {
        if (openRequests === 0 && socket.bytesRead === bytesRead) socket.destroySoon()
      }
    }
  }
}

/** Whether the caller of a request that was just read has closed its connection. The end of a connection is read a turn after its bytes. */
async function hasLeft ({ socket }: IncomingMessage): Promise<boolean> {
  await nextTurn()
  await nextTurn()
  return socket.destroyed || socket.readableEnded
}

function endWithStatus (response: ServerResponse, status: number, retryAfterSeconds?: number): void {
  const retryAfter = retryAfterSeconds === undefined ? {} : { 'Retry-After': retryAfterSeconds }
  response.writeHead(status, { Connection: 'close', 'Content-Length': 0, ...retryAfter })
  response.end()
}

function countHeadBytes (incoming: IncomingMessage): number {
  let bytes = (incoming.url ?? '').length
  for (const text of incoming.rawHeaders) bytes += text.length + 2
  return bytes
}
