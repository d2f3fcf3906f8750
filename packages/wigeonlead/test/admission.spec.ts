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

/** A place that holds so many requests at once. */
function createRoom (places: number): { start: () => Outcome<boolean>, leave: () => void } {
  let taken = 0
  return {
    start () {
      if (taken >= places) return success(false)
      taken += 1
      return success(true)
    },
    leave: () => { taken -= 1 }
  }
}

function requestOf (changes: Partial<AdmissionRequest> = {}): AdmissionRequest {
  const signal = new AbortController().signal
  return { workspace: workspace('w'), resource: 'm', priority: 1, deadlineAt: Date.now() + 60_000, signal, ...changes }
}

/** Ends what was admitted after a time, over and over. */
function serve (
  admission: Admission, room: ReturnType<typeof createRoom>, request: AdmissionRequest, served: string[], name: string
): void {
  void admission.admit({ ...request, start: room.start }).then(outcome => {
    if (!outcome.ok) return
    served.push(name)
    setTimeout(() => {
      room.leave()
      outcome.value.release()
    }, 100)
  })
}

const admissions = suite('admission')

admissions('a flood waits its turn: the other workspace gets every second place', () => withPausedClock(async clock => {
  const admission = createAdmission()
  const room = createRoom(1)
  const served: string[] = []
  for (let count = 0; count < 50; count += 1) serve(admission, room, requestOf({ workspace: workspace('flood'), tokens: 64 }), served, 'flood')
  for (let count = 0; count < 5; count += 1) serve(admission, room, requestOf({ workspace: workspace('quiet'), tokens: 64 }), served, 'quiet')
  await clock.advance(1250)
  assert.is(served.filter(name => name === 'quiet').length, 5)
}))

admissions('weights share out what is served', () => withPausedClock(async clock => {
  const admission = createAdmission()
  const room = createRoom(1)
  const served: string[] = []
  for (let count = 0; count < 80; count += 1) {
    serve(admission, room, requestOf({ workspace: workspace('light'), tokens: 64 }), served, 'light')
    serve(admission, room, requestOf({ workspace: workspace('heavy', { weight: 3 }), tokens: 64 }), served, 'heavy')
  }
  await clock.advance(4050)
  const heavy = served.filter(name => name === 'heavy').length
  assert.ok(heavy >= 28 && heavy <= 32, String(heavy))
}))

admissions('within a workspace the urgent goes first', () => withPausedClock(async clock => {
  const admission = createAdmission()
  const room = createRoom(1)
  const served: string[] = []
  for (const priority of [1, 3, 2, 0]) serve(admission, room, requestOf({ priority }), served, String(priority))
  await clock.advance(500)
  assert.equal(served, ['1', '0', '2', '3'])
}))

interface RefusalCase {
  name: string
  changes: (hangUp: AbortController) => Partial<AdmissionRequest>
  problem: ProblemType
  /** By when the refusal is there, milliseconds. */
  within: number
}

const REFUSALS: RefusalCase[] = [
  { name: 'a passed deadline in the queue', changes: () => ({ deadlineAt: Date.now() + 500 }), problem: ProblemType.DeadlineUnreachable, within: 500 },
  {
    name: 'a workspace or model that is gone',
    changes: () => ({ start: () => failed({ kind: FailureKind.Refused, step: 'path-choice' as never, peer: 'local', detail: 'gone' }) }),
    problem: ProblemType.NoPath,
    within: 0
  },
  {
    name: 'a caller that hangs up',
    changes: hangUp => {
      setTimeout(() => hangUp.abort(), 200)
      return { signal: hangUp.signal }
    },
    problem: ProblemType.Overloaded,
    within: 200
  }
]
for (const { name, changes, problem, within } of REFUSALS) {
  admissions(`${name} is refused at once`, () => withPausedClock(async clock => {
    const admission = createAdmission()
    const full = (): Outcome<boolean> => success(false)
    let outcome: Outcome<AdmissionTicket> | undefined
    void admission.admit(requestOf({ start: full, ...changes(new AbortController()) })).then(value => { outcome = value })
    await clock.advance(within)
    assert.is(outcome?.ok, false)
    assert.is(outcome?.ok === false ? refuseAdmission(outcome.failure).type : '', problem)
    assert.is(admission.waiting(), 0)
  }))
}

admissions('an answer that is expected past its deadline is refused before it waits', () => withPausedClock(async clock => {
  const admission = createAdmission()
  const room = createRoom(1)
  const served: string[] = []
  serve(admission, room, requestOf(), served, 'first')
  await clock.advance(150)
  for (let count = 0; count < 20; count += 1) serve(admission, room, requestOf(), served, 'other')
  await clock.advance(0)
  const outcome = await admission.admit(requestOf({ start: room.start, deadlineAt: Date.now() + 1000 }))
  assert.is(outcome.ok, false)
  const refusal = outcome.ok ? undefined : refuseAdmission(outcome.failure)
  assert.is(refusal?.type, ProblemType.DeadlineUnreachable)
  assert.ok((refusal?.retryAfterSeconds ?? 0) >= 2, String(refusal?.retryAfterSeconds))
}))

admissions('the queue of a workspace is bounded, and others still get in', () => withPausedClock(async () => {
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
  /** Requests that get in at once, and after one more second. */
  atOnce: number
  later: number
}

const LIMITS: LimitCase[] = [
  { name: 'requests a second', limits: { requestsPerSecond: 5 }, atOnce: 10, later: 5 },
  { name: 'a share of the requests a second', limits: { requestsPerSecond: 10 }, share: 0.5, atOnce: 10, later: 5 },
  { name: 'tokens a second', limits: { tokensPerSecond: 100 }, tokens: 50, atOnce: 4, later: 2 },
  { name: 'requests at once', limits: { concurrentRequests: 3 }, atOnce: 3, later: 0 },
  { name: 'a share of the requests at once, at least one', limits: { concurrentRequests: 3 }, share: 0.1, atOnce: 1, later: 0 }
]
for (const { name, limits, share = 1, tokens = 1, atOnce, later } of LIMITS) {
  admissions(`limit: ${name}`, () => withPausedClock(async clock => {
    const known = createLimits(() => share)
    const take = (): number => Array.from({ length: 50 }, () => known.take(workspace('w', limits), tokens)).filter(over => over === undefined).length
    assert.is(take(), atOnce)
    await clock.advance(1000)
    assert.is(take(), later)
  }))
}

admissions('a reached limit says when to come back', () => withPausedClock(async () => {
  const admission = createAdmission()
  const request = requestOf({ workspace: workspace('w', { requestsPerSecond: 0.5 }) })
  assert.is((await admission.admit(request)).ok, true)
  const outcome = await admission.admit(request)
  const refusal = outcome.ok ? undefined : refuseAdmission(outcome.failure)
  assert.is(refusal?.type, ProblemType.LimitReached)
  assert.is(refusal?.retryAfterSeconds, 2)
}))

admissions.run()
