/**
 * Child process of the slopes experiment: runs some nodes of the fleet, each with the real control code on real sockets.
 */
import type { AddressInfo, Server } from 'node:net'
import { createEtcdKeyValue, createVmListClient, digestText } from '@wigeonlead/protocol'
import {
  createHttpEngines, createHttpPeers, createHttpServices, createRouter, createSystemRandom, settingsSchema, type Router
} from 'wigeonlead'
import { serveParent, TrafficKind, type FleetNode, type FleetSample, type PlatformAddresses } from './slopes-messages.js'
import { createInstrumentedPorts } from './slopes-ports.js'
import { createTrafficCounter } from './slopes-traffic.js'

const SECRETS = [{ id: 'first', value: 'a secret of the experiment only' }]
const CONDITION_POLL_INTERVAL_MILLISECONDS = 5

/** A node whose peer listener is open; its router is set by `start`. */
interface OpenNode {
  node: FleetNode
  peers: ReturnType<typeof createHttpPeers>
  address: string
  router?: Router
}

const traffic = createTrafficCounter()
const { counts, wrapKeyValue, wrapEngines, wrapPeers, setPartition } = createInstrumentedPorts()
const nodes: OpenNode[] = []

serveParent({
  async open (parameters) {
    for (const node of parameters.nodes) {
      const peers = createHttpPeers(SECRETS)
      nodes.push({ node, peers, address: await listenOnFreePort(peers.listener) })
    }
    return nodes.map(({ address }) => address)
  },
  async start ({ platform, seeds }) {
    traffic.setKind(portOf(platform.keyValue), TrafficKind.KeyValue)
    traffic.setKind(portOf(platform.vmList), TrafficKind.VmList)
    for (const engine of platform.engines) traffic.setKind(portOf(engine), TrafficKind.Engines)
    for (const node of nodes) node.router = startRouter(node, platform, seeds)
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
    const halted = nodes.splice(0, count)
    for (const { router, peers } of halted) {
      router?.halt()
      peers.listener.close()
      peers.listener.closeAllConnections()
    }
    return halted.map(({ address }) => address)
  },
  async cut (parameters) {
    setPartition(parameters.addresses, parameters.isKeyValueCut)
    return null
  },
  noticed: ({ addresses, timeoutMilliseconds }) =>
    waitForEveryRouter(router => !addresses.some(address => isAlive(router, address)), timeoutMilliseconds)
})

function startRouter ({ node, peers, address }: OpenNode, platform: PlatformAddresses, seeds: string[]): Router {
  const settings = settingsSchema.parse({
    node,
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
    peers: wrapPeers(peers),
    random: createSystemRandom()
  })
  router.start()
  return router
}

interface Snapshot {
  at: number
  processorMicroseconds: number
  bytes: Record<TrafficKind, number>
  reads: number
  writes: number
  reports: number
  peerCalls: number
  gossipBytes: number
  reportsBytes: number
}

function takeSnapshot (): Snapshot {
  const { user, system } = process.cpuUsage()
  return { at: performance.now(), processorMicroseconds: user + system, bytes: traffic.read(), ...counts }
}

function subtractSnapshots (before: Snapshot, after: Snapshot): Omit<FleetSample, 'heapBytes' | 'residentBytes'> {
  const bytes = { ...after.bytes }
  for (const kind of Object.values(TrafficKind)) bytes[kind] -= before.bytes[kind]
  return {
    nodes: nodes.length,
    seconds: (after.at - before.at) / 1000,
    processorSeconds: (after.processorMicroseconds - before.processorMicroseconds) / 1e6,
    bytes,
    keyValueReads: after.reads - before.reads,
    keyValueWrites: after.writes - before.writes,
    engineReports: after.reports - before.reports,
    peerCalls: after.peerCalls - before.peerCalls,
    gossipBytes: after.gossipBytes - before.gossipBytes,
    reportsBytes: after.reportsBytes - before.reportsBytes
  }
}

function measureMemory (): Pick<FleetSample, 'heapBytes' | 'residentBytes'> {
  globalThis.gc?.()
  const { heapUsed, external, rss } = process.memoryUsage()
  return { heapBytes: heapUsed + external, residentBytes: rss }
}

function isAlive (router: Router, address: string): boolean {
  const members = router.status().sections.members
  if (!Array.isArray(members)) return false
  return members.some((member: { address?: string, state?: string }) => member.address === address && member.state === 'alive')
}

/**
 * Waits until every router of this process has met a condition once.
 * @returns when the last router met it, milliseconds since 1970; null after the timeout.
 */
async function waitForEveryRouter (condition: (router: Router) => boolean, timeoutMilliseconds: number): Promise<number | null> {
  const endsAt = Date.now() + timeoutMilliseconds
  const pending = new Set(nodes.flatMap(({ router }) => router === undefined ? [] : [router]))
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
