/**
 * Child process of the slopes experiment: runs some nodes of the fleet. Each node is a router with the production adapters over loopback
 * sockets; it serves no callers.
 */
import type { AddressInfo, Server } from 'node:net'
import { createEtcdKeyValue, createVmListClient, digestText } from '@wigeonlead/protocol'
import {
  createHttpEngines, createHttpPeers, createHttpServices, createRouter, createSystemRandom, settingsSchema, type Router
} from 'wigeonlead'
import { serveParent, TrafficKind, type FleetNode, type ProcessSample, type PlatformAddresses } from './slopes-messages.js'
import { createInstrumentedPorts } from './slopes-ports.js'
import { createTrafficCounter } from './slopes-traffic.js'

const SECRETS = [{ id: 'first', value: 'a secret of the experiment only' }]
const CONDITION_POLL_INTERVAL_MILLISECONDS = 5

/** A node whose peer listener is open; the `start` message sets its router. */
interface OpenNode {
  identity: FleetNode
  httpPeers: ReturnType<typeof createHttpPeers>
  address: string
  router?: Router
}

const traffic = createTrafficCounter()
const { portCounts, wrapKeyValue, wrapEngines, wrapPeers, setPartition } = createInstrumentedPorts()
const openNodes: OpenNode[] = []

serveParent({
  async open (parameters) {
    for (const node of parameters.nodes) {
      const httpPeers = createHttpPeers(SECRETS)
      openNodes.push({ identity: node, httpPeers, address: await listenOnFreePort(httpPeers.listener) })
    }
    return openNodes.map(({ address }) => address)
  },
  async start ({ platform, seeds }) {
    traffic.setKind(portOf(platform.keyValue), TrafficKind.KeyValue)
    traffic.setKind(portOf(platform.vmList), TrafficKind.VmList)
    for (const engine of platform.engines) traffic.setKind(portOf(engine), TrafficKind.Engines)
    for (const openNode of openNodes) openNode.router = startRouter(openNode, platform, seeds)
    return null
  },
  reached: ({ generation, timeoutMilliseconds }) =>
    waitForEveryRouter(router => router.status().member.generation >= generation, timeoutMilliseconds),
  async measure ({ milliseconds }) {
    const before = takeSnapshot()
    await pause(milliseconds)
    const after = takeSnapshot()
    return { ...subtractSnapshots(before, after), ...measureMemory() }
  },
  async halt ({ count }) {
    const halted = openNodes.splice(0, count)
    for (const { router, httpPeers } of halted) {
      router?.halt()
      httpPeers.listener.close()
      httpPeers.listener.closeAllConnections()
    }
    return halted.map(({ address }) => address)
  },
  async cut (parameters) {
    setPartition(parameters.addresses, parameters.isKeyValueCut)
    return null
  },
  noticed: ({ addresses, timeoutMilliseconds }) =>
    waitForEveryRouter(router => !addresses.some(address => listsAsAlive(router, address)), timeoutMilliseconds)
})

function startRouter ({ identity, httpPeers, address }: OpenNode, platform: PlatformAddresses, seeds: string[]): Router {
  const settings = settingsSchema.parse({
    node: identity,
    // The settings require addresses for callers and operators; nothing listens there.
    listen: { callers: '127.0.0.1:1', operators: '127.0.0.1:2', peers: address },
    platform: { keyValue: [`http://${platform.keyValue}`], vmList: `http://${platform.vmList}` },
    peers: { seeds, secrets: SECRETS },
    operators: { tokenDigests: [digestText('experiment')] }
  })
  const router = createRouter(settings, {
    keyValue: wrapKeyValue(createEtcdKeyValue({ endpoints: settings.platform.keyValue })),
    vmList: createVmListClient(settings.platform.vmList),
    engines: wrapEngines(createHttpEngines()),
    services: createHttpServices(),
    peers: wrapPeers(httpPeers),
    random: createSystemRandom()
  })
  router.start()
  return router
}

/** Counts and processor time since the start of the process. */
interface Snapshot {
  takenAtMilliseconds: number
  processorMicroseconds: number
  bytes: Record<TrafficKind, number>
  reads: number
  writes: number
  engineReportCalls: number
  peerCalls: number
  gossipBytes: number
  reportExchangeBytes: number
}

function takeSnapshot (): Snapshot {
  const { user, system } = process.cpuUsage()
  return { takenAtMilliseconds: performance.now(), processorMicroseconds: user + system, bytes: traffic.read(), ...portCounts }
}

function subtractSnapshots (before: Snapshot, after: Snapshot): Omit<ProcessSample, 'heapAndExternalBytes' | 'residentBytes'> {
  const bytes = { ...after.bytes }
  for (const kind of Object.values(TrafficKind)) bytes[kind] -= before.bytes[kind]
  return {
    nodeCount: openNodes.length,
    seconds: (after.takenAtMilliseconds - before.takenAtMilliseconds) / 1000,
    processorSeconds: (after.processorMicroseconds - before.processorMicroseconds) / 1e6,
    bytes,
    keyValueReads: after.reads - before.reads,
    keyValueWrites: after.writes - before.writes,
    engineReportCalls: after.engineReportCalls - before.engineReportCalls,
    peerCalls: after.peerCalls - before.peerCalls,
    gossipBytes: after.gossipBytes - before.gossipBytes,
    reportExchangeBytes: after.reportExchangeBytes - before.reportExchangeBytes
  }
}

function measureMemory (): Pick<ProcessSample, 'heapAndExternalBytes' | 'residentBytes'> {
  globalThis.gc?.()
  const { heapUsed, external, rss } = process.memoryUsage()
  return { heapAndExternalBytes: heapUsed + external, residentBytes: rss }
}

function listsAsAlive (router: Router, address: string): boolean {
  const members = router.status().sections.members
  if (!Array.isArray(members)) return false
  return members.some((member: { address?: string, state?: string }) => member.address === address && member.state === 'alive')
}

/**
 * Polls the routers of this process until each of them has met a condition; a router that has met it is not polled again.
 * @returns when the last router was found to meet it, milliseconds since 1970; null after the timeout.
 */
async function waitForEveryRouter (condition: (router: Router) => boolean, timeoutMilliseconds: number): Promise<number | null> {
  const endsAt = Date.now() + timeoutMilliseconds
  const pending = new Set(openNodes.flatMap(({ router }) => router === undefined ? [] : [router]))
  while (Date.now() < endsAt) {
    for (const router of pending) {
      if (condition(router)) pending.delete(router)
    }
    if (pending.size === 0) return Date.now()
    await pause(CONDITION_POLL_INTERVAL_MILLISECONDS)
  }
  return null
}

function listenOnFreePort (server: Server): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`))
  })
}

function portOf (address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1))
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
