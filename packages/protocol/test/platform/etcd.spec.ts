import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  ServerFault, WatchFault, createKeyValueStore, listen, startKeyValueServer, type KeyValueServerOptions, type KeyValueStore
} from '@wigeonlead/stand-ins'
import { FailureKind, WriteResult, createEtcdKeyValue, type KeyValuePort, type WatchEvent } from '../../src/index.js'

const KEY = '/wigeonlead/test'
const SHORT_MILLISECONDS = 60
const UNREACHABLE_ENDPOINT = 'http://127.0.0.1:9'

interface TestContext {
  store: KeyValueStore
  keyValue: KeyValuePort
}

async function withServer<T> (
  options: KeyValueServerOptions,
  run: (context: TestContext) => Promise<T>,
  toEndpoints: (url: string) => string[] = url => [url],
  maximumWatches?: number
): Promise<T> {
  const store = createKeyValueStore()
  const server = await startKeyValueServer(store, options)
  try {
    return await run({ store, keyValue: createEtcdKeyValue({ endpoints: toEndpoints(`http://${server.address}`), maximumWatches }) })
  } finally {
    await server.close()
  }
}

const contract = suite('etcd adapter')

interface ReadCase {
  name: string
  fault?: ServerFault
  failure: FailureKind
}

const READ_CASES: ReadCase[] = [
  { name: 'a read that is never answered times out', fault: ServerFault.Hang, failure: FailureKind.TimedOut },
  { name: 'a read whose connection breaks is reported as broken', fault: ServerFault.LostReply, failure: FailureKind.Broken },
  { name: 'an answer that is not JSON is malformed', fault: ServerFault.Malformed, failure: FailureKind.Malformed },
  { name: 'an answer of another shape is malformed', fault: ServerFault.Misshapen, failure: FailureKind.Malformed },
  { name: 'an unavailable service is reported as broken', fault: ServerFault.Unavailable, failure: FailureKind.Broken },
  { name: 'a service that requires a credential is reported as unauthenticated', fault: ServerFault.Unauthenticated, failure: FailureKind.Unauthenticated }
]
for (const { name, fault, failure } of READ_CASES) {
  contract(name, () => withServer({ fault: () => fault }, async ({ keyValue }) => {
    const read = await keyValue.get(KEY, { deadlineMilliseconds: fault === ServerFault.Hang ? SHORT_MILLISECONDS : undefined })
    assert.is(!read.ok && read.failure.kind, failure)
  }))
}

interface WriteCase {
  name: string
  fault?: ServerFault
  expectedModRevision?: number
  result: WriteResult
  hasEffect: boolean
}

const WRITE_CASES: WriteCase[] = [
  { name: 'a write is committed', result: WriteResult.Committed, hasEffect: true },
  { name: 'a write against another revision is a conflict', expectedModRevision: 9, result: WriteResult.Conflict, hasEffect: false },
  { name: 'a lost reply after the effect is ambiguous', fault: ServerFault.LostReply, result: WriteResult.Ambiguous, hasEffect: true },
  { name: 'a lost request is ambiguous too', fault: ServerFault.LostRequest, result: WriteResult.Ambiguous, hasEffect: false },
  { name: 'a write that is never answered is ambiguous', fault: ServerFault.Hang, result: WriteResult.Ambiguous, hasEffect: false },
  { name: 'a malformed answer to a write is ambiguous', fault: ServerFault.Malformed, result: WriteResult.Ambiguous, hasEffect: false },
  { name: 'a write to an unavailable service is ambiguous', fault: ServerFault.Unavailable, result: WriteResult.Ambiguous, hasEffect: false },
  { name: 'a refused write counts as not sent', fault: ServerFault.Refused, result: WriteResult.NotSent, hasEffect: false },
  { name: 'a write without a credential counts as not sent', fault: ServerFault.Unauthenticated, result: WriteResult.NotSent, hasEffect: false }
]
for (const { name, fault, expectedModRevision = 0, result, hasEffect } of WRITE_CASES) {
  contract(name, () => withServer({ fault: () => fault }, async ({ keyValue, store }) => {
    const deadlineMilliseconds = fault === ServerFault.Hang ? SHORT_MILLISECONDS : undefined
    const write = await keyValue.compareAndSwap({ key: KEY, expectedModRevision, value: 'väl' }, { deadlineMilliseconds })
    assert.is(write.kind, result)
    assert.is(store.get(KEY)?.value, hasEffect ? 'väl' : undefined)
  }))
}

contract('an unreachable service is reported as such, and a write to it counts as not sent', async () => {
  const keyValue = createEtcdKeyValue({ endpoints: [UNREACHABLE_ENDPOINT] })
  const read = await keyValue.get(KEY)
  assert.is(!read.ok && read.failure.kind, FailureKind.Unreachable)
  const write = await keyValue.compareAndSwap({ key: KEY, expectedModRevision: 0, value: 'a' })
  assert.is(write.kind, WriteResult.NotSent)
})

contract('the next endpoint is tried if one is unreachable', () => withServer({}, async ({ keyValue }) => {
  const write = await keyValue.compareAndSwap({ key: KEY, expectedModRevision: 0, value: 'a' })
  assert.is(write.kind, WriteResult.Committed)
}, url => [UNREACHABLE_ENDPOINT, url]))

contract('a read is retried at the next endpoint if one does not answer, a write is not', async () => {
  const silent = await listen(() => {})
  await withServer({}, async ({ keyValue }) => {
    assert.ok((await keyValue.get(KEY, { deadlineMilliseconds: 10 * SHORT_MILLISECONDS })).ok)
  }, url => [`http://${silent.address}`, url])
  await withServer({}, async ({ keyValue }) => {
    const write = await keyValue.compareAndSwap({ key: KEY, expectedModRevision: 0, value: 'a' }, { deadlineMilliseconds: SHORT_MILLISECONDS })
    assert.is(write.kind, WriteResult.Ambiguous)
  }, url => [`http://${silent.address}`, url])
  await silent.close()
})

contract('a prefix read lists the keys in order, a lease is renewed until its revocation deletes its key, and a key is deleted', () => withServer({}, async ({ keyValue, store }) => {
  const grant = await keyValue.grantLease(5000)
  assert.ok(grant.ok)
  const { leaseId } = grant.value
  await keyValue.compareAndSwap({ key: `${KEY}/b`, expectedModRevision: 0, value: '2', leaseId })
  await keyValue.compareAndSwap({ key: `${KEY}/a`, expectedModRevision: 0, value: '1' })
  const list = await keyValue.list(`${KEY}/`)
  assert.equal(list.ok && list.value.entries.map(({ key, value, leaseId }) => [key, value, leaseId]), [[`${KEY}/a`, '1', undefined], [`${KEY}/b`, '2', leaseId]])
  const renewed = await keyValue.renewLease(leaseId)
  assert.is(renewed.ok && renewed.value.timeToLiveMilliseconds, 5000)
  await keyValue.revokeLease(leaseId)
  assert.is(store.get(`${KEY}/b`), undefined)
  const late = await keyValue.renewLease(leaseId)
  assert.is(!late.ok && late.failure.kind, FailureKind.Refused)
  const deletion = await keyValue.compareAndSwap({ key: `${KEY}/a`, expectedModRevision: store.get(`${KEY}/a`)?.modRevision ?? 0 })
  assert.is(deletion.kind, WriteResult.Committed)
  assert.is(store.get(`${KEY}/a`), undefined)
}))

interface WatchCase {
  name: string
  fault?: WatchFault
  /** Values that the watch yields for the writes 1, 2 and 3, until it ends or as many values as listed have arrived. */
  values: Array<string | undefined>
}

const WATCH_CASES: WatchCase[] = [
  { name: 'a watch yields each change', values: ['1', '2', '3'] },
  { name: 'a watch that ends early', fault: WatchFault.End, values: ['1'] },
  { name: 'a watch that repeats events', fault: WatchFault.Repeat, values: ['1', '1', '2', '2', '3', '3'] },
  { name: 'a watch that skips an event', fault: WatchFault.SkipFirst, values: ['2', '3'] },
  { name: 'a watch that lags', fault: WatchFault.Lag, values: ['1', '2'] },
  { name: 'a watch that the service cancels ends', fault: WatchFault.Cancel, values: [] },
  { name: 'a watch with a malformed line ends', fault: WatchFault.Malformed, values: [] }
]
for (const { name, fault, values } of WATCH_CASES) {
  contract(name, () => withServer({ watchFault: fault }, async ({ keyValue, store }) => {
    const stop = new AbortController()
    const seen: Array<string | undefined> = []
    void writeOneByOne(store)
    for await (const events of keyValue.watch(KEY, 0, stop.signal)) {
      seen.push(...events.map(event => event.entry?.value))
      if (seen.length >= values.length) stop.abort()
    }
    assert.equal(seen, values)
  }))
}

/** Writes 1, 2 and 3, each as a separate batch, once the server has registered the watch. */
async function writeOneByOne (store: KeyValueStore): Promise<void> {
  const { onChange } = store
  await new Promise<void>(resolve => {
    store.onChange = (key, callback) => {
      resolve()
      return onChange(key, callback)
    }
  })
  for (const value of ['1', '2', '3']) {
    await new Promise(resolve => setImmediate(resolve))
    store.compareAndSwap({ key: KEY, expectedModRevision: store.get(KEY)?.modRevision ?? 0, value })
  }
}

contract('a watch reports a deletion, and a watch over the maximum number ends immediately', () => withServer({}, async ({ keyValue, store }) => {
  const stop = new AbortController()
  store.compareAndSwap({ key: KEY, expectedModRevision: 0, value: '1' })
  store.compareAndSwap({ key: KEY, expectedModRevision: 2 })
  const seen: WatchEvent[] = []
  for await (const events of keyValue.watch(KEY, 0, stop.signal)) {
    seen.push(...events)
    const further = keyValue.watch(KEY, 0, stop.signal)[Symbol.asyncIterator]()
    assert.is((await further.next()).done, true)
    if (seen.length === 2) stop.abort()
  }
  assert.equal(seen.map(event => event.entry?.value), ['1', undefined])
}, url => [url], 1))
contract.run()
