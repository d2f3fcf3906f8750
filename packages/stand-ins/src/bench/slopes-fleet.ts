/**
 * Child process of the slopes experiment: some nodes of the fleet, each the real control code on real sockets.
 */
import type { AddressInfo, Server } from 'node:net'
import {
  PeerMethod, createEtcdKeyValue, createVmListClient, digestText, type EnginePort, type KeyValuePort, type PeerPort
} from '@wigeonlead/protocol'
import {
  createHttpEngines, createHttpPeers, createHttpServices, createRouter, createSystemRandom, settingsSchema, type Router
} from 'wigeonlead'
import { answerParent, TrafficKind, type FleetNode, type FleetSample, type PlatformAddresses } from './slopes-messages.js'
import { createTrafficCounter } from './slopes-traffic.js'

const SECRETS = [{ id: 'first', value: 'a secret of the experiment only' }]
const LOOK_INTERVAL_MILLISECONDS = 5

interface OpenNode {
  node: FleetNode
  peers: ReturnType<typeof createHttpPeers>
  address: string
  router?: Router
}

const traffic = createTrafficCounter()
/** One call in so many is measured, so that measuring takes no time of the nodes. */
const BODIES_SAMPLED_IN = 16
const counts = { reads: 0, writes: 0, reports: 0, peerCalls: 0, gossipBytes: 0, reportsBytes: 0 }
const nodes: OpenNode[] = []

answerParent({
  async open (given) {
    for (const node of given.nodes) {
      const peers = createHttpPeers(SECRETS)
      nodes.push({ node, peers, address: await listenAnywhere(peers.listener) })
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
    whenEvery(router => router.status().member.generation >= generation, timeoutMilliseconds),
  async measure ({ milliseconds }) {
    const before = snapshot()
    await pause(milliseconds)
    const after = snapshot()
    return { ...difference(before, after), ...measureMemory() }
  },
  async halt () {
    const [first] = nodes.splice(0, 1)
    first?.router?.halt()
    first?.peers.listener.close()
    first?.peers.listener.closeAllConnections()
    return first?.address ?? ''
  },
  noticed: ({ address, timeoutMilliseconds }) => whenEvery(router => !isAlive(router, address), timeoutMilliseconds)
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
    keyValue: countKeyValue(createEtcdKeyValue({ endpoints: settings.platform.keyValue })),
    vmList: createVmListClient(settings.platform.vmList),
    engines: countEngines(createHttpEngines()),
    services: createHttpServices(),
    peers: countPeers(peers),
    random: createSystemRandom()
  })
  router.start()
  return router
}

function countKeyValue (port: KeyValuePort): KeyValuePort {
  const read = <A extends unknown[], R>(call: (...given: A) => R) => (...given: A): R => { counts.reads += 1; return call(...given) }
  const write = <A extends unknown[], R>(call: (...given: A) => R) => (...given: A): R => { counts.writes += 1; return call(...given) }
  return {
    get: read(port.get),
    list: read(port.list),
    watch: read(port.watch),
    compareAndSwap: write(port.compareAndSwap),
    grantLease: write(port.grantLease),
    renewLease: write(port.renewLease),
    revokeLease: write(port.revokeLease)
  }
}

function countEngines (port: EnginePort): EnginePort {
  return {
    ...port,
    report (target, deadlineMilliseconds) {
      counts.reports += 1
      return port.report(target, deadlineMilliseconds)
    }
  }
}

function countPeers (port: PeerPort): PeerPort {
  return {
    ...port,
    async call (address, method, parameters, deadlineMilliseconds) {
      const outcome = await port.call(address, method, parameters, deadlineMilliseconds)
      counts.peerCalls += 1
      if (counts.peerCalls % BODIES_SAMPLED_IN === 0) {
        const bytes = (JSON.stringify(parameters).length + JSON.stringify(outcome).length) * BODIES_SAMPLED_IN
        if (method === PeerMethod.Gossip) counts.gossipBytes += bytes
        if (method === PeerMethod.Reports) counts.reportsBytes += bytes
      }
      return outcome
    }
  }
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

function snapshot (): Snapshot {
  const { user, system } = process.cpuUsage()
  return { at: performance.now(), processorMicroseconds: user + system, bytes: traffic.read(), ...counts }
}

function difference (before: Snapshot, after: Snapshot): Omit<FleetSample, 'heapBytes' | 'residentBytes'> {
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

async function whenEvery (test: (router: Router) => boolean, timeoutMilliseconds: number): Promise<number | null> {
  const endsAt = Date.now() + timeoutMilliseconds
  const waiting = new Set(nodes.flatMap(({ router }) => router === undefined ? [] : [router]))
  while (Date.now() < endsAt) {
    for (const router of waiting) {
      if (test(router)) waiting.delete(router)
    }
    if (waiting.size === 0) return Date.now()
    await pause(LOOK_INTERVAL_MILLISECONDS)
  }
  return null
}

function listenAnywhere (server: Server): Promise<string> {
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
