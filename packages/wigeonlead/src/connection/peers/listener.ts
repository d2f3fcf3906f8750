/**
 * The answering side between entry VMs: checks who asks before anything is parsed, and signs the answer.
 */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import { readBody } from '@wigeonlead/protocol'
import { bodyHeaders, packBody, unpackBody, wireBody } from './body.js'
import { SIGNATURE_HEADER, type PeerLimits, type PeerTlsFiles, type TrafficCounter } from './shared.js'
import { SignatureCheck, type SignedRequest, type Signer } from './signature.js'

/** Answers one authenticated body. */
export type PeerAnswerer = (body: string, peer: string) => Promise<string>

/** What the listener needs. */
export interface PeerListenerParts {
  signer: Signer
  limits: PeerLimits
  traffic: TrafficCounter
  tls?: PeerTlsFiles
  answer: PeerAnswerer
  /** Called with refused callers. */
  onRefused: (peer: string, reason: string) => void
}

interface Reply {
  status: number
  body: string
  request?: SignedRequest
}

const HEADERS_TIMEOUT_MILLISECONDS = 5000
const REQUEST_TIMEOUT_MILLISECONDS = 10_000
const KEEP_ALIVE_MILLISECONDS = 60_000
const REPORT_INTERVAL_MILLISECONDS = 1000
const MAXIMUM_REPORTED = 256

/** Makes the listener, not yet listening. */
export function createPeerListener (parts: PeerListenerParts): Server {
  const { signer, limits, traffic, tls } = parts
  const timeouts = {
    headersTimeout: HEADERS_TIMEOUT_MILLISECONDS, requestTimeout: REQUEST_TIMEOUT_MILLISECONDS, keepAliveTimeout: KEEP_ALIVE_MILLISECONDS
  }
  const reportedAt = new Map<string, number>()
  let served = 0

  /** One report a second for each peer, so that a flood of refused calls doesn't flood the logs. */
  function report (peer: string, reason: string): void {
    const now = performance.now()
    if (now - (reportedAt.get(peer) ?? -Infinity) < REPORT_INTERVAL_MILLISECONDS) return
    if (reportedAt.size >= MAXIMUM_REPORTED) reportedAt.clear()
    reportedAt.set(peer, now)
    parts.onRefused(peer, reason)
  }

  async function reply (incoming: IncomingMessage): Promise<Reply> {
    const peer = incoming.socket.remoteAddress ?? 'unknown'
    const content = await readBody(incoming, limits.messageBytes)
    if (content === undefined) throw new Error('the message is too large')
    const body = wireBody(content, incoming.headers)
    const header = incoming.headers[SIGNATURE_HEADER]
    const { check, request } = signer.checkRequest(typeof header === 'string' ? header : undefined, body.bytes)
    if (check === SignatureCheck.OffTime) return { status: 409, body: JSON.stringify({ nowMilliseconds: Date.now() }), request }
    if (check !== SignatureCheck.Valid) {
      report(peer, check)
      return { status: 401, body: '{}' }
    }
    if (served >= limits.servedCalls) return { status: 503, body: '{}', request }
    served += 1
    try {
      return { status: 200, body: await parts.answer(unpackBody(body, limits.messageBytes), peer), request }
    } finally {
      served -= 1
    }
  }

  function write (response: ServerResponse, { status, body, request }: Reply): void {
    const wire = packBody(body)
    const signature = request === undefined ? {} : { [SIGNATURE_HEADER]: signer.signAnswer(request, status, wire.bytes) }
    const { socket } = response.req
    response.writeHead(status, { ...bodyHeaders(wire), ...signature }).end(wire.bytes)
    traffic.observe(socket)
  }

  const listener: RequestListener = (incoming, response) => {
    reply(incoming).then(given => write(response, given), () => response.destroy())
  }
  if (tls === undefined) return createServer(timeouts, listener)
  const server = createTlsServer({
    ...timeouts, cert: tls.certificate, key: tls.key, ca: tls.authority, requestCert: true, rejectUnauthorized: true
  }, listener)
  server.on('tlsClientError', (error, socket) => report(socket.remoteAddress ?? 'unknown', error.message))
  return server
}
