/**
 * The listener for callers while the process stops: requests over keep-alive connections are served until the load balancer has had time to
 * stop sending them, and are refused after that.
 */
import { Agent, request, type IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
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

const callers = suite('callers')

for (const { name, act, status, isClosed, handled } of PHASES) {
  callers(`a second request over a keep-alive connection: ${name}`, async () => {
    let handledCount = 0
    const listener = createCallerListener(async exchange => {
      handledCount += 1
      exchange.response.end('ok')
    }, error => { throw error })
    await new Promise<void>(resolve => { listener.server.listen(0, '127.0.0.1', resolve) })
    const { port } = listener.server.address() as AddressInfo
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    await sendRequest(agent, port)
    act(listener)
    const answer = await sendRequest(agent, port)
    assert.is(answer.statusCode, status)
    assert.is(answer.headers.connection === 'close', isClosed)
    assert.is(answer.headers['retry-after'] !== undefined, status === 503)
    assert.is(handledCount, handled)
    agent.destroy()
    listener.server.close()
  })
}

callers.run()
