/**
 * Relays requests whose answer is one body, passed on once it is whole.
 */
import type { IncomingMessage } from 'node:http'
import { readAnswer } from '@wigeonlead/protocol'
import { SendResult, hasLength } from '../connection/target-client.js'
import { RelayEvent } from '../process/relay-log.js'
import { RepeatRule } from '../version/configuration.js'
import { lifeOf, type Target } from '../version/target.js'
import { Refusal } from './answer.js'
import { ANSWER_WAY_MILLISECONDS, timeLeft, type AdmittedRequest, type RequestParts } from './context.js'
import { SendState, createAttemptLedger, type Send } from './ledger.js'
import { noteAnswered, noteLeft, refuse, requestFields } from './outcome.js'

/** A send of a request that may be repeated is given this share of the time left, so that another target can still answer. */
const FIRST_SEND_SHARE = 0.5
/** A target that could not be reached is passed over for so long, milliseconds: about a heartbeat of the list. */
const UNREACHABLE_SUSPICION_MILLISECONDS = 1500
/** A target that did not answer in time is passed over for so long, milliseconds. */
const MUTE_SUSPICION_MILLISECONDS = 700
/** So many sends in a row without an answer in time tell of the target; one may be a long request. */
const MUTES_OF_SUSPICION = 2
/** With less time no target answers: the request is out of time, milliseconds. */
const LEAST_SEND_MILLISECONDS = 10
/** Whole answers are held in memory. */
const ANSWER_BYTES_LIMIT = 16_777_216
/** A caller may come back to a service with all slots taken after about the work of one request, milliseconds. */
const BUSY_RETRY_MILLISECONDS = 100
const MISDIRECTED_STATUS = 421
/** Statuses that callers take as a promise that nothing ran: passed on only with proof, and then as an answer of the router's own. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 429, 503])
const FIRST_SERVER_ERROR_STATUS = 500

interface WholeAnswer {
  response: IncomingMessage
  body: Buffer
  target: Target
  isNotRun: boolean
}

/** Relays one request to its end. */
export async function relayWhole (request: AdmittedRequest, parts: RequestParts): Promise<void> {
  const isIdempotent = request.route.repeat === RepeatRule.Idempotent
  const ledger = createAttemptLedger(isIdempotent, request.route.maximumTargets)
  let failureAnswer: WholeAnswer | undefined
  let detail = 'no target'
  for (;;) {
    if (request.exchange.left.aborted) return noteLeft(request, parts)
    if (timeLeft(request) <= LEAST_SEND_MILLISECONDS) return refuse(request, parts, ledger, Refusal.TimedOut, detail)
    const target = chooseTarget(request, parts, ledger.targetLives())
    if (target === undefined || !ledger.maySendAgain() || ledger.allowedTargets(() => false) !== undefined) break
    if (ledger.arrivals() > 0 && !await parts.repeats.take(request.service.name)) {
      detail += '; no repeat left in the budget'
      break
    }
    const send = ledger.begin(lifeOf(target))
    const answer = await sendOnce(request, parts, target, send, isIdempotent && ledger.arrivals() === 0 && request.route.maximumTargets > 1)
    if (typeof answer === 'string') {
      detail = answer
      continue
    }
    if (answer.isNotRun) {
      detail = `target ${target.id} refused with ${answer.response.statusCode}`
      continue
    }
    if (PROMISING_STATUSES.has(answer.response.statusCode ?? 0)) {
      detail = `target ${target.id} answered ${answer.response.statusCode} without saying that it did not run the request`
      continue
    }
    if (isIdempotent && (answer.response.statusCode ?? 0) >= FIRST_SERVER_ERROR_STATUS && failureAnswer === undefined) {
      failureAnswer = answer
      continue
    }
    return passOn(request, parts, answer, ledger.arrivals())
  }
  if (failureAnswer !== undefined) return passOn(request, parts, failureAnswer, ledger.arrivals())
  refuse(request, parts, ledger, ledger.arrivals() === 0 ? Refusal.NoTarget : Refusal.TargetsRefused, detail, BUSY_RETRY_MILLISECONDS)
}

/** @returns the usable target with the fewest requests of ours a slot, near ones first. */
function chooseTarget (request: AdmittedRequest, parts: RequestParts, tried: ReadonlySet<string>): Target | undefined {
  const candidates = parts.directory.usable(request.service.name).filter(target => !tried.has(lifeOf(target)))
  let best: Target | undefined
  let bestRank = Infinity
  for (const target of candidates) {
    const isNear = target.failureDomain === parts.failureDomain
    const rank = parts.load.requests(lifeOf(target)) / target.slots + (isNear ? 0 : FAR_RANK) + parts.nextFloat() * TIE_RANK
    if (rank < bestRank) [best, bestRank] = [target, rank]
  }
  return best
}

/** A target in another failure domain is taken once a near one has this share of its slots more in use. */
const FAR_RANK = 0.3
const TIE_RANK = 0.01

async function sendOnce (
  request: AdmittedRequest, parts: RequestParts, target: Target, send: Send, leavesTime: boolean
): Promise<WholeAnswer | string> {
  const { exchange } = request
  const left = timeLeft(request)
  const limit = leavesTime ? left * FIRST_SEND_SHARE : left - ANSWER_WAY_MILLISECONDS
  const reservation = parts.load.reserveRequest(lifeOf(target))
  const given = new AbortController()
  const onLeft = (): void => given.abort()
  exchange.left.addEventListener('abort', onLeft, { once: true })
  const timer = setTimeout(() => given.abort(), limit)
  send.state = SendState.Sent
  try {
    const outcome = await parts.targets.send({
      address: target.address,
      method: exchange.method,
      path: exchange.path,
      headers: parts.dialect.writeHeaders(exchange.rawHeaders, {
        waitMilliseconds: limit, targetId: target.id, workspace: request.workspace?.name
      }, request.workspace !== undefined || !request.route.isAnonymous),
      body: exchange.body,
      requestId: request.requestId,
      mayReuseConnection: request.route.repeat === RepeatRule.Idempotent,
      signal: given.signal
    })
    if (outcome.kind !== SendResult.Answered) {
      send.state = outcome.kind === SendResult.NotSent ? SendState.NotSent : SendState.MayHaveRun
      noteSendFailed(request, parts, target, outcome.kind, outcome.reason, given.signal.aborted)
      return `${outcome.kind} at target ${target.id}: ${outcome.reason}`
    }
    const { response, terms } = outcome
    const isNotRun = terms.isNotRun || response.statusCode === MISDIRECTED_STATUS
    const body = await readAnswer(response, ANSWER_BYTES_LIMIT)
    if (!isNotRun && (response.statusCode ?? 0) < 300 && !terms.isSealed) throw new Error('a success without its seal')
    if (!await outcome.isEndSure()) throw new Error('its connection was reset')
    if (!hasLength(response) && !await parts.engines.isAlive(target)) throw new Error('its target is gone')
    send.state = isNotRun ? SendState.SaidNotRun : SendState.MayHaveRun
    parts.load.noteAnswer(lifeOf(target))
    return { response, body, target, isNotRun }
  } catch (error) {
    send.state = SendState.MayHaveRun
    noteSendFailed(request, parts, target, SendResult.Unknown, (error as Error).message, given.signal.aborted)
    return `broken answer of target ${target.id}: ${(error as Error).message}`
  } finally {
    clearTimeout(timer)
    exchange.left.removeEventListener('abort', onLeft)
    reservation.release()
  }
}

function noteSendFailed (
  request: AdmittedRequest, parts: RequestParts, target: Target, result: SendResult, reason: string, isGivenUp: boolean
): void {
  if (request.exchange.left.aborted) return
  parts.metrics.count('sends_failed_total', { service: request.service.name, result })
  parts.log.note(RelayEvent.SendFailed, { ...requestFields(request, parts), target: target.id, result, reason })
  if (result === SendResult.NotSent) parts.directory.suspect(target, UNREACHABLE_SUSPICION_MILLISECONDS, reason)
  else if (isGivenUp && parts.load.noteMute(lifeOf(target)) >= MUTES_OF_SUSPICION) parts.directory.suspect(target, MUTE_SUSPICION_MILLISECONDS, 'no answer in time')
}

function passOn (request: AdmittedRequest, parts: RequestParts, answer: WholeAnswer, arrivals: number): void {
  const { response } = request.exchange
  const status = answer.response.statusCode ?? 502
  if (response.destroyed) return noteLeft(request, parts)
  const hasNoBody = status === 204 || status === 304
  const headers = parts.dialect.answerHeaders(answer.response.rawHeaders)
  if (!hasNoBody) headers.push('Content-Length', String(answer.body.length))
  if (response.hasHeader('Connection')) headers.push('Connection', 'close')
  response.writeHead(status, headers as unknown as Record<string, string>)
  response.end(answer.body)
  noteAnswered(request, parts, { status, target: answer.target.id, arrivals })
}
