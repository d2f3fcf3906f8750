/**
 * Counts the bytes that this process sends and receives over TCP, by what the other end of the connection is.
 */
import { subscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import { TrafficKind } from './slopes-messages.js'

/** Bytes sent and received so far, by what the other end of the connection is. */
export type TrafficCounts = Record<TrafficKind, number>

/** Counts the traffic of this process. */
export interface TrafficCounter {
  /** Sets what listens on a port. Connections to any other port, and those that this process accepts, count as connections to peers. */
  setKind: (port: number, kind: TrafficKind) => void
  read: () => TrafficCounts
}

/** Creates a counter and starts it. Connections that are already open are not counted. */
export function createTrafficCounter (): TrafficCounter {
  const kinds = new Map<number, TrafficKind>()
  const openSockets = new Map<Socket, () => TrafficKind>()
  const closedCounts = createZeroCounts()

  function trackSocket (socket: Socket, readKind: () => TrafficKind): void {
    openSockets.set(socket, readKind)
    socket.once('close', () => {
      closedCounts[readKind()] += bytesOf(socket)
      openSockets.delete(socket)
    })
  }

  subscribe('net.client.socket', message => {
    const { socket } = message as { socket: Socket }
    let kind = TrafficKind.Peers
    socket.once('connect', () => { kind = kinds.get(socket.remotePort ?? 0) ?? TrafficKind.Peers })
    trackSocket(socket, () => kind)
  })
  subscribe('net.server.socket', message => trackSocket((message as { socket: Socket }).socket, () => TrafficKind.Peers))

  return {
    setKind: (port, kind) => { kinds.set(port, kind) },
    read () {
      const counts = { ...closedCounts }
      for (const [socket, kindOf] of openSockets) counts[kindOf()] += bytesOf(socket)
      return counts
    }
  }
}

function createZeroCounts (): TrafficCounts {
  return { [TrafficKind.Peers]: 0, [TrafficKind.KeyValue]: 0, [TrafficKind.VmList]: 0, [TrafficKind.Engines]: 0 }
}

function bytesOf (socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten
}
