/**
 * Guards against complete answers without a length that are cut off, or replaced by 502, because their target could not be asked in time
 * whether it still runs: it had asked for a pause, or its reports are slow. Load: eight answers that end together at one target.
 */
import type { ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { AnswerForm, RepeatRule, type Route } from '@wigeonlead/relay'
import { ANSWER_HEADERS, EVENT_STREAM_HEADERS, LAST_EVENT, events, withRelay, type Behaviour, type FixtureOptions } from './relay-fixture.js'
import { testConfiguration, testRoute } from './test-configuration.js'

const ANSWERS = 8
const ANSWER_MILLISECONDS = 300
const SLOW_REPORT_MILLISECONDS = 250
const WAIT_MILLISECONDS = 8000
/** Deadline of answers that cannot be proven whole. */
const SHORT_WAIT_MILLISECONDS = 1200
const BODY = 'the text'

const REPORT = '{"stalled":[],"slowness":1}'
const writeReport: Behaviour = (_incoming, response) => { response.end(REPORT) }
const writeSlowReport: Behaviour = (_incoming, response) => { setTimeout(() => response.end(REPORT), SLOW_REPORT_MILLISECONDS) }

const STREAMS = testRoute('write', {
  repeat: RepeatRule.AtMostOnce,
  form: AnswerForm.Events,
  services: [{ name: 'model', weight: 1 }],
  maximumTargets: 1,
  timeoutMilliseconds: WAIT_MILLISECONDS
})
const RESUMABLE_STREAMS = { ...STREAMS, isResumable: true }
const BODIES = testRoute('book', { repeat: RepeatRule.AtMostOnce, maximumTargets: 1, timeoutMilliseconds: WAIT_MILLISECONDS })

/** Writes the head of an answer that ends with its connection, and the rest after a time. */
function writeUnframed (response: ServerResponse, headers: Record<string, string>, body: string): void {
  response.useChunkedEncodingByDefault = false
  response.writeHead(200, { ...headers, Connection: 'close' })
  response.flushHeaders()
  setTimeout(() => response.end(body), ANSWER_MILLISECONDS)
}

/** Refuses one request for want of room, and with it everything from this VM for a time; answers all others without a length. */
const answerUnframed: Behaviour = (incoming, response) => {
  if (incoming.url!.endsWith('/refused')) {
    response.writeHead(503, { ...ANSWER_HEADERS, 'X-Not-Run': '1', 'Retry-After': '30', 'Content-Length': 0 })
    response.end()
  } else if (incoming.url!.startsWith('/write/')) {
    writeUnframed(response, EVENT_STREAM_HEADERS, events(1, LAST_EVENT))
  } else {
    writeUnframed(response, ANSWER_HEADERS, BODY)
  }
}

interface Case {
  name: string
  route: Route
  isPaused: boolean
  options: Pick<FixtureOptions, 'report' | 'isRenewed'>
  isWhole: boolean
}

const isRenewed = (): boolean => true

const CASES: Case[] = [
  { name: 'streams, and the target is paused', route: STREAMS, isPaused: true, options: { isRenewed }, isWhole: true },
  { name: 'streams that nobody resumes, and the target is paused', route: RESUMABLE_STREAMS, isPaused: true, options: { isRenewed }, isWhole: true },
  { name: 'bodies, and the target is paused', route: BODIES, isPaused: true, options: { isRenewed }, isWhole: true },
  { name: 'streams, and reports are slow', route: STREAMS, isPaused: false, options: { report: writeSlowReport }, isWhole: true },
  { name: 'bodies, and reports are slow', route: BODIES, isPaused: false, options: { report: writeSlowReport }, isWhole: true },
  // The pause was asked for before the end, and does not show that the target has survived it.
  { name: 'streams, and the paused target shows no sign of life', route: STREAMS, isPaused: true, options: {}, isWhole: false },
  { name: 'resumable ones, and the paused target shows no sign of life', route: RESUMABLE_STREAMS, isPaused: true, options: {}, isWhole: false },
  { name: 'bodies, and the paused target shows no sign of life', route: BODIES, isPaused: true, options: {}, isWhole: false }
]

const endings = suite('answers without a length')

for (const { name, route, isPaused, options, isWhole } of CASES) {
  endings(`${name}: ${isWhole ? 'all are whole' : 'none looks whole'}`, async () => {
    let reports = 0
    const report: Behaviour = (incoming, response) => {
      reports += 1
      ;(options.report ?? writeReport)(incoming, response)
    }
    const service = route.services[0]!.name
    await withRelay([answerUnframed], service, async fixture => {
      const call = (path: string): ReturnType<typeof fixture.call> =>
        fixture.call('POST', `/${route.name}/${path}`, { 'X-Wait': String(isWhole ? WAIT_MILLISECONDS : SHORT_WAIT_MILLISECONDS) })
      const answering = Promise.all(Array.from({ length: ANSWERS }, async (_, index) => await call(String(index))))
      await new Promise(resolve => { setTimeout(resolve, ANSWER_MILLISECONDS / 3) })
      if (isPaused) assert.is((await call('refused')).status, 503)
      const reportsBefore = reports
      const answers = await answering
      for (const { status, body, isComplete } of answers) {
        assert.is(status === 200 && isComplete, isWhole)
        if (isWhole) assert.is(body, service === 'model' ? events(1, LAST_EVENT) : BODY)
      }
      if (isPaused) assert.is(reports, reportsBefore, 'nothing is sent to a target that wants nothing')
      else assert.ok(reports <= ANSWERS / 2, `${reports} reports for ${ANSWERS} answers`)
    }, { ...options, report, configuration: testConfiguration(1, { routes: [route] }) })
  })
}

endings.run()
