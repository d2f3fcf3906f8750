/**
 * Follows the body of a received HTTP message to its end.
 */
import type { IncomingMessage } from 'node:http'

/** What is done with a body. */
export interface BodyHandlers<Chunk> {
  onData: (chunk: Chunk) => void
  /**
   * Called exactly once, with why the body is not complete; without an error once all of a complete body has been passed to `onData`.
   */
  onEnd: (error?: Error) => void
}

/**
 * Follows a body. A message is usually followed some microtasks after its head was received. By then it may have ended for good, because
 * the parser can report the head and a fault of the body in one turn; its events have then been emitted already.
 * @returns a function that ends the following; no handler is called afterwards.
 */
export function followBody<Chunk = Buffer> (message: IncomingMessage, { onData, onEnd }: BodyHandlers<Chunk>): () => void {
  if (isOver(message)) {
    onEnd(causeOf(message))
    return () => {}
  }

  function stop (): void {
    message.off('data', onData)
    message.off('end', finish)
    message.off('close', finish)
  }

  function finish (): void {
    // Where a request is destroyed, Node.js takes the listeners from its answer and lets the unread rest run out, up to a regular end.
    const wasGivenUp = !message.listeners('data').includes(onData)
    stop()
    // A destroyed message may still emit 'end'.
    const isComplete = message.readableEnded && message.complete && message.errored === null && !wasGivenUp
    onEnd(isComplete ? undefined : causeOf(message))
  }

  message.on('end', finish)
  message.on('close', finish)
  // An error is told by 'close' too.
  message.on('error', () => {})
  message.on('data', onData)
  return stop
}

/** Whether a message emits nothing any more, or was read by someone else. */
function isOver (message: IncomingMessage): boolean {
  return message.destroyed || message.readableEnded
}

function causeOf (message: IncomingMessage): Error {
  return message.errored ?? new Error('the body ended early')
}
