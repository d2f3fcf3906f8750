/**
 * The operators' listener: liveness and readiness without authentication, for the platform; metrics, status and burn rates with a token.
 */
import { createHash } from 'node:crypto'
import { createServer, type Server } from 'node:http'
import {
  BODILESS_LIMITS, GUARDED_SERVER_OPTIONS, createClientGuard, type BurnReport, type NodeStatus
} from '@wigeonlead/protocol'

/** Data that the operators' listener serves. */
export interface OperatorViews {
  isReady: () => boolean
  renderMetrics: () => string
  status: () => NodeStatus
  burn: () => BurnReport
}

type View = (views: OperatorViews) => { status: number, type: string, body: string }

const PUBLIC_VIEWS: Record<string, View> = {
  '/livez': () => ({ status: 200, type: 'text/plain', body: 'live\n' }),
  '/readyz': views => views.isReady()
    ? { status: 200, type: 'text/plain', body: 'ready\n' }
    : { status: 503, type: 'text/plain', body: 'not ready\n' }
}

const AUTHENTICATED_VIEWS: Record<string, View> = {
  '/metrics': views => ({ status: 200, type: 'text/plain; version=0.0.4', body: views.renderMetrics() }),
  '/status': views => ({ status: 200, type: 'application/json', body: JSON.stringify({ ...views.status(), isReady: views.isReady() }) }),
  '/burn': views => ({ status: 200, type: 'application/json', body: JSON.stringify(views.burn()) })
}

/**
 * Creates the operators' listener without opening its port.
 * @param tokenDigests SHA-256 digests of the accepted bearer tokens, lower-case hexadecimal.
 * @param guard the guard of the process; by default, one of this listener.
 */
export function createOperatorListener (tokenDigests: string[], views: OperatorViews, guard = createClientGuard()): Server {
  const server = createServer({ ...GUARDED_SERVER_OPTIONS })
  guard.protect(server, () => BODILESS_LIMITS, (request, response) => {
    const path = (request.url ?? '/').split('?')[0] ?? '/'
    const isPublic = Object.hasOwn(PUBLIC_VIEWS, path)
    const view = isPublic ? PUBLIC_VIEWS[path] : Object.hasOwn(AUTHENTICATED_VIEWS, path) ? AUTHENTICATED_VIEWS[path] : undefined
    if (view === undefined) response.writeHead(404).end()
    else if (request.method !== 'GET' && request.method !== 'HEAD') response.writeHead(405, { allow: 'GET, HEAD' }).end()
    else if (!isPublic && !isAuthorized(tokenDigests, request.headers.authorization)) {
      response.writeHead(401, { 'www-authenticate': 'Bearer' }).end()
    } else {
      const { status, type, body } = view(views)
      response.writeHead(status, { 'content-type': type }).end(body)
    }
  })
  return server
}

function isAuthorized (tokenDigests: string[], authorization: string | undefined): boolean {
  const token = /^Bearer (.+)$/i.exec(authorization ?? '')?.[1]
  return token !== undefined && tokenDigests.includes(createHash('sha256').update(token).digest('hex'))
}
