/**
 * A guarded listener on the loopback address before single clients, without load but for the case that fills the memory.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { BODY_FAULT_STATUSES, BodyResult, GUARDED_SERVER_OPTIONS, createClientGuard, type ClientLimits } from '@wigeonlead/protocol'

const BODY_BYTES = 100_000
const LIMITS: ClientLimits = { headBytes: 2000, headTimeoutMilliseconds: 200, idleTimeoutMilliseconds: 300, connections: 20 }
/** Longer than any limit, its slack and the interval of the checks. */
const EXCHANGE_MILLISECONDS = 6000
/** Longer than the time limit for a head, its slack and the interval of the checks. */
const HANDLING_MILLISECONDS = 3000

interface GuardCase {
  name: string
  /** Parts that the client sends, one after the other. */
  sent: string[]
  /** What the client receives until the connection ends, with the rest of each answer left out. */
  statuses: number[]
  heldBytes?: number
}

const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\n'
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`
const LAST_REQUEST = `${HEAD}Content-Length: 1\r\nConnection: close\r\n\r\nx`

const CASES: GuardCase[] = [
  { name: 'a body of the full size', sent: [`${HEAD}Content-Length: ${BODY_BYTES}\r\nConnection: close\r\n\r\n`, 'x'.repeat(BODY_BYTES)], statuses: [200] },
  { name: 'a body in chunks of one byte', sent: [`${HEAD}Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n`, chunk('x').repeat(5000), '0\r\n\r\n'], statuses: [200] },
  { name: 'requests that are sent ahead are all answered', sent: [`${HEAD}Content-Length: 1\r\n\r\nx`.repeat(500) + LAST_REQUEST], statuses: Array(501).fill(200) },
  // Guards against a reset that overtakes the refusal while the client still sends.
  { name: 'a body far over the limit, announced', sent: [`${HEAD}Content-Length: 6000000\r\n\r\n`, 'x'.repeat(6_000_000)], statuses: [413] },
  { name: 'a body far over the limit, in chunks', sent: [`${HEAD}Transfer-Encoding: chunked\r\n\r\n`, chunk('x'.repeat(6_000_000))], statuses: [413] },
  { name: 'a head that does not end', sent: ['POST / HTTP/1.1\r\nHos'], statuses: [408] },
  { name: 'a body without progress', sent: [`${HEAD}Content-Length: 10\r\n\r\nx`], statuses: [408] },
  { name: 'nothing at all', sent: [], statuses: [] },
  { name: 'a head over the limit', sent: [`${HEAD}Long: ${'x'.repeat(5000)}\r\n\r\n`], statuses: [431] },
  { name: 'no HTTP', sent: ['nonsense\r\n\r\n'], statuses: [400] },
  { name: 'no host', sent: ['GET / HTTP/1.1\r\n\r\n'], statuses: [400] },
  { name: 'an expectation that is not known', sent: [`${HEAD}Expect: more\r\n\r\n`], statuses: [417] },
  { name: 'a body for which there is no memory', sent: [`${HEAD}Content-Length: ${BODY_BYTES}\r\n\r\n`, 'x'.repeat(BODY_BYTES)], statuses: [503], heldBytes: 50_000 },
  // Guards against a connection that is closed, in place of a refusal, because what waits for its turn does not fit.
  ...[1, 100, 50_000].map(length => ({
    name: `a body in chunks of ${length} for which there is no memory`,
    sent: [`${HEAD}Transfer-Encoding: chunked\r\n\r\n`, chunk('x'.repeat(length)).repeat(BODY_BYTES / length)],
    statuses: [503],
    heldBytes: 50_000
  }))
]

const guarded = suite('guarded listener')

for (const { name, sent, statuses, heldBytes = 1_000_000 } of CASES) {
  guarded(`${name}: ${[...new Set(statuses)].join() || 'closed'}`, async () => {
    const guard = createClientGuard({ heldBytes: () => heldBytes })
    const server = createServer({ ...GUARDED_SERVER_OPTIONS })
    guard.protect(server, () => LIMITS, (incoming: IncomingMessage, response: ServerResponse) => {
      guard.receive(incoming, BODY_BYTES).then(received => {
        if (received.result === BodyResult.Complete) response.end()
        else guard.refuse(incoming, response, BODY_FAULT_STATUSES[received.result])
      }, () => response.destroy())
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const text = await exchange((server.address() as AddressInfo).port, sent).finally(() => {
      guard.close()
      server.close()
      server.closeAllConnections()
    })
    assert.equal([...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status)), statuses)
    assert.is(/Retry-After/i.test(text), statuses.includes(503))
    assert.is(guard.connections(), 0)
    assert.is(guard.heldBytes(), 0)
  })
}

// Guards against the end of a request in hand by the time limit for the next head, which some clients begin with a stray line.
guarded('a request that takes longer than the time limit for the head that is sent ahead: 200', async () => {
  const guard = createClientGuard()
  const server = createServer({ ...GUARDED_SERVER_OPTIONS })
  guard.protect(server, () => LIMITS, (_incoming, response) => { setTimeout(() => response.end(), HANDLING_MILLISECONDS) })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const text = await exchange((server.address() as AddressInfo).port, ['GET / HTTP/1.1\r\nHost: a\r\n\r\n\r\nGET'])
    .finally(() => {
      guard.close()
      server.close()
      server.closeAllConnections()
    })
  assert.match(text, /^HTTP\/1\.1 200 /)
})

/** Sends all parts before it reads, and returns what has arrived when the connection has ended. */
async function exchange (port: number, sent: string[]): Promise<string> {
  const socket = connect(port, '127.0.0.1')
  const timer = setTimeout(() => socket.destroy(), EXCHANGE_MILLISECONDS)
  socket.on('error', () => {})
  const closed = new Promise<void>(resolve => { socket.on('close', () => resolve()) })
  for (const part of sent) await new Promise<void>(resolve => { socket.write(part, () => resolve()) })
  let text = ''
  socket.on('data', bytes => { text += bytes.toString('latin1') })
  await closed
  clearTimeout(timer)
  // The server learns of the end a moment later.
  await new Promise(resolve => { setTimeout(resolve, 50) })
  return text
}

guarded.run()
