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

const NODE_ADDRESS = '10.0.0.1:7000'
const PEER_ADDRESS = '10.0.0.2:7000'
const FLEET_NODES = 460
const PROPAGATION_MILLISECONDS = 9000
const RANDOM = createSeededRandom(5)

interface Fixture {
  clock: PausedClock
  store: KeyValueStore
  network: MemoryPeerNetwork
  /** Another node, with the head and the parts that the test case sets. */
  peer: { head?: ConfigurationHead, parts: Array<{ digest: string, content: string }> }
  configuration: Configuration
  refusals: string[]
  isKeyValueOut: boolean
  isWatchOut: boolean
  isPeerOut: boolean
}

function withNode (run: (fixture: Fixture) => Promise<void>, prepare: (fixture: Fixture) => void = () => {}): Promise<void> {
  return withPausedClock(async clock => {
    const store = createKeyValueStore()
    const network = createMemoryPeerNetwork({ delayMilliseconds: () => 1 })
    const outages = { isKeyValueOut: false, isWatchOut: false, isPeerOut: false }
    const fixture = { clock, store, network, peer: { parts: [] }, refusals: [], ...outages } as unknown as Fixture
    servePeer(fixture)
    const peers = network.port(NODE_ADDRESS)
    const logger: Logger = {
      info: () => {},
      warn: (event, fields) => { if (event === LogEvent.ConfigurationRefused) fixture.refusals.push(String(fields?.reason)) }
    }
    const vmList = { list: async () => ({ ok: true as const, value: [] }) }
    const options = { peers, seeds: [PEER_ADDRESS], random: RANDOM, vmList, logger }
    const membership = createMembership({
      ...options, address: NODE_ADDRESS, vm: 'entry-1', failureDomain: 'howrah', generation: () => generation(fixture)
    })
    fixture.configuration = createConfiguration({
      ...options, membership: { ...membership, aliveNodeCount: () => FLEET_NODES }, keyValue: nodePort(fixture)
    })
    peers.serve({ ...membership.handlers, ...fixture.configuration.handlers })
    prepare(fixture)
    membership.start()
    fixture.configuration.start()
    try {
      await run(fixture)
    } finally {
      membership.stop()
      fixture.configuration.stop()
    }
  })
}

function servePeer (fixture: Fixture): void {
  const handlers: PeerHandlers = {
    [PeerMethod.Gossip]: async () => {
      if (fixture.isPeerOut) throw new Error('silent')
      const generation = fixture.peer.head?.generation ?? 0
      const sender = { address: PEER_ADDRESS, vm: 'entry-2', failureDomain: 'howrah', incarnation: 1, state: 'alive' as never, generation }
      return { sender, digest: '', targetDigest: '', members: [], domains: [], targetEvents: [], demand: {} }
    },
    [PeerMethod.ConfigurationHead]: async () => ({ head: fixture.peer.head }),
    [PeerMethod.ConfigurationParts]: async ({ digests }) => ({ parts: fixture.peer.parts.filter(part => digests.includes(part.digest)) })
  }
  fixture.network.port(PEER_ADDRESS).serve(handlers)
}

function nodePort (fixture: Fixture): KeyValuePort {
  const port = createMemoryKeyValue(fixture.store, { fault: () => fixture.isKeyValueOut ? KeyValueFault.Unreachable : undefined })
  return {
    ...port,
    async * watch (key, afterRevision, signal) {
      if (!fixture.isWatchOut) yield * port.watch(key, afterRevision, signal)
    }
  }
}

function manifestText (workspace: string): string {
  const workspaces = [{ name: workspace, keyDigests: ['0'.repeat(64)] }]
  return JSON.stringify(manifestSchema.parse({ format: 1, failureDomains: ['howrah'], workspaces }))
}

async function publish (fixture: Fixture, workspace: string): Promise<void> {
  const publishing = publishManifest(createMemoryKeyValue(fixture.store), RANDOM, manifestSchema.parse(JSON.parse(manifestText(workspace))))
  await fixture.clock.advance(1)
  await publishing
}

function headOf (generation: number, content: string, nonce = `nonce-${generation}`): ConfigurationHead {
  return { generation, nonce, publishedAtMilliseconds: generation, parts: [digestText(content)], stops: [] }
}

function putAtPeer (fixture: Fixture, generation: number, content: string, servedContent = content): void {
  fixture.peer.head = headOf(generation, content)
  fixture.peer.parts = [{ digest: digestText(content), content: servedContent }]
}

function putInStore (fixture: Fixture, head: ConfigurationHead, content: string): void {
  overwrite(fixture, CONFIGURATION_PART_PREFIX + digestText(content), content)
  overwrite(fixture, CONFIGURATION_HEAD_KEY, JSON.stringify(head))
}

function overwrite (fixture: Fixture, key: string, value: string): void {
  fixture.store.compareAndSwap({ key, value, expectedModRevision: fixture.store.get(key)?.modRevision ?? 0 })
}

const generation = (fixture: Fixture): number => fixture.configuration.current()?.head.generation ?? 0
const workspace = (fixture: Fixture): string | undefined => fixture.configuration.current()?.manifest.workspaces[0]?.name

const configurationTests = suite('configuration of a node')

interface SourceCase {
  name: string
  outages: Partial<Pick<Fixture, 'isKeyValueOut' | 'isWatchOut' | 'isPeerOut'>>
  isPublishedAtPeer?: boolean
}

const SOURCE_CASES: SourceCase[] = [
  { name: 'the poll', outages: { isWatchOut: true, isPeerOut: true } },
  { name: 'the watch', outages: { isPeerOut: true } },
  { name: 'gossip', outages: { isKeyValueOut: true, isWatchOut: true }, isPublishedAtPeer: true }
]
for (const { name, outages, isPublishedAtPeer } of SOURCE_CASES) {
  configurationTests(`${name} alone brings a change into force within nine seconds in a fleet of 460 nodes`, () => withNode(async fixture => {
    await publish(fixture, 'first')
    await fixture.clock.advance(PROPAGATION_MILLISECONDS)
    assert.is(workspace(fixture), 'first')
    Object.assign(fixture, outages)
    await fixture.clock.advance(PROPAGATION_MILLISECONDS)
    if (isPublishedAtPeer === true) putAtPeer(fixture, 2, manifestText('second'))
    else await publish(fixture, 'second')
    await fixture.clock.advance(PROPAGATION_MILLISECONDS)
    assert.is(workspace(fixture), 'second')
  }))
}

configurationTests('a watch brings a change into force at once', () => withNode(async fixture => {
  await publish(fixture, 'first')
  await fixture.clock.advance(PROPAGATION_MILLISECONDS)
  await publish(fixture, 'second')
  await fixture.clock.advance(1)
  assert.is(workspace(fixture), 'second')
}))

interface HeadCase {
  name: string
  /** Change made after the node has adopted generation 5, with workspace `held`, from its peer. */
  act: (fixture: Fixture) => void
  expected: { generation: number, workspace: string }
  refusals?: number
}

const CURRENT = manifestText('held')
const OTHER = manifestText('other')
const NOT_A_MANIFEST = JSON.stringify({ format: 1, workspaces: 'none' })
const UNCHANGED = { generation: 5, workspace: 'held' }

const HEAD_CASES: HeadCase[] = [
  { name: 'a higher generation at a peer', act: fixture => putAtPeer(fixture, 6, OTHER), expected: { generation: 6, workspace: 'other' } },
  { name: 'a lower generation at a peer', act: fixture => putAtPeer(fixture, 4, OTHER), expected: UNCHANGED },
  { name: 'a part of a peer that does not match its digest', act: fixture => putAtPeer(fixture, 6, OTHER, CURRENT), expected: UNCHANGED, refusals: 1 },
  { name: 'a part of a peer that is not a valid manifest', act: fixture => putAtPeer(fixture, 6, NOT_A_MANIFEST), expected: UNCHANGED, refusals: 1 },
  {
    name: 'a malformed head of a peer',
    act (fixture) { fixture.peer.head = { ...headOf(6, OTHER), parts: 'all' as never } },
    expected: UNCHANGED,
    refusals: 1
  },
  {
    name: 'a malformed head in the key-value service',
    act: fixture => overwrite(fixture, CONFIGURATION_HEAD_KEY, '{}'),
    expected: UNCHANGED,
    refusals: 1
  },
  { name: 'the key-value service lost its head', act: fixture => fixture.store.restore([], 1), expected: UNCHANGED },
  { name: 'another head of the same generation, published later', act: fixture => putInStore(fixture, { ...headOf(5, OTHER, 'x'), publishedAtMilliseconds: 9 }, OTHER), expected: { generation: 6, workspace: 'other' }, refusals: 1 },
  { name: 'another head of the same generation, published earlier', act: fixture => putInStore(fixture, { ...headOf(5, OTHER, 'x'), publishedAtMilliseconds: 1 }, OTHER), expected: { generation: 6, workspace: 'held' }, refusals: 1 }
]
for (const { name, act, expected, refusals = 0 } of HEAD_CASES) {
  configurationTests(`${name}: generation ${expected.generation} is in force`, () => withNode(async fixture => {
    putAtPeer(fixture, 5, CURRENT)
    await fixture.clock.advance(PROPAGATION_MILLISECONDS)
    assert.is(generation(fixture), 5)
    act(fixture)
    await fixture.clock.advance(2 * PROPAGATION_MILLISECONDS)
    assert.equal({ generation: generation(fixture), workspace: workspace(fixture) }, expected)
    assert.is(fixture.refusals.length, refusals, fixture.refusals.join('; '))
  }))
}

interface StartCase {
  name: string
  stored: number
  atPeer: number
  expected: number
}

const START_CASES: StartCase[] = [
  { name: 'the key-value service has the higher generation', stored: 7, atPeer: 6, expected: 7 },
  { name: 'a peer has a higher generation than the key-value service restored from an old snapshot', stored: 6, atPeer: 7, expected: 7 },
  { name: 'only a peer has a head', stored: 0, atPeer: 3, expected: 3 },
  { name: 'there is no head', stored: 0, atPeer: 0, expected: 0 }
]
for (const { name, stored, atPeer, expected } of START_CASES) {
  configurationTests(`a node that starts when ${name} begins with generation ${expected}`, () => {
    const seen: number[] = []
    return withNode(async fixture => {
      await fixture.clock.advance(PROPAGATION_MILLISECONDS)
      assert.equal(seen, expected > 0 ? [expected] : [])
    }, fixture => {
      fixture.configuration.onChange(version => { seen.push(version.head.generation) })
      if (stored > 0) putInStore(fixture, headOf(stored, OTHER), OTHER)
      if (atPeer > 0) putAtPeer(fixture, atPeer, CURRENT)
    })
  })
}
configurationTests.run()
