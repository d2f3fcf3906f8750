/**
 * The listener for callers while the process stops: requests over keep-alive connections are served until the load balancer has had time to
 * stop sending them, and are refused after that.
 */
import { Agent, request, type IncomingMessage } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createCallerListener, type CallerListener } from '@wigeonlead/relay'

const PHASES: Array<{ name: string, act: (listener: CallerListener) => void, status: number, isClosed: boolean, handled: number }> = [
  { name: 'serving', act: () => {}, status: 200, isClosed: false, handled: 2 },
  { name: 'stopping, while the load balancer may still send requests', act: listener => listener.announceClose(), status: 200, isClosed: true, handled: 2 },
  {
    name: 'stopping, after the load balancer has had time to react',
    act: listener => { listener.announceClose(); listener.refuseNew() },
    status: 503,
    isClosed: true,
    handled: 1
  }
]

function sendRequest (agent: Agent, port: number): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const outgoing = request({ host: '127.0.0.1', port, agent, path: '/' }, incoming => {
      incoming.resume()
      incoming.on('end', () => resolve(incoming))
    })
    outgoing.on('error', reject)
    outgoing.end()
  })
}

/** Opens a listener that answers each request. */
async function openListener (): Promise<{ listener: CallerListener, port: number, handled: () => number }> {
  let handled = 0
  const listener = createCallerListener(async exchange => {
    handled += 1
    exchange.response.end('ok')
  }, error => { throw error })
  await new Promise<void>(resolve => { listener.server.listen(0, '127.0.0.1', resolve) })
  return { listener, port: (listener.server.address() as AddressInfo).port, handled: () => handled }
}

const callers = suite('callers')

for (const { name, act, status, isClosed, handled } of PHASES) {
  callers(`a second request over a keep-alive connection: ${name}`, async () => {
    const { listener, port, handled: handledCount } = await openListener()
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    await sendRequest(agent, port)
    act(listener)
    const answer = await sendRequest(agent, port)
    assert.is(answer.statusCode, status)
    assert.is(answer.headers.connection === 'close', isClosed)
    assert.is(answer.headers['retry-after'] !== undefined, status === 503)
    assert.is(handledCount(), handled)
    agent.destroy()
    listener.server.close()
  })
}

/** How a caller closes its connection, right after it has sent its request to a process that is held up. */
const LEAVINGS: Array<{ name: string, leave: (socket: Socket) => void, isHandled: boolean }> = [
  { name: 'closes its connection', leave: socket => { socket.destroy() }, isHandled: false },
  { name: 'resets its connection', leave: socket => { socket.resetAndDestroy() }, isHandled: false },
  { name: 'ends its side of the connection', leave: socket => { socket.end() }, isHandled: false },
  { name: 'stays', leave: () => {}, isHandled: true }
]
const HELD_UP_MILLISECONDS = 400

// Guards against work for callers who left before their request was read: a busy process sent such requests on to targets.
for (const { name, leave, isHandled } of LEAVINGS) {
  callers(`the process is held up, and a caller ${name}: its request is ${isHandled ? 'handled' : 'not handled'}`, async () => {
    const { listener, port, handled: handledCount } = await openListener()
    const socket = connect(port, '127.0.0.1')
    socket.on('error', () => {})
    await new Promise<void>(resolve => { socket.on('connect', resolve) })
    await new Promise(resolve => { setTimeout(resolve, 50) })
    await new Promise<void>(resolve => {
      socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n', () => {
        leave(socket)
        // The bytes and the end of the connection lie unread meanwhile.
        for (const endsAt = performance.now() + HELD_UP_MILLISECONDS; performance.now() < endsAt;);
        resolve()
      })
    })
    await new Promise(resolve => { setTimeout(resolve, 100) })
    assert.is(handledCount(), isHandled ? 1 : 0)
    socket.destroy()
    listener.server.closeAllConnections()
    listener.server.close()
  })
}

// Guards against a request that cannot be forwarded: its connection was closed without an answer.
for (const header of ['X Spoiled: a', 'X-Spoiled : a', 'Content-Length : 5', ': a']) {
  callers(`the header "${header}" cannot be forwarded: refused, and not handled`, async () => {
    const { listener, port, handled } = await openListener()
    const socket = connect(port, '127.0.0.1')
    const answer = new Promise<string>(resolve => { socket.once('data', chunk => resolve(String(chunk))) })
    socket.write(`GET / HTTP/1.1\r\nHost: a\r\n${header}\r\n\r\n`)
    assert.match(await answer, /^HTTP\/1\.1 400 /)
    assert.is(handled(), 0)
    socket.destroy()
    listener.server.close()
  })
}

const ANSWER_BYTES = 32_000_000

// Guards against answers that a stopping process resets while their callers still read them.
callers('the process stops while an answer that has ended is being read: all its bytes arrive', async () => {
  const listener = createCallerListener(async ({ response }) => {
    response.writeHead(200, { 'Content-Length': ANSWER_BYTES })
    response.end(Buffer.alloc(ANSWER_BYTES))
  }, error => { throw error })
  await new Promise<void>(resolve => { listener.server.listen(0, '127.0.0.1', resolve) })
  const incoming = await new Promise<IncomingMessage>(resolve => {
    request({ host: '127.0.0.1', port: (listener.server.address() as AddressInfo).port, agent: false }, resolve).end()
  })
  listener.refuseNew()
  listener.stopListening()
  listener.closeIdle()
  assert.is(listener.inFlightRequests(), 1)
  listener.endOpen()
  let bytes = 0
  for await (const chunk of incoming) bytes += (chunk as Buffer).length
  assert.is(bytes, ANSWER_BYTES)
  listener.server.closeAllConnections()
})

callers('a stopping process keeps a connection on which a second request was sent before the answer to the first one', async () => {
  const answers: Array<() => void> = []
  const listener = createCallerListener(async ({ response }) => {
    answers.push(() => { response.end('ok') })
  }, error => { throw error })
  await new Promise<void>(resolve => { listener.server.listen(0, '127.0.0.1', resolve) })
  const socket = connect((listener.server.address() as AddressInfo).port, '127.0.0.1')
  let received = ''
  socket.on('data', chunk => { received += String(chunk) })
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(2))
  while (answers.length < 2) await new Promise(resolve => { setTimeout(resolve, 5) })
  answers[0]!()
  await new Promise(resolve => { setTimeout(resolve, 50) })
  listener.closeIdle()
  answers[1]!()
  await new Promise(resolve => { setTimeout(resolve, 50) })
  assert.is(received.split('HTTP/1.1 200').length, 3)
  socket.destroy()
  listener.server.close()
})

const CONNECTIONS: Array<{ name: string, sent: string, isClosed: boolean }> = [
  { name: 'on which nothing has arrived', sent: '', isClosed: true },
  { name: 'after its answer', sent: 'GET / HTTP/1.1\r\nHost: a\r\n\r\n', isClosed: true },
  { name: 'on which a part of a head has arrived', sent: 'GET / HTTP/1.1\r\nHo', isClosed: false }
]
for (const { name, sent, isClosed } of CONNECTIONS) {
  callers(`a stopping process ${isClosed ? 'closes' : 'keeps'} a connection ${name}`, async () => {
    const { listener, port } = await openListener()
    const socket = connect(port, '127.0.0.1')
    let isEnded = false
    socket.on('end', () => { isEnded = true })
    socket.on('error', () => {})
    socket.resume()
    await new Promise<void>(resolve => { socket.on('connect', resolve) })
    socket.write(sent)
    await new Promise(resolve => { setTimeout(resolve, 50) })
    listener.refuseNew()
    listener.closeIdle()
    await new Promise(resolve => { setTimeout(resolve, 50) })
    assert.is(isEnded, isClosed)
    socket.destroy()
    listener.server.close()
  })
}

callers.run()
