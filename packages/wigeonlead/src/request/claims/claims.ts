/**
 * Claims: a non-idempotent order is sent only by the winner of a compare-and-swap on its key, and once.
 */
import {
  CLAIM_ANSWER_BYTES, CLAIM_CLOCK_SKEW_SECONDS, ClaimChangeKind, ClaimChangeResult, ClaimInquiryKind, ClaimState, FailureKind, PeerMethod,
  ServiceResult, Step,
  type ClaimChangeOutcome, type ClaimEntry, type ClaimInquiryResult, type ClaimedEntry, type Failure, type FinishedEntry,
  type KeyValuePort, type MemberEntry, type PeerHandlers, type PeerPort, type RandomSource, type ReleasedEntry, type ServiceAnswer
} from '@wigeonlead/protocol'
import { createAttempts, type Attempt } from './attempts.js'
import { NO_FENCE } from './bucket.js'
import { createCommitRoute } from './commit-route.js'
import { createDeadline, type Deadline } from '../deadline.js'
import { shortDigest } from './encoding.js'
import { KeyAge, judgeKey } from './key-age.js'
import { ClaimResult, type ClaimOutcome, type ClaimedOrder, type SendOrder } from './outcome.js'
import { fromRecordedAnswer, toRecordedAnswer } from './recorded-answer.js'
import { pause } from '../../process/pause.js'

/** Runs orders at most once. */
export interface Claims {
  /** Never rejects, and answers by the order's deadline. A sent order is waited for beyond it and its outcome recorded. */
  run: (order: ClaimedOrder, send: SendOrder) => Promise<ClaimOutcome>
  /** Orders that are being sent, waited for or recorded. */
  running: () => number
  /** Resolves once every sent order has been answered and recorded, or could not be recorded for 30 s. */
  whenIdle: () => Promise<void>
  handlers: PeerHandlers
}

/** What the claims need. */
export interface ClaimsParts {
  keyValue: KeyValuePort
  peers: PeerPort
  random: RandomSource
  self: () => MemberEntry
  /** The entry VMs that this node knows, itself included. */
  members: () => MemberEntry[]
}

interface Submission {
  order: ClaimedOrder
  attempt: Attempt
  entry: ClaimedEntry
  deadline: Deadline
  /** Whether another attempt was met that may have been sent. */
  metClaim: boolean
  /** When the claim was begun, on the monotonic clock, milliseconds. */
  begunAt: number
  /** Until when the claim may be met by others, on the monotonic clock, milliseconds. */
  heldUntil: number
}

type Inquired = ClaimInquiryResult | undefined

const SEND_WITHIN_MILLISECONDS = 10_000
const INQUIRY_WAIT_MILLISECONDS = 5000
const INQUIRY_MARGIN_MILLISECONDS = 500
const MAXIMUM_SILENCES = 2
const RECORD_PAUSE_MILLISECONDS = 250
const MAXIMUM_RECORD_PAUSE_MILLISECONDS = 5000
const IDLE_RECORDING_MILLISECONDS = 30_000
const HELD_MARGIN_MILLISECONDS = 2000 * CLAIM_CLOCK_SKEW_SECONDS
const LONGEST_TIMER_MILLISECONDS = 86_400_000

/** Makes the claims of one process. */
export function createClaims (parts: ClaimsParts): Claims {
  const route = createCommitRoute(parts)
  const attempts = createAttempts(parts.random, parts.self().address)
  const sending = new Set<Promise<void>>()
  const recording = new Set<Promise<void>>()

  function begin (order: ClaimedOrder, expiresAt: number): Submission {
    const attempt = attempts.begin()
    const { address, incarnation } = parts.self()
    const entry: ClaimedEntry = {
      state: ClaimState.Claimed,
      keyDigest: shortDigest(`${order.workspace}|${order.service}|${order.key}`),
      requestDigest: shortDigest(order.requestDigest),
      attempt: attempt.name,
      expiresAt,
      claimant: { address, incarnation },
      fence: NO_FENCE
    }
    const begunAt = performance.now()
    const heldUntil = begunAt + expiresAt - Date.now() + HELD_MARGIN_MILLISECONDS
    return { order, attempt, entry, deadline: createDeadline(order.deadlineAt), metClaim: false, begunAt, heldUntil }
  }

  /** Claims the order, as often as an abandoned claim stands in the way, and runs it once claimed. */
  async function runSubmission (submission: Submission, send: SendOrder): Promise<ClaimOutcome> {
    let replaces: string | undefined
    let silences = 0
    while (!submission.attempt.isGivenUp) {
      const { entry, order: { previousAttempts } } = submission
      const change = { kind: ClaimChangeKind.Claim as const, entry, replaces, previousAttempts, wantsFreshRead: silences > 0 }
      const outcome = await route.commit(change)
      if (outcome.kind === ClaimChangeResult.Stored) return await runClaimed(submission, send)
      if (outcome.kind !== ClaimChangeResult.Found) return giveUp(submission, refusedClaim(outcome))
      const { entry: found } = outcome
      const isReused = found.requestDigest !== entry.requestDigest
      if (found.state !== ClaimState.Claimed || isReused) return giveUp(submission, repeated(found, entry))
      submission.metClaim = true
      const answer = await inquire(submission, found)
      const known = toOutcome(answer, found)
      if (known !== undefined && (isWord(answer) || ++silences >= MAXIMUM_SILENCES)) return giveUp(submission, known)
      if (answer?.kind !== ClaimInquiryKind.Abandoned) continue
      replaces = found.attempt
      submission.metClaim = false
    }
    return giveUp(submission, lateOutcome(submission))
  }

  function giveUp (submission: Submission, outcome: ClaimOutcome): ClaimOutcome {
    attempts.abandon(submission.attempt)
    return outcome
  }

  async function inquire ({ deadline }: Submission, { attempt, claimant }: ClaimedEntry): Promise<Inquired> {
    const waitMilliseconds = Math.max(0, Math.min(INQUIRY_WAIT_MILLISECONDS, deadline.left()))
    if (claimant.address === parts.self().address) return await attempts.answer({ attempt, waitMilliseconds })
    const limit = waitMilliseconds + INQUIRY_MARGIN_MILLISECONDS
    const outcome = await parts.peers.call(claimant.address, PeerMethod.ClaimInquiry, { attempt, waitMilliseconds }, limit)
    return outcome.ok ? outcome.value : undefined
  }

  async function runClaimed (submission: Submission, send: SendOrder): Promise<ClaimOutcome> {
    const { attempt, begunAt } = submission
    const maySend = (): boolean => !attempt.isGivenUp && performance.now() - begunAt < SEND_WITHIN_MILLISECONDS
    if (!maySend()) return await release(submission, lateFailure())
    attempt.isPossiblySent = true
    const outcome = await send(maySend)
    if (outcome.kind === ServiceResult.NotSent) {
      attempt.isPossiblySent = false
      return await release(submission, outcome.failure)
    }
    attempts.end(attempt, outcome)
    if (outcome.kind === ServiceResult.Ambiguous) {
      keepWhileHeld(submission)
      return { kind: ClaimResult.Uncertain, failure: outcome.failure, wasSent: true }
    }
    track(recording, record(submission, outcome.answer))
    return { kind: ClaimResult.Answered, answer: outcome.answer, isRepeat: false }
  }

  /** Gives a claim back. Where the caller counts its submissions, those up to this one are fenced off for good. */
  async function release ({ order, attempt, entry }: Submission, failure: Failure): Promise<ClaimOutcome> {
    const { keyDigest, requestDigest, expiresAt } = entry
    const previousAttempts = order.previousAttempts ?? NO_FENCE
    const released: ReleasedEntry = {
      state: ClaimState.Released, keyDigest, requestDigest, attempt: attempt.name, expiresAt, previousAttempts
    }
    const outcome = await route.commit({ kind: ClaimChangeKind.Release, entry: released })
    attempts.abandon(attempt)
    const isFenced = previousAttempts !== NO_FENCE && outcome.kind === ClaimChangeResult.Stored
    return { kind: isFenced ? ClaimResult.NotRun : ClaimResult.NotSent, failure }
  }

  /** Records an outcome, however long that takes: until then repeats are answered from memory. */
  async function record (submission: Submission, answer: ServiceAnswer): Promise<void> {
    const { attempt, entry, heldUntil } = submission
    const { keyDigest, requestDigest, expiresAt } = entry
    const finished: FinishedEntry = {
      state: ClaimState.Finished,
      keyDigest,
      requestDigest,
      attempt: attempt.name,
      expiresAt,
      status: answer.status,
      answer: answer.body.byteLength > CLAIM_ANSWER_BYTES ? undefined : toRecordedAnswer(answer)
    }
    let pauseMilliseconds = RECORD_PAUSE_MILLISECONDS
    while (performance.now() < heldUntil) {
      const outcome = await route.commit({ kind: ClaimChangeKind.Finish, entry: finished })
      if (outcome.kind === ClaimChangeResult.Stored) break
      if (outcome.kind === ClaimChangeResult.Found) return keepWhileHeld(submission)
      await pause(pauseMilliseconds)
      pauseMilliseconds = Math.min(2 * pauseMilliseconds, MAXIMUM_RECORD_PAUSE_MILLISECONDS)
    }
    attempts.forget(attempt)
  }

  function keepWhileHeld (submission: Submission): void {
    const left = submission.heldUntil - performance.now()
    if (left <= 0) attempts.forget(submission.attempt)
    else setTimeout(() => keepWhileHeld(submission), Math.min(left, LONGEST_TIMER_MILLISECONDS)).unref()
  }

  return {
    async run (order, send) {
      const { age, expiresAt } = judgeKey(order.key, order.retentionSeconds * 1000, Date.now())
      if (age === KeyAge.Expired) return { kind: ClaimResult.KeyExpired }
      if (age === KeyAge.Future) return { kind: ClaimResult.KeyFromFuture }
      const submission = begin(order, expiresAt)
      const work = runSubmission(submission, send)
      track(sending, work.then(() => {}))
      const outcome = await submission.deadline.race(work)
      if (outcome !== undefined) return outcome
      submission.attempt.isGivenUp = true
      return lateOutcome(submission)
    },
    running: () => sending.size + recording.size,
    async whenIdle () {
      while (sending.size > 0) await Promise.all(sending)
      const limit = createDeadline(Date.now() + IDLE_RECORDING_MILLISECONDS)
      while (recording.size > 0 && limit.left() > 0) await limit.race(Promise.all(recording))
    },
    handlers: {
      [PeerMethod.ClaimCommit]: parameters => route.answer(parameters),
      [PeerMethod.ClaimInquiry]: parameters => attempts.answer(parameters)
    }
  }
}

function track (set: Set<Promise<void>>, work: Promise<void>): void {
  const tracked = work.finally(() => set.delete(tracked))
  set.add(tracked)
}

function refusedClaim (outcome: ClaimChangeOutcome): ClaimOutcome {
  if ('failure' in outcome) return { kind: ClaimResult.Unavailable, failure: outcome.failure }
  return { kind: ClaimResult.FencedOff, failure: claimFailure('local', 'every submission up to this one was given up without being run') }
}

function repeated (found: ClaimEntry, wanted: ClaimedEntry): ClaimOutcome {
  if (found.requestDigest !== wanted.requestDigest) return { kind: ClaimResult.KeyReused }
  if (found.state !== ClaimState.Finished) return { kind: ClaimResult.Uncertain, failure: claimFailure('local', 'the claim is not ended'), wasSent: false }
  if (found.answer === undefined) return { kind: ClaimResult.AnswerNotKept, status: found.status }
  return { kind: ClaimResult.Answered, answer: fromRecordedAnswer(found.status, found.answer), isRepeat: true }
}

/** Tells whether the claimant itself said what became of its attempt. */
function isWord (answer: Inquired): boolean {
  return answer !== undefined && answer.kind !== ClaimInquiryKind.Unknown
}

/** @returns undefined where the attempt is running or abandoned. */
function toOutcome (answer: Inquired, { claimant }: ClaimedEntry): ClaimOutcome | undefined {
  if (answer === undefined) {
    return { kind: ClaimResult.Uncertain, failure: claimFailure(claimant.address, 'the claimant does not answer'), wasSent: false }
  }
  switch (answer.kind) {
    case ClaimInquiryKind.Running:
    case ClaimInquiryKind.Abandoned: return undefined
    case ClaimInquiryKind.Answered:
      return { kind: ClaimResult.Answered, answer: fromRecordedAnswer(answer.status, answer.answer), isRepeat: true }
    case ClaimInquiryKind.Uncertain:
      return { kind: ClaimResult.Uncertain, failure: claimFailure(claimant.address, 'sent once, and whether it ran is not known'), wasSent: false }
    case ClaimInquiryKind.Unknown:
      return { kind: ClaimResult.Uncertain, failure: claimFailure(claimant.address, 'the claimant was restarted since'), wasSent: false }
  }
}

function lateOutcome ({ attempt, metClaim }: Submission): ClaimOutcome {
  const failure = lateFailure()
  if (!attempt.isPossiblySent && !metClaim) return { kind: ClaimResult.NotSent, failure }
  return { kind: ClaimResult.Uncertain, failure, wasSent: attempt.isPossiblySent }
}

function lateFailure (): Failure {
  return { kind: FailureKind.TimedOut, step: Step.Claim, peer: 'local', detail: 'the deadline has passed', afterMilliseconds: 0 }
}

function claimFailure (peer: string, detail: string): Failure {
  return { kind: FailureKind.Refused, step: Step.Claim, peer, detail }
}
