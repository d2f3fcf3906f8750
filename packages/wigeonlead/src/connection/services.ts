/**
 * Adapter of the service port to HTTP: one request, one whole answer, and the proof of what was not sent.
 */
import { Agent, request, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import {
  FailureKind, ServiceResult, Step,
  type Failure, type HeaderRecord, type ServiceCall, type ServiceOutcome, type ServicePort, type TargetAddress
} from '@wigeonlead/protocol'

/** Makes a service port over HTTP. */
export function createHttpServices (): ServicePort {
  const agent = new Agent({ keepAlive: true, maxFreeSockets: 256 })
  return { call: (target, call, signal) => callService(agent, target, call, signal) }
}

async function callService (agent: Agent, target: TargetAddress, call: ServiceCall, signal: AbortSignal): Promise<ServiceOutcome> {
  const connection = { isConnected: false }
  try {
    const response = await send(agent, target, call, signal, connection)
    const body = await readBody(response, call.maximumResponseBytes)
    return { kind: ServiceResult.Answered, answer: { status: response.statusCode ?? 502, headers: flatten(response.headers), body } }
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause)
    const origin = { step: Step.Service, peer: target.target, detail, cause }
    if (!connection.isConnected) return { kind: ServiceResult.NotSent, failure: { ...origin, kind: FailureKind.Unreachable } }
    const failure: Failure = { ...origin, kind: signal.aborted ? FailureKind.Aborted : FailureKind.Broken }
    return { kind: ServiceResult.Ambiguous, failure }
  }
}

function send (
  agent: Agent, target: TargetAddress, call: ServiceCall, signal: AbortSignal, connection: { isConnected: boolean }
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const outgoing = request(`http://${target.address}${call.path}`, {
      method: call.method,
      agent: call.isFreshConnection ? false : agent,
      signal,
      headers: { ...call.headers, 'content-length': call.body.byteLength }
    })
    outgoing.on('socket', socket => {
      if (!socket.connecting) connection.isConnected = true
      else socket.once('connect', () => { connection.isConnected = true })
    })
    outgoing.on('response', resolve)
    outgoing.on('error', reject)
    outgoing.end(call.body)
  })
}

async function readBody (response: IncomingMessage, maximumBytes: number): Promise<Uint8Array> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of response as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > maximumBytes) throw new Error(`the answer is over ${maximumBytes} bytes`)
    chunks.push(chunk)
  }
  if (!response.complete) throw new Error('the answer ended early')
  return Buffer.concat(chunks)
}

function flatten (headers: IncomingHttpHeaders): HeaderRecord {
  const flat: HeaderRecord = {}
  for (const [key, value] of Object.entries(headers)) {
    if (value !== undefined) flat[key] = Array.isArray(value) ? value.join(', ') : value
  }
  return flat
}
