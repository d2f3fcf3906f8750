/**
 * Sound clients: each request has its own id, a deadline and a key, and is given up at its deadline.
 */
import { Agent, request } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'

let nextId = 1

/** @returns a new request id. */
export function newId () {
  return (nextId++).toString(16).padStart(16, '0')
}

/** Keeps connections open, as clients may; one client each. */
export function createAgent () {
  return new Agent({ keepAlive: true, maxSockets: 1 })
}

/**
 * Sends one request and reads its answer.
 * @param options.patience milliseconds after which the client leaves; by default its deadline.
 * @returns what the client has seen; `status` 0 where no answer came.
 */
export function send (address, { host, path, method, key, deadline, agent = false, headers = {}, patience = deadline, id = newId() }) {
  const sentAt = performance.now()
  return new Promise(resolve => {
    const seen = { id, path, sentAt, status: 0, body: '', isComplete: false, isTimedOut: false, headers: {} }
    const finish = reason => {
      clearTimeout(timer)
      resolve({ ...seen, reason, milliseconds: performance.now() - sentAt })
    }
    const outgoing = request(`http://${address}${path}`, {
      method,
      agent,
      headers: {
        Host: host,
        'X-Request-Id': id,
        'X-Deadline-Ms': String(deadline),
        ...(key === undefined ? {} : { Authorization: `Bearer ${key}` }),
        ...headers
      }
    }, incoming => {
      seen.status = incoming.statusCode
      seen.headers = incoming.headers
      incoming.on('data', bytes => { seen.body += bytes })
      incoming.on('error', () => {})
      incoming.on('close', () => {
        seen.isComplete = incoming.complete
        finish(seen.isTimedOut ? 'left' : incoming.complete ? 'answered' : 'cut')
      })
    })
    const timer = setTimeout(() => {
      seen.isTimedOut = true
      outgoing.destroy()
      if (seen.status === 0) finish('left')
    }, patience)
    outgoing.on('error', error => { if (seen.status === 0) finish(seen.isTimedOut ? 'left' : error.code ?? error.message) })
    outgoing.end()
  })
}

/** Asks a process whether it is ready, as the platform does once a second. @returns the status; 0 where no answer came in time. */
export function askReady (address, milliseconds = 1000) {
  return new Promise(resolve => {
    const outgoing = request(`http://${address}/api/ready`, { agent: false, timeout: milliseconds }, incoming => {
      incoming.resume()
      resolve(incoming.statusCode)
    })
    const timer = setTimeout(() => {
      outgoing.destroy()
      resolve(0)
    }, milliseconds)
    outgoing.on('error', () => resolve(0))
    outgoing.on('close', () => clearTimeout(timer))
    outgoing.end()
  })
}

/** Waits until a condition holds. @returns whether it did in time. */
export async function until (condition, milliseconds) {
  const endsAt = performance.now() + milliseconds
  while (performance.now() < endsAt) {
    if (await condition()) return true
    await pause(50)
  }
  return false
}
