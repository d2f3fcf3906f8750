/**
 * The operators' listener: liveness and readiness for the platform, metrics and status for who shows a token.
 */
import { createHash } from 'node:crypto'
import { createServer, type Server } from 'node:http'
import type { BurnReport, NodeStatus } from '@wigeonlead/protocol'

/** What the operators' listener shows. */
export interface OperatorViews {
  isReady: () => boolean
  renderMetrics: () => string
  status: () => NodeStatus
  burn: () => BurnReport
}

type View = (views: OperatorViews) => { status: number, type: string, body: string }

const OPEN_VIEWS: Record<string, View> = {
  '/livez': () => ({ status: 200, type: 'text/plain', body: 'live\n' }),
  '/readyz': views => views.isReady()
    ? { status: 200, type: 'text/plain', body: 'ready\n' }
    : { status: 503, type: 'text/plain', body: 'not ready\n' }
}

const GUARDED_VIEWS: Record<string, View> = {
  '/metrics': views => ({ status: 200, type: 'text/plain; version=0.0.4', body: views.renderMetrics() }),
  '/status': views => ({ status: 200, type: 'application/json', body: JSON.stringify({ ...views.status(), isReady: views.isReady() }) }),
  '/burn': views => ({ status: 200, type: 'application/json', body: JSON.stringify(views.burn()) })
}

/**
 * Makes the operators' listener, not yet listening.
 * @param tokenDigests SHA-256 digests of the accepted bearer tokens, lower-case hexadecimal.
 */
export function createOperatorListener (tokenDigests: string[], views: OperatorViews): Server {
  return createServer((request, response) => {
    const path = (request.url ?? '/').split('?')[0] ?? '/'
    const isOpen = Object.hasOwn(OPEN_VIEWS, path)
    const view = isOpen ? OPEN_VIEWS[path] : Object.hasOwn(GUARDED_VIEWS, path) ? GUARDED_VIEWS[path] : undefined
    if (view === undefined) response.writeHead(404).end()
    else if (request.method !== 'GET' && request.method !== 'HEAD') response.writeHead(405, { allow: 'GET, HEAD' }).end()
    else if (!isOpen && !isAuthorized(tokenDigests, request.headers.authorization)) {
      response.writeHead(401, { 'www-authenticate': 'Bearer' }).end()
    } else {
      const { status, type, body } = view(views)
      response.writeHead(status, { 'content-type': type }).end(body)
    }
  })
}

function isAuthorized (tokenDigests: string[], authorization: string | undefined): boolean {
  const token = /^Bearer (.+)$/i.exec(authorization ?? '')?.[1]
  return token !== undefined && tokenDigests.includes(createHash('sha256').update(token).digest('hex'))
}
