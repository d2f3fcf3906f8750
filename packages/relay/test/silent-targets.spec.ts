/**
 * Guards against a stream that is cut because its target is silent for a second, and that can't be sent again. Load: the streams of one
 * target, whose reports and connections fail as those of a target that stands still.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { AnswerForm, OrderResult, ProbeResult, RepeatRule, type EngineClient, type Target } from '@wigeonlead/relay'
import { EVENT_STREAM_HEADERS, LAST_EVENT, completeSeries, events, withRelay, type Behaviour } from './relay-fixture.js'
import { testConfiguration, testRoute } from './test-configuration.js'

const SILENCE_MILLISECONDS = 1200
const STREAMS = 4
const WAIT_MILLISECONDS = 4000

const REPORT = {
  ordersAccepted: 0, isBusyWithOrder: false, slowness: 1, stalled: [], bornAtMilliseconds: 1, tokensUsed: 0, tokensTotal: 1000
}

/** Engines of which the first answers nothing and opens no connection. */
const isSound = ({ id }: Target): boolean => id !== 't0'
const ENGINES: EngineClient = {
  report: async target => isSound(target) ? REPORT : undefined,
  probe: async target => isSound(target) ? ProbeResult.Reachable : ProbeResult.Silent,
  isReachable: async target => isSound(target),
  isAnswering: async target => isSound(target),
  hasEnded: async () => false,
  place: async () => OrderResult.Unknown,
  moveRequest: async () => ({ isAccepted: false, status: 0, isUnknown: false })
}

/** Writes half of the series, and the rest after the silence. */
const silent: Behaviour = (incoming, response) => {
  const last = Number(incoming.headers['x-last'] ?? 0)
  response.writeHead(200, EVENT_STREAM_HEADERS)
  response.write(events(last + 1, LAST_EVENT / 2))
  setTimeout(() => response.end(events(LAST_EVENT / 2 + 1, LAST_EVENT)), SILENCE_MILLISECONDS)
}

/** The first target is silent to streams that begin, and not to those that go on there. */
const CASES: Array<{ name: string, isResumable: boolean, longestMilliseconds: number }> = [
  { name: 'they can\'t be sent again: they wait', isResumable: false, longestMilliseconds: WAIT_MILLISECONDS },
  { name: 'they may be resumed: they go on elsewhere', isResumable: true, longestMilliseconds: SILENCE_MILLISECONDS }
]

const silence = suite('silent targets')

for (const { name, isResumable, longestMilliseconds } of CASES) {
  silence(`${STREAMS} streams of a target that is silent for ${SILENCE_MILLISECONDS} ms, ${name}, and are whole`, async () => {
    const write = testRoute('write', {
      repeat: RepeatRule.AtMostOnce,
      form: AnswerForm.Events,
      isResumable,
      services: [{ name: 'model', weight: 1 }],
      timeoutMilliseconds: WAIT_MILLISECONDS
    })
    const first: Behaviour = (incoming, response) => (incoming.headers['x-last'] === undefined ? silent : completeSeries)(incoming, response)
    await withRelay([first, completeSeries], 'model', async fixture => {
      const answers = await Promise.all(Array.from({ length: STREAMS }, async () => {
        const startedAt = performance.now()
        const answer = await fixture.call('POST', '/write/1', { 'X-Wait': String(WAIT_MILLISECONDS) })
        return { ...answer, milliseconds: performance.now() - startedAt }
      }))
      for (const { status, body, isComplete, milliseconds } of answers) {
        assert.equal({ status, body, isComplete }, { status: 200, body: events(1, LAST_EVENT), isComplete: true })
        assert.ok(milliseconds <= longestMilliseconds, `${Math.round(milliseconds)} ms`)
      }
    }, { engines: ENGINES, configuration: testConfiguration(1, { routes: [write] }) })
  })
}

silence.run()
