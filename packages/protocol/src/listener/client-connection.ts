/**
 * One connection of a client: gives the parser what arrives, a few requests at a time, and keeps account of it.
 */
import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { ClientPhase, type ClientLimits, type ClientState } from './connection-limits.js'
import { HoldingPhase, type MemoryBudget } from './memory-budget.js'
import type { Reader, ReadingTurns } from './reading-turns.js'
import { BodyResult, type BodyFault } from './receive-body.js'
import { nextSliceLength } from './request-slices.js'

/** Why a client was refused, or its connection closed. */
export enum ClientFault {
  HeadTooLarge = 'head-too-large',
  BodyTooLarge = 'body-too-large',
  Malformed = 'malformed',
  TooSlow = 'too-slow',
  /** The process holds too much for its clients. */
  NoMemory = 'no-memory',
  /** The process has too many connections of clients. */
  NoConnection = 'no-connection',
  /** The client does not read its answer. */
  Unread = 'unread'
}

/** A connection of a client. */
export interface ClientConnection extends ClientState {
  /** Counts a request whose head has arrived. */
  begin: (incoming: IncomingMessage, response: ServerResponse) => void
  /** Takes memory until the answer to a request has been read. @returns whether it may be taken. */
  hold: (incoming: IncomingMessage, bytes: number) => boolean
  /** Sets how the receipt of the present body can be ended. */
  setReceipt: (end: (fault: BodyFault) => void) => void
  /** Ends a client that has taken too long. */
  endOverdue: () => void
  /** Closes the connection if its client reads nothing of an answer for the idle time. */
  watchReading: () => void
  /** Closes the connection for another one. */
  giveWay: () => void
  /** Answers where no request has been parsed. @param isLingering whether the client gets time to read the answer. */
  refuseHead: (status: number, isLingering: boolean) => void
  /** Reads and drops what the client still sends for a while, then closes the connection. */
  drop: () => void
}

/** Requests of one connection that are parsed before the first of them is answered. */
const REQUESTS_AT_A_TIME = 4
/** How much of a refused request is dropped, bytes, and for how long, milliseconds. */
const DROPPED_BYTES = 8_388_608
const DROPPING_MILLISECONDS = 2000
/** Retry delay of a request that was refused for want of room, seconds. */
export const RETRY_SECONDS = 1

/**
 * Takes over a connection that the HTTP server has just accepted.
 * @param turns the turns of all connections of the process.
 * @param count called with each fault of the client.
 */
export function createClientConnection (
  socket: Socket, limits: () => ClientLimits, budget: MemoryBudget, turns: ReadingTurns, count: (fault: ClientFault) => void
): ClientConnection {
  const parse = socket.listeners('data') as Array<(bytes: Buffer) => void>
  let unparsed: Buffer[] = []
  let unparsedHeld = 0
  let isParsing = false
  let isParsingLater = false
  /** Whether the connection parses on in a later turn. */
  let isTurnOver = false
  let isPaused = false
  let isDropping = false
  let droppable = DROPPED_BYTES
  /** Bytes that are held for each request without a whole answer. */
  const openRequests = new Map<IncomingMessage, number>()
  let latest: { incoming: IncomingMessage, response: ServerResponse } | undefined
  let endReceipt: ((fault: BodyFault) => void) | undefined
  /** Bytes of the present body that are known to come, from its declared length. */
  let declaredBytes = 0
  let headBytes = 0
  let bodyBytes = 0
  const holding = budget.open(evict)
  const reader: Reader = {
    readOn () {
      isTurnOver = false
      parseOn()
    }
  }
  const connection: ClientConnection = {
    phase: ClientPhase.Idle,
    since: performance.now(),
    begin,
    hold,
    setReceipt: end => { endReceipt = end },
    endOverdue,
    watchReading,
    giveWay,
    refuseHead,
    drop
  }
  socket.removeAllListeners('data')
  socket.on('data', receive)
  const resumeSocket = socket.resume.bind(socket)
  // Node.js resumes the connection whenever the reader of a body wants more, also while what has arrived waits to be parsed.
  socket.resume = () => isPaused ? socket : resumeSocket()
  socket.on('close', () => {
    unparsed = []
    holding.clear()
  })

  function receive (bytes: Buffer): void {
    if (!isDropping) {
      unparsed.push(bytes)
      return parseOn()
    }
    droppable -= bytes.length
    if (droppable < 0) socket.destroy()
  }

  /** Parses what has arrived, up to the requests that are handled at a time. */
  function parseOn (): void {
    if (isParsing) return
    isParsing = true
    while (mayParse() && !isTurnOver) {
      const bytes = unparsed[0]!
      const length = nextSliceLength(bytes, declaredBytes)
      const isWhole = length === bytes.length
      if (isWhole) unparsed.shift()
      else unparsed[0] = bytes.subarray(length)
      parseSlice(isWhole ? bytes : bytes.subarray(0, length))
      // A body of unknown length comes in chunks, of which a slice may hold many.
      isTurnOver = isReceivingBody() && declaredBytes === 0 && !turns.mayReadOn(reader)
    }
    isParsing = false
    if (unparsed.length > 0) return wait()
    holdUnparsed(0)
    if (isPaused) resume()
  }

  /** Parses on after the other connections have had their turn. */
  function parseLater (): void {
    if (unparsed.length === 0 || isParsingLater) return
    isParsingLater = true
    setImmediate(() => {
      isParsingLater = false
      parseOn()
    })
  }

  function mayParse (): boolean {
    return unparsed.length > 0 && !socket.destroyed && (openRequests.size < REQUESTS_AT_A_TIME || isReceivingBody())
  }

  /** Reads no more until a request has been answered. */
  function wait (): void {
    isPaused = true
    socket.pause()
    if (holdUnparsed(unparsed.reduce((sum, { length }) => sum + length, 0))) return
    count(ClientFault.NoMemory)
    if (isReceivingBody()) endUnfinished(BodyResult.NoMemory, 503)
    else socket.destroy()
  }

  /** @returns whether the memory for what has not been parsed may be taken. */
  function holdUnparsed (bytes: number): boolean {
    if (bytes > unparsedHeld && !holding.add(bytes - unparsedHeld)) return false
    holding.remove(Math.max(0, unparsedHeld - bytes))
    unparsedHeld = bytes
    return true
  }

  function resume (): void {
    isPaused = false
    socket.resume()
  }

  function isReceivingBody (): boolean {
    return latest !== undefined && !latest.incoming.complete
  }

  function parseSlice (slice: Buffer): void {
    const isAccepted = isReceivingBody() ? acceptBody(slice.length) : acceptHead(slice.length)
    if (!isAccepted) return
    for (const listener of parse) listener.call(socket, slice)
    if (connection.phase === ClientPhase.Body) followAnswer()
  }

  /** Notes that the whole request has arrived, or that its answer is ready. */
  function followAnswer (): void {
    if (latest === undefined || !latest.incoming.complete) return
    const isEnded = latest.response.writableEnded
    holding.enter(isEnded ? HoldingPhase.Sending : HoldingPhase.Handling)
    enter(isEnded ? ClientPhase.Unread : ClientPhase.Waiting)
  }

  function acceptBody (length: number): boolean {
    connection.since = performance.now()
    declaredBytes = Math.max(0, declaredBytes - length)
    bodyBytes += length
    if (bodyBytes <= (limits().unreadBodyBytes ?? Infinity)) return true
    count(ClientFault.BodyTooLarge)
    socket.destroy()
    return false
  }

  function acceptHead (length: number): boolean {
    // A request that is being handled outlasts the time limit of the head after it.
    if (openRequests.size === 0) {
      enter(ClientPhase.Head)
      holding.enter(HoldingPhase.Receiving)
    }
    headBytes += length
    const isTooLarge = headBytes > limits().headBytes
    if (!isTooLarge && holding.add(length)) return true
    count(isTooLarge ? ClientFault.HeadTooLarge : ClientFault.NoMemory)
    refuseHead(isTooLarge ? 431 : 503, true)
    return false
  }

  function enter (phase: ClientPhase): void {
    if (connection.phase === phase) return
    connection.phase = phase
    connection.since = performance.now()
  }

  function begin (incoming: IncomingMessage, response: ServerResponse): void {
    openRequests.set(incoming, headBytes)
    latest = { incoming, response }
    endReceipt = undefined
    headBytes = 0
    bodyBytes = 0
    declaredBytes = Number(incoming.headers['content-length'] ?? 0)
    enter(ClientPhase.Body)
    holding.enter(HoldingPhase.Receiving)
    response.on('prefinish', followAnswer)
    response.on('close', () => {
      holding.remove(openRequests.get(incoming) ?? 0)
      openRequests.delete(incoming)
      if (openRequests.size === 0) enter(ClientPhase.Idle)
      parseLater()
    })
  }

  function hold (incoming: IncomingMessage, bytes: number): boolean {
    const held = openRequests.get(incoming)
    if (held === undefined || !holding.add(bytes)) return false
    openRequests.set(incoming, held + bytes)
    return true
  }

  function evict (phase: HoldingPhase): void {
    unparsedHeld = 0
    count(phase === HoldingPhase.Sending ? ClientFault.Unread : ClientFault.NoMemory)
    if (phase === HoldingPhase.Sending) socket.destroy()
    else endUnfinished(BodyResult.NoMemory, 503)
  }

  function endOverdue (): void {
    if (isDropping) return
    if (connection.phase === ClientPhase.Idle) return socket.destroySoon()
    count(ClientFault.TooSlow)
    endUnfinished(BodyResult.TooSlow, 408)
  }

  /** Ends the request that is arriving, whether its head is complete or not. */
  function endUnfinished (fault: BodyFault, status: number): void {
    if (connection.phase !== ClientPhase.Body) return refuseHead(status, true)
    // A handler that does not receive the body has answered already.
    if (endReceipt === undefined) socket.destroy()
    else endReceipt(fault)
  }

  function watchReading (): void {
    const isEnded = latest?.response.writableEnded === true && !latest.response.writableFinished
    if (isEnded && (socket.timeout ?? 0) === 0) socket.setTimeout(limits().idleTimeoutMilliseconds)
  }

  function giveWay (): void {
    if (connection.phase === ClientPhase.Head) refuseHead(503, false)
    else socket.destroy()
  }

  function refuseHead (status: number, isLingering: boolean): void {
    // The answers to earlier requests come first, and nothing must be written between them.
    if (!socket.writable || openRequests.size > 0) {
      socket.destroy()
      return
    }
    const retryAfter = status === 503 ? `Retry-After: ${RETRY_SECONDS}\r\n` : ''
    socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nContent-Length: 0\r\nConnection: close\r\n${retryAfter}\r\n`)
    if (isLingering) {
      drop()
      socket.end()
    } else {
      socket.destroySoon()
    }
  }

  function drop (): void {
    if (isDropping) return
    isDropping = true
    unparsed = []
    holding.clear()
    socket.once('end', () => socket.destroySoon())
    setTimeout(() => socket.destroy(), DROPPING_MILLISECONDS).unref()
    // The server also pauses the connection, where a body is not read.
    resume()
  }

  return connection
}
