/**
 * Detects stages that stall streams. If a stream is silent for longer than expected, its first stage is polled for a report that names the
 * stage for which the stream waits. A stalled stage affects every stream whose path includes it, so all of them are moved, not only the
 * silent one.
 */
import type { EngineClient } from '../../connection/engine-client.js'
import { incarnationOf, type Target } from '../../version/target.js'
import { repeatInBackground } from '../background.js'
import type { Directory } from '../directory.js'
import type { PathFinder } from '../routing/path-finder.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'
import type { TargetReach } from './target-reach.js'

/** One stream in flight, as the watch sees it. */
export interface WatchedRun {
  requestId: string
  /** Target of the first stage. */
  first: Target
  /** Incarnations of all stages' targets. */
  incarnations: () => readonly string[]
  /** Monotonic time of the last event, or of the send before the first event, milliseconds. */
  lastProgressAt: () => number
  /** Silence up to this length is normal, milliseconds. */
  expectedSilence: () => number
  /** Called when a stage other than the first is lost, leaves or stalls the stream: the stream must be moved off this stage. */
  onStageLost: (target: Target, isLeaving: boolean) => void
  /** Usual time between events of the stream, milliseconds. */
  usualEventInterval: () => number
  /** Whether an event has arrived. */
  hasStarted: () => boolean
  /** Called when the first stage is unresponsive. */
  onFirstStageLost: () => void
}

/** Watches streams for stalls. */
export interface StreamWatch {
  /** @returns a function that stops watching this run. */
  add: (run: WatchedRun) => () => void
  /** Polls a stage that was named as the cause of a failure. A stage that sends no report and is unreachable is lost, not just full. */
  verify: (target: Target) => void
  /** @returns the number of streams in flight. */
  size: () => number
}

/** Interval at which all streams are checked for silence, milliseconds. */
const TICK_MILLISECONDS = 20
/** Minimum interval between polls of one first stage, milliseconds. Its report lags by a few hundred milliseconds. */
const POLL_INTERVAL_MILLISECONDS = 120
/**
 * Each poll that finds no stalled stage doubles the interval to the next poll, up to this many times: on a busy path, silence is
 * frequent.
 */
const MAX_BACKOFF_DOUBLINGS = 2
/** After this time without a poll the backoff starts over, milliseconds: earlier load says nothing about the present. */
const BACKOFF_RESET_MILLISECONDS = 3000
/** If all streams of one path are silent for this long, a stage may be lost, milliseconds: a few times the usual event interval. */
const GROUP_SILENCE_MILLISECONDS = 80
/** The silence of a group is unusual if it exceeds this multiple of the longest usual event interval of its streams. */
const UNUSUAL_SILENCE_FACTOR = 2.5
/** Minimum number of streams in a group; a single stream may just be slow. */
const MIN_GROUP_SIZE = 3
/**
 * Report timeout for a stage whose streams are all silent, milliseconds: ten times the usual response time, so that the interruption
 * stays short.
 */
const GROUP_REPORT_TIMEOUT_MILLISECONDS = 60
/** Report timeout, milliseconds: tens of times the usual response time. A later report counts as missed. */
const REPORT_TIMEOUT_MILLISECONDS = 150
/** How long a stage takes no new work while it is being verified, milliseconds. */
const VERIFICATION_SUSPICION_MILLISECONDS = 400
/**
 * Minimum interval between verifications of one stage, milliseconds: as long as a stage stays suspected after a refusal. The interval
 * grows while the stage is healthy.
 */
const VERIFY_INTERVAL_MILLISECONDS = 400
/** A first stage is considered lost after this many missed reports in a row. */
const MISSED_REPORTS_BEFORE_LOST = 2
/** How long a stage that stalls streams takes no new work, milliseconds: until its entry expires or it has recovered. */
const STALL_SUSPICION_MILLISECONDS = 4500

/** Poll history of one stage. */
interface PollHistory {
  /** Monotonic time of the last poll, milliseconds. */
  polledAt: number
  /** Number of successive polls that found nothing wrong. */
  healthyPolls: number
}

/**
 * Creates a watch that stops when the signal aborts.
 * @param reach tells whether this VM is cut off from the targets of a service; silent streams are then ended, so that a peer continues
 * them.
 */
export function createStreamWatch (
  directory: Directory, engines: EngineClient, paths: PathFinder, log: RelayLog, signal: AbortSignal,
  reach: Pick<TargetReach, 'isCutOff' | 'check'>
): StreamWatch {
  const runs = new Set<WatchedRun>()
  const verifications = new Map<string, PollHistory>()
  const polls = new Map<string, PollHistory & { missedReports: number }>()

  repeatInBackground(TICK_MILLISECONDS, signal, () => {
    const now = performance.now()
    const silent = new Map<string, Target>()
    for (const run of [...runs]) {
      if (!isSilent(run)) continue
      if (reach.isCutOff(run.first.service)) run.onFirstStageLost()
      else silent.set(incarnationOf(run.first), run.first)
    }
    for (const first of silent.values()) void pollFirstStage(first, now)
    for (const group of groupsByPath().values()) verifyPath(group, now)
  })

  function groupsByPath (): Map<string, WatchedRun[]> {
    const groups = new Map<string, WatchedRun[]>()
    for (const run of runs) {
      if (!run.hasStarted()) continue
      const path = run.incarnations().join()
      groups.set(path, [...groups.get(path) ?? [], run])
    }
    return groups
  }

  /**
   * Verifies all stages of a path whose streams are all silent. A dead stage stops all streams of its path at the same moment, long
   * before the report of the first stage shows it.
   */
  function verifyPath (group: readonly WatchedRun[], now: number): void {
    if (group.length < MIN_GROUP_SIZE) return
    // All streams of a path advance together with each pass of the engine, so a busy path is silent for longer between passes.
    const longestInterval = Math.max(...group.map(run => run.usualEventInterval()))
    const limit = Math.max(GROUP_SILENCE_MILLISECONDS, UNUSUAL_SILENCE_FACTOR * longestInterval)
    if (group.some(run => now - run.lastProgressAt() < limit)) return
    for (const incarnation of group[0]!.incarnations()) {
      const target = directory.findIncarnation(incarnation)
      if (target !== undefined) void verify(target, GROUP_REPORT_TIMEOUT_MILLISECONDS)
    }
  }

  async function pollFirstStage (first: Target, now: number): Promise<void> {
    const incarnation = incarnationOf(first)
    // A target that wants nothing for a time is not polled, so a missing report says nothing about it.
    if (directory.pauseRemaining(incarnation) > 0) return
    const history = polls.get(incarnation) ?? { polledAt: -Infinity, healthyPolls: 0, missedReports: 0 }
    if (!isDue(history, POLL_INTERVAL_MILLISECONDS, now)) return
    polls.set(incarnation, history)
    const report = await engines.report(first, REPORT_TIMEOUT_MILLISECONDS)
    if (report === undefined) {
      if (directory.pauseRemaining(incarnation) > 0) return
      void reach.check(first)
      history.missedReports += 1
      if (history.missedReports < MISSED_REPORTS_BEFORE_LOST) return
      history.missedReports = 0
      if (isLeavingOrGone(first) || await engines.isReachable(first)) return
      directory.suspect(first, STALL_SUSPICION_MILLISECONDS, 'no report in time', { isLoss: true })
      for (const run of [...runs]) if (incarnationOf(run.first) === incarnation && isSilent(run)) run.onFirstStageLost()
      return
    }
    history.missedReports = 0
    paths.setSlowness(incarnation, report.slowness)
    history.healthyPolls = report.stalled.length === 0 ? history.healthyPolls + 1 : 0
    const addresses = new Set(report.stalled.map(stalled => stalled.address))
    for (const address of addresses) {
      const stalledStage = directory.findByAddress(address)
      const ids = new Set(report.stalled.filter(stalled => stalled.address === address).map(stalled => stalled.requestId))
      log.warn(RelayEvent.StreamStalled, { first: first.id, address, target: stalledStage?.id, streams: ids.size })
      for (const run of [...runs]) if (ids.has(run.requestId) && isSilent(run)) run.onStageLost(stalledStage ?? run.first, false)
      if (stalledStage === undefined || incarnationOf(stalledStage) === incarnation) continue
      // Perhaps only the connection between the first stage and this one is cut, so it is polled directly before it is considered lost.
      // If it is in another failure domain it stays in use meanwhile, because paths within that domain do not need the connection.
      if (stalledStage.failureDomain === first.failureDomain) directory.suspect(stalledStage, VERIFICATION_SUSPICION_MILLISECONDS, 'streams stall at this target')
      // A fresh report of a stall outweighs earlier polls that found the stage healthy.
      const verification = verifications.get(incarnationOf(stalledStage))
      if (verification !== undefined) verification.healthyPolls = 0
      void verify(stalledStage)
    }
  }

  async function verify (target: Target, timeoutMilliseconds = REPORT_TIMEOUT_MILLISECONDS): Promise<void> {
    const incarnation = incarnationOf(target)
    if (directory.pauseRemaining(incarnation) > 0) return
    const history = verifications.get(incarnation) ?? { polledAt: -Infinity, healthyPolls: 0 }
    if (!isDue(history, VERIFY_INTERVAL_MILLISECONDS, performance.now())) return
    verifications.set(incarnation, history)
    const report = await engines.report(target, timeoutMilliseconds)
    if (directory.pauseRemaining(incarnation) > 0) return
    history.healthyPolls = report === undefined ? 0 : history.healthyPolls + 1
    if (report !== undefined) paths.setSlowness(incarnation, report.slowness)
    // A target that is only slow answers late, but its output still arrives: its streams are not ended.
    if (report !== undefined || isLeavingOrGone(target) || await engines.isReachable(target)) return
    directory.suspect(target, STALL_SUSPICION_MILLISECONDS, 'no report and unreachable', { isLoss: true })
  }

  /** Whether the target is leaving or no longer listed. It may then refuse connections but still completes its requests. */
  function isLeavingOrGone (target: Target): boolean {
    const listed = directory.find(target.id)
    return listed === undefined || listed.isLeaving
  }

  function isSilent (run: WatchedRun): boolean {
    return performance.now() - run.lastProgressAt() > run.expectedSilence()
  }

  directory.onLost((target, isLeaving) => {
    const incarnation = incarnationOf(target)
    for (const run of [...runs]) {
      if (!run.incarnations().includes(incarnation)) continue
      if (incarnationOf(run.first) === incarnation) {
        if (!isLeaving && isSilent(run)) run.onFirstStageLost()
      } else {
        run.onStageLost(target, isLeaving)
      }
    }
  })

  return {
    add (run) {
      runs.add(run)
      return () => { runs.delete(run) }
    },
    verify (target) {
      void verify(target)
    },
    size: () => runs.size
  }
}

/** Whether the stage may be polled now. If so, records the poll. */
function isDue (history: PollHistory, intervalMilliseconds: number, now: number): boolean {
  if (now - history.polledAt > BACKOFF_RESET_MILLISECONDS) history.healthyPolls = 0
  if (now - history.polledAt < intervalMilliseconds * 2 ** Math.min(history.healthyPolls, MAX_BACKOFF_DOUBLINGS)) return false
  history.polledAt = now
  return true
}
