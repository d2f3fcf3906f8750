/**
 * Hands requests over to peers while this VM is cut off from their targets. A peer handles a request like one of its own callers', and
 * hands it over to no one else.
 */
import type { IncomingMessage } from 'node:http'
import { readAnswer } from '@wigeonlead/protocol'
import type { HandOverHeaders } from '../connection/dialect.js'
import { SendResult, type SendOutcome } from '../connection/target-client.js'
import type { Peer } from '../process/membership/peers.js'
import { RelayEvent } from '../process/relay-log.js'
import { TargetState } from '../process/suspicion/target-life.js'
import { AnswerForm, RepeatRule } from '../version/configuration.js'
import { ANSWER_TRANSIT_MILLISECONDS, remainingTime, type AdmittedRequest, type RequestDependencies } from './context.js'
import { RunEnd, isInTime, type EventsProgress, type RunOutcome } from './event-progress.js'
import { forwardEvents, type AnsweredSend } from './forward-events.js'
import { SendState, type AttemptLedger, type HandOverSend, type HandOverTerms } from './ledger.js'
import { isIncarnationGone } from './lost-target.js'
import { recordAnswered, recordCallerLeft, refuse, requestLogFields, sendLogFields } from './outcome.js'
import { Refusal, readRefusal } from './refusal.js'
import { holdForCaller, writeBody } from './write-body.js'

/** Maximum number of peers that one request is handed over to. */
const MAXIMUM_PEERS = 4
/** Retry delay of a request that no peer can handle either, milliseconds: the time in which the end of a cut is noticed. */
const CUT_OFF_RETRY_MILLISECONDS = 1000
/** Share of the remaining time that the first peer gets for a request that may be sent again. */
const FIRST_PEER_SHARE = 0.5
/** A peer that sends nothing of an answer of events for this time is taken for lost, milliseconds. */
const PEER_SILENCE_MILLISECONDS = 1500
const ANSWER_BYTES_LIMIT = 16_777_216
const SUCCESS_STATUS = 200
const FIRST_ERROR_STATUS = 300
/** Statuses with which a peer promises that the request has not run and will not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
const MILLISECONDS_PER_SECOND = 1000
/** Refusals that the request would meet at any other VM too: the targets are the same. */
const FLEET_WIDE_REFUSALS: ReadonlySet<unknown> = new Set([Refusal.NoCapacity, Refusal.PromptQuarantined, Refusal.RequestQuarantined])

/** The peers that a request was handed over to, and what the last one answered. */
interface HandOver {
  triedVms: Set<string>
  detail: string
  /** Why a peer has refused the request, if any VM would. */
  fleetWideRefusal?: Refusal
  /** When the caller may retry, as a peer that refused the request said, milliseconds. */
  retryAfterMilliseconds: number
}

/** Hands over a request whose answer is one body, until it is answered, refused or abandoned by its caller. */
export async function handOverSingleBody (
  request: AdmittedRequest, dependencies: RequestDependencies, ledger: AttemptLedger
): Promise<void> {
  const handOver = startHandOver()
  for (;;) {
    if (request.exchange.callerLeft.aborted) return recordCallerLeft(request, dependencies)
    const start = await nextPeer(request, dependencies, ledger, handOver)
    if (start === undefined) return refuseCutOff(request, dependencies, ledger, handOver)
    const answer = await askForBody(request, dependencies, start, ledger, handOver)
    if (answer === undefined) continue
    const { response } = request.exchange
    if (response.destroyed || response.writableEnded) return recordCallerLeft(request, dependencies)
    writeBody(request, dependencies, answer.response, answer.body)
    return recordAnswered(request, dependencies, {
      status: answer.response.statusCode!, target: `peer ${start.peer.vm}`, ...sendLogFields(ledger)
    })
  }
}

/**
 * Hands over a request whose answer is a series of events.
 * @returns whether the exchange has ended; if not, its answer has begun, and no peer can continue it now.
 */
export async function handOverEvents (
  request: AdmittedRequest, dependencies: RequestDependencies, ledger: AttemptLedger, progress: EventsProgress
): Promise<boolean> {
  const handOver = startHandOver()
  for (;;) {
    if (request.exchange.callerLeft.aborted) {
      recordCallerLeft(request, dependencies, { ...sendLogFields(ledger), detail: handOver.detail })
      return true
    }
    const start = await nextPeer(request, dependencies, ledger, handOver)
    if (start === undefined) {
      if (progress.isHeadSent && ledger.maySendAgain() && remainingTime(request) > ANSWER_TRANSIT_MILLISECONDS) return false
      refuseCutOff(request, dependencies, ledger, handOver)
      return true
    }
    const { peer } = start
    const outcome = await runThroughPeer(request, dependencies, start, ledger, progress, handOver)
    if (outcome.end === RunEnd.Complete) {
      const fields = { status: outcome.status, target: `peer ${peer.vm}`, ...sendLogFields(ledger) }
      recordAnswered(request, dependencies, fields, isInTime(request, progress))
      return true
    }
    handOver.detail = `${outcome.end} at peer ${peer.vm}: ${outcome.reason}`
    dependencies.log.info(RelayEvent.HandOverFailed, {
      ...requestLogFields(request, dependencies), peer: peer.vm, reason: outcome.reason, lastEvent: progress.lastEvent
    })
  }
}

function startHandOver (): HandOver {
  return { triedVms: new Set(), detail: 'no peer reaches the targets', retryAfterMilliseconds: CUT_OFF_RETRY_MILLISECONDS }
}

/** A peer that the request goes to, and what it may do. */
interface HandOverStart {
  peer: Peer
  terms: HandOverTerms
}

/** @returns the peer to try next; undefined if the request may not be sent again or no peer is left. */
async function nextPeer (
  request: AdmittedRequest, dependencies: RequestDependencies, ledger: AttemptLedger, handOver: HandOver
): Promise<HandOverStart | undefined> {
  const { triedVms } = handOver
  if (handOver.fleetWideRefusal !== undefined) return undefined
  if (request.exchange.isHandedOver || triedVms.size >= MAXIMUM_PEERS) return undefined
  if (!ledger.maySendAgain() || remainingTime(request) <= ANSWER_TRANSIT_MILLISECONDS) return undefined
  const terms = ledger.handOverTerms(incarnation => isIncarnationGone(incarnation, dependencies))
  // Only a stream is sent to the same target twice.
  const isLimitReached = terms.furtherTargets === 0 && (request.route.form === AnswerForm.SingleBody || terms.reachedTargets.length === 0)
  if (isLimitReached) {
    handOver.detail += '; the limit of targets is reached'
    return undefined
  }
  const peer = dependencies.peerChoice.choose(request.service.name, triedVms, { keepsLimit: ledger.reachedTargets() > 0 })
  if (peer === undefined) return undefined
  if (ledger.possibleArrivals() > 0 && !await dependencies.repeats.take(request.service.name)) return undefined
  triedVms.add(peer.vm)
  dependencies.metrics.count('requests_handed_over_total', { service: request.service.name })
  dependencies.log.info(RelayEvent.RequestHandedOver, {
    ...requestLogFields(request, dependencies), peer: peer.vm, ...sendLogFields(ledger), furtherTargets: terms.furtherTargets
  })
  return { peer, terms }
}

function refuseCutOff (request: AdmittedRequest, dependencies: RequestDependencies, ledger: AttemptLedger, handOver: HandOver): void {
  const refusal = remainingTime(request) <= ANSWER_TRANSIT_MILLISECONDS ? Refusal.TimedOut : handOver.fleetWideRefusal ?? Refusal.NoTarget
  const detail = `cut off from the targets of ${request.service.name}; ${handOver.detail}`
  refuse(request, dependencies, ledger, refusal, detail, handOver.retryAfterMilliseconds)
}

interface PeerBody {
  response: IncomingMessage
  body: Buffer
}

/** @returns the answer of a peer that handled the request; undefined if it refused it, or if no valid answer arrived. */
async function askForBody (
  request: AdmittedRequest, dependencies: RequestDependencies, { peer, terms }: HandOverStart, ledger: AttemptLedger, handOver: HandOver
): Promise<PeerBody | undefined> {
  const isFirstOfSeveral = request.route.repeat === RepeatRule.Idempotent && ledger.possibleArrivals() === 0
  const remaining = remainingTime(request) - ANSWER_TRANSIT_MILLISECONDS
  const waitMilliseconds = isFirstOfSeveral ? remaining * FIRST_PEER_SHARE : remaining
  const reservation = dependencies.peerChoice.reserve(peer.vm)
  const abortController = new AbortController()
  const abort = (): void => abortController.abort()
  request.exchange.callerLeft.addEventListener('abort', abort, { once: true })
  if (request.exchange.callerLeft.aborted) abort()
  const timer = setTimeout(() => {
    dependencies.peerChoice.recordSilence(peer.vm)
    abort()
  }, waitMilliseconds)
  const send = ledger.beginHandOver(terms)
  try {
    const outcome = await sendToPeer(request, dependencies, peer, send, { ...terms, waitMilliseconds }, abortController.signal)
    if (outcome.kind !== SendResult.Answered) throw new Error(outcome.reason)
    const body = await readAnswer(outcome.response, ANSWER_BYTES_LIMIT, outcome.openHolding)
    holdForCaller(request, body)
    if (isRefusal(outcome, body, send, handOver)) throw new Error(`status ${outcome.response.statusCode}`)
    checkAnswer(request, outcome)
    return { response: outcome.response, body }
  } catch (error) {
    handOver.detail = `peer ${peer.vm}: ${(error as Error).message}`
    dependencies.log.info(RelayEvent.HandOverFailed, { ...requestLogFields(request, dependencies), peer: peer.vm, reason: handOver.detail })
    return undefined
  } finally {
    clearTimeout(timer)
    request.exchange.callerLeft.removeEventListener('abort', abort)
    reservation.release()
  }
}

async function runThroughPeer (
  request: AdmittedRequest, dependencies: RequestDependencies, { peer, terms }: HandOverStart, ledger: AttemptLedger,
  progress: EventsProgress, handOver: HandOver
): Promise<RunOutcome> {
  const reservation = dependencies.peerChoice.reserve(peer.vm)
  const abortController = new AbortController()
  const state = { reason: '', lastProgressAt: performance.now(), deliverRest: () => false }
  const abort = (reason: string): void => {
    if (!request.exchange.callerLeft.aborted && state.deliverRest()) return
    state.reason ||= reason
    abortController.abort()
  }
  const onCallerLeft = (): void => abort('the caller left')
  request.exchange.callerLeft.addEventListener('abort', onCallerLeft, { once: true })
  if (request.exchange.callerLeft.aborted) onCallerLeft()
  const deadlineTimer = setTimeout(() => abort('the deadline has passed'), Math.max(1, remainingTime(request) - ANSWER_TRANSIT_MILLISECONDS))
  const silenceTimer = setInterval(() => {
    if (performance.now() - state.lastProgressAt <= PEER_SILENCE_MILLISECONDS) return
    dependencies.peerChoice.recordSilence(peer.vm)
    // As for a silent target: only a run that another one may follow is worth ending before its connection breaks.
    if (ledger.maySendAgain()) abort('the peer is silent')
  }, PEER_SILENCE_MILLISECONDS / 5)
  const send = ledger.beginHandOver(terms)
  try {
    const waitMilliseconds = remainingTime(request) - ANSWER_TRANSIT_MILLISECONDS
    const outcome = await sendToPeer(
      request, dependencies, peer, send, { ...terms, waitMilliseconds, lastEvent: progress.lastEvent }, abortController.signal
    )
    if (outcome.kind !== SendResult.Answered) return { end: RunEnd.Broken, status: 0, reason: state.reason || outcome.reason }
    if (outcome.response.statusCode !== SUCCESS_STATUS || !outcome.terms.isEventStream) {
      const body = await readAnswer(outcome.response, ANSWER_BYTES_LIMIT, outcome.openHolding)
      const end = isRefusal(outcome, body, send, handOver) ? RunEnd.Refused : RunEnd.Broken
      return { end, status: outcome.response.statusCode ?? 0, reason: `status ${outcome.response.statusCode}` }
    }
    checkAnswer(request, outcome)
    return await forwardEvents(request, outcome, progress, dependencies, {
      onProgress () { state.lastProgressAt = performance.now() },
      onStart (deliverRest) { state.deliverRest = deliverRest },
      abortReason: () => state.reason,
      // A peer's answers always have a length or chunks.
      stateOfSender: async () => TargetState.Unknown
    })
  } catch (error) {
    return { end: RunEnd.Broken, status: 0, reason: state.reason || (error as Error).message }
  } finally {
    clearTimeout(deadlineTimer)
    clearInterval(silenceTimer)
    request.exchange.callerLeft.removeEventListener('abort', onCallerLeft)
    abortController.abort()
    reservation.release()
  }
}

async function sendToPeer (
  request: AdmittedRequest, dependencies: RequestDependencies, peer: Peer, send: HandOverSend,
  terms: Omit<HandOverHeaders, 'waitedMilliseconds' | 'configurationVersion'>, signal: AbortSignal
): Promise<SendOutcome> {
  const { exchange } = request
  send.state = SendState.Sent
  const outcome = await dependencies.peerRequests.send({
    address: peer.address,
    incarnation: peer.vm,
    method: exchange.method,
    path: exchange.path,
    headers: dependencies.dialect.writeHandOverHeaders(exchange.rawHeaders, {
      ...terms, waitedMilliseconds: performance.now() - request.arrivedAt, configurationVersion: request.version
    }),
    body: exchange.body,
    requestId: request.requestId,
    mayOmitId: true,
    mayReuseConnection: true,
    signal
  })
  send.state = outcome.kind === SendResult.NotSent ? SendState.NotSent : SendState.MayHaveRun
  if (outcome.kind === SendResult.Answered) {
    dependencies.peerChoice.recordAnswer(peer.vm)
    send.report = outcome.terms.reachReport
    // A peer may continue a stream at another target, which it cannot tell any more.
    send.isReportFinal = send.report !== undefined && !outcome.terms.isEventStream
  }
  return outcome
}

/** Whether a peer has refused a request. Its promise that the request has not run counts as that of a target. */
function isRefusal ({ response, terms }: AnsweredSend, body: Buffer, send: HandOverSend, handOver: HandOver): boolean {
  if (!NOT_RUN_STATUSES.has(response.statusCode ?? 0) || terms.isSealed) return false
  send.state = SendState.ReportedNotRun
  const refusal = readRefusal(body)
  if (FLEET_WIDE_REFUSALS.has(refusal)) handOver.fleetWideRefusal = refusal
  const { pauseSeconds = NaN } = terms
  if (pauseSeconds >= 0) handOver.retryAfterMilliseconds = pauseSeconds * MILLISECONDS_PER_SECOND
  return true
}

/** @throws an error where a peer's answer is not the answer of a target to this request. */
function checkAnswer (request: AdmittedRequest, { response, terms }: AnsweredSend): void {
  if (terms.requestId !== undefined && terms.requestId !== request.requestId) {
    throw new Error(`the answer names another request: ${terms.requestId}`)
  }
  const isSuccess = (response.statusCode ?? 0) < FIRST_ERROR_STATUS
  if (isSuccess && (!terms.isSealed || terms.requestId === undefined)) throw new Error('a successful answer without a seal')
}
