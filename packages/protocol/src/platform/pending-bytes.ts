/**
 * Keeps the start of a message part until the rest of it arrives.
 */
import type { Holding } from '../listener/memory-budget.js'
import { NO_MEMORY } from './read-body.js'

/** The memory that pending bytes take. */
export type PendingMemory = Pick<Holding, 'add' | 'clear'>

/** Bytes that arrive in chunks and are used up from the front. */
export interface PendingBytes {
  length: () => number
  /** @returns what is kept. */
  rest: () => Buffer
  /** @returns all bytes that are held, which stay as they are until the next call. */
  append: (chunk: Buffer) => Buffer
  /** Drops the first bytes, and keeps the rest until more arrives. Buffers that were returned before keep their content. */
  dropBefore: (offset: number) => void
}

const EMPTY: Buffer = Buffer.alloc(0)

const UNBOUNDED_MEMORY: PendingMemory = { add: () => true, clear () {} }

/**
 * Holds bytes in a buffer that doubles, so that each byte is copied a few times at most. What is kept between chunks counts as held.
 * `append` and `dropBefore` throw an `Error` where the memory does not suffice.
 * @param limitBytes up to this length the buffer grows ahead of what arrives.
 * @param memory by default, it is not bounded.
 */
export function createPendingBytes (limitBytes: number, memory: PendingMemory = UNBOUNDED_MEMORY): PendingBytes {
  let buffer: Buffer = EMPTY
  let length = 0
  let heldBytes = 0

  function hold (bytes: number): void {
    if (bytes <= heldBytes) return
    if (!memory.add(bytes - heldBytes)) throw new Error(NO_MEMORY)
    heldBytes = bytes
  }

  function release (): void {
    if (heldBytes > 0) memory.clear()
    heldBytes = 0
  }

  return {
    length: () => length,
    rest: () => buffer.subarray(0, length),
    append (chunk) {
      if (length === 0) {
        buffer = chunk
        length = chunk.length
        return chunk
      }
      const needed = length + chunk.length
      if (needed > buffer.length) {
        const capacity = Math.max(needed, Math.min(2 * needed, limitBytes))
        hold(capacity)
        const larger = Buffer.allocUnsafeSlow(capacity)
        buffer.copy(larger, 0, 0, length)
        buffer = larger
      }
      chunk.copy(buffer, length)
      length = needed
      return buffer.subarray(0, length)
    },
    dropBefore (offset) {
      if (offset > 0) {
        release()
        buffer = offset === length ? EMPTY : Buffer.from(buffer.subarray(offset, length))
        length = buffer.length
      }
      if (length === 0) return
      // A short chunk may be a view of a long read, all of which it would keep.
      if (heldBytes === 0 && buffer.buffer.byteLength > 2 * length) buffer = Buffer.from(buffer.subarray(0, length))
      hold(buffer.length)
    }
  }
}
