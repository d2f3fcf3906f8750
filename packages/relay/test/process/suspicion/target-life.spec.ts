/**
 * What proves that a target has survived the end of one of its connections, and how many reports that costs. Load: eight answers without a
 * length that end together at one target.
 */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ProbeResult, RelayEvent, TargetState, createTargetLife, type RelayLogFields, type Target } from '@wigeonlead/relay'
import { testTarget } from '../../test-engine.js'

const ENDS = 8
const BORN = 5000
const TARGET = testTarget('t1', undefined, { bornAtMilliseconds: BORN })
const LEAVING = { ...TARGET, isLeaving: true }
const EARLIER = { ...TARGET, bornAtMilliseconds: BORN - 1 }
const LATER = testTarget('t1', undefined, { bornAtMilliseconds: BORN + 1 })

interface Life {
  confirm: () => void
  enter: (target: Target) => void
}

interface Case {
  name: string
  /** What each report finds, and after how many milliseconds; the last one is repeated. */
  reports: Array<{ result: ProbeResult, milliseconds: number }>
  /** What else happens, at milliseconds after the end. */
  events?: Array<{ at: number, happens: (life: Life) => void }>
  listed?: Target
  isCutOff?: boolean
  waitMilliseconds?: number
  state: TargetState
  /** When the answer is there, milliseconds after the end. */
  knownAt: number
  /** Most reports that are requested. */
  mostReports: number
}

const WITHHELD = [{ result: ProbeResult.Withheld, milliseconds: 0 }]
const SILENT = [{ result: ProbeResult.Silent, milliseconds: 1000 }]
const REFUSED = [{ result: ProbeResult.Refused, milliseconds: 1 }]

const CASES: Case[] = [
  { name: 'a report', reports: [{ result: ProbeResult.Reachable, milliseconds: 3 }], state: TargetState.Lives, knownAt: 3, mostReports: 1 },
  { name: 'a slow report', reports: [{ result: ProbeResult.Reachable, milliseconds: 250 }], state: TargetState.Lives, knownAt: 250, mostReports: 1 },
  {
    name: 'a report after one without an answer',
    reports: [{ result: ProbeResult.Silent, milliseconds: 1000 }, { result: ProbeResult.Reachable, milliseconds: 3 }],
    state: TargetState.Lives,
    knownAt: 1253,
    mostReports: 2
  },
  { name: 'the report of another one', reports: [{ result: ProbeResult.Replaced, milliseconds: 3 }], state: TargetState.HasEnded, knownAt: 3, mostReports: 1 },
  { name: 'a refused connection', reports: REFUSED, state: TargetState.HasEnded, knownAt: 1, mostReports: 1 },
  { name: 'a refused connection behind a cut', reports: REFUSED, isCutOff: true, state: TargetState.Unknown, knownAt: 5000, mostReports: 20 },
  { name: 'a refusal of one that leaves', reports: REFUSED, listed: LEAVING, state: TargetState.Unknown, knownAt: 5000, mostReports: 20 },
  { name: 'a report that was cut off', reports: [{ result: ProbeResult.CutOff, milliseconds: 1 }], state: TargetState.Unknown, knownAt: 5000, mostReports: 20 },
  { name: 'nothing in the time that the caller has', reports: SILENT, waitMilliseconds: 150, state: TargetState.Unknown, knownAt: 150, mostReports: 1 },
  { name: 'nothing at all', reports: SILENT, waitMilliseconds: 20_000, state: TargetState.Unknown, knownAt: 5000, mostReports: 5 },
  { name: 'a pause that was asked for before', reports: WITHHELD, state: TargetState.Unknown, knownAt: 5000, mostReports: 21 },
  {
    name: 'in a pause, an entry written after the end',
    reports: WITHHELD,
    events: [{ at: 300, happens: ({ confirm }) => confirm() }, { at: 900, happens: ({ enter }) => enter(TARGET) }],
    state: TargetState.Lives,
    knownAt: 900,
    mostReports: 5
  },
  {
    // The copy may have lagged behind the store.
    name: 'in a pause, an entry that may have been written before the end',
    reports: WITHHELD,
    events: [{ at: 900, happens: ({ enter }) => enter(TARGET) }],
    state: TargetState.Unknown,
    knownAt: 5000,
    mostReports: 21
  },
  {
    name: 'in a pause, an entry of a later incarnation',
    reports: WITHHELD,
    events: [{ at: 900, happens: ({ enter }) => enter(LATER) }],
    state: TargetState.HasEnded,
    knownAt: 900,
    mostReports: 5
  },
  {
    name: 'in a pause, an entry of an earlier incarnation',
    reports: WITHHELD,
    events: [
      { at: 300, happens: ({ confirm }) => confirm() },
      { at: 900, happens: ({ enter }) => enter(EARLIER) }
    ],
    state: TargetState.Unknown,
    knownAt: 5000,
    mostReports: 21
  },
  { name: 'that a later incarnation is listed already', reports: WITHHELD, listed: LATER, state: TargetState.HasEnded, knownAt: 0, mostReports: 0 }
]

const life = suite('the end of a connection of a target')

for (const testCase of CASES) {
  const { name, reports, events = [], listed = TARGET, isCutOff = false, waitMilliseconds = 20_000, state, knownAt, mostReports } = testCase
  life(`${name}: ${state}`, async () => {
    const clock = install({ toFake: ['performance', 'setTimeout', 'clearTimeout', 'setImmediate', 'clearImmediate'] })
    try {
      let requested = 0
      const lines: RelayLogFields[] = []
      const targetLife = createTargetLife({
        directory: { find: () => listed, pauseRemaining: () => 0 },
        engines: {
          async probe () {
            const { result, milliseconds } = reports[Math.min(requested, reports.length - 1)]!
            requested += 1
            await new Promise(resolve => { setTimeout(resolve, milliseconds) })
            return result
          }
        },
        reach: { isCutOff: () => isCutOff },
        log: { info: (event, fields) => { if (event === RelayEvent.AnswerEndJudged) lines.push(fields!) }, warn () {} },
        metrics: { count () {} }
      })
      await clock.tickAsync(1000)
      const endedAt = performance.now()
      targetLife.recordConfirmation(endedAt - 100)
      for (const { at, happens } of events) {
        setTimeout(() => happens({
          confirm: () => targetLife.recordConfirmation(performance.now()),
          enter: targetLife.recordEntry
        }), at)
      }
      const settled: Array<{ state: TargetState, milliseconds: number }> = []
      for (let index = 0; index < ENDS; index += 1) {
        void targetLife.verify(TARGET, { waitMilliseconds, signal: new AbortController().signal })
          .then(result => settled.push({ state: result, milliseconds: performance.now() - endedAt }))
      }
      await clock.tickAsync(6000)
      assert.is(settled.length, ENDS)
      for (const result of settled) {
        assert.is(result.state, state)
        // A wait that is over ends one turn of the event loop later, so that what has arrived is read first.
        assert.ok(result.milliseconds >= knownAt && result.milliseconds <= knownAt + 1, `${result.milliseconds} ms`)
      }
      assert.ok(requested <= mostReports, `${requested} reports`)
      assert.is(lines.length, knownAt === 0 ? 0 : ENDS)
      const before = requested
      await clock.tickAsync(6000)
      assert.is(requested, before, 'no report is requested once all is known')
    } finally {
      clock.uninstall()
    }
  })
}

life('a report that was sent before the end proves nothing', async () => {
  const clock = install({ toFake: ['performance', 'setTimeout', 'clearTimeout', 'setImmediate', 'clearImmediate'] })
  try {
    let requested = 0
    const targetLife = createTargetLife({
      directory: { find: () => TARGET, pauseRemaining: () => 0 },
      engines: {
        async probe () {
          requested += 1
          const isFirst = requested === 1
          await new Promise(resolve => { setTimeout(resolve, 100) })
          return isFirst ? ProbeResult.Reachable : ProbeResult.Silent
        }
      },
      reach: { isCutOff: () => false },
      log: { info () {}, warn () {} },
      metrics: { count () {} }
    })
    const { signal } = new AbortController()
    const first = targetLife.verify(TARGET, { waitMilliseconds: 1000, signal })
    await clock.tickAsync(50)
    const second = targetLife.verify(TARGET, { waitMilliseconds: 1000, signal })
    await clock.tickAsync(2000)
    assert.equal([await first, await second], [TargetState.Lives, TargetState.Unknown])
  } finally {
    clock.uninstall()
  }
})

life('a caller that leaves ends the wait', async () => {
  const abortController = new AbortController()
  const targetLife = createTargetLife({
    directory: { find: () => TARGET, pauseRemaining: () => 0 },
    engines: { probe: async () => await new Promise<ProbeResult>(() => {}) },
    reach: { isCutOff: () => false },
    log: { info () {}, warn () {} },
    metrics: { count () {} }
  })
  const verified = targetLife.verify(TARGET, { waitMilliseconds: 5000, signal: abortController.signal })
  abortController.abort()
  assert.is(await verified, TargetState.Unknown)
})

life.run()
