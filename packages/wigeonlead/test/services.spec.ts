import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  ClaimKind, FailureKind, ServiceResult, Step, checkManifest, digestText, type ServiceAnswer, type ServiceOutcome
} from '@wigeonlead/protocol'
import { withPausedClock } from '@wigeonlead/stand-ins'
import { SILENT_LOGGER, createBurn, createMetrics, createSeededRandom, createTargetBoard } from '../src/process/index.js'
import { createObservedLatency } from '../src/process/observed-latency.js'
import { createRetryBudget } from '../src/process/retry-budget.js'
import { createAdmission, createPathChooser, type CallerResponse, type RequestContext } from '../src/request/index.js'
import { answerServiceCall } from '../src/request/services/index.js'
import { compileVersion } from '../src/version/index.js'
import { createClaimFleet } from './claim-fleet.js'

/** What a target does with a call. */
enum Reply {
  Ok = 'ok',
  Unreachable = 'unreachable',
  NotAccepted = 'not-accepted',
  Broken = 'broken',
  Failing = 'failing',
  Slow = 'slow'
}

enum Operation {
  Lookup = 'GET /jobs/7',
  Keyed = 'POST /orders',
  Keyless = 'POST /notes'
}

interface Case {
  name: string
  operation: Operation
  /** Replies of the calls, in order; the last one stays. */
  replies: Reply[]
  headers?: Record<string, string>
  balancerNeverRepeats?: boolean
  status: number
  /** Calls that reached a target. */
  calls: number
  problem?: { submission: string, order: string }
  retryAfter?: string
}

const KEY = { 'idempotency-key': 'leak-7' }
const FIRST = { 'wigeonlead-previous-attempts': '0' }
const UNSENT = { submission: 'not-sent', order: 'unknown' }
const NOT_RUN = { submission: 'not-sent', order: 'not-run' }
const SENT = { submission: 'sent', order: 'unknown' }

const CASES: Case[] = [
  { name: 'a lookup is answered', operation: Operation.Lookup, replies: [Reply.Ok], status: 200, calls: 1 },
  { name: 'a lookup whose connection broke is tried elsewhere', operation: Operation.Lookup, replies: [Reply.Broken, Reply.Ok], status: 200, calls: 2 },
  { name: 'a lookup that failed is tried elsewhere', operation: Operation.Lookup, replies: [Reply.Failing, Reply.Ok], status: 200, calls: 2 },
  { name: 'a lookup is tried three times at most', operation: Operation.Lookup, replies: [Reply.Broken], status: 502, calls: 3, problem: SENT },
  {
    name: 'a lookup that broke once is not called unsent by later refusals',
    operation: Operation.Lookup,
    replies: [Reply.Broken, Reply.Unreachable],
    status: 502,
    calls: 3,
    problem: SENT
  },
  {
    name: 'a lookup that no target takes was certainly not run, and the wait is told',
    operation: Operation.Lookup,
    replies: [Reply.NotAccepted],
    status: 503,
    calls: 3,
    problem: NOT_RUN,
    retryAfter: '7'
  },
  { name: 'an order needs a key', operation: Operation.Keyed, replies: [Reply.Ok], status: 400, calls: 0 },
  { name: 'an order runs', operation: Operation.Keyed, replies: [Reply.Ok], headers: KEY, status: 200, calls: 1 },
  { name: 'an order goes elsewhere after a refused connection', operation: Operation.Keyed, replies: [Reply.Unreachable, Reply.Ok], headers: KEY, status: 200, calls: 2 },
  { name: 'an order goes elsewhere after a refusal by contract', operation: Operation.Keyed, replies: [Reply.NotAccepted, Reply.Ok], headers: KEY, status: 200, calls: 2 },
  { name: 'an order whose connection broke is not sent again', operation: Operation.Keyed, replies: [Reply.Broken, Reply.Ok], headers: KEY, status: 502, calls: 1, problem: SENT },
  { name: 'an order that failed is not sent again', operation: Operation.Keyed, replies: [Reply.Failing, Reply.Ok], headers: KEY, status: 500, calls: 1 },
  { name: 'an order that no target takes may be under way elsewhere', operation: Operation.Keyed, replies: [Reply.Unreachable], headers: KEY, status: 503, calls: 3, problem: UNSENT },
  {
    name: 'a counted order that no target takes is fenced off and was not run',
    operation: Operation.Keyed,
    replies: [Reply.Unreachable],
    headers: { ...KEY, 'wigeonlead-previous-attempts': '2' },
    status: 503,
    calls: 3,
    problem: NOT_RUN
  },
  {
    name: 'a count that is none is refused',
    operation: Operation.Keyed,
    replies: [Reply.Ok],
    headers: { ...KEY, 'wigeonlead-previous-attempts': 'few' },
    status: 400,
    calls: 0,
    problem: UNSENT
  },
  { name: 'a keyless call is sent once', operation: Operation.Keyless, replies: [Reply.Broken, Reply.Ok], status: 502, calls: 1, problem: SENT },
  { name: 'a keyless call goes elsewhere after a refused connection', operation: Operation.Keyless, replies: [Reply.Unreachable, Reply.Ok], status: 200, calls: 2 },
  { name: 'a keyless call that no target takes may be repeated by the balancer', operation: Operation.Keyless, replies: [Reply.Unreachable], status: 503, calls: 3, problem: UNSENT },
  {
    name: 'unless the balancer never repeats and it is the first',
    operation: Operation.Keyless,
    replies: [Reply.Unreachable],
    headers: FIRST,
    balancerNeverRepeats: true,
    status: 503,
    calls: 3,
    problem: NOT_RUN
  }
]

const services = suite('service calls')
for (const each of CASES) {
  services(each.name, () => withPausedClock(async clock => {
    const scene = createScene(each)
    const answer = scene.call(each.operation, each.headers ?? {})
    await clock.advance(30_000)
    const response = await answer
    assert.is(response.status, each.status)
    assert.is(scene.calls(), each.calls)
    if (each.problem !== undefined) assert.equal(readProblem(response), each.problem)
    if (each.retryAfter !== undefined) assert.is(response.headers['retry-after'], each.retryAfter)
  }))
}

services('a lookup that is later than most is hedged at another target', () => withPausedClock(async clock => {
  const scene = createScene({ replies: [...Array.from({ length: 30 }, () => Reply.Ok), Reply.Slow, Reply.Ok] })
  for (let index = 0; index < 30; index += 1) {
    const answer = scene.call(Operation.Lookup, {})
    await clock.advance(10)
    await answer
  }
  const late = scene.call(Operation.Lookup, {})
  await clock.advance(20)
  assert.is((await late).status, 200)
  assert.is(scene.calls(), 32)
}))

services('retries stay within the budget', () => withPausedClock(async clock => {
  const scene = createScene({ replies: [Reply.Broken] })
  const answers = Array.from({ length: 200 }, () => scene.call(Operation.Lookup, {}))
  await clock.advance(30_000)
  await Promise.all(answers)
  assert.ok(scene.calls() <= 200 * 1.1 + 10, `${scene.calls()} calls`)
}))

services('during an outage of the key-value service orders are refused and lookups go on', () => withPausedClock(async clock => {
  const scene = createScene({ replies: [Reply.Ok] })
  scene.cutOff()
  const [order, lookup] = [scene.call(Operation.Keyed, KEY), scene.call(Operation.Lookup, {})]
  await clock.advance(5000)
  assert.equal(readProblem(await order), UNSENT)
  assert.is((await order).headers['retry-after'], '5')
  assert.is((await lookup).status, 200)
}))

services('a first order during an outage is certainly not run where the balancer never repeats', () => withPausedClock(async clock => {
  const scene = createScene({ replies: [Reply.Ok], balancerNeverRepeats: true })
  scene.cutOff()
  const order = scene.call(Operation.Keyed, { ...KEY, ...FIRST })
  await clock.advance(5000)
  assert.equal(readProblem(await order), NOT_RUN)
}))

services('a caller that hangs up does not stop its order', () => withPausedClock(async clock => {
  const scene = createScene({ replies: [Reply.Slow] })
  const caller = new AbortController()
  const first = scene.call(Operation.Keyed, KEY, caller.signal)
  await clock.advance(5)
  caller.abort()
  await clock.advance(5000)
  assert.is((await first).status, 200)
  const repeat = scene.call(Operation.Keyed, KEY)
  await clock.advance(5000)
  assert.is((await repeat).headers['idempotent-replayed'], 'true')
  assert.is(scene.calls(), 1)
}))
services.run()

interface Scene {
  call: (operation: Operation, headers: Record<string, string>, signal?: AbortSignal) => Promise<CallerResponse>
  calls: () => number
  /** Takes the key-value service away. */
  cutOff: () => void
}

function createScene ({ replies, balancerNeverRepeats = false }: Pick<Case, 'replies' | 'balancerNeverRepeats'>): Scene {
  const fleet = createClaimFleet(1, 1)
  const targets = createTargetBoard()
  const random = createSeededRandom(1)
  const version = compileVersion({ generation: 1, nonce: '', parts: [], stops: [] } as never, readManifest(balancerNeverRepeats))
  let calls = 0

  async function answerCall (): Promise<ServiceOutcome> {
    const reply = replies[Math.min(calls, replies.length - 1)] ?? Reply.Ok
    calls += 1
    await new Promise(resolve => setTimeout(resolve, reply === Reply.Slow ? 3000 : 2))
    return OUTCOMES[reply]
  }

  const parts = {
    engines: undefined as never,
    services: { call: answerCall },
    random,
    targets,
    paths: createPathChooser({ targets, random, failureDomain: 'howrah' } as never),
    admission: createAdmission(),
    claims: fleet.nodes[0]!.claims,
    retries: createRetryBudget(),
    latencies: createObservedLatency(),
    metrics: createMetrics(),
    burn: createBurn(),
    logger: SILENT_LOGGER,
    failureDomain: 'howrah',
    defaultDeadlineMilliseconds: 10_000
  } as unknown as RequestContext['parts']

  return {
    async call (operation, headers, signal = new AbortController().signal) {
      const [method = '', path = ''] = operation.split(' ')
      const context = {
        parts,
        version,
        versionInForce: () => version,
        workspace: version.workspaces.get('desk')!,
        signal,
        deadlineAt: Date.now() + 10_000,
        priority: 1
      }
      const request = { method, url: `/services/orders${path}`, headers, body: Buffer.from('{}'), signal }
      return await answerServiceCall(context, request, 'orders', path)
    },
    calls: () => calls,
    cutOff: () => { Object.assign(fleet.nodes[0]!, { keyValueFault: 'unreachable' }) }
  }
}

const ORIGIN = { step: Step.Service, peer: 'orders', detail: 'a test' }
const ANSWER: ServiceAnswer = { status: 200, headers: {}, body: Buffer.from('done') }
const OUTCOMES: Record<Reply, ServiceOutcome> = {
  [Reply.Ok]: { kind: ServiceResult.Answered, answer: ANSWER },
  [Reply.Slow]: { kind: ServiceResult.Answered, answer: ANSWER },
  [Reply.Failing]: { kind: ServiceResult.Answered, answer: { ...ANSWER, status: 500 } },
  [Reply.Unreachable]: { kind: ServiceResult.NotSent, failure: { ...ORIGIN, kind: FailureKind.Unreachable } },
  [Reply.NotAccepted]: {
    kind: ServiceResult.NotSent, failure: { ...ORIGIN, kind: FailureKind.Refused, status: 503, retryAfterMilliseconds: 7000 }
  },
  [Reply.Broken]: { kind: ServiceResult.Ambiguous, failure: { ...ORIGIN, kind: FailureKind.Broken } }
}

function readManifest (balancerNeverRepeats: boolean): Parameters<typeof compileVersion>[1] {
  const target = (index: number): object => ({ name: `orders-${index}`, address: `127.0.0.1:${9000 + index}`, failureDomain: 'howrah' })
  const check = checkManifest({
    format: 1,
    failureDomains: ['howrah'],
    services: [{
      name: 'orders',
      targets: [1, 2, 3].map(target),
      balancerNeverRepeats,
      operations: [
        { method: 'POST', path: '/orders', idempotent: false },
        { method: 'POST', path: '/notes', idempotent: false, claim: ClaimKind.Keyless },
        { method: 'GET', path: '/jobs/*', idempotent: true }
      ]
    }],
    workspaces: [{ name: 'desk', keyDigests: [digestText('key')] }]
  })
  if (!check.ok) throw new Error(JSON.stringify(check.faults))
  return check.manifest
}

function readProblem (response: CallerResponse): { submission: string, order: string } {
  const { submission, order } = JSON.parse(response.body as string) as { submission: string, order: string }
  return { submission, order }
}
