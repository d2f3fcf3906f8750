/**
 * Runs a program as a process of its own and watches what it takes of its machine. Needs the files of Linux under /proc.
 */
import { spawn } from 'node:child_process'
import { closeSync, openSync, readFileSync, readdirSync } from 'node:fs'

/** The most that a process has taken. */
export interface Peaks {
  /** Memory of the process, and bytes that wait unread in the kernel for its listeners. */
  bytes: number
  descriptors: number
}

/** A process under watch. */
export interface WatchedProcess {
  /** @returns how the process has ended, with the last line that it wrote; undefined as long as it runs. */
  end: () => string | undefined
  peaks: () => Peaks
  kill: () => Promise<void>
}

const SAMPLE_MILLISECONDS = 100

/**
 * Starts a process.
 * @param commandLine arguments of Node.js.
 * @param logFile file for what it writes.
 */
export function startWatched (commandLine: readonly string[], logFile: string, addresses: readonly string[]): WatchedProcess {
  const log = openSync(logFile, 'w')
  const child = spawn(process.execPath, commandLine, { stdio: ['ignore', log, log] })
  closeSync(log)
  const peaks: Peaks = { bytes: 0, descriptors: 0 }
  let ended: string | undefined
  const exit = new Promise<void>(resolve => {
    child.on('exit', (code, signal) => {
      clearInterval(timer)
      ended = `ended with ${code ?? signal}: ${readFileSync(logFile, 'utf8').trimEnd().split('\n').at(-1)?.slice(0, 300) ?? ''}`
      resolve()
    })
  })
  const ports = new Set(addresses.map(address => Number(address.split(':')[1]).toString(16).toUpperCase().padStart(4, '0')))
  const timer = setInterval(sample, SAMPLE_MILLISECONDS)

  function sample (): void {
    try {
      peaks.bytes = Math.max(peaks.bytes, residentBytes(child.pid!) + unreadBytes(ports))
      peaks.descriptors = Math.max(peaks.descriptors, readdirSync(`/proc/${child.pid}/fd`).length)
    } catch {
      // The process has just ended; its exit is reported separately.
    }
  }

  return {
    end: () => ended,
    peaks: () => peaks,
    async kill () {
      child.kill('SIGKILL')
      await exit
    }
  }
}

function residentBytes (pid: number): number {
  // A process that is ending has no memory.
  return Number(/^VmRSS:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) * 1024
}

/** Counts the bytes in the receive queues of the connections to the given local ports, four hexadecimal digits each. */
function unreadBytes (ports: ReadonlySet<string>): number {
  let bytes = 0
  for (const line of readFileSync('/proc/net/tcp', 'latin1').split('\n').slice(1)) {
    const [, local, , state, queues] = line.trim().split(/\s+/)
    if (local === undefined || state === LISTENING || !ports.has(local.split(':')[1]!)) continue
    bytes += Number.parseInt(queues!.split(':')[1]!, 16)
  }
  return bytes
}

/** State of a listening socket, whose queue counts connections. */
const LISTENING = '0A'
