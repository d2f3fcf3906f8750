/**
 * Guards against VMs that are cut off from all targets and refuse what their peers could serve, and against peers that take the reports of
 * such a VM for losses of targets. Callers, the store and the other VMs reach a VM that is cut off.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { withFleet, type Fleet, type FleetAnswer } from './fleet.js'
import { CutForm } from './target-gates.js'

const VMS = 4
const TARGETS = 6
/** Requests to each VM that are counted. */
const ROUNDS = 12
/** Time from the start of a cut to the first request that counts, milliseconds: a third of the users' bound. */
const SETTLING_MILLISECONDS = 1000
/** Share of the first tries that the other VMs serve which the VMs that are cut off must serve. */
const MINIMUM_SHARE = 0.9
const EVENTS = 12
const EVENT_INTERVAL_MILLISECONDS = 60
/** Time from the end of a cut until a VM serves by itself again, milliseconds. */
const RETURN_MILLISECONDS = 1500

interface Case {
  name: string
  form: CutForm
  service: 'model' | 'desk'
  path: string
  cut: number[]
}

const CASES: Case[] = [CutForm.Reset, CutForm.RefuseNew, CutForm.Silent].flatMap(form => [
  { name: 'answers of events, two of four VMs', form, service: 'model' as const, path: '/write/1', cut: [0, 1] },
  { name: 'answers of events, all VMs but one', form, service: 'model' as const, path: '/write/1', cut: [0, 1, 3] },
  { name: 'idempotent requests', form, service: 'desk' as const, path: '/look/1', cut: [0, 1] },
  { name: 'requests that run once at most', form, service: 'desk' as const, path: '/book/1', cut: [0, 1] }
])

/** Arrivals at targets by request. */
type Arrivals = Map<string, number>

function answerWith (service: 'model' | 'desk', arrivals: Arrivals, eventMilliseconds: number) {
  return (incoming: IncomingMessage, response: ServerResponse): void => {
    const requestId = String(incoming.headers['x-request'])
    arrivals.set(requestId, (arrivals.get(requestId) ?? 0) + 1)
    if (service === 'desk') {
      response.writeHead(200, { 'X-Request': requestId, 'X-Seal': 's' })
      response.end(requestId)
      return
    }
    response.writeHead(200, { 'X-Request': requestId, 'X-Seal': 's', 'Content-Type': 'text/event-stream' })
    let event = Number(incoming.headers['x-last'] ?? 0)
    const send = (): void => {
      event += 1
      response.write(`id: ${event}\ndata: ${requestId}\n\n`)
      if (event < EVENTS) setTimeout(send, eventMilliseconds)
      else response.end()
    }
    send()
  }
}

function isServed ({ status, isComplete }: FleetAnswer): boolean {
  return status === 200 && isComplete
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/**
 * Sends requests to all VMs for a time, as the callers do that are there when a cut begins.
 * @returns the answers of each VM.
 */
async function callMeanwhile (fleet: Fleet, path: string, milliseconds: number): Promise<FleetAnswer[][]> {
  const calls: Array<Array<Promise<FleetAnswer>>> = Array.from({ length: VMS }, () => [])
  const endsAt = performance.now() + milliseconds
  while (performance.now() < endsAt) {
    for (const [vm, ofVm] of calls.entries()) ofVm.push(fleet.call(vm, {}, { path }))
    await pause(50)
  }
  return await Promise.all(calls.map(async ofVm => await Promise.all(ofVm)))
}

/** @returns the number of requests that each VM served at the first try. */
async function countServed (fleet: Fleet, path: string): Promise<number[]> {
  const served = Array.from({ length: VMS }, () => 0)
  for (let round = 0; round < ROUNDS; round++) {
    const answers = await Promise.all(served.map(async (_, vm) => await fleet.call(vm, {}, { path })))
    for (const [vm, answer] of answers.entries()) if (isServed(answer)) served[vm]! += 1
  }
  return served
}

const partitions = suite('VMs cut off from all targets')

for (const { name, form, service, path, cut } of CASES) {
  partitions(`cut (${form}): all VMs serve ${name}`, async () => {
    const arrivals: Arrivals = new Map()
    await withFleet(VMS, TARGETS, answerWith(service, arrivals, 1), async fleet => {
      await callMeanwhile(fleet, path, 100)
      await fleet.cut(cut, form)
      await callMeanwhile(fleet, path, SETTLING_MILLISECONDS)
      const served = await countServed(fleet, path)
      for (const [vm, count] of served.entries()) if (!cut.includes(vm)) assert.is(count, ROUNDS, `vm-${vm}, not cut off`)
      for (const vm of cut) assert.ok(served[vm]! >= ROUNDS * MINIMUM_SHARE, `vm-${vm}, cut off, served ${served[vm]} of ${ROUNDS}`)
      if (path.startsWith('/book')) for (const [request, count] of arrivals) assert.is(count, 1, `arrivals of ${request}`)
    }, { service, hasGates: true })
  })
}

for (const [service, path] of [['model', '/write/1'], ['desk', '/look/1']] as const) {
  partitions(`VMs that are not cut off serve every request from the start of the cut on: ${path}`, async () => {
    await withFleet(VMS, TARGETS, answerWith(service, new Map(), 1), async fleet => {
      await callMeanwhile(fleet, path, 100)
      await fleet.cut([0, 1], CutForm.Reset)
      const answers = await callMeanwhile(fleet, path, SETTLING_MILLISECONDS)
      for (const vm of [2, 3]) {
        const refused = answers[vm]!.filter(answer => !isServed(answer)).length
        assert.is(refused, 0, `vm-${vm} refused ${refused} of ${answers[vm]!.length}`)
      }
    }, { service, hasGates: true })
  })
}

for (const form of [CutForm.Reset, CutForm.Silent]) {
  partitions(`cut (${form}) while an answer comes: its caller gets every event once`, async () => {
    await withFleet(VMS, TARGETS, answerWith('model', new Map(), EVENT_INTERVAL_MILLISECONDS), async fleet => {
      const calls = [0, 1].map(async vm => await fleet.call(vm, {}))
      await pause(EVENT_INTERVAL_MILLISECONDS * 3)
      await fleet.cut([0, 1], form)
      for (const answer of await Promise.all(calls)) {
        assert.ok(isServed(answer), `status ${answer.status}, complete: ${answer.isComplete}`)
        const events = [...answer.body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]))
        assert.equal(events, Array.from({ length: EVENTS }, (_, index) => index + 1))
      }
    }, { hasGates: true })
  })
}

partitions('all VMs are cut off: requests are refused with the time to come back, and served once the cut has ended', async () => {
  await withFleet(VMS, TARGETS, answerWith('desk', new Map(), 1), async fleet => {
    const all = Array.from({ length: VMS }, (_, vm) => vm)
    await callMeanwhile(fleet, '/book/1', 100)
    await fleet.cut(all, CutForm.Reset)
    await callMeanwhile(fleet, '/book/1', SETTLING_MILLISECONDS)
    const refused = await fleet.call(0, {}, { path: '/book/1' })
    assert.is(refused.status, 503)
    assert.ok(Number(refused.headers['retry-after']) > 0)
    await fleet.heal(all)
    await pause(RETURN_MILLISECONDS)
    assert.equal(await countServed(fleet, '/book/1'), all.map(() => ROUNDS))
  }, { service: 'desk', hasGates: true })
})

partitions('the cut ends: a VM serves by itself again, also once its peers are gone', async () => {
  await withFleet(VMS, TARGETS, answerWith('desk', new Map(), 1), async fleet => {
    await fleet.cut([0], CutForm.Reset)
    await callMeanwhile(fleet, '/look/1', SETTLING_MILLISECONDS)
    assert.ok(isServed(await fleet.call(0, {}, { path: '/look/1' })), 'during the cut')
    await fleet.heal([0])
    await pause(RETURN_MILLISECONDS)
    fleet.kill([1, 2, 3])
    assert.ok(isServed(await fleet.call(0, {}, { path: '/look/1' })), 'after the cut')
  }, { service: 'desk', hasGates: true })
})

partitions('peers end or are cut off too: a VM that is cut off finds one that serves', async () => {
  await withFleet(VMS, TARGETS, answerWith('desk', new Map(), 1), async fleet => {
    await fleet.cut([0], CutForm.Reset)
    await callMeanwhile(fleet, '/look/1', SETTLING_MILLISECONDS)
    fleet.kill([1])
    await fleet.cut([2], CutForm.Reset)
    for (let round = 0; round < ROUNDS; round++) {
      assert.ok(isServed(await fleet.call(0, {}, { path: '/look/1' })), `round ${round}`)
    }
  }, { service: 'desk', hasGates: true })
})

partitions.run()
