import { connect } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ask } from './ask.js'
import { referenceAnswer } from '@wigeonlead/stand-ins'
import { LAYERS, MODEL, RESTRICTED_KEY, WORKSPACE_KEY, startRouterFixture, type RouterFixture } from './router-fixture.js'

const CHAT = { model: 'assistant', messages: [{ role: 'user', content: 'where is the leak' }] }
const EXPECTED = referenceAnswer(MODEL, LAYERS, 'user: where is the leak', 256).map(token => token.text).join('')
const ORDER = { block: 7 }
const LIMITS = { maximumBodyBytes: 4000, maximumHeaderBytes: 4000, headerTimeoutMilliseconds: 300, requestTimeoutMilliseconds: 300 }

interface RefusalCase {
  name: string
  path?: string
  method?: string
  key?: string | null
  headers?: Record<string, string>
  body?: unknown
  /** Sent unchanged in place of `body`. */
  rawBody?: string | Uint8Array
  status: number
  type: string
  order?: string
}

const CHAT_PATH = '/v1/chat/completions'
const ORDER_PATH = '/services/repair-orders/orders'

const REFUSALS: RefusalCase[] = [
  { name: 'a request without an API key', key: null, status: 401, type: 'unauthenticated', order: 'not-run' },
  { name: 'an order with a wrong API key', key: 'wrong', path: ORDER_PATH, body: ORDER, status: 401, type: 'unauthenticated', order: 'unknown' },
  { name: 'a wrong API key', key: 'wrong', status: 401, type: 'unauthenticated' },
  { name: 'another authentication scheme', key: null, headers: { authorization: 'Basic abc' }, status: 401, type: 'unauthenticated' },
  { name: 'malformed JSON', rawBody: '{', status: 400, type: 'malformed-request' },
  { name: 'a body that is not UTF-8', rawBody: new Uint8Array([0x22, 0xff, 0x22]), status: 400, type: 'malformed-request' },
  { name: 'a body that is not an object', rawBody: '[]', status: 400, type: 'malformed-request' },
  { name: 'a request without a model', body: { messages: CHAT.messages }, status: 400, type: 'malformed-request' },
  { name: 'a request without messages', body: { ...CHAT, messages: [] }, status: 400, type: 'malformed-request' },
  { name: 'a parameter that is not supported', body: { ...CHAT, tools: [] }, status: 400, type: 'malformed-request' },
  { name: 'a request for two choices', body: { ...CHAT, n: 2 }, status: 400, type: 'malformed-request' },
  { name: 'an unknown model', body: { ...CHAT, model: 'none' }, status: 404, type: 'unknown-model', order: 'not-run' },
  { name: 'an unknown version', body: { ...CHAT, version: 'v9' }, status: 404, type: 'unknown-version' },
  { name: 'an unknown adapter', body: { ...CHAT, adapter: 'none' }, status: 404, type: 'unknown-adapter' },
  { name: 'a model that the workspace may not use', key: RESTRICTED_KEY, status: 403, type: 'forbidden' },
  { name: 'a service that the workspace may not use', key: RESTRICTED_KEY, path: ORDER_PATH, body: ORDER, status: 403, type: 'forbidden' },
  { name: 'an unknown path', path: '/v1/none', status: 404, type: 'unknown-path' },
  { name: 'an unknown service', path: '/services/none/orders', status: 404, type: 'unknown-service', order: 'unknown' },
  { name: 'an unknown operation', path: '/services/repair-orders/none', status: 404, type: 'unknown-operation' },
  { name: 'a wrong method', method: 'PUT', status: 405, type: 'method-not-allowed' },
  { name: 'an order without an idempotency key', path: ORDER_PATH, body: ORDER, status: 400, type: 'idempotency-key-required' },
  { name: 'an invalid deadline', headers: { 'wigeonlead-deadline-milliseconds': 'soon' }, status: 400, type: 'malformed-request' },
  { name: 'an invalid priority', headers: { 'wigeonlead-priority': '9' }, status: 400, type: 'malformed-request' },
  { name: 'a body over the limit', rawBody: ' '.repeat(5000), status: 413, type: 'body-too-large', order: 'unknown' },
  {
    name: 'a body over the limit of the service',
    path: ORDER_PATH,
    rawBody: ' '.repeat(3000),
    headers: { 'idempotency-key': 'a' },
    status: 413,
    type: 'body-too-large'
  },
  { name: 'a header over the limit', headers: { long: 'x'.repeat(5000) }, status: 431, type: 'headers-too-large' }
]

const callers = suite<{ fixture: RouterFixture }>('callers')
callers.before(async context => { context.fixture = await startRouterFixture(LIMITS) })
callers.after(async context => { await context.fixture.close() })

for (const refusal of REFUSALS) {
  callers(`refuses ${refusal.name}`, async ({ fixture }) => {
    const response = await send(fixture, refusal)
    const problem = await readJson(response)
    assert.is(response.status, refusal.status)
    assert.is(response.headers.get('content-type'), 'application/problem+json')
    assert.is(problem.type, `urn:wigeonlead:problem:${refusal.type}`)
    assert.is(problem.submission, 'not-sent')
    if (refusal.order !== undefined) assert.is(problem.order, refusal.order)
    assert.is(fixture.orders.bookings.length, 0)
  })
}

callers('answers a chat completion in one response', async ({ fixture }) => {
  const response = await send(fixture, { body: CHAT })
  const answer = await readJson(response)
  assert.is(response.status, 200)
  assert.is(answer.object, 'chat.completion')
  assert.is(answer.choices[0].message.content, EXPECTED)
  assert.is(answer.choices[0].finish_reason, 'stop')
})

callers('answers a text completion up to the requested length', async ({ fixture }) => {
  const response = await send(fixture, { path: '/v1/completions', body: { model: 'assistant', prompt: 'note', max_tokens: 3 } })
  const answer = await readJson(response)
  const expected = referenceAnswer(MODEL, LAYERS, 'note', 3).map(token => token.text).join('')
  assert.equal(answer.choices, [{ index: 0, text: expected, finish_reason: 'length' }])
})

callers('streams a chat completion in order and to its end', async ({ fixture }) => {
  const response = await send(fixture, { body: { ...CHAT, stream: true, stream_options: { include_usage: true } } })
  const events = (await response.text()).split('\n\n').filter(event => event !== '')
  assert.is(events.pop(), 'data: [DONE]')
  const chunks = events.map(event => JSON.parse(event.slice('data: '.length)))
  const usage = chunks.pop()
  assert.is(chunks.map(chunk => chunk.choices[0].delta.content ?? '').join(''), EXPECTED)
  assert.is(chunks.at(-1).choices[0].finish_reason, 'stop')
  assert.is(usage.usage.completion_tokens, chunks.length - 1)
})

callers('accepts message content in parts', async ({ fixture }) => {
  const content = [{ type: 'text', text: 'where is' }, { type: 'text', text: ' the leak' }]
  const response = await send(fixture, { body: { ...CHAT, messages: [{ role: 'user', content }] } })
  assert.is((await readJson(response)).choices[0].message.content, EXPECTED)
})

callers('lists the models of a workspace', async ({ fixture }) => {
  const all = await readJson(await send(fixture, { path: '/v1/models', method: 'GET' }))
  const none = await readJson(await send(fixture, { path: '/v1/models', method: 'GET', key: RESTRICTED_KEY }))
  assert.equal([all.data.map((model: { id: string }) => model.id), none.data], [['assistant'], []])
})

callers('cancels the engines\' work when the caller disconnects', async ({ fixture }) => {
  const engines = [...fixture.engines.values()]
  for (const engine of engines) engine.faults.slowdown = 40
  const aborter = new AbortController()
  const body = { ...CHAT, stream: true, messages: [{ role: 'user', content: 'hang up' }] }
  const response = await fetch(`http://${fixture.address}${CHAT_PATH}`, {
    method: 'POST', body: JSON.stringify(body), headers: { authorization: `Bearer ${WORKSPACE_KEY}` }, signal: aborter.signal
  })
  const reader = response.body!.getReader()
  await reader.read()
  aborter.abort()
  await reader.closed.catch(() => {})
  while (engines.some(engine => engine.report().running > 0)) await new Promise(resolve => setTimeout(resolve, 5))
  const session = engines.flatMap(engine => engine.ledger).at(-1)?.session
  const indices = engines.flatMap(engine => engine.ledger.filter(entry => entry.session === session)).map(entry => entry.index)
  assert.ok(Math.max(...indices) < referenceAnswer(MODEL, LAYERS, 'user: hang up', 256).length - 1)
  for (const engine of engines) engine.faults.slowdown = 1
})

const RAW_CASES = [
  {
    name: 'a sender whose chunked body is over the limit',
    text: `POST /v1/completions HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1388\r\n${'x'.repeat(5000)}\r\n`,
    status: 413
  },
  { name: 'a sender whose header doesn\'t arrive in time', text: 'POST /v1/completions HTTP/1.1\r\nhost: a\r\n', status: 408 },
  { name: 'a sender whose body doesn\'t arrive in time', text: 'POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{', status: 408 },
  { name: 'a sender of text that is not HTTP', text: 'hello\r\n\r\n', status: 400 }
]
for (const path of ['/jobs/a\\..\\..\\orders', '/jobs/..', '/jobs/%2e%2e', '/jobs/1#2', '/jobs/{1}']) {
  callers(`refuses the path ${path}, which an HTTP client would resolve to another path`, async ({ fixture }) => {
    const header = `host: a\r\nauthorization: Bearer ${WORKSPACE_KEY}\r\nconnection: close`
    const answer = await sendRaw(fixture, `GET /services/repair-orders${path} HTTP/1.1\r\n${header}\r\n\r\n`)
    assert.match(answer, /^HTTP\/1.1 400 /)
    assert.match(answer, 'normal form')
  })
}

for (const { name, text, status } of RAW_CASES) {
  callers(`ends the connection of ${name}`, async ({ fixture }) => {
    const answer = await sendRaw(fixture, text)
    assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `))
    assert.match(answer, '"submission":"not-sent"')
  })
}

callers.run()

function send (fixture: RouterFixture, request: Partial<RefusalCase>): Promise<Response> {
  const { path = CHAT_PATH, method = 'POST', key = WORKSPACE_KEY, headers = {}, body = CHAT, rawBody } = request
  return ask(`http://${fixture.address}${path}`, {
    method,
    headers: { ...(key === null ? {} : { authorization: `Bearer ${key}` }), ...headers },
    body: method === 'GET' ? undefined : rawBody ?? JSON.stringify(body)
  })
}

async function readJson (response: Response): Promise<any> {
  return await response.json()
}

function sendRaw (fixture: RouterFixture, text: string): Promise<string> {
  const [host, port] = fixture.address.split(':')
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), host)
    let answer = ''
    socket.on('data', chunk => { answer += chunk.toString() })
    socket.on('close', () => resolve(answer))
    socket.on('error', reject)
    socket.write(text)
  })
}
