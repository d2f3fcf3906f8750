/**
 * The copy of the store that the mirror keeps: interrupted polls, discarded history, outages and outdated changes.
 */
import { FailureKind, Step, failed, success, type KeyValueEntry, type Outcome, type PollableKeyValue, type WatchEvent } from '@wigeonlead/protocol'
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SILENT_RELAY_LOG, createStoreEra, runStoreMirror } from '@wigeonlead/relay'

type Page = { changes: WatchEvent[], revision: number, era?: number, mayBeCut?: boolean }
/** Result of one call to the store: a listing as revisions by key, a page of changes, or a failure. */
type ScriptStep = { list?: Record<string, number>, era?: number, poll?: Page, fails?: FailureKind, status?: number }

function entry (key: string, modRevision: number): KeyValueEntry {
  return { key, value: `${key}@${modRevision}`, modRevision, createRevision: modRevision }
}

function put (key: string, revision: number): WatchEvent {
  return { key, entry: entry(key, revision), revision }
}

function entriesOf (list: Record<string, number>): KeyValueEntry[] {
  return Object.entries(list).map(([key, modRevision]) => entry(key, modRevision))
}

interface Case {
  name: string
  script: ScriptStep[]
  /** Expected calls of the reader; `key@revision` stands for an entry and `-key` for a removal. */
  expectedCalls: string[]
}

const CASES: Case[] = [
  {
    name: 'the store is listed, then polled for changes',
    script: [{ list: { a: 1, b: 2 } }, { poll: { changes: [put('a', 3), { key: 'b', revision: 4 }], revision: 4 } }],
    expectedCalls: ['a@1', 'b@2', 'listed', 'confirmed', 'a@3', '-b', 'confirmed']
  },
  { name: 'an empty poll confirms the copy', script: [{ list: {} }, { poll: { changes: [], revision: 5 } }], expectedCalls: ['listed', 'confirmed', 'confirmed'] },
  {
    name: 'a change that the listing already contained is ignored, and so is an older removal',
    script: [{ list: { a: 7 } }, { poll: { changes: [put('a', 7), { key: 'a', revision: 6 }], revision: 8 } }],
    expectedCalls: ['a@7', 'listed', 'confirmed', 'confirmed']
  },
  {
    name: 'the store has discarded its history: it is listed again',
    script: [{ list: { a: 1 } }, { fails: FailureKind.Refused, status: 410 }, { list: { c: 9 } }],
    expectedCalls: ['a@1', 'listed', 'confirmed', 'c@9', 'listed', 'confirmed']
  },
  {
    name: 'an outage confirms nothing, and its end is reported before the changes made during it',
    script: [{ list: { a: 1 } }, { fails: FailureKind.TimedOut }, { fails: FailureKind.Unreachable }, { poll: { changes: [{ key: 'a', revision: 2 }], revision: 2 } }],
    expectedCalls: ['a@1', 'listed', 'confirmed', 'recovered', '-a', 'confirmed']
  },
  // Guards against changes that are not in force in time: a VM that was away read every version of that time, one after the other.
  {
    name: 'an outage of seconds: the store is listed, so that only the latest version of each key is read',
    script: [
      { list: { a: 1, b: 1 } }, ...Array.from({ length: 7 }, () => ({ fails: FailureKind.Refused, status: 503 })), { list: { a: 90 } },
      { poll: { changes: [], revision: 90 } }
    ],
    expectedCalls: ['a@1', 'b@1', 'listed', 'confirmed', 'recovered', 'a@90', 'listed', 'confirmed', 'confirmed']
  },
  // Guards against a copy that counts as current although the store has left out changes.
  {
    name: 'a page that may be cut confirms nothing, and the store is listed',
    script: [{ list: { a: 1 } }, { poll: { changes: [put('a', 2), put('a', 3)], revision: 3, mayBeCut: true } }, { list: { a: 9 } }, { poll: { changes: [], revision: 9 } }],
    expectedCalls: ['a@1', 'listed', 'confirmed', 'a@2', 'a@3', 'a@9', 'listed', 'confirmed', 'confirmed']
  },
  {
    name: 'the store was restored: it is listed, and revisions that are given out again count',
    script: [
      { list: { a: 7, b: 3 }, era: 1 }, { poll: { changes: [], revision: 7, era: 2 } }, { list: { a: 4 }, era: 2 },
      { poll: { changes: [put('a', 5)], revision: 5, era: 2 } }
    ],
    expectedCalls: ['a@7', 'b@3', 'listed', 'confirmed', 'restored a@4', 'listed', 'confirmed', 'a@5', 'confirmed']
  },
  {
    name: 'the store was restored and does not have the polled revision: it is listed',
    script: [{ list: { a: 7 }, era: 1 }, { fails: FailureKind.Refused, status: 410 }, { list: { a: 4 }, era: 2 }],
    expectedCalls: ['a@7', 'listed', 'confirmed', 'restored a@4', 'listed', 'confirmed']
  },
  {
    name: 'an answer of an earlier era is dropped, and is no outage',
    script: [{ list: { a: 4 }, era: 2 }, { fails: FailureKind.Outdated }, { poll: { changes: [], revision: 4, era: 2 } }],
    expectedCalls: ['a@4', 'listed', 'confirmed', 'confirmed']
  },
  { name: 'the store refuses only this VM, then serves it again', script: [{ fails: FailureKind.Refused, status: 429 }, { list: { a: 1 } }], expectedCalls: ['recovered', 'a@1', 'listed', 'confirmed'] }
]

const mirror = suite('store mirror')

for (const { name, script, expectedCalls } of CASES) {
  mirror(name, async () => {
    const clock = install({ toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'] })
    const stop = new AbortController()
    const calls: string[] = []
    const steps = [...script]
    function next<T> (read: (step: ScriptStep) => T | undefined): Promise<Outcome<T>> {
      const step = steps.shift()
      if (step === undefined) {
        stop.abort()
        return Promise.resolve(failed({ kind: FailureKind.Aborted, step: Step.KeyValue, peer: 'store', detail: 'end' }))
      }
      const value = read(step)
      if (value !== undefined) return Promise.resolve(success(value))
      if (step.fails === undefined) {
        calls.push('another call than the script expects')
        stop.abort()
      }
      const failure = { kind: step.fails, step: Step.KeyValue, peer: 'store', detail: 'test', status: step.status, afterMilliseconds: 1 }
      return Promise.resolve(failed(failure as never))
    }
    const store = {
      list: () => next(({ list, era }) => list === undefined ? undefined : { entries: entriesOf(list), revision: 5, era }),
      poll: () => next(({ poll }) => poll)
    } as unknown as PollableKeyValue
    const running = runStoreMirror(store, {
      onEntry: ({ value }, isFromRestoredCopy) => calls.push(isFromRestoredCopy ? `restored ${value}` : value),
      onRemoved: key => calls.push(`-${key}`),
      onListed: () => calls.push('listed'),
      onConfirmed: () => calls.push('confirmed'),
      onRecovered: () => calls.push('recovered')
    }, SILENT_RELAY_LOG, { waitMilliseconds: 1500, signal: stop.signal, era: createStoreEra(SILENT_RELAY_LOG) })
    for (let round = 0; round < 40 && !stop.signal.aborted; round++) await clock.tickAsync(700)
    await running
    assert.equal(calls, expectedCalls)
    clock.uninstall()
  })
}

mirror.run()
