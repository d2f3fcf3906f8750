/**
 * Reads the lines of an HTTP answer, several at a time where they came together.
 */
import type { IncomingMessage } from 'node:http'

/** The lines of one answer. */
export interface LineReader {
  /**
   * @returns the lines that have come since the last call, at least one, or undefined after the answer's end.
   * @throws what broke the connection.
   */
  next: () => Promise<string[] | undefined>
}

/**
 * Makes a reader of an answer's lines. The answer is paused while lines wait to be read.
 * @param maximumCharacters longest line that is taken.
 */
export function createLineReader (response: IncomingMessage, maximumCharacters: number): LineReader {
  let lines: string[] = []
  let partial = ''
  let isEnded = false
  let broken: Error | undefined
  let wake: (() => void) | undefined

  function settle (): void {
    wake?.()
    wake = undefined
  }

  function end (error?: Error): void {
    isEnded = true
    broken ??= error
    settle()
  }

  response.setEncoding('utf8')
  response.on('data', (chunk: string) => {
    const pieces = (partial + chunk).split('\n')
    partial = pieces.pop() ?? ''
    if (partial.length > maximumCharacters) response.destroy(new Error(`a line is over ${maximumCharacters} characters`))
    for (const piece of pieces) if (piece.trim() !== '') lines.push(piece)
    if (lines.length === 0) return
    if (wake === undefined) response.pause()
    settle()
  })
  response.on('end', () => {
    if (partial.trim() !== '') lines.push(partial)
    end()
  })
  response.on('error', end)
  response.on('close', () => end(response.complete ? undefined : new Error('the connection closed')))

  function take (): string[] {
    const taken = lines
    lines = []
    if (response.isPaused()) response.resume()
    return taken
  }

  return {
    async next () {
      if (lines.length === 0 && !isEnded) await new Promise<void>(resolve => { wake = resolve })
      if (lines.length > 0) return take()
      if (broken !== undefined) throw broken
      return undefined
    }
  }
}
