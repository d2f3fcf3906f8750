/**
 * Path choice: an ordered list of stages that covers a model's layers exactly, with no gap and no overlap.
 */
import {
  FailureKind, Step, failed, prefixDigest, success,
  type ModelReference, type Outcome, type PathStage, type RandomSource
} from '@wigeonlead/protocol'
import type { FirstTokenTimes } from '../process/first-token-times.js'
import type { PathPart, PathTimes } from '../process/path-times.js'
import { TargetAvailability, type TargetBoard } from '../process/targets.js'
import type { PrefixMemory } from '../process/prefix-memory.js'
import type { CompiledModel, CompiledVersion, StageOption } from '../version/index.js'
import { beginPathRun, type PathRun } from './path-run.js'
import { LEAN_WEIGHTS, linkKey, targetKey, type StageCosts } from './path-cost.js'
import { cheapestPath, type PathCosts, type PricedPath } from './path-search.js'

/** What a path is wanted for. */
export interface PathQuery {
  version: CompiledVersion
  model: CompiledModel
  reference: ModelReference
  prompt: string
  /** Targets that failed for this request. */
  excluded: ReadonlySet<string>
  /** Only targets whose window has room. */
  needsRoom?: boolean
}

/** Chooses paths. */
export interface PathChooser {
  choose: (query: PathQuery) => Outcome<PathStage[]>
  /** Begins an epoch along a path. @param characters of the prompt and the tokens already delivered. */
  follow: (query: Pick<PathQuery, 'version' | 'model' | 'prompt'>, stages: PathStage[], characters: number) => PathRun
}

/** What the chooser needs. */
export interface PathChooserParts {
  targets: TargetBoard
  random: RandomSource
  failureDomain: string
  costs: StageCosts
  times: PathTimes
  firstTokens: FirstTokenTimes
  prefixes: PrefixMemory
}

/** A second path is near-best up to this factor of the best one's cost. */
const NEAR_BEST_FACTOR = 1.15
/** How often the near-best path is taken. */
const NEAR_BEST_SHARE = 0.5
/** Of a full target's time between tokens, what a lightly loaded one takes before anything was observed. */
const PRIOR_SHARE = 0.5

/** Makes a path chooser. */
export function createPathChooser (parts: PathChooserParts): PathChooser {
  function choose (query: PathQuery): Outcome<PathStage[]> {
    const layers = query.model.model.layers
    const options = query.model.options.filter(option => isUsable(parts, query, option))
    const costs = costsOf(parts, query)
    const best = cheapestPath(options, layers, costs)
    if (best === undefined) return failed(noPath(query))
    const second = withoutCostliest(options, layers, costs, best)
    const takesSecond = second !== undefined && second.cost <= best.cost * NEAR_BEST_FACTOR && parts.random.nextFloat() < NEAR_BEST_SHARE
    return success((takesSecond ? second : best).options.map(toStage))
  }

  return {
    choose,
    follow ({ version, model, prompt }, stages, characters) {
      const prefix = prefixDigest(prompt)
      for (const stage of stages) parts.prefixes.remember(prefix, stage.target)
      const pathParts = partsOf(version, stages, parts.failureDomain)
      return beginPathRun(parts, { version, model: model.model.name, stages, pathParts, characters })
    }
  }
}

function partsOf (version: CompiledVersion, stages: PathStage[], home: string): PathPart[] {
  const all: PathPart[] = []
  let before = home
  for (const stage of stages) {
    const target = version.targets.get(stage.target)
    const domain = target?.failureDomain ?? before
    all.push(linkPart(version, before, domain))
    const full = target === undefined ? 1 : 1000 * target.capacity / target.tokensPerSecond
    all.push({ key: targetKey(stage.target), priorMilliseconds: full * PRIOR_SHARE })
    before = domain
  }
  all.push(linkPart(version, before, home))
  return all
}

function costsOf (parts: PathChooserParts, query: PathQuery): PathCosts {
  const { version } = query
  const weights = LEAN_WEIGHTS[version.manifest.routing.lean]
  const prefix = prefixDigest(query.prompt)
  const priced = new Map<string, number>()
  const names = version.manifest.failureDomains
  return {
    home: version.domains.get(parts.failureDomain) ?? 0,
    link: (from, to) => {
      const observed = from === to ? undefined : parts.times.estimate(linkKey(names[from] ?? '', names[to] ?? ''))
      return (observed ?? version.linkMilliseconds(from, to)) * weights.link
    },
    stage (option) {
      const { target } = option
      if (query.needsRoom === true && !parts.costs.hasRoom(target, weights)) return Infinity
      let cost = priced.get(target.name)
      if (cost === undefined) {
        cost = parts.costs.cost(target, prefix, weights)
        priced.set(target.name, cost)
      }
      return cost
    }
  }
}

function withoutCostliest (
  options: readonly StageOption[], layers: number, costs: PathCosts, best: PricedPath
): PricedPath | undefined {
  const costliest = best.options.reduce((left, right) => costs.stage(right) > costs.stage(left) ? right : left)
  return cheapestPath(options.filter(option => option.target !== costliest.target), layers, costs)
}

function isUsable (parts: PathChooserParts, query: PathQuery, option: StageOption): boolean {
  return option.version === query.reference.version &&
    (query.reference.adapter === undefined || option.adapters.includes(query.reference.adapter)) &&
    !query.excluded.has(option.target.name) &&
    parts.targets.availability(option.target.name) !== TargetAvailability.Leaving &&
    !query.version.isTargetStopping(option.target.name, Date.now())
}

function linkPart (version: CompiledVersion, from: string, to: string): PathPart {
  const delay = version.linkMilliseconds(version.domains.get(from) ?? 0, version.domains.get(to) ?? 0)
  return { key: linkKey(from, to), priorMilliseconds: Math.max(delay, 0.01) }
}

function noPath (query: PathQuery) {
  const detail = `no target serves all layers of ${query.reference.model} ${query.reference.version}`
  return { kind: FailureKind.Refused, step: Step.PathChoice, peer: 'local', detail } as const
}

function toStage (option: StageOption): PathStage {
  return { target: option.target.name, address: option.target.address, layers: { from: option.from, to: option.to } }
}
