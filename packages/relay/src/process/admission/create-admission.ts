/**
 * Admission of one VM: starts requests at once while there is capacity, and else lets them wait in the queue of their service.
 */
import { pause, type Metrics } from 'wigeonlead'
import { RelayEvent, type RelayLog } from '../relay-log.js'
import {
  AdmissionResult, RefusalReason, type Admission, type AdmissionLevel, type AdmissionOutcome, type AdmissionTicket, type Rank
} from './admission.js'
import { createReturnTimes, type ReturnTerms } from './return-times.js'
import { createStartRate, type StartRate } from './start-rate.js'
import { createWaitingQueue, type WaitingQueue } from './waiting-queue.js'

/** What an admission needs. */
export interface AdmissionDependencies {
  log: RelayLog
  metrics: Metrics
  /** Random number from 0 to 1. */
  nextFloat: () => number
  /** Requests that wait for one service. */
  queueLimit: number
  /** Services without a queue. */
  offServices: readonly string[]
  /** Absent where every rank is admitted. */
  level?: AdmissionLevel
}

/** Interval at which capacity is looked for while anything waits, milliseconds: peers free capacity without telling this VM. */
const TICK_MILLISECONDS = 20
/** Interval within which further wake-ups of a service wait for the next tick, milliseconds: each one searches for paths. */
const WAKE_INTERVAL_MILLISECONDS = 5
/** Requests that are tried at one look for capacity: the one whose turn it is and a few that may need less. */
const MAXIMUM_CANDIDATES = 4
/** Successive starts past the request whose turn it is, after which nothing passes any more, so that capacity gathers for it. */
const PASSES_BEFORE_HOLD = 4
/** How long the others are held back at most, milliseconds: the request may be one that no path can ever take. */
const HOLD_MILLISECONDS = 200
/** How long the others are not held back after a hold in which no request could start, milliseconds. */
const FAILED_HOLD_PAUSE_MILLISECONDS = 500
/** Mean pause between two attempts of a request of a service without a queue, milliseconds. */
const POLL_MILLISECONDS = 30
const MILLISECONDS_PER_SECOND = 1000

/** A request that waits. The type of its start is known only to the caller of `enter`. */
interface Waiting extends AdmissionTicket<unknown> {
  arrivedAt: number
  positionAtArrival: number
  /** Whether others were held back for it in vain. */
  hasHeld: boolean
  settle: (outcome: AdmissionOutcome<unknown>) => void
  fail: (error: unknown) => void
}

/** The requests that wait for one service. */
interface Line {
  service: string
  queue: WaitingQueue<Waiting>
  rate: StartRate
  lookedAt: number
  /** Starts past requests whose turn it was, since one of that size started, and the most tokens that one of these needed. */
  passed?: { starts: number, tokens: number }
  /** Monotonic time until which only requests of the size that was passed may start, milliseconds; absent while others may pass. */
  holdsUntil?: number
  /** Monotonic time until which others are not held back, milliseconds. */
  noHoldUntil: number
}

/** Creates an admission in which nothing waits. */
export function createAdmission ({ log, metrics, nextFloat, queueLimit, offServices, level }: AdmissionDependencies): Admission {
  const lines = new Map<string, Line>()
  const returnTimes = createReturnTimes(nextFloat)
  const off = new Set(offServices)
  let timer: NodeJS.Timeout | undefined

  function lineOf (service: string): Line {
    const known = lines.get(service)
    if (known !== undefined) return known
    const line = { service, queue: createWaitingQueue<Waiting>(queueLimit), rate: createStartRate(), lookedAt: -Infinity, noHoldUntil: 0 }
    lines.set(service, line)
    metrics.gauge(`admission_waiting{service=${JSON.stringify(service)}}`, () => line.queue.size())
    return line
  }

  /** @param line absent where the service has no queue, or where other things than capacity are missing, so that its rate tells nothing. */
  function returnMilliseconds (service: string, rank: Rank, deadline: number, line?: Line): number {
    return returnTimes.next(returnTerms(service, rank, deadline, line))
  }

  function returnTerms (service: string, rank: Rank, deadline: number, line?: Line): ReturnTerms {
    return {
      service,
      rank,
      startsPerSecond: line?.rate.perSecond(),
      waiting: line?.queue.size() ?? 0,
      remainingMilliseconds: Math.max(0, deadline - performance.now())
    }
  }

  function logFields (ticket: AdmissionTicket<unknown>, waitedMilliseconds: number, position: number): Record<string, string | number> {
    const perSecond = lines.get(ticket.service)?.rate.perSecond()
    return {
      request: ticket.requestId,
      service: ticket.service,
      rank: ticket.rank,
      workspace: ticket.workspace ?? '',
      tokens: Math.round(ticket.tokens),
      position,
      waiting: lines.get(ticket.service)?.queue.size() ?? 0,
      waitedMilliseconds: Math.round(waitedMilliseconds),
      startsPerSecond: perSecond === undefined ? 'unknown' : Math.round(perSecond * 10) / 10
    }
  }

  function refuse (
    ticket: AdmissionTicket<unknown>, reason: RefusalReason, waitedMilliseconds = 0, position = 0
  ): AdmissionOutcome<never> {
    const retryAfterMilliseconds = returnMilliseconds(ticket.service, ticket.rank, ticket.deadline, lines.get(ticket.service))
    // The level has counted the requests that it refuses.
    const isCounted = reason !== RefusalReason.Level && ticket.isRepeat !== true && !off.has(ticket.service)
    if (isCounted) level?.recordRefusal(ticket.service, ticket.rank)
    metrics.count('admission_refused_total', { service: ticket.service, reason, rank: String(ticket.rank) })
    log.info(RelayEvent.AdmissionRefused, {
      ...logFields(ticket, waitedMilliseconds, position), reason, retryAfterMilliseconds: Math.round(retryAfterMilliseconds)
    })
    return { result: AdmissionResult.Refused, reason, retryAfterMilliseconds }
  }

  function recordStart (ticket: AdmissionTicket<unknown>, waitedMilliseconds: number): void {
    if (ticket.isRepeat !== true) level?.recordStart(ticket.service, ticket.rank, waitedMilliseconds)
    metrics.observe('admission_wait', waitedMilliseconds, { service: ticket.service })
  }

  /** Tries to start a request at once. */
  function startNow<Start> (ticket: AdmissionTicket<Start>): AdmissionOutcome<Start> | undefined {
    const start = ticket.tryStart()
    if (start !== undefined) {
      recordStart(ticket, 0)
      return { result: AdmissionResult.Started, start, waitedMilliseconds: 0 }
    }
    return ticket.isWithdrawn?.() === true ? { result: AdmissionResult.Withdrawn } : undefined
  }

  function wait<Start> (line: Line, ticket: AdmissionTicket<Start>): Promise<AdmissionOutcome<Start>> {
    return new Promise((resolve, reject) => {
      const onCallerLeft = (): void => {
        if (line.queue.remove(waiting)) waiting.settle({ result: AdmissionResult.CallerLeft })
      }
      const waiting: Waiting = {
        ...ticket,
        arrivedAt: performance.now(),
        positionAtArrival: 0,
        hasHeld: false,
        settle (outcome) {
          ticket.callerLeft.removeEventListener('abort', onCallerLeft)
          // `unknown` is the type of the ticket's own start.
          resolve(outcome as AdmissionOutcome<Start>)
        },
        fail (error) {
          ticket.callerLeft.removeEventListener('abort', onCallerLeft)
          reject(error)
        }
      }
      ticket.callerLeft.addEventListener('abort', onCallerLeft, { once: true })
      const evicted = line.queue.push(waiting)
      if (evicted !== undefined) refuseWaiting(evicted, RefusalReason.QueueFull)
      line.rate.observe(line.queue.size())
      startTimer()
      if (evicted !== waiting) refuseIfTooLate(line, waiting)
    })
  }

  /** Refuses a request at once whose turn is not expected before its wait ends. */
  function refuseIfTooLate (line: Line, waiting: Waiting): void {
    waiting.positionAtArrival = line.queue.countAhead(waiting)
    const perSecond = line.rate.perSecond() ?? Infinity
    const expectedMilliseconds = waiting.positionAtArrival / perSecond * MILLISECONDS_PER_SECOND
    const left = waiting.waitEndsAt - performance.now()
    if (left > 0 && expectedMilliseconds <= left) return
    line.queue.remove(waiting)
    refuseWaiting(waiting, RefusalReason.WaitedTooLong)
  }

  function refuseWaiting (waiting: Waiting, reason: RefusalReason): void {
    waiting.settle(refuse(waiting, reason, performance.now() - waiting.arrivedAt, waiting.positionAtArrival))
  }

  /**
   * Starts requests while there is capacity. A request whose wait has ended is refused, unless capacity is left once nothing else waits:
   * after a pause of the process, a late answer still serves its caller better than a refusal.
   */
  function look (line: Line): void {
    line.lookedAt = performance.now()
    line.rate.observe(line.queue.size())
    const ended = line.queue.removeEnded(performance.now())
    while (line.queue.size() > 0 && settleOne(line));
    for (const waiting of ended) {
      if (line.queue.size() > 0 || !settle(line, waiting)) refuseWaiting(waiting, RefusalReason.WaitedTooLong)
    }
    line.rate.observe(line.queue.size())
  }

  /** @returns whether a request has left the queue, so that the next one may be tried. */
  function settleOne (line: Line): boolean {
    const held = findHeld(line)
    const inTurn = line.queue.candidates(MAXIMUM_CANDIDATES)
    const candidates = held === undefined ? inTurn : [...inTurn.filter(({ rank }) => rank < held.rank), held]
    const turn = candidates.findIndex(({ hasHeld }) => !hasHeld)
    for (const [index, waiting] of candidates.entries()) {
      if (!settle(line, waiting)) continue
      if (held === undefined && turn !== -1 && index > turn) recordPass(line, candidates[turn]!)
      if (waiting.tokens >= (line.passed?.tokens ?? Infinity)) [line.passed, line.holdsUntil] = [undefined, undefined]
      return true
    }
    return false
  }

  /** Tries to start a request. @returns whether it started or asks no more. */
  function settle (line: Line, waiting: Waiting): boolean {
    try {
      const start = waiting.tryStart()
      if (start !== undefined) startWaiting(line, waiting, start)
      else if (waiting.isWithdrawn?.() === true) waiting.settle({ result: AdmissionResult.Withdrawn })
      else return false
    } catch (error) {
      waiting.fail(error)
    }
    line.queue.remove(waiting)
    return true
  }

  function startWaiting (line: Line, waiting: Waiting, start: unknown): void {
    line.queue.take(waiting)
    line.rate.recordStart()
    const waitedMilliseconds = performance.now() - waiting.arrivedAt
    recordStart(waiting, waitedMilliseconds)
    log.info(RelayEvent.AdmissionWaited, logFields(waiting, waitedMilliseconds, waiting.positionAtArrival))
    waiting.settle({ result: AdmissionResult.Started, start, waitedMilliseconds })
  }

  function startTimer (): void {
    timer ??= setInterval(() => {
      for (const line of lines.values()) if (line.queue.size() > 0) look(line)
      stopTimerIfEmpty()
    }, TICK_MILLISECONDS).unref()
  }

  function stopTimerIfEmpty (): void {
    for (const { queue } of lines.values()) if (queue.size() > 0) return
    clearInterval(timer)
    timer = undefined
  }

  /** Admission without a queue: the request asks until its wait ends. */
  async function poll<Start> (ticket: AdmissionTicket<Start>): Promise<AdmissionOutcome<Start>> {
    const arrivedAt = performance.now()
    for (;;) {
      if (ticket.callerLeft.aborted) return { result: AdmissionResult.CallerLeft }
      const start = ticket.tryStart()
      const waitedMilliseconds = performance.now() - arrivedAt
      if (start !== undefined) return { result: AdmissionResult.Started, start, waitedMilliseconds }
      if (ticket.isWithdrawn?.() === true) return { result: AdmissionResult.Withdrawn }
      if (performance.now() >= ticket.waitEndsAt) return refuse(ticket, RefusalReason.WaitedTooLong, waitedMilliseconds)
      await pause(POLL_MILLISECONDS * (0.5 + nextFloat()))
    }
  }

  return {
    async enter (ticket) {
      if (off.has(ticket.service)) return await poll(ticket)
      if (ticket.isRepeat !== true && level?.admits(ticket.service, ticket.rank, ticket.workspace) === false) {
        return refuse(ticket, RefusalReason.Level)
      }
      const line = lineOf(ticket.service)
      if (line.queue.isAheadOfAll(ticket)) {
        const outcome = startNow(ticket)
        if (outcome !== undefined) return outcome
      }
      if (ticket.callerLeft.aborted) return { result: AdmissionResult.CallerLeft }
      return await wait(line, ticket)
    },
    wake (service) {
      const line = lines.get(service)
      if (line === undefined || line.queue.size() === 0) return
      if (performance.now() - line.lookedAt >= WAKE_INTERVAL_MILLISECONDS) look(line)
    },
    waiting: service => lines.get(service)?.queue.size() ?? 0,
    returnMilliseconds: (service, rank, deadline) => returnMilliseconds(service, rank, deadline),
    expectedReturnMilliseconds: (service, rank, deadline) =>
      returnTimes.expected(returnTerms(service, rank, deadline, lines.get(service)))
  }
}

function recordPass (line: Line, passed: Waiting): void {
  line.passed = { starts: (line.passed?.starts ?? 0) + 1, tokens: Math.max(line.passed?.tokens ?? 0, passed.tokens) }
}

/**
 * Requests of the size that was passed take over from each other: one whose wait ends leaves the capacity that has gathered to the next.
 * @returns the only request of its rank or less urgent ones that may start now; undefined while others may pass it.
 */
function findHeld (line: Line): Waiting | undefined {
  const now = performance.now()
  const { passed } = line
  if (passed === undefined || passed.starts < PASSES_BEFORE_HOLD || now < line.noHoldUntil) return undefined
  const held = line.queue.findFirst(({ tokens, hasHeld }) => tokens >= passed.tokens && !hasHeld)
  line.holdsUntil ??= now + HOLD_MILLISECONDS
  if (held !== undefined && now < line.holdsUntil) return held
  if (held !== undefined) [held.hasHeld, line.noHoldUntil] = [true, now + FAILED_HOLD_PAUSE_MILLISECONDS]
  ;[line.passed, line.holdsUntil] = [undefined, undefined]
  return undefined
}
