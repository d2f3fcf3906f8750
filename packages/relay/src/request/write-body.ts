/**
 * Writes an answer with one body to the caller.
 */
import type { IncomingMessage } from 'node:http'
import type { AdmittedRequest, RequestDependencies } from './context.js'

/** Statuses whose answers have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

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
