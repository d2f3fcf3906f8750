/**
 * Guards against requests that a stopping process takes late in its grace period and cuts without an answer at the end: what is not
 * complete when the refusals begin is refused, and what is open at the end is told as not run or as failed.
 */
import { request } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EVENT_STREAM_HEADERS, events, withRelay, type Behaviour, type Fixture } from './relay-fixture.js'

const silent: Behaviour = () => {}
const pausing: Behaviour = (_incoming, response) => { response.writeHead(503, { 'X-Request': 'r-1', 'X-Not-Run': '1' }); response.end() }
const halfStream: Behaviour = (_incoming, response) => {
  response.writeHead(200, EVENT_STREAM_HEADERS)
  response.write(events(1, 1))
}
const pause = (milliseconds: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, milliseconds) })

const OPEN: Array<{
  name: string, behaviours: Behaviour[], service: 'desk' | 'model', method: string, path: string, status: number, isComplete: boolean
}> = [
  { name: 'a target runs a request that may run once', behaviours: [silent], service: 'desk', method: 'POST', path: '/book/1', status: 502, isComplete: true },
  { name: 'a target runs a request that may be repeated', behaviours: [silent, silent], service: 'desk', method: 'GET', path: '/look/1', status: 502, isComplete: true },
  { name: 'a target runs a stream without events so far', behaviours: [silent], service: 'model', method: 'POST', path: '/write/1', status: 502, isComplete: true },
  { name: 'a stream waits for a path, which it has not found', behaviours: [pausing], service: 'model', method: 'POST', path: '/write/1', status: 503, isComplete: true },
  { name: 'a stream has begun', behaviours: [halfStream], service: 'model', method: 'POST', path: '/write/1', status: 200, isComplete: false }
]

const grace = suite('the end of the grace period')

for (const { name, behaviours, service, method, path, status, isComplete } of OPEN) {
  grace(`${name}: ${isComplete ? `the caller gets ${status}` : 'it is cut, and does not look complete'}`, async () => {
    await withRelay(behaviours, service, async fixture => {
      const answering = fixture.call(method, path, { 'X-Wait': '5000' })
      while (fixture.arrivals.length === 0) await pause(5)
      await pause(20)
      fixture.listener.endOpen()
      const arrivals = fixture.arrivals.length
      const answer = await answering
      assert.is(answer.status, status)
      assert.is(answer.isComplete, isComplete)
      assert.is(answer.headers['retry-after'] !== undefined, status === 503)
      await pause(300)
      assert.is(fixture.arrivals.length, arrivals, 'sends after the caller got its answer')
    })
  })
}

/** Sends the head of a request, calls `act`, and then sends the body. @returns the status of the answer. */
function callInHalves (fixture: Fixture, act: () => void, endsBody: boolean): Promise<number> {
  return new Promise((resolve, reject) => {
    const outgoing = request(`http://${fixture.address}/book/1`, {
      method: 'POST', agent: false, headers: { Host: 'a.example', 'X-Request': 'r-1', Authorization: 'key-1', 'Content-Length': 2 }
    }, incoming => {
      incoming.resume()
      resolve(incoming.statusCode!)
    })
    outgoing.on('error', reject)
    outgoing.write('a')
    setTimeout(() => {
      act()
      if (endsBody) outgoing.end('b')
    }, 50)
  })
}

const HALVES: Array<{ name: string, act: (fixture: Fixture) => void, endsBody: boolean }> = [
  { name: 'its body is complete after the refusals have begun', act: ({ listener }) => listener.refuseNew(), endsBody: true },
  { name: 'its body is not complete when the grace period ends', act: ({ listener }) => { listener.refuseNew(); listener.endOpen() }, endsBody: false }
]

for (const { name, act, endsBody } of HALVES) {
  grace(`the head of a request has arrived, and ${name}: refused as not run, and no target gets it`, async () => {
    await withRelay([silent], 'desk', async fixture => {
      assert.is(await callInHalves(fixture, () => act(fixture), endsBody), 503)
      assert.is(fixture.arrivals.length, 0)
    })
  })
}

grace.run()
