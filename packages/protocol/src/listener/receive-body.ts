/**
 * Receives the body of an HTTP message up to a size limit, at the cost of about its size in memory, however it is cut into chunks.
 */
import type { IncomingMessage } from 'node:http'
import { followBody } from '../platform/follow-body.js'

/** How the receipt of a body has ended. */
export enum BodyResult {
  Complete = 'complete',
  TooLarge = 'too-large',
  /** The memory for clients does not suffice. */
  NoMemory = 'no-memory',
  /** The body has made no progress for too long. */
  TooSlow = 'too-slow'
}

/** Why a body was not received. */
export type BodyFault = Exclude<BodyResult, BodyResult.Complete>

/** The outcome of a receipt. After a fault the rest of the body is left unread. */
export type ReceivedBody = { result: BodyResult.Complete, body: Buffer } | { result: BodyFault }

/** Terms of a receipt that others may bound. */
export interface ReceiptTerms {
  /** Called before memory is taken, with its bytes; returns whether it may be taken. */
  hold: (bytes: number) => boolean
  /** Called at the start with a function that ends the receipt. */
  onStart?: (end: (fault: BodyFault) => void) => void
}

const SMALLEST_BUFFER_BYTES = 4096
const EMPTY = Buffer.alloc(0)

/**
 * Receives the body of a message.
 * @throws the error that broke the connection before the whole body arrived.
 */
export function receiveBody (
  message: IncomingMessage, maximumBytes: number, { hold, onStart }: ReceiptTerms = { hold: () => true }
): Promise<ReceivedBody> {
  const declared = Number(message.headers['content-length'] ?? 0)
  if (declared > maximumBytes) return Promise.resolve({ result: BodyResult.TooLarge })
  return new Promise((resolve, reject) => {
    let buffer: Buffer = EMPTY
    let bytes = 0

    function fail (result: BodyFault): void {
      stopFollowing()
      buffer = EMPTY
      resolve({ result })
    }

    /** Makes room for a chunk. A buffer at least doubles, so that short chunks seldom make it grow. */
    function reserve (length: number): boolean {
      if (bytes + length <= buffer.length) return true
      const doubled = Math.min(Math.max(2 * buffer.length, SMALLEST_BUFFER_BYTES), declared > 0 ? declared : maximumBytes)
      const capacity = Math.max(bytes + length, doubled)
      if (!hold(capacity - buffer.length)) return false
      const grown = Buffer.allocUnsafeSlow(capacity)
      buffer.copy(grown, 0, 0, bytes)
      buffer = grown
      return true
    }

    function onData (chunk: Buffer): void {
      if (bytes + chunk.length > maximumBytes) return fail(BodyResult.TooLarge)
      if (bytes === 0 && chunk.length === declared) {
        // The whole body in one piece needs no copy.
        if (!hold(declared)) return fail(BodyResult.NoMemory)
        buffer = chunk
      } else {
        if (!reserve(chunk.length)) return fail(BodyResult.NoMemory)
        chunk.copy(buffer, bytes)
      }
      bytes += chunk.length
    }

    function onEnd (error?: Error): void {
      if (error !== undefined) return reject(error)
      resolve({ result: BodyResult.Complete, body: buffer.subarray(0, bytes) })
    }

    const stopFollowing = followBody(message, { onData, onEnd })
    onStart?.(fail)
  })
}
