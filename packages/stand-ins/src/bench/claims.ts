/**
 * Experiment: the latency that claims add to keyed orders and the key-value writes that they cause, in a fleet of nine entry VMs
 * with a slow key-value service.
 */
import {
  FailureKind, MemberState, ServiceResult, Step, failed, type KeyValuePort, type MemberEntry, type RandomSource, type ServiceOutcome
} from '@wigeonlead/protocol'
import { ClaimResult, createClaims, createHttpPeers, createSeededRandom, type Claims, type HttpPeers } from 'wigeonlead'
import { freeAddress } from '../http.js'
import { createMemoryKeyValue } from '../platform/memory.js'
import { createKeyValueStore, type KeyValueStore } from '../platform/store.js'
import type { Cell, Experiment, ExperimentOptions, ExperimentResult } from './experiment.js'

interface ClaimsNode {
  claims: Claims
  close: () => void
}

interface LoadCase {
  name: string
  ordersPerSecond: number
  /**
   * Number of nodes that don't answer peers. If one of them is the home of a claim bucket, the other nodes bypass it and write to the
   * key-value service directly.
   */
  unresponsiveNodes: number
  /** Whether the failure domains are partitioned from each other. */
  isPartitioned: boolean
}

interface Measurement {
  /** Latency added to each order by the claim, sorted. */
  addedMilliseconds: number[]
  answered: number
  serviceCalls: number
  writes: number
  durationMilliseconds: number
}

const NODE_COUNT = 9
const DOMAIN_COUNT = 3
const KEY_VALUE_DELAY_MILLISECONDS = 5
const SERVICE_TIME_MILLISECONDS = 20
const RUN_MILLISECONDS = 20_000
const QUICK_RUN_MILLISECONDS = 4000
const SUBMIT_INTERVAL_MILLISECONDS = 10
const RETENTION_SECONDS = 3600
const DEADLINE_MILLISECONDS = 20_000
const SECRETS = [{ id: 'bench', value: 'a secret of the bench only' }]
const LOAD_CASES: LoadCase[] = [
  { name: 'quiet', ordersPerSecond: 2, unresponsiveNodes: 0, isPartitioned: false },
  { name: 'goal', ordersPerSecond: 500, unresponsiveNodes: 0, isPartitioned: false },
  { name: 'double', ordersPerSecond: 1000, unresponsiveNodes: 0, isPartitioned: false },
  { name: 'one silent node', ordersPerSecond: 500, unresponsiveNodes: 1, isPartitioned: false },
  { name: 'domains cut off from each other', ordersPerSecond: 500, unresponsiveNodes: 0, isPartitioned: true },
  { name: 'no node reaches another', ordersPerSecond: 500, unresponsiveNodes: NODE_COUNT, isPartitioned: false }
]

/** Measures added latency and key-value writes per second. Peers use real sockets; each call to the key-value service takes 5 ms. */
export const claimsExperiment: Experiment = {
  summary: 'keyed orders on nine entry VMs: added latency and key-value writes per second',
  run: runClaims
}

async function runClaims (options: ExperimentOptions): Promise<ExperimentResult> {
  const rows: Cell[][] = []
  const notes: string[] = []
  for (const load of LOAD_CASES) {
    const measurement = await measureLoad(load, options)
    const writesPerSecond = measurement.writes / measurement.durationMilliseconds * 1000
    const p95 = percentile(measurement.addedMilliseconds, 0.95)
    const [p50, p99] = [0.5, 0.99].map(share => percentile(measurement.addedMilliseconds, share)) as [number, number]
    rows.push([load.name, load.ordersPerSecond, measurement.answered, measurement.serviceCalls, p50, p95, p99, writesPerSecond])
    const isGoalMet = p95 < 60 && writesPerSecond < 100 && measurement.answered === measurement.serviceCalls
    if (load.name === 'goal') notes.push(`goal (added p95 under 60 ms, under 100 writes a second): ${isGoalMet ? 'met' : 'not met'}`)
  }
  return {
    columns: ['load', 'orders/s', 'answered', 'ran', 'added p50 ms', 'added p95 ms', 'added p99 ms', 'writes/s'],
    rows,
    notes
  }
}

async function measureLoad (load: LoadCase, { seed, quick }: ExperimentOptions): Promise<Measurement> {
  const store = createKeyValueStore()
  const nodes = await startNodes(load, store, createSeededRandom(seed))
  const measurement: Measurement = {
    addedMilliseconds: [],
    answered: 0,
    serviceCalls: 0,
    writes: 0,
    durationMilliseconds: quick ? QUICK_RUN_MILLISECONDS : RUN_MILLISECONDS
  }
  const submissions: Array<Promise<void>> = []
  const startedAt = performance.now()
  let submitted = 0
  while (performance.now() - startedAt < measurement.durationMilliseconds) {
    const due = Math.floor((performance.now() - startedAt) / 1000 * load.ordersPerSecond)
    for (; submitted < due; submitted += 1) submissions.push(submitOrder(nodes[submitted % NODE_COUNT] as ClaimsNode, `order-${submitted}`, measurement))
    await pause(SUBMIT_INTERVAL_MILLISECONDS)
  }
  measurement.writes = store.counts.writes
  await Promise.all(submissions)
  for (const node of nodes) {
    await node.claims.whenIdle()
    node.close()
  }
  measurement.addedMilliseconds.sort((left, right) => left - right)
  return measurement
}

async function submitOrder (node: ClaimsNode, key: string, measurement: Measurement): Promise<void> {
  const startedAt = performance.now()
  let serviceMilliseconds = 0
  const callService = async (): Promise<ServiceOutcome> => {
    const calledAt = performance.now()
    measurement.serviceCalls += 1
    await pause(SERVICE_TIME_MILLISECONDS)
    serviceMilliseconds = performance.now() - calledAt
    const headers = { 'content-type': 'application/json' }
    return { kind: ServiceResult.Answered, answer: { status: 201, headers, body: Buffer.from('{"number":1}') } }
  }
  const outcome = await node.claims.run({
    workspace: 'desk',
    service: 'orders',
    key,
    requestDigest: key,
    retentionSeconds: RETENTION_SECONDS,
    deadlineAt: Date.now() + DEADLINE_MILLISECONDS
  }, callService)
  if (outcome.kind === ClaimResult.Answered) measurement.answered += 1
  measurement.addedMilliseconds.push(performance.now() - startedAt - serviceMilliseconds)
}

async function startNodes (load: LoadCase, store: KeyValueStore, random: RandomSource): Promise<ClaimsNode[]> {
  const members: MemberEntry[] = []
  const nodes: ClaimsNode[] = []
  for (let index = 0; index < NODE_COUNT; index += 1) {
    const failureDomain = `domain-${index % DOMAIN_COUNT}`
    members.push({
      address: await freeAddress(), vm: `entry-${index}`, failureDomain, incarnation: 1, state: MemberState.Alive, generation: 1
    })
  }
  for (const [index, self] of members.entries()) {
    const peers = createHttpPeers(SECRETS)
    if (index >= load.unresponsiveNodes) await listen(peers.listener, self.address)
    nodes.push(startNode(
      self, members, createSlowKeyValue(store), random, load.isPartitioned ? limitToDomain(peers, self, members) : peers
    ))
  }
  return nodes
}

function startNode (self: MemberEntry, members: MemberEntry[], keyValue: KeyValuePort, random: RandomSource, peers: HttpPeers): ClaimsNode {
  const claims = createClaims({ keyValue, peers, random, self: () => self, members: () => members })
  peers.serve(claims.handlers)
  const close = (): void => {
    peers.listener.close()
    peers.listener.closeAllConnections()
  }
  return { claims, close }
}

/** Wraps a peer port so that calls to other failure domains fail as unreachable. */
function limitToDomain (peers: HttpPeers, self: MemberEntry, members: MemberEntry[]): HttpPeers {
  const domainAddresses = new Set(members.filter(member => member.failureDomain === self.failureDomain).map(member => member.address))
  return {
    ...peers,
    async call (address, method, parameters, deadlineMilliseconds) {
      if (domainAddresses.has(address)) return await peers.call(address, method, parameters, deadlineMilliseconds)
      return failed({ kind: FailureKind.Unreachable, step: Step.Peer, peer: address, detail: 'cut off' })
    }
  }
}

function listen (server: HttpPeers['listener'], address: string): Promise<void> {
  const [host, port] = address.split(':')
  return new Promise(resolve => server.listen(Number(port), host, () => resolve()))
}

function createSlowKeyValue (store: KeyValueStore): KeyValuePort {
  return createMemoryKeyValue(store, { delayMilliseconds: () => KEY_VALUE_DELAY_MILLISECONDS })
}

function percentile (sorted: number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
