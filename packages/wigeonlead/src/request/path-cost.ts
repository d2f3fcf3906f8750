/**
 * Computes the cost of a stage for a request, in milliseconds a token: the time that the stage's layers take at the present load, times
 * the target's observed slowdown, less the prefill that a cached prompt prefix saves. A fixed cost for each stage is added, and penalties
 * for suspect targets and prefill engines.
 */
import { EngineRole, RoutingPreference, type ManifestTarget, type RandomSource } from '@wigeonlead/protocol'
import type { PathTimes } from '../process/path-times.js'
import type { PrefixCacheIndex } from '../process/prefix-memory.js'
import type { LoadReports } from '../process/reports.js'
import { TargetAvailability, type TargetTracker } from '../process/targets.js'
import type { StageOption } from '../version/index.js'

/** Weights of the terms of a path's cost. */
export interface PathCostWeights {
  load: number
  link: number
  /** Cost of each stage, milliseconds a token, since every further stage can fail. */
  stageMilliseconds: number
  /** Share of a target's concurrency window that may be used. */
  windowShare: number
}

/** The weights for each routing preference of the manifest (`routing.lean`). */
export const PATH_COST_WEIGHTS: Record<RoutingPreference, PathCostWeights> = {
  [RoutingPreference.Balanced]: { load: 1, link: 1, stageMilliseconds: 0.2, windowShare: 1 },
  [RoutingPreference.Recovery]: { load: 1, link: 1.5, stageMilliseconds: 1, windowShare: 0.9 },
  [RoutingPreference.Throughput]: { load: 1.5, link: 0.5, stageMilliseconds: 0, windowShare: 1 }
}

/** Dependencies of the stage costs. */
export interface StageCostDependencies {
  targets: TargetTracker
  reports: Pick<LoadReports, 'load'>
  times: PathTimes
  prefixes: PrefixCacheIndex
  random: RandomSource
  /** @returns the number of entry VMs that share the targets of a failure domain, this one included. */
  countNodes: (failureDomain: string) => number
}

/** Costs, load and capacity of stages. */
export interface StageCosts {
  /** @returns the number of requests in flight at a target, from this node and from other nodes. */
  load: (target: ManifestTarget) => number
  /**
   * Tells whether this node may start one more request at a target. It may use its even share of the target's window. Beyond that, it may
   * run as many requests as at the time of the last report, plus its even share of the capacity that was free then. This prevents nodes
   * that act on the same stale report from overfilling a target together, and nodes that fill a window from excluding the others.
   * A share that is not a whole number of requests is rounded up or down at random.
   * @param windowShare share of the target's window that may be used.
   */
  hasCapacity: (target: ManifestTarget, windowShare: number) => boolean
  /** @returns the cost of a stage, milliseconds a token. */
  cost: (option: StageOption, prefix: string, weights: PathCostWeights) => number
  /** @returns the observed time between tokens at a target, divided by its time between tokens at declared capacity. */
  slowness: (target: ManifestTarget) => number
}

/** Cost added for a suspect target, milliseconds a token. */
const SUSPECT_PENALTY_MILLISECONDS = 10_000
/** How long the number of nodes of a failure domain is cached. */
const NODE_COUNT_CACHE_MILLISECONDS = 1000
/** Cost added for an engine whose role is prefill, milliseconds a token. */
const PREFILL_ROLE_PENALTY_MILLISECONDS = 1000
/** Share of a stage's cost that a cached prefix saves: the prefill, compared with an answer of typical length. */
const PREFIX_SAVING = 0.25
/** Time constant with which the load that other nodes put on a target decays after its last report. */
const LOAD_DECAY_MILLISECONDS = 20_000
/** Slowness below this value is noise and adds no cost. */
const MINIMUM_SLOWDOWN = 1.5
/** Cost of an idle stage, as a share of its cost at full load. */
const IDLE_COST_SHARE = 0.5
/** Weight of the cost that rises steeply as a stage nears its capacity. */
const CONGESTION_STEEPNESS = 2

/** Creates the costs of stages. */
export function createStageCosts ({ targets, reports, times, prefixes, random, countNodes }: StageCostDependencies): StageCosts {
  const layerShares = new WeakMap<ManifestTarget, number>()
  const nodeCounts = new Map<string, { nodes: number, at: number }>()

  function cachedNodeCount (failureDomain: string): number {
    const now = Date.now()
    const cached = nodeCounts.get(failureDomain)
    if (cached !== undefined && now - cached.at < NODE_COUNT_CACHE_MILLISECONDS) return cached.nodes
    const count = Math.max(1, countNodes(failureDomain))
    nodeCounts.set(failureDomain, { nodes: count, at: now })
    return count
  }

  function load (target: ManifestTarget): number {
    const report = reports.load(target.name)
    const otherNodesLoad = report === undefined
      ? 0
      : report.othersRunning * Math.exp((report.reportedAt - Date.now()) / LOAD_DECAY_MILLISECONDS)
    return targets.inFlight(target.name) + otherNodesLoad
  }

  function slowness (target: ManifestTarget): number {
    const observed = times.estimate(targetKey(target.name))
    return observed === undefined ? 1 : observed / (fullLoadMilliseconds(target) * (layerShares.get(target) ?? 1))
  }

  function slowdownFactor (target: ManifestTarget): number {
    const ratio = slowness(target)
    return ratio < MINIMUM_SLOWDOWN ? 1 : ratio
  }

  return {
    load,
    slowness,
    hasCapacity (target, windowShare) {
      const window = Math.max(1, Math.floor(targets.window(target.name, target.capacity) * windowShare))
      const ownInFlight = targets.inFlight(target.name)
      const sharingNodes = cachedNodeCount(target.failureDomain)
      if (ownInFlight + random.nextFloat() < window / sharingNodes) return true
      const report = reports.load(target.name)
      if (report === undefined) return false
      const freePerNode = (window - report.running) / sharingNodes
      return ownInFlight + random.nextFloat() < targets.inFlightAt(target.name, report.reportedAt) + freePerNode
    },
    cost ({ target, share }, prefix, weights) {
      layerShares.set(target, share)
      const utilization = weights.load * (load(target) + 1) / target.capacity
      const congestion = IDLE_COST_SHARE + utilization + CONGESTION_STEEPNESS * utilization ** 4
      const prefixFactor = prefixes.isLikelyCached(prefix, target.name) ? 1 - PREFIX_SAVING : 1
      const suspectPenalty = targets.availability(target.name) === TargetAvailability.Suspect ? SUSPECT_PENALTY_MILLISECONDS : 0
      const rolePenalty = target.role === EngineRole.Prefill ? PREFILL_ROLE_PENALTY_MILLISECONDS : 0
      return fullLoadMilliseconds(target) * share * congestion * prefixFactor * slowdownFactor(target) +
        weights.stageMilliseconds + suspectPenalty + rolePenalty
    }
  }
}

/** @returns the time between tokens of a session at a target that runs as many sessions as its declared capacity, milliseconds. */
export function fullLoadMilliseconds (target: ManifestTarget): number {
  return 1000 * target.capacity / target.tokensPerSecond
}

/** @returns the key of a target's time estimate. */
export function targetKey (target: string): string {
  return `target ${target}`
}

/** @returns the key of the time estimate of a link between two failure domains. */
export function linkKey (from: string, to: string): string {
  return `link ${from} ${to}`
}
