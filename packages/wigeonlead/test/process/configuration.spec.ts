import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  CONFIGURATION_HEAD_KEY, CONFIGURATION_PART_PREFIX, PeerMethod, digestText, manifestSchema, publishManifest, type ConfigurationHead,
  type KeyValuePort, type PeerHandlers
} from '@wigeonlead/protocol'
import {
  KeyValueFault, createKeyValueStore, createMemoryKeyValue, createMemoryPeerNetwork, withPausedClock, type KeyValueStore,
  type MemoryPeerNetwork, type PausedClock
} from '@wigeonlead/stand-ins'
import { createConfiguration, type Configuration } from '../../src/process/configuration/index.js'
import { LogEvent, type Logger } from '../../src/process/logging.js'
import { createMembership } from '../../src/process/membership/index.js'
import { createSeededRandom } from '../../src/process/random.js'

const OWN = '10.0.0.1:7000'
const PEER = '10.0.0.2:7000'
const FLEET_NODES = 460
const IN_FORCE_MILLISECONDS = 9000
const RANDOM = createSeededRandom(5)

interface Bench {
  clock: PausedClock
  store: KeyValueStore
  network: MemoryPeerNetwork
  /** Another node; says of itself what the case sets. */
  peer: { head?: ConfigurationHead, parts: Array<{ digest: string, content: string }> }
  configuration: Configuration
  refusals: string[]
  isKeyValueOut: boolean
  isWatchOut: boolean
  isPeerOut: boolean
}

function withNode (run: (bench: Bench) => Promise<void>, prepare: (bench: Bench) => void = () => {}): Promise<void> {
  return withPausedClock(async clock => {
    const store = createKeyValueStore()
    const network = createMemoryPeerNetwork({ delayMilliseconds: () => 1 })
    const outages = { isKeyValueOut: false, isWatchOut: false, isPeerOut: false }
    const bench = { clock, store, network, peer: { parts: [] }, refusals: [], ...outages } as unknown as Bench
    servePeer(bench)
    const peers = network.port(OWN)
    const logger: Logger = {
      info: () => {},
      warn: (event, fields) => { if (event === LogEvent.ConfigurationRefused) bench.refusals.push(String(fields?.reason)) }
    }
    const vmList = { list: async () => ({ ok: true as const, value: [] }) }
    const options = { peers, seeds: [PEER], random: RANDOM, vmList, logger }
    const membership = createMembership({
      ...options, address: OWN, vm: 'entry-1', failureDomain: 'howrah', generation: () => generation(bench)
    })
    bench.configuration = createConfiguration({
      ...options, membership: { ...membership, aliveNodes: () => FLEET_NODES }, keyValue: nodePort(bench)
    })
    peers.serve({ ...membership.handlers, ...bench.configuration.handlers })
    prepare(bench)
    membership.start()
    bench.configuration.start()
    try {
      await run(bench)
    } finally {
      membership.stop()
      bench.configuration.stop()
    }
  })
}

function servePeer (bench: Bench): void {
  const handlers: PeerHandlers = {
    [PeerMethod.Gossip]: async () => {
      if (bench.isPeerOut) throw new Error('silent')
      const generation = bench.peer.head?.generation ?? 0
      const sender = { address: PEER, vm: 'entry-2', failureDomain: 'howrah', incarnation: 1, state: 'alive' as never, generation }
      return { sender, digest: '', targetDigest: '', members: [], domains: [], targetEvents: [], demand: {} }
    },
    [PeerMethod.ConfigurationHead]: async () => ({ head: bench.peer.head }),
    [PeerMethod.ConfigurationParts]: async ({ digests }) => ({ parts: bench.peer.parts.filter(part => digests.includes(part.digest)) })
  }
  bench.network.port(PEER).serve(handlers)
}

function nodePort (bench: Bench): KeyValuePort {
  const port = createMemoryKeyValue(bench.store, { fault: () => bench.isKeyValueOut ? KeyValueFault.Unreachable : undefined })
  return {
    ...port,
    async * watch (key, afterRevision, signal) {
      if (!bench.isWatchOut) yield * port.watch(key, afterRevision, signal)
    }
  }
}

function manifestText (workspace: string): string {
  const workspaces = [{ name: workspace, keyDigests: ['0'.repeat(64)] }]
  return JSON.stringify(manifestSchema.parse({ format: 1, failureDomains: ['howrah'], workspaces }))
}

async function publish (bench: Bench, workspace: string): Promise<void> {
  const work = publishManifest(createMemoryKeyValue(bench.store), RANDOM, manifestSchema.parse(JSON.parse(manifestText(workspace))))
  await bench.clock.advance(1)
  await work
}

function headOf (generation: number, content: string, nonce = `nonce-${generation}`): ConfigurationHead {
  return { generation, nonce, publishedAtMilliseconds: generation, parts: [digestText(content)], stops: [] }
}

function putAtPeer (bench: Bench, generation: number, content: string, given = content): void {
  bench.peer.head = headOf(generation, content)
  bench.peer.parts = [{ digest: digestText(content), content: given }]
}

function putInStore (bench: Bench, head: ConfigurationHead, content: string): void {
  overwrite(bench, CONFIGURATION_PART_PREFIX + digestText(content), content)
  overwrite(bench, CONFIGURATION_HEAD_KEY, JSON.stringify(head))
}

function overwrite (bench: Bench, key: string, value: string): void {
  bench.store.compareAndSwap({ key, value, expectedModRevision: bench.store.get(key)?.modRevision ?? 0 })
}

const generation = (bench: Bench): number => bench.configuration.current()?.head.generation ?? 0
const workspace = (bench: Bench): string | undefined => bench.configuration.current()?.manifest.workspaces[0]?.name

const node = suite('configuration of a node')

interface SourceCase {
  name: string
  outages: Partial<Pick<Bench, 'isKeyValueOut' | 'isWatchOut' | 'isPeerOut'>>
  isAtPeer?: boolean
}

const SOURCE_CASES: SourceCase[] = [
  { name: 'the poll', outages: { isWatchOut: true, isPeerOut: true } },
  { name: 'the watch', outages: { isPeerOut: true } },
  { name: 'gossip', outages: { isKeyValueOut: true, isWatchOut: true }, isAtPeer: true }
]
for (const { name, outages, isAtPeer } of SOURCE_CASES) {
  node(`${name} alone brings a change in force within nine seconds at 460 nodes`, () => withNode(async bench => {
    await publish(bench, 'first')
    await bench.clock.advance(IN_FORCE_MILLISECONDS)
    assert.is(workspace(bench), 'first')
    Object.assign(bench, outages)
    await bench.clock.advance(IN_FORCE_MILLISECONDS)
    if (isAtPeer === true) putAtPeer(bench, 2, manifestText('second'))
    else await publish(bench, 'second')
    await bench.clock.advance(IN_FORCE_MILLISECONDS)
    assert.is(workspace(bench), 'second')
  }))
}

node('a watch brings a change in force at once', () => withNode(async bench => {
  await publish(bench, 'first')
  await bench.clock.advance(IN_FORCE_MILLISECONDS)
  await publish(bench, 'second')
  await bench.clock.advance(1)
  assert.is(workspace(bench), 'second')
}))

interface HeadCase {
  name: string
  /** What happens to a node that has generation 5, `held`, from its peer. */
  act: (bench: Bench) => void
  wanted: { generation: number, workspace: string }
  refusals?: number
}

const HELD = manifestText('held')
const OTHER = manifestText('other')
const NOT_A_MANIFEST = JSON.stringify({ format: 1, workspaces: 'none' })
const STAYS = { generation: 5, workspace: 'held' }

const HEAD_CASES: HeadCase[] = [
  { name: 'a higher generation of a peer', act: bench => putAtPeer(bench, 6, OTHER), wanted: { generation: 6, workspace: 'other' } },
  { name: 'a lower generation of a peer', act: bench => putAtPeer(bench, 4, OTHER), wanted: STAYS },
  { name: 'a peer\'s part with another digest', act: bench => putAtPeer(bench, 6, OTHER, HELD), wanted: STAYS, refusals: 1 },
  { name: 'a peer\'s part that is no manifest', act: bench => putAtPeer(bench, 6, NOT_A_MANIFEST), wanted: STAYS, refusals: 1 },
  {
    name: 'a peer\'s head that is none',
    act (bench) { bench.peer.head = { ...headOf(6, OTHER), parts: 'all' as never } },
    wanted: STAYS,
    refusals: 1
  },
  {
    name: 'a head in the service that is none',
    act: bench => overwrite(bench, CONFIGURATION_HEAD_KEY, '{}'),
    wanted: STAYS,
    refusals: 1
  },
  { name: 'an empty service gets the held head back', act: bench => bench.store.restore([], 1), wanted: STAYS },
  { name: 'the same generation twice, the other one published later', act: bench => putInStore(bench, { ...headOf(5, OTHER, 'x'), publishedAtMilliseconds: 9 }, OTHER), wanted: { generation: 6, workspace: 'other' }, refusals: 1 },
  { name: 'the same generation twice, the other one published earlier', act: bench => putInStore(bench, { ...headOf(5, OTHER, 'x'), publishedAtMilliseconds: 1 }, OTHER), wanted: { generation: 6, workspace: 'held' }, refusals: 1 }
]
for (const { name, act, wanted, refusals = 0 } of HEAD_CASES) {
  node(`${name}: generation ${wanted.generation} is in force`, () => withNode(async bench => {
    putAtPeer(bench, 5, HELD)
    await bench.clock.advance(IN_FORCE_MILLISECONDS)
    assert.is(generation(bench), 5)
    act(bench)
    await bench.clock.advance(2 * IN_FORCE_MILLISECONDS)
    assert.equal({ generation: generation(bench), workspace: workspace(bench) }, wanted)
    assert.is(bench.refusals.length, refusals, bench.refusals.join('; '))
  }))
}

interface StartCase {
  name: string
  stored: number
  atPeer: number
  wanted: number
}

const START_CASES: StartCase[] = [
  { name: 'the service is ahead', stored: 7, atPeer: 6, wanted: 7 },
  { name: 'a peer is ahead of a service restored from old state', stored: 6, atPeer: 7, wanted: 7 },
  { name: 'only a peer has one', stored: 0, atPeer: 3, wanted: 3 },
  { name: 'neither has one', stored: 0, atPeer: 0, wanted: 0 }
]
for (const { name, stored, atPeer, wanted } of START_CASES) {
  node(`a starting node, ${name}: it begins with generation ${wanted}`, () => {
    const seen: number[] = []
    return withNode(async bench => {
      await bench.clock.advance(IN_FORCE_MILLISECONDS)
      assert.equal(seen, wanted > 0 ? [wanted] : [])
    }, bench => {
      bench.configuration.onChange(version => { seen.push(version.head.generation) })
      if (stored > 0) putInStore(bench, headOf(stored, OTHER), OTHER)
      if (atPeer > 0) putAtPeer(bench, atPeer, HELD)
    })
  })
}
node.run()
