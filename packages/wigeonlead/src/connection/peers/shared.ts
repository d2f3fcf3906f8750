/**
 * Shared by the client and the server side of calls between entry VMs: limits, TLS files and the traffic counter.
 */
import type { Socket } from 'node:net'
import type { PeerTraffic } from '@wigeonlead/protocol'

/** Header with the signature of a request or an answer. */
export const SIGNATURE_HEADER = 'wigeonlead-signature'

/** Limits of the calls between entry VMs. */
export interface PeerLimits {
  /** Maximum size of one message, bytes. */
  maximumMessageBytes: number
  /** Maximum number of this node's calls in flight. */
  maximumOutgoingCalls: number
  /** Maximum number of other nodes' calls in flight; further ones are refused. */
  maximumIncomingCalls: number
  maximumSocketsPerPeer: number
  maximumIdleSocketsPerPeer: number
  idleTimeoutMilliseconds: number
}

/** The default limits. */
export const DEFAULT_PEER_LIMITS: PeerLimits = {
  maximumMessageBytes: 8_388_608,
  maximumOutgoingCalls: 1024,
  maximumIncomingCalls: 1024,
  maximumSocketsPerPeer: 64,
  maximumIdleSocketsPerPeer: 2,
  idleTimeoutMilliseconds: 30_000
}

/** Contents of the files for mutual TLS, in PEM format. */
export interface PeerTlsFiles {
  certificate: string
  key: string
  authority: string
}

/** Counts the bytes that the peers' connections transmit, headers included. */
export interface TrafficCounter {
  /** Adds the bytes that a connection has transmitted since it was last observed. */
  observe: (socket: Socket) => void
  counts: () => PeerTraffic
}

/** Creates a counter that starts at zero. */
export function createTrafficCounter (): TrafficCounter {
  const observed = new WeakMap<Socket, PeerTraffic>()
  const total: PeerTraffic = { sentBytes: 0, receivedBytes: 0 }
  return {
    observe (socket) {
      const before = observed.get(socket) ?? { sentBytes: 0, receivedBytes: 0 }
      const now = { sentBytes: socket.bytesWritten, receivedBytes: socket.bytesRead }
      total.sentBytes += now.sentBytes - before.sentBytes
      total.receivedBytes += now.receivedBytes - before.receivedBytes
      observed.set(socket, now)
    },
    counts: () => ({ ...total })
  }
}
