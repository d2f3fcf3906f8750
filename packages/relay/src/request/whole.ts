/**
 * Relays requests whose answer is one body, which is forwarded once it is complete.
 */
import type { IncomingMessage } from 'node:http'
import { readAnswer } from '@wigeonlead/protocol'
import { SendResult, hasLength } from '../connection/target-client.js'
import { AdmissionResult, type AdmissionOutcome } from '../process/admission/admission.js'
import type { Load, Reservation } from '../process/routing/load.js'
import { RelayEvent } from '../process/relay-log.js'
import { TargetState } from '../process/suspicion/target-life.js'
import { RepeatRule } from '../version/configuration.js'
import { incarnationOf, type Target } from '../version/target.js'
import { Refusal } from './refusal.js'
import { ANSWER_TRANSIT_MILLISECONDS, contentOf, remainingTime, urgencyOf, type AdmittedRequest, type RequestDependencies } from './context.js'
import { domainPenalty, type DrawnRequest } from './domain-choice.js'
import { PROOF_WAIT_MILLISECONDS } from './event-run.js'
import { handOverSingleBody } from './hand-over.js'
import { mayRepeatAfterLoss, rankForSuspect, refuseQuarantined } from './lost-target.js'
import { SendState, createAttemptLedger, type AttemptLedger, type Send } from './ledger.js'
import { recordAnswered, recordCallerLeft, refuse, reportReach, requestLogFields, sendLogFields } from './outcome.js'
import { commonPause } from './pauses.js'
import { waitEndOf } from './wait-end.js'
import { holdForCaller, writeBody } from './write-body.js'

/**
 * Share of the remaining time given to a send of an idempotent request, so that another target can still answer. It applies while no
 * earlier send has reached a target and the route allows more than one target.
 */
const FIRST_SEND_SHARE = 0.5
/** How long an unreachable target stays suspected, milliseconds: about the interval at which a target renews its store entry. */
const UNREACHABLE_SUSPICION_MILLISECONDS = 1500
/** How long a target that repeatedly timed out stays suspected, milliseconds. */
const TIMEOUT_SUSPICION_MILLISECONDS = 700
/** Consecutive timeouts after which a target is suspected. A single timeout may only mean that the request takes long. */
const TIMEOUTS_BEFORE_SUSPICION = 2
/** With this remaining time or less, milliseconds, a request is refused as timed out instead of sent: no target answers that fast. */
const MINIMUM_SEND_MILLISECONDS = 10
/** Size limit of an answer; answers are buffered in memory. */
const ANSWER_BYTES_LIMIT = 16_777_216
/** Status of a target that is not the one named by the request, and that therefore has not run it. */
const MISDIRECTED_STATUS = 421
/**
 * Statuses that callers read as "not run, safe to retry". A target's answer with one of them is not forwarded: another target is tried if
 * allowed, and otherwise the relay refuses the request, with 503 only if it is certain that no target has run it.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 429, 503])
const FIRST_SERVER_ERROR_STATUS = 500

interface FailedSend {
  reason: string
  /** Whether this relay itself ended the send, and not the target. */
  isAborted: boolean
  /** Whether no connection to the target was established. */
  isUnreachable: boolean
}

interface BufferedAnswer {
  response: IncomingMessage
  body: Buffer
  target: Target
  isNotRun: boolean
}

/** Relays one request until it is answered, refused or abandoned by its caller. */
export async function relaySingleBody (request: AdmittedRequest, dependencies: RequestDependencies): Promise<void> {
  const isIdempotent = request.route.repeat === RepeatRule.Idempotent
  const ledger = createAttemptLedger(isIdempotent, request.route.maximumTargets, request.handOver)
  request.exchange.mayHaveRun = () => !ledger.isCertainlyNotRun()
  let firstServerError: BufferedAnswer | undefined
  let unreachable: Target | undefined
  let hasEntered = false
  let hasStarted = false
  let detail = 'no target'
  for (;;) {
    if (request.exchange.callerLeft.aborted) return recordCallerLeft(request, dependencies, sendLogFields(ledger))
    if (remainingTime(request) <= MINIMUM_SEND_MILLISECONDS) return refuse(request, dependencies, ledger, Refusal.TimedOut, detail)
    if (dependencies.reach.isCutOff(request.service.name)) {
      if (firstServerError !== undefined) return forwardAnswer(request, dependencies, firstServerError, ledger)
      return await handOverSingleBody(request, dependencies, ledger)
    }
    // `allowedTargets` returns a set only if the limit of targets is reached. All targets in that set have been tried.
    if (!ledger.maySendAgain() || ledger.allowedTargets(() => false) !== undefined) break
    const quarantine = dependencies.contentQuarantine.find(contentOf(request))
    if (quarantine !== undefined) return refuseQuarantined(request, dependencies, ledger, quarantine)
    const candidates = findCandidates(request, dependencies, ledger.targetIncarnations())
    let target = chooseTarget(request, dependencies, candidates)
    if (target === undefined) {
      if (unreachable !== undefined && await dependencies.reach.check(unreachable)) continue
      break
    }
    if (ledger.possibleArrivals() > 0 && !await dependencies.repeats.take(request.service.name)) {
      detail += '; the repeat budget is used up'
      break
    }
    let reservation: Reservation | undefined
    if (!hasStarted) {
      const admitted = await enterAdmission(request, dependencies, hasEntered)
      hasEntered = true
      if (admitted.result === AdmissionResult.Refused) {
        return refuse(request, dependencies, ledger, Refusal.NoCapacity, admitted.reason, admitted.retryAfterMilliseconds)
      }
      if (admitted.result !== AdmissionResult.Started) continue
      hasStarted = true
      ;({ target, reservation } = admitted.start)
    }
    const send = ledger.begin(incarnationOf(target))
    const sentAt = performance.now()
    const answerOrFailure = await sendOnce(
      request, dependencies, target, send, isIdempotent && ledger.possibleArrivals() === 0 && request.route.maximumTargets > 1,
      reservation
    )
    dependencies.admission.wake(request.service.name)
    if ('reason' in answerOrFailure) {
      detail = answerOrFailure.reason
      if (answerOrFailure.isUnreachable) unreachable = target
      if (send.state !== SendState.MayHaveRun || answerOrFailure.isAborted) continue
      if (!await mayRepeatAfterLoss(request, dependencies, { incarnation: send.targetIncarnation, sentAt, hasHead: false })) break
      continue
    }
    if (!answerOrFailure.isNotRun) {
      dependencies.contentQuarantine.recordBegin(contentOf(request))
      dependencies.contentQuarantine.recordCompletion(contentOf(request))
    }
    if (answerOrFailure.isNotRun) {
      detail = `target ${target.id} refused with ${answerOrFailure.response.statusCode}`
      continue
    }
    if (NOT_RUN_STATUSES.has(answerOrFailure.response.statusCode ?? 0)) {
      detail = `target ${target.id} answered ${answerOrFailure.response.statusCode} and may have run the request`
      continue
    }
    // The first server error is kept while another target is tried, because that target may answer without an error. It is forwarded if no
    // other target answers; a second server error is forwarded at once.
    if (isIdempotent && (answerOrFailure.response.statusCode ?? 0) >= FIRST_SERVER_ERROR_STATUS && firstServerError === undefined) {
      firstServerError = answerOrFailure
      continue
    }
    return forwardAnswer(request, dependencies, answerOrFailure, ledger)
  }
  if (firstServerError !== undefined) return forwardAnswer(request, dependencies, firstServerError, ledger)
  refuse(
    request, dependencies, ledger, ledger.possibleArrivals() === 0 ? Refusal.NoTarget : Refusal.TargetsRefused, detail,
    Math.max(
      dependencies.admission.returnMilliseconds(request.service.name, urgencyOf(request), request.deadline),
      commonPause(request.service.name, dependencies.directory, dependencies.sendWait)
    )
  )
}

/** A target for the first send of a request, on which the request is counted. */
interface TargetStart {
  target: Target
  reservation: Reservation
}

/**
 * Asks for admission of the first send. Further sends follow at once: their request has waited before.
 * @param isRepeat whether the request has asked before, and had withdrawn.
 */
function enterAdmission (
  request: AdmittedRequest, dependencies: RequestDependencies, isRepeat: boolean
): Promise<AdmissionOutcome<TargetStart>> {
  let isWithdrawn = false
  return dependencies.admission.enter({
    requestId: request.requestId,
    service: request.service.name,
    rank: urgencyOf(request),
    workspace: request.workspace?.name,
    tokens: 1,
    waitEndsAt: waitEndOf(request, false),
    deadline: request.deadline,
    callerLeft: request.exchange.callerLeft,
    isRepeat,
    isWithdrawn: () => isWithdrawn,
    tryStart () {
      const candidates = findCandidates(request, dependencies, new Set())
      // The loop of `relaySingleBody` decides what follows a cut, a quarantine or the loss of the last target.
      isWithdrawn = candidates.length === 0 || dependencies.reach.isCutOff(request.service.name) ||
        dependencies.contentQuarantine.find(contentOf(request)) !== undefined
      if (isWithdrawn) return undefined
      // A request under which targets have ended goes to its own target, whatever else that one runs.
      const isSuspected = dependencies.contentQuarantine.isSuspected(contentOf(request))
      const free = isSuspected ? candidates : candidates.filter(candidate => hasCapacity(candidate, dependencies))
      const target = chooseTarget(request, dependencies, free)
      return target === undefined ? undefined : { target, reservation: dependencies.load.reserveRequest(incarnationOf(target)) }
    }
  })
}

/** Whether a target may get one more request now. */
export function hasCapacity (target: Target, { load }: { load: Pick<Load, 'requests'> }): boolean {
  return load.requests(incarnationOf(target)) < target.slots * (1 + QUEUED_PER_SLOT) + QUEUED_REQUESTS
}

/**
 * Requests in flight that a target may have beyond its slots: it queues a few, so that it is never idle while the next request is under
 * way, and the counts of peers are some hundred milliseconds old.
 */
const QUEUED_PER_SLOT = 1
const QUEUED_REQUESTS = 4

/** @returns the usable targets that were not tried yet and that this VM may send to now. */
export function findCandidates (
  request: Pick<AdmittedRequest, 'service'>, dependencies: Pick<RequestDependencies, 'directory' | 'sendWait'>, triedIncarnations: ReadonlySet<string>
): Target[] {
  return dependencies.directory.usable(request.service.name).filter(target =>
    !triedIncarnations.has(incarnationOf(target)) && dependencies.sendWait(incarnationOf(target)) === 0)
}

/**
 * @returns the target with the fewest requests in flight per slot; undefined if there is none. Targets of this vm's failure domain are
 * preferred.
 */
function chooseTarget (request: AdmittedRequest, dependencies: RequestDependencies, candidates: readonly Target[]): Target | undefined {
  if (dependencies.contentQuarantine.isSuspected(contentOf(request))) {
    const [preferred] = rankForSuspect(request, candidates.map(incarnationOf))
    return candidates.find(target => incarnationOf(target) === preferred)
  }
  return rankTargets(request, dependencies, candidates)[0]?.target
}

/** A target, and the rank by which targets are compared: requests per slot, a penalty for its failure domain, and jitter. */
export interface RankedTarget {
  target: Target
  rank: number
  requestsPerSlot: number
}

/** @returns the targets that may be chosen for a request that is under no suspicion: the one that is chosen first. */
export function rankTargets (
  request: DrawnRequest, dependencies: Pick<RequestDependencies, 'domainShares' | 'nextFloat'> & { load: Pick<Load, 'requests'> },
  candidates: readonly Target[]
): RankedTarget[] {
  const penaltyOf = domainPenalty(request, dependencies)
  return candidates.map(target => {
    const requestsPerSlot = dependencies.load.requests(incarnationOf(target)) / target.slots
    return { target, requestsPerSlot, rank: requestsPerSlot + penaltyOf(target) + dependencies.nextFloat() * MAX_RANK_JITTER }
  }).filter(({ rank }) => rank < Infinity).sort((one, other) => one.rank - other.rank)
}

/** Upper bound of the random jitter that is added to each rank, so that equally loaded targets are chosen at random. */
const MAX_RANK_JITTER = 0.01

/**
 * Sends the request to one target and buffers the answer.
 * @param reserved the request if it is already counted on the target; by default it is counted now.
 * @returns the answer, or why no complete valid answer arrived.
 */
async function sendOnce (
  request: AdmittedRequest, dependencies: RequestDependencies, target: Target, send: Send, reservesTimeForRepeat: boolean,
  reserved?: Reservation
): Promise<BufferedAnswer | FailedSend> {
  const { exchange } = request
  const remaining = remainingTime(request)
  const timeoutMilliseconds = reservesTimeForRepeat ? remaining * FIRST_SEND_SHARE : remaining - ANSWER_TRANSIT_MILLISECONDS
  const reservation = reserved ?? dependencies.load.reserveRequest(incarnationOf(target))
  const abortController = new AbortController()
  const onCallerLeft = (): void => abortController.abort()
  exchange.callerLeft.addEventListener('abort', onCallerLeft, { once: true })
  if (exchange.callerLeft.aborted) onCallerLeft()
  const timer = setTimeout(() => abortController.abort(), timeoutMilliseconds)
  send.state = SendState.Sent
  try {
    const outcome = await dependencies.targets.send({
      address: target.address,
      incarnation: incarnationOf(target),
      method: exchange.method,
      path: exchange.path,
      headers: dependencies.dialect.writeHeaders(exchange.rawHeaders, {
        waitMilliseconds: timeoutMilliseconds, targetId: target.id, workspace: request.workspace?.name
      }, request.workspace !== undefined || !request.route.isAnonymous),
      body: exchange.body,
      requestId: request.requestId,
      mayReuseConnection: request.route.repeat === RepeatRule.Idempotent,
      signal: abortController.signal
    })
    if (outcome.kind !== SendResult.Answered) {
      send.state = outcome.kind === SendResult.Unknown ? SendState.MayHaveRun : SendState.NotSent
      handleFailedSend(request, dependencies, target, outcome.kind, outcome.reason, abortController.signal.aborted)
      return {
        reason: `result "${outcome.kind}" of the send to target ${target.id}: ${outcome.reason}`,
        isAborted: abortController.signal.aborted,
        isUnreachable: outcome.kind === SendResult.NotSent
      }
    }
    const { response, terms } = outcome
    const isNotRun = terms.isNotRun || response.statusCode === MISDIRECTED_STATUS
    // The head says so, whatever becomes of the body.
    if (isNotRun) send.state = SendState.ReportedNotRun
    const body = await readAnswer(response, ANSWER_BYTES_LIMIT, outcome.openHolding)
    if (isNotRun) {
      dependencies.load.recordAnswer(incarnationOf(target))
      return { response, body, target, isNotRun }
    }
    holdForCaller(request, body)
    if ((response.statusCode ?? 0) < 300 && !terms.isSealed) throw new Error('a successful answer without a seal')
    if (!await outcome.isEndConfirmed()) throw new Error('the connection was reset')
    if (!hasLength(response)) {
      // Another target answers sooner than this one may prove that it still runs.
      const mayRepeat = reservesTimeForRepeat && findCandidates(request, dependencies, new Set([incarnationOf(target)])).length > 0
      const state = await dependencies.targetLife.verify(target, {
        waitMilliseconds: mayRepeat ? PROOF_WAIT_MILLISECONDS : timeoutMilliseconds, signal: abortController.signal
      })
      if (state !== TargetState.Lives) throw new Error(`the body may be incomplete: target ${state}`)
    }
    send.state = SendState.MayHaveRun
    dependencies.load.recordAnswer(incarnationOf(target))
    return { response, body, target, isNotRun }
  } catch (error) {
    if (send.state !== SendState.ReportedNotRun) send.state = SendState.MayHaveRun
    handleFailedSend(request, dependencies, target, SendResult.Unknown, (error as Error).message, abortController.signal.aborted)
    return {
      reason: `no complete valid answer from target ${target.id}: ${(error as Error).message}`,
      isAborted: abortController.signal.aborted,
      isUnreachable: false
    }
  } finally {
    clearTimeout(timer)
    exchange.callerLeft.removeEventListener('abort', onCallerLeft)
    reservation.release()
  }
}

/** Counts and logs a failed send, and suspects the target if it was unreachable or has timed out repeatedly. */
function handleFailedSend (
  request: AdmittedRequest, dependencies: RequestDependencies, target: Target, result: SendResult, reason: string, isAborted: boolean
): void {
  if (request.exchange.callerLeft.aborted) return
  dependencies.metrics.count('sends_failed_total', { service: request.service.name, result })
  dependencies.log.info(RelayEvent.SendFailed, {
    ...requestLogFields(request, dependencies), target: target.id, result, reason, content: request.contentDigest()
  })
  if (result === SendResult.NotSent) dependencies.directory.suspect(target, UNREACHABLE_SUSPICION_MILLISECONDS, reason, { isLoss: true })
  if (result === SendResult.NotSent || !isAborted) return
  // The caller has not left, so a send that was aborted has timed out.
  void dependencies.reach.check(target)
  if (dependencies.load.recordTimeout(incarnationOf(target)) < TIMEOUTS_BEFORE_SUSPICION) return
  dependencies.directory.suspect(target, TIMEOUT_SUSPICION_MILLISECONDS, 'repeated timeouts')
}

function forwardAnswer (request: AdmittedRequest, dependencies: RequestDependencies, answer: BufferedAnswer, ledger: AttemptLedger): void {
  const { response } = request.exchange
  const status = answer.response.statusCode ?? 502
  if (response.destroyed || response.writableEnded) return recordCallerLeft(request, dependencies, sendLogFields(ledger))
  reportReach(request, dependencies, ledger)
  writeBody(request, dependencies, answer.response, answer.body)
  recordAnswered(request, dependencies, { status, target: answer.target.id, ...sendLogFields(ledger) })
}
