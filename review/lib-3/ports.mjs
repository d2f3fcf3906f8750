/**
 * Free ports of the loopback address, below those that the system gives to outgoing connections, so that none of these takes a port between
 * its choice and its use.
 */
import { createServer } from 'node:net'

const FIRST_PORT = 20_000
const LAST_PORT = 32_000
const taken = new Set()

function isFree (port) {
  return new Promise(resolve => {
    const server = createServer()
    server.on('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

/** @returns a port that nothing listens on, and that this process has not been given before. */
export async function freePort () {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT))
    if (taken.has(port)) continue
    taken.add(port)
    if (await isFree(port)) return port
  }
}
