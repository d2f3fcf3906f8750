/**
 * Calls between entry VMs: JSON-RPC 2.0 over keep-alive HTTP, each message signed with a shared secret.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { Agent, createServer, request, type IncomingMessage, type Server } from 'node:http'
import { JSONRPCErrorCode, createJSONRPCErrorResponse, type JSONRPCRequest, type JSONRPCResponse } from 'json-rpc-2.0'
import {
  FailureKind, Step, failed, success, type Failure, type PeerHandlers, type PeerMethod, type PeerPort
} from '@wigeonlead/protocol'

/** A shared secret with its id. */
export interface PeerSecret {
  id: string
  value: string
}

/** The peer port together with its listener. */
export interface HttpPeers extends PeerPort {
  listener: Server
}

const SIGNATURE_HEADER = 'wigeonlead-signature'
const MAXIMUM_MESSAGE_BYTES = 8_388_608

/**
 * Makes a peer port over HTTP.
 * @param secrets the first signs, all are accepted.
 */
export function createHttpPeers (secrets: PeerSecret[]): HttpPeers {
  const agent = new Agent({ keepAlive: true, maxFreeSockets: 4 })
  let handlers: PeerHandlers = {}
  let nextId = 1

  async function answer (incoming: IncomingMessage): Promise<{ status: number, body: string }> {
    const body = await readBody(incoming)
    if (!isSigned(secrets, body, incoming.headers[SIGNATURE_HEADER])) return { status: 401, body: '{}' }
    const message = JSON.parse(body) as JSONRPCRequest
    const response = await handle(handlers, message, incoming.socket.remoteAddress ?? 'unknown')
    return { status: 200, body: JSON.stringify(response) }
  }

  const listener = createServer({ keepAliveTimeout: 60_000 }, (incoming, response) => {
    answer(incoming).then(
      ({ status, body }) => response.writeHead(status, { 'content-type': 'application/json' }).end(body),
      () => response.writeHead(400).end()
    )
  })

  return {
    listener,
    serve: given => { handlers = given },
    async call (address, method, parameters, deadlineMilliseconds) {
      const body = JSON.stringify({ jsonrpc: '2.0', id: nextId++, method, params: parameters })
      const connection = { isConnected: false }
      try {
        const answer = await post(agent, address, body, sign(secrets[0], body), AbortSignal.timeout(deadlineMilliseconds), connection)
        if (answer.status !== 200) return failed(origin(address, FailureKind.Unauthenticated, `status ${answer.status}`))
        const response = JSON.parse(answer.body) as JSONRPCResponse
        if (response.error !== undefined) return failed(origin(address, FailureKind.Refused, response.error.message))
        return success(response.result)
      } catch (cause) {
        const kind = connection.isConnected ? FailureKind.Broken : FailureKind.Unreachable
        return failed(origin(address, kind, cause instanceof Error ? cause.message : String(cause)))
      }
    }
  }
}

async function handle (handlers: PeerHandlers, message: JSONRPCRequest, peer: string): Promise<JSONRPCResponse> {
  const id = message.id ?? null
  const handler = handlers[message.method as PeerMethod] as ((parameters: unknown, peer: string) => Promise<unknown>) | undefined
  if (handler === undefined) return createJSONRPCErrorResponse(id, JSONRPCErrorCode.MethodNotFound, 'method not found')
  try {
    return { jsonrpc: '2.0', id, result: await handler(message.params, peer) }
  } catch (error) {
    return createJSONRPCErrorResponse(id, JSONRPCErrorCode.InternalError, error instanceof Error ? error.message : String(error))
  }
}

function post (
  agent: Agent, address: string, body: string, signature: string, signal: AbortSignal, connection: { isConnected: boolean }
): Promise<{ status: number, body: string }> {
  return new Promise((resolve, reject) => {
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), [SIGNATURE_HEADER]: signature }
    const outgoing = request(`http://${address}/rpc`, { method: 'POST', agent, signal, headers })
    outgoing.on('socket', socket => {
      if (!socket.connecting) connection.isConnected = true
      else socket.once('connect', () => { connection.isConnected = true })
    })
    outgoing.on('response', response => {
      readBody(response).then(text => resolve({ status: response.statusCode ?? 0, body: text }), reject)
    })
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}

function sign (secret: PeerSecret | undefined, body: string): string {
  if (secret === undefined) return ''
  return `${secret.id}:${createHmac('sha256', secret.value).update(body).digest('hex')}`
}

function isSigned (secrets: PeerSecret[], body: string, signature: string | string[] | undefined): boolean {
  if (typeof signature !== 'string') return false
  const secret = secrets.find(secret => signature.startsWith(`${secret.id}:`))
  if (secret === undefined) return false
  const wanted = Buffer.from(sign(secret, body))
  const found = Buffer.from(signature)
  return wanted.length === found.length && timingSafeEqual(wanted, found)
}

async function readBody (incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of incoming as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAXIMUM_MESSAGE_BYTES) throw new Error('the message is too large')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString()
}

function origin (
  address: string, kind: FailureKind.Unauthenticated | FailureKind.Refused | FailureKind.Broken | FailureKind.Unreachable, detail: string
): Failure {
  return { kind, step: Step.Peer, peer: address, detail }
}
