/**
 * Reads an HTTP answer line by line; lines that arrive together are returned together.
 */
import type { IncomingMessage } from 'node:http'
import { followBody } from './follow-body.js'
import { createPendingBytes } from './pending-bytes.js'
import { NO_MEMORY, type OpenHolding } from './read-body.js'

/** Reads the lines of one answer. */
export interface LineReader {
  /**
   * Waits for at least one line.
   * @returns the lines received since the last call, or undefined after the end of the answer.
   * @throws the error that broke the connection.
   */
  next: () => Promise<string[] | undefined>
}

const LINE_FEED = 0x0a

/**
 * Creates a reader of an answer's lines. The answer is paused while received lines have not been read.
 * @param maximumBytes maximum length of a line; a longer one breaks the connection.
 * @param openHolding opens the holding in which an incomplete line counts; without it, the memory is not bounded.
 */
export function createLineReader (response: IncomingMessage, maximumBytes: number, openHolding?: OpenHolding): LineReader {
  const holding = openHolding?.(() => response.destroy(new Error(NO_MEMORY)))
  const pending = createPendingBytes(maximumBytes, holding)
  let lines: string[] = []
  let isEnded = false
  let connectionError: Error | undefined
  let wake: (() => void) | undefined

  function wakeReader (): void {
    wake?.()
    wake = undefined
  }

  function addLine (bytes: Buffer): void {
    const line = bytes.toString()
    if (line.trim() !== '') lines.push(line)
  }

  /** Adds the lines that a chunk completes, and keeps the rest. */
  function addLines (chunk: Buffer): void {
    const scanFrom = pending.length()
    const bytes = pending.append(chunk)
    let lineStart = 0
    for (let end = bytes.indexOf(LINE_FEED, scanFrom); end >= 0; end = bytes.indexOf(LINE_FEED, lineStart)) {
      addLine(bytes.subarray(lineStart, end))
      lineStart = end + 1
    }
    pending.dropBefore(lineStart)
    if (pending.length() > maximumBytes) throw new RangeError(`a line is over ${maximumBytes} bytes`)
  }

  function onData (chunk: Buffer): void {
    try {
      addLines(chunk)
    } catch (error) {
      response.destroy(error as Error)
    }
    if (lines.length === 0) return
    if (wake === undefined) response.pause()
    wakeReader()
  }

  followBody(response, {
    onData,
    onEnd (error) {
      if (error === undefined && pending.length() > 0) addLine(pending.rest())
      holding?.clear()
      isEnded = true
      connectionError = error
      wakeReader()
    }
  })

  function takeLines (): string[] {
    const taken = lines
    lines = []
    if (response.isPaused()) response.resume()
    return taken
  }

  return {
    async next () {
      if (lines.length === 0 && !isEnded) await new Promise<void>(resolve => { wake = resolve })
      if (lines.length > 0) return takeLines()
      if (connectionError !== undefined) throw connectionError
      return undefined
    }
  }
}
