/**
 * One run of a request whose answer is a series of events: one send over one path, followed to its end.
 */
import type { IncomingMessage } from 'node:http'
import { readAnswer } from '@wigeonlead/protocol'
import { SendResult, hasLength, type SendOutcome } from '../connection/target-client.js'
import type { AnswerTerms } from '../connection/dialect.js'
import type { FoundPath } from '../process/path-finder.js'
import type { Target } from '../version/target.js'
import { ANSWER_WAY_MILLISECONDS, timeLeft, urgencyOf, type AdmittedRequest, type RequestParts } from './context.js'
import { createEventSplitter } from './event-splitter.js'
import { SendState, type AttemptLedger, type Send } from './ledger.js'
import { createMover } from './stream-move.js'

/** How a run ended. */
export enum RunEnd {
  /** The answer is whole and passed on. */
  Whole = 'whole',
  /** Nothing reached the target. */
  NotSent = 'not-sent',
  /** The target said that it did not run the request. */
  Refused = 'refused',
  /** Broken off, or silent; it may go on elsewhere. */
  Broken = 'broken',
  /** The target answered with a failure of its own. */
  Failed = 'failed',
  CallerLeft = 'caller-left'
}

/** The end of a run. */
export interface RunOutcome {
  end: RunEnd
  status: number
  reason: string
  /** Address of the stage at fault. */
  faultyAddress?: string
}

/** What the caller has of its answer, over all runs. */
export interface EventsProgress {
  lastEvent?: number
  hasHead: boolean
}

type Answered = Extract<SendOutcome, { kind: SendResult.Answered }>

/** Answers other than streams are short. */
const OTHER_ANSWER_BYTES_LIMIT = 1_048_576
const MISDIRECTED_STATUS = 421
const SUCCESS_STATUS = 200
/** A stage that refused, or that is at fault for a refusal, is passed over for so long, milliseconds: until its entry tells why. */
const REFUSAL_SUSPICION_MILLISECONDS = 400
/** A first stage that could not be reached is passed over for so long, milliseconds: until its entry lapses. */
const UNREACHABLE_SUSPICION_MILLISECONDS = 2500
/** Before the first event a stream may be silent for so long, milliseconds, beside the reading of its prompt. */
const FIRST_EVENT_SILENCE_MILLISECONDS = 300
/** Between events a stream may be silent for this share of the longest pause that is on time. */
const SILENCE_SHARE = 0.6
const DEFAULT_PAUSE_MILLISECONDS = 250

/** Sends a request over a path and passes its events on as they come. */
export async function runEvents (
  request: AdmittedRequest, parts: RequestParts, path: FoundPath, progress: EventsProgress, ledger: AttemptLedger
): Promise<RunOutcome> {
  const { exchange } = request
  const first = parts.directory.find(path.stages[0]!.targetId)
  if (first === undefined) return { end: RunEnd.NotSent, status: 0, reason: 'no longer listed' }
  const given = new AbortController()
  const state = { reason: '', lastProgress: performance.now(), usualPause: 0 }
  const stop = (reason: string): void => {
    state.reason ||= reason
    given.abort()
  }
  const onLeft = (): void => stop('the caller left')
  exchange.left.addEventListener('abort', onLeft, { once: true })
  const timer = setTimeout(() => stop('out of time'), Math.max(1, timeLeft(request) - ANSWER_WAY_MILLISECONDS))
  const mover = createMover(request, parts, path, () => stop('its first stage is lost'))
  const unwatch = parts.watch.add({
    requestId: request.requestId,
    first,
    lives: mover.lives,
    lastProgress: () => state.lastProgress,
    expectedSilence: () => expectedSilence(request, progress),
    usualPause: () => state.usualPause,
    hasBegun: () => progress.hasHead,
    onStageLost: mover.onStageLost,
    onFirstLost: () => stop('its first stage is silent')
  })
  const noteProgress = (): void => {
    const now = performance.now()
    if (progress.hasHead) state.usualPause += (now - state.lastProgress - state.usualPause) * PAUSE_WEIGHT
    state.lastProgress = now
  }
  const send = ledger.begin(path.lives[0]!)
  send.state = SendState.Sent
  try {
    const outcome = await parts.targets.send({
      address: first.address,
      method: exchange.method,
      path: exchange.path,
      headers: parts.dialect.writeHeaders(exchange.rawHeaders, {
        waitMilliseconds: timeLeft(request) - ANSWER_WAY_MILLISECONDS,
        targetId: first.id,
        workspace: request.workspace?.name,
        urgency: urgencyOf(request),
        stages: path.isSingle ? undefined : path.stages,
        lastEvent: progress.lastEvent
      }, request.workspace !== undefined || !request.route.isAnonymous),
      body: exchange.body,
      requestId: request.requestId,
      mayReuseConnection: request.route.isResumable,
      signal: given.signal
    })
    if (outcome.kind !== SendResult.Answered) {
      send.state = outcome.kind === SendResult.NotSent ? SendState.NotSent : SendState.MayHaveRun
      if (exchange.left.aborted) return { end: RunEnd.CallerLeft, status: 0, reason: state.reason }
      if (outcome.kind === SendResult.NotSent) {
        parts.directory.suspect(first, UNREACHABLE_SUSPICION_MILLISECONDS, outcome.reason, { isLoss: true })
      }
      const end = outcome.kind === SendResult.NotSent ? RunEnd.NotSent : RunEnd.Broken
      return { end, status: 0, reason: state.reason || outcome.reason }
    }
    const { response, terms } = outcome
    if (response.statusCode !== SUCCESS_STATUS || !terms.isEventStream || !terms.isSealed) {
      return await readOther(response, terms, send, parts, path)
    }
    send.state = SendState.MayHaveRun
    return await passEvents(request, first, outcome, progress, parts, noteProgress, () => state.reason)
  } finally {
    clearTimeout(timer)
    unwatch()
    mover.end()
    exchange.left.removeEventListener('abort', onLeft)
    given.abort()
  }
}

function expectedSilence (request: AdmittedRequest, progress: EventsProgress): number {
  if (!progress.hasHead) return FIRST_EVENT_SILENCE_MILLISECONDS + request.terms.promptTokens / PROMPT_TOKENS_PER_MILLISECOND
  return (request.route.targetPauseMilliseconds ?? DEFAULT_PAUSE_MILLISECONDS) * SILENCE_SHARE
}

/** Weight of one pause in the usual one: some events make it. */
const PAUSE_WEIGHT = 0.25
/** Speed at which a busy path reads a prompt. */
const PROMPT_TOKENS_PER_MILLISECOND = 10

async function readOther (
  response: IncomingMessage, terms: AnswerTerms, send: Send, parts: RequestParts, path: FoundPath
): Promise<RunOutcome> {
  const status = response.statusCode ?? 0
  const isNotRun = terms.isNotRun || status === MISDIRECTED_STATUS
  send.state = isNotRun ? SendState.SaidNotRun : SendState.MayHaveRun
  let reason = `status ${status}`
  try {
    reason += ` ${(await readAnswer(response, OTHER_ANSWER_BYTES_LIMIT)).toString().slice(0, 100)}`
  } catch (error) {
    reason += `, broken: ${(error as Error).message}`
  }
  if (!isNotRun) return { end: status < 400 || status >= 500 ? RunEnd.Broken : RunEnd.Failed, status, reason }
  const faulty = parts.directory.at(terms.faultyAddress ?? path.stages[0]!.address)
  const isFirst = faulty?.id === path.stages[0]!.targetId
  if (isFirst) parts.paths.noteFull(path.lives[0]!)
  if (faulty !== undefined && !isFirst) {
    parts.directory.suspect(faulty, REFUSAL_SUSPICION_MILLISECONDS, reason)
    parts.watch.verify(faulty)
  }
  return { end: RunEnd.Refused, status, reason, faultyAddress: terms.faultyAddress }
}

function passEvents (
  request: AdmittedRequest, first: Target, answer: Answered, progress: EventsProgress, parts: RequestParts,
  onProgress: () => void, stopReason: () => string
): Promise<RunOutcome> {
  const caller = request.exchange.response
  const { response } = answer
  const splitter = createEventSplitter()
  return new Promise(resolve => {
    let isFinished = false

    function finish (end: RunEnd, reason: string): void {
      isFinished = true
      resolve({ end, status: SUCCESS_STATUS, reason })
    }

    function breakOff (reason: string): void {
      response.destroy()
      finish(RunEnd.Broken, reason)
    }

    response.on('data', (chunk: Buffer) => {
      if (response.destroyed || caller.destroyed) return
      try {
        const passed: Buffer[] = []
        for (const event of splitter.push(chunk)) {
          if (event.id !== undefined) {
            if (progress.lastEvent !== undefined && event.id !== progress.lastEvent + 1) {
              if (passed.length > 0) pass(Buffer.concat(passed))
              return breakOff(`event ${event.id} after ${progress.lastEvent}`)
            }
            progress.lastEvent = event.id
          }
          passed.push(event.bytes)
        }
        if (passed.length > 0) pass(passed.length === 1 ? passed[0]! : Buffer.concat(passed))
      } catch (error) {
        breakOff((error as Error).message)
      }
    })
    response.on('end', () => {
      // A destroyed answer may still tell its end.
      if (isFinished) return
      if (!response.complete || splitter.hasRemainder()) return finish(RunEnd.Broken, 'ended within an event')
      if (hasLength(response)) return endWhole()
      void Promise.all([answer.isEndSure(), parts.engines.isAlive(first)]).then(([isSure, isAlive]) => {
        if (isFinished) return
        if (isSure && isAlive) endWhole()
        else finish(RunEnd.Broken, 'ended with its connection, and its target is gone')
      })
    })
    response.on('error', error => finish(request.exchange.left.aborted ? RunEnd.CallerLeft : RunEnd.Broken, stopReason() || error.message))
    response.on('close', () => {
      // The end of a body without a length is still being checked.
      if (response.complete && !response.errored && !hasLength(response) && !request.exchange.left.aborted) return
      finish(request.exchange.left.aborted ? RunEnd.CallerLeft : RunEnd.Broken, stopReason() || 'closed')
    })

    function endWhole (): void {
      if (!progress.hasHead) writeHead()
      caller.end()
      finish(RunEnd.Whole, '')
    }

    function pass (bytes: Buffer): void {
      onProgress()
      if (!progress.hasHead) writeHead()
      if (caller.write(bytes)) return
      response.pause()
      caller.once('drain', () => {
        onProgress()
        response.resume()
      })
    }

    function writeHead (): void {
      progress.hasHead = true
      const headers = parts.dialect.answerHeaders(response.rawHeaders)
      if (caller.hasHeader('Connection')) headers.push('Connection', 'close')
      caller.writeHead(SUCCESS_STATUS, headers as unknown as Record<string, string>)
      parts.metrics.observe('first_event', performance.now() - request.exchange.arrivedAt.steady)
    }
  })
}
