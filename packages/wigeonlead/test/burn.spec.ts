import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ObjectiveKind, ResourceKind, burnRate } from '@wigeonlead/protocol'
import { withPausedClock, type PausedClock } from '@wigeonlead/stand-ins'
import { RequestEnd, createBurnTracker, type BurnMeter } from '../src/process/index.js'

const MINUTE = 60_000
const OBJECTIVES = {
  availability: 0.75, latencyShare: 0.9, firstTokenMilliseconds: 100, betweenTokensMilliseconds: 20, answerMilliseconds: 500
}
const MODEL = { kind: ResourceKind.Model, name: 'assistant', objectives: OBJECTIVES }

interface Case {
  name: string
  run: (meter: BurnMeter, clock: PausedClock) => Promise<void>
  /** Expected good and bad events of each objective that has any. */
  counts: Partial<Record<ObjectiveKind, [number, number]>>
}

const CASES: Case[] = [
  {
    name: 'an answer within all limits',
    async run (meter, clock) {
      await clock.advance(100)
      meter.recordToken()
      await clock.advance(20)
      meter.recordToken()
      meter.end(RequestEnd.Answered)
    },
    counts: { availability: [1, 0], 'first-token': [1, 0], 'between-tokens': [1, 0], answer: [1, 0] }
  },
  {
    name: 'a late answer with a long gap between tokens',
    async run (meter, clock) {
      await clock.advance(101)
      meter.recordToken()
      await clock.advance(400)
      meter.recordToken()
      await clock.advance(5)
      meter.recordToken()
      meter.end(RequestEnd.Answered)
    },
    counts: { availability: [1, 0], 'first-token': [0, 1], 'between-tokens': [1, 1], answer: [0, 1] }
  },
  { name: 'a failure', run: async meter => meter.end(RequestEnd.Failed), counts: { availability: [0, 1] } },
  { name: 'a request that ends because of its caller', run: async meter => meter.end(RequestEnd.NotCounted), counts: {} },
  {
    name: 'only the first end of a request counts',
    async run (meter) {
      meter.end(RequestEnd.Answered)
      meter.end(RequestEnd.Failed)
    },
    counts: { availability: [1, 0], answer: [1, 0] }
  }
]

const burns = suite('burn')
for (const { name, run, counts } of CASES) {
  burns(name, () => withPausedClock(async clock => {
    const burn = createBurnTracker()
    await run(burn.begin(MODEL), clock)
    const found = Object.fromEntries(burn.report().map(({ objective, windows }) => [objective, [windows[0]!.good, windows[0]!.bad]]))
    assert.equal(found, counts)
  }))
}
burns('events leave the windows, the shortest window first', () => withPausedClock(async clock => {
  const burn = createBurnTracker()
  burn.begin(MODEL).end(RequestEnd.Failed)
  const seen: number[][] = []
  for (const minutes of [0, 6, 30, 30, 300]) {
    await clock.advance(minutes * MINUTE)
    seen.push(burn.report()[0]?.windows.map(({ bad }) => bad) ?? [])
  }
  assert.equal(seen, [[1, 1, 1, 1], [0, 1, 1, 1], [0, 0, 1, 1], [0, 0, 0, 1], []])
}))
burns('the series counts an event in the step of its time', () => withPausedClock(async clock => {
  const burn = createBurnTracker()
  burn.begin(MODEL).end(RequestEnd.Failed)
  await clock.advance(12 * MINUTE)
  burn.begin(MODEL).end(RequestEnd.Failed)
  const series = burn.report()[0]!.series
  assert.is(series.length, 72)
  assert.equal(series.map(({ bad }, step) => bad > 0 ? step : -1).filter(step => step >= 0), [69, 71])
}))
burns('nothing is counted without objectives', () => {
  const burn = createBurnTracker()
  burn.begin({ kind: ResourceKind.Service, name: 'orders' }).end(RequestEnd.Failed)
  assert.equal(burn.report(), [])
})
burns('metrics contain the burn rate of each window', () => withPausedClock(async () => {
  const burn = createBurnTracker()
  burn.begin(MODEL).end(RequestEnd.Failed)
  assert.match(burn.renderMetrics(), /wigeonlead_burn_rate\{model="assistant",objective="availability",window="60m"\} 4\n/)
  assert.is(burnRate({ good: 0, bad: 0 }, 0.99), 0)
}))
burns.run()
