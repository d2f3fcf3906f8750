/**
 * Sends HTTP requests of tests with Node's `http` module and reads the whole response.
 *
 * `fetch` is not used because it keeps timers on each connection. If a connection ends while a test has paused the clock, `fetch` cannot
 * clear them, and they later end the process that runs the tests.
 */
import { Agent, request, type IncomingMessage } from 'node:http'
import { readAnswer } from '@wigeonlead/protocol'

/** Options of a request. */
export interface AskOptions {
  method?: string
  headers?: Record<string, string>
  body?: string | Uint8Array
}

const KEEP_ALIVE_AGENT = new Agent({ keepAlive: true })
const ANSWER_BYTES_LIMIT = 16_777_216

/** @returns the whole response; rejects if the connection breaks before its end. */
export async function ask (url: string, { method = 'GET', headers, body }: AskOptions = {}): Promise<Response> {
  const incoming = await new Promise<IncomingMessage>((resolve, reject) => {
    const outgoing = request(url, { method, headers, agent: KEEP_ALIVE_AGENT })
    outgoing.on('response', resolve)
    outgoing.on('error', reject)
    outgoing.end(body)
  })
  const content = await readAnswer(incoming, ANSWER_BYTES_LIMIT)
  const pairs = Object.entries(incoming.headers).map(([name, value]): [string, string] => [name, String(value)])
  return new Response(content.length === 0 ? null : new Uint8Array(content), { status: incoming.statusCode, headers: pairs })
}
