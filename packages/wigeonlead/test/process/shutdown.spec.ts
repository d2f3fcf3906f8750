import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { withPausedClock } from '@wigeonlead/stand-ins'
import { createInFlight } from '../../src/process/in-flight.js'
import { createShutdown } from '../../src/process/shutdown.js'
import type { CallerRequest, CallerResponse } from '../../src/request/index.js'

const LAG_MILLISECONDS = 5000
const REQUEST: CallerRequest = { method: 'POST', url: '/v1/completions?x=1', headers: {}, body: new Uint8Array(), signal: new AbortController().signal }

interface Case {
  name: string
  cutOffMilliseconds?: number
  /** When the request's answer and the orders without a caller are there, milliseconds from the start. */
  answerAfter: number
  backgroundAfter: number
  /** The answer is streamed. */
  isStream: boolean
  /** When the shutdown is over. */
  endsBy: number
  expected: RegExp
}

const WHOLE = /^the whole answer$/
const CUT = /not-ready.*sent.*unknown/s
const CASES: Case[] = [
  { name: 'waits for the balancer alone', answerAfter: 10, backgroundAfter: 10, isStream: false, endsBy: 5000, expected: WHOLE },
  { name: 'waits an hour for an answer', answerAfter: 3_600_000, backgroundAfter: 10, isStream: false, endsBy: 3_600_000, expected: WHOLE },
  { name: 'waits for a stream', answerAfter: 60_000, backgroundAfter: 10, isStream: true, endsBy: 60_000, expected: WHOLE },
  { name: 'waits for orders without a caller', answerAfter: 10, backgroundAfter: 90_000, isStream: false, endsBy: 90_000, expected: WHOLE },
  { name: 'cuts an answer off', cutOffMilliseconds: 9000, answerAfter: 60_000, backgroundAfter: 10, isStream: false, endsBy: 9000, expected: CUT },
  { name: 'cuts a stream off', cutOffMilliseconds: 9000, answerAfter: 60_000, backgroundAfter: 10, isStream: true, endsBy: 9000, expected: CUT },
  { name: 'cuts nothing that ends', cutOffMilliseconds: 9000, answerAfter: 8000, backgroundAfter: 10, isStream: true, endsBy: 8000, expected: WHOLE },
  { name: 'leaves orders without a caller', cutOffMilliseconds: 9000, answerAfter: 10, backgroundAfter: 60_000, isStream: false, endsBy: 9000, expected: WHOLE }
]

const shutdowns = suite('shutdown')
for (const row of CASES) {
  shutdowns(row.name, () => withPausedClock(async clock => {
    const events: string[] = []
    const inFlight = createInFlight(({ url }) => events.push(`cut ${url}`))
    const background = pause(row.backgroundAfter)
    const shutdown = createShutdown({
      settings: { balancerLagMilliseconds: LAG_MILLISECONDS, cutOffMilliseconds: row.cutOffMilliseconds },
      inFlight,
      leave: () => events.push('leave'),
      finishOrders: () => background,
      release: async () => { events.push('release') },
      halt: () => events.push('halt')
    })
    const answer = inFlight.track(() => answerAfter(row))(REQUEST).then(readAll)
    let isOver = false
    const over = shutdown.begin(async () => { events.push('close') }).then(() => { isOver = true })
    assert.is(shutdown.isLeaving(), true)
    void shutdown.begin(async () => { events.push('closed twice') })
    await clock.advance(row.endsBy - 1)
    assert.is(isOver, false)
    await clock.advance(1)
    assert.is(isOver, true)
    await over
    assert.match(await answer, row.expected)
    const cuts = row.expected === CUT ? ['cut /v1/completions?x=1'] : []
    assert.equal(events, ['leave', 'close', ...cuts, 'release', 'halt'])
  }))
}
shutdowns.run()

async function answerAfter (row: Case): Promise<CallerResponse> {
  if (row.isStream) return { status: 200, headers: {}, body: stream(row.answerAfter) }
  await pause(row.answerAfter)
  return { status: 200, headers: {}, body: 'the whole answer' }
}

async function * stream (milliseconds: number): AsyncIterable<string> {
  yield 'the whole '
  await pause(milliseconds)
  yield 'answer'
}

async function readAll (response: CallerResponse): Promise<string> {
  if (typeof response.body === 'string' || response.body instanceof Uint8Array) return String(response.body)
  let text = ''
  for await (const piece of response.body) text += piece
  return text
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
