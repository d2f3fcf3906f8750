/**
 * One run of a request whose answer is a series of events: sends it over one path and forwards the events until the run ends.
 */
import { readAnswer } from '@wigeonlead/protocol'
import { pause } from 'wigeonlead'
import { SendResult } from '../connection/target-client.js'
import type { FoundPath } from '../process/routing/path-finder.js'
import type { Reservation } from '../process/routing/load.js'
import { TargetState } from '../process/suspicion/target-life.js'
import type { Target } from '../version/target.js'
import { ANSWER_TRANSIT_MILLISECONDS, contentOf, remainingTime, urgencyOf, type AdmittedRequest, type RequestDependencies } from './context.js'
import { AnswerProgress, RunEnd, type EventsProgress, type RunOutcome, type UnprovenEnd } from './event-progress.js'
import { forwardEvents, type AnsweredSend } from './forward-events.js'
import { createIntervalReports } from './interval-reports.js'
import { SendState, type AttemptLedger, type Send } from './ledger.js'
import { reportReach } from './outcome.js'
import { createStreamMover } from './stream-move.js'

/** Size limit of answers that are not event streams: these are errors and refusals, which are short. */
const NON_STREAM_ANSWER_BYTES_LIMIT = 1_048_576
const MISDIRECTED_STATUS = 421
const SUCCESS_STATUS = 200
/** How long a stage that caused a refusal stays suspected, milliseconds: until its store entry shows the reason. */
const REFUSAL_SUSPICION_MILLISECONDS = 400
/** How long an unreachable first stage stays suspected, milliseconds: until its store entry expires. */
const UNREACHABLE_SUSPICION_MILLISECONDS = 2500
/** Silence allowed before the first event, milliseconds, in addition to the time for the prefill of the prompt. */
const ALLOWED_FIRST_EVENT_SILENCE_MILLISECONDS = 300
/** Silence allowed between events, as a share of the route's pause objective. */
const ALLOWED_SILENCE_SHARE = 0.6
const DEFAULT_PAUSE_OBJECTIVE_MILLISECONDS = 250

/**
 * Sends a request over a path and forwards its events to the caller as they arrive.
 * @param reserved work that is already counted on the path; by default it is counted now.
 */
export async function runEvents (
  request: AdmittedRequest, dependencies: RequestDependencies, path: FoundPath, progress: EventsProgress, ledger: AttemptLedger,
  reserved?: Reservation
): Promise<RunOutcome> {
  const { exchange } = request
  progress.presentRun = AnswerProgress.Nothing
  progress.presentRunBeganAt = undefined
  const firstTarget = dependencies.directory.find(path.stages[0]!.targetId)
  if (firstTarget === undefined) return { end: RunEnd.NotSent, status: 0, reason: 'the first stage is no longer listed' }
  const abortController = new AbortController()
  const state = { reason: '', lastProgressAt: performance.now(), usualEventInterval: 0, deliverRest: () => false }
  const abortRun = (reason: string): void => {
    // What has arrived whole is delivered, whatever has become of its target and its time since.
    if (!exchange.callerLeft.aborted && state.deliverRest()) return
    state.reason ||= reason
    abortController.abort()
  }
  const onCallerLeft = (): void => abortRun('the caller left')
  exchange.callerLeft.addEventListener('abort', onCallerLeft, { once: true })
  if (exchange.callerLeft.aborted) onCallerLeft()
  const timer = setTimeout(() => abortRun('the deadline has passed'), Math.max(1, remainingTime(request) - ANSWER_TRANSIT_MILLISECONDS))
  const mover = createStreamMover(request, dependencies, path, firstTarget, () => abortRun('the first stage is lost'), reserved)
  const unwatch = dependencies.watch.add({
    requestId: request.requestId,
    first: firstTarget,
    incarnations: mover.incarnations,
    lastProgressAt: () => state.lastProgressAt,
    expectedSilence: () => expectedSilence(request, progress),
    usualEventInterval: () => state.usualEventInterval,
    hasStarted: () => progress.isHeadSent,
    onStageLost: mover.onStageLost,
    onFirstStageLost () {
      // A silent stage may go on. Only a run that another one may follow is worth ending before its connection breaks.
      if (ledger.maySendAgain()) abortRun('the first stage is silent')
    }
  })
  // After a move the path is another one, whose stages this run does not know.
  const intervals = createIntervalReports(milliseconds => {
    if (mover.incarnations() === path.incarnations) dependencies.paths.recordEventInterval(request.service, path, milliseconds)
  })
  const recordProgress = (): void => {
    const now = performance.now()
    dependencies.directory.recordContact(path.incarnations[0]!)
    if (progress.isHeadSent) state.usualEventInterval += (now - state.lastProgressAt - state.usualEventInterval) * INTERVAL_AVERAGE_WEIGHT
    state.lastProgressAt = now
    intervals.record(progress.lastEvent)
  }
  let removeAnsweredRun = (): void => {}
  const onBegin = (): void => {
    const { service, parts } = contentOf(request)
    const run = { incarnation: path.incarnations[0]!, firstEventAt: performance.now() }
    removeAnsweredRun = dependencies.answeredRuns.add(service, parts, run)
  }
  const wasSentBefore = ledger.targetIncarnations().has(path.incarnations[0]!)
  const send = ledger.begin(path.incarnations[0]!)
  send.state = SendState.Sent
  try {
    const outcome = await dependencies.targets.send({
      address: firstTarget.address,
      incarnation: path.incarnations[0]!,
      method: exchange.method,
      path: exchange.path,
      headers: dependencies.dialect.writeHeaders(exchange.rawHeaders, {
        waitMilliseconds: remainingTime(request) - ANSWER_TRANSIT_MILLISECONDS,
        targetId: firstTarget.id,
        workspace: request.workspace?.name,
        urgency: urgencyOf(request),
        stages: path.isUnsplit ? undefined : path.stages,
        lastEvent: progress.lastEvent
      }, request.workspace !== undefined || !request.route.isAnonymous),
      body: exchange.body,
      requestId: request.requestId,
      // On a connection that has carried the request before, an earlier answer to it could be taken for the one to this send.
      mayReuseConnection: request.route.isResumable && !wasSentBefore,
      signal: abortController.signal
    })
    if (outcome.kind !== SendResult.Answered) {
      send.state = outcome.kind === SendResult.Unknown ? SendState.MayHaveRun : SendState.NotSent
      if (exchange.callerLeft.aborted) return { end: RunEnd.CallerLeft, status: 0, reason: state.reason }
      if (outcome.kind === SendResult.NotSent) {
        dependencies.directory.suspect(firstTarget, UNREACHABLE_SUSPICION_MILLISECONDS, outcome.reason, { isLoss: true })
      }
      const end = outcome.kind === SendResult.Unknown ? RunEnd.Broken : RunEnd.NotSent
      const unreachable = outcome.kind === SendResult.NotSent ? firstTarget : undefined
      return { end, status: 0, reason: state.reason || outcome.reason, unreachable, isAborted: state.reason !== '' }
    }
    const { response, terms } = outcome
    if (response.statusCode !== SUCCESS_STATUS || !terms.isEventStream || !terms.isSealed) {
      return await readNonStreamAnswer(outcome, send, dependencies, path)
    }
    send.state = SendState.MayHaveRun
    progress.presentRun = AnswerProgress.Head
    reportReach(request, dependencies, ledger)
    const run = await forwardEvents(request, outcome, progress, dependencies, {
      onProgress: recordProgress,
      onBegin,
      onStart (deliverRest) { state.deliverRest = deliverRest },
      abortReason: () => state.reason,
      async stateOfSender () {
        // Nothing more is expected of this run, so its silence tells nothing.
        unwatch()
        return await verifyEnd(request, dependencies, firstTarget, progress, ledger.maySendAgain())
      }
    })
    return { ...run, isAborted: state.reason !== '' }
  } finally {
    clearTimeout(timer)
    unwatch()
    removeAnsweredRun()
    mover.end()
    exchange.callerLeft.removeEventListener('abort', onCallerLeft)
    abortController.abort()
  }
}

/**
 * Finds out whether a target has survived the end of its connection. Where another run may follow, the caller does not wait long for proof:
 * the next event may be due. Proof that comes later is kept.
 */
async function verifyEnd (
  request: AdmittedRequest, dependencies: RequestDependencies, target: Target, progress: EventsProgress, mayRunAgain: boolean
): Promise<TargetState> {
  const state = dependencies.targetLife.verify(target, {
    waitMilliseconds: remainingTime(request) - ANSWER_TRANSIT_MILLISECONDS, signal: request.exchange.callerLeft
  })
  if (!mayRunAgain) return await state
  const unprovenEnd: UnprovenEnd = { target: target.id, lastEvent: progress.lastEvent, state, isRegular: false }
  progress.unprovenEnd = unprovenEnd
  void state.then(result => { unprovenEnd.isRegular = result === TargetState.Lives })
  return await Promise.race([state, pause(PROOF_WAIT_MILLISECONDS).then(() => TargetState.Unknown)])
}

function expectedSilence (request: AdmittedRequest, progress: EventsProgress): number {
  if (!progress.isHeadSent) return ALLOWED_FIRST_EVENT_SILENCE_MILLISECONDS + request.terms.promptTokens / PREFILL_TOKENS_PER_MILLISECOND
  return (request.route.pauseObjectiveMilliseconds ?? DEFAULT_PAUSE_OBJECTIVE_MILLISECONDS) * ALLOWED_SILENCE_SHARE
}

/** How long a run that another one may follow waits for proof that its target has survived the end, milliseconds. */
export const PROOF_WAIT_MILLISECONDS = 150
/** Weight of the latest interval between two events in their moving average: the average follows the last few events. */
const INTERVAL_AVERAGE_WEIGHT = 0.25
/** Prefill speed of a busy path. */
const PREFILL_TOKENS_PER_MILLISECOND = 10

async function readNonStreamAnswer (
  { response, terms, openHolding }: AnsweredSend, send: Send, dependencies: RequestDependencies, path: FoundPath
): Promise<RunOutcome> {
  const status = response.statusCode ?? 0
  const isNotRun = terms.isNotRun || status === MISDIRECTED_STATUS
  send.state = isNotRun ? SendState.ReportedNotRun : SendState.MayHaveRun
  let reason = `status ${status}`
  try {
    reason += ` ${(await readAnswer(response, NON_STREAM_ANSWER_BYTES_LIMIT, openHolding)).toString().slice(0, 100)}`
  } catch (error) {
    reason += `, body cut off: ${(error as Error).message}`
  }
  if (!isNotRun) return { end: status < 400 || status >= 500 ? RunEnd.Broken : RunEnd.Failed, status, reason }
  const faulty = dependencies.directory.findByAddress(terms.faultyAddress ?? path.stages[0]!.address)
  const isFirst = faulty?.id === path.stages[0]!.targetId
  if (isFirst) dependencies.paths.markFull(path.incarnations[0]!)
  if (faulty !== undefined && !isFirst) {
    dependencies.directory.suspect(faulty, REFUSAL_SUSPICION_MILLISECONDS, reason)
    dependencies.watch.verify(faulty)
  }
  return { end: RunEnd.Refused, status, reason, faultyAddress: terms.faultyAddress }
}
