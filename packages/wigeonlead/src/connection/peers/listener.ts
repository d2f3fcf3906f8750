/**
 * Server side of calls between entry VMs: authenticates the caller before anything is parsed, and signs the answer.
 */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import { BodyResult, GUARDED_SERVER_OPTIONS, type ClientGuard, type ClientLimits } from '@wigeonlead/protocol'
import { bodyHeaders, encodeBody, decodeBody, receivedBody } from './body.js'
import { SIGNATURE_HEADER, type PeerLimits, type PeerTlsCredentials, type TrafficCounter } from './shared.js'
import { SignatureCheck, type SignedRequest, type Signer } from './signature.js'

/** Handles one authenticated request body and returns the body of the answer. */
export type PeerRequestHandler = (body: string, peer: string) => Promise<string>

/** Dependencies of the listener. */
export interface PeerListenerDependencies {
  signer: Signer
  limits: PeerLimits
  traffic: TrafficCounter
  tls?: PeerTlsCredentials
  guard: ClientGuard
  handleRequest: PeerRequestHandler
  /** Called with the address of a refused caller and the reason. */
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
const CLIENT_LIMITS: ClientLimits = {
  headBytes: 16_384,
  headTimeoutMilliseconds: HEADERS_TIMEOUT_MILLISECONDS,
  idleTimeoutMilliseconds: KEEP_ALIVE_MILLISECONDS,
  connections: 1500
}
const REPORT_INTERVAL_MILLISECONDS = 1000
const MAXIMUM_REPORTED_PEERS = 256

/** Creates the listener without opening its port. */
export function createPeerListener (dependencies: PeerListenerDependencies): Server {
  const { signer, limits, traffic, tls, guard } = dependencies
  const options = {
    ...GUARDED_SERVER_OPTIONS,
    headersTimeout: HEADERS_TIMEOUT_MILLISECONDS,
    requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS
  }
  const reportedAt = new Map<string, number>()
  let callsInFlight = 0

  /** Reports a refused caller, at most once a second for each peer, so that a flood of refused calls doesn't flood the logs. */
  function report (peer: string, reason: string): void {
    const now = performance.now()
    if (now - (reportedAt.get(peer) ?? -Infinity) < REPORT_INTERVAL_MILLISECONDS) return
    if (reportedAt.size >= MAXIMUM_REPORTED_PEERS) reportedAt.clear()
    reportedAt.set(peer, now)
    dependencies.onRefused(peer, reason)
  }

  async function reply (incoming: IncomingMessage): Promise<Reply> {
    const peer = incoming.socket.remoteAddress ?? 'unknown'
    const received = await guard.receive(incoming, limits.maximumMessageBytes)
    if (received.result !== BodyResult.Complete) throw new Error(`the message was not received: ${received.result}`)
    const body = receivedBody(received.body, incoming.headers)
    const header = incoming.headers[SIGNATURE_HEADER]
    const { check, request } = signer.checkRequest(typeof header === 'string' ? header : undefined, body.bytes)
    if (check === SignatureCheck.OffTime) return { status: 409, body: JSON.stringify({ nowMilliseconds: Date.now() }), request }
    if (check !== SignatureCheck.Valid) {
      report(peer, check)
      return { status: 401, body: '{}' }
    }
    if (callsInFlight >= limits.maximumIncomingCalls) return { status: 503, body: '{}', request }
    callsInFlight += 1
    try {
      return { status: 200, body: await dependencies.handleRequest(decodeBody(body, limits.maximumMessageBytes), peer), request }
    } finally {
      callsInFlight -= 1
    }
  }

  function write (response: ServerResponse, { status, body, request }: Reply): void {
    const wire = encodeBody(body)
    const signature = request === undefined ? {} : { [SIGNATURE_HEADER]: signer.signAnswer(request, status, wire.bytes) }
    const { socket } = response.req
    response.writeHead(status, { ...bodyHeaders(wire), ...signature }).end(wire.bytes)
    traffic.countNewBytes(socket)
  }

  const listener: RequestListener = (incoming, response) => {
    reply(incoming).then(answer => write(response, answer), () => response.destroy())
  }
  if (tls === undefined) return protect(createServer(options))
  const server = createTlsServer({
    ...options, cert: tls.certificate, key: tls.key, ca: tls.authority, requestCert: true, rejectUnauthorized: true
  })
  server.on('tlsClientError', (error, socket) => report(socket.remoteAddress ?? 'unknown', error.message))
  return protect(server)

  function protect (server: Server): Server {
    guard.protect(server, () => CLIENT_LIMITS, listener)
    return server
  }
}
