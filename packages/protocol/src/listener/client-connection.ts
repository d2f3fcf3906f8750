/**
 * One connection of a client: gives the parser what arrives, a few requests at a time, and keeps account of it.
 */
import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { ClientLimits } from './connection-limits.js'
import { nextSliceLength } from './request-slices.js'

/** Why a client was refused, or its connection closed. */
export enum ClientFault {
  HeadTooLarge = 'head-too-large',
  BodyTooLarge = 'body-too-large',
  Malformed = 'malformed'
}

/** A connection of a client. */
export interface ClientConnection {
  /** Counts a request whose head has arrived. */
  begin: (incoming: IncomingMessage, response: ServerResponse) => void
  /** Answers where no request has been parsed, and closes the connection. */
  refuseHead: (status: number) => void
}

/** Requests of one connection that are parsed before the first of them is answered. */
const REQUESTS_AT_A_TIME = 4

/**
 * Takes over a connection that the HTTP server has just accepted.
 * @param count called with each fault of the client.
 */
export function createClientConnection (
  socket: Socket, limits: () => ClientLimits, count: (fault: ClientFault) => void
): ClientConnection {
  const parse = socket.listeners('data') as Array<(bytes: Buffer) => void>
  let unparsed: Buffer[] = []
  let isParsing = false
  let isParsingLater = false
  let isPaused = false
  let openRequests = 0
  let latest: IncomingMessage | undefined
  /** Bytes of the present body that are known to come, from its declared length. */
  let declaredBytes = 0
  let headBytes = 0
  let bodyBytes = 0
  socket.removeAllListeners('data')
  socket.on('data', receive)
  socket.on('close', () => { unparsed = [] })

  function receive (bytes: Buffer): void {
    unparsed.push(bytes)
    parseOn()
  }

  /** Parses what has arrived, up to the requests that are handled at a time. */
  function parseOn (): void {
    if (isParsing) return
    isParsing = true
    while (mayParse()) {
      const bytes = unparsed[0]!
      const length = nextSliceLength(bytes, declaredBytes)
      const isWhole = length === bytes.length
      if (isWhole) unparsed.shift()
      else unparsed[0] = bytes.subarray(length)
      parseSlice(isWhole ? bytes : bytes.subarray(0, length))
    }
    isParsing = false
    if (unparsed.length > 0) wait()
    else if (isPaused) resume()
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
    return unparsed.length > 0 && !socket.destroyed && (openRequests < REQUESTS_AT_A_TIME || isReceivingBody())
  }

  /** Reads no more until a request has been answered. */
  function wait (): void {
    isPaused = true
    socket.pause()
  }

  function resume (): void {
    isPaused = false
    socket.resume()
  }

  function isReceivingBody (): boolean {
    return latest !== undefined && !latest.complete
  }

  function parseSlice (slice: Buffer): void {
    const isAccepted = isReceivingBody() ? acceptBody(slice.length) : acceptHead(slice.length)
    if (!isAccepted) return
    for (const listener of parse) listener.call(socket, slice)
  }

  function acceptBody (length: number): boolean {
    declaredBytes = Math.max(0, declaredBytes - length)
    bodyBytes += length
    if (bodyBytes <= (limits().unreadBodyBytes ?? Infinity)) return true
    count(ClientFault.BodyTooLarge)
    socket.destroy()
    return false
  }

  function acceptHead (length: number): boolean {
    headBytes += length
    if (headBytes <= limits().headBytes) return true
    count(ClientFault.HeadTooLarge)
    refuseHead(431)
    return false
  }

  function begin (incoming: IncomingMessage, response: ServerResponse): void {
    openRequests += 1
    latest = incoming
    headBytes = 0
    bodyBytes = 0
    declaredBytes = Number(incoming.headers['content-length'] ?? 0)
    response.on('close', () => {
      openRequests -= 1
      parseLater()
    })
  }

  function refuseHead (status: number): void {
    // The answers to earlier requests come first, and nothing must be written between them.
    if (!socket.writable || openRequests > 0) {
      socket.destroy()
      return
    }
    socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
    socket.destroySoon()
  }

  return { begin, refuseHead }
}
