/**
 * Times one epoch along one path: sets the stall timeout for its next token, and updates the time estimates of the path's targets and
 * links from the tokens that arrive.
 */
import type { PathStage } from '@wigeonlead/protocol'
import type { FirstTokenTimes } from '../process/first-token-times.js'
import type { PathComponent, PathTimes } from '../process/path-times.js'
import type { TargetTracker } from '../process/targets.js'
import type { CompiledVersion } from '../version/index.js'
import type { StageCosts } from './path-cost.js'

/** One epoch that runs along one path. */
export interface PathRun {
  /** Records how long the next token took to arrive, milliseconds. */
  recordToken: (milliseconds: number) => void
  /**
   * Records a stall for which no stage was found to be at fault: the path may be slower than its estimate.
   * @param milliseconds how long the epoch waited for the token.
   */
  recordStall: (milliseconds: number) => void
  /** @returns how long to wait for the next token before the path counts as stalled, milliseconds. */
  stallTimeout: () => number
  /** Ends the run, and makes those of its targets suspect that are much slower than their replicas. */
  end: () => void
}

/** Dependencies of a run. */
export interface PathRunDependencies {
  times: PathTimes
  firstTokens: FirstTokenTimes
  targets: TargetTracker
  costs: StageCosts
}

/** The model, the path and the prefill length of a run. */
export interface PathRunOptions {
  version: CompiledVersion
  model: string
  stages: PathStage[]
  pathComponents: PathComponent[]
  /** Characters of the prompt and of the delivered tokens, which are prefilled. */
  characters: number
}

/** The slowness of the path's targets is recorded each time that this many tokens have arrived. */
const SLOWNESS_INTERVAL_TOKENS = 16
/** A target with this slowness or more is ejected if its replicas are healthy. */
const EJECTION_SLOWNESS = 5
/** The replicas of a target are healthy if their median slowness is below this value. */
const HEALTHY_SLOWNESS = 2

/** Begins a run along a path. */
export function beginPathRun (dependencies: PathRunDependencies, options: PathRunOptions): PathRun {
  const { version, model, stages, characters } = options
  const observer = dependencies.times.observePath(options.pathComponents)
  let tokens = 0

  function recordTargetSlowness (): void {
    for (const stage of stages) {
      const target = version.targets.get(stage.target)
      if (target !== undefined) dependencies.targets.recordSlowness(stage.target, dependencies.costs.slowness(target))
    }
  }

  function slownessOf (name: string): number {
    const target = version.targets.get(name)
    return target === undefined ? 1 : dependencies.costs.slowness(target)
  }

  function ejectSlowTargets (): void {
    for (const { target } of stages) {
      if (slownessOf(target) < EJECTION_SLOWNESS) continue
      const replicaSlownesses = version.replicasOf(target).filter(replica => replica !== target).map(slownessOf)
        .sort((left, right) => left - right)
      if (
        (replicaSlownesses[Math.floor(replicaSlownesses.length / 2)] ?? Infinity) < HEALTHY_SLOWNESS
      ) dependencies.targets.ejectSlow(target)
    }
  }

  return {
    recordToken (milliseconds) {
      tokens += 1
      for (const stage of stages) dependencies.targets.recordProgress(stage.target)
      if (tokens === 1) {
        dependencies.firstTokens.record(model, characters, milliseconds)
        return
      }
      observer.record(milliseconds)
      if (tokens % SLOWNESS_INTERVAL_TOKENS === 0) recordTargetSlowness()
    },
    recordStall (milliseconds) {
      if (tokens > 0) observer.record(milliseconds)
    },
    stallTimeout: () => tokens === 0 ? dependencies.firstTokens.stallTimeout(model, characters) : observer.stallTimeout(),
    end: ejectSlowTargets
  }
}
