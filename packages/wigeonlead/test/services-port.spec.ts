import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FailureKind, ServiceResult, type ServiceCall, type ServiceOutcome } from '@wigeonlead/protocol'
import { createHttpServices } from '../src/connection/index.js'

const CALL: ServiceCall = {
  method: 'POST', path: '/orders', headers: {}, body: Buffer.from('{"block":7}'), isFreshConnection: true, maximumResponseBytes: 1000
}
const SOCKETS = new Set<Socket>()
const OK = 'HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\n{}'

/** What a raw server does with a connection once it has received the whole request, and the expected outcome of the call. */
interface Case {
  name: string
  answer: (socket: Socket) => void
  call?: Partial<ServiceCall>
  kind: ServiceResult
  failure?: FailureKind
  status?: number
}

const CASES: Case[] = [
  { name: 'a complete answer', answer: socket => socket.end(OK), kind: ServiceResult.Answered, status: 201 },
  {
    name: 'an answer in two pieces',
    answer: socket => { socket.write(OK.slice(0, 20)); setImmediate(() => socket.end(OK.slice(20))) },
    kind: ServiceResult.Answered,
    status: 201
  },
  {
    name: 'an answer with a server error',
    answer: socket => socket.end('HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n'),
    kind: ServiceResult.Answered,
    status: 500
  },
  {
    name: 'a refusal with the not-accepted header proves that nothing ran',
    answer: socket => socket.end('HTTP/1.1 503 Busy\r\nwigeonlead-not-accepted: true\r\nretry-after: 7\r\ncontent-length: 0\r\n\r\n'),
    kind: ServiceResult.NotSent,
    failure: FailureKind.Refused
  },
  {
    name: 'a 503 without the not-accepted header proves nothing and counts as an answer',
    answer: socket => socket.end('HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n'),
    kind: ServiceResult.Answered,
    status: 503
  },
  {
    name: 'the not-accepted header is ignored on a success',
    answer: socket => socket.end('HTTP/1.1 201 Created\r\nwigeonlead-not-accepted: true\r\ncontent-length: 2\r\n\r\n{}'),
    kind: ServiceResult.Answered,
    status: 201
  },
  { name: 'a connection closed without an answer', answer: socket => socket.destroy(), kind: ServiceResult.Ambiguous, failure: FailureKind.Broken },
  { name: 'a connection reset without an answer', answer: socket => socket.resetAndDestroy(), kind: ServiceResult.Ambiguous, failure: FailureKind.Broken },
  {
    name: 'an answer cut off in its status line',
    answer: socket => socket.end('HTTP/1.1 201 Crea'),
    kind: ServiceResult.Ambiguous
  },
  {
    name: 'an answer cut off in its body',
    answer: socket => socket.end('HTTP/1.1 201 Created\r\ncontent-length: 20\r\n\r\n{}'),
    kind: ServiceResult.Ambiguous,
    failure: FailureKind.Broken
  },
  { name: 'an answer that is not HTTP', answer: socket => socket.end('SSH-2.0\r\n'), kind: ServiceResult.Ambiguous, failure: FailureKind.Malformed },
  {
    name: 'an answer with spaces in the name of a header, which cannot be forwarded',
    answer: socket => socket.end('HTTP/1.1 201 Created\r\nx spoiled: a\r\ncontent-length: 2\r\n\r\n{}'),
    kind: ServiceResult.Ambiguous,
    failure: FailureKind.Malformed
  },
  ...['000', '099', '600', '999'].map(status => ({
    name: `an answer with status ${status}, which is none`,
    answer: (socket: Socket) => socket.end(`HTTP/1.1 ${status} None\r\ncontent-length: 2\r\n\r\n{}`),
    kind: ServiceResult.Ambiguous,
    failure: FailureKind.Malformed
  })),
  {
    name: 'an answer over the limit',
    answer: socket => socket.end(`HTTP/1.1 201 Created\r\ncontent-length: 2000\r\n\r\n${'x'.repeat(2000)}`),
    kind: ServiceResult.Ambiguous,
    failure: FailureKind.Broken
  }
]

const port = suite('service port over sockets')
for (const { name, answer, call, kind, failure, status } of CASES) {
  port(name, async () => {
    const outcome = await callRaw(answer, { ...CALL, ...call })
    assert.is(outcome.kind, kind)
    if (failure !== undefined) assert.is(outcome.kind === ServiceResult.Answered ? undefined : outcome.failure.kind, failure)
    if (status !== undefined) assert.is(outcome.kind === ServiceResult.Answered ? outcome.answer.status : undefined, status)
  })
}

port('the retry-after of a refusal is returned in milliseconds', async () => {
  const outcome = await callRaw(CASES[3]?.answer ?? (() => {}), CALL)
  const failure = outcome.kind === ServiceResult.NotSent ? outcome.failure : undefined
  assert.is(failure?.kind === FailureKind.Refused && failure.retryAfterMilliseconds, 7000)
})

port('a refused connection proves that nothing was sent', async () => {
  const server = createServer()
  const address = await listen(server)
  await close(server)
  const outcome = await createHttpServices().call({ target: 'orders', address }, CALL, new AbortController().signal)
  assert.is(outcome.kind, ServiceResult.NotSent)
})

port('a call aborted before it began was not sent', async () => {
  const outcome = await createHttpServices().call({ target: 'orders', address: '127.0.0.1:1' }, CALL, AbortSignal.abort())
  assert.is(outcome.kind, ServiceResult.NotSent)
})

port('a call aborted after the server received the request may have run', async () => {
  const aborter = new AbortController()
  const outcome = await callRaw(() => aborter.abort(), CALL, aborter.signal)
  assert.is(outcome.kind, ServiceResult.Ambiguous)
})

port('a call with isFreshConnection opens a new connection, other calls share a pooled one', async () => {
  let connections = 0
  const server = createServer(socket => {
    connections += 1
    socket.on('data', () => socket.write(OK))
    socket.on('error', () => {})
  })
  const address = await listen(server)
  const services = createHttpServices()
  const call = async (isFreshConnection: boolean): Promise<void> => {
    await services.call({ target: 'orders', address }, { ...CALL, isFreshConnection }, new AbortController().signal)
  }
  for (const isFresh of [false, false, true, true]) await call(isFresh)
  await close(server)
  assert.is(connections, 3)
})
port.run()

async function callRaw (
  answer: (socket: Socket) => void, call: ServiceCall, signal = new AbortController().signal
): Promise<ServiceOutcome> {
  const server = createServer(socket => {
    let received = ''
    socket.on('error', () => {})
    socket.on('data', chunk => {
      received += chunk.toString()
      if (received.endsWith('{"block":7}')) answer(socket)
    })
  })
  const address = await listen(server)
  const outcome = await createHttpServices().call({ target: 'orders', address }, call, signal)
  await close(server)
  return outcome
}

function listen (server: Server): Promise<string> {
  server.on('connection', (socket: Socket) => { SOCKETS.add(socket) })
  return new Promise(resolve => server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`)))
}

function close (server: Server): Promise<void> {
  for (const socket of SOCKETS) socket.destroy()
  SOCKETS.clear()
  return new Promise(resolve => { server.close(() => resolve()) })
}
