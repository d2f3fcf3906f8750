/**
 * Claims: a non-idempotent order runs at most once, since only the attempt whose compare-and-swap on the order's key succeeded sends it.
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
import { KeyAge, checkKey } from './key-age.js'
import { ClaimResult, type ClaimOutcome, type ClaimedOrder, type SendOrder } from './outcome.js'
import { fromRecordedAnswer, toRecordedAnswer } from './recorded-answer.js'
import { pause } from '../../process/pause.js'

/** Runs orders at most once. */
export interface Claims {
  /**
   * Runs an order. Never rejects, and returns an outcome by the order's deadline. A sent order is awaited beyond its deadline, and its
   * outcome is recorded.
   */
  run: (order: ClaimedOrder, send: SendOrder) => Promise<ClaimOutcome>
  /** Returns how many orders are being sent, awaited or recorded. */
  running: () => number
  /** Resolves once every sent order has been answered and recorded. Stops waiting for the recording after 30 s. */
  whenIdle: () => Promise<void>
  handlers: PeerHandlers
}

/** Dependencies of the claims. */
export interface ClaimsDependencies {
  keyValue: KeyValuePort
  peers: PeerPort
  random: RandomSource
  self: () => MemberEntry
  /** Returns the entry VMs that this node knows, itself included. */
  members: () => MemberEntry[]
}

interface Submission {
  order: ClaimedOrder
  attempt: Attempt
  entry: ClaimedEntry
  deadline: Deadline
  /** Whether the claim of another attempt was found, which may have sent the order. */
  foundOtherClaim: boolean
  /** When the submission started, on the monotonic clock, milliseconds. */
  startedAt: number
  /** Time after which no other node can find the claim any more, on the monotonic clock, milliseconds. */
  claimExpiresAt: number
}

type InquiryAnswer = ClaimInquiryResult | undefined

/** An order that is not sent within this time of its submission is not sent at all, and its claim is released. */
const SEND_WITHIN_MILLISECONDS = 10_000
/** Longest time that a claimant waits for the outcome of an attempt before it answers an inquiry. */
const INQUIRY_WAIT_MILLISECONDS = 5000
/** Added to an inquiry's wait to obtain the deadline of the call to the claimant. */
const INQUIRY_MARGIN_MILLISECONDS = 500
/** After this many inquiries without an answer from the claiming process, the order counts as uncertain. */
const MAXIMUM_INCONCLUSIVE_INQUIRIES = 2
const RECORD_RETRY_MILLISECONDS = 250
const MAXIMUM_RECORD_RETRY_MILLISECONDS = 5000
const IDLE_RECORDING_TIMEOUT_MILLISECONDS = 30_000
/** Twice the allowed clock skew. */
const EXPIRY_MARGIN_MILLISECONDS = 2000 * CLAIM_CLOCK_SKEW_SECONDS
const MAXIMUM_TIMER_MILLISECONDS = 86_400_000

/** Creates the claims of one process. */
export function createClaims (dependencies: ClaimsDependencies): Claims {
  const route = createCommitRoute(dependencies)
  const attempts = createAttempts(dependencies.random, dependencies.self().address)
  const sending = new Set<Promise<void>>()
  const recording = new Set<Promise<void>>()

  function createSubmission (order: ClaimedOrder, expiresAt: number): Submission {
    const attempt = attempts.begin()
    const { address, incarnation } = dependencies.self()
    const entry: ClaimedEntry = {
      state: ClaimState.Claimed,
      keyDigest: shortDigest(`${order.workspace}|${order.service}|${order.key}`),
      requestDigest: shortDigest(order.requestDigest),
      attempt: attempt.name,
      expiresAt,
      claimant: { address, incarnation },
      fence: NO_FENCE
    }
    const startedAt = performance.now()
    const claimExpiresAt = startedAt + expiresAt - Date.now() + EXPIRY_MARGIN_MILLISECONDS
    return { order, attempt, entry, deadline: createDeadline(order.deadlineAt), foundOtherClaim: false, startedAt, claimExpiresAt }
  }

  /** Claims the order, and runs it if the claim succeeds. Takes over each claim of an abandoned attempt that it finds. */
  async function runSubmission (submission: Submission, send: SendOrder): Promise<ClaimOutcome> {
    let replaces: string | undefined
    let inconclusiveInquiries = 0
    while (!submission.attempt.isCanceled) {
      const { entry, order: { previousAttempts } } = submission
      const change = { kind: ClaimChangeKind.Claim as const, entry, replaces, previousAttempts, wantsFreshRead: inconclusiveInquiries > 0 }
      const outcome = await route.commit(change)
      if (outcome.kind === ClaimChangeResult.Stored) return await runClaimed(submission, send)
      if (outcome.kind !== ClaimChangeResult.Found) return abandon(submission, refusedOutcome(outcome))
      const { entry: found } = outcome
      const isKeyReused = found.requestDigest !== entry.requestDigest
      if (found.state !== ClaimState.Claimed || isKeyReused) return abandon(submission, repeatOutcome(found, entry))
      submission.foundOtherClaim = true
      const answer = await inquire(submission, found)
      const inferred = inquiryToOutcome(answer, found)
      if (
        inferred !== undefined && (isConclusive(answer) || ++inconclusiveInquiries >= MAXIMUM_INCONCLUSIVE_INQUIRIES)
      ) return abandon(submission, inferred)
      if (answer?.kind !== ClaimInquiryKind.Abandoned) continue
      replaces = found.attempt
      submission.foundOtherClaim = false
    }
    return abandon(submission, deadlineOutcome(submission))
  }

  function abandon (submission: Submission, outcome: ClaimOutcome): ClaimOutcome {
    attempts.abandon(submission.attempt)
    return outcome
  }

  async function inquire ({ deadline }: Submission, { attempt, claimant }: ClaimedEntry): Promise<InquiryAnswer> {
    const waitMilliseconds = Math.max(0, Math.min(INQUIRY_WAIT_MILLISECONDS, deadline.remainingMilliseconds()))
    if (claimant.address === dependencies.self().address) return await attempts.handleInquiry({ attempt, waitMilliseconds })
    const limit = waitMilliseconds + INQUIRY_MARGIN_MILLISECONDS
    const outcome = await dependencies.peers.call(claimant.address, PeerMethod.ClaimInquiry, { attempt, waitMilliseconds }, limit)
    return outcome.ok ? outcome.value : undefined
  }

  async function runClaimed (submission: Submission, send: SendOrder): Promise<ClaimOutcome> {
    const { attempt, startedAt } = submission
    const maySend = (): boolean => !attempt.isCanceled && performance.now() - startedAt < SEND_WITHIN_MILLISECONDS
    if (!maySend()) return await release(submission, deadlineFailure())
    attempt.isPossiblySent = true
    const outcome = await send(maySend)
    if (outcome.kind === ServiceResult.NotSent) {
      attempt.isPossiblySent = false
      return await release(submission, outcome.failure)
    }
    attempts.end(attempt, outcome)
    if (outcome.kind === ServiceResult.Ambiguous) {
      forgetAtExpiry(submission)
      return { kind: ClaimResult.Uncertain, failure: outcome.failure, wasSent: true }
    }
    track(recording, record(submission, outcome.answer))
    return { kind: ClaimResult.Answered, answer: outcome.answer, isRepeat: false }
  }

  /** Releases a claim. If the caller counts its submissions, the release fences off this one and all earlier ones permanently. */
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

  /** Records an outcome and retries until the claim expires. Until it is recorded, repeats are answered from memory. */
  async function record (submission: Submission, answer: ServiceAnswer): Promise<void> {
    const { attempt, entry, claimExpiresAt } = submission
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
    let pauseMilliseconds = RECORD_RETRY_MILLISECONDS
    while (performance.now() < claimExpiresAt) {
      const outcome = await route.commit({ kind: ClaimChangeKind.Finish, entry: finished })
      if (outcome.kind === ClaimChangeResult.Stored) break
      if (outcome.kind === ClaimChangeResult.Found) return forgetAtExpiry(submission)
      await pause(pauseMilliseconds)
      pauseMilliseconds = Math.min(2 * pauseMilliseconds, MAXIMUM_RECORD_RETRY_MILLISECONDS)
    }
    attempts.forget(attempt)
  }

  function forgetAtExpiry (submission: Submission): void {
    const remaining = submission.claimExpiresAt - performance.now()
    if (remaining <= 0) attempts.forget(submission.attempt)
    else setTimeout(() => forgetAtExpiry(submission), Math.min(remaining, MAXIMUM_TIMER_MILLISECONDS)).unref()
  }

  return {
    async run (order, send) {
      const { age, expiresAt } = checkKey(order.key, order.retentionSeconds * 1000, Date.now())
      if (age === KeyAge.Expired) return { kind: ClaimResult.KeyExpired }
      if (age === KeyAge.Future) return { kind: ClaimResult.KeyFromFuture }
      const submission = createSubmission(order, expiresAt)
      const work = runSubmission(submission, send)
      track(sending, work.then(() => {}))
      const outcome = await submission.deadline.race(work)
      if (outcome !== undefined) return outcome
      submission.attempt.isCanceled = true
      return deadlineOutcome(submission)
    },
    running: () => sending.size + recording.size,
    async whenIdle () {
      while (sending.size > 0) await Promise.all(sending)
      const limit = createDeadline(Date.now() + IDLE_RECORDING_TIMEOUT_MILLISECONDS)
      while (recording.size > 0 && limit.remainingMilliseconds() > 0) await limit.race(Promise.all(recording))
    },
    handlers: {
      [PeerMethod.ClaimCommit]: parameters => route.handleCommit(parameters),
      [PeerMethod.ClaimInquiry]: parameters => attempts.handleInquiry(parameters)
    }
  }
}

function track (set: Set<Promise<void>>, work: Promise<void>): void {
  const tracked = work.finally(() => set.delete(tracked))
  set.add(tracked)
}

function refusedOutcome (outcome: ClaimChangeOutcome): ClaimOutcome {
  if ('failure' in outcome) return { kind: ClaimResult.Unavailable, failure: outcome.failure }
  return { kind: ClaimResult.FencedOff, failure: claimFailure('local', 'every submission up to this one was given up without being run') }
}

function repeatOutcome (found: ClaimEntry, wanted: ClaimedEntry): ClaimOutcome {
  if (found.requestDigest !== wanted.requestDigest) return { kind: ClaimResult.KeyReused }
  if (found.state !== ClaimState.Finished) return { kind: ClaimResult.Uncertain, failure: claimFailure('local', 'the claim is not ended'), wasSent: false }
  if (found.answer === undefined) return { kind: ClaimResult.AnswerNotKept, status: found.status }
  return { kind: ClaimResult.Answered, answer: fromRecordedAnswer(found.status, found.answer), isRepeat: true }
}

/** @returns whether the process that made the claim answered. It did not if no answer came or if its node was restarted. */
function isConclusive (answer: InquiryAnswer): boolean {
  return answer !== undefined && answer.kind !== ClaimInquiryKind.Unknown
}

/** @returns the outcome that follows from an inquiry's answer, or undefined if the attempt is running or abandoned. */
function inquiryToOutcome (answer: InquiryAnswer, { claimant }: ClaimedEntry): ClaimOutcome | undefined {
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

function deadlineOutcome ({ attempt, foundOtherClaim }: Submission): ClaimOutcome {
  const failure = deadlineFailure()
  if (!attempt.isPossiblySent && !foundOtherClaim) return { kind: ClaimResult.NotSent, failure }
  return { kind: ClaimResult.Uncertain, failure, wasSent: attempt.isPossiblySent }
}

function deadlineFailure (): Failure {
  return { kind: FailureKind.TimedOut, step: Step.Claim, peer: 'local', detail: 'the deadline has passed', afterMilliseconds: 0 }
}

function claimFailure (peer: string, detail: string): Failure {
  return { kind: FailureKind.Refused, step: Step.Claim, peer, detail }
}
