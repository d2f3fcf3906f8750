/**
 * Runs a router on sockets: the HTTP adapters behind its ports, and its three listeners.
 */
import { readFileSync } from 'node:fs'
import type { Server } from 'node:http'
import { createEtcdKeyValue, createVmListClient } from '@wigeonlead/protocol'
import {
  createCallerListener, createHttpEngines, createHttpPeers, createHttpServices, createOperatorListener, type PeerTlsFiles
} from '../connection/index.js'
import { LogEvent, type Logger } from './logging.js'
import { createSystemRandom } from './random.js'
import type { Settings } from './settings.js'
import { createRouter, type Router } from './wire.js'

/** A router that listens. */
export interface RunningRouter {
  settings: Settings
  router: Router
  /** Shuts down gracefully and closes the listeners. */
  shutdown: () => Promise<void>
}

/** Starts a router on sockets. */
export async function serveRouter (settings: Settings, logger: Logger): Promise<RunningRouter> {
  const peers = createHttpPeers(settings.peers.secrets, {
    tls: readPeerTls(settings),
    onRefused: (peer, reason) => logger.warn(LogEvent.PeerRefused, { peer, reason })
  })
  const router = createRouter(settings, {
    keyValue: createEtcdKeyValue({
      endpoints: settings.platform.keyValue, deadlineMilliseconds: settings.platform.callDeadlineMilliseconds
    }),
    vmList: createVmListClient(settings.platform.vmList),
    engines: createHttpEngines(),
    services: createHttpServices(),
    peers,
    random: createSystemRandom(),
    logger
  })
  const callers = createCallerListener(settings.callers, router.handle)
  const operators = createOperatorListener(settings.operators.tokenDigests, router)
  await listen(peers.listener, settings.listen.peers)
  await listen(operators, settings.listen.operators)
  await listen(callers, settings.listen.callers)
  router.start()
  logger.info(LogEvent.Started, settings.listen)
  return {
    settings,
    router,
    async shutdown () {
      logger.info(LogEvent.Stopping)
      await router.shutdown()
      await Promise.all([close(callers), close(operators), close(peers.listener)])
      logger.info(LogEvent.Stopped)
    }
  }
}

function readPeerTls ({ peers: { tls } }: Settings): PeerTlsFiles | undefined {
  if (tls === undefined) return undefined
  const read = (file: string): string => readFileSync(file, 'utf8')
  return { certificate: read(tls.certificate), key: read(tls.key), authority: read(tls.authority) }
}

function listen (server: Server, address: string): Promise<void> {
  const split = address.lastIndexOf(':')
  const host = address.slice(0, split).replace(/^\[|\]$/g, '')
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(split + 1)), host, () => resolve())
  })
}

function close (server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    server.closeIdleConnections()
    setTimeout(() => server.closeAllConnections(), 1000).unref()
  })
}
