/**
 * Chooses the path of a request: an ordered list of stages that covers a model's layers exactly, with no gap and no overlap.
 */
import {
  DriverKind, FailureKind, Step, failed, prefixDigest, success,
  type ManifestWorkspace, type ModelReference, type Outcome, type PathStage, type RandomSource
} from '@wigeonlead/protocol'
import type { FirstTokenTimes } from '../process/first-token-times.js'
import type { PathComponent, PathTimes } from '../process/path-times.js'
import { TargetAvailability, type TargetTracker } from '../process/targets.js'
import type { PrefixCacheIndex } from '../process/prefix-memory.js'
import type { CompiledModel, CompiledVersion, StageOption } from '../version/index.js'
import { beginPathRun, type PathRun } from './path-run.js'
import { PATH_COST_WEIGHTS, fullLoadMilliseconds, linkKey, targetKey, type StageCosts } from './path-cost.js'
import { cheapestOfEachKind, cheapestPath, type PathCosts, type PricedPath } from './path-search.js'
import { isServedIn } from './placement.js'

/** The request for which a path is chosen. */
export interface PathQuery {
  version: CompiledVersion
  model: CompiledModel
  reference: ModelReference
  prompt: string
  /** Restricts the path to the workspace's failure domains; all failure domains by default. */
  workspace?: Pick<ManifestWorkspace, 'failureDomains'>
  /** Targets that the path must not use. */
  excluded: ReadonlySet<string>
  /**
   * Failure score of each target that was part of a failed path of this request. A target with a score is used only if no other
   * target serves its layers.
   */
  failureScores?: ReadonlyMap<string, number>
  /** Uses only targets whose concurrency window has free capacity. */
  needsCapacity?: boolean
  /** Share of each target's concurrency window that this request may use; 1 by default. */
  capacityShare?: number
}

/** Chooses paths, and observes the epochs that run along them. */
export interface PathChooser {
  /** @returns the stages of the chosen path, or a failure if no path serves the query. */
  choose: (query: PathQuery) => Outcome<PathStage[]>
  /** Begins an epoch along a path. @param characters length of the prompt and of the tokens delivered so far. */
  beginRun: (query: Pick<PathQuery, 'version' | 'model' | 'prompt'>, stages: PathStage[], characters: number) => PathRun
}

/** Dependencies of the path chooser. */
export interface PathChooserDependencies {
  targets: TargetTracker
  random: RandomSource
  failureDomain: string
  costs: StageCosts
  times: PathTimes
  firstTokens: FirstTokenTimes
  prefixes: PrefixCacheIndex
}

/** The second path is near-best if its cost is at most this factor times that of the best path. */
const NEAR_BEST_FACTOR = 1.15
/** Probability that a near-best second path is taken instead of the best path. */
const NEAR_BEST_PROBABILITY = 0.5
/** A target is assumed to be lightly loaded before the first observation: its time between tokens is this share of that at full load. */
const PRIOR_FULL_LOAD_SHARE = 0.5
/** Tokens of a typical answer, over which the cost of reaching the first stage is spread. */
const TYPICAL_ANSWER_TOKENS = 64
/** Penalty for a target whose last report did not list the requested layers, milliseconds a token. It may have loaded them since. */
const MISSING_MODEL_PENALTY_MILLISECONDS = 50_000
/** Penalty for each point of a target's failure score, milliseconds a token. */
const FAILURE_SCORE_PENALTY_MILLISECONDS = 20_000
/** Penalty for a path that starts in another failure domain, milliseconds a token. It is chosen only if it is faster by this much. */
const CROSS_DOMAIN_PENALTY_MILLISECONDS = 2
const MINIMUM_LINK_MILLISECONDS = 0.01

/** Creates a path chooser. */
export function createPathChooser (dependencies: PathChooserDependencies): PathChooser {
  function choose (query: PathQuery): Outcome<PathStage[]> {
    const layers = query.model.model.layers
    const options = query.model.options.filter(option => isUsable(dependencies, query, option))
    const costs = createPathCosts(dependencies, query)
    const candidates = cheapestOfEachKind(options, costs)
    const best = cheapestPath(candidates, layers, costs)
    if (best === undefined) return failed(noPathFailure(query))
    const second = findPathWithoutCostliest(candidates, layers, costs, best)
    const takesSecond = second !== undefined && second.cost <= best.cost * NEAR_BEST_FACTOR &&
      dependencies.random.nextFloat() < NEAR_BEST_PROBABILITY
    return success((takesSecond ? second : best).options.map(toStage))
  }

  return {
    choose,
    beginRun ({ version, model, prompt }, stages, characters) {
      const prefix = prefixDigest(prompt)
      for (const stage of stages) dependencies.prefixes.recordPrefill(prefix, stage.target)
      const pathComponents = listPathComponents(version, model.model.driver, stages, dependencies.failureDomain)
      return beginPathRun(dependencies, { version, model: model.model.name, stages, pathComponents, characters })
    }
  }
}

/** Lists the targets and links that each token passes on a path, with their assumed times before the first observation. */
function listPathComponents (version: CompiledVersion, driver: DriverKind, stages: PathStage[], localDomain: string): PathComponent[] {
  const domains = stages.map(stage => version.targets.get(stage.target)?.failureDomain ?? localDomain)
  const layers = stages.at(-1)?.layers.to ?? 1
  const targets = stages.map(({ target: name, layers: { from, to } }) => {
    const target = version.targets.get(name)
    const fullLoadTime = target === undefined ? 1 : fullLoadMilliseconds(target) * (to - from) / layers
    return { key: targetKey(name), priorMilliseconds: fullLoadTime * PRIOR_FULL_LOAD_SHARE }
  })
  const links = domains.map((domain, position) => driver === DriverKind.Stream
    ? createLinkComponent(version, domain, domains[(position + 1) % domains.length] ?? domain, 1)
    : createLinkComponent(version, localDomain, domain, 2))
  return [...targets, ...links]
}

function createPathCosts (dependencies: PathChooserDependencies, query: PathQuery): PathCosts {
  const { version } = query
  const weights = PATH_COST_WEIGHTS[version.manifest.routing.lean]
  const prefix = prefixDigest(query.prompt)
  const costsByOption = new Map<StageOption, number>()
  const domainNames = version.manifest.failureDomains
  const localDomain = version.domainIndices.get(dependencies.failureDomain) ?? 0

  const links = new Map<number, number>()

  function link (from: number, to: number): number {
    const key = from * domainNames.length + to
    let cost = links.get(key)
    if (cost === undefined) {
      cost = linkCost(from, to)
      links.set(key, cost)
    }
    return cost
  }

  function linkCost (from: number, to: number): number {
    const observed = from === to ? undefined : dependencies.times.estimate(linkKey(domainNames[from] ?? '', domainNames[to] ?? ''))
    return (observed ?? version.linkMilliseconds(from, to)) * weights.link
  }

  function stageCost (option: StageOption): number {
    const { target } = option
    let cost = costsByOption.get(option)
    if (cost === undefined) {
      const isFull = query.needsCapacity === true &&
        !dependencies.costs.hasCapacity(target, weights.windowShare * (query.capacityShare ?? 1))
      const failurePenalty = (query.failureScores?.get(target.name) ?? 0) * FAILURE_SCORE_PENALTY_MILLISECONDS
      const isMissing = dependencies.targets.holds(target.name, query.reference, option) === false
      const missingPenalty = isMissing ? MISSING_MODEL_PENALTY_MILLISECONDS : 0
      cost = isFull ? Infinity : dependencies.costs.cost(option, prefix, weights) + failurePenalty + missingPenalty
      costsByOption.set(option, cost)
    }
    return cost
  }

  return { stageCost, ...LINK_COSTS[query.model.model.driver](link, localDomain) }
}

type LinkCosts = Pick<PathCosts, 'entryCost' | 'hopCost' | 'returnCost'>

/**
 * Link costs of each kind of driver. Stream: engines forward a token from stage to stage, and from the last stage back to the first.
 * Step: the router sends each step to a stage and receives its result, so each stage costs a round trip.
 */
const LINK_COSTS: Record<DriverKind, (link: (from: number, to: number) => number, localDomain: number) => LinkCosts> = {
  [DriverKind.Stream]: (link, localDomain) => ({
    entryCost: first => 2 * link(localDomain, first) / TYPICAL_ANSWER_TOKENS + crossDomainPenalty(localDomain, first),
    hopCost: link,
    returnCost: link
  }),
  [DriverKind.Step]: (link, localDomain) => ({
    entryCost: first => 2 * link(localDomain, first) + crossDomainPenalty(localDomain, first),
    hopCost: (_, to) => 2 * link(localDomain, to),
    returnCost: () => 0
  })
}

function crossDomainPenalty (localDomain: number, first: number): number {
  return first === localDomain ? 0 : CROSS_DOMAIN_PENALTY_MILLISECONDS
}

function findPathWithoutCostliest (
  options: readonly StageOption[], layers: number, costs: PathCosts, best: PricedPath
): PricedPath | undefined {
  const costliest = best.options.reduce((left, right) => costs.stageCost(right) > costs.stageCost(left) ? right : left)
  return cheapestPath(options.filter(option => option.target !== costliest.target), layers, costs)
}

function isUsable (dependencies: PathChooserDependencies, query: PathQuery, option: StageOption): boolean {
  return option.version === query.reference.version &&
    (query.reference.adapter === undefined || option.adapters.includes(query.reference.adapter)) &&
    (query.workspace === undefined || isServedIn(query.workspace, option.target.failureDomain)) &&
    !query.excluded.has(option.target.name) &&
    dependencies.targets.availability(option.target.name) !== TargetAvailability.Leaving &&
    !query.version.isTargetStopping(option.target.name, Date.now())
}

function createLinkComponent (version: CompiledVersion, from: string, to: string, traversals: number): PathComponent {
  const delay = version.linkMilliseconds(version.domainIndices.get(from) ?? 0, version.domainIndices.get(to) ?? 0)
  return { key: linkKey(from, to), priorMilliseconds: Math.max(delay, MINIMUM_LINK_MILLISECONDS), traversals }
}

function noPathFailure (query: PathQuery) {
  const detail = `no target serves all layers of ${query.reference.model} ${query.reference.version}`
  return { kind: FailureKind.Refused, step: Step.PathChoice, peer: 'local', detail } as const
}

function toStage (option: StageOption): PathStage {
  return { target: option.target.name, address: option.target.address, layers: { from: option.from, to: option.to } }
}
