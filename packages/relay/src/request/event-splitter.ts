/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded. The work grows with the number of
 * bytes, however they are cut into events, lines and chunks.
 */

import { createPendingBytes, type PendingMemory } from '@wigeonlead/protocol'

/** One complete event, or several in a row that have no `id` line and are alike in `isComment`. */
export interface StreamEvent {
  bytes: Buffer
  /** Absent where the event has no `id` line. */
  id?: number
  /** Whether it consists of comments and empty lines only, which carry nothing of the answer. */
  isComment: boolean
}

/** Splits bytes into events as they arrive. */
export interface EventSplitter {
  /** @returns the events that the chunk completes. */
  push: (chunk: Buffer) => StreamEvent[]
  /** Whether an incomplete event is buffered. */
  hasRemainder: () => boolean
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const COLON = 0x3a
const ID_LINE = /^id: ?(\d+)$/
/** Maximum length of an `id` line; a longer one holds no number of an event. */
const ID_LINE_BYTES_LIMIT = 32
/** Size limit of one event together with the comments before it; engines send no longer ones. */
const EVENT_BYTES_LIMIT = 1_048_576

/** The present event, as far as it has been read. */
interface PresentEvent {
  /** Offset of its present line from its first byte. */
  lineStart: number
  /** Whether it has a line that is no comment. */
  hasField: boolean
  id?: number
}

/**
 * Creates a splitter. Its `push` throws a `RangeError` where an event, or the comments before it, exceed the size limit, and an `Error`
 * where the memory for an incomplete event does not suffice.
 * @param memory by default, it is not bounded.
 */
export function createEventSplitter (memory?: PendingMemory): EventSplitter {
  const pending = createPendingBytes(EVENT_BYTES_LIMIT, memory)
  let event: PresentEvent = { lineStart: 0, hasField: false }
  let commentBytes = 0

  /** Takes note of a line, without its end. @returns whether it ends the event. */
  function readLine (bytes: Buffer, start: number, end: number): boolean {
    const textEnd = end > start && bytes[end - 1] === CARRIAGE_RETURN ? end - 1 : end
    if (textEnd === start) return true
    if (bytes[start] === COLON) return false
    event.hasField = true
    if (event.id === undefined && textEnd - start <= ID_LINE_BYTES_LIMIT) {
      const id = ID_LINE.exec(bytes.toString('latin1', start, textEnd))?.[1]
      if (id !== undefined) event.id = Number(id)
    }
    return false
  }

  return {
    push (chunk) {
      const events: StreamEvent[] = []
      const scanFrom = pending.length()
      const bytes = pending.append(chunk)
      let eventStart = 0
      for (let index = scanFrom; index < bytes.length; index++) {
        if (bytes[index] !== LINE_FEED) continue
        const endsEvent = readLine(bytes, eventStart + event.lineStart, index)
        event.lineStart = index + 1 - eventStart
        if (!endsEvent) continue
        commentBytes = event.hasField ? 0 : commentBytes + event.lineStart
        addEvent(events, bytes, eventStart, index + 1, event)
        eventStart = index + 1
        event = { lineStart: 0, hasField: false }
      }
      pending.dropBefore(eventStart)
      if (pending.length() + commentBytes > EVENT_BYTES_LIMIT) throw new RangeError('an event exceeds the size limit')
      return events
    },
    hasRemainder: () => pending.length() > 0
  }
}

/** Adds a complete event, or extends the last one by it. All events of one call are parts of the same bytes. */
function addEvent (events: StreamEvent[], bytes: Buffer, start: number, end: number, { hasField, id }: PresentEvent): void {
  const last = events.at(-1)
  if (last !== undefined && id === undefined && last.id === undefined && last.isComment === !hasField) {
    last.bytes = bytes.subarray(start - last.bytes.length, end)
  } else {
    events.push({ bytes: bytes.subarray(start, end), id, isComment: !hasField })
  }
}
