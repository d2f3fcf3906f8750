/**
 * What both sides of the calls between entry VMs share: limits, TLS files, counted bytes.
 */
import type { Socket } from 'node:net'
import type { PeerTraffic } from '@wigeonlead/protocol'

/** Header that carries the signature of a request or an answer. */
export const SIGNATURE_HEADER = 'wigeonlead-signature'

/** Bounds of the calls between entry VMs. */
export interface PeerLimits {
  /** Most bytes of one message. */
  messageBytes: number
  /** Most calls of this node under way. */
  calls: number
  /** Most calls of other nodes under way; more are refused. */
  servedCalls: number
  socketsOfAPeer: number
  idleSocketsOfAPeer: number
  idleMilliseconds: number
}

/** The default bounds. */
export const PEER_LIMITS: PeerLimits = {
  messageBytes: 8_388_608,
  calls: 1024,
  servedCalls: 1024,
  socketsOfAPeer: 64,
  idleSocketsOfAPeer: 2,
  idleMilliseconds: 30_000
}

/** Contents of the files for mutual TLS, PEM. */
export interface PeerTlsFiles {
  certificate: string
  key: string
  authority: string
}

/** Counts what goes over the peers' connections, headers included. */
export interface TrafficCounter {
  /** Adds what a connection carried since it was last observed. */
  observe: (socket: Socket) => void
  counts: () => PeerTraffic
}

/** Makes a counter at zero. */
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
