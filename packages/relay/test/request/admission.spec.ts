/**
 * Requests over real sockets that start together before a target that is full: no more start than it takes, the others hear when to return,
 * and one that comes as a place becomes free has it.
 */
import type { ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { withFleet, type Fleet, type FleetAnswer } from '../fleet.js'
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

async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => { setTimeout(resolve, 5) })
}

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

interface StreamFleet extends Fleet {
  /** Fills the targets by streams through one VM until the test ends. */
  fill: (vm: number) => Promise<void>
}

const [STREAMS] = CASES

/** Runs a test against targets whose streams end at once, or, when they fill the targets, not before the test ends. */
async function withStreams (vms: number, targets: number, use: (fleet: StreamFleet) => Promise<void>): Promise<void> {
  const running: ServerResponse[] = []
  const calls: Array<Promise<FleetAnswer>> = []
  await withFleet(vms, targets, (incoming, response) => {
    response.writeHead(200, { 'X-Request': incoming.headers['x-request'], 'X-Seal': 's', ...STREAMS!.headers })
    response.write(STREAMS!.begin)
    if (calls.length > 0) running.push(response)
    else response.end()
  }, async fleet => {
    await use({
      ...fleet,
      async fill (vm) {
        const count = targets * STREAMS!.capacity
        calls.push(...Array.from({ length: count }, async () => await fleet.call(vm, {})))
        await until(() => running.length === count)
      }
    })
    for (const response of running) response.end()
    await Promise.all(calls)
  }, { hasGates: true })
}

// Guards against a request that waits for capacity at each VM that it is handed over to, as if it had just arrived.
full('two requests are handed over: the one that has waited for long at other VMs is refused first', async () => {
  await withStreams(1, 1, async ({ call, fill }) => {
    await fill(0)
    const refused: string[] = []
    await Promise.all(['0', '10000'].map(async waited => {
      const answer = await call(0, { 'X-Further': '2', 'X-Waited': waited }, { isHandedOver: true })
      assert.is(JSON.parse(answer.body).title, 'no-room')
      refused.push(waited)
    }))
    assert.equal(refused, ['10000', '0'])
  })
})

// Guards against a request that is refused by one peer after the other, although all of them send to the same full targets.
full('a VM is cut off and the targets are full: the first peer\'s refusal ends the hand-over', async () => {
  await withStreams(4, 2, async ({ call, cut, fill, relays }) => {
    const handedOver = (): number => Number(/requests_handed_over_total\{[^}]*\} (\d+)/.exec(relays[0]!.metrics.render())?.[1] ?? 0)
    await cut([0], CutForm.Reset)
    while (handedOver() === 0) await call(0, {})
    await fill(1)
    // The other VMs learn of the load by gossip.
    await new Promise(resolve => { setTimeout(resolve, GOSSIP_MILLISECONDS) })
    const before = handedOver()
    const answer = await call(0, {})
    assert.is(answer.status, 503)
    assert.is(JSON.parse(answer.body).title, 'no-room')
    assert.is(handedOver(), before + 1)
  })
})

full.run()
