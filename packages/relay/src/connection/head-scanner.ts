/**
 * Checks how the lines of an answer's head end. Node.js takes a single LF, or CR CR, for the end of a line or of the head, so a head that
 * broke off before such bytes would pass for a complete one without its last headers.
 */
import type { Socket } from 'node:net'

/** Watches the head of one answer. */
export interface HeadScanner {
  /** Whether a line of the head did not end with CR LF. */
  isMalformed: () => boolean
  /** Stops watching. */
  stop: () => void
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const INFORMATIONAL_STATUS_LINE = /^HTTP\/\d\.\d 1\d\d/
const STATUS_LINE_CHARACTERS = 12

/** Starts to watch a connection before the next answer arrives on it; watching ends with the head of that answer. */
export function scanHead (socket: Socket): HeadScanner {
  let isMalformed = false
  let isStopped = false
  let statusLine = ''
  let lineBytes = 0
  let previous = -1

  function readByte (byte: number): void {
    const isAfterReturn = previous === CARRIAGE_RETURN
    previous = byte
    if (isAfterReturn !== (byte === LINE_FEED)) {
      isMalformed = true
      return stop()
    }
    if (byte === CARRIAGE_RETURN) return
    if (byte !== LINE_FEED) {
      lineBytes += 1
      if (statusLine.length < STATUS_LINE_CHARACTERS) statusLine += String.fromCharCode(byte)
      return
    }
    // An informational answer is followed by the head of another one.
    if (lineBytes === 0 && statusLine !== '' && !INFORMATIONAL_STATUS_LINE.test(statusLine)) return stop()
    if (lineBytes === 0) statusLine = ''
    lineBytes = 0
  }

  function read (chunk: Buffer): void {
    for (const byte of chunk) {
      if (isStopped) return
      readByte(byte)
    }
  }

  function stop (): void {
    isStopped = true
    socket.removeListener('data', read)
  }

  // The parser of Node.js reads the same chunk after this listener.
  socket.prependListener('data', read)
  return { isMalformed: () => isMalformed, stop }
}
