/**
 * Protects a process from clients that do not behave, on all its HTTP listeners: carries out what the limits and the memory budget decide.
 */
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { Server as TlsServer } from 'node:tls'
import { ClientFault, RETRY_SECONDS, createClientConnection, type ClientConnection } from './client-connection.js'
import { chooseConnectionToClose, isOverdue, type ClientLimits } from './connection-limits.js'
import { createMemoryBudget } from './memory-budget.js'
import { createReadingTurns } from './reading-turns.js'
import { BodyResult, receiveBody, type BodyFault, type ReceivedBody } from './receive-body.js'

/** Options of the guard of a process. */
export interface ClientGuardOptions {
  /**
   * Bytes that the process holds for all its clients: unfinished requests, requests that are handled, and unread answers; 64 MiB by
   * default.
   */
  heldBytes?: () => number
  /** Called about once a second with the number of refused clients by fault, if there were any. */
  onRefused?: (refused: ReadonlyMap<ClientFault, number>) => void
}

/** The headers and the body of a refusal. */
export interface RefusalContent {
  headers?: Record<string, string | number>
  body?: string
}

/** The guard of a process. */
export interface ClientGuard {
  /** Handles the requests of a listener within limits. Called before it listens. */
  protect: (server: Server, limits: () => ClientLimits, handle: RequestListener) => void
  /**
   * Receives the body of a request.
   * @throws the error that broke the connection before the whole body arrived.
   */
  receive: (incoming: IncomingMessage, maximumBytes: number) => Promise<ReceivedBody>
  /** Takes memory for the answer to a request, bytes. @returns whether it may be taken. */
  hold: (incoming: IncomingMessage, bytes: number) => boolean
  /**
   * Answers a request whose body may not have arrived, and closes the connection. What still arrives is dropped for a while, because a
   * connection that is closed with unread bytes is reset, which can overtake the answer.
   */
  refuse: (incoming: IncomingMessage, response: ServerResponse, status: number, content?: RefusalContent) => void
  heldBytes: () => number
  connections: () => number
  /** Ends the checks of times. */
  close: () => void
}

/** Options of an HTTP server that leave the timeouts and the check of the host to the guard. */
export const GUARDED_SERVER_OPTIONS = { headersTimeout: 0, requestTimeout: 0, requireHostHeader: false } as const

const DEFAULT_HELD_BYTES = 67_108_864
/** What a parsed request takes beside its own bytes, bytes. */
const REQUEST_BYTES = 8192
const CHECK_MILLISECONDS = 1000

/** Statuses of the refusals of bodies that were not received. */
export const BODY_FAULT_STATUSES: Record<BodyFault, number> = {
  [BodyResult.TooLarge]: 413, [BodyResult.NoMemory]: 503, [BodyResult.TooSlow]: 408
}
/** Statuses by the code of the parser's error. */
const PARSER_STATUSES: Record<string, number> = { HPE_HEADER_OVERFLOW: 431, HPE_CHUNK_EXTENSIONS_OVERFLOW: 413 }

function retryHeaders (status: number): Record<string, number> {
  return status === 503 ? { 'Retry-After': RETRY_SECONDS } : {}
}

/** Creates the guard of a process. */
export function createClientGuard ({ heldBytes = () => DEFAULT_HELD_BYTES, onRefused = () => {} }: ClientGuardOptions = {}): ClientGuard {
  const budget = createMemoryBudget(heldBytes)
  const turns = createReadingTurns(begin => { setImmediate(begin) })
  const tables: Array<{ connections: Set<ClientConnection>, limits: () => ClientLimits }> = []
  const bySocket = new WeakMap<Socket, ClientConnection>()
  let refused = new Map<ClientFault, number>()
  const timer = setInterval(check, CHECK_MILLISECONDS).unref()

  function count (fault: ClientFault): void {
    refused.set(fault, (refused.get(fault) ?? 0) + 1)
  }

  function check (): void {
    const now = performance.now()
    for (const { connections, limits } of tables) {
      for (const connection of connections) {
        if (isOverdue(connection, limits(), now)) connection.endOverdue()
        else connection.watchReading()
      }
    }
    if (refused.size === 0) return
    onRefused(refused)
    refused = new Map()
  }

  function accept (socket: Socket, connections: Set<ClientConnection>, limits: () => ClientLimits): void {
    const connection = createClientConnection(socket, limits, budget, turns, count)
    if (connections.size >= limits().connections) {
      count(ClientFault.NoConnection)
      const closing = chooseConnectionToClose(connections)
      if (closing === undefined) return connection.refuseHead(503, false)
      connections.delete(closing)
      closing.giveWay()
    }
    connections.add(connection)
    bySocket.set(socket, connection)
    socket.on('close', () => { connections.delete(connection) })
  }

  function refuse (
    incoming: IncomingMessage, response: ServerResponse, status: number, { headers = retryHeaders(status), body = '' }: RefusalContent = {}
  ): void {
    if (response.headersSent || response.destroyed) {
      response.destroy()
      return
    }
    response.writeHead(status, { ...headers, 'Content-Length': Buffer.byteLength(body), Connection: 'close' })
    const connection = bySocket.get(incoming.socket)
    if (incoming.complete || connection === undefined) {
      response.end(body)
      return
    }
    // The end of the response would close the connection.
    if (body === '') response.flushHeaders()
    else response.write(body)
    connection.drop()
  }

  function onParserError (error: NodeJS.ErrnoException, socket: Socket, isAnswered: boolean): void {
    const connection = bySocket.get(socket)
    if (error.code === 'ECONNRESET' || connection === undefined) {
      socket.destroy()
      return
    }
    count(ClientFault.Malformed)
    if (isAnswered) connection.drop()
    else connection.refuseHead(PARSER_STATUSES[error.code ?? ''] ?? 400, true)
  }

  function hold (incoming: IncomingMessage, bytes: number): boolean {
    return bySocket.get(incoming.socket)?.hold(incoming, bytes) ?? true
  }

  return {
    protect (server, limits, handle) {
      const connections = new Set<ClientConnection>()
      tables.push({ connections, limits })
      const hasParserErrors = server.listenerCount('clientError') > 0
      server.on('clientError', (error, socket) => onParserError(error, socket as Socket, hasParserErrors))
      server.on(server instanceof TlsServer ? 'secureConnection' : 'connection', (socket: Socket) => accept(socket, connections, limits))
      const begin = (incoming: IncomingMessage, response: ServerResponse): boolean => {
        bySocket.get(incoming.socket)?.begin(incoming, response)
        if (hold(incoming, REQUEST_BYTES)) return true
        count(ClientFault.NoMemory)
        refuse(incoming, response, 503)
        return false
      }
      server.on('request', (incoming, response) => {
        if (!begin(incoming, response)) return
        const isHostMissing = incoming.headers.host === undefined && incoming.httpVersion === '1.1'
        if (isHostMissing) refuse(incoming, response, 400)
        else handle(incoming, response)
      })
      server.on('checkExpectation', (incoming, response) => {
        if (begin(incoming, response)) refuse(incoming, response, 417)
      })
    },
    async receive (incoming, maximumBytes) {
      const connection = bySocket.get(incoming.socket)
      return await receiveBody(incoming, maximumBytes, {
        hold: bytes => hold(incoming, bytes),
        onStart: end => connection?.setReceipt(end)
      })
    },
    hold,
    refuse,
    heldBytes: budget.heldBytes,
    connections: () => tables.reduce((sum, { connections }) => sum + connections.size, 0),
    close: () => clearInterval(timer)
  }
}
