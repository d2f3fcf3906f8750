/**
 * What a stage costs a request, in milliseconds a token: its share of a busy accelerator, the lag that was observed, less the
 * prefill that a held prompt prefix saves.
 */
import { EngineRole, RoutingLean, type ManifestTarget, type RandomSource } from '@wigeonlead/protocol'
import type { PathTimes } from '../process/path-times.js'
import type { PrefixMemory } from '../process/prefix-memory.js'
import type { Reports } from '../process/reports.js'
import { TargetAvailability, type TargetBoard } from '../process/targets.js'
import type { StageOption } from '../version/index.js'

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
  random: RandomSource
  /** @returns entry VMs that share the targets of a failure domain, this one included. */
  nodes: (failureDomain: string) => number
}

/** Costs of a stage. */
export interface StageCosts {
  /** @returns requests at a target, this node's and others'. */
  load: (target: ManifestTarget) => number
  /**
   * Whether this node may start one more request at a target: within its even share of the target's window, or up to what it ran
   * at the time of the last report and its even share of the room that was free then. So nodes that act on the same late report
   * don't overfill a target together, and those that hold a window don't keep the others out.
   */
  hasRoom: (target: ManifestTarget, windowShare: number) => boolean
  /** @returns the cost of a stage, milliseconds a token. */
  cost: (option: StageOption, prefix: string, weights: LeanWeights) => number
  /** @returns observed time a token at a target over its time when it runs as many as it is declared for. */
  slowness: (target: ManifestTarget) => number
}

const SUSPECT_MILLISECONDS = 10_000
const COUNT_INTERVAL_MILLISECONDS = 1000
const PREFILL_ROLE_MILLISECONDS = 1000
/** Share of a stage's cost that a held prefix saves: the prefill over an answer of usual length. */
const PREFIX_SAVING = 0.25
/** The smoothed load of others fades with this time constant, milliseconds. */
const LOAD_FADING_MILLISECONDS = 20_000
/** Lag below this is noise. */
const LEAST_LAG = 1.5
/** Cost of an idle stage, as a share of its cost in full use. */
const IDLE_SHARE = 0.5
/** How much a nearly full stage costs more. */
const STEEPNESS = 2

/** Makes the costs of stages. */
export function createStageCosts ({ targets, reports, times, prefixes, random, nodes }: StageCostParts): StageCosts {
  const shares = new WeakMap<ManifestTarget, number>()
  const counts = new Map<string, { nodes: number, at: number }>()

  function countNodes (failureDomain: string): number {
    const now = Date.now()
    const known = counts.get(failureDomain)
    if (known !== undefined && now - known.at < COUNT_INTERVAL_MILLISECONDS) return known.nodes
    const count = Math.max(1, nodes(failureDomain))
    counts.set(failureDomain, { nodes: count, at: now })
    return count
  }

  function load (target: ManifestTarget): number {
    const known = reports.load(target.name)
    const others = known === undefined ? 0 : known.others * Math.exp((known.madeAt - Date.now()) / LOAD_FADING_MILLISECONDS)
    return targets.inFlight(target.name) + others
  }

  function slowness (target: ManifestTarget): number {
    const observed = times.estimate(targetKey(target.name))
    return observed === undefined ? 1 : observed / (fullMilliseconds(target) * (shares.get(target) ?? 1))
  }

  function lag (target: ManifestTarget): number {
    const ratio = slowness(target)
    return ratio < LEAST_LAG ? 1 : ratio
  }

  return {
    load,
    slowness,
    hasRoom (target, windowShare) {
      const window = Math.max(1, Math.floor(targets.window(target.name, target.capacity) * windowShare))
      const own = targets.inFlight(target.name)
      const competitors = countNodes(target.failureDomain)
      if (own + random.nextFloat() < window / competitors) return true
      const known = reports.load(target.name)
      if (known === undefined) return false
      const free = (window - known.running) / competitors
      return own + random.nextFloat() < targets.inFlightAt(target.name, known.madeAt) + free
    },
    cost ({ target, share }, prefix, weights) {
      shares.set(target, share)
      const use = weights.load * (load(target) + 1) / target.capacity
      const congestion = IDLE_SHARE + use + STEEPNESS * use ** 4
      const saving = prefixes.isHeld(prefix, target.name) ? 1 - PREFIX_SAVING : 1
      const suspicion = targets.availability(target.name) === TargetAvailability.Suspect ? SUSPECT_MILLISECONDS : 0
      const role = target.role === EngineRole.Prefill ? PREFILL_ROLE_MILLISECONDS : 0
      return fullMilliseconds(target) * share * congestion * saving * lag(target) + weights.stageMilliseconds + suspicion + role
    }
  }
}

/** @returns the time between tokens of a session when a target runs as many as it is declared for, milliseconds. */
export function fullMilliseconds (target: ManifestTarget): number {
  return 1000 * target.capacity / target.tokensPerSecond
}

/** @returns the name under which a target's times are kept. */
export function targetKey (target: string): string {
  return `target ${target}`
}

/** @returns the name under which the times of a link between two failure domains are kept. */
export function linkKey (from: string, to: string): string {
  return `link ${from} ${to}`
}
