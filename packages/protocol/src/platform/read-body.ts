/**
 * Reads the whole body of an HTTP message within a limit.
 */
import type { IncomingMessage } from 'node:http'

/**
 * Reads the body of a request.
 * @returns the body, or undefined once it is over the limit; the connection stays open for an answer then.
 * @throws what broke the connection before the body was whole.
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
 * Reads the body of an answer, whose connection is closed where the body is over the limit.
 * @throws where it is over the limit or ended early.
 */
export async function readAnswer (message: IncomingMessage, maximumBytes: number): Promise<Buffer> {
  const body = await readBody(message, maximumBytes)
  if (body !== undefined) return body
  message.destroy()
  throw new Error(`the answer is over ${maximumBytes} bytes`)
}
