/**
 * Sends one HTTP request and waits for the response headers.
 */
import type { ClientRequest, IncomingMessage } from 'node:http'
import { findInvalidAnswerHead } from './invalid-head.js'
import { paceReading } from './pace-reading.js'

/**
 * Sends the body of a request.
 * @param onConnected called once the socket is connected; before that, nothing can have been sent.
 * @param connectEvent socket event that signals the connection; `secureConnect` over TLS.
 * @returns the response once its headers have arrived; rejects with the error if the connection breaks before that, or if the
 * head is none of an answer.
 */
export function sendRequest (
  outgoing: ClientRequest, body: string | Uint8Array, onConnected: () => void, connectEvent: 'connect' | 'secureConnect' = 'connect'
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    outgoing.on('socket', socket => {
      paceReading(socket)
      if (socket.connecting) socket.once(connectEvent, onConnected)
      else onConnected()
    })
    outgoing.on('response', response => {
      const invalidity = findInvalidAnswerHead(response.statusCode ?? 0, response.rawHeaders)
      if (invalidity === undefined) return resolve(response)
      outgoing.destroy()
      reject(new Error(`the head of the answer is malformed: ${invalidity}`))
    })
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}
