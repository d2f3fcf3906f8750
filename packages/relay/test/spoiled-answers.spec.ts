/**
 * Guards against a target that sends the head of its answer together with bytes that are no answer: such a stream was never answered, and
 * what was reserved for it was never given back.
 */
import type { ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  ANSWER_HEADERS, EVENT_STREAM_HEADERS, LAST_EVENT, completeSeries, events, withRelay, type Behaviour,
  type CallerAnswer, type Fixture
} from './relay-fixture.js'

const FILL = 'a'.repeat(20_000)
const chunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`

interface Spoiling {
  name: string
  /** The bytes after the head, by the text of the whole body. */
  spoil: (body: string) => string
  headers: (body: string) => string[]
  /** Whether the answer itself is whole. */
  isWhole: boolean
}

const CHUNKED = (): string[] => ['Transfer-Encoding: chunked']
const wholeChunks = (body: string): string => `${chunk(body)}0\r\n\r\n`

const SPOILINGS: Spoiling[] = [
  { name: 'a whole answer and further bytes', headers: CHUNKED, spoil: body => `${wholeChunks(body)}further bytes\r\n`, isWhole: true },
  { name: 'a whole answer and another one', headers: CHUNKED, spoil: body => `${wholeChunks(body)}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n`, isWhole: true },
  { name: 'a whole answer and many bytes', headers: CHUNKED, spoil: body => `${wholeChunks(body)}${FILL}`, isWhole: true },
  { name: 'an answer of its length and further bytes', headers: body => [`Content-Length: ${body.length}`], spoil: body => `${body}further bytes\r\n`, isWhole: true },
  { name: 'bytes that are no chunk', headers: CHUNKED, spoil: () => 'no chunk\r\n', isWhole: false },
  { name: 'a chunk, and bytes that are none', headers: CHUNKED, spoil: body => `${chunk(body)}no chunk\r\n`, isWhole: false },
  { name: 'a long chunk extension', headers: CHUNKED, spoil: () => `5;${FILL}`, isWhole: false },
  { name: 'long trailers', headers: CHUNKED, spoil: body => `${chunk(body)}0\r\nX-Long: ${FILL}`, isWhole: false }
]

/** Writes an answer byte for byte in one piece, and leaves the connection open. */
function writing (headers: Record<string, string>, { headers: further, spoil }: Spoiling, body: string): Behaviour {
  const named = Object.entries(headers).map(([name, value]) => `${name}: ${value}`)
  return (incoming, response: ServerResponse) => {
    incoming.socket.write(['HTTP/1.1 200 OK', ...named, ...further(body), '', spoil(body)].join('\r\n'))
    response.on('close', () => incoming.socket.destroy())
  }
}

/** Calls a route; fails where nothing answers the request and its connection stays open. */
async function call (fixture: Fixture, path: string, waitMilliseconds: number): Promise<CallerAnswer> {
  let timer: NodeJS.Timeout | undefined
  const silence = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(() => reject(new Error('the request was never answered')), 2 * waitMilliseconds)
  })
  try {
    return await Promise.race([fixture.call('POST', path, { 'X-Wait': String(waitMilliseconds) }), silence])
  } finally {
    clearTimeout(timer)
  }
}

async function gaugeOf ({ relay }: Fixture, name: string): Promise<number> {
  await new Promise(resolve => { setTimeout(resolve, 20) })
  const line = relay.metrics.render().split('\n').find(text => text.includes(name) && !text.startsWith('#'))
  return Number(line?.split(' ').at(-1))
}

const spoiled = suite('answers together with other bytes')
const PARTIAL = events(1, 2)

for (const spoiling of SPOILINGS) {
  spoiled(`${spoiling.name}: the stream is whole`, async () => {
    const first = writing(EVENT_STREAM_HEADERS, spoiling, spoiling.isWhole ? events(1, LAST_EVENT) : PARTIAL)
    await withRelay([first, completeSeries], 'model', async fixture => {
      const answer = await call(fixture, '/write/1', 1500)
      assert.is(answer.status, 200)
      assert.is(answer.body, events(1, LAST_EVENT))
      assert.ok(answer.isComplete)
      assert.is(fixture.arrivals.length, spoiling.isWhole ? 1 : 2)
      assert.is(await gaugeOf(fixture, 'streams_under_way'), 0)
    })
  })

  spoiled(`${spoiling.name}: where no other target is left, the stream ends before its deadline`, async () => {
    await withRelay([writing(EVENT_STREAM_HEADERS, spoiling, PARTIAL)], 'model', async fixture => {
      const answer = await call(fixture, '/write/1', 800)
      assert.is(answer.isComplete, spoiling.isWhole || answer.status !== 200)
      assert.is(await gaugeOf(fixture, 'streams_under_way'), 0)
    })
  })

  spoiled(`${spoiling.name}: a request that may run once gets the whole answer or 502`, async () => {
    await withRelay([writing(ANSWER_HEADERS, spoiling, 'the text')], 'desk', async fixture => {
      const answer = await call(fixture, '/book/1', 800)
      assert.equal([answer.status, answer.status === 200 ? answer.body : ''], spoiling.isWhole ? [200, 'the text'] : [502, ''])
    })
  })
}

spoiled.run()
