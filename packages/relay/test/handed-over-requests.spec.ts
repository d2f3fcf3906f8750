/**
 * Guards against a request that is handed over from VM to VM and thereby reaches more targets than its route allows.
 */
import type { ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { withFleet, type Fleet, type TargetBehaviour } from './fleet.js'
import { CutForm } from './target-gates.js'
import { testRoute } from './test-configuration.js'

const VMS = 5
const TARGETS = 6
const SEED = 40
/** The VM that is cut off, the peers that end during a request, and requests that are counted: one after the other. */
const CUT_VM = 0
const ENDING_PEERS = [1, 2, 3]
const REQUESTS = 3
const MAXIMUM_TARGETS = testRoute('any').maximumTargets
/** Time in which a VM that is cut off notices it, milliseconds. */
const SETTLING_MILLISECONDS = 1000
/** How long callers wait for the answer of a request that is counted, milliseconds. */
const WAIT_MILLISECONDS = 1000
const EVENTS_BEFORE_END = 3
const STREAM_HEAD = { 'X-Seal': 's', 'Content-Type': 'text/event-stream' }

/** What a target does with a request that is counted. `arrival` counts from 1 over all targets. */
type Behaviour = (response: ServerResponse, arrival: { arrival: number, lastEvent: number, requestId: string }, fleet: Fleet) => void

const answerWithError: Behaviour = response => {
  response.writeHead(500)
  response.end('fault')
}

const breakOffAnswer: Behaviour = (response, { lastEvent, requestId }) => {
  response.writeHead(200, { ...STREAM_HEAD, 'X-Request': requestId })
  for (let event = lastEvent + 1; event <= lastEvent + EVENTS_BEFORE_END; event++) response.write(`id: ${event}\ndata: x\n\n`)
  setTimeout(() => response.destroy(), 20)
}

const endPeers: Behaviour = (_response, { arrival }, fleet) => {
  if (arrival === MAXIMUM_TARGETS) fleet.kill(ENDING_PEERS)
}

/** The VM that received the request is cut off once it has sent it to a target itself. */
const cutOffSender = (then: Behaviour): Behaviour => (response, arrival, fleet) => {
  if (arrival.arrival === 1) void fleet.cut([CUT_VM], CutForm.Reset)
  else then(response, arrival, fleet)
}

const PATHS = { model: '/write/1', desk: '/look/1' }

interface Case {
  name: string
  service: keyof typeof PATHS
  behaviour: Behaviour
  isCutBefore: boolean
  requests: number
}

const CASES: Case[] = [
  { name: 'a stream, targets answer with an error', service: 'model', behaviour: answerWithError, isCutBefore: true, requests: REQUESTS },
  { name: 'a stream, targets break it off', service: 'model', behaviour: breakOffAnswer, isCutBefore: true, requests: REQUESTS },
  { name: 'a stream, cut off after an own send', service: 'model', behaviour: cutOffSender(answerWithError), isCutBefore: false, requests: 1 },
  { name: 'an idempotent request, cut off after an own send', service: 'desk', behaviour: cutOffSender(answerWithError), isCutBefore: false, requests: 1 },
  { name: 'an idempotent request, its peer ends', service: 'desk', behaviour: endPeers, isCutBefore: true, requests: 1 }
]

const handedOver = suite('requests that are handed over')

for (const { name, service, behaviour, isCutBefore, requests } of CASES) {
  handedOver(`${name}: at most ${MAXIMUM_TARGETS} targets for each request`, async () => {
    const reachedTargets = new Set<number>()
    let arrivals = 0
    let fleet: Fleet | undefined
    const target: TargetBehaviour = (incoming, response) => {
      const requestId = String(incoming.headers['x-request'])
      if (incoming.headers['x-counted'] === undefined) {
        response.writeHead(200, { ...STREAM_HEAD, 'X-Request': requestId })
        response.end('id: 1\ndata: x\n\n')
        return
      }
      arrivals += 1
      reachedTargets.add(incoming.socket.localPort!)
      behaviour(response, { arrival: arrivals, requestId, lastEvent: Number(incoming.headers['x-last'] ?? 0) }, fleet!)
    }
    await withFleet(VMS, TARGETS, target, async present => {
      fleet = present
      const path = PATHS[service]
      if (isCutBefore) await fleet.cut([CUT_VM], CutForm.Reset)
      const settledAt = performance.now() + (isCutBefore ? SETTLING_MILLISECONDS : 0)
      while (performance.now() < settledAt) await fleet.call(CUT_VM, {}, { path })
      const numbers: number[] = []
      for (let request = 0; request < requests; request++) {
        reachedTargets.clear()
        await fleet.call(CUT_VM, { 'X-Counted': '1', 'X-Wait': String(WAIT_MILLISECONDS) }, { path })
        numbers.push(reachedTargets.size)
      }
      assert.ok(Math.min(...numbers) >= 1, `a request reached no target: ${numbers}`)
      assert.ok(Math.max(...numbers) <= MAXIMUM_TARGETS, `targets of each request: ${numbers}`)
    }, { service, hasGates: true, seed: SEED })
  })
}

/**
 * Guards against a change that comes back: the first VM has used a version that the VM that takes the request over does not have yet.
 */
const VERSION_CASES = [
  { name: 'by a VM with the same version', version: 1, isHandedOver: true, status: 200 },
  { name: 'by a VM with a newer version', version: 2, isHandedOver: true, status: 503 },
  { name: 'by a VM of an earlier build, which states no version', version: undefined, isHandedOver: true, status: 200 },
  { name: 'by nobody, and its caller states a version', version: 2, isHandedOver: false, status: 200 }
]
for (const { name, version, isHandedOver, status } of VERSION_CASES) {
  handedOver(`a request is handed over ${name}: status ${status}`, async () => {
    let arrivals = 0
    await withFleet(1, 1, (incoming, response) => {
      arrivals += 1
      response.writeHead(200, { 'X-Seal': 's', 'X-Request': String(incoming.headers['x-request']) })
      response.end('ok')
    }, async fleet => {
      const headers: Record<string, string> = version === undefined ? {} : { 'X-Version': String(version) }
      const answer = await fleet.call(0, headers, { path: PATHS.desk, isHandedOver })
      assert.is(answer.status, status)
      assert.is(arrivals, status === 200 ? 1 : 0)
    }, { service: 'desk' })
  })
}

handedOver('a request is handed over by a VM with a newer version, which the store shows by now: it is answered', async () => {
  await withFleet(1, 1, (incoming, response) => {
    response.writeHead(200, { 'X-Seal': 's', 'X-Request': String(incoming.headers['x-request']) })
    response.end('ok')
  }, async fleet => {
    fleet.store.put('configuration', '2')
    assert.is((await fleet.call(0, { 'X-Version': '2' }, { path: PATHS.desk, isHandedOver: true })).status, 200)
  }, { service: 'desk' })
})

handedOver.run()
