import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  FailureKind, MemberState, PeerMethod, Step, WriteResult, failed, success,
  type Failure, type KeyValuePort, type MemberEntry, type PeerPort
} from '@wigeonlead/protocol'
import { KeyValueFault, createKeyValueStore, createMemoryKeyValue, withPausedClock, type KeyValueStore } from '@wigeonlead/stand-ins'
import { createRelayedKeyValue } from '../../src/connection/index.js'

const KEY = '/wigeonlead/claims/0/head'

/** What the service and the peers of a node that is cut off do. */
interface Case {
  name: string
  /** Fault of the node's own way to the service. */
  direct?: KeyValueFault
  /** Faults of the ways to the peers, and of the peers' own ways to the service. */
  peers: Array<{ call?: FailureKind.Unreachable | FailureKind.Broken, service?: KeyValueFault }>
  result: WriteResult
  isWritten: boolean
  /** Calls of peers. */
  calls: number
}

const CASES: Case[] = [
  { name: 'the direct way is taken while it is there', peers: [{}], result: WriteResult.Committed, isWritten: true, calls: 0 },
  { name: 'a peer relays', direct: KeyValueFault.Unreachable, peers: [{}], result: WriteResult.Committed, isWritten: true, calls: 1 },
  {
    name: 'a lost direct reply is not relayed',
    direct: KeyValueFault.LostReply,
    peers: [{}],
    result: WriteResult.Ambiguous,
    isWritten: true,
    calls: 0
  },
  { name: 'without a peer nothing is sent', direct: KeyValueFault.Unreachable, peers: [], result: WriteResult.NotSent, isWritten: false, calls: 0 },
  {
    name: 'the next peer is asked where one can\'t be reached',
    direct: KeyValueFault.Unreachable,
    peers: [{ call: FailureKind.Unreachable }, {}],
    result: WriteResult.Committed,
    isWritten: true,
    calls: 2
  },
  {
    name: 'the next peer is asked where one is cut off too',
    direct: KeyValueFault.Unreachable,
    peers: [{ service: KeyValueFault.Unreachable }, {}],
    result: WriteResult.Committed,
    isWritten: true,
    calls: 2
  },
  {
    name: 'a relay whose answer is lost is ambiguous, and no other is asked',
    direct: KeyValueFault.Unreachable,
    peers: [{ call: FailureKind.Broken }, {}],
    result: WriteResult.Ambiguous,
    isWritten: true,
    calls: 1
  },
  {
    name: 'a relay that loses its own answer is ambiguous',
    direct: KeyValueFault.Unreachable,
    peers: [{ service: KeyValueFault.LostReply }, {}],
    result: WriteResult.Ambiguous,
    isWritten: true,
    calls: 1
  },
  {
    name: 'where all are cut off nothing is sent',
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
    const scene = createScene(peers, () => direct)
    const outcome = await scene.keyValue.compareAndSwap({ key: KEY, expectedModRevision: 0, value: 'claims' })
    assert.is(outcome.kind, result)
    assert.is(scene.store.get(KEY) !== undefined, isWritten)
    assert.is(scene.calls(), calls)
  })
}

relay('a conflict comes back with what stands there', async () => {
  const scene = createScene([{}], () => KeyValueFault.Unreachable)
  await scene.keyValue.compareAndSwap({ key: KEY, expectedModRevision: 0, value: 'first' })
  const outcome = await scene.keyValue.compareAndSwap({ key: KEY, expectedModRevision: 0, value: 'second' })
  assert.is(outcome.kind === WriteResult.Conflict && outcome.current?.value, 'first')
  const read = await scene.keyValue.get(KEY)
  assert.is(read.ok && read.value.entry?.value, 'first')
})

relay('the direct way is tried again after a while', () => withPausedClock(async clock => {
  let fault: KeyValueFault | undefined = KeyValueFault.Unreachable
  const scene = createScene([{}], () => fault)
  await scene.keyValue.get(KEY)
  fault = undefined
  await scene.keyValue.get(KEY)
  assert.is(scene.calls(), 2)
  await clock.advance(2001)
  await scene.keyValue.get(KEY)
  assert.is(scene.calls(), 2)
}))

for (const [name, key, value] of [['another\'s key', '/other/key', 'x'], ['a value over the limit', KEY, 'x'.repeat(1_048_577)]] as const) {
  relay(`${name} is not relayed`, async () => {
    const scene = createScene([{}], () => KeyValueFault.Unreachable)
    const outcome = await scene.keyValue.compareAndSwap({ key, expectedModRevision: 0, value })
    assert.is(outcome.kind, WriteResult.NotSent)
    assert.is(scene.store.get(key), undefined)
  })
}
relay.run()

interface Scene {
  keyValue: KeyValuePort
  store: KeyValueStore
  calls: () => number
}

function createScene (peers: Case['peers'], fault: () => KeyValueFault | undefined): Scene {
  const store = createKeyValueStore()
  const members = ['self', ...peers.map((_, index) => `peer-${index}`)].map(createMember)
  const self = (): MemberEntry => members[0] as MemberEntry
  const relays = peers.map(({ service }) => {
    const direct = createMemoryKeyValue(store, { fault: () => service })
    return createRelayedKeyValue({ direct, peers: NO_PEERS, self, members: () => members })
  })
  let calls = 0

  const port: PeerPort = {
    serve: () => {},
    async call (address, method, parameters) {
      const index = Number(address.split('-')[1])
      const way = peers[index]?.call
      calls += 1
      if (way === FailureKind.Unreachable) return failed(failure(way))
      try {
        const result = await relays[index]?.handlers[PeerMethod.KeyValueRelay]?.(parameters as never, 'self')
        return way === undefined ? success(result as never) : failed(failure(way))
      } catch {
        return failed(failure(FailureKind.Refused))
      }
    }
  }
  const direct = createMemoryKeyValue(store, { fault })
  return { keyValue: createRelayedKeyValue({ direct, peers: port, self, members: () => members }).keyValue, store, calls: () => calls }
}

const NO_PEERS: PeerPort = { serve: () => {}, call: async () => failed(failure(FailureKind.Unreachable)) }

function createMember (address: string): MemberEntry {
  return { address, vm: address, failureDomain: address, incarnation: 1, state: MemberState.Alive, generation: 1 }
}

function failure (kind: FailureKind.Unreachable | FailureKind.Broken | FailureKind.Refused): Failure {
  return { kind, step: Step.Peer, peer: 'memory', detail: kind }
}
