/**
 * What this node knows of its targets: requests in flight, concurrency windows, recent failures, whether a target is leaving.
 */
import { FailureKind, MemberState, type Failure } from '@wigeonlead/protocol'
import { createEjections } from './ejections.js'
import { createHeldParts, type HeldParts } from './held-parts.js'
import { createWindow, type Window } from './window.js'

/** Whether a target gets new work. */
export enum TargetAvailability {
  Serving = 'serving',
  /** Failed lately: used only where nothing else serves. */
  Suspect = 'suspect',
  /** Gets no new work. */
  Leaving = 'leaving'
}

/** The board of targets at one node. */
export interface TargetBoard extends HeldParts {
  availability: (target: string) => TargetAvailability
  inFlight: (target: string) => number
  /** @returns the work in flight at an earlier time, as far as it is remembered. */
  inFlightAt: (target: string, atMilliseconds: number) => number
  /** Counts one piece of work. @returns what ends it. */
  begin: (target: string) => () => void
  recordSuccess: (target: string) => void
  /** Takes note that a token passed a target. */
  recordProgress: (target: string) => void
  /** @returns when a token last passed a target, milliseconds since 1970; -Infinity where none did. */
  lastProgressAt: (target: string) => number
  /** Takes note of a failure: a refusal narrows the target's window, anything else makes it suspect. */
  recordFailure: (target: string, failure: Failure) => void
  /** Makes a target suspect that is much slower than its group. */
  ejectSlow: (target: string) => void
  /** Widens or narrows a target's window by how slow it is; 1 is as declared. */
  recordPace: (target: string, slowness: number) => void
  /** @returns how much work of all entry VMs a target of that capacity may have in flight. */
  window: (target: string, capacity: number) => number
  /** Takes note of a state learnt from peers, planned stops or the VM list; a suspicion ends by itself. */
  setState: (target: string, state: MemberState) => void
}

/** What the board needs. */
export interface TargetBoardParts {
  /** Targets that can stand in for one another; no group by default, and then no limit on how many are suspect. */
  groupOf?: (target: string) => readonly string[]
  /** Hears of each target that this node makes suspect. */
  onSuspect?: (target: string) => void
}

const HISTORY_MILLISECONDS = 12_000
const HISTORY_STEP_MILLISECONDS = 250
const UNLIMITED_CAPACITY = 1_000_000

/** Makes an empty board. */
export function createTargetBoard (parts: TargetBoardParts = {}): TargetBoard {
  const loads = new Map<string, Load>()
  const progress = new Map<string, number>()
  const states = new Map<string, MemberState>()
  const windows = new Map<string, Window>()
  const ejections = createEjections(parts.groupOf ?? (() => []))

  function windowOf (target: string, capacity: number): Window {
    let window = windows.get(target)
    if (window === undefined) {
      window = createWindow(capacity)
      windows.set(target, window)
    }
    return window
  }

  function suspect (target: string): void {
    if (ejections.eject(target)) parts.onSuspect?.(target)
  }

  function change (target: string, amount: number): void {
    const load = loads.get(target) ?? { inFlight: 0, history: [] }
    loads.set(target, load)
    load.inFlight += amount
    remember(load)
  }

  return {
    availability (target) {
      const state = states.get(target)
      if (state === MemberState.Leaving || state === MemberState.Gone) return TargetAvailability.Leaving
      return ejections.isEjected(target) ? TargetAvailability.Suspect : TargetAvailability.Serving
    },
    inFlight: target => loads.get(target)?.inFlight ?? 0,
    inFlightAt: (target, atMilliseconds) => loads.get(target)?.history.findLast(entry => entry.at <= atMilliseconds)?.inFlight ?? 0,
    begin (target) {
      change(target, 1)
      let isEnded = false
      return () => {
        if (isEnded) return
        isEnded = true
        change(target, -1)
      }
    },
    recordSuccess: target => { ejections.recordSuccess(target) },
    recordProgress: target => { progress.set(target, Date.now()) },
    lastProgressAt: target => progress.get(target) ?? -Infinity,
    recordFailure (target, failure) {
      if (failure.kind === FailureKind.Refused) windowOf(target, UNLIMITED_CAPACITY).recordRefusal()
      else suspect(target)
    },
    ejectSlow: suspect,
    recordPace: (target, slowness) => { windowOf(target, UNLIMITED_CAPACITY).recordPace(slowness) },
    window: (target, capacity) => windowOf(target, capacity).size(capacity),
    setState (target, state) {
      if (state === MemberState.Suspect) ejections.eject(target)
      else states.set(target, state)
    },
    ...createHeldParts()
  }
}

interface Load {
  inFlight: number
  history: Array<{ at: number, inFlight: number }>
}

function remember (load: Load): void {
  const now = Date.now()
  const last = load.history.at(-1)
  if (last !== undefined && now - last.at < HISTORY_STEP_MILLISECONDS) last.inFlight = load.inFlight
  else load.history.push({ at: now, inFlight: load.inFlight })
  while ((load.history[0]?.at ?? now) < now - HISTORY_MILLISECONDS && load.history.length > 1) load.history.shift()
}
