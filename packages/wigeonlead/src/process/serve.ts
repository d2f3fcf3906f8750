/**
 * Runs a router on sockets: creates the HTTP adapters for its ports and opens its three listeners.
 */
import { readFileSync } from 'node:fs'
import { createClientGuard, createEtcdKeyValue, createMemoryBudget, createVmListClient } from '@wigeonlead/protocol'
import {
  createCallerListener, createHttpEngines, createHttpPeers, createHttpServices, createOperatorListener, type PeerTlsCredentials
} from '../connection/index.js'
import { closeNow, createDrainableListener, listen } from './listeners.js'
import { LogEvent, type Logger } from './logging.js'
import { createSystemRandom } from './random.js'
import type { Settings } from './settings.js'
import { createRouter, type Router } from './wire.js'

/** A running router with open listeners. */
export interface RunningRouter {
  settings: Settings
  router: Router
  /** Shuts down gracefully and closes the listeners; a second call waits for the first. */
  shutdown: () => Promise<void>
  /** Resolves once a shutdown has ended, whether `shutdown` or a planned stop of the VM began it. */
  stopped: Promise<void>
}

/** Starts a router and opens its listeners; rejects if one can't be opened. */
export async function serveRouter (settings: Settings, logger: Logger): Promise<RunningRouter> {
  const { maximumHeldBytes, maximumBodyBytes } = settings.callers
  const guard = createClientGuard({
    heldBytes: () => Math.max(maximumHeldBytes, 2 * maximumBodyBytes),
    onRefused: refused => logger.warn(LogEvent.ClientsRefused, Object.fromEntries(refused))
  })
  const answerMemory = createMemoryBudget(() => settings.targets.maximumHeldBytes)
  const peers = createHttpPeers(settings.peers.secrets, {
    guard,
    tls: readPeerTls(settings),
    onRefused: (peer, reason) => logger.warn(LogEvent.PeerRefused, { peer, reason })
  })
  const router = createRouter(settings, {
    keyValue: createEtcdKeyValue({
      endpoints: settings.platform.keyValue, deadlineMilliseconds: settings.platform.callDeadlineMilliseconds
    }),
    vmList: createVmListClient(settings.platform.vmList),
    engines: createHttpEngines(answerMemory),
    services: createHttpServices({ memory: answerMemory }),
    peers,
    random: createSystemRandom(),
    logger
  })
  const callers = createCallerListener(settings.callers, router.handle, guard)
  const operators = createOperatorListener(settings.operators.tokenDigests, router, guard)
  const drainableCallers = createDrainableListener(callers)
  await listen(peers.listener, settings.listen.peers)
  await listen(operators, settings.listen.operators)
  await listen(callers, settings.listen.callers)
  let markStopped = (): void => {}
  const stopped = new Promise<void>(resolve => { markStopped = resolve })

  async function shutdown (): Promise<void> {
    if (router.isLeaving()) return await stopped
    logger.info(LogEvent.Stopping)
    drainableCallers.announceClose()
    await router.shutdown(drainableCallers.drain)
    guard.close()
    await Promise.all([closeNow(operators), closeNow(peers.listener)])
    logger.info(LogEvent.Stopped)
    markStopped()
  }

  router.onPlannedStop(() => { void shutdown() })
  router.start()
  logger.info(LogEvent.Started, settings.listen)
  return { settings, router, shutdown, stopped }
}

function readPeerTls ({ peers: { tls } }: Settings): PeerTlsCredentials | undefined {
  if (tls === undefined) return undefined
  const read = (file: string): string => readFileSync(file, 'utf8')
  return { certificate: read(tls.certificate), key: read(tls.key), authority: read(tls.authority) }
}
