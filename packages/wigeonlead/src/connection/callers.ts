/**
 * The callers' listener: reads a request within its limits, passes it to the handler, and writes the answer.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import {
  BodyResult, GUARDED_SERVER_OPTIONS, ProblemType, createClientGuard, createProblem, type BodyFault, type ClientGuard, type Problem
} from '@wigeonlead/protocol'
import { problemResponse, type CallerHandler, type CallerResponse } from '../request/index.js'
import type { Settings } from '../process/settings.js'
import { flattenHeaders } from './headers.js'

const KEEP_ALIVE_MILLISECONDS = 60_000
const HEAD_SLACK_BYTES = 4096
/** Retry delay of a request that was refused for want of memory, seconds. */
const RETRY_SECONDS = 1
const TIMEOUT_CHECK_INTERVAL_MILLISECONDS = 500
/** Longest time in which a request makes no progress, or none begins, milliseconds. */
const IDLE_TIMEOUT_MILLISECONDS = 60_000

/**
 * Creates the callers' listener without opening its port.
 * @param guard the guard of the process; by default, one of this listener.
 */
export function createCallerListener (limits: Settings['callers'], handle: CallerHandler, guard = createClientGuard()): Server {
  const options = {
    ...GUARDED_SERVER_OPTIONS,
    maxHeaderSize: limits.maximumHeaderBytes,
    headersTimeout: limits.headerTimeoutMilliseconds,
    requestTimeout: limits.requestTimeoutMilliseconds,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MILLISECONDS,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    noDelay: true
  }
  const server = createServer(options)
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => refuseConnection(error, socket as Socket))
  const clientLimits = {
    // The parser refuses a head over the limit, with a problem document.
    headBytes: limits.maximumHeaderBytes + HEAD_SLACK_BYTES,
    headTimeoutMilliseconds: limits.headerTimeoutMilliseconds,
    idleTimeoutMilliseconds: IDLE_TIMEOUT_MILLISECONDS,
    connections: limits.maximumConnections
  }
  guard.protect(server, () => clientLimits, (request, response) => {
    serve(limits, handle, guard, request, response).catch(() => response.destroy())
  })
  return server
}

async function serve (
  limits: Settings['callers'], handle: CallerHandler, guard: ClientGuard, request: IncomingMessage, response: ServerResponse
): Promise<void> {
  const disconnect = new AbortController()
  response.on('close', () => {
    if (!response.writableFinished) disconnect.abort()
  })
  const received = await guard.receive(request, limits.maximumBodyBytes)
  if (received.result !== BodyResult.Complete) {
    const { status, headers, body } = problemResponse(BODY_PROBLEMS[received.result](limits))
    return guard.refuse(request, response, status, { headers, body: body as string })
  }
  const answer = await handle({
    method: request.method ?? 'GET',
    url: request.url ?? '/',
    headers: flattenHeaders(request.headers),
    body: received.body,
    signal: disconnect.signal
  })
  const wholeBytes = typeof answer.body === 'string' || answer.body instanceof Uint8Array ? answer.body.length : 0
  if (!guard.hold(request, wholeBytes)) throw new Error('no memory for the answer')
  await write(response, answer)
}

const BODY_PROBLEMS: Record<BodyFault, (limits: Settings['callers']) => Problem> = {
  [BodyResult.TooLarge]: limits => createProblem(ProblemType.BodyTooLarge, `the body is over ${limits.maximumBodyBytes} bytes`),
  [BodyResult.NoMemory]: () => createProblem(ProblemType.Overloaded, 'the requests in flight hold all the memory for requests', {
    retryAfterSeconds: RETRY_SECONDS
  }),
  [BodyResult.TooSlow]: () => createProblem(ProblemType.RequestTimeout, 'the body made no progress within the time limit')
}

async function write (response: ServerResponse, answer: CallerResponse): Promise<void> {
  response.writeHead(answer.status, answer.headers)
  if (typeof answer.body === 'string' || answer.body instanceof Uint8Array) {
    response.end(answer.body)
    return
  }
  for await (const chunk of answer.body) {
    if (response.destroyed) return
    if (!response.write(chunk)) await whenDrained(response)
  }
  response.end()
}

function whenDrained (response: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    const settle = (): void => {
      response.off('drain', settle)
      response.off('close', settle)
      resolve()
    }
    response.once('drain', settle)
    response.once('close', settle)
    if (response.destroyed) settle()
  })
}

const CONNECTION_PROBLEMS: Record<string, Problem> = {
  HPE_HEADER_OVERFLOW: createProblem(ProblemType.HeadersTooLarge, 'the header is over the limit'),
  ERR_HTTP_REQUEST_TIMEOUT: createProblem(ProblemType.RequestTimeout, 'the request did not arrive within the time limit')
}
const MALFORMED_PROBLEM = createProblem(ProblemType.MalformedRequest, 'not an HTTP/1.1 request')

function refuseConnection (error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const answer = problemResponse(CONNECTION_PROBLEMS[error.code ?? ''] ?? MALFORMED_PROBLEM)
  const body = answer.body as string
  const headers = { ...answer.headers, 'content-length': String(Buffer.byteLength(body)), connection: 'close' }
  const lines = Object.entries(headers).map(([key, value]) => `${key}: ${value}`)
  socket.end(`HTTP/1.1 ${answer.status} Refused\r\n${lines.join('\r\n')}\r\n\r\n${body}`)
}
