/**
 * Starts the program of the deploy file as processes of their own, with settings like those of a machine of a small deployment.
 */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url))

/** @returns the words of `run` in the deploy file. */
function readCommand () {
  const [, run] = /^run = "([^"]+)"$/m.exec(readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8'))
  return run.split(' ')
}

/** Ports below those that the kernel gives to outgoing connections, so that none of these takes a port before its process listens. */
const FIRST_PORT = 12_000
const PORTS = 18_000

function isFree (port) {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

/** @returns addresses on which nothing listens now. */
export async function freeAddresses (count) {
  const ports = new Set()
  while (ports.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS)
    if (await isFree(port)) ports.add(port)
  }
  return [...ports].map(port => `127.0.0.1:${port}`)
}

/** Makes a folder for settings and logs. */
export function makeFolder () {
  return mkdtempSync(join(tmpdir(), 'review-'))
}

export function removeFolder (folder) {
  rmSync(folder, { recursive: true, force: true })
}

/**
 * Starts one process.
 * @param options.folder folder for its settings and its log.
 * @param options.storeAddress address of the store as this process sees it.
 * @returns the process, its addresses and how it ended.
 */
export async function startRelay ({ vm, zone, zones, folder, storeAddress }) {
  const [front, readiness, peers, metrics] = await freeAddresses(4)
  const settings = join(folder, `${vm}.toml`)
  writeFileSync(settings, [
    `failureDomains = ${JSON.stringify(zones)}`,
    '[node]', `vm = "${vm}"`, `failureDomain = "${zone}"`, 'ip = "127.0.0.1"',
    '[listen]', `callers = "${front}"`, `readiness = "${readiness}"`, `peers = "${peers}"`, `metrics = "${metrics}"`,
    '[store]', `address = "${storeAddress}"`, 'leastLeaseMilliseconds = 1000',
    '[bounds]', 'revokeMilliseconds = 5000', 'leaveMilliseconds = 2000', 'applyMilliseconds = 2000', 'graceSeconds = 8',
    'repeatShare = 0.2', 'repeatExtra = 202', 'repeatWindowSeconds = 10', 'stallMilliseconds = 2500', ''
  ].join('\n'))
  const relay = { vm, front, readiness, folder, settings, logFile: join(folder, `${vm}.out`) }
  startAgain(relay)
  return relay
}

/** Starts the process of a relay, also once more after it has ended, with the same settings. */
export function startAgain (relay) {
  const { vm, folder, settings } = relay
  const [program, ...words] = readCommand()
  const log = createWriteStream(relay.logFile, { flags: 'a' })
  relay.ended = undefined
  const child = spawn(program === 'node' ? process.execPath : program, words, {
    cwd: REPOSITORY, env: { PATH: process.env.PATH, HOME: folder, WIGEONLEAD_SETTINGS: settings }, stdio: ['ignore', 'pipe', 'pipe']
  })
  child.stdout.pipe(log, { end: false })
  child.stderr.pipe(log, { end: false })
  relay.child = child
  relay.exit = new Promise(resolve => {
    child.on('exit', (code, signal) => {
      relay.ended = { vm, code, signal, at: performance.now() }
      resolve(relay.ended)
    })
  })
}

/** Ends a process that `startRelay` has started. */
export async function endRelay (relay) {
  if (relay.ended === undefined) relay.child.kill('SIGKILL')
  await relay.exit
}
