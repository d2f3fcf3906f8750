/**
 * What this node knows of its targets: requests in flight, recent failures, whether a target is leaving.
 */
import { MemberState, type EngineReport, type Failure, type LayerRange, type ModelReference } from '@wigeonlead/protocol'

/** Whether a target gets new work. */
export enum TargetAvailability {
  Serving = 'serving',
  /** Failed lately: used only where nothing else serves. */
  Suspect = 'suspect',
  /** Gets no new work. */
  Leaving = 'leaving'
}

/** The board of targets at one node. */
export interface TargetBoard {
  availability: (target: string) => TargetAvailability
  inFlight: (target: string) => number
  /** Counts one piece of work. @returns what ends it. */
  begin: (target: string) => () => void
  recordSuccess: (target: string) => void
  recordFailure: (target: string, failure: Failure) => void
  /** Takes note of a state learnt from peers, planned stops or the VM list. */
  setState: (target: string, state: MemberState) => void
  /** Takes note of which parts a target holds. */
  noteHeld: (report: EngineReport) => void
  /** Tells whether a target holds a part of a model, ready to serve; undefined where no report was seen, treated as usable. */
  holds: (target: string, reference: ModelReference, layers: LayerRange) => boolean | undefined
}

const SUSPICION_MILLISECONDS = 2000

/** Makes an empty board. */
export function createTargetBoard (): TargetBoard {
  const inFlight = new Map<string, number>()
  const suspectUntil = new Map<string, number>()
  const states = new Map<string, MemberState>()
  const heldParts = new Map<string, EngineReport['held']>()

  return {
    availability (target) {
      const state = states.get(target)
      if (state === MemberState.Leaving || state === MemberState.Gone) return TargetAvailability.Leaving
      return (suspectUntil.get(target) ?? 0) > Date.now() ? TargetAvailability.Suspect : TargetAvailability.Serving
    },
    inFlight: target => inFlight.get(target) ?? 0,
    begin (target) {
      inFlight.set(target, (inFlight.get(target) ?? 0) + 1)
      let isEnded = false
      return () => {
        if (isEnded) return
        isEnded = true
        inFlight.set(target, (inFlight.get(target) ?? 1) - 1)
      }
    },
    recordSuccess: target => { suspectUntil.delete(target) },
    recordFailure: target => { suspectUntil.set(target, Date.now() + SUSPICION_MILLISECONDS) },
    setState: (target, state) => { states.set(target, state) },
    noteHeld: report => { heldParts.set(report.target, report.held) },
    holds: (target, { model, version, adapter }, layers) => heldParts.get(target)?.some(part =>
      part.model === model && part.version === version && part.layers.from <= layers.from && part.layers.to >= layers.to &&
      (adapter === undefined || part.adapters.includes(adapter)))
  }
}
