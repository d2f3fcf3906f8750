/**
 * Opening and closing of the process's listeners.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'

/** A listener whose connections can be drained. */
export interface DrainableListener {
  /** Answers from now on ask the peer to close the connection. */
  announceClose: () => void
  /** Refuses new connections, closes idle ones, and resolves when the last request's connection has ended. */
  drain: () => Promise<void>
}

const IDLE_CHECK_MILLISECONDS = 200

/** Listens at an address, `host:port`. Rejects when it can't. */
export function listen (server: Server, address: string): Promise<void> {
  const split = address.lastIndexOf(':')
  const host = address.slice(0, split).replace(/^\[|\]$/g, '')
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(split + 1)), host, () => resolve())
  })
}

/** Makes a listener drainable; to be called before it listens. */
export function createDrainableListener (server: Server): DrainableListener {
  const sockets = new Set<Socket>()
  let isClosing = false
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  server.prependListener('request', (_request, response) => {
    if (isClosing) response.setHeader('connection', 'close')
  })

  function closeIdle (): void {
    server.closeIdleConnections()
    for (const socket of sockets) {
      if (socket.bytesRead === 0) socket.destroy()
    }
  }

  return {
    announceClose: () => { isClosing = true },
    drain: () => new Promise(resolve => {
      const timer = setInterval(closeIdle, IDLE_CHECK_MILLISECONDS)
      server.close(() => {
        clearInterval(timer)
        resolve()
      })
      closeIdle()
    })
  }
}

/** Closes a listener and every connection of it at once. */
export function closeNow (server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}
