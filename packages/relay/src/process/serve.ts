/**
 * Runs a relay process on sockets: opens its listeners and shuts it down gracefully.
 */
import { createServer, type Server } from 'node:http'
import { BODILESS_LIMITS, GUARDED_SERVER_OPTIONS, createClientGuard, type ClientGuard } from '@wigeonlead/protocol'
import { pauseInBackground } from 'wigeonlead'
import { splitAddress } from '../connection/address.js'
import { createCallerListener, type EndedRequests } from '../connection/callers.js'
import { createPeerLink } from '../connection/peer-link.js'
import { createOperatorsListener } from './operators-listener.js'
import { RelayEvent } from './relay-log.js'
import type { RelaySettings } from './settings.js'
import { createRelay, type Relay, type RelayPorts } from './wire.js'

/** A relay that is listening. */
export interface RunningRelay {
  relay: Relay
  /** Shuts down gracefully. Further calls wait for the same shutdown. */
  shutdown: () => Promise<void>
  stopped: Promise<void>
}

/**
 * How long the load balancer may send connections after this VM has stopped being ready, milliseconds: until two readiness probes, one
 * second apart, have failed, with network delay.
 */
const BALANCER_LAG_MILLISECONDS = 2600
/** Part of the grace period that is reserved for the exit of the process, milliseconds. */
const EXIT_MARGIN_MILLISECONDS = 500
const DRAIN_CHECK_MILLISECONDS = 50
/** Time for the answers to requests that are ended with the grace period to reach their callers, milliseconds; a part of the margin. */
const LAST_ANSWERS_MILLISECONDS = 200
/** Headers that a peer adds to a request that it hands over, bytes at most: their longest part lists up to 64 targets. */
const ADDED_HEADER_BYTES = 4096
const BYTES_PER_MEGABYTE = 1_048_576
/** Share of the memory of the VM that is held for clients; the rest is for the runtime, its garbage and what is in transit. */
const HELD_SHARE = 0.18
const READY_STATUS = 200
const NOT_READY_STATUS = 503

/** Starts a relay on sockets. */
export async function serveRelay (settings: RelaySettings, ports: Omit<RelayPorts, 'link'>): Promise<RunningRelay> {
  const { log } = ports
  const link = createPeerLink((peer, reason) => log.warn(RelayEvent.PeerRefused, { peer, reason }))
  const relay = createRelay(settings, { ...ports, link })
  const reportFault = (error: unknown): void => {
    log.warn(RelayEvent.InternalFault, { reason: (error as Error).stack?.slice(0, 500) ?? String(error) })
  }
  const { heldMegabytes = settings.node.memoryMegabytes * HELD_SHARE, connections, peerConnections } = settings.clients
  let bodyBytesLimit = 0
  const guard = createClientGuard({
    // A request within the limits of the configuration is served in calm, with its answer.
    heldBytes: () => Math.max(heldMegabytes * BYTES_PER_MEGABYTE, 2 * bodyBytesLimit),
    onRefused: refused => log.warn(RelayEvent.ClientsRefused, Object.fromEntries(refused))
  })
  relay.metrics.gauge('clients_held_bytes', guard.heldBytes)
  relay.metrics.gauge('client_connections', guard.connections)
  const callers = createCallerListener(relay.handle, reportFault, { guard, connections })
  const handedOver = createCallerListener(relay.handle, reportFault, { guard, connections: peerConnections, isHandedOver: true })
  const listeners = [callers, handedOver]
  relay.configurationState.onChange(({ configuration: { limits } }) => {
    bodyBytesLimit = limits.bodyBytes
    callers.setLimits(limits)
    handedOver.setLimits({ ...limits, headerBytes: limits.headerBytes + ADDED_HEADER_BYTES })
  })
  const readiness = createStatusListener(guard, ports.dialect.readinessPath, () => relay.isReady() ? READY_STATUS : NOT_READY_STATUS)
  const metrics = createOperatorsListener(relay, guard)
  await Promise.all([
    link.open(settings.listen.peers),
    listen(callers.server, settings.listen.callers),
    listen(handedOver.server, settings.listen.peers),
    listen(readiness, settings.listen.readiness),
    listen(metrics, settings.listen.metrics)
  ])
  relay.start()
  log.info(RelayEvent.Started, { ...settings.listen, failureDomain: settings.node.failureDomain })
  let markStopped = (): void => {}
  const stopped = new Promise<void>(resolve => { markStopped = resolve })
  let isStopping = false

  async function shutdown (): Promise<void> {
    if (isStopping) return await stopped
    isStopping = true
    const startedAt = performance.now()
    const endsAt = startedAt + settings.bounds.graceSeconds * 1000 - EXIT_MARGIN_MILLISECONDS
    const inFlightRequests = (): number => listeners.reduce((sum, listener) => sum + listener.inFlightRequests(), 0)
    log.info(RelayEvent.Stopping, { underWay: inFlightRequests() })
    for (const listener of listeners) listener.announceClose()
    void relay.leave()
    await pauseInBackground(Math.min(BALANCER_LAG_MILLISECONDS, Math.max(0, endsAt - performance.now())))
    for (const listener of listeners) {
      listener.refuseNew()
      listener.stopListening()
    }
    while (inFlightRequests() > 0 && performance.now() < endsAt) {
      for (const listener of listeners) listener.closeIdle()
      await pauseInBackground(DRAIN_CHECK_MILLISECONDS)
    }
    const ended = listeners.map(listener => listener.endOpen())
    const answeredBy = performance.now() + LAST_ANSWERS_MILLISECONDS
    while (inFlightRequests() > 0 && performance.now() < answeredBy) await pauseInBackground(LAST_ANSWERS_MILLISECONDS / 20)
    log.info(RelayEvent.Stopped, {
      refused: sumOf(ended, 'refused'),
      failed: sumOf(ended, 'failed'),
      cutOff: sumOf(ended, 'cutOff') + inFlightRequests(),
      milliseconds: Math.round(performance.now() - startedAt)
    })
    relay.stop()
    guard.close()
    for (const server of [...listeners.map(listener => listener.server), readiness, metrics]) server.closeAllConnections()
    markStopped()
  }

  return { relay, shutdown, stopped }
}

function sumOf (ended: readonly EndedRequests[], end: keyof EndedRequests): number {
  return ended.reduce((sum, ofListener) => sum + ofListener[end], 0)
}

function createStatusListener (guard: ClientGuard, path: string, status: () => number): Server {
  const server = createServer({ ...GUARDED_SERVER_OPTIONS })
  guard.protect(server, () => BODILESS_LIMITS, (incoming, response) => {
    response.writeHead(incoming.url === path ? status() : 404, { 'Content-Length': 0 })
    response.end()
  })
  return server
}

function listen (server: Server, address: string): Promise<void> {
  const [host, port] = splitAddress(address)
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port, backlog: BACKLOG }, () => {
      server.removeListener('error', reject)
      resolve()
    })
  })
}

/**
 * Length of the queue of connections that wait to be accepted. If it is full, SYN packets are dropped and only sent again after a second.
 */
const BACKLOG = 1024
