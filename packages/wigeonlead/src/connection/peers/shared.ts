/**
 * Shared by the client and the server side of calls between entry VMs: the signature header, limits, TLS credentials and the traffic
 * counter.
 */
import type { Socket } from 'node:net'
import type { PeerTraffic } from '@wigeonlead/protocol'

/** Header with the signature of a request or an answer. */
export const SIGNATURE_HEADER = 'wigeonlead-signature'

/** Limits of the calls between entry VMs. */
export interface PeerLimits {
  /** Maximum size of the body of one request or answer, both as transmitted and inflated. */
  maximumMessageBytes: number
  /** Maximum number of this node's calls in flight to all peers together; further ones fail without being sent. */
  maximumOutgoingCalls: number
  /** Maximum number of calls of all peers together that this node handles at the same time; further ones are refused. */
  maximumIncomingCalls: number
  /** Maximum number of connections that this node opens to one peer; further calls wait for one of them. */
  maximumSocketsPerPeer: number
  /** Maximum number of idle connections to one peer that stay open for later calls. */
  maximumIdleSocketsPerPeer: number
  /** Time after which an idle connection to a peer is closed. */
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

/** Certificate, private key and certificate authority for mutual TLS, in PEM format. */
export interface PeerTlsCredentials {
  certificate: string
  key: string
  authority: string
}

/** Counts the bytes that are sent and received over the connections to and from peers, headers included. */
export interface TrafficCounter {
  /** Adds the bytes that were sent and received over a connection since the previous call for that connection. */
  countNewBytes: (socket: Socket) => void
  counts: () => PeerTraffic
}

/** Creates a counter that starts at zero. */
export function createTrafficCounter (): TrafficCounter {
  const lastCounts = new WeakMap<Socket, PeerTraffic>()
  const total: PeerTraffic = { sentBytes: 0, receivedBytes: 0 }
  return {
    countNewBytes (socket) {
      const previous = lastCounts.get(socket) ?? { sentBytes: 0, receivedBytes: 0 }
      const current = { sentBytes: socket.bytesWritten, receivedBytes: socket.bytesRead }
      total.sentBytes += current.sentBytes - previous.sentBytes
      total.receivedBytes += current.receivedBytes - previous.receivedBytes
      lastCounts.set(socket, current)
    },
    counts: () => ({ ...total })
  }
}
