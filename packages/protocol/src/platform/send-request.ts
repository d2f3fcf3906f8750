/**
 * Sends one HTTP request and waits for the response headers.
 */
import type { ClientRequest, IncomingMessage } from 'node:http'

/**
 * Sends the body of a request.
 * @param onConnected called once the socket is connected; before that, nothing can have been sent.
 * @param connectEvent socket event that signals the connection; `secureConnect` over TLS.
 * @returns the response once its headers have arrived; rejects with the error if the connection breaks before that.
 */
export function sendRequest (
  outgoing: ClientRequest, body: string | Uint8Array, onConnected: () => void, connectEvent: 'connect' | 'secureConnect' = 'connect'
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    outgoing.on('socket', socket => {
      if (socket.connecting) socket.once(connectEvent, onConnected)
      else onConnected()
    })
    outgoing.on('response', resolve)
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}
