/**
 * Reads an HTTP answer line by line; lines that arrive together are returned together.
 */
import type { IncomingMessage } from 'node:http'
import { followBody } from './follow-body.js'

/** Reads the lines of one answer. */
export interface LineReader {
  /**
   * Waits for at least one line.
   * @returns the lines received since the last call, or undefined after the end of the answer.
   * @throws the error that broke the connection.
   */
  next: () => Promise<string[] | undefined>
}

/**
 * Creates a reader of an answer's lines. The answer is paused while received lines have not been read.
 * @param maximumCharacters maximum length of a line; a longer one breaks the connection.
 */
export function createLineReader (response: IncomingMessage, maximumCharacters: number): LineReader {
  let lines: string[] = []
  let partialLine = ''
  let isEnded = false
  let connectionError: Error | undefined
  let wake: (() => void) | undefined

  function wakeReader (): void {
    wake?.()
    wake = undefined
  }

  function onData (chunk: string): void {
    const pieces = (partialLine + chunk).split('\n')
    partialLine = pieces.pop() ?? ''
    if (partialLine.length > maximumCharacters) response.destroy(new Error(`a line is over ${maximumCharacters} characters`))
    for (const piece of pieces) if (piece.trim() !== '') lines.push(piece)
    if (lines.length === 0) return
    if (wake === undefined) response.pause()
    wakeReader()
  }

  response.setEncoding('utf8')
  followBody<string>(response, {
    onData,
    onEnd (error) {
      if (error === undefined && partialLine.trim() !== '') lines.push(partialLine)
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
