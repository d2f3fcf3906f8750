/**
 * Reads the whole body of an HTTP message up to a size limit.
 */
import type { IncomingMessage } from 'node:http'
import { BodyResult, receiveBody } from '../listener/receive-body.js'

/**
 * Reads the body of a request.
 * @returns the body, or undefined if it exceeds the limit; the connection then stays open so that an answer can be sent.
 * @throws the error that broke the connection before the whole body arrived.
 */
export async function readBody (message: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> {
  const received = await receiveBody(message, maximumBytes)
  return received.result === BodyResult.Complete ? received.body : undefined
}

/**
 * Reads the body of an answer. If the body exceeds the limit, the connection is closed.
 * @param hold called before memory is taken, with its bytes; returns whether it may be taken.
 * @throws if the body exceeds the limit or the memory, or ends early.
 */
export async function readAnswer (message: IncomingMessage, maximumBytes: number, hold?: (bytes: number) => boolean): Promise<Buffer> {
  const received = await receiveBody(message, maximumBytes, hold === undefined ? undefined : { hold })
  if (received.result === BodyResult.Complete) return received.body
  message.destroy()
  throw new Error(received.result === BodyResult.NoMemory ? 'no memory for the answer' : `the answer is over ${maximumBytes} bytes`)
}
