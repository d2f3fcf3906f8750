/**
 * Counts every byte that this process sends and receives over TCP, by whom it talks with.
 */
import { subscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import { TrafficKind } from './slopes-messages.js'

/** Bytes sent and received so far, by kind of peer. */
export type TrafficCounts = Record<TrafficKind, number>

/** A count of traffic. */
export interface TrafficCounter {
  /** Says what listens at a port; a connection that this process accepted is a peer's. */
  setKind: (port: number, kind: TrafficKind) => void
  read: () => TrafficCounts
}

/** Starts to count. Connections that are open already are not seen. */
export function createTrafficCounter (): TrafficCounter {
  const kinds = new Map<number, TrafficKind>()
  const open = new Map<Socket, () => TrafficKind>()
  const closed = zeroCounts()

  function follow (socket: Socket, kindOf: () => TrafficKind): void {
    open.set(socket, kindOf)
    socket.once('close', () => {
      closed[kindOf()] += bytesOf(socket)
      open.delete(socket)
    })
  }

  subscribe('net.client.socket', message => {
    const { socket } = message as { socket: Socket }
    let kind = TrafficKind.Peers
    socket.once('connect', () => { kind = kinds.get(socket.remotePort ?? 0) ?? TrafficKind.Peers })
    follow(socket, () => kind)
  })
  subscribe('net.server.socket', message => follow((message as { socket: Socket }).socket, () => TrafficKind.Peers))

  return {
    setKind: (port, kind) => { kinds.set(port, kind) },
    read () {
      const counts = { ...closed }
      for (const [socket, kindOf] of open) counts[kindOf()] += bytesOf(socket)
      return counts
    }
  }
}

function zeroCounts (): TrafficCounts {
  return { [TrafficKind.Peers]: 0, [TrafficKind.KeyValue]: 0, [TrafficKind.VmList]: 0, [TrafficKind.Engines]: 0 }
}

function bytesOf (socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten
}
