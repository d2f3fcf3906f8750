/**
 * Reads the whole body of an HTTP message up to a size limit.
 */
import type { IncomingMessage } from 'node:http'
import type { Holding } from '../listener/memory-budget.js'
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

/** Opens a holding of the memory for answers. `onEvicted` is called where the answer must be given up. */
export type OpenHolding = (onEvicted: () => void) => Holding

/**
 * Reads the body of an answer. If the body exceeds the limit, the connection is closed.
 * @param openHolding opens the holding in which the body counts until it is complete; without it, the memory is not bounded.
 * @throws if the body exceeds the limit or the memory, or ends early.
 */
export async function readAnswer (message: IncomingMessage, maximumBytes: number, openHolding?: OpenHolding): Promise<Buffer> {
  let giveUp = (): void => {}
  const holding = openHolding?.(() => giveUp())
  try {
    const received = await receiveBody(message, maximumBytes, {
      hold: bytes => holding?.add(bytes) ?? true,
      onStart (end) { giveUp = () => end(BodyResult.NoMemory) }
    })
    if (received.result === BodyResult.Complete) return received.body
    message.destroy()
    throw new Error(received.result === BodyResult.NoMemory ? NO_MEMORY : `the answer is over ${maximumBytes} bytes`)
  } finally {
    holding?.clear()
  }
}

/** Why an answer was given up that the memory does not suffice for. */
export const NO_MEMORY = 'no memory for the answer'
