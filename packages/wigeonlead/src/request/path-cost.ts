/**
 * What a stage costs a request, in milliseconds a token: its share of a busy accelerator, the lag that was observed, less the
 * prefill that a held prompt prefix saves.
 */
import { EngineRole, RoutingLean, type ManifestTarget } from '@wigeonlead/protocol'
import type { PathTimes } from '../process/path-times.js'
import type { PrefixMemory } from '../process/prefix-memory.js'
import type { Reports } from '../process/reports.js'
import { TargetAvailability, type TargetBoard } from '../process/targets.js'

/** How much each part of the cost weighs. */
export interface LeanWeights {
  load: number
  link: number
  /** Cost of each further stage, milliseconds a token: one more that can fail. */
  stageMilliseconds: number
  /** Share of a target's window that is used. */
  windowShare: number
}

/** The weights of each lean. */
export const LEAN_WEIGHTS: Record<RoutingLean, LeanWeights> = {
  [RoutingLean.Balanced]: { load: 1, link: 1, stageMilliseconds: 0.2, windowShare: 1 },
  [RoutingLean.Recovery]: { load: 1, link: 1.5, stageMilliseconds: 1, windowShare: 0.9 },
  [RoutingLean.Throughput]: { load: 1.5, link: 0.5, stageMilliseconds: 0, windowShare: 1 }
}

/** What stage costs are made of. */
export interface StageCostParts {
  targets: TargetBoard
  reports: Pick<Reports, 'load'>
  times: PathTimes
  prefixes: PrefixMemory
}

/** Costs of a stage. */
export interface StageCosts {
  /** @returns requests at a target, this node's and others'. */
  load: (target: ManifestTarget) => number
  /** Whether this node may start one more request at a target. */
  hasRoom: (target: ManifestTarget, weights: LeanWeights) => boolean
  /** @returns the cost of a stage, milliseconds a token. */
  cost: (target: ManifestTarget, prefix: string, weights: LeanWeights) => number
  /** @returns observed time a token over the time that its load explains, at least 1. */
  slowness: (target: ManifestTarget) => number
}

const SUSPECT_MILLISECONDS = 10_000
const PREFILL_ROLE_MILLISECONDS = 1000
/** Share of a stage's cost that a held prefix saves: the prefill over an answer of usual length. */
const PREFIX_SAVING = 0.25
/** The smoothed load of others fades with this time constant, milliseconds. */
const LOAD_FADING_MILLISECONDS = 20_000
/** Lag below this is noise. */
const LEAST_SLOWNESS = 1.5

/** Makes the costs of stages. */
export function createStageCosts ({ targets, reports, times, prefixes }: StageCostParts): StageCosts {
  function load (target: ManifestTarget): number {
    const known = reports.load(target.name)
    const others = known === undefined ? 0 : known.others * Math.exp((known.madeAt - Date.now()) / LOAD_FADING_MILLISECONDS)
    return targets.inFlight(target.name) + others
  }

  function slowness (target: ManifestTarget): number {
    const observed = times.estimate(targetKey(target.name))
    if (observed === undefined) return 1
    const full = 1000 * target.capacity / target.tokensPerSecond
    const ratio = observed / Math.max(full, 1000 * load(target) / target.tokensPerSecond)
    return ratio < LEAST_SLOWNESS ? 1 : ratio
  }

  return {
    load,
    slowness,
    hasRoom (target, weights) {
      const window = Math.max(1, Math.floor(targets.window(target.name, target.capacity) * weights.windowShare))
      const ceiling = Math.max(1, target.capacity * weights.windowShare)
      return targets.inFlight(target.name) < window && load(target) < ceiling
    },
    cost (target, prefix, weights) {
      const share = 1000 * (load(target) + 1) / target.tokensPerSecond
      const saving = prefixes.isHeld(prefix, target.name) ? 1 - PREFIX_SAVING : 1
      const suspicion = targets.availability(target.name) === TargetAvailability.Suspect ? SUSPECT_MILLISECONDS : 0
      const role = target.role === EngineRole.Prefill ? PREFILL_ROLE_MILLISECONDS : 0
      return share * weights.load * saving * slowness(target) + weights.stageMilliseconds + suspicion + role
    }
  }
}

/** @returns the name under which a target's times are kept. */
export function targetKey (target: string): string {
  return `target ${target}`
}

/** @returns the name under which the times of a link between two failure domains are kept. */
export function linkKey (from: string, to: string): string {
  return `link ${from} ${to}`
}
