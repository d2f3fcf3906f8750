/**
 * Guards against a request that may run once and gets 502, although its target said that it has not run it: the refusal had no length, or
 * broke off after its head, and the pause that it asked for kept the relay from asking the target anything. Load: one request at a time.
 */
import type { ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { RepeatRule } from '@wigeonlead/relay'
import { ANSWER_HEADERS, withRelay, type Behaviour } from './relay-fixture.js'
import { testConfiguration, testRoute } from './test-configuration.js'

const REFUSAL_HEADERS = { ...ANSWER_HEADERS, 'X-Not-Run': '1', 'Retry-After': '30' }

function refuse (response: ServerResponse, end: (response: ServerResponse) => void): void {
  response.useChunkedEncodingByDefault = false
  response.writeHead(503, { ...REFUSAL_HEADERS, Connection: 'close' })
  end(response)
}

const REFUSALS: Record<string, Behaviour> = {
  'with a length': (_incoming, response) => response.writeHead(503, { ...REFUSAL_HEADERS, 'Content-Length': 4 }).end('busy'),
  'without a length': (_incoming, response) => refuse(response, () => response.end('busy')),
  'without a length and a body': (_incoming, response) => refuse(response, () => response.end()),
  'shorter than its length': (_incoming, response) => {
    response.writeHead(503, { ...REFUSAL_HEADERS, 'Content-Length': 40 })
    response.write('busy', () => response.destroy())
  },
  'reset after its head': (_incoming, response) => refuse(response, () => response.write('busy', () => response.socket!.resetAndDestroy()))
}

const answer: Behaviour = (_incoming, response) => { response.writeHead(200, { ...ANSWER_HEADERS, 'Content-Length': 4 }).end('done') }

const refusals = suite('refusals without a length')

for (const [name, refusal] of Object.entries(REFUSALS)) {
  for (const targets of [1, 2]) {
    const status = targets === 1 ? 503 : 200
    refusals(`a refusal ${name}, and ${targets} target${targets === 1 ? '' : 's'}: ${status}`, async () => {
      const route = testRoute('book', { repeat: RepeatRule.AtMostOnce, maximumTargets: 2, timeoutMilliseconds: 2000 })
      await withRelay([refusal, answer].slice(0, targets), 'desk', async fixture => {
        const result = await fixture.call('POST', '/book/1', { 'X-Wait': '2000' })
        assert.is(result.status, status)
        assert.is(fixture.arrivals.length, targets)
      }, { configuration: testConfiguration(1, { routes: [route] }) })
    })
  }
}

refusals.run()
