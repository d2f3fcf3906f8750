import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EngineOrderKind, FailureKind, Step, failed, success, type EnginePort } from '@wigeonlead/protocol'
import {
  KeyValueFault, createKeyValueStore, createMemoryKeyValue, withPausedClock, type Engine, type PausedClock
} from '@wigeonlead/stand-ins'
import { SILENT_LOGGER, createSeededRandom } from 'wigeonlead'
import {
  Duty, LeaseAttempt, PendingReason, candidateRank, createFencingLease, createOrderDispatch, lookIntervalMilliseconds,
  type Difference, type HeldLease, type ReconcilerStatus
} from '../../../src/process/reconciler/index.js'
import { OrderFault, createWorld, toManifest, type Declaration, type World } from '../../properties/reconciler-world.js'

const LEASE_MILLISECONDS = 9000
const WAIT_OUT_MILLISECONDS = 11_000
const RECOVERY_MILLISECONDS = 5000
const ALL: Declaration = { versions: ['v1'], serves: [[['v1', 0, 4]], [['v1', 0, 4]], [['v1', 0, 4]], [['v1', 0, 4]]] }
const ROLLED: Declaration = { versions: ['v1', 'v2'], serves: [[['v2', 0, 4]], [['v1', 0, 4]], [['v2', 0, 4]], [['v1', 0, 4, ['letters']]]] }

interface Case {
  name: string
  nodes?: number
  run: (world: World, clock: PausedClock) => Promise<void>
}

const CASES: Case[] = [
  {
    name: 'targets that check fencing are ordered at once, the others after the earlier holder is waited out',
    async run (world, clock) {
      await clock.advance(WAIT_OUT_MILLISECONDS - 1000)
      assert.equal(loads(world), { one: 1, two: 1, three: 0, four: 0 })
      assert.equal(reasonsAt(holderOf(world)), [PendingReason.WaitingOutHolder])
      await clock.advance(5000)
      assert.equal(loads(world), { one: 1, two: 1, three: 1, four: 1 })
      assert.equal(reasonsAt(holderOf(world)), [])
    }
  },
  {
    name: 'an engine that restarts empty gets its load again',
    async run (world, clock) {
      await clock.advance(30_000)
      engine(world, 'three').restart()
      await clock.advance(15_000)
      assert.equal(loads(world), { one: 1, two: 1, three: 2, four: 1 })
    }
  },
  {
    name: 'a version and an adapter roll out beside the old ones first',
    async run (world, clock) {
      await clock.advance(30_000)
      const version = world.publish(toManifest(ROLLED))
      for (const node of world.nodes) node.version = version
      await clock.advance(30_000)
      const kinds = engine(world, 'one').orders.filter(({ order }) => order.kind !== EngineOrderKind.SetRole).map(({ order }) => order.kind)
      assert.equal(kinds, [EngineOrderKind.Load, EngineOrderKind.Load, EngineOrderKind.Unload])
      assert.equal(engine(world, 'four').report().held.map(part => part.adapters), [['letters']])
    }
  },
  {
    name: 'a paused holder that wakes after its lease lapsed orders nothing',
    nodes: 2,
    async run (world, clock) {
      await clock.advance(30_000)
      const paused = holderOf(world)
      paused.faults.pausedUntil = Date.now() + 60_000
      for (const name of ['one', 'three']) engine(world, name).restart()
      await clock.advance(55_000)
      const before = orderCount(world)
      assert.is.not(holderOf(world), paused)
      await clock.advance(60_000)
      assert.is(orderCount(world), before)
      assert.is(paused.reconciler.status().isHolder, false)
    }
  },
  {
    name: 'in an hour without the key-value service nothing is ordered; targets that check tokens are 5 s after its return',
    nodes: 2,
    async run (world, clock) {
      await clock.advance(30_000)
      for (const node of world.nodes) node.faults.isCutOff = true
      await clock.advance(LEASE_MILLISECONDS)
      engine(world, 'one').restart()
      const before = orderCount(world)
      await clock.advance(3_600_000)
      assert.is(orderCount(world), before)
      for (const node of world.nodes) assert.equal(reasonsAt(node), [PendingReason.WaitingForLease])
      for (const node of world.nodes) node.faults.isCutOff = false
      await clock.advance(RECOVERY_MILLISECONDS)
      assert.is(engine(world, 'one').report().held.length, 1)
    }
  },
  {
    name: 'a holder that shuts down hands the lease back',
    nodes: 2,
    async run (world, clock) {
      await clock.advance(30_000)
      const first = holderOf(world)
      const token = first.reconciler.status().fencingToken ?? 0
      await first.reconciler.release()
      assert.is(world.store.get('/wigeonlead/reconciler/howrah'), undefined)
      await clock.advance(15_000)
      assert.ok((holderOf(world).reconciler.status().fencingToken ?? 0) > token)
    }
  },
  {
    name: 'a lost reply to an order costs no second load once the report shows it',
    async run (world, clock) {
      world.nodes[0]!.faults.orders = { fault: OrderFault.LostReply, calls: 6, milliseconds: 0 }
      await clock.advance(60_000)
      assert.equal(loads(world), { one: 1, two: 1, three: 1, four: 1 })
    }
  },
  {
    name: 'what an engine refuses is shown and tried again',
    async run (world, clock) {
      world.refusesLoads.add('two')
      await clock.advance(30_000)
      assert.equal(reasonsAt(holderOf(world)), [PendingReason.Refused])
      world.refusesLoads.delete('two')
      await clock.advance(15_000)
      assert.equal(reasonsAt(holderOf(world)), [])
    }
  },
  {
    name: 'a target that can not be reached is shown',
    async run (world, clock) {
      engine(world, 'four').faults.isDead = true
      await clock.advance(30_000)
      assert.equal(reasonsAt(holderOf(world)), [PendingReason.Unreachable])
    }
  },
  {
    name: 'three nodes of a domain cost the key-value service a write each 3 s',
    nodes: 3,
    async run (world, clock) {
      await clock.advance(30_000)
      const { reads, writes } = { ...world.store.counts }
      await clock.advance(300_000)
      assert.is(world.store.counts.writes - writes, 100)
      assert.ok(world.store.counts.reads - reads <= 100 + 50 + 34 + 10, `${world.store.counts.reads - reads} reads`)
    }
  }
]

const reconcilers = suite('reconciler')
for (const row of CASES) {
  reconcilers(row.name, () => withPausedClock(async clock => {
    const world = createWorld(row.nodes ?? 1, toManifest(ALL), 1)
    for (const node of world.nodes) node.reconciler.start()
    await row.run(world, clock)
    for (const node of world.nodes) node.kill()
    assert.equal(world.broken, [])
  }))
}

const ATTEMPTS: Array<{ name: string, operation: string, fault: KeyValueFault, expected: LeaseAttempt, leavesKey: boolean }> = [
  { name: 'the write', operation: 'compareAndSwap', fault: KeyValueFault.LostReply, expected: LeaseAttempt.Acquired, leavesKey: true },
  { name: 'the write itself', operation: 'compareAndSwap', fault: KeyValueFault.LostRequest, expected: LeaseAttempt.Unavailable, leavesKey: false },
  { name: 'the grant', operation: 'grantLease', fault: KeyValueFault.LostReply, expected: LeaseAttempt.Unavailable, leavesKey: false },
  { name: 'the look', operation: 'get', fault: KeyValueFault.LostReply, expected: LeaseAttempt.Unavailable, leavesKey: false }
]
for (const { name, operation, fault, expected, leavesKey } of ATTEMPTS) {
  reconcilers(`the lease when the reply to ${name} is lost`, () => withPausedClock(async () => {
    const store = createKeyValueStore()
    const keyValue = createMemoryKeyValue(store, { fault: called => called === operation ? fault : undefined })
    const lease = createFencingLease({
      keyValue, random: createSeededRandom(1), failureDomain: 'howrah', address: '10.0.0.1:80', timeToLiveMilliseconds: LEASE_MILLISECONDS
    })
    assert.is(await lease.acquire({ onlyLook: false }), expected)
    const entry = store.get('/wigeonlead/reconciler/howrah')
    assert.is(entry !== undefined, leavesKey)
    assert.is(lease.current()?.token, entry?.createRevision)
  }))
}

const DOUBTS: Array<{ name: string, readsWeights: boolean, isAnswered: boolean, isDoubtful: boolean }> = [
  { name: 'an answered load', readsWeights: true, isAnswered: true, isDoubtful: false },
  { name: 'a load without an answer', readsWeights: true, isAnswered: false, isDoubtful: true },
  { name: 'an answered removal', readsWeights: false, isAnswered: true, isDoubtful: true },
  { name: 'a removal without an answer', readsWeights: false, isAnswered: false, isDoubtful: true }
]
for (const { name, readsWeights, isAnswered, isDoubtful } of DOUBTS) {
  reconcilers(`a part after ${name} ${isDoubtful ? 'does not count' : 'counts'} as a replica`, () => withPausedClock(async clock => {
    const lost = failed<void>({ kind: FailureKind.TimedOut, step: Step.EngineOrder, peer: 'a', detail: 'lost', afterMilliseconds: 2000 })
    const lease = { token: 7, heldForMilliseconds: 0, remainingMilliseconds: 5000 }
    const { dispatch, difference } = createDispatch(lease, 60, async () => isAnswered ? success(undefined) : lost)
    await clock.advance(10_000)
    await dispatch.send({ ...difference('a'), readsWeights }, '1')
    const part = { model: 'assistant', version: 'v1', adapters: ['letters'], layers: { from: 0, to: 4 } }
    assert.is(dispatch.isDoubtful('a', part), isDoubtful)
    await clock.advance(WAIT_OUT_MILLISECONDS)
    assert.is(dispatch.isDoubtful('a', part), false)
  }))
}

const DEADLINES: Array<{ name: string, lease?: HeldLease, expected?: number }> = [
  { name: 'a long lease', lease: { token: 7, heldForMilliseconds: 0, remainingMilliseconds: 5000 }, expected: 2000 },
  { name: 'a short one', lease: { token: 7, heldForMilliseconds: 0, remainingMilliseconds: 700 }, expected: 700 },
  { name: 'one that is about to end', lease: { token: 7, heldForMilliseconds: 0, remainingMilliseconds: 99 } },
  { name: 'the lease of a later tenure', lease: { token: 8, heldForMilliseconds: 0, remainingMilliseconds: 5000 } },
  { name: 'none' }
]
for (const { name, lease, expected } of DEADLINES) {
  reconcilers(`the deadline of an order under ${name}`, async () => {
    const deadlines: number[] = []
    const { dispatch, difference } = createDispatch(lease, 60, async (_target, _token, _order, deadline) => {
      deadlines.push(deadline)
      return success(undefined)
    })
    const state = await dispatch.send(difference('one'), '1')
    assert.equal(deadlines, expected === undefined ? [] : [expected])
    assert.is(state.reason, expected === undefined ? PendingReason.WaitingForLease : PendingReason.Sent)
  })
}

reconcilers('loads keep to the pace of the weight store', () => withPausedClock(async clock => {
  const lease = { token: 7, heldForMilliseconds: 0, remainingMilliseconds: 5000 }
  const { dispatch, difference } = createDispatch(lease, 6, async () => success(undefined))
  const sendAll = async (): Promise<string[]> =>
    (await Promise.all(['a', 'b', 'c', 'd'].map(name => dispatch.send(difference(name), '1')))).map(({ reason }) => reason)
  await clock.advance(100_000)
  assert.equal(await sendAll(), ['sent', 'sent', 'paced', 'paced'])
  await clock.advance(10_000)
  assert.equal(await sendAll(), ['sent', 'sent', 'sent', 'paced'])
}))

reconcilers('candidates look the less often the later they rank', () => {
  const members = Array.from({ length: 42 }, (_, index) => ({
    address: `10.0.0.${index}:80`, vm: `${index}`, failureDomain: 'howrah', incarnation: 1, generation: 1
  }))
  const alive = members.map(member => ({ ...member, state: 'alive' as never }))
  const ranks = alive.map(({ address }) => candidateRank(Duty.EngineOrders, 'howrah', address, alive)).sort((a, b) => a - b)
  assert.equal(ranks, members.map((_, index) => index))
  assert.equal([0, 1, 19, 41].map(lookIntervalMilliseconds), [3000, 6000, 60_000, 60_000])
})
reconcilers.run()

function createDispatch (lease: HeldLease | undefined, loadsPerMinute: number, order: EnginePort['order']) {
  const none = async (): Promise<never> => { throw new Error('unused') }
  const dispatch = createOrderDispatch({
    engines: { order } as unknown as EnginePort,
    lease: { current: () => lease, holder: () => undefined, acquire: none, renew: none, release: none },
    logger: SILENT_LOGGER,
    token: 7,
    orderDeadlineMilliseconds: 2000,
    doubtMilliseconds: WAIT_OUT_MILLISECONDS,
    pace: { loadsPerMinute, burst: 2 }
  })
  const role = { kind: EngineOrderKind.SetRole as const, role: 'both' as never }
  const part = { model: 'assistant', version: 'v1', adapters: [], layers: { from: 0, to: 4 } }
  const difference = (name: string): Difference => ({
    target: { ...toManifest(ALL).targets[0]!, name },
    order: name === 'one' ? role : { kind: EngineOrderKind.Load, part },
    readsWeights: name !== 'one'
  })
  return { dispatch, difference }
}

function engine (world: World, name: string): Engine {
  return world.engines.get(name)!
}

function loads (world: World): Record<string, number> {
  return Object.fromEntries([...world.engines].map(([name, { orders }]) =>
    [name, orders.filter(({ order }) => order.kind === EngineOrderKind.Load).length]))
}

function orderCount (world: World): number {
  return [...world.engines.values()].reduce((sum, { orders }) => sum + orders.length, 0)
}

function holderOf (world: World): World['nodes'][number] {
  const holders = world.nodes.filter(node => node.reconciler.status().isHolder)
  assert.is(holders.length, 1)
  return holders[0]!
}

function reasonsAt (node: { reconciler: { status: () => ReconcilerStatus } }): string[] {
  return [...new Set(node.reconciler.status().pending.map(({ reason }) => reason))]
}
