import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { KeyValueFault, withPausedClock, type PausedClock } from '@wigeonlead/stand-ins'
import { ClaimResult, type ClaimOutcome, type ClaimedOrder } from '../src/request/claims/index.js'
import { PeerFault, TargetFault, createClaimFleet, type ClaimFleet } from './claim-fleet.js'

const START_MILLISECONDS = 1_700_000_000_000
const HOUR_MILLISECONDS = 3_600_000
/** Time after which an order has been claimed and its connection refused, but its release has not been written yet. */
const CLAIMED_AFTER_MILLISECONDS = 20
const ORDER: Omit<ClaimedOrder, 'deadlineAt'> = {
  workspace: 'desk', service: 'orders', key: 'leak-7', requestDigest: 'request', retentionSeconds: 86_400
}

interface Fixture {
  fleet: ClaimFleet
  clock: PausedClock
  /** Submits the order at a node. */
  submit: (node: number, change?: Partial<ClaimedOrder>, deadlineMilliseconds?: number) => Promise<ClaimOutcome>
  /** Submits the order at a node and advances the clock until it is answered. */
  settle: (node: number, change?: Partial<ClaimedOrder>) => Promise<ClaimOutcome>
}

interface Case {
  name: string
  domains?: number
  perform: (fixture: Fixture) => Promise<ClaimOutcome>
  result: ClaimResult
  /** How often the order has run at the end of the case. */
  runs: number
}

const CASES: Case[] = [
  { name: 'a first submission runs', result: ClaimResult.Answered, runs: 1, perform: ({ settle }) => settle(0) },
  {
    name: 'a repeat of a finished order returns the recorded outcome',
    result: ClaimResult.Answered,
    runs: 1,
    perform: async ({ settle }) => {
      await settle(0)
      return await settle(1)
    }
  },
  {
    name: 'a repeat at another node waits for the running order and returns its answer',
    result: ClaimResult.Answered,
    runs: 1,
    perform: async ({ fleet, clock, submit }) => {
      fleet.targetFault = TargetFault.Late
      void submit(0)
      await clock.advance(1000)
      const repeat = submit(1, {}, 30_000)
      await clock.advance(30_000)
      return await repeat
    }
  },
  {
    name: 'a repeat is uncertain if its deadline passes before the answer',
    result: ClaimResult.Uncertain,
    runs: 1,
    perform: async ({ fleet, clock, submit }) => {
      fleet.targetFault = TargetFault.Late
      void submit(0)
      await clock.advance(1000)
      const repeat = submit(1, {}, 5000)
      await clock.advance(5000)
      return await repeat
    }
  },
  {
    name: 'an answer after the deadline is recorded, although the caller received an uncertain outcome',
    result: ClaimResult.Answered,
    runs: 1,
    perform: async ({ fleet, clock, submit, settle }) => {
      fleet.targetFault = TargetFault.Late
      const first = submit(0, {}, 5000)
      await clock.advance(5000)
      assert.equal(summarize(await first), { kind: ClaimResult.Uncertain, wasSent: true })
      await clock.advance(20_000)
      return await settle(1)
    }
  },
  {
    name: 'an order whose answer was lost is never sent again',
    result: ClaimResult.Uncertain,
    runs: 1,
    perform: async ({ fleet, settle }) => {
      fleet.targetFault = TargetFault.LostAnswer
      await settle(0)
      fleet.targetFault = TargetFault.None
      return await settle(1)
    }
  },
  {
    name: 'an order stays uncertain if the claiming node was restarted while the order ran',
    result: ClaimResult.Uncertain,
    runs: 1,
    perform: async ({ fleet, clock, submit, settle }) => {
      fleet.targetFault = TargetFault.Late
      void submit(0)
      await clock.advance(1000)
      fleet.kill(0)
      return await settle(1)
    }
  },
  {
    name: 'a claim whose release could not be written is taken over',
    result: ClaimResult.Answered,
    runs: 1,
    perform: async ({ fleet, clock, submit, settle }) => {
      fleet.targetFault = TargetFault.Unreachable
      const first = submit(0)
      await clock.advance(CLAIMED_AFTER_MILLISECONDS)
      for (const node of fleet.nodes) node.keyValueFault = KeyValueFault.Unreachable
      await clock.advance(3000)
      assert.is((await first).kind, ClaimResult.NotSent)
      assert.is(countClaimedHeads(fleet), 1)
      clearFaults(fleet)
      fleet.targetFault = TargetFault.None
      return await settle(1)
    }
  },
  {
    name: 'an order whose claim is committed after more than ten seconds is not sent',
    result: ClaimResult.NotSent,
    runs: 0,
    perform: async ({ fleet, clock, submit }) => {
      const first = submit(0, {}, 60_000)
      await clock.advance(1)
      fleet.pause(0, 11_000)
      await clock.advance(12_000)
      return await first
    }
  },
  {
    name: 'an order during an outage of the key-value service is refused',
    result: ClaimResult.Unavailable,
    runs: 0,
    perform: async ({ fleet, settle }) => {
      for (const node of fleet.nodes) node.keyValueFault = KeyValueFault.Unreachable
      return await settle(0)
    }
  },
  {
    name: 'an order runs five seconds after the end of an outage of an hour',
    result: ClaimResult.Answered,
    runs: 1,
    perform: async ({ fleet, clock, settle }) => {
      for (const node of fleet.nodes) node.keyValueFault = KeyValueFault.LostRequest
      await settle(0)
      await clock.advance(HOUR_MILLISECONDS)
      clearFaults(fleet)
      await clock.advance(5000)
      return await settle(0)
    }
  },
  {
    name: 'an order whose claim was written with a lost reply is sent once',
    result: ClaimResult.Answered,
    runs: 1,
    perform: async ({ fleet, clock, submit }) => {
      for (const node of fleet.nodes) node.keyValueFault = KeyValueFault.LostReply
      const first = submit(0)
      await clock.advance(1001)
      clearFaults(fleet)
      await clock.advance(2000)
      return await first
    }
  },
  {
    name: 'a claim is committed without its home if the home can\'t be reached',
    result: ClaimResult.Answered,
    runs: 1,
    perform: async ({ fleet, settle }) => {
      for (const node of fleet.nodes) node.peerFault = PeerFault.Unreachable
      return await settle(0)
    }
  },
  {
    name: 'an order that is submitted in three failure domains without contact to each other runs once',
    domains: 3,
    result: ClaimResult.Answered,
    runs: 1,
    perform: async ({ fleet, clock, submit }) => {
      for (const node of fleet.nodes) node.peerFault = PeerFault.Unreachable
      const all = [submit(0), submit(1), submit(2)]
      await clock.advance(15_000)
      const outcomes = await Promise.all(all)
      return outcomes.find(({ kind }) => kind === ClaimResult.Answered) ?? outcomes[0] as ClaimOutcome
    }
  },
  {
    name: 'a key that was used for another request is refused',
    result: ClaimResult.KeyReused,
    runs: 1,
    perform: async ({ settle }) => {
      await settle(0)
      return await settle(1, { requestDigest: 'another' })
    }
  },
  {
    name: 'a UUIDv7 of the present time runs',
    result: ClaimResult.Answered,
    runs: 1,
    perform: ({ settle }) => settle(0, { key: uuidAt(START_MILLISECONDS) })
  },
  {
    name: 'a UUIDv7 older than the retention is refused',
    result: ClaimResult.KeyExpired,
    runs: 0,
    perform: ({ settle }) => settle(0, { key: uuidAt(START_MILLISECONDS - 25 * HOUR_MILLISECONDS) })
  },
  {
    name: 'a UUIDv7 that has run is refused once its claim may have been dropped',
    result: ClaimResult.KeyExpired,
    runs: 1,
    perform: async ({ clock, settle }) => {
      await settle(0, { key: uuidAt(START_MILLISECONDS) })
      await clock.advance(25 * HOUR_MILLISECONDS)
      return await settle(1, { key: uuidAt(START_MILLISECONDS) })
    }
  },
  {
    name: 'a UUIDv7 of tomorrow is refused',
    result: ClaimResult.KeyFromFuture,
    runs: 0,
    perform: ({ settle }) => settle(0, { key: uuidAt(START_MILLISECONDS + 24 * HOUR_MILLISECONDS) })
  },
  {
    name: 'a released order whose caller counts its submissions is certainly not run',
    result: ClaimResult.NotRun,
    runs: 0,
    perform: async ({ fleet, settle }) => {
      fleet.targetFault = TargetFault.Unreachable
      return await settle(0, { previousAttempts: 0 })
    }
  },
  {
    name: 'a delayed duplicate of a released submission never runs',
    result: ClaimResult.FencedOff,
    runs: 0,
    perform: async ({ fleet, settle }) => {
      fleet.targetFault = TargetFault.Unreachable
      await settle(0, { previousAttempts: 1 })
      fleet.targetFault = TargetFault.None
      assert.is((await settle(1, { previousAttempts: 0 })).kind, ClaimResult.FencedOff)
      return await settle(2, { previousAttempts: 1 })
    }
  },
  {
    name: 'the caller\'s next submission after a release runs',
    result: ClaimResult.Answered,
    runs: 1,
    perform: async ({ fleet, settle }) => {
      fleet.targetFault = TargetFault.Unreachable
      await settle(0, { previousAttempts: 0 })
      fleet.targetFault = TargetFault.None
      return await settle(1, { previousAttempts: 1 })
    }
  },
  {
    name: 'the fence of a release stays in force after a later claim whose release could not be written',
    result: ClaimResult.FencedOff,
    runs: 0,
    perform: async ({ fleet, clock, submit, settle }) => {
      fleet.targetFault = TargetFault.Unreachable
      await settle(0, { previousAttempts: 0 })
      const second = submit(0, { previousAttempts: 1 })
      await clock.advance(CLAIMED_AFTER_MILLISECONDS)
      for (const node of fleet.nodes) node.keyValueFault = KeyValueFault.Unreachable
      await clock.advance(3000)
      assert.is((await second).kind, ClaimResult.NotSent)
      assert.is(countClaimedHeads(fleet), 1)
      clearFaults(fleet)
      fleet.targetFault = TargetFault.None
      return await settle(1, { previousAttempts: 0 })
    }
  }
]

const claims = suite('claims')
for (const { name, domains, perform, result, runs } of CASES) {
  claims(name, () => withPausedClock(async clock => {
    const fixture = createFixture(clock, domains)
    const outcome = await perform(fixture)
    await clock.advance(30_000)
    assert.is(outcome.kind, result)
    assert.is(fixture.fleet.ledger.length, runs)
  }))
}

claims('outcomes survive the sealing of their entries into segments and the restart of the nodes that recorded them', () => withPausedClock(async clock => {
  const { fleet, submit } = createFixture(clock)
  const orders = Array.from({ length: 3000 }, (_, index) => submit(index % 3, { key: `order-${index}` }))
  await clock.advance(10_000)
  await Promise.all(orders)
  assert.ok(fleet.store.list('/wigeonlead/claims/').some(({ key }) => key.includes('/segments/')))
  assert.ok(fleet.store.list('/wigeonlead/claims/').every(({ value }) => value.length < 262_144))
  for (const index of [0, 1, 2]) fleet.kill(index)
  const repeats = Array.from({ length: 3000 }, (_, index) => submit(index % 3, { key: `order-${index}` }))
  await clock.advance(10_000)
  assert.ok((await Promise.all(repeats)).every(({ kind }) => kind === ClaimResult.Answered))
  assert.is(fleet.ledger.length, 3000)
}))

claims('orders during a long outage are refused at once', () => withPausedClock(async clock => {
  const { fleet, submit, settle } = createFixture(clock)
  for (const node of fleet.nodes) node.keyValueFault = KeyValueFault.LostRequest
  for (const key of ['first', 'second', 'third', 'fourth']) for (const node of [0, 1, 2]) await settle(node, { key: `${key}-${node}` })
  let answeredAtOnce = 0
  for (let index = 0; index < 100; index += 1) {
    const startedAt = clock.now()
    void submit(index % 3, { key: `order-${index}` }).then(() => { answeredAtOnce += clock.now() - startedAt <= 10 ? 1 : 0 })
    await clock.advance(100)
  }
  await clock.advance(30_000)
  assert.is(answeredAtOnce, 100)
  assert.is(fleet.ledger.length, 0)
}))

claims('segments of expired entries are deleted', () => withPausedClock(async clock => {
  const { fleet, submit, settle } = createFixture(clock)
  for (let index = 0; index < 3000; index += 1) void submit(index % 3, { key: `order-${index}`, retentionSeconds: 60 })
  await clock.advance(HOUR_MILLISECONDS)
  for (let index = 0; index < 40; index += 1) await settle(0, { key: `later-${index}` })
  const left = fleet.store.list('/wigeonlead/claims/')
  assert.ok(left.every(({ key }) => !key.includes('/segments/')), `${left.length} values are left`)
}))
claims.run()

function createFixture (clock: PausedClock, domains = 1): Fixture {
  const fleet = createClaimFleet(3, 1, domains)
  let submissions = 0
  const submit: Fixture['submit'] = (index, change = {}, deadlineMilliseconds = 12_000) => {
    const node = fleet.nodes[index] as ClaimFleet['nodes'][number]
    const order = { ...ORDER, ...change, deadlineAt: clock.now() + deadlineMilliseconds }
    submissions += 1
    return node.claims.run(order, fleet.sender(node, { key: order.key, submission: submissions, previousAttempts: order.previousAttempts }))
  }
  const settle: Fixture['settle'] = async (node, change) => {
    const outcome = submit(node, change)
    await clock.advance(12_000)
    return await outcome
  }
  return { fleet, clock, submit, settle }
}

function summarize (outcome: ClaimOutcome): object {
  return outcome.kind === ClaimResult.Uncertain ? { kind: outcome.kind, wasSent: outcome.wasSent } : { kind: outcome.kind }
}

function clearFaults (fleet: ClaimFleet): void {
  for (const node of fleet.nodes) node.keyValueFault = undefined
}

/** Counts the stored heads whose first entry is a claim, which is stored as state 0. */
function countClaimedHeads (fleet: ClaimFleet): number {
  return fleet.store.list('/wigeonlead/claims/').filter(({ value }) => value.includes('"e":[[0,')).length
}

function uuidAt (milliseconds: number): string {
  const time = milliseconds.toString(16).padStart(12, '0')
  return `${time.slice(0, 8)}-${time.slice(8)}-7abc-8def-0123456789ab`
}
