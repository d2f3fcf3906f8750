/**
 * A crowd of clients that send what no sound client sends, and do not leave by themselves.
 */
import { request, type RequestOptions } from 'node:http'
import { connect, type Socket } from 'node:net'
import type { Peaks, WatchedProcess } from './watched-process.js'

/** What each client of a crowd does. */
export interface Conduct {
  /** Bytes that a client sends, part by part; the parts of an endless iterable are sent until the server closes the connection. */
  send: () => Iterable<Buffer>
  /** Whether the client reads what the server answers. */
  isReading: boolean
}

/** A crowd whose clients have sent all that the server has let them. */
export interface Crowd {
  leave: () => void
}

/** Time after which a crowd counts as settled if no client could send more and no connection was closed, milliseconds. */
const SETTLED_MILLISECONDS = 2000
const CHECK_MILLISECONDS = 100
/** Bound for crowds that never settle, milliseconds. */
const LONGEST_MILLISECONDS = 30_000
/** Number of connections that are opened at a time, so that the queue of the listener does not overflow. */
const OPENED_AT_A_TIME = 200

/** Opens the connections of a crowd, and resolves once it has settled. */
export async function openCrowd (address: string, clients: number, { send, isReading }: Conduct): Promise<Crowd> {
  const [host, port] = address.split(':') as [string, string]
  const sockets = new Set<Socket>()
  let movedAt = performance.now()

  function open (): Promise<void> {
    const socket = connect(Number(port), host)
    const parts = send()[Symbol.iterator]()
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => {
      sockets.delete(socket)
      movedAt = performance.now()
    })
    if (isReading) socket.resume()

    function sendMore (): void {
      while (!socket.destroyed) {
        const { done, value } = parts.next()
        if (done === true) return
        movedAt = performance.now()
        if (!socket.write(value)) {
          socket.once('drain', sendMore)
          return
        }
      }
    }

    return new Promise(resolve => {
      socket.once('connect', () => {
        sendMore()
        resolve()
      })
      socket.once('close', () => resolve())
    })
  }

  const startedAt = performance.now()
  for (let opened = 0; opened < clients; opened += OPENED_AT_A_TIME) {
    await Promise.all(Array.from({ length: Math.min(OPENED_AT_A_TIME, clients - opened) }, open))
  }
  while (performance.now() - movedAt < SETTLED_MILLISECONDS && performance.now() - startedAt < LONGEST_MILLISECONDS) {
    await new Promise(resolve => { setTimeout(resolve, CHECK_MILLISECONDS) })
  }
  return {
    leave () { for (const socket of sockets) socket.destroy() }
  }
}

const CHUNK_BYTES = 65_536

/**
 * @param head lines of the head of a request, without the empty line that ends it.
 * @returns a request with a body in chunks, which lacks its last chunk.
 */
export function * unfinishedRequest (head: string, bytes: number, chunkBytes = CHUNK_BYTES): Iterable<Buffer> {
  yield Buffer.from(`${head}Transfer-Encoding: chunked\r\n\r\n`)
  const encode = (length: number): Buffer => Buffer.from(`${length.toString(16)}\r\n${'x'.repeat(length)}\r\n`)
  const chunksPerPart = Math.ceil(CHUNK_BYTES / chunkBytes)
  const part = Buffer.concat(Array.from({ length: chunksPerPart }, () => encode(chunkBytes)))
  let left = bytes
  for (; left >= chunksPerPart * chunkBytes; left -= chunksPerPart * chunkBytes) yield part
  for (; left > 0; left -= chunkBytes) yield encode(Math.min(chunkBytes, left))
}

/** @returns a text many times, in parts of about the size of a chunk. */
export function * repeated (text: string, times: number): Iterable<Buffer> {
  const inPart = Math.max(1, Math.floor(CHUNK_BYTES / text.length))
  const part = Buffer.from(text.repeat(inPart))
  for (let left = times; left > 0; left -= inPart) yield left >= inPart ? part : part.subarray(0, left * text.length)
}

/** What a crowd has done to a process. */
export interface CrowdOutcome {
  isServedBeside: boolean
  isServedAfter: boolean
  /** How the process has ended; undefined if it runs. */
  end: string | undefined
  peaks: Peaks
}

/**
 * Brings a crowd before a process.
 * @param isServed whether an ordinary caller is served at present.
 */
export async function playCrowd (
  watched: WatchedProcess, address: string, clients: number, conduct: Conduct, isServed: () => Promise<boolean>
): Promise<CrowdOutcome> {
  const crowd = await openCrowd(address, clients, conduct)
  const isServedBeside = watched.end() === undefined && await isServed()
  crowd.leave()
  const isServedAfter = watched.end() === undefined && await isServed()
  return { isServedBeside, isServedAfter, end: watched.end(), peaks: watched.peaks() }
}

const CALL_TIMEOUT_MILLISECONDS = 1000
const ORDINARY_TRIES = 40
const RETRY_MILLISECONDS = 200

/** Whether an ordinary caller gets an answer of status 200. It comes back after a refusal, a closed connection or a time-out. */
export async function isServed (url: string, options: RequestOptions, body = ''): Promise<boolean> {
  for (let tries = 0; tries < ORDINARY_TRIES; tries++) {
    if (await sendOnce(url, options, body) === 200) return true
    await new Promise(resolve => { setTimeout(resolve, RETRY_MILLISECONDS) })
  }
  return false
}

function sendOnce (url: string, options: RequestOptions, body: string): Promise<number | undefined> {
  return new Promise(resolve => {
    const outgoing = request(url, { ...options, agent: false, timeout: CALL_TIMEOUT_MILLISECONDS }, incoming => {
      incoming.resume()
      incoming.on('close', () => resolve(incoming.complete ? incoming.statusCode : undefined))
    })
    outgoing.on('timeout', () => { outgoing.destroy() })
    outgoing.on('error', () => resolve(undefined))
    outgoing.end(body)
  })
}
