/**
 * The times of one epoch along one path: how long to wait for its tokens, and what its tokens say of the targets and links.
 */
import type { PathStage } from '@wigeonlead/protocol'
import type { FirstTokenTimes } from '../process/first-token-times.js'
import type { PathPart, PathTimes } from '../process/path-times.js'
import type { TargetBoard } from '../process/targets.js'
import type { CompiledVersion } from '../version/index.js'
import type { StageCosts } from './path-cost.js'

/** One epoch along one path. */
export interface PathRun {
  /** Takes note of the time in which the next token came, milliseconds. */
  recordToken: (milliseconds: number) => void
  /** Takes note of a stall without a stage to blame: the path may be slower than it was known to be. */
  recordStall: (milliseconds: number) => void
  /** @returns how long to wait for the next token before the path counts as stalled, milliseconds. */
  stallTimeout: () => number
  /** Ends the run. */
  end: () => void
}

/** What a run needs. */
export interface PathRunParts {
  times: PathTimes
  firstTokens: FirstTokenTimes
  targets: TargetBoard
  costs: StageCosts
}

/** What runs along which path. */
export interface PathRunOptions {
  version: CompiledVersion
  model: string
  stages: PathStage[]
  pathParts: PathPart[]
  /** Characters to prefill. */
  characters: number
}

const TOKENS_A_PACE = 16
const SLOW_FACTOR = 5
const SOUND_FACTOR = 2

/** Begins a run. */
export function beginPathRun (parts: PathRunParts, options: PathRunOptions): PathRun {
  const { version, model, stages, characters } = options
  const observer = parts.times.follow(options.pathParts)
  let tokens = 0

  function recordPaces (): void {
    for (const stage of stages) {
      const target = version.targets.get(stage.target)
      if (target !== undefined) parts.targets.recordPace(stage.target, parts.costs.slowness(target))
    }
  }

  function slownessOf (name: string): number {
    const target = version.targets.get(name)
    return target === undefined ? 1 : parts.costs.slowness(target)
  }

  function ejectSlowest (): void {
    for (const { target } of stages) {
      if (slownessOf(target) < SLOW_FACTOR) continue
      const others = version.groupOf(target).filter(other => other !== target).map(slownessOf).sort((left, right) => left - right)
      if ((others[Math.floor(others.length / 2)] ?? Infinity) < SOUND_FACTOR) parts.targets.ejectSlow(target)
    }
  }

  return {
    recordToken (milliseconds) {
      tokens += 1
      for (const stage of stages) parts.targets.recordProgress(stage.target)
      if (tokens === 1) {
        parts.firstTokens.record(model, characters, milliseconds)
        return
      }
      observer.record(milliseconds)
      if (tokens % TOKENS_A_PACE === 0) recordPaces()
    },
    recordStall (milliseconds) {
      if (tokens > 0) observer.record(milliseconds)
    },
    stallTimeout: () => tokens === 0 ? parts.firstTokens.stallTimeout(model, characters) : observer.stallTimeout(),
    end: ejectSlowest
  }
}
