/**
 * Guards against a target that crashes within an answer without a length and is back when it is asked whether it still runs: the answer
 * counted as complete, although another incarnation gave the word.
 */
import { createServer, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { OrderResult, ProbeResult, createEngineClient, createTargetClient } from '@wigeonlead/relay'
import { PLAIN_DIALECT } from '../plain-dialect.js'
import { testTarget } from '../test-engine.js'

const BORN = 5000

function answer (status: string, body: string): string {
  return `HTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n\r\n${body}`
}

const ANSWERS: Array<{ name: string, answer: string, result: ProbeResult }> = [
  { name: 'the report of the same incarnation', answer: answer('200 OK', `{"bornAtMilliseconds":${BORN}}`), result: ProbeResult.Reachable },
  { name: 'the report of a later incarnation', answer: answer('200 OK', `{"bornAtMilliseconds":${BORN + 1}}`), result: ProbeResult.Replaced },
  { name: 'that another target has the address', answer: answer('421 Misdirected', ''), result: ProbeResult.Replaced },
  { name: 'a report without an incarnation', answer: answer('200 OK', '{"bornAtMilliseconds":0}'), result: ProbeResult.Reachable },
  { name: 'that it gives no reports', answer: answer('404 Not Found', ''), result: ProbeResult.Reachable },
  { name: 'nothing, and closes', answer: '', result: ProbeResult.Silent },
  { name: 'status 000', answer: answer('000 None', `{"bornAtMilliseconds":${BORN}}`), result: ProbeResult.Silent },
  { name: 'status 600', answer: answer('600 None', `{"bornAtMilliseconds":${BORN}}`), result: ProbeResult.Silent }
]

const liveness = suite('whether a target still runs')

for (const { name, answer, result } of ANSWERS) {
  liveness(`it answers ${name}: ${result}`, async () => {
    const server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => socket.end(answer))
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const targets = createTargetClient(PLAIN_DIALECT, { pauseRemaining: () => 0, onSlowConnect () {}, onSend () {}, onAnswer () {} })
    const engines = createEngineClient(PLAIN_DIALECT, targets)
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    assert.is(await engines.probe(testTarget('t1', undefined, { address, bornAtMilliseconds: BORN }), 150), result)
    targets.close()
    server.close()
  })
}

/** Guards against an order that counts as obeyed, or as refused, by an answer with an impossible status. */
for (const status of ['000', '099', '600', '999']) {
  liveness(`it answers orders with status ${status}: nothing is known of them`, async () => {
    const server = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => socket.end(answer(`${status} None`, '')))
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const targets = createTargetClient(PLAIN_DIALECT, { pauseRemaining: () => 0, onSlowConnect () {}, onSend () {}, onAnswer () {} })
    const engines = createEngineClient(PLAIN_DIALECT, targets)
    const target = testTarget('t1', undefined, { address: `127.0.0.1:${(server.address() as AddressInfo).port}` })
    assert.is(await engines.place(target, { from: 0, to: 8, expectedOrders: 0, fence: 1 }), OrderResult.Unknown)
    assert.equal(await engines.moveRequest(target, 'r-1', []), { isAccepted: false, status: 0, isUnknown: false })
    targets.close()
    server.close()
  })
}

/** Guards against a pause that was asked for before and that counts as an answer now. */
liveness('it has asked for a pause: nothing is sent, and it counts neither as answering nor as ended', async () => {
  const targets = createTargetClient(PLAIN_DIALECT, { pauseRemaining: () => 5000, onSlowConnect () {}, onSend () {}, onAnswer () {} })
  const engines = createEngineClient(PLAIN_DIALECT, targets)
  const target = testTarget('t1', undefined, { address: '127.0.0.1:1' })
  assert.is(await engines.probe(target, 150), ProbeResult.Withheld)
  assert.equal([await engines.isAnswering(target), await engines.hasEnded(target), await engines.isReachable(target)], [false, false, true])
  targets.close()
})

liveness.run()
