/**
 * Requests over real sockets that start together before a target that is full: no more start than it takes, the others hear when to return,
 * and one that comes as a place becomes free has it.
 */
import type { ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { withFleet, type FleetAnswer } from '../fleet.js'
import { CutForm } from '../target-gates.js'

const OVERFLOW = 6
const DEADLINE_MILLISECONDS = 3000
/** A few rounds of gossip, milliseconds. */
const GOSSIP_MILLISECONDS = 800
const CASES = [
  // As many streams as the engine profile of the tests runs at once.
  { service: 'model' as const, path: '/write/1', capacity: 134, headers: { 'Content-Type': 'text/event-stream' }, begin: 'id: 1\ndata: x\n\n' },
  // Twice the slots of a test target, and four more.
  { service: 'desk' as const, path: '/book/1', capacity: 204, headers: {}, begin: '' }
]

const full = suite('a full target')

for (const { service, path, capacity, headers, begin } of CASES) {
  full(`${service}: ${capacity + OVERFLOW} requests at once, of which it takes ${capacity}`, async () => {
    const running: ServerResponse[] = []
    let mostRunning = 0
    await withFleet(1, 1, (incoming, response) => {
      running.push(response)
      mostRunning = Math.max(mostRunning, running.length)
      response.writeHead(200, { 'X-Request': incoming.headers['x-request'], 'X-Seal': 's', ...headers })
      if (begin !== '') response.write(begin)
    }, async ({ call }) => {
      const until = async (condition: () => boolean): Promise<void> => {
        while (!condition()) await new Promise(resolve => { setTimeout(resolve, 5) })
      }
      const answers: FleetAnswer[] = []
      const calls = Array.from({ length: capacity + OVERFLOW }, async () => answers.push(await call(0, {}, { path })))
      await until(() => answers.length === OVERFLOW)
      for (const answer of answers) {
        assert.is(answer.status, 503)
        assert.is(JSON.parse(answer.body).title, 'no-room')
        const seconds = Number(answer.headers['retry-after'])
        assert.ok(seconds > 0 && seconds <= DEADLINE_MILLISECONDS / 3000, `retry after ${seconds} s`)
      }
      running.shift()!.end()
      const late = call(0, {}, { path })
      await until(() => running.length === capacity)
      for (const response of running) response.end()
      assert.is((await late).status, 200)
      await Promise.all(calls)
      assert.is(answers.filter(({ status, isComplete }) => status === 200 && isComplete).length, capacity)
      assert.is(mostRunning, capacity)
    }, { service })
  })
}

// Guards against a request that waits for capacity at each VM that it is handed over to, as if it had just arrived.
full('two requests are handed over: the one that has waited for long at other VMs is refused first', async () => {
  const [{ path, capacity, headers, begin }] = CASES as [typeof CASES[0]]
  const running: ServerResponse[] = []
  await withFleet(1, 1, (incoming, response) => {
    running.push(response)
    response.writeHead(200, { 'X-Request': incoming.headers['x-request'], 'X-Seal': 's', ...headers })
    response.write(begin)
  }, async ({ call }) => {
    const calls = Array.from({ length: capacity }, async () => await call(0, {}, { path }))
    while (running.length < capacity) await new Promise(resolve => { setTimeout(resolve, 5) })
    const refused: string[] = []
    await Promise.all(['0', '10000'].map(async waited => {
      const answer = await call(0, { 'X-Further': '2', 'X-Waited': waited }, { path, isHandedOver: true })
      assert.is(JSON.parse(answer.body).title, 'no-room')
      refused.push(waited)
    }))
    for (const response of running) response.end()
    await Promise.all(calls)
    assert.equal(refused, ['10000', '0'])
  })
})

// Guards against a request that is refused by one peer after the other, although all of them send to the same full targets.
full('a VM is cut off and the targets are full: the first peer\'s refusal ends the hand-over', async () => {
  const [{ path, capacity, headers, begin }] = CASES as [typeof CASES[0]]
  const running: ServerResponse[] = []
  let isFilling = false
  await withFleet(4, 2, (incoming, response) => {
    response.writeHead(200, { 'X-Request': incoming.headers['x-request'], 'X-Seal': 's', ...headers })
    response.write(begin)
    if (isFilling) running.push(response)
    else response.end()
  }, async ({ call, cut, relays }) => {
    const handedOver = (): number => Number(/requests_handed_over_total\{[^}]*\} (\d+)/.exec(relays[0]!.metrics.render())?.[1] ?? 0)
    await cut([0], CutForm.Reset)
    while (handedOver() === 0) await call(0, {}, { path })
    isFilling = true
    const calls = Array.from({ length: 2 * capacity }, async () => await call(1, {}, { path }))
    while (running.length < 2 * capacity) await new Promise(resolve => { setTimeout(resolve, 5) })
    // The other VMs learn of the load by gossip.
    await new Promise(resolve => { setTimeout(resolve, GOSSIP_MILLISECONDS) })
    const before = handedOver()
    const answer = await call(0, {}, { path })
    assert.is(answer.status, 503)
    assert.is(JSON.parse(answer.body).title, 'no-room')
    assert.is(handedOver(), before + 1)
    for (const response of running) response.end()
    await Promise.all(calls)
  }, { hasGates: true })
})

full.run()
