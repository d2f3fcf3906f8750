/**
 * The callers' listener: reads a request within its limits, hands it on, and writes the answer.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { ProblemType, createProblem, type HeaderRecord } from '@wigeonlead/protocol'
import { problemResponse, type CallerHandler, type CallerResponse } from '../request/index.js'
import type { Settings } from '../process/settings.js'

/** Makes the callers' listener, not yet listening. */
export function createCallerListener (limits: Settings['callers'], handle: CallerHandler): Server {
  const options = {
    maxHeaderSize: limits.maximumHeaderBytes,
    headersTimeout: limits.headerTimeoutMilliseconds,
    requestTimeout: limits.requestTimeoutMilliseconds,
    keepAliveTimeout: 60_000,
    noDelay: true
  }
  return createServer(options, (request, response) => {
    serve(limits, handle, request, response).catch(() => response.destroy())
  })
}

async function serve (limits: Settings['callers'], handle: CallerHandler, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const hungUp = new AbortController()
  response.on('close', () => {
    if (!response.writableFinished) hungUp.abort()
  })
  const body = await readBody(request, limits.maximumBodyBytes)
  if (body === undefined) {
    response.setHeader('connection', 'close')
    await write(response, problemResponse(createProblem(ProblemType.BodyTooLarge, `the body is over ${limits.maximumBodyBytes} bytes`)))
    return
  }
  const answer = await handle({
    method: request.method ?? 'GET', url: request.url ?? '/', headers: flattenHeaders(request), body, signal: hungUp.signal
  })
  await write(response, answer)
}

async function write (response: ServerResponse, answer: CallerResponse): Promise<void> {
  response.writeHead(answer.status, answer.headers)
  if (typeof answer.body === 'string' || answer.body instanceof Uint8Array) {
    response.end(answer.body)
    return
  }
  for await (const piece of answer.body) {
    if (!response.write(piece) && !response.destroyed) {
      await new Promise<void>(resolve => {
        response.once('drain', resolve)
        response.once('close', resolve)
      })
    }
  }
  response.end()
}

async function readBody (request: IncomingMessage, maximumBytes: number): Promise<Uint8Array | undefined> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > maximumBytes) return undefined
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

function flattenHeaders (request: IncomingMessage): HeaderRecord {
  const flat: HeaderRecord = {}
  for (const [key, value] of Object.entries(request.headers)) {
    if (value !== undefined) flat[key] = Array.isArray(value) ? value.join(', ') : value
  }
  return flat
}
