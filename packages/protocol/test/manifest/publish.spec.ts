import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { KeyValueFault, createKeyValueStore, createMemoryKeyValue, withPausedClock, type KeyValueStore } from '@wigeonlead/stand-ins'
import {
  CONFIGURATION_HEAD_KEY, CONFIGURATION_PART_PREFIX, PublishResult, StopSubject, changeHead, manifestSchema, mergeHeads, parseHead,
  publishManifest, readHead, splitManifest, type ConfigurationHead, type KeyValuePort, type Manifest, type PlannedStop, type PublishOutcome
} from '../../src/index.js'

let nonces = 0
const RANDOM = { nextFloat: () => 0.5, nextNonce: () => `nonce-${++nonces}` }
const HOUR_MILLISECONDS = 3_600_000

const manifest = (workspace: string): Manifest => manifestSchema.parse({
  format: 1, failureDomains: ['howrah'], workspaces: [{ name: workspace, keyDigests: ['0'.repeat(64)] }]
})
const stop = (id: string): PlannedStop => ({ id, subject: StopSubject.Target, name: id, fromMilliseconds: 0, untilMilliseconds: 1 })
const headOf = (store: KeyValueStore): ConfigurationHead => parseHead(store.get(CONFIGURATION_HEAD_KEY) as never) as ConfigurationHead

/** Returns a port through which another publisher changes the head just before head write number `rivalWrite`, counted from 1. */
function withRivalPublisher (store: KeyValueStore, faults: Array<KeyValueFault | undefined>, rivalWrite?: number): KeyValuePort {
  const plain = createMemoryKeyValue(store)
  let writes = 0
  const faulty = createMemoryKeyValue(store, {
    fault: (operation, key) => operation === 'compareAndSwap' && key === CONFIGURATION_HEAD_KEY ? faults[writes - 1] : undefined
  })
  return {
    ...faulty,
    async compareAndSwap (write) {
      if (write.key === CONFIGURATION_HEAD_KEY && ++writes === rivalWrite) await changeHead(plain, RANDOM, head => ({ ...head, stops: [stop('rival')] }))
      return await faulty.compareAndSwap(write)
    }
  }
}

interface Case {
  name: string
  faults?: KeyValueFault[]
  rivalWrite?: number
  result: PublishResult
  /** Whether the head lists the parts of the published manifest at the end. */
  isInHead: boolean
}

const { LostReply, LostRequest, Unreachable } = KeyValueFault
const CASES: Case[] = [
  { name: 'a publication without a fault is accepted', result: PublishResult.Accepted, isInHead: true },
  { name: 'of two concurrent publishers, the slower one is superseded', rivalWrite: 1, result: PublishResult.Superseded, isInHead: false },
  { name: 'a write whose reply is lost is recognised as accepted', faults: [LostReply], result: PublishResult.Accepted, isInHead: true },
  { name: 'a lost request is retried', faults: [LostRequest], result: PublishResult.Accepted, isInHead: true },
  { name: 'a lost request is superseded when a rival publishes before the retry', faults: [LostRequest], rivalWrite: 2, result: PublishResult.Superseded, isInHead: false },
  { name: 'a write whose reply is lost is accepted when a rival has built on it', faults: [LostReply, LostReply], rivalWrite: 2, result: PublishResult.Accepted, isInHead: true },
  { name: 'when every request is lost the outcome is unknown', faults: Array(9).fill(LostRequest), result: PublishResult.Unknown, isInHead: false },
  { name: 'a write that was never sent fails', faults: [Unreachable], result: PublishResult.Failed, isInHead: false }
]

const publishing = suite('publishing')
for (const { name, faults = [], rivalWrite, result, isInHead } of CASES) {
  publishing(name, () => withPausedClock(async clock => {
    const store = createKeyValueStore()
    const keyValue = createMemoryKeyValue(store)
    await advanceUntilSettled(clock, publishManifest(keyValue, RANDOM, manifest('before')))
    const outcome = await advanceUntilSettled(
      clock, publishManifest(withRivalPublisher(store, faults, rivalWrite), RANDOM, manifest('after'))
    )
    assert.is(outcome.kind, result)
    assert.is(headOf(store).parts.join() === splitManifest(manifest('after')).map(part => part.digest).join(), isInHead)
    if (outcome.kind === PublishResult.Superseded) assert.is(outcome.winner.nonce, headOf(store).nonce)
  }))
}

publishing('retired parts are deleted later, but not if they are in use again', () => withPausedClock(async clock => {
  const store = createKeyValueStore()
  const keyValue = createMemoryKeyValue(store)
  const publish = (workspace: string): Promise<PublishOutcome> =>
    advanceUntilSettled(clock, publishManifest(keyValue, RANDOM, manifest(workspace)))
  const hasParts = (workspace: string): boolean => splitManifest(manifest(workspace))
    .every(part => store.get(CONFIGURATION_PART_PREFIX + part.digest) !== undefined)
  for (const workspace of ['one', 'two', 'three', 'one']) await publish(workspace)
  await clock.advance(HOUR_MILLISECONDS)
  await publish('four')
  assert.equal(['one', 'two', 'three', 'four'].map(hasParts), [true, false, false, true])
  await publish('one')
  await clock.advance(HOUR_MILLISECONDS)
  await publish('five')
  assert.equal(['one', 'four', 'five'].map(hasParts), [true, false, true])
  const read = await readHead(keyValue)
  assert.ok(read.ok && (read.value.head?.retired?.length ?? 9) <= 2)
}))

const createHead = (
  generation: number, nonce: string, ancestors: string[], overrides: Partial<ConfigurationHead> = {}
): ConfigurationHead => ({
  generation,
  nonce,
  publishedAtMilliseconds: nonce.charCodeAt(0),
  parts: ['old'],
  stops: [],
  change: { manifest: false, cancelledStops: [] },
  ancestors: ancestors.map(ancestor => ({ nonce: ancestor, change: { manifest: false, cancelledStops: [] } })),
  ...overrides
})

interface MergeCase {
  name: string
  localHead: ConfigurationHead
  storedHead: ConfigurationHead
  merged?: { parts: string[], stops: string[] }
}

const MANIFEST_CHANGE = { manifest: true, cancelledStops: [] }
const localHead = createHead(7, 'c', ['b', 'a'], { parts: ['new'], stops: [stop('x')], change: MANIFEST_CHANGE })
const MERGE_CASES: MergeCase[] = [
  { name: 'a stored head that was built on the local one is not merged', localHead, storedHead: createHead(8, 'd', ['c', 'b']) },
  { name: 'a much later stored head with an unknown lineage is not merged', localHead, storedHead: createHead(90, 'z', ['y']) },
  { name: 'a stop planned on restored state is merged with the manifest published before the restore', localHead, storedHead: createHead(6, 'r', ['a'], { stops: [stop('y')] }), merged: { parts: ['new'], stops: ['x', 'y'] } },
  { name: 'a manifest published on restored state wins', localHead, storedHead: createHead(6, 'r', ['a'], { parts: ['latest'], change: MANIFEST_CHANGE }), merged: { parts: ['latest'], stops: ['x'] } },
  { name: 'of two heads with the same generation, the manifest that was published later wins', localHead, storedHead: createHead(7, 'r', ['a'], { parts: ['latest'], change: MANIFEST_CHANGE }), merged: { parts: ['latest'], stops: ['x'] } },
  {
    name: 'a stop cancelled in either lineage stays cancelled',
    localHead: { ...localHead, change: { manifest: true, cancelledStops: ['k'] } },
    storedHead: createHead(6, 'r', ['a'], { stops: [stop('k')], change: { manifest: false, cancelledStops: ['x'] } }),
    merged: { parts: ['new'], stops: [] }
  }
]
for (const { name, localHead, storedHead, merged } of MERGE_CASES) {
  publishing(`merge: ${name}`, () => {
    const head = mergeHeads(localHead, storedHead, 'merged')
    assert.equal(head === undefined ? undefined : { parts: head.parts, stops: head.stops.map(stop => stop.id) }, merged)
    if (head !== undefined) assert.is(head.generation, Math.max(localHead.generation, storedHead.generation) + 1)
  })
}
publishing.run()

async function advanceUntilSettled<T> (clock: { advance: (milliseconds: number) => Promise<void> }, work: Promise<T>): Promise<T> {
  const progress = { isDone: false }
  void work.finally(() => { progress.isDone = true })
  while (!progress.isDone) await clock.advance(100)
  return await work
}
