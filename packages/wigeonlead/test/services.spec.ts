import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  ClaimKind, FailureKind, ServiceResult, Step, checkManifest, digestText, type ServiceAnswer, type ServiceOutcome
} from '@wigeonlead/protocol'
import { withPausedClock } from '@wigeonlead/stand-ins'
import { SILENT_LOGGER, createBurnTracker, createMetrics, createSeededRandom, createTargetTracker } from '../src/process/index.js'
import { createObservedLatency } from '../src/process/observed-latency.js'
import { createRetryBudgets } from '../src/process/retry-budget.js'
import { createAdmission, createPathChooser, type CallerResponse, type RequestContext } from '../src/request/index.js'
import { answerServiceCall } from '../src/request/services/index.js'
import { compileVersion } from '../src/version/index.js'
import { createClaimFleet } from './claim-fleet.js'

/** How a target replies to a call. */
enum TargetReply {
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
  /** Replies to the calls, in order; the last reply is repeated. */
  replies: TargetReply[]
  headers?: Record<string, string>
  balancerNeverRepeats?: boolean
  status: number
  /** Calls that reached a target. */
  calls: number
  problem?: { submission: string, order: string }
  retryAfter?: string
}

const KEY = { 'idempotency-key': 'leak-7' }
const FIRST_SUBMISSION = { 'wigeonlead-previous-attempts': '0' }
const UNSENT_UNKNOWN = { submission: 'not-sent', order: 'unknown' }
const UNSENT_NOT_RUN = { submission: 'not-sent', order: 'not-run' }
const SENT_UNKNOWN = { submission: 'sent', order: 'unknown' }

const CASES: Case[] = [
  { name: 'a lookup is answered', operation: Operation.Lookup, replies: [TargetReply.Ok], status: 200, calls: 1 },
  { name: 'a lookup whose connection broke is retried at another target', operation: Operation.Lookup, replies: [TargetReply.Broken, TargetReply.Ok], status: 200, calls: 2 },
  { name: 'a lookup that failed is retried at another target', operation: Operation.Lookup, replies: [TargetReply.Failing, TargetReply.Ok], status: 200, calls: 2 },
  { name: 'a lookup is attempted at most three times', operation: Operation.Lookup, replies: [TargetReply.Broken], status: 502, calls: 3, problem: SENT_UNKNOWN },
  {
    name: 'a lookup that may have been sent is reported as sent, even if later attempts were not',
    operation: Operation.Lookup,
    replies: [TargetReply.Broken, TargetReply.Unreachable],
    status: 502,
    calls: 3,
    problem: SENT_UNKNOWN
  },
  {
    name: 'a lookup that no target accepts is reported as not run, with the retry delay',
    operation: Operation.Lookup,
    replies: [TargetReply.NotAccepted],
    status: 503,
    calls: 3,
    problem: UNSENT_NOT_RUN,
    retryAfter: '7'
  },
  { name: 'an order needs a key', operation: Operation.Keyed, replies: [TargetReply.Ok], status: 400, calls: 0 },
  { name: 'an order with a key runs', operation: Operation.Keyed, replies: [TargetReply.Ok], headers: KEY, status: 200, calls: 1 },
  { name: 'an order is sent to another target after a refused connection', operation: Operation.Keyed, replies: [TargetReply.Unreachable, TargetReply.Ok], headers: KEY, status: 200, calls: 2 },
  { name: 'an order is sent to another target after a target did not accept it', operation: Operation.Keyed, replies: [TargetReply.NotAccepted, TargetReply.Ok], headers: KEY, status: 200, calls: 2 },
  { name: 'an order whose connection broke is not sent again', operation: Operation.Keyed, replies: [TargetReply.Broken, TargetReply.Ok], headers: KEY, status: 502, calls: 1, problem: SENT_UNKNOWN },
  { name: 'an order that failed is not sent again', operation: Operation.Keyed, replies: [TargetReply.Failing, TargetReply.Ok], headers: KEY, status: 500, calls: 1 },
  { name: 'an order that reaches no target is reported as unknown, since it may run through another router', operation: Operation.Keyed, replies: [TargetReply.Unreachable], headers: KEY, status: 503, calls: 3, problem: UNSENT_UNKNOWN },
  {
    name: 'an order with a count of previous attempts that reaches no target is fenced and reported as not run',
    operation: Operation.Keyed,
    replies: [TargetReply.Unreachable],
    headers: { ...KEY, 'wigeonlead-previous-attempts': '2' },
    status: 503,
    calls: 3,
    problem: UNSENT_NOT_RUN
  },
  {
    name: 'a malformed count of previous attempts is refused',
    operation: Operation.Keyed,
    replies: [TargetReply.Ok],
    headers: { ...KEY, 'wigeonlead-previous-attempts': 'few' },
    status: 400,
    calls: 0,
    problem: UNSENT_UNKNOWN
  },
  { name: 'a keyless call is sent once', operation: Operation.Keyless, replies: [TargetReply.Broken, TargetReply.Ok], status: 502, calls: 1, problem: SENT_UNKNOWN },
  { name: 'a keyless call is sent to another target after a refused connection', operation: Operation.Keyless, replies: [TargetReply.Unreachable, TargetReply.Ok], status: 200, calls: 2 },
  { name: 'a keyless call that reaches no target is reported as unknown, since the balancer may repeat it', operation: Operation.Keyless, replies: [TargetReply.Unreachable], status: 503, calls: 3, problem: UNSENT_UNKNOWN },
  {
    name: 'a first keyless call that reaches no target is reported as not run if the balancer never repeats',
    operation: Operation.Keyless,
    replies: [TargetReply.Unreachable],
    headers: FIRST_SUBMISSION,
    balancerNeverRepeats: true,
    status: 503,
    calls: 3,
    problem: UNSENT_NOT_RUN
  }
]

const services = suite('service calls')
for (const each of CASES) {
  services(each.name, () => withPausedClock(async clock => {
    const setup = createSetup(each)
    const answer = setup.call(each.operation, each.headers ?? {})
    await clock.advance(30_000)
    const response = await answer
    assert.is(response.status, each.status)
    assert.is(setup.calls(), each.calls)
    if (each.problem !== undefined) assert.equal(readProblem(response), each.problem)
    if (each.retryAfter !== undefined) assert.is(response.headers['retry-after'], each.retryAfter)
  }))
}

services('a lookup that is slower than the earlier ones is hedged at another target', () => withPausedClock(async clock => {
  const setup = createSetup({ replies: [...Array.from({ length: 30 }, () => TargetReply.Ok), TargetReply.Slow, TargetReply.Ok] })
  for (let index = 0; index < 30; index += 1) {
    const answer = setup.call(Operation.Lookup, {})
    await clock.advance(10)
    await answer
  }
  const hedged = setup.call(Operation.Lookup, {})
  await clock.advance(20)
  assert.is((await hedged).status, 200)
  assert.is(setup.calls(), 32)
}))

services('retries stay within the budget', () => withPausedClock(async clock => {
  const setup = createSetup({ replies: [TargetReply.Broken] })
  const answers = Array.from({ length: 200 }, () => setup.call(Operation.Lookup, {}))
  await clock.advance(30_000)
  await Promise.all(answers)
  assert.ok(setup.calls() <= 200 * 1.1 + 10, `${setup.calls()} calls`)
}))

services('during an outage of the key-value service, orders are refused and lookups are answered', () => withPausedClock(async clock => {
  const setup = createSetup({ replies: [TargetReply.Ok] })
  setup.disconnectKeyValue()
  const [order, lookup] = [setup.call(Operation.Keyed, KEY), setup.call(Operation.Lookup, {})]
  await clock.advance(5000)
  assert.equal(readProblem(await order), UNSENT_UNKNOWN)
  assert.is((await order).headers['retry-after'], '5')
  assert.is((await lookup).status, 200)
}))

services('during an outage, a first order is reported as not run if the balancer never repeats', () => withPausedClock(async clock => {
  const setup = createSetup({ replies: [TargetReply.Ok], balancerNeverRepeats: true })
  setup.disconnectKeyValue()
  const order = setup.call(Operation.Keyed, { ...KEY, ...FIRST_SUBMISSION })
  await clock.advance(5000)
  assert.equal(readProblem(await order), UNSENT_NOT_RUN)
}))

services('a caller that hangs up does not stop its order', () => withPausedClock(async clock => {
  const setup = createSetup({ replies: [TargetReply.Slow] })
  const caller = new AbortController()
  const first = setup.call(Operation.Keyed, KEY, caller.signal)
  await clock.advance(5)
  caller.abort()
  await clock.advance(5000)
  assert.is((await first).status, 200)
  const repeat = setup.call(Operation.Keyed, KEY)
  await clock.advance(5000)
  assert.is((await repeat).headers['idempotent-replayed'], 'true')
  assert.is(setup.calls(), 1)
}))
services.run()

interface ServiceSetup {
  call: (operation: Operation, headers: Record<string, string>, signal?: AbortSignal) => Promise<CallerResponse>
  /** @returns the number of calls so far. */
  calls: () => number
  /** Makes the key-value service unreachable. */
  disconnectKeyValue: () => void
}

function createSetup ({ replies, balancerNeverRepeats = false }: Pick<Case, 'replies' | 'balancerNeverRepeats'>): ServiceSetup {
  const fleet = createClaimFleet(1, 1)
  const targets = createTargetTracker()
  const random = createSeededRandom(1)
  const version = compileVersion({ generation: 1, nonce: '', parts: [], stops: [] } as never, readManifest(balancerNeverRepeats))
  let calls = 0

  async function answerCall (): Promise<ServiceOutcome> {
    const reply = replies[Math.min(calls, replies.length - 1)] ?? TargetReply.Ok
    calls += 1
    await new Promise(resolve => setTimeout(resolve, reply === TargetReply.Slow ? 3000 : 2))
    return OUTCOMES[reply]
  }

  const dependencies = {
    engines: undefined as never,
    services: { call: answerCall },
    random,
    targets,
    paths: createPathChooser({ targets, random, failureDomain: 'howrah' } as never),
    admission: createAdmission(),
    claims: fleet.nodes[0]!.claims,
    retryBudgets: createRetryBudgets(),
    latencies: createObservedLatency(),
    metrics: createMetrics(),
    burn: createBurnTracker(),
    logger: SILENT_LOGGER,
    failureDomain: 'howrah',
    defaultDeadlineMilliseconds: 10_000
  } as unknown as RequestContext['dependencies']

  return {
    async call (operation, headers, signal = new AbortController().signal) {
      const [method = '', path = ''] = operation.split(' ')
      const context = {
        dependencies,
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
    disconnectKeyValue: () => { Object.assign(fleet.nodes[0]!, { keyValueFault: 'unreachable' }) }
  }
}

const FAILURE_FIELDS = { step: Step.Service, peer: 'orders', detail: 'a test' }
const ANSWER: ServiceAnswer = { status: 200, headers: {}, body: Buffer.from('done') }
const OUTCOMES: Record<TargetReply, ServiceOutcome> = {
  [TargetReply.Ok]: { kind: ServiceResult.Answered, answer: ANSWER },
  [TargetReply.Slow]: { kind: ServiceResult.Answered, answer: ANSWER },
  [TargetReply.Failing]: { kind: ServiceResult.Answered, answer: { ...ANSWER, status: 500 } },
  [TargetReply.Unreachable]: { kind: ServiceResult.NotSent, failure: { ...FAILURE_FIELDS, kind: FailureKind.Unreachable } },
  [TargetReply.NotAccepted]: {
    kind: ServiceResult.NotSent, failure: { ...FAILURE_FIELDS, kind: FailureKind.Refused, status: 503, retryAfterMilliseconds: 7000 }
  },
  [TargetReply.Broken]: { kind: ServiceResult.Ambiguous, failure: { ...FAILURE_FIELDS, kind: FailureKind.Broken } }
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
