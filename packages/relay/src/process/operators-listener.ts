/**
 * The listener for operators: metrics, and the quarantine of prompt parts.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Metrics } from 'wigeonlead'
import type { PromptQuarantine } from './prompt-quarantine.js'

/** What operators may read and change. */
export interface OperatorsView {
  metrics: Metrics
  promptQuarantine: PromptQuarantine
}

type Handler = (view: OperatorsView, query: URLSearchParams, response: ServerResponse) => void

/** Handlers by method and path; any other request gets the metrics. */
const HANDLERS: Record<string, Handler> = {
  'GET /prompt-parts': ({ promptQuarantine }, _query, response) => sendJson(response, 200, promptQuarantine.list()),
  'POST /prompt-parts/lift': ({ promptQuarantine }, query, response) => {
    const [service, part] = [query.get('service'), query.get('part')]
    if (service === null || part === null) return sendJson(response, 400, { detail: 'found no service or no part in the query' })
    if (!promptQuarantine.lift(service, part)) return sendJson(response, 404, { detail: `there is no evidence against part ${part} of ${service}` })
    sendJson(response, 200, { service, part })
  }
}

/** Creates the listener. It must only be reachable for operators. */
export function createOperatorsListener (view: OperatorsView): Server {
  return createServer((incoming: IncomingMessage, response) => {
    const [path, query] = (incoming.url ?? '').split('?', 2)
    const handler = HANDLERS[`${incoming.method} ${path}`]
    if (handler !== undefined) return handler(view, new URLSearchParams(query), response)
    response.setHeader('Content-Type', 'text/plain; version=0.0.4')
    response.end(view.metrics.render())
  })
}

function sendJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'Content-Type': 'application/json' })
  response.end(JSON.stringify(value))
}
