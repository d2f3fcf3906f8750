/**
 * Clients of the machines: each attempt has its own id, and is recorded with its answer.
 */
import { randomBytes } from 'node:crypto'
import { request } from 'node:http'

/** @returns the id of one attempt. */
export function newId () {
  return randomBytes(8).toString('hex')
}

/**
 * Sends one attempt and reads the whole answer.
 * @param terms `machine`, `method`, `path`, and optionally `id`, `body`, `headers`, `deadline`, `agent`, `patience` (the longest gap in a
 * stream, milliseconds), `key` and `host`.
 * @returns `status` (0 if there was no answer), `text`, `isComplete` and `error`.
 */
export function ask (terms) {
  const { machine, method = 'GET', path, id = newId(), body = '', headers = {}, deadline = 600, agent = false, patience, key, host = 'ficu95.example' } = terms
  return new Promise(resolve => {
    const result = { id, status: 0, text: '', isComplete: false, error: undefined, headers: {} }
    let gapTimer
    const outgoing = request({
      host: '127.0.0.1',
      port: Number(machine.address.split(':')[1]),
      method,
      path,
      agent,
      headers: {
        Host: host,
        'X-Request-Id': id,
        'X-Deadline-Ms': String(deadline),
        ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }),
        ...(body === '' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
        ...headers
      }
    })
    function leave (reason) {
      result.error ??= reason
      outgoing.destroy()
      finish()
    }
    const deadlineTimer = setTimeout(() => leave('the client left at its deadline'), deadline)
    function watchGap () {
      if (patience === undefined) return
      clearTimeout(gapTimer)
      gapTimer = setTimeout(() => leave('the client left after a gap'), patience)
    }
    function finish () {
      clearTimeout(deadlineTimer)
      clearTimeout(gapTimer)
      resolve(result)
    }
    watchGap()
    outgoing.on('error', error => {
      result.error ??= error.message
      finish()
    })
    outgoing.on('response', answer => {
      result.status = answer.statusCode
      result.headers = answer.headers
      answer.on('data', chunk => {
        result.text += chunk
        watchGap()
      })
      answer.on('error', error => { result.error ??= error.message })
      answer.on('close', () => {
        result.isComplete = answer.complete && result.error === undefined
        finish()
      })
    })
    outgoing.end(body)
  })
}
