/**
 * Finds stages that hold up streams: a stream that is silent for longer than its path explains has its first stage asked what it
 * waits for. What is found moves every stream that crosses the stage, not only the one that was silent.
 */
import type { EngineClient } from '../connection/engine-client.js'
import { lifeOf, type Target } from '../version/target.js'
import { repeatInBackground } from './background.js'
import type { Directory } from './directory.js'
import type { PathFinder } from './path-finder.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** One stream under way, as the watch sees it. */
export interface WatchedRun {
  requestId: string
  first: Target
  /** Lives of all stages' targets. */
  lives: () => readonly string[]
  /** Steady time of the last event, or of the send, milliseconds. */
  lastProgress: () => number
  /** Silence that needs no explanation, milliseconds. */
  expectedSilence: () => number
  /** A stage is lost, leaves or holds the stream up: moves to another. */
  onStageLost: (target: Target, isLeaving: boolean) => void
  /** Usual time between its events, milliseconds. */
  usualPause: () => number
  /** Whether an event has come. */
  hasBegun: () => boolean
  /** The first stage itself does not answer. */
  onFirstLost: () => void
}

/** Watches streams. */
export interface StreamWatch {
  /** @returns a function that ends the watch of this run. */
  add: (run: WatchedRun) => () => void
  /** Asks a stage that is said to be at fault for its report: one that gives none is lost, not only full. */
  verify: (target: Target) => void
  /** Streams under way. */
  size: () => number
}

const TICK_MILLISECONDS = 20
/** One first stage is asked at most so often, milliseconds: its report lags by some hundred. */
const ASK_INTERVAL_MILLISECONDS = 120
/** Each answer that explains no silence doubles the time to the next question, so many times: a busy path is silent often. */
const MOST_DOUBLINGS = 2
/** A question so long after the last one begins anew, milliseconds: what was busy then tells nothing of now. */
const ASK_RESET_MILLISECONDS = 3000
/** Streams of one path that are all silent for so long at once tell of a lost stage, milliseconds: some times the usual pause. */
const GROUP_SILENCE_MILLISECONDS = 80
/** Silence of a group that is no longer usual, in its usual pauses. */
const USUAL_PAUSES_OF_SILENCE = 2.5
/** Streams that make a group; one alone may just be slow. */
const LEAST_GROUP = 3
/** Time for the report of a stage whose streams are all silent, milliseconds: ten times the usual, so that a pause stays short. */
const GROUP_REPORT_LIMIT_MILLISECONDS = 60
/** A report that takes longer counts as missed, milliseconds: some ten times its usual time. */
const REPORT_LIMIT_MILLISECONDS = 150
/** A stage in doubt takes no new work for so long, milliseconds: until it has been asked. */
const DOUBT_SUSPICION_MILLISECONDS = 400
/** One stage is verified at most so often, milliseconds: as long as a refusal keeps work away from it; less often while it is well. */
const VERIFY_INTERVAL_MILLISECONDS = 400
/** So many missed reports in a row make a first stage lost. */
const MISSED_REPORTS_OF_LOST = 2
/** A stage that holds up work takes no new work for so long, milliseconds: until its entry lapses or it has moved on. */
const STALL_SUSPICION_MILLISECONDS = 4500

/** Questions to one stage. */
interface Asked {
  /** Steady time of the last one, milliseconds. */
  at: number
  /** Answers in a row that explained nothing. */
  vain: number
}

/** Starts a watch that ends with the signal. */
export function createStreamWatch (
  directory: Directory, engines: EngineClient, paths: PathFinder, log: RelayLog, signal: AbortSignal
): StreamWatch {
  const runs = new Set<WatchedRun>()
  const verified = new Map<string, Asked>()
  const asked = new Map<string, Asked & { missed: number }>()

  repeatInBackground(TICK_MILLISECONDS, signal, () => {
    const now = performance.now()
    const silent = new Map<string, Target>()
    for (const run of runs) if (now - run.lastProgress() > run.expectedSilence()) silent.set(lifeOf(run.first), run.first)
    for (const first of silent.values()) void ask(first, now)
    for (const group of groupsByPath().values()) askStages(group, now)
  })

  function groupsByPath (): Map<string, WatchedRun[]> {
    const groups = new Map<string, WatchedRun[]>()
    for (const run of runs) {
      if (!run.hasBegun()) continue
      const path = run.lives().join()
      groups.set(path, [...groups.get(path) ?? [], run])
    }
    return groups
  }

  /** A dead stage stops all streams of its path at the same moment, long before the first stage's report shows it. */
  function askStages (group: readonly WatchedRun[], now: number): void {
    if (group.length < LEAST_GROUP) return
    // Streams of a path move in step with its passes, so a busy path is silent for longer.
    const usual = Math.max(...group.map(run => run.usualPause()))
    const limit = Math.max(GROUP_SILENCE_MILLISECONDS, USUAL_PAUSES_OF_SILENCE * usual)
    if (group.some(run => now - run.lastProgress() < limit)) return
    for (const life of group[0]!.lives()) {
      const target = directory.living(life)
      if (target !== undefined) void verify(target, GROUP_REPORT_LIMIT_MILLISECONDS)
    }
  }

  async function ask (first: Target, now: number): Promise<void> {
    const life = lifeOf(first)
    const known = asked.get(life) ?? { at: -Infinity, vain: 0, missed: 0 }
    if (!isDue(known, ASK_INTERVAL_MILLISECONDS, now)) return
    asked.set(life, known)
    const report = await engines.report(first, REPORT_LIMIT_MILLISECONDS)
    if (report === undefined) {
      known.missed += 1
      if (known.missed < MISSED_REPORTS_OF_LOST) return
      known.missed = 0
      if (isGoing(first) || await engines.isReachable(first)) return
      directory.suspect(first, STALL_SUSPICION_MILLISECONDS, 'no report in time', { isLoss: true })
      for (const run of [...runs]) if (lifeOf(run.first) === life && isSilent(run)) run.onFirstLost()
      return
    }
    known.missed = 0
    paths.noteSlowness(life, report.slowness)
    known.vain = report.stalled.length === 0 ? known.vain + 1 : 0
    const addresses = new Set(report.stalled.map(stalled => stalled.address))
    for (const address of addresses) {
      const culprit = directory.at(address)
      const ids = new Set(report.stalled.filter(stalled => stalled.address === address).map(stalled => stalled.requestId))
      log.warn(RelayEvent.StreamStalled, { first: first.id, address, target: culprit?.id, streams: ids.size })
      for (const run of [...runs]) if (ids.has(run.requestId) && isSilent(run)) run.onStageLost(culprit ?? run.first, false)
      if (culprit === undefined || lifeOf(culprit) === life) continue
      // The stage may be well and only the way to it cut: it is asked itself before it is held to be lost, and between failure domains
      // it stays in use meanwhile, since paths within its own do not need that way.
      if (culprit.failureDomain === first.failureDomain) directory.suspect(culprit, DOUBT_SUSPICION_MILLISECONDS, 'streams wait for it')
      // What a report tells of it counts more than that it was well before.
      const known = verified.get(lifeOf(culprit))
      if (known !== undefined) known.vain = 0
      void verify(culprit)
    }
  }

  async function verify (target: Target, limitMilliseconds = REPORT_LIMIT_MILLISECONDS): Promise<void> {
    const life = lifeOf(target)
    const known = verified.get(life) ?? { at: -Infinity, vain: 0 }
    if (!isDue(known, VERIFY_INTERVAL_MILLISECONDS, performance.now())) return
    verified.set(life, known)
    const report = await engines.report(target, limitMilliseconds)
    known.vain = report === undefined ? 0 : known.vain + 1
    if (report !== undefined) paths.noteSlowness(life, report.slowness)
    // A target that is only slow answers late, and what it has made is still to come: its streams are not ended for that.
    if (report !== undefined || isGoing(target) || await engines.isReachable(target)) return
    directory.suspect(target, STALL_SUSPICION_MILLISECONDS, 'at fault and out of reach', { isLoss: true })
  }

  /** A target that leaves may take no connection any more, and still goes on with what it has. */
  function isGoing (target: Target): boolean {
    const listed = directory.find(target.id)
    return listed === undefined || listed.isLeaving
  }

  function isSilent (run: WatchedRun): boolean {
    return performance.now() - run.lastProgress() > run.expectedSilence()
  }

  directory.onLost((target, isLeaving) => {
    const life = lifeOf(target)
    for (const run of [...runs]) {
      if (!run.lives().includes(life)) continue
      if (lifeOf(run.first) === life) {
        if (!isLeaving && isSilent(run)) run.onFirstLost()
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

/** Whether a stage may be asked again; notes that it is. */
function isDue (known: Asked, intervalMilliseconds: number, now: number): boolean {
  if (now - known.at > ASK_RESET_MILLISECONDS) known.vain = 0
  if (now - known.at < intervalMilliseconds * 2 ** Math.min(known.vain, MOST_DOUBLINGS)) return false
  known.at = now
  return true
}
