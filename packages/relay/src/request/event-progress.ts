/**
 * How the runs of a request whose answer is a series of events have gone so far.
 */
import type { TargetState } from '../process/suspicion/target-life.js'
import type { Target } from '../version/target.js'
import type { AdmittedRequest } from './context.js'

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

/** The end of a run at a target of which it was not known in time whether it still ran. */
export interface UnprovenEnd {
  /** Id of the target. */
  target: string
  /** Number of the last event that was forwarded before the end. */
  lastEvent?: number
  /** Resolves as soon as it is known, or when the wait is over. */
  state: Promise<TargetState>
  /** Whether the target is known to have survived the end, so that the end was the end of the answer. */
  isRegular: boolean
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
  /** The end of an earlier run, where it was not known in time whether it was the end of the answer. */
  unprovenEnd?: UnprovenEnd
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

/** Records the time of an event that was just forwarded. */
export function recordEventTime (progress: EventsProgress): void {
  const now = performance.now()
  progress.firstEventAt ??= now
  progress.longestPauseMilliseconds = Math.max(progress.longestPauseMilliseconds ?? 0, now - (progress.latestEventAt ?? now))
  progress.latestEventAt = now
}
