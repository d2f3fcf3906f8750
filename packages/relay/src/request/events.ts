/**
 * Relays requests whose answer is a series of events. Each runs over a path of stages; when a run breaks, another path continues it.
 */
import { pause } from 'wigeonlead'
import { SendResult } from '../connection/target-client.js'
import { AdmissionResult, RefusalReason, type AdmissionOutcome } from '../process/admission/admission.js'
import { RelayEvent } from '../process/relay-log.js'
import type { Reservation } from '../process/routing/load.js'
import type { LatencyObjectives } from '../process/routing/path-estimate.js'
import type { FoundPath, PathQuery } from '../process/routing/path-finder.js'
import { TargetState } from '../process/suspicion/target-life.js'
import { RepeatRule } from '../version/configuration.js'
import { incarnationOf } from '../version/target.js'
import { Refusal } from './refusal.js'
import { ANSWER_TRANSIT_MILLISECONDS, contentOf, remainingTime, urgencyOf, type AdmittedRequest, type RequestDependencies } from './context.js'
import { findPathByShare } from './domain-choice.js'
import { AnswerProgress, RunEnd, isInTime, type EventsProgress, type RunOutcome } from './event-progress.js'
import { runEvents } from './event-run.js'
import { handOverEvents } from './hand-over.js'
import { createAttemptLedger, type AttemptLedger } from './ledger.js'
import { recordAnswered, recordCallerLeft, refuse, requestLogFields, sendLogFields } from './outcome.js'
import { commonPause } from './pauses.js'
import { isIncarnationGone, mayRepeatAfterLoss, rankForSuspect, recordLossWithinAnswer, refuseQuarantined } from './lost-target.js'
import { estimateSize, estimateTokens, type SizedRequest } from './tokens.js'
import { waitEndOf } from './wait-end.js'

/** Maximum sends of one request, including sends that were refused: enough to outlast the replacement of a lost stage. */
const MAXIMUM_SENDS = 6
/** Pause before the next search where no complete path exists, milliseconds: about the time in which a lost stage is replaced. */
const NO_PATH_PAUSE_MILLISECONDS = 150
/** Number of prompt parts that one log line lists. */
const MAXIMUM_LOGGED_PARTS = 8
/** Share of the route's latency objective, or of the remaining time if that is shorter, that may be spent waiting for a complete path. */
const PATH_WAIT_SHARE = 0.5

/** Relays one request until its answer is complete, it is refused or its caller leaves. */
export async function relayEvents (request: AdmittedRequest, dependencies: RequestDependencies): Promise<void> {
  const { route, exchange } = request
  const mayRunAgain = route.isResumable || route.repeat === RepeatRule.Idempotent
  const ledger = createAttemptLedger(mayRunAgain, route.maximumTargets, request.handOver)
  exchange.mayHaveRun = () => !ledger.isCertainlyNotRun()
  const progress: EventsProgress = { lastEvent: request.terms.lastEvent, isHeadSent: false, presentRun: AnswerProgress.Nothing }
  const pathWaitEndsAt = request.arrivedAt + Math.min(route.latencyObjectiveMilliseconds, remainingTime(request)) * PATH_WAIT_SHARE
  const avoided = new Set<string>()
  const isGone = (incarnation: string): boolean => isIncarnationGone(incarnation, dependencies)
  // A VM that has handed the request over names the targets that have failed it; at the limit, only these are left.
  const avoidedFirstStages = new Set(ledger.allowedTargets(isGone) === undefined ? request.handOver?.reachedTargets : [])
  const entry: AdmissionEntry = { hasEntered: false }
  let detail = 'no path'
  for (let sends = 0; sends < MAXIMUM_SENDS;) {
    if (progress.unprovenEnd?.isRegular === true && endWithEarlierRun(request, dependencies, ledger, progress)) return
    if (exchange.callerLeft.aborted) return recordCallerLeft(request, dependencies, { ...sendLogFields(ledger), detail })
    if (remainingTime(request) <= ANSWER_TRANSIT_MILLISECONDS) return refuse(request, dependencies, ledger, Refusal.TimedOut, detail)
    if (!ledger.maySendAgain() || ledger.allowedTargets(isGone)?.size === 0) break
    if (dependencies.reach.isCutOff(request.service.name)) {
      if (await handOverEvents(request, dependencies, ledger, progress)) return
      await pause(NO_PATH_PAUSE_MILLISECONDS)
      continue
    }
    const quarantine = dependencies.contentQuarantine.find(contentOf(request))
    if (quarantine !== undefined) return refuseQuarantined(request, dependencies, ledger, quarantine)
    const search = (): FoundPath | undefined => findPath(
      request, dependencies, progress, avoided, avoidedFirstStages,
      ledger.allowedTargets(isGone)
    )
    const path = search()
    if (path === undefined) {
      avoided.clear()
      avoidedFirstStages.clear()
      const pauseMilliseconds = commonPause(request.service.name, dependencies.directory, dependencies.sendWait)
      const isPausedTooLong = performance.now() + pauseMilliseconds > pathWaitEndsAt
      if (pauseMilliseconds > 0 && isPausedTooLong && !progress.isHeadSent) {
        return refuse(request, dependencies, ledger, Refusal.NoCapacity, 'no first stage takes a request of this VM now', pauseMilliseconds)
      }
      if (performance.now() > pathWaitEndsAt && !progress.isHeadSent) {
        detail = `${detail}; ${explainNoPath(request, dependencies)}`
        break
      }
      await pause(NO_PATH_PAUSE_MILLISECONDS)
      continue
    }
    const admitted = progress.isHeadSent
      ? { result: AdmissionResult.Started as const, start: { path } }
      : await enterAdmission(request, dependencies, ledger, entry, path, search)
    if (admitted.result === AdmissionResult.Withdrawn || admitted.result === AdmissionResult.CallerLeft) continue
    if (admitted.result === AdmissionResult.Refused) {
      const reason = admitted.reason === RefusalReason.Level
        ? admitted.reason
        : `${admitted.reason}; ${explainNoPath(request, dependencies)}`
      return refuse(request, dependencies, ledger, Refusal.NoCapacity, reason, admitted.retryAfterMilliseconds)
    }
    const { start } = admitted
    if (ledger.possibleArrivals() > 0 && !await takeRepeat(request, dependencies, start)) {
      detail += '; the repeat budget is used up'
      break
    }
    sends += 1
    const sentAt = performance.now()
    const outcome = await runStart(request, dependencies, start, progress, ledger)
    if (outcome.end === RunEnd.Complete) {
      return recordAnswered(request, dependencies, {
        status: outcome.status,
        target: start.path.stages[0]!.targetId,
        ...sendLogFields(ledger),
        events: progress.lastEvent,
        firstEventMilliseconds: Math.round((progress.firstEventAt ?? 0) - request.arrivedAt),
        longestPauseMilliseconds: Math.round(progress.longestPauseMilliseconds ?? 0),
        path: describePath(start.path)
      }, isInTime(request, progress))
    }
    if (outcome.end === RunEnd.CallerLeft) {
      return recordCallerLeft(request, dependencies, {
        path: describePath(start.path), lastEvent: progress.lastEvent, ...sendLogFields(ledger), detail
      })
    }
    detail = `${outcome.end} at ${start.path.stages[0]!.targetId}: ${outcome.reason}`
    recordBrokenRun(request, dependencies, start.path, outcome, progress)
    avoidFaultyStage(outcome, start.path, avoided, avoidedFirstStages)
    if (outcome.end === RunEnd.Failed) break
    if (outcome.end === RunEnd.NotSent && outcome.unreachable !== undefined) await dependencies.reach.check(outcome.unreachable)
    if (outcome.end !== RunEnd.Broken || outcome.isAborted === true) continue
    if (progress.presentRun === AnswerProgress.Events) {
      recordLossWithinAnswer(request, dependencies, {
        incarnation: start.path.incarnations[0]!, sentAt, firstEventAt: progress.presentRunBeganAt ?? performance.now()
      })
      continue
    }
    const lost = { incarnation: start.path.incarnations[0]!, sentAt, hasHead: progress.presentRun === AnswerProgress.Head }
    if (!await mayRepeatAfterLoss(request, dependencies, lost) && !progress.isHeadSent) break
  }
  if (await progress.unprovenEnd?.state === TargetState.Lives && endWithEarlierRun(request, dependencies, ledger, progress)) return
  refuse(
    request, dependencies, ledger, ledger.possibleArrivals() === 0 ? Refusal.NoTarget : Refusal.TargetsRefused, detail,
    dependencies.admission.returnMilliseconds(request.service.name, urgencyOf(request), request.deadline)
  )
}

/**
 * Completes an answer whose earlier run has turned out to have ended regularly.
 * @returns whether it did: a run that has sent events since continues the answer, and the answer ends with that run.
 */
function endWithEarlierRun (
  request: AdmittedRequest, dependencies: RequestDependencies, ledger: AttemptLedger, progress: EventsProgress
): boolean {
  const { response } = request.exchange
  const { isHeadSent, lastEvent, unprovenEnd } = progress
  if (!isHeadSent || unprovenEnd === undefined || unprovenEnd.lastEvent !== lastEvent || response.destroyed) return false
  response.end()
  const fields = { status: response.statusCode, target: unprovenEnd.target, ...sendLogFields(ledger), events: lastEvent }
  recordAnswered(request, dependencies, fields, isInTime(request, progress))
  return true
}

/** Whether a request has asked for admission before. */
interface AdmissionEntry {
  hasEntered: boolean
}

/** A path on which a run may begin. */
interface RunStart {
  path: FoundPath
  /** Absent for runs that continue an answer: they are counted as they begin. */
  reservation?: Reservation
}

/**
 * Asks for admission of a run whose answer has not begun.
 * @param path the path found just now. It is used only if the request starts at once; each later attempt searches again.
 */
async function enterAdmission (
  request: AdmittedRequest, dependencies: RequestDependencies, ledger: AttemptLedger, entry: AdmissionEntry, path: FoundPath,
  search: () => FoundPath | undefined
): Promise<AdmissionOutcome<RunStart>> {
  let presentPath: FoundPath | undefined = path
  let isWithdrawn = false
  const tokens = estimateTokens(request)
  const entering = dependencies.admission.enter<RunStart>({
    requestId: request.requestId,
    service: request.service.name,
    rank: urgencyOf(request),
    workspace: request.workspace?.name,
    tokens,
    waitEndsAt: waitEndOf(request, !ledger.isCertainlyNotRun()),
    deadline: request.deadline,
    isRepeat: entry.hasEntered,
    isWithdrawn: () => isWithdrawn,
    callerLeft: request.exchange.callerLeft,
    tryStart () {
      // The loop of `relayEvents` decides what follows a cut, a quarantine or the loss of the last path.
      isWithdrawn = dependencies.reach.isCutOff(request.service.name) ||
        dependencies.contentQuarantine.find(contentOf(request)) !== undefined
      const found = isWithdrawn ? undefined : presentPath ?? search()
      isWithdrawn ||= found === undefined
      if (found?.hasCapacity !== true) return undefined
      return { path: found, reservation: dependencies.load.reservePath(found.incarnations, tokens) }
    }
  })
  // The call above tries to start at once. Later, the path may lack capacity.
  presentPath = undefined
  entry.hasEntered = true
  return await entering
}

/** Takes a repeat from the budget. @returns whether there is one; if not, the start is given up. */
async function takeRepeat (request: AdmittedRequest, dependencies: RequestDependencies, start: RunStart): Promise<boolean> {
  if (await dependencies.repeats.take(request.service.name)) return true
  start.reservation?.release()
  dependencies.admission.wake(request.service.name)
  return false
}

async function runStart (
  request: AdmittedRequest, dependencies: RequestDependencies, { path, reservation }: RunStart, progress: EventsProgress,
  ledger: AttemptLedger
): Promise<RunOutcome> {
  try {
    return await runEvents(request, dependencies, path, progress, ledger, reservation)
  } finally {
    reservation?.release()
    dependencies.admission.wake(request.service.name)
  }
}

/** @returns the stages of a path as text for the log: target and layers. */
function describePath (path: FoundPath): string {
  return path.stages.map(({ targetId, from, to }) => `${targetId}=${from}-${to}`).join(' ')
}

function explainNoPath (request: AdmittedRequest, dependencies: RequestDependencies): string {
  return dependencies.paths.explain(pathQueryOf(request, dependencies.failureDomain))
}

/** @returns what the path of a request must satisfy, before anything of it has been sent. */
export function pathQueryOf (request: SizedRequest & Pick<AdmittedRequest, 'route'>, failureDomain: string): PathQuery {
  return {
    service: request.service,
    failureDomain,
    tokens: estimateTokens(request),
    size: estimateSize(request),
    objectives: objectivesOf(request),
    isSearchedAnew: true
  }
}

/** @returns what the caller expects; undefined if the route has no objective for pauses. */
function objectivesOf ({ route }: Pick<AdmittedRequest, 'route'>): LatencyObjectives | undefined {
  const { latencyObjectiveMilliseconds: firstEventMilliseconds, pauseObjectiveMilliseconds: pauseMilliseconds } = route
  return pauseMilliseconds === undefined ? undefined : { firstEventMilliseconds, pauseMilliseconds }
}

/**
 * @returns the cheapest path. Before the answer has begun, the path is searched for anew, because a path that was kept may have been
 * filled by the requests that started since.
 */
function findPath (
  request: AdmittedRequest, dependencies: RequestDependencies, progress: EventsProgress, avoided: ReadonlySet<string>,
  avoidedFirstStages: ReadonlySet<string>, allowedFirstStages: ReadonlySet<string> | undefined
): FoundPath | undefined {
  const query = {
    ...pathQueryOf(request, dependencies.failureDomain),
    isSearchedAnew: !progress.isHeadSent,
    avoided: avoided.size === 0 ? undefined : avoided,
    avoidedFirstStages: avoidedFirstStages.size === 0 ? undefined : avoidedFirstStages,
    allowedFirstStages
  }
  return findPathForSuspect(request, dependencies, query) ?? findPathByShare(request, dependencies, query)
}

/** @returns a path with the first stage that a request prefers if a target has ended under it; undefined for any other request. */
function findPathForSuspect (request: AdmittedRequest, dependencies: RequestDependencies, query: PathQuery): FoundPath | undefined {
  if (!dependencies.contentQuarantine.isSuspected(contentOf(request))) return undefined
  const firstStages = dependencies.directory.usable(request.service.name).filter(({ layers }) => layers === undefined || layers.from === 0)
    .map(incarnationOf).filter(incarnation => query.allowedFirstStages?.has(incarnation) !== false)
  for (const incarnation of rankForSuspect(request, firstStages)) {
    const path = dependencies.paths.find({ ...query, allowedFirstStages: new Set([incarnation]) })
    if (path?.hasCapacity === true) return path
  }
  return undefined
}

function avoidFaultyStage (outcome: RunOutcome, path: FoundPath, avoided: Set<string>, avoidedFirstStages: Set<string>): void {
  const faultyIndex = path.stages.findIndex(stage => stage.address === outcome.faultyAddress)
  if (faultyIndex > 0) avoided.add(path.incarnations[faultyIndex]!)
  else avoidedFirstStages.add(path.incarnations[0]!)
}

function recordBrokenRun (
  request: AdmittedRequest, dependencies: RequestDependencies, path: FoundPath, outcome: RunOutcome, progress: EventsProgress
): void {
  dependencies.metrics.count('streams_broken_total', { end: outcome.end })
  dependencies.log.info(
    outcome.end === RunEnd.Refused || outcome.end === RunEnd.NotSent ? RelayEvent.SendFailed : RelayEvent.StreamResumed, {
      ...requestLogFields(request, dependencies),
      first: path.stages[0]!.targetId,
      stages: path.stages.length,
      end: outcome.end,
      reason: outcome.reason,
      faultyAddress: outcome.faultyAddress,
      lastEvent: progress.lastEvent,
      answerProgress: progress.presentRun,
      content: request.contentDigest(),
      sharedPromptParts: request.terms.sharedPromptParts?.slice(0, MAXIMUM_LOGGED_PARTS).join(' '),
      result: outcome.end === RunEnd.NotSent ? SendResult.NotSent : undefined
    })
}
