/**
 * The listener for operators: metrics, the quarantine of parts of prompts and of requests, the shares of the failure domains, and
 * where a request would go.
 */
import { createServer, type Server, type ServerResponse } from 'node:http'
import { BODILESS_LIMITS, GUARDED_SERVER_OPTIONS, createClientGuard } from '@wigeonlead/protocol'
import type { Metrics } from 'wigeonlead'
import { readRouteQuestion, type RouteExplanation, type RouteFault, type RouteQuestion } from '../request/explain-route.js'
import { SubjectKind } from './suspicion/content-evidence.js'
import type { ContentQuarantine } from './suspicion/content-quarantine.js'
import type { DomainShares } from './routing/domain-share.js'

/** What operators may read and change. */
export interface OperatorsView {
  metrics: Metrics
  contentQuarantine: ContentQuarantine
  /** Absent where a process shares nothing out. */
  domainShares?: Pick<DomainShares, 'report'>
  /** Absent where a process relays nothing. */
  explainRoute?: (question: RouteQuestion) => RouteExplanation | RouteFault
}

type Handler = (view: OperatorsView, query: URLSearchParams, response: ServerResponse) => void

/** Handlers by method and path; any other request gets the metrics. */
const HANDLERS: Record<string, Handler> = {
  'GET /domains': ({ domainShares }, _query, response) => sendJson(response, 200, domainShares?.report() ?? []),
  'GET /route': ({ explainRoute }, query, response) => {
    if (explainRoute === undefined) return sendJson(response, 404, { detail: 'this process relays nothing' })
    const question = readRouteQuestion(query)
    const answer = 'status' in question ? question : explainRoute(question)
    if ('status' in answer) return sendJson(response, answer.status, { detail: answer.detail })
    sendJson(response, 200, answer)
  },
  'GET /quarantine': ({ contentQuarantine }, _query, response) => sendJson(response, 200, contentQuarantine.list()),
  'POST /quarantine/lift': ({ contentQuarantine }, query, response) => {
    const [service, subject] = [query.get('service'), query.get('subject')]
    if (service === null || subject === null) return sendJson(response, 400, { detail: 'found no service or no subject in the query' })
    const lifted = Object.values(SubjectKind).filter(kind => contentQuarantine.lift(kind, service, subject))
    if (lifted.length === 0) return sendJson(response, 404, { detail: `there is no evidence against ${subject} of ${service}` })
    sendJson(response, 200, { service, subject })
  }
}

/**
 * Creates the listener. It must only be reachable for operators.
 * @param guard the guard of the process; by default, one of this listener.
 */
export function createOperatorsListener (view: OperatorsView, guard = createClientGuard()): Server {
  const server = createServer({ ...GUARDED_SERVER_OPTIONS })
  guard.protect(server, () => BODILESS_LIMITS, (incoming, response) => {
    const [path, query] = (incoming.url ?? '').split('?', 2)
    const handler = HANDLERS[`${incoming.method} ${path}`]
    if (handler !== undefined) return handler(view, new URLSearchParams(query), response)
    response.setHeader('Content-Type', 'text/plain; version=0.0.4')
    response.end(view.metrics.render())
  })
  return server
}

function sendJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'Content-Type': 'application/json' })
  response.end(JSON.stringify(value))
}
