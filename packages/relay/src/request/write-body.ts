/**
 * Writes an answer with one body to the caller.
 */
import type { IncomingMessage } from 'node:http'
import { NO_MEMORY } from '@wigeonlead/protocol'
import type { AdmittedRequest, RequestDependencies } from './context.js'

/** Statuses whose answers have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

/**
 * Counts a body that has been received as bytes that are held for its caller.
 * @throws if the memory for clients does not suffice.
 */
export function holdForCaller ({ exchange }: AdmittedRequest, body: Buffer): void {
  if (exchange.holdAnswer?.(body.buffer.byteLength) === false) throw new Error(NO_MEMORY)
}

/** Writes the status, the headers except the hop-by-hop ones, and the whole body of an answer, and ends the exchange. */
export function writeBody (
  { exchange }: AdmittedRequest, { dialect }: Pick<RequestDependencies, 'dialect'>, answer: IncomingMessage, body: Buffer
): void {
  const status = answer.statusCode ?? 502
  const headers = dialect.answerHeaders(answer.rawHeaders)
  if (!BODILESS_STATUSES.has(status)) headers.push('Content-Length', String(body.length))
  if (exchange.response.hasHeader('Connection')) headers.push('Connection', 'close')
  exchange.response.writeHead(status, headers as unknown as Record<string, string>)
  exchange.response.end(body)
}
