/**
 * Starts the project's program as one process for each machine, with the command of the deploy file and settings as its template renders
 * them for a small deployment.
 */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { freePort } from './ports.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
const COMMAND = ['--max-old-space-size=160', '--max-semi-space-size=4', 'target/wigeonlead.cjs']
export const ZONES = ['howrah', 'salt-lake', 'dum-dum']
export const GRACE_SECONDS = 8

async function freeAddress () {
  return `127.0.0.1:${await freePort()}`
}

function settingsOf (name, zone, addresses, store) {
  return [
    `failureDomains = ${JSON.stringify(ZONES)}`,
    '[node]', `vm = "${name}"`, `failureDomain = "${zone}"`, 'ip = "127.0.0.1"', 'memoryMegabytes = 350',
    '[listen]', `callers = "${addresses[0]}"`, `readiness = "${addresses[1]}"`, `peers = "${addresses[2]}"`, `metrics = "${addresses[3]}"`,
    '[store]', `address = "${store}"`, 'leastLeaseMilliseconds = 1000',
    '[bounds]', 'revokeMilliseconds = 5000', 'leaveMilliseconds = 2000', 'applyMilliseconds = 2000', `graceSeconds = ${GRACE_SECONDS}`,
    'repeatShare = 0.2', 'repeatExtra = 202', 'repeatWindowSeconds = 10', 'stallMilliseconds = 2500', ''
  ].join('\n')
}

/** Starts one machine. */
export async function startMachine (name, zone, store) {
  const directory = mkdtempSync(join(tmpdir(), 'wigeonlead-review-'))
  const addresses = await Promise.all([1, 2, 3, 4].map(freeAddress))
  const file = join(directory, 'settings.toml')
  writeFileSync(file, settingsOf(name, zone, addresses, store))
  const logFile = join(directory, 'log')
  const child = spawn(process.execPath, COMMAND, { cwd: ROOT, env: { PATH: process.env.PATH, WIGEONLEAD_SETTINGS: file } })
  const log = createWriteStream(logFile)
  child.stdout.pipe(log)
  child.stderr.pipe(log)
  const ended = new Promise(resolve => { child.on('exit', resolve) })
  return {
    name,
    zone,
    address: addresses[0],
    logFile,
    isReady: () => new Promise(resolve => {
      const asking = request(`http://${addresses[1]}/api/ready`, answer => {
        answer.resume()
        resolve(answer.statusCode === 200)
      })
      asking.on('error', () => resolve(false))
      asking.end()
    }),
    /** Stops the machine as the platform does: SIGTERM, then SIGKILL after the grace period. */
    async stop () {
      child.kill('SIGTERM')
      const timer = setTimeout(() => child.kill('SIGKILL'), GRACE_SECONDS * 1000)
      await ended
      clearTimeout(timer)
    },
    /** Ends the process. @returns whether it was still running. */
    async end () {
      const isRunning = child.exitCode === null && child.signalCode === null
      child.kill('SIGKILL')
      if (isRunning) await ended
      if (process.env.KEEP_LOGS === undefined) rmSync(directory, { recursive: true })
      return isRunning
    }
  }
}

/** Waits until all machines are ready. @throws if they are not within twenty seconds. */
export async function untilReady (machines) {
  for (let attempt = 0; attempt < 200; attempt++) {
    if ((await Promise.all(machines.map(machine => machine.isReady()))).every(Boolean)) return
    await pause(100)
  }
  throw new Error('the machines are not ready in time')
}
