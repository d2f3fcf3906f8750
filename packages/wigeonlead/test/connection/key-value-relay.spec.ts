import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  FailureKind, MemberState, PeerMethod, Step, WriteResult, failed, success,
  type Failure, type KeyValuePort, type MemberEntry, type PeerPort
} from '@wigeonlead/protocol'
import { KeyValueFault, createKeyValueStore, createMemoryKeyValue, withPausedClock, type KeyValueStore } from '@wigeonlead/stand-ins'
import { createRelayedKeyValue } from '../../src/connection/index.js'

const KEY = '/wigeonlead/claims/0/head'

/** A write by a node, with faults of the key-value service and of the node's peers. */
interface Case {
  name: string
  /** Fault of the node's direct calls to the service. */
  direct?: KeyValueFault
  /** Faults of the calls to each peer, and of the peer's direct calls to the service. */
  peers: Array<{ call?: FailureKind.Unreachable | FailureKind.Broken, service?: KeyValueFault }>
  result: WriteResult
  isWritten: boolean
  /** Number of calls to peers. */
  calls: number
}

const CASES: Case[] = [
  { name: 'a write goes directly to the service while it can be reached', peers: [{}], result: WriteResult.Committed, isWritten: true, calls: 0 },
  { name: 'a peer relays a write while the service can\'t be reached', direct: KeyValueFault.Unreachable, peers: [{}], result: WriteResult.Committed, isWritten: true, calls: 1 },
  {
    name: 'a direct write whose reply is lost is not relayed',
    direct: KeyValueFault.LostReply,
    peers: [{}],
    result: WriteResult.Ambiguous,
    isWritten: true,
    calls: 0
  },
  { name: 'nothing is sent where there is no peer', direct: KeyValueFault.Unreachable, peers: [], result: WriteResult.NotSent, isWritten: false, calls: 0 },
  {
    name: 'the next peer is called where one can\'t be reached',
    direct: KeyValueFault.Unreachable,
    peers: [{ call: FailureKind.Unreachable }, {}],
    result: WriteResult.Committed,
    isWritten: true,
    calls: 2
  },
  {
    name: 'the next peer is called where one can\'t reach the service either',
    direct: KeyValueFault.Unreachable,
    peers: [{ service: KeyValueFault.Unreachable }, {}],
    result: WriteResult.Committed,
    isWritten: true,
    calls: 2
  },
  {
    name: 'a relayed write whose answer is lost is ambiguous, and no other peer is called',
    direct: KeyValueFault.Unreachable,
    peers: [{ call: FailureKind.Broken }, {}],
    result: WriteResult.Ambiguous,
    isWritten: true,
    calls: 1
  },
  {
    name: 'a relayed write is ambiguous where the peer loses the service\'s reply',
    direct: KeyValueFault.Unreachable,
    peers: [{ service: KeyValueFault.LostReply }, {}],
    result: WriteResult.Ambiguous,
    isWritten: true,
    calls: 1
  },
  {
    name: 'nothing is sent where no peer can reach the service',
    direct: KeyValueFault.Unreachable,
    peers: [{ service: KeyValueFault.Unreachable }, { service: KeyValueFault.Unreachable }],
    result: WriteResult.NotSent,
    isWritten: false,
    calls: 2
  }
]

const relay = suite('key-value relay')
for (const { name, direct, peers, result, isWritten, calls } of CASES) {
  relay(name, async () => {
    const fixture = createFixture(peers, () => direct)
    const outcome = await fixture.keyValue.compareAndSwap({ key: KEY, expectedModRevision: 0, value: 'claims' })
    assert.is(outcome.kind, result)
    assert.is(fixture.store.get(KEY) !== undefined, isWritten)
    assert.is(fixture.calls(), calls)
  })
}

relay('a relayed conflict returns the stored entry', async () => {
  const fixture = createFixture([{}], () => KeyValueFault.Unreachable)
  await fixture.keyValue.compareAndSwap({ key: KEY, expectedModRevision: 0, value: 'first' })
  const outcome = await fixture.keyValue.compareAndSwap({ key: KEY, expectedModRevision: 0, value: 'second' })
  assert.is(outcome.kind === WriteResult.Conflict && outcome.current?.value, 'first')
  const read = await fixture.keyValue.get(KEY)
  assert.is(read.ok && read.value.entry?.value, 'first')
})

relay('a direct call is tried again after 2 s', () => withPausedClock(async clock => {
  let fault: KeyValueFault | undefined = KeyValueFault.Unreachable
  const fixture = createFixture([{}], () => fault)
  await fixture.keyValue.get(KEY)
  fault = undefined
  await fixture.keyValue.get(KEY)
  assert.is(fixture.calls(), 2)
  await clock.advance(2001)
  await fixture.keyValue.get(KEY)
  assert.is(fixture.calls(), 2)
}))

for (const [name, key, value] of [['a key outside the router\'s prefix', '/other/key', 'x'], ['a value over the limit', KEY, 'x'.repeat(1_048_577)]] as const) {
  relay(`${name} is not relayed`, async () => {
    const fixture = createFixture([{}], () => KeyValueFault.Unreachable)
    const outcome = await fixture.keyValue.compareAndSwap({ key, expectedModRevision: 0, value })
    assert.is(outcome.kind, WriteResult.NotSent)
    assert.is(fixture.store.get(key), undefined)
  })
}
relay.run()

interface Fixture {
  keyValue: KeyValuePort
  store: KeyValueStore
  calls: () => number
}

function createFixture (peers: Case['peers'], fault: () => KeyValueFault | undefined): Fixture {
  const store = createKeyValueStore()
  const members = ['self', ...peers.map((_, index) => `peer-${index}`)].map(createMember)
  const self = (): MemberEntry => members[0] as MemberEntry
  const relays = peers.map(({ service }) => {
    const direct = createMemoryKeyValue(store, { fault: () => service })
    return createRelayedKeyValue({ direct, peers: UNREACHABLE_PEERS, self, members: () => members })
  })
  let calls = 0

  const port: PeerPort = {
    serve: () => {},
    async call (address, method, parameters) {
      const index = Number(address.split('-')[1])
      const callFault = peers[index]?.call
      calls += 1
      if (callFault === FailureKind.Unreachable) return failed(failure(callFault))
      try {
        const result = await relays[index]?.handlers[PeerMethod.KeyValueRelay]?.(parameters as never, 'self')
        return callFault === undefined ? success(result as never) : failed(failure(callFault))
      } catch {
        return failed(failure(FailureKind.Refused))
      }
    }
  }
  const direct = createMemoryKeyValue(store, { fault })
  return { keyValue: createRelayedKeyValue({ direct, peers: port, self, members: () => members }).keyValue, store, calls: () => calls }
}

const UNREACHABLE_PEERS: PeerPort = { serve: () => {}, call: async () => failed(failure(FailureKind.Unreachable)) }

function createMember (address: string): MemberEntry {
  return { address, vm: address, failureDomain: address, incarnation: 1, state: MemberState.Alive, generation: 1 }
}

function failure (kind: FailureKind.Unreachable | FailureKind.Broken | FailureKind.Refused): Failure {
  return { kind, step: Step.Peer, peer: 'memory', detail: kind }
}
