/**
 * State of the targets as this node knows it: requests in flight, concurrency windows, recent failures and whether a target is leaving.
 */
import { FailureKind, MemberState, type Failure } from '@wigeonlead/protocol'
import { createEjections } from './ejections.js'
import { createHeldPartIndex, type HeldPartIndex } from './held-parts.js'
import { createConcurrencyWindow, type ConcurrencyWindow } from './window.js'

/** Whether a target gets new work. */
export enum TargetAvailability {
  Serving = 'serving',
  /** Failed or lagged recently: avoided while other targets can serve. */
  Suspect = 'suspect',
  /** Gets no new work. */
  Leaving = 'leaving'
}

/** Tracks the state of the targets at one node. */
export interface TargetTracker extends HeldPartIndex {
  availability: (target: string) => TargetAvailability
  inFlight: (target: string) => number
  /** @returns the work in flight at an earlier time, or 0 if the history does not go back that far. */
  inFlightAt: (target: string, atMilliseconds: number) => number
  /** Counts one unit of work as in flight. @returns a function that ends it. */
  begin: (target: string) => () => void
  recordSuccess: (target: string) => void
  /** Records that a token passed a target. */
  recordProgress: (target: string) => void
  /** @returns when a token last passed a target, milliseconds since 1970; -Infinity if none did. */
  lastProgressAt: (target: string) => number
  /** Records a failure: a refusal narrows the target's window, any other failure may make it suspect. */
  recordFailure: (target: string, failure: Failure) => void
  /** Makes a target suspect because it is much slower than its replicas, unless more than half of them would be. */
  ejectSlow: (target: string) => void
  /**
   * Widens or narrows a target's window.
   * @param slowness ratio of the observed time per token to the time per token at the declared capacity; 1 if they are equal.
   */
  recordSlowness: (target: string, slowness: number) => void
  /** @returns how much work a target of the given capacity may have in flight, over all entry VMs together. */
  window: (target: string, capacity: number) => number
  /** Records a state learnt from peers, planned stops or the VM list. A suspect state ends by itself after some time. */
  setState: (target: string, state: MemberState) => void
}

/** Options of the tracker. */
export interface TargetTrackerOptions {
  /** Targets that can replace a target; none by default, and then any number of targets may be suspect. */
  replicasOf?: (target: string) => readonly string[]
  /** Called with each target that this node makes suspect. */
  onSuspect?: (target: string) => void
}

const HISTORY_MILLISECONDS = 12_000
const HISTORY_STEP_MILLISECONDS = 250
const UNLIMITED_CAPACITY = 1_000_000

/** Creates a tracker without targets. */
export function createTargetTracker (options: TargetTrackerOptions = {}): TargetTracker {
  const histories = new Map<string, InFlightHistory>()
  const lastProgress = new Map<string, number>()
  const states = new Map<string, MemberState>()
  const windows = new Map<string, ConcurrencyWindow>()
  const ejections = createEjections(options.replicasOf ?? (() => []))

  function windowOf (target: string, capacity: number): ConcurrencyWindow {
    let window = windows.get(target)
    if (window === undefined) {
      window = createConcurrencyWindow(capacity)
      windows.set(target, window)
    }
    return window
  }

  function eject (target: string): void {
    if (ejections.eject(target)) options.onSuspect?.(target)
  }

  function adjustInFlight (target: string, amount: number): void {
    const history = histories.get(target) ?? { inFlight: 0, samples: [] }
    histories.set(target, history)
    history.inFlight += amount
    recordHistory(history)
  }

  return {
    availability (target) {
      const state = states.get(target)
      if (state === MemberState.Leaving || state === MemberState.Gone) return TargetAvailability.Leaving
      return ejections.isEjected(target) ? TargetAvailability.Suspect : TargetAvailability.Serving
    },
    inFlight: target => histories.get(target)?.inFlight ?? 0,
    inFlightAt: (target, atMilliseconds) => histories.get(target)?.samples.findLast(entry => entry.at <= atMilliseconds)?.inFlight ?? 0,
    begin (target) {
      adjustInFlight(target, 1)
      let isEnded = false
      return () => {
        if (isEnded) return
        isEnded = true
        adjustInFlight(target, -1)
      }
    },
    recordSuccess: target => { ejections.recordSuccess(target) },
    recordProgress: target => { lastProgress.set(target, Date.now()) },
    lastProgressAt: target => lastProgress.get(target) ?? -Infinity,
    recordFailure (target, failure) {
      if (failure.kind === FailureKind.Refused) windowOf(target, UNLIMITED_CAPACITY).recordRefusal()
      else eject(target)
    },
    ejectSlow: eject,
    recordSlowness: (target, slowness) => { windowOf(target, UNLIMITED_CAPACITY).recordSlowness(slowness) },
    window: (target, capacity) => windowOf(target, capacity).size(capacity),
    setState (target, state) {
      if (state === MemberState.Suspect) ejections.eject(target)
      else states.set(target, state)
    },
    ...createHeldPartIndex()
  }
}

interface InFlightHistory {
  inFlight: number
  samples: Array<{ at: number, inFlight: number }>
}

function recordHistory (history: InFlightHistory): void {
  const now = Date.now()
  const latest = history.samples.at(-1)
  if (latest !== undefined && now - latest.at < HISTORY_STEP_MILLISECONDS) latest.inFlight = history.inFlight
  else history.samples.push({ at: now, inFlight: history.inFlight })
  while ((history.samples[0]?.at ?? now) < now - HISTORY_MILLISECONDS && history.samples.length > 1) history.samples.shift()
}
