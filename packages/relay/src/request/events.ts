/**
 * Relays requests whose answer is a series of events: over a path of stages, continued on another path when one breaks.
 */
import { pause } from 'wigeonlead'
import { SendResult } from '../connection/target-client.js'
import { RelayEvent } from '../process/relay-log.js'
import type { FoundPath } from '../process/path-finder.js'
import { RepeatRule } from '../version/configuration.js'
import { Refusal } from './answer.js'
import { ANSWER_WAY_MILLISECONDS, timeLeft, type AdmittedRequest, type RequestParts } from './context.js'
import { RunEnd, runEvents, type EventsProgress, type RunOutcome } from './event-run.js'
import { createAttemptLedger } from './ledger.js'
import { noteAnswered, noteLeft, refuse, requestFields } from './outcome.js'
import { tokensOf } from './tokens.js'

/** Sends of one request, with those that did not run: enough for a stage that is lost while its stand-in is found. */
const MAXIMUM_SENDS = 6
/** Pause before a path is looked for again where none is whole, milliseconds: about the time in which a lost stage is replaced. */
const NO_PATH_PAUSE_MILLISECONDS = 150
/** A caller that is refused for want of room may come back after about the length of one usual answer, milliseconds. */
const ROOM_RETRY_MILLISECONDS = 2000
/** Share of the time to the first event that may be spent waiting for memory: requests end all the time. */
const ROOM_WAIT_SHARE = 0.6
const ROOM_PAUSE_MILLISECONDS = 30
/** Share of the time to the first event that may be spent waiting for a whole path. */
const WAIT_SHARE = 0.5

/** Relays one request to its end. */
export async function relayEvents (request: AdmittedRequest, parts: RequestParts): Promise<void> {
  const { route, exchange } = request
  const mayRunAgain = route.isResumable || route.repeat === RepeatRule.Idempotent
  const ledger = createAttemptLedger(mayRunAgain, route.maximumTargets)
  const progress: EventsProgress = { lastEvent: request.terms.lastEvent, hasHead: false }
  const patience = performance.now() + Math.min(route.targetLatencyMilliseconds, timeLeft(request)) * WAIT_SHARE
  const roomPatience = performance.now() + Math.min(route.targetLatencyMilliseconds * ROOM_WAIT_SHARE, timeLeft(request) / 2)
  const avoided = new Set<string>()
  const avoidedFirst = new Set<string>()
  let detail = 'no path'
  for (let sends = 0; sends < MAXIMUM_SENDS;) {
    if (exchange.left.aborted) return noteLeft(request, parts, { arrivals: ledger.arrivals(), detail })
    if (timeLeft(request) <= ANSWER_WAY_MILLISECONDS) return refuse(request, parts, ledger, Refusal.TimedOut, detail)
    if (!ledger.maySendAgain()) break
    const path = findPath(request, parts, avoided, avoidedFirst, ledger.allowedTargets(life => isEnded(life, parts)))
    if (path === undefined || (!path.hasRoom && !progress.hasHead)) {
      if (path !== undefined && performance.now() > roomPatience) {
        return refuse(request, parts, ledger, Refusal.NoRoom, explain(request, parts), ROOM_RETRY_MILLISECONDS)
      }
      if (path !== undefined) {
        await pause(ROOM_PAUSE_MILLISECONDS * (0.5 + parts.nextFloat()))
        continue
      }
      avoided.clear()
      avoidedFirst.clear()
      if (performance.now() > patience && !progress.hasHead) {
        detail = `${detail}; ${explain(request, parts)}`
        break
      }
      await pause(NO_PATH_PAUSE_MILLISECONDS)
      continue
    }
    if (ledger.arrivals() > 0 && !await parts.repeats.take(request.service.name)) {
      detail += '; no repeat left in the budget'
      break
    }
    sends += 1
    const outcome = await runEvents(request, parts, path, progress, ledger)
    if (outcome.end === RunEnd.Whole) {
      return noteAnswered(request, parts, { status: outcome.status, target: path.stages[0]!.targetId, arrivals: ledger.arrivals() })
    }
    if (outcome.end === RunEnd.CallerLeft) {
      return noteLeft(request, parts, { path: describePath(path), lastEvent: progress.lastEvent, arrivals: ledger.arrivals(), detail })
    }
    detail = `${outcome.end} at ${path.stages[0]!.targetId}: ${outcome.reason}`
    noteBroken(request, parts, path, outcome, progress)
    avoidAfter(outcome, path, avoided, avoidedFirst)
    if (outcome.end === RunEnd.Failed) break
  }
  refuse(request, parts, ledger, ledger.arrivals() === 0 ? Refusal.NoTarget : Refusal.TargetsRefused, detail, ROOM_RETRY_MILLISECONDS)
}

/** @returns the stages of a path for the log. */
function describePath (path: FoundPath): string {
  return path.stages.map(({ targetId, from, to }) => `${targetId}=${from}-${to}`).join(' ')
}

function explain (request: AdmittedRequest, parts: RequestParts): string {
  return parts.paths.explain({ service: request.service, failureDomain: parts.failureDomain, tokens: tokensOf(request) })
}

function findPath (
  request: AdmittedRequest, parts: RequestParts, avoided: ReadonlySet<string>, avoidedFirst: ReadonlySet<string>,
  allowedFirst: ReadonlySet<string> | undefined
): FoundPath | undefined {
  return parts.paths.find({
    service: request.service,
    failureDomain: parts.failureDomain,
    tokens: tokensOf(request),
    avoided: avoided.size === 0 ? undefined : avoided,
    avoidedFirst: avoidedFirst.size === 0 ? undefined : avoidedFirst,
    allowedFirst
  })
}

/** Whether a life of a target is over: it does not count against the number of targets. */
function isEnded (life: string, parts: RequestParts): boolean {
  return parts.directory.living(life) === undefined
}

function avoidAfter (outcome: RunOutcome, path: FoundPath, avoided: Set<string>, avoidedFirst: Set<string>): void {
  const faulty = path.stages.findIndex(stage => stage.address === outcome.faultyAddress)
  if (faulty > 0) avoided.add(path.lives[faulty]!)
  else avoidedFirst.add(path.lives[0]!)
}

function noteBroken (
  request: AdmittedRequest, parts: RequestParts, path: FoundPath, outcome: RunOutcome, progress: EventsProgress
): void {
  parts.metrics.count('streams_broken_total', { end: outcome.end })
  parts.log.note(outcome.end === RunEnd.Refused || outcome.end === RunEnd.NotSent ? RelayEvent.SendFailed : RelayEvent.StreamResumed, {
    ...requestFields(request, parts),
    first: path.stages[0]!.targetId,
    stages: path.stages.length,
    end: outcome.end,
    reason: outcome.reason,
    faultyAddress: outcome.faultyAddress,
    lastEvent: progress.lastEvent,
    result: outcome.end === RunEnd.NotSent ? SendResult.NotSent : undefined
  })
}
