/**
 * Opens and closes the listeners of the process.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'

/** A listener whose connections can be drained. */
export interface DrainableListener {
  /** Adds `connection: close` to all responses from now on, so that peers close their connections. */
  announceClose: () => void
  /** Refuses new connections, closes idle ones, and resolves when the connection of the last request has ended. */
  drain: () => Promise<void>
}

const IDLE_CHECK_MILLISECONDS = 200

/** Listens on an address of the form `host:port`; rejects if it can't. */
export function listen (server: Server, address: string): Promise<void> {
  const separator = address.lastIndexOf(':')
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '')
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(separator + 1)), host, () => resolve())
  })
}

/** Makes a listener drainable. Must be called before it listens, so that every connection is tracked. */
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

  function closeIdleConnections (): void {
    server.closeIdleConnections()
    for (const socket of sockets) {
      if (socket.bytesRead === 0) socket.destroy()
    }
  }

  return {
    announceClose: () => { isClosing = true },
    drain: () => new Promise(resolve => {
      const timer = setInterval(closeIdleConnections, IDLE_CHECK_MILLISECONDS)
      server.close(() => {
        clearInterval(timer)
        resolve()
      })
      closeIdleConnections()
    })
  }
}

/** Closes a listener and all of its connections immediately. */
export function closeNow (server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}
