/**
 * UDP link between the processes of the fleet. Each datagram carries one JSON-RPC notification, or a part of a longer one; lost datagrams
 * are not resent.
 */
import { createSocket, type Socket } from 'node:dgram'
import { JSONRPCServer, createJSONRPCNotification } from 'json-rpc-2.0'
import { z } from 'zod'
import { isAddress, splitAddress } from './address.js'
import { MESSAGE_BYTES_LIMIT, createMessageAssembly, splitMessage } from './message-parts.js'

/** Sends and receives notifications. */
export interface PeerLink {
  /**
   * Sends a notification. One that is too long is not sent.
   * @param options.mayBeSplit whether the receiver joins the parts of a notification that exceeds a datagram; earlier builds do not. By
   * default, it may not.
   */
  notify: (address: string, method: string, parameters: unknown, options?: { mayBeSplit: boolean }) => void
  /** Sets the handler of a method. The handler throws where the parameters are malformed. */
  on: (method: string, handler: (parameters: unknown) => void) => void
  open: (address: string) => Promise<void>
  close: () => void
}

/** Maximum size of a datagram; a longer one would be truncated. */
const DATAGRAM_BYTES_LIMIT = 60_000
const PART_METHOD = 'message-part'
/** Time between two parts of a notification, milliseconds: sent at once, they would overrun the receive buffer of the peer's socket. */
const PART_INTERVAL_MILLISECONDS = 2

const partSchema = z.object({ message: z.number().int(), index: z.number().int(), count: z.number().int(), data: z.string() })

/**
 * Creates a link that is not open yet.
 * @param onRefused called with the reason where a datagram was not accepted or not sent.
 */
export function createPeerLink (onRefused: (peer: string, reason: string) => void): PeerLink {
  const server = new JSONRPCServer<{ sender: string }>({ errorListener: message => onRefused('unknown', message) })
  const socket: Socket = createSocket('udp4')
  const assembly = createMessageAssembly()
  let nextMessage = 1
  let isClosed = false
  socket.on('message', (bytes, from) => receive(bytes, `${from.address}:${from.port}`))
  server.addMethod(PART_METHOD, (parameters, { sender }) => {
    const bytes = assembly.add(sender, partSchema.parse(parameters))
    if (bytes !== undefined) receive(bytes, sender)
  })

  function receive (bytes: Buffer, sender: string): void {
    const refuse = (error: Error): void => onRefused(sender, error.message)
    try {
      // A datagram that is no notification at all rejects the promise.
      server.receive(JSON.parse(bytes.toString()), { sender }).then(undefined, refuse)
    } catch (error) {
      refuse(error as Error)
    }
  }

  function send (address: string, bytes: Buffer): void {
    if (!isAddress(address)) return onRefused(address, 'no address')
    const [host, port] = splitAddress(address)
    socket.send(bytes, port, host, error => {
      if (error !== null) onRefused(address, error.message)
    })
  }

  socket.on('error', error => onRefused('local', error.message))

  return {
    notify (address, method, parameters, { mayBeSplit } = { mayBeSplit: false }) {
      const bytes = Buffer.from(JSON.stringify(createJSONRPCNotification(method, parameters)))
      if (bytes.length <= DATAGRAM_BYTES_LIMIT) return send(address, bytes)
      if (!mayBeSplit || bytes.length > MESSAGE_BYTES_LIMIT) {
        return onRefused(address, `a notification "${method}" of ${bytes.length} bytes exceeds the size limit`)
      }
      for (const part of splitMessage(bytes, nextMessage++)) {
        const datagram = Buffer.from(JSON.stringify(createJSONRPCNotification(PART_METHOD, part)))
        setTimeout(() => { if (!isClosed) send(address, datagram) }, part.index * PART_INTERVAL_MILLISECONDS).unref()
      }
    },
    on: (method, handler) => { server.addMethod(method, handler) },
    open (address) {
      const [host, port] = splitAddress(address)
      return new Promise((resolve, reject) => {
        socket.once('error', reject)
        socket.bind(port, host, () => {
          socket.removeListener('error', reject)
          socket.unref()
          resolve()
        })
      })
    },
    close () {
      isClosed = true
      socket.close()
    }
  }
}
