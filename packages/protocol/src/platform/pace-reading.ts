/**
 * Paces what a connection to another process reads: a long read goes to its parser in parts, between which other connections have their
 * turn.
 */
import type { Readable } from 'node:stream'
import { createReadingTurns, type ReadingTurns } from '../listener/reading-turns.js'

/** Longest part, bytes. Usual reads are shorter, and go to the parser at once. */
const PART_BYTES = 4096
/** All connections of a process share its event loop. */
const PROCESS_TURNS = createReadingTurns(begin => { setImmediate(begin) }, { partsPerTurn: 1 })
const paced = new WeakSet<Readable>()

/** Paces a connection from now on, in the order of its bytes and up to its end. What waits is dropped if the connection is destroyed. */
export function paceReading (socket: Readable, turns: ReadingTurns = PROCESS_TURNS): void {
  if (paced.has(socket)) return
  paced.add(socket)
  const push = socket.push.bind(socket)
  const read = socket._read.bind(socket)
  let rest: Buffer | undefined
  let isEnded = false
  let isReadWanted = false
  const reader = { readOn: pushPart }

  function pushPart (): void {
    if (rest === undefined || socket.destroyed) return
    const part = rest.subarray(0, PART_BYTES)
    rest = part.length < rest.length ? rest.subarray(PART_BYTES) : undefined
    push(part)
    if (rest !== undefined) {
      if (turns.mayReadOn(reader)) pushPart()
    } else if (isEnded) {
      push(null)
    } else if (isReadWanted) {
      isReadWanted = false
      read(0)
    }
  }

  socket.push = (chunk: Buffer | null, encoding?: BufferEncoding) => {
    if (rest !== undefined) {
      if (chunk === null) isEnded = true
      else rest = Buffer.concat([rest, chunk])
      return false
    }
    if (chunk === null || chunk.length <= PART_BYTES) return push(chunk, encoding)
    rest = chunk
    pushPart()
    // The connection reads no more until it is asked to.
    return false
  }
  socket._read = size => {
    if (rest === undefined) read(size)
    else isReadWanted = true
  }
}
