/**
 * Reads the whole body of an HTTP message up to a size limit.
 */
import type { IncomingMessage } from 'node:http'

/**
 * Reads the body of a request.
 * @returns the body, or undefined if it exceeds the limit; the connection then stays open so that an answer can be sent.
 * @throws the error that broke the connection before the whole body arrived.
 */
export async function readBody (message: IncomingMessage, maximumBytes: number): Promise<Buffer | undefined> {
  if (Number(message.headers['content-length'] ?? 0) > maximumBytes) return undefined
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of message.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > maximumBytes) return undefined
    chunks.push(chunk)
  }
  if (!message.complete) throw new Error('the body ended early')
  return Buffer.concat(chunks)
}

/**
 * Reads the body of an answer. If the body exceeds the limit, the connection is closed.
 * @throws if the body exceeds the limit or ends early.
 */
export async function readAnswer (message: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  const body = await readBody(message, maximumBytes)
  if (body !== undefined) return body
  message.destroy()
  throw new Error(`the answer is over ${maximumBytes} bytes`)
}
