/**
 * Sends one HTTP request and waits for the head of its answer.
 */
import type { ClientRequest, IncomingMessage } from 'node:http'

/**
 * Sends the body of a request that was made.
 * @param onConnected is called once the socket is connected: before that nothing can have been sent.
 * @param connectEvent event of the socket that says so; `secureConnect` over TLS.
 * @returns the answer with its head read; rejects with what broke the connection before.
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
