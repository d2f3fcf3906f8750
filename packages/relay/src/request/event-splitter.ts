/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded.
 */

/** One complete event. */
export interface StreamEvent {
  bytes: Buffer
  /** Absent where the event has no `id` line. */
  id?: number
  /** Whether it consists of comments only, which carry nothing of the answer. */
  isComment: boolean
}

/** Splits bytes into events as they arrive. */
export interface EventSplitter {
  /** @returns the events that the chunk completes. */
  push: (chunk: Buffer) => StreamEvent[]
  /** Whether an incomplete event is buffered. */
  hasRemainder: () => boolean
}

const EVENT_END = Buffer.from('\n\n')
const EVENT_END_WITH_RETURNS = Buffer.from('\r\n\r\n')
const COMMENT_LINES = /^(?::[^\n]*\n)*\r?\n$/
const ID_LINE = /^id: ?(\d+)\r?$/m
/** Size limit of one event; engines send no longer ones. */
const EVENT_BYTES_LIMIT = 1_048_576

/**
 * Creates a splitter. Its `push` throws a `RangeError` where an event exceeds the size limit.
 */
export function createEventSplitter (): EventSplitter {
  let buffered: Buffer = Buffer.alloc(0)
  return {
    push (chunk) {
      buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk])
      const events: StreamEvent[] = []
      for (let end = findEventEnd(buffered); end !== -1; end = findEventEnd(buffered)) {
        const bytes = buffered.subarray(0, end)
        const text = bytes.toString('latin1')
        const id = ID_LINE.exec(text)?.[1]
        events.push({ bytes, id: id === undefined ? undefined : Number(id), isComment: COMMENT_LINES.test(text) })
        buffered = buffered.subarray(end)
      }
      if (buffered.length > EVENT_BYTES_LIMIT) throw new RangeError('an event exceeds the size limit')
      return events
    },
    hasRemainder: () => buffered.length > 0
  }
}

function findEventEnd (bytes: Buffer): number {
  const plain = bytes.indexOf(EVENT_END)
  const withReturns = bytes.indexOf(EVENT_END_WITH_RETURNS)
  if (plain === -1 && withReturns === -1) return -1
  if (withReturns === -1 || (plain !== -1 && plain < withReturns)) return plain + EVENT_END.length
  return withReturns + EVENT_END_WITH_RETURNS.length
}
