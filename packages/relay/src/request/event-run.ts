/**
 * One run of a request whose answer is a series of events: sends it over one path and forwards the events until the run ends.
 */
import { NO_MEMORY, followBody, readAnswer } from '@wigeonlead/protocol'
import { SendResult, hasLength, type SendOutcome } from '../connection/target-client.js'
import type { FoundPath } from '../process/routing/path-finder.js'
import type { Reservation } from '../process/routing/load.js'
import type { Target } from '../version/target.js'
import { ANSWER_TRANSIT_MILLISECONDS, contentOf, remainingTime, urgencyOf, type AdmittedRequest, type RequestDependencies } from './context.js'
import { createEventSplitter, type StreamEvent } from './event-splitter.js'
import { createIntervalReports } from './interval-reports.js'
import { SendState, type AttemptLedger, type Send } from './ledger.js'
import { reportReach } from './outcome.js'
import { createStreamMover } from './stream-move.js'

/** How a run ended. */
export enum RunEnd {
  /** The complete answer was forwarded. */
  Complete = 'whole',
  /** Nothing reached the target. */
  NotSent = 'not-sent',
  /** The target reported that it did not run the request. */
  Refused = 'refused',
  /** The answer was absent, invalid, cut off or stalled; another run may continue it. */
  Broken = 'broken',
  /** The target answered with a client error (4xx); no further run is tried. */
  Failed = 'failed',
  CallerLeft = 'caller-left'
}

/** Result of a run. */
export interface RunOutcome {
  end: RunEnd
  /** HTTP status of the answer; 0 if none arrived. */
  status: number
  reason: string
  /** The target to which no connection was established. */
  unreachable?: Target
  /** Whether this relay itself ended the run, and not the target or the caller. */
  isAborted?: boolean
  /** Address of the stage that caused the end of the run. */
  faultyAddress?: string
}

/** How much of a run's answer has arrived from its target. */
export enum AnswerProgress {
  Nothing = 'nothing',
  /** Status line and headers, but no complete event. */
  Head = 'head',
  Events = 'events'
}

/** How much of the answer the caller has received over all runs, and how far the present run has come. */
export interface EventsProgress {
  presentRun: AnswerProgress
  /** Monotonic time of the first event of the present run, milliseconds; absent before. */
  presentRunBeganAt?: number
  /** Number of the last event that was forwarded. */
  lastEvent?: number
  /** Whether the status line and headers of the answer were sent to the caller. */
  isHeadSent: boolean
  /** Whether a run that continued the answer has ended regularly without an event. */
  hasEmptyContinuation?: boolean
  /** Monotonic time of the first and of the latest forwarded event, milliseconds; absent before. */
  firstEventAt?: number
  latestEventAt?: number
  /** Longest time between two forwarded events, milliseconds. */
  longestPauseMilliseconds?: number
}

/** Whether an answer has met the objectives of its route so far. */
export function isInTime ({ route, arrivedAt }: AdmittedRequest, { firstEventAt, longestPauseMilliseconds = 0 }: EventsProgress): boolean {
  if (firstEventAt === undefined) return false
  return firstEventAt - arrivedAt <= route.latencyObjectiveMilliseconds &&
    longestPauseMilliseconds <= (route.pauseObjectiveMilliseconds ?? Infinity)
}

function recordEventTime (progress: EventsProgress): void {
  const now = performance.now()
  progress.firstEventAt ??= now
  progress.longestPauseMilliseconds = Math.max(progress.longestPauseMilliseconds ?? 0, now - (progress.latestEventAt ?? now))
  progress.latestEventAt = now
}

/** A send whose answer has begun. */
export type AnsweredSend = Extract<SendOutcome, { kind: SendResult.Answered }>

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
      isSenderAlive: async () => await dependencies.engines.isAlive(firstTarget)
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

function expectedSilence (request: AdmittedRequest, progress: EventsProgress): number {
  if (!progress.isHeadSent) return ALLOWED_FIRST_EVENT_SILENCE_MILLISECONDS + request.terms.promptTokens / PREFILL_TOKENS_PER_MILLISECOND
  return (request.route.pauseObjectiveMilliseconds ?? DEFAULT_PAUSE_OBJECTIVE_MILLISECONDS) * ALLOWED_SILENCE_SHARE
}

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

/** How a run follows the forwarding of its events. */
export interface EventForwarding {
  onProgress: () => void
  /** Called with the first event of the run. */
  onBegin?: () => void
  /**
   * Called at the start with a function for a run that is about to be given up: if the whole answer has arrived, it is forwarded without
   * waiting for its caller to read on. The function returns whether that is so.
   */
  onStart: (deliverRest: () => boolean) => void
  /** @returns why the run was aborted; empty if it was not. */
  abortReason: () => string
  /** Whether the sender of an answer without a length still runs, so that the end of its connection is the end of the answer. */
  isSenderAlive: () => Promise<boolean>
}

/** Forwards the events of an answer to the caller as they arrive, until the answer ends. */
export function forwardEvents (
  request: AdmittedRequest, answer: AnsweredSend, progress: EventsProgress, dependencies: RequestDependencies,
  { onProgress, onBegin, onStart, abortReason, isSenderAlive }: EventForwarding
): Promise<RunOutcome> {
  const caller = request.exchange.response
  const { response } = answer
  const isContinuation = progress.isHeadSent
  return new Promise(resolve => {
    let isFinished = false
    let isRestDelivered = false
    const holding = answer.openHolding(() => abortAnswer(NO_MEMORY))
    const splitter = createEventSplitter(holding)

    function finish (end: RunEnd, reason: string): void {
      isFinished = true
      holding.clear()
      resolve({ end, status: SUCCESS_STATUS, reason })
    }

    function abortAnswer (reason: string): void {
      response.destroy()
      finish(RunEnd.Broken, reason)
    }

    /** Wraps a handler whose exceptions nothing else would catch: they end the run instead of the process. */
    function guarded<Arguments extends unknown[]> (handler: (...values: Arguments) => void): (...values: Arguments) => void {
      return (...values) => {
        try {
          handler(...values)
        } catch (error) {
          abortAnswer((error as Error).message)
        }
      }
    }

    onStart(deliverRest)
    followBody(response, { onData: guarded(onData), onEnd: guarded(onEnd) })

    function onData (chunk: Buffer): void {
      if (response.destroyed || caller.destroyed) return
      const completeEvents: StreamEvent[] = []
      for (const event of splitter.push(chunk)) {
        if (event.id !== undefined) {
          if (progress.lastEvent !== undefined && event.id !== progress.lastEvent + 1) {
            forward(completeEvents)
            return abortAnswer(`event ${event.id} follows event ${progress.lastEvent}`)
          }
          progress.lastEvent = event.id
        } else if (progress.lastEvent !== undefined && !event.isComment) {
          forward(completeEvents)
          return abortAnswer(`an event without an id follows event ${progress.lastEvent}`)
        }
        completeEvents.push(event)
      }
      forward(completeEvents)
    }

    function onEnd (error?: Error): void {
      if (isFinished) return
      if (error !== undefined) {
        return finish(request.exchange.callerLeft.aborted ? RunEnd.CallerLeft : RunEnd.Broken, abortReason() || error.message)
      }
      if (splitter.hasRemainder()) return finish(RunEnd.Broken, 'the answer ended within an event')
      if (hasLength(response)) return finishComplete()
      void Promise.all([answer.isEndConfirmed(), isSenderAlive()]).then(guarded(([isConfirmed, isAlive]) => {
        if (isFinished) return
        if (isConfirmed && isAlive) finishComplete()
        else finish(RunEnd.Broken, 'the connection was reset, or the target no longer answers: the answer may be incomplete')
      }), (error: Error) => abortAnswer(error.message))
    }

    function deliverRest (): boolean {
      if (isFinished || response.destroyed || !response.complete || !hasLength(response)) return false
      isRestDelivered = true
      response.resume()
      return true
    }

    function finishComplete (): void {
      // One answer without events does not prove that the earlier run had sent the last one.
      const isEmptyContinuation = isContinuation && progress.presentRun !== AnswerProgress.Events
      if (isEmptyContinuation && progress.hasEmptyContinuation !== true) {
        progress.hasEmptyContinuation = true
        return finish(RunEnd.Broken, `nothing follows event ${progress.lastEvent}`)
      }
      if (!progress.isHeadSent) writeHead()
      caller.end()
      if (progress.presentRun === AnswerProgress.Events) dependencies.contentQuarantine.recordCompletion(contentOf(request))
      finish(RunEnd.Complete, '')
    }

    function forward (events: readonly StreamEvent[]): void {
      if (events.length === 0) return
      onProgress()
      // Comments may come from a target that does not get as far as the first event.
      if (events.some(({ isComment }) => !isComment)) recordEvents()
      if (!progress.isHeadSent) writeHead()
      if (caller.write(events.length === 1 ? events[0]!.bytes : Buffer.concat(events.map(({ bytes }) => bytes))) || isRestDelivered) return
      response.pause()
      caller.once('drain', () => {
        if (isFinished) return
        onProgress()
        // The caller held the answer up: the time until it reads on is no pause of the answer.
        progress.latestEventAt = performance.now()
        response.resume()
      })
    }

    function recordEvents (): void {
      if (progress.presentRun !== AnswerProgress.Events) {
        progress.presentRun = AnswerProgress.Events
        progress.presentRunBeganAt = performance.now()
        dependencies.contentQuarantine.recordBegin(contentOf(request))
        onBegin?.()
      }
      recordEventTime(progress)
    }

    function writeHead (): void {
      const headers = dependencies.dialect.answerHeaders(response.rawHeaders)
      if (caller.hasHeader('Connection')) headers.push('Connection', 'close')
      caller.writeHead(SUCCESS_STATUS, headers as unknown as Record<string, string>)
      progress.isHeadSent = true
      dependencies.metrics.observe('first_event', performance.now() - request.arrivedAt)
    }
  })
}
