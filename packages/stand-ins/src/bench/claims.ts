/**
 * Experiment: what claims add to an order, and what they write, in a fleet of nine entry VMs over a slow key-value service.
 */
import {
  FailureKind, MemberState, ServiceResult, Step, failed, type KeyValuePort, type MemberEntry, type RandomSource, type ServiceOutcome
} from '@wigeonlead/protocol'
import { ClaimResult, createClaims, createHttpPeers, createSeededRandom, type Claims, type HttpPeers } from 'wigeonlead'
import { freeAddress } from '../http.js'
import { createMemoryKeyValue } from '../platform/memory.js'
import { createKeyValueStore, type KeyValueStore } from '../platform/store.js'
import type { Cell, Experiment, ExperimentOptions, ExperimentResult } from './experiment.js'

interface Node {
  claims: Claims
  close: () => void
}

interface Load {
  name: string
  ordersPerSecond: number
  /** Nodes that answer no peer, so that their buckets' homes are bypassed. */
  silentNodes: number
  /** Whether the failure domains can't reach each other. */
  isCut: boolean
}

interface Measured {
  /** Added milliseconds, sorted. */
  added: number[]
  answered: number
  ran: number
  writes: number
  milliseconds: number
}

const NODES = 9
const DOMAINS = 3
const KEY_VALUE_DELAY_MILLISECONDS = 5
const SERVICE_MILLISECONDS = 20
const RUN_MILLISECONDS = 20_000
const QUICK_MILLISECONDS = 4000
const TICK_MILLISECONDS = 10
const RETENTION_SECONDS = 3600
const DEADLINE_MILLISECONDS = 20_000
const SECRETS = [{ id: 'bench', value: 'a secret of the bench only' }]
const LOADS: Load[] = [
  { name: 'quiet', ordersPerSecond: 2, silentNodes: 0, isCut: false },
  { name: 'goal', ordersPerSecond: 500, silentNodes: 0, isCut: false },
  { name: 'double', ordersPerSecond: 1000, silentNodes: 0, isCut: false },
  { name: 'one silent node', ordersPerSecond: 500, silentNodes: 1, isCut: false },
  { name: 'domains cut off from each other', ordersPerSecond: 500, silentNodes: 0, isCut: true },
  { name: 'no node reaches another', ordersPerSecond: 500, silentNodes: NODES, isCut: false }
]

/** Bookings and key-value writes a second, with real peers' sockets and the key-value service at 5 ms. */
export const claimsExperiment: Experiment = {
  summary: 'keyed orders of nine entry VMs: added time, key-value writes a second, bytes written',
  run: runClaims
}

async function runClaims (options: ExperimentOptions): Promise<ExperimentResult> {
  const rows: Cell[][] = []
  const notes: string[] = []
  for (const load of LOADS) {
    const measured = await measure(load, options)
    const writesPerSecond = measured.writes / measured.milliseconds * 1000
    const p95 = percentile(measured.added, 0.95)
    const [p50, p99] = [0.5, 0.99].map(share => percentile(measured.added, share)) as [number, number]
    rows.push([load.name, load.ordersPerSecond, measured.answered, measured.ran, p50, p95, p99, writesPerSecond])
    const isMet = p95 < 60 && writesPerSecond < 100 && measured.answered === measured.ran
    if (load.name === 'goal') notes.push(`goal (added p95 under 60 ms, under 100 writes a second): ${isMet ? 'met' : 'not met'}`)
  }
  return {
    columns: ['load', 'orders/s', 'answered', 'ran', 'added p50 ms', 'added p95 ms', 'added p99 ms', 'writes/s'],
    rows,
    notes
  }
}

async function measure (load: Load, { seed, quick }: ExperimentOptions): Promise<Measured> {
  const store = createKeyValueStore()
  const nodes = await startNodes(load, store, createSeededRandom(seed))
  const measured: Measured = { added: [], answered: 0, ran: 0, writes: 0, milliseconds: quick ? QUICK_MILLISECONDS : RUN_MILLISECONDS }
  const runs: Array<Promise<void>> = []
  const startedAt = performance.now()
  let submitted = 0
  while (performance.now() - startedAt < measured.milliseconds) {
    const due = Math.floor((performance.now() - startedAt) / 1000 * load.ordersPerSecond)
    for (; submitted < due; submitted += 1) runs.push(submit(nodes[submitted % NODES] as Node, `order-${submitted}`, measured))
    await pause(TICK_MILLISECONDS)
  }
  measured.writes = store.counts.writes
  await Promise.all(runs)
  for (const node of nodes) {
    await node.claims.whenIdle()
    node.close()
  }
  measured.added.sort((left, right) => left - right)
  return measured
}

async function submit (node: Node, key: string, measured: Measured): Promise<void> {
  const startedAt = performance.now()
  let sentFor = 0
  const send = async (): Promise<ServiceOutcome> => {
    const sentAt = performance.now()
    measured.ran += 1
    await pause(SERVICE_MILLISECONDS)
    sentFor = performance.now() - sentAt
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
  }, send)
  if (outcome.kind === ClaimResult.Answered) measured.answered += 1
  measured.added.push(performance.now() - startedAt - sentFor)
}

async function startNodes (load: Load, store: KeyValueStore, random: RandomSource): Promise<Node[]> {
  const members: MemberEntry[] = []
  const nodes: Node[] = []
  for (let index = 0; index < NODES; index += 1) {
    const failureDomain = `domain-${index % DOMAINS}`
    members.push({
      address: await freeAddress(), vm: `entry-${index}`, failureDomain, incarnation: 1, state: MemberState.Alive, generation: 1
    })
  }
  for (const [index, self] of members.entries()) {
    const peers = createHttpPeers(SECRETS)
    if (index >= load.silentNodes) await listen(peers.listener, self.address)
    nodes.push(startNode(self, members, createKeyValue(store), random, load.isCut ? withinDomain(peers, self, members) : peers))
  }
  return nodes
}

function startNode (self: MemberEntry, members: MemberEntry[], keyValue: KeyValuePort, random: RandomSource, peers: HttpPeers): Node {
  const claims = createClaims({ keyValue, peers, random, self: () => self, members: () => members })
  peers.serve(claims.handlers)
  const close = (): void => {
    peers.listener.close()
    peers.listener.closeAllConnections()
  }
  return { claims, close }
}

/** Calls to other failure domains find no connection. */
function withinDomain (peers: HttpPeers, self: MemberEntry, members: MemberEntry[]): HttpPeers {
  const near = new Set(members.filter(member => member.failureDomain === self.failureDomain).map(member => member.address))
  return {
    ...peers,
    async call (address, method, parameters, deadlineMilliseconds) {
      if (near.has(address)) return await peers.call(address, method, parameters, deadlineMilliseconds)
      return failed({ kind: FailureKind.Unreachable, step: Step.Peer, peer: address, detail: 'cut off' })
    }
  }
}

function listen (server: HttpPeers['listener'], address: string): Promise<void> {
  const [host, port] = address.split(':')
  return new Promise(resolve => server.listen(Number(port), host, () => resolve()))
}

function createKeyValue (store: KeyValueStore): KeyValuePort {
  return createMemoryKeyValue(store, { delayMilliseconds: () => KEY_VALUE_DELAY_MILLISECONDS })
}

function percentile (sorted: number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
