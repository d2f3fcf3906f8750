/**
 * Calls between entry VMs: JSON-RPC 2.0 over keep-alive HTTP, or over HTTPS with certificates on both sides. Each message is signed.
 */
import type { Server } from 'node:http'
import { JSONRPCErrorCode, JSONRPCServer, createJSONRPCErrorResponse, createJSONRPCRequest, type JSONRPCResponse } from 'json-rpc-2.0'
import {
  FailureKind, Step, createClientGuard, failed, success, type ClientGuard, type PeerHandler, type PeerHandlers, type PeerMethod,
  type PeerPort
} from '@wigeonlead/protocol'
import { createPeerSender } from './client.js'
import { createPeerListener } from './listener.js'
import { DEFAULT_PEER_LIMITS, createTrafficCounter, type PeerLimits, type PeerTlsCredentials } from './shared.js'
import { createSigner, type PeerSecret } from './signature.js'

/** The peer port together with its listener. */
export interface HttpPeers extends PeerPort {
  listener: Server
}

/** Options of the peers. */
export interface HttpPeersOptions {
  /** Mutual TLS; plain HTTP when absent. */
  tls?: PeerTlsCredentials
  /** Limits that replace the default ones. */
  limits?: Partial<PeerLimits>
  /** The guard of the process; by default, one of the listener for peers. */
  guard?: ClientGuard
  /** Called with the address of a refused caller and the reason, at most once a second for each address. */
  onRefused?: (peer: string, reason: string) => void
}

const NOT_EXECUTED_CODES: ReadonlySet<number> = new Set([
  JSONRPCErrorCode.ParseError, JSONRPCErrorCode.InvalidRequest, JSONRPCErrorCode.MethodNotFound
])

/**
 * Creates a peer port over HTTP.
 * @param secrets the first one signs this node's requests; requests signed with any of them are accepted.
 */
export function createHttpPeers (secrets: PeerSecret[], options: HttpPeersOptions = {}): HttpPeers {
  const limits = { ...DEFAULT_PEER_LIMITS, ...options.limits }
  const signer = createSigner(secrets)
  const traffic = createTrafficCounter()
  const send = createPeerSender(signer, limits, traffic, options.tls)
  let server = new JSONRPCServer<string>()
  let nextId = 1

  async function handleRequest (body: string, peer: string): Promise<string> {
    const response = await server.receiveJSON(body, peer)
    return JSON.stringify(response ?? createJSONRPCErrorResponse(null, JSONRPCErrorCode.InvalidRequest, 'notifications are not served'))
  }

  return {
    listener: createPeerListener({
      signer,
      limits,
      traffic,
      tls: options.tls,
      guard: options.guard ?? createClientGuard(),
      handleRequest,
      onRefused: options.onRefused ?? (() => {})
    }),
    traffic: traffic.counts,
    serve: handlers => { server = createRpcServer(handlers) },
    async call (address, method, parameters, deadlineMilliseconds) {
      const request = createJSONRPCRequest(nextId++, method, parameters)
      const outcome = await send(address, JSON.stringify(request), deadlineMilliseconds)
      if (!outcome.ok) return outcome
      const response = parseResponse(outcome.value, request.id)
      const origin = { step: Step.Peer, peer: address }
      if (response === undefined) return failed({ ...origin, kind: FailureKind.Malformed, detail: 'no JSON-RPC answer to this call' })
      if (response.error !== undefined) return failed({ ...origin, kind: errorKind(response.error.code), detail: response.error.message })
      return success(response.result)
    }
  }
}

function createRpcServer (handlers: PeerHandlers): JSONRPCServer<string> {
  const server = new JSONRPCServer<string>({ errorListener: () => {} })
  for (const [method, handler] of Object.entries(handlers)) {
    const handle = handler as PeerHandler<PeerMethod>
    server.addMethod(method, (parameters, peer) => handle(parameters as never, peer))
  }
  return server
}

function parseResponse (text: string, id: unknown): JSONRPCResponse | undefined {
  try {
    const response = JSON.parse(text) as JSONRPCResponse
    const isAnswer = response.jsonrpc === '2.0' && response.id === id
    return isAnswer && ('result' in response || response.error !== undefined) ? response : undefined
  } catch {
    return undefined
  }
}

/** @returns the kind of a failed call. An error of a handler counts as broken, since the handler may have done part of its work. */
function errorKind (code: number): FailureKind.Refused | FailureKind.Broken {
  return NOT_EXECUTED_CODES.has(code) ? FailureKind.Refused : FailureKind.Broken
}
