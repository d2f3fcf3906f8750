import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { FailureKind, ProblemType, failed, success, type ManifestWorkspace, type Outcome } from '@wigeonlead/protocol'
import { withPausedClock } from '@wigeonlead/stand-ins'
import {
  createAdmission, createFairQueue, createLimits, refuseAdmission, type Admission, type AdmissionRequest, type AdmissionTicket
} from '../src/request/index.js'

function workspace (name: string, limits: Partial<ManifestWorkspace> = {}): ManifestWorkspace {
  return { name, keyDigests: [], weight: 1, ...limits }
}

/** A server that runs a limited number of requests at once. */
function createServer (slots: number): { start: () => Outcome<boolean>, finish: () => void } {
  let used = 0
  return {
    start () {
      if (used >= slots) return success(false)
      used += 1
      return success(true)
    },
    finish: () => { used -= 1 }
  }
}

function createRequest (changes: Partial<AdmissionRequest> = {}): AdmissionRequest {
  const signal = new AbortController().signal
  return { workspace: workspace('w'), resource: 'm', priority: 1, deadlineAt: Date.now() + 60_000, signal, ...changes }
}

/** Admits a request, records its name, and ends it 100 ms later. */
function admitAndFinish (
  admission: Admission, server: ReturnType<typeof createServer>, request: AdmissionRequest, served: string[], name: string
): void {
  void admission.admit({ ...request, start: server.start }).then(outcome => {
    if (!outcome.ok) return
    served.push(name)
    setTimeout(() => {
      server.finish()
      outcome.value.release()
    }, 100)
  })
}

const admissions = suite('admission')

admissions('a workspace that floods the queue does not delay another, which gets every second slot', () => withPausedClock(async clock => {
  const admission = createAdmission()
  const server = createServer(1)
  const served: string[] = []
  for (let count = 0; count < 50; count += 1) admitAndFinish(admission, server, createRequest({ workspace: workspace('flood'), tokens: 64 }), served, 'flood')
  for (let count = 0; count < 5; count += 1) admitAndFinish(admission, server, createRequest({ workspace: workspace('quiet'), tokens: 64 }), served, 'quiet')
  await clock.advance(1250)
  assert.is(served.filter(name => name === 'quiet').length, 5)
}))

admissions('workspaces are served in proportion to their weights', () => withPausedClock(async clock => {
  const admission = createAdmission()
  const server = createServer(1)
  const served: string[] = []
  for (let count = 0; count < 80; count += 1) {
    admitAndFinish(admission, server, createRequest({ workspace: workspace('light'), tokens: 64 }), served, 'light')
    admitAndFinish(admission, server, createRequest({ workspace: workspace('heavy', { weight: 3 }), tokens: 64 }), served, 'heavy')
  }
  await clock.advance(4050)
  const heavy = served.filter(name => name === 'heavy').length
  assert.ok(heavy >= 28 && heavy <= 32, String(heavy))
}))

admissions('within a workspace, requests are served by priority', () => withPausedClock(async clock => {
  const admission = createAdmission()
  const server = createServer(1)
  const served: string[] = []
  for (const priority of [1, 3, 2, 0]) admitAndFinish(admission, server, createRequest({ priority }), served, String(priority))
  await clock.advance(500)
  assert.equal(served, ['1', '0', '2', '3'])
}))

interface RefusalCase {
  name: string
  changes: (hangUp: AbortController) => Partial<AdmissionRequest>
  problem: ProblemType
  /** Time within which the request must be refused, milliseconds. */
  withinMilliseconds: number
}

const REFUSAL_CASES: RefusalCase[] = [
  { name: 'a request whose deadline passes in the queue', changes: () => ({ deadlineAt: Date.now() + 500 }), problem: ProblemType.DeadlineUnreachable, withinMilliseconds: 500 },
  {
    name: 'a request whose workspace or model is no longer served',
    changes: () => ({ start: () => failed({ kind: FailureKind.Refused, step: 'path-choice' as never, peer: 'local', detail: 'gone' }) }),
    problem: ProblemType.NoPath,
    withinMilliseconds: 0
  },
  {
    name: 'a request whose caller hangs up',
    changes: hangUp => {
      setTimeout(() => hangUp.abort(), 200)
      return { signal: hangUp.signal }
    },
    problem: ProblemType.Overloaded,
    withinMilliseconds: 200
  }
]
for (const { name, changes, problem, withinMilliseconds } of REFUSAL_CASES) {
  admissions(`${name} is refused immediately`, () => withPausedClock(async clock => {
    const admission = createAdmission()
    const full = (): Outcome<boolean> => success(false)
    let outcome: Outcome<AdmissionTicket> | undefined
    void admission.admit(createRequest({ start: full, ...changes(new AbortController()) })).then(value => { outcome = value })
    await clock.advance(withinMilliseconds)
    assert.is(outcome?.ok, false)
    assert.is(outcome?.ok === false ? refuseAdmission(outcome.failure).type : '', problem)
    assert.is(admission.waiting(), 0)
  }))
}

admissions('a request whose answer is expected after its deadline is refused without being queued', () => withPausedClock(async clock => {
  const admission = createAdmission()
  const server = createServer(1)
  const served: string[] = []
  admitAndFinish(admission, server, createRequest(), served, 'first')
  await clock.advance(150)
  for (let count = 0; count < 20; count += 1) admitAndFinish(admission, server, createRequest(), served, 'other')
  await clock.advance(0)
  const outcome = await admission.admit(createRequest({ start: server.start, deadlineAt: Date.now() + 1000 }))
  assert.is(outcome.ok, false)
  const refusal = outcome.ok ? undefined : refuseAdmission(outcome.failure)
  assert.is(refusal?.type, ProblemType.DeadlineUnreachable)
  assert.ok((refusal?.retryAfterSeconds ?? 0) >= 2, String(refusal?.retryAfterSeconds))
}))

admissions('the queue of a workspace is bounded, and other workspaces can still queue requests', () => withPausedClock(async () => {
  const queue = createFairQueue<{ workspace: string, weight: number, priority: number, cost: number }>(10, 4)
  const item = (name: string) => ({ workspace: name, weight: 1, priority: 0, cost: 1 })
  assert.equal(Array.from({ length: 6 }, () => queue.add(item('flood'))), [true, true, true, true, false, false])
  assert.is(queue.add(item('quiet')), true)
}))

interface LimitCase {
  name: string
  limits: Partial<ManifestWorkspace>
  share?: number
  tokens?: number
  /** Requests admitted immediately. */
  atOnce: number
  /** Further requests admitted one second later. */
  afterOneSecond: number
}

const LIMIT_CASES: LimitCase[] = [
  { name: 'requests a second', limits: { requestsPerSecond: 5 }, atOnce: 10, afterOneSecond: 5 },
  { name: 'a share of the requests a second', limits: { requestsPerSecond: 10 }, share: 0.5, atOnce: 10, afterOneSecond: 5 },
  { name: 'tokens a second', limits: { tokensPerSecond: 100 }, tokens: 50, atOnce: 4, afterOneSecond: 2 },
  { name: 'concurrent requests', limits: { concurrentRequests: 3 }, atOnce: 3, afterOneSecond: 0 },
  { name: 'a share of the concurrent requests, at least one', limits: { concurrentRequests: 3 }, share: 0.1, atOnce: 1, afterOneSecond: 0 }
]
for (const { name, limits, share = 1, tokens = 1, atOnce, afterOneSecond } of LIMIT_CASES) {
  admissions(`limit of ${name}`, () => withPausedClock(async clock => {
    const limiter = createLimits(() => share)
    const countAdmitted = (): number => Array.from({ length: 50 }, () => limiter.charge(workspace('w', limits), tokens)).filter(over => over === undefined).length
    assert.is(countAdmitted(), atOnce)
    await clock.advance(1000)
    assert.is(countAdmitted(), afterOneSecond)
  }))
}

admissions('the refusal after a reached limit says when to retry', () => withPausedClock(async () => {
  const admission = createAdmission()
  const request = createRequest({ workspace: workspace('w', { requestsPerSecond: 0.5 }) })
  assert.is((await admission.admit(request)).ok, true)
  const outcome = await admission.admit(request)
  const refusal = outcome.ok ? undefined : refuseAdmission(outcome.failure)
  assert.is(refusal?.type, ProblemType.LimitReached)
  assert.is(refusal?.retryAfterSeconds, 2)
}))

admissions.run()
