import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EngineOrderKind, FailureKind, Step, failed, success, type EnginePort } from '@wigeonlead/protocol'
import {
  KeyValueFault, createKeyValueStore, createMemoryKeyValue, withPausedClock, type Engine, type PausedClock
} from '@wigeonlead/stand-ins'
import { SILENT_LOGGER, createSeededRandom } from 'wigeonlead'
import {
  Duty, LeaseAttempt, PendingReason, candidateRank, createFencingLease, createOrderDispatch, leasePollIntervalMilliseconds,
  type Difference, type HeldLease, type ReconcilerStatus
} from '../../../src/process/reconciler/index.js'
import { OrderFault, createWorld, toManifest, type Declaration, type World } from '../../properties/reconciler-world.js'

const LEASE_MILLISECONDS = 9000
const ORDER_EXPIRY_MILLISECONDS = 11_000
const RECOVERY_LIMIT_MILLISECONDS = 5000
const WHOLE_V1_ON_ALL: Declaration = { versions: ['v1'], serves: [[['v1', 0, 4]], [['v1', 0, 4]], [['v1', 0, 4]], [['v1', 0, 4]]] }
const ROLLOUT_OF_V2: Declaration = { versions: ['v1', 'v2'], serves: [[['v2', 0, 4]], [['v1', 0, 4]], [['v2', 0, 4]], [['v1', 0, 4, ['letters']]]] }

interface Case {
  name: string
  nodes?: number
  run: (world: World, clock: PausedClock) => Promise<void>
}

const CASES: Case[] = [
  {
    name: 'targets that check fencing tokens get orders at once, the others after orders of earlier holders have expired',
    async run (world, clock) {
      await clock.advance(ORDER_EXPIRY_MILLISECONDS - 1000)
      assert.equal(loadCounts(world), { one: 1, two: 1, three: 0, four: 0 })
      assert.equal(reasonsAt(holderOf(world)), [PendingReason.WaitingOutEarlierHolder])
      await clock.advance(5000)
      assert.equal(loadCounts(world), { one: 1, two: 1, three: 1, four: 1 })
      assert.equal(reasonsAt(holderOf(world)), [])
    }
  },
  {
    name: 'an engine that restarts empty is loaded again',
    async run (world, clock) {
      await clock.advance(30_000)
      engineNamed(world, 'three').restart()
      await clock.advance(15_000)
      assert.equal(loadCounts(world), { one: 1, two: 1, three: 2, four: 1 })
    }
  },
  {
    name: 'a new version and a new adapter are loaded before the old ones are unloaded',
    async run (world, clock) {
      await clock.advance(30_000)
      const version = world.publish(toManifest(ROLLOUT_OF_V2))
      for (const node of world.nodes) node.version = version
      await clock.advance(30_000)
      const kinds = engineNamed(world, 'one').orders.filter(({ order }) => order.kind !== EngineOrderKind.SetRole).map(({ order }) => order.kind)
      assert.equal(kinds, [EngineOrderKind.Load, EngineOrderKind.Load, EngineOrderKind.Unload])
      assert.equal(engineNamed(world, 'four').report().held.map(part => part.adapters), [['letters']])
    }
  },
  {
    name: 'a paused holder that resumes after its lease expired sends no order',
    nodes: 2,
    async run (world, clock) {
      await clock.advance(30_000)
      const paused = holderOf(world)
      paused.faults.pausedUntil = Date.now() + 60_000
      for (const name of ['one', 'three']) engineNamed(world, name).restart()
      await clock.advance(55_000)
      const before = orderCount(world)
      assert.is.not(holderOf(world), paused)
      await clock.advance(60_000)
      assert.is(orderCount(world), before)
      assert.is(paused.reconciler.status().isHolder, false)
    }
  },
  {
    name: 'no order is sent during an hour without the key-value service; targets that check fencing tokens get orders within 5 s of its return',
    nodes: 2,
    async run (world, clock) {
      await clock.advance(30_000)
      for (const node of world.nodes) node.faults.isCutOff = true
      await clock.advance(LEASE_MILLISECONDS)
      engineNamed(world, 'one').restart()
      const before = orderCount(world)
      await clock.advance(3_600_000)
      assert.is(orderCount(world), before)
      for (const node of world.nodes) assert.equal(reasonsAt(node), [PendingReason.WaitingForLease])
      for (const node of world.nodes) node.faults.isCutOff = false
      await clock.advance(RECOVERY_LIMIT_MILLISECONDS)
      assert.is(engineNamed(world, 'one').report().held.length, 1)
    }
  },
  {
    name: 'a holder that shuts down revokes its lease',
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
    name: 'a load whose reply was lost is not sent again once the report shows its effect',
    async run (world, clock) {
      world.nodes[0]!.faults.orders = { fault: OrderFault.LostReply, calls: 6, milliseconds: 0 }
      await clock.advance(60_000)
      assert.equal(loadCounts(world), { one: 1, two: 1, three: 1, four: 1 })
    }
  },
  {
    name: 'a refused order is shown as pending and sent again',
    async run (world, clock) {
      world.enginesRefusingLoads.add('two')
      await clock.advance(30_000)
      assert.equal(reasonsAt(holderOf(world)), [PendingReason.Refused])
      world.enginesRefusingLoads.delete('two')
      await clock.advance(15_000)
      assert.equal(reasonsAt(holderOf(world)), [])
    }
  },
  {
    name: 'an unreachable target is shown as pending',
    async run (world, clock) {
      engineNamed(world, 'four').faults.isDead = true
      await clock.advance(30_000)
      assert.equal(reasonsAt(holderOf(world)), [PendingReason.Unreachable])
    }
  },
  {
    name: 'three nodes of a failure domain make one write to the key-value service every 3 s',
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

const reconcilerTests = suite('reconciler')
for (const row of CASES) {
  reconcilerTests(row.name, () => withPausedClock(async clock => {
    const world = createWorld(row.nodes ?? 1, toManifest(WHOLE_V1_ON_ALL), 1)
    for (const node of world.nodes) node.reconciler.start()
    await row.run(world, clock)
    for (const node of world.nodes) node.kill()
    assert.equal(world.violations, [])
  }))
}

const LEASE_FAULT_CASES: Array<{ name: string, operation: string, fault: KeyValueFault, expected: LeaseAttempt, leavesKey: boolean }> = [
  { name: 'the reply to the write of the key is lost', operation: 'compareAndSwap', fault: KeyValueFault.LostReply, expected: LeaseAttempt.Acquired, leavesKey: true },
  { name: 'the write of the key is lost', operation: 'compareAndSwap', fault: KeyValueFault.LostRequest, expected: LeaseAttempt.Unavailable, leavesKey: false },
  { name: 'the reply to the grant is lost', operation: 'grantLease', fault: KeyValueFault.LostReply, expected: LeaseAttempt.Unavailable, leavesKey: false },
  { name: 'the reply to the read of the key is lost', operation: 'get', fault: KeyValueFault.LostReply, expected: LeaseAttempt.Unavailable, leavesKey: false }
]
for (const { name, operation, fault, expected, leavesKey } of LEASE_FAULT_CASES) {
  reconcilerTests(`acquiring the lease when ${name}`, () => withPausedClock(async () => {
    const store = createKeyValueStore()
    const keyValue = createMemoryKeyValue(store, { fault: called => called === operation ? fault : undefined })
    const lease = createFencingLease({
      keyValue, random: createSeededRandom(1), failureDomain: 'howrah', address: '10.0.0.1:80', timeToLiveMilliseconds: LEASE_MILLISECONDS
    })
    assert.is(await lease.acquire({ readOnly: false }), expected)
    const entry = store.get('/wigeonlead/reconciler/howrah')
    assert.is(entry !== undefined, leavesKey)
    assert.is(lease.current()?.token, entry?.createRevision)
  }))
}

const REPLICA_CASES: Array<{ name: string, readsWeights: boolean, hasReply: boolean, mayStillChange: boolean }> = [
  { name: 'a load with a reply', readsWeights: true, hasReply: true, mayStillChange: false },
  { name: 'a load without a reply', readsWeights: true, hasReply: false, mayStillChange: true },
  { name: 'a removal with a reply', readsWeights: false, hasReply: true, mayStillChange: true },
  { name: 'a removal without a reply', readsWeights: false, hasReply: false, mayStillChange: true }
]
for (const { name, readsWeights, hasReply, mayStillChange } of REPLICA_CASES) {
  reconcilerTests(`a part after ${name} ${mayStillChange ? 'does not count' : 'counts'} as a replica`, () => withPausedClock(async clock => {
    const noReply = failed<void>({ kind: FailureKind.TimedOut, step: Step.EngineOrder, peer: 'a', detail: 'lost', afterMilliseconds: 2000 })
    const lease = { token: 7, heldForMilliseconds: 0, remainingMilliseconds: 5000 }
    const { dispatch, difference } = createDispatch(lease, 60, async () => hasReply ? success(undefined) : noReply)
    await clock.advance(10_000)
    await dispatch.send({ ...difference('a'), readsWeights }, '1')
    const part = { model: 'assistant', version: 'v1', adapters: ['letters'], layers: { from: 0, to: 4 } }
    assert.is(dispatch.mayStillChange('a', part), mayStillChange)
    await clock.advance(ORDER_EXPIRY_MILLISECONDS)
    assert.is(dispatch.mayStillChange('a', part), false)
  }))
}

const DEADLINE_CASES: Array<{ name: string, lease?: HeldLease, expected?: number }> = [
  { name: 'a lease that outlasts the order deadline', lease: { token: 7, heldForMilliseconds: 0, remainingMilliseconds: 5000 }, expected: 2000 },
  { name: 'a lease that expires before the order deadline', lease: { token: 7, heldForMilliseconds: 0, remainingMilliseconds: 700 }, expected: 700 },
  { name: 'a lease that is about to expire', lease: { token: 7, heldForMilliseconds: 0, remainingMilliseconds: 99 } },
  { name: 'a lease of a later tenure', lease: { token: 8, heldForMilliseconds: 0, remainingMilliseconds: 5000 } },
  { name: 'no lease' }
]
for (const { name, lease, expected } of DEADLINE_CASES) {
  reconcilerTests(`deadline of an order under ${name}`, async () => {
    const deadlines: number[] = []
    const { dispatch, difference } = createDispatch(lease, 60, async (_target, _token, _order, deadline) => {
      deadlines.push(deadline)
      return success(undefined)
    })
    const state = await dispatch.send(difference('one'), '1')
    assert.equal(deadlines, expected === undefined ? [] : [expected])
    assert.is(state.reason, expected === undefined ? PendingReason.WaitingForLease : PendingReason.OrderSent)
  })
}

reconcilerTests('loads are sent at the rate limit of the weight store', () => withPausedClock(async clock => {
  const lease = { token: 7, heldForMilliseconds: 0, remainingMilliseconds: 5000 }
  const { dispatch, difference } = createDispatch(lease, 6, async () => success(undefined))
  const sendAll = async (): Promise<string[]> =>
    (await Promise.all(['a', 'b', 'c', 'd'].map(name => dispatch.send(difference(name), '1')))).map(({ reason }) => reason)
  await clock.advance(100_000)
  assert.equal(await sendAll(), ['sent', 'sent', 'paced', 'paced'])
  await clock.advance(10_000)
  assert.equal(await sendAll(), ['sent', 'sent', 'sent', 'paced'])
}))

reconcilerTests('candidates of a later rank poll the lease less often', () => {
  const members = Array.from({ length: 42 }, (_, index) => ({
    address: `10.0.0.${index}:80`, vm: `${index}`, failureDomain: 'howrah', incarnation: 1, generation: 1
  }))
  const alive = members.map(member => ({ ...member, state: 'alive' as never }))
  const ranks = alive.map(({ address }) => candidateRank(Duty.EngineOrders, 'howrah', address, alive)).sort((a, b) => a - b)
  assert.equal(ranks, members.map((_, index) => index))
  assert.equal([0, 1, 19, 41].map(leasePollIntervalMilliseconds), [3000, 6000, 60_000, 60_000])
})
reconcilerTests.run()

/** Creates a dispatch, and a function that returns a difference: a role change for the target `one`, a load for any other target. */
function createDispatch (lease: HeldLease | undefined, loadsPerMinute: number, order: EnginePort['order']) {
  const unused = async (): Promise<never> => { throw new Error('unused') }
  const dispatch = createOrderDispatch({
    engines: { order } as unknown as EnginePort,
    lease: { current: () => lease, holder: () => undefined, acquire: unused, renew: unused, release: unused },
    logger: SILENT_LOGGER,
    token: 7,
    orderDeadlineMilliseconds: 2000,
    orderLifetimeMilliseconds: ORDER_EXPIRY_MILLISECONDS,
    loadRate: { loadsPerMinute, burstLoads: 2 }
  })
  const role = { kind: EngineOrderKind.SetRole as const, role: 'both' as never }
  const part = { model: 'assistant', version: 'v1', adapters: [], layers: { from: 0, to: 4 } }
  const difference = (name: string): Difference => ({
    target: { ...toManifest(WHOLE_V1_ON_ALL).targets[0]!, name },
    order: name === 'one' ? role : { kind: EngineOrderKind.Load, part },
    readsWeights: name !== 'one'
  })
  return { dispatch, difference }
}

function engineNamed (world: World, name: string): Engine {
  return world.engines.get(name)!
}

function loadCounts (world: World): Record<string, number> {
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
