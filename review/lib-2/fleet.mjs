/**
 * Starts the project's program as the deploy file does, with the settings of a small deployment, and ends it by its process id.
 */
import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const PROGRAM = 'target/wigeonlead.cjs'
const FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=4']

/** @returns a free `IP:PORT` on the loopback range. */
export async function freeAddress (host = '127.0.0.1') {
  const server = createServer()
  await new Promise(resolve => server.listen(0, host, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return `${host}:${port}`
}

export const pause = ms => new Promise(resolve => { setTimeout(resolve, ms) })

/** Starts one machine. `zones` names all failure domains; the bounds are those of the small deployments. */
export async function startRelay ({ name, zone, zones, storeAddress }) {
  const [callers, readiness, peers, metrics] = [await freeAddress(), await freeAddress(), await freeAddress(), await freeAddress()]
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const settings = join(folder, 'boot.toml')
  const logFile = join(folder, 'relay.log')
  writeFileSync(settings, [
    `failureDomains = ${JSON.stringify(zones)}`,
    '[node]', `vm = "${name}"`, `failureDomain = "${zone}"`, 'ip = "127.0.0.1"', 'memoryMegabytes = 350',
    '[listen]', `callers = "${callers}"`, `readiness = "${readiness}"`, `peers = "${peers}"`, `metrics = "${metrics}"`,
    '[store]', `address = "${storeAddress}"`, 'leastLeaseMilliseconds = 1000',
    '[bounds]', 'revokeMilliseconds = 5000', 'leaveMilliseconds = 2000', 'applyMilliseconds = 2000', 'graceSeconds = 8',
    'repeatShare = 0.2', 'repeatExtra = 202', 'repeatWindowSeconds = 10', 'stallMilliseconds = 2500', ''
  ].join('\n'))
  const exits = []
  let child
  function start () {
    const log = openSync(logFile, 'a')
    child = spawn(process.execPath, [...FLAGS, PROGRAM], {
      cwd: ROOT,
      stdio: ['ignore', log, log],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, WIGEONLEAD_SETTINGS: settings }
    })
    const started = child
    child.on('exit', (code, signal) => exits.push({ pid: started.pid, code, signal, at: performance.now() }))
  }
  start()
  process.on('exit', () => { child.kill('SIGKILL') })
  return {
    name,
    address: callers,
    metrics,
    exits,
    start,
    pid: () => child.pid,
    signal: signal => child.kill(signal),
    log: () => readFileSync(logFile, 'utf8'),
    memory () {
      try {
        const status = readFileSync(`/proc/${child.pid}/status`, 'utf8')
        return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024
      } catch {
        return 0
      }
    },
    isReady: () => new Promise(resolve => {
      const [host, port] = readiness.split(':')
      const outgoing = request({ host, port, path: '/api/ready', agent: false, timeout: 1000 }, incoming => {
        incoming.resume()
        resolve(incoming.statusCode === 200)
      })
      outgoing.on('timeout', () => outgoing.destroy())
      outgoing.on('error', () => resolve(false))
      outgoing.end()
    }),
    async end () {
      if (child.exitCode === null && child.signalCode === null) {
        const ended = new Promise(resolve => child.once('exit', resolve))
        child.kill('SIGCONT')
        child.kill('SIGKILL')
        await ended
      }
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

/** Waits until a condition holds. @returns whether it did in time. */
export async function waitFor (condition, ms) {
  const endsAt = performance.now() + ms
  while (performance.now() < endsAt) {
    if (await condition()) return true
    await pause(50)
  }
  return false
}
