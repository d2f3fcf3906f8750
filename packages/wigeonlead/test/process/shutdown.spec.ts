import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { withPausedClock } from '@wigeonlead/stand-ins'
import { createInFlightRequests } from '../../src/process/in-flight.js'
import { createShutdown } from '../../src/process/shutdown.js'
import type { CallerRequest, CallerResponse } from '../../src/request/index.js'

const BALANCER_LAG_MILLISECONDS = 5000
const REQUEST: CallerRequest = { method: 'POST', url: '/v1/completions?x=1', headers: {}, body: new Uint8Array(), signal: new AbortController().signal }

interface Case {
  name: string
  cutOffMilliseconds?: number
  /** When the answer to the request is complete, milliseconds after the start. */
  answerAfter: number
  /** When the orders that run longer than their callers' requests are finished, milliseconds after the start. */
  ordersAfter: number
  /** Whether the answer is streamed. */
  isStream: boolean
  /** When the shutdown has ended, milliseconds after the start. */
  endsBy: number
  expected: RegExp
}

const WHOLE_ANSWER = /^the whole answer$/
const CUT_OFF = /not-ready.*sent.*unknown/s
const CASES: Case[] = [
  { name: 'waits only for the balancer if all work ends before', answerAfter: 10, ordersAfter: 10, isStream: false, endsBy: 5000, expected: WHOLE_ANSWER },
  { name: 'waits an hour for an answer', answerAfter: 3_600_000, ordersAfter: 10, isStream: false, endsBy: 3_600_000, expected: WHOLE_ANSWER },
  { name: 'waits for a streamed answer', answerAfter: 60_000, ordersAfter: 10, isStream: true, endsBy: 60_000, expected: WHOLE_ANSWER },
  { name: 'waits for orders that outlive the requests of their callers', answerAfter: 10, ordersAfter: 90_000, isStream: false, endsBy: 90_000, expected: WHOLE_ANSWER },
  { name: 'cuts off an answer at the limit', cutOffMilliseconds: 9000, answerAfter: 60_000, ordersAfter: 10, isStream: false, endsBy: 9000, expected: CUT_OFF },
  { name: 'cuts off a streamed answer at the limit', cutOffMilliseconds: 9000, answerAfter: 60_000, ordersAfter: 10, isStream: true, endsBy: 9000, expected: CUT_OFF },
  { name: 'cuts off nothing that ends before the limit', cutOffMilliseconds: 9000, answerAfter: 8000, ordersAfter: 10, isStream: true, endsBy: 8000, expected: WHOLE_ANSWER },
  { name: 'stops waiting for orders at the limit', cutOffMilliseconds: 9000, answerAfter: 10, ordersAfter: 60_000, isStream: false, endsBy: 9000, expected: WHOLE_ANSWER }
]

const shutdowns = suite('shutdown')
for (const row of CASES) {
  shutdowns(row.name, () => withPausedClock(async clock => {
    const events: string[] = []
    const inFlight = createInFlightRequests(({ url }) => events.push(`cut ${url}`))
    const orders = pause(row.ordersAfter)
    const shutdown = createShutdown({
      settings: { balancerLagMilliseconds: BALANCER_LAG_MILLISECONDS, cutOffMilliseconds: row.cutOffMilliseconds },
      inFlight,
      announceLeaving: () => events.push('leave'),
      whenOrdersFinished: () => orders,
      releaseLease: async () => { events.push('release') },
      stopBackgroundWork: () => events.push('halt')
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
    const cutOffEvents = row.expected === CUT_OFF ? ['cut /v1/completions?x=1'] : []
    assert.equal(events, ['leave', 'close', ...cutOffEvents, 'release', 'halt'])
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
