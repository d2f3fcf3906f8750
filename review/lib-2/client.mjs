/**
 * A caller after PROTOCOL.md: keeps connections, states an id and a deadline, and notes how each client attempt ended.
 */
import { Agent, request } from 'node:http'
import { HOST, KEY } from './configuration.mjs'

export function createCaller (address, { key = KEY, deadlineMs = 1000 } = {}) {
  const agent = new Agent({ keepAlive: true, maxSockets: 64 })
  const [host, port] = address.split(':')
  return {
    close: () => agent.destroy(),
    /** @returns the status and body, whether the answer was whole, or why there was none. */
    send ({ method = 'GET', path, id, body, headers = {}, deadline = deadlineMs, patience = deadline + 1000, onEvent, isKept = true }) {
      return new Promise(resolve => {
        const sentAt = performance.now()
        const finish = result => {
          clearTimeout(timer)
          resolve({ id, path, ms: Math.round(performance.now() - sentAt), ...result })
        }
        const outgoing = request({
          host,
          port,
          method,
          path,
          agent: isKept ? agent : false,
          headers: {
            Host: HOST,
            'X-Request-Id': id,
            'X-Deadline-Ms': String(deadline),
            Authorization: `Bearer ${key}`,
            ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
            ...headers
          }
        }, incoming => {
          const chunks = []
          incoming.on('data', chunk => {
            chunks.push(chunk)
            onEvent?.(chunk)
          })
          incoming.on('error', () => {})
          incoming.on('close', () => finish({
            status: incoming.statusCode, headers: incoming.headers, body: Buffer.concat(chunks).toString(), isWhole: incoming.complete
          }))
        })
        const timer = setTimeout(() => {
          outgoing.destroy()
          finish({ status: 0, reason: 'no answer in time' })
        }, patience)
        outgoing.on('error', error => finish({ status: 0, reason: error.message }))
        outgoing.end(body)
      })
    }
  }
}
