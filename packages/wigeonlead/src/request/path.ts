/**
 * Path choice: an ordered list of stages that covers a model's layers exactly, with no gap and no overlap.
 */
import {
  DriverKind, FailureKind, Step, failed, prefixDigest, success,
  type ManifestWorkspace, type ModelReference, type Outcome, type PathStage, type RandomSource
} from '@wigeonlead/protocol'
import type { FirstTokenTimes } from '../process/first-token-times.js'
import type { PathPart, PathTimes } from '../process/path-times.js'
import { TargetAvailability, type TargetBoard } from '../process/targets.js'
import type { PrefixMemory } from '../process/prefix-memory.js'
import type { CompiledModel, CompiledVersion, StageOption } from '../version/index.js'
import { beginPathRun, type PathRun } from './path-run.js'
import { LEAN_WEIGHTS, fullMilliseconds, linkKey, targetKey, type StageCosts } from './path-cost.js'
import { cheapestOfEachKind, cheapestPath, type PathCosts, type PricedPath } from './path-search.js'
import { isServedIn } from './placement.js'

/** What a path is wanted for. */
export interface PathQuery {
  version: CompiledVersion
  model: CompiledModel
  reference: ModelReference
  prompt: string
  /** Where the request may be served; everywhere by default. */
  workspace?: Pick<ManifestWorkspace, 'failureDomains'>
  /** Targets that failed for this request. */
  excluded: ReadonlySet<string>
  /** How often targets were part of a failure of this request; they are used only where nothing else serves. */
  strikes?: ReadonlyMap<string, number>
  /** Only targets whose window has room. */
  needsRoom?: boolean
  /** Share of the windows that may be used; 1 by default. */
  roomShare?: number
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
/** Tokens of a usual answer, over which the way to the first stage is spread. */
const USUAL_TOKENS = 64
/** A target whose last report did not show the part; it may hold it by now. */
const MISSING_MILLISECONDS = 50_000
const STRIKE_MILLISECONDS = 20_000
/** By how much a path of another failure domain has to be quicker before it is taken, milliseconds a token. */
const SPILL_OVER_MILLISECONDS = 2
const LEAST_LINK_MILLISECONDS = 0.01

/** Makes a path chooser. */
export function createPathChooser (parts: PathChooserParts): PathChooser {
  function choose (query: PathQuery): Outcome<PathStage[]> {
    const layers = query.model.model.layers
    const options = query.model.options.filter(option => isUsable(parts, query, option))
    const costs = costsOf(parts, query)
    const kept = cheapestOfEachKind(options, costs)
    const best = cheapestPath(kept, layers, costs)
    if (best === undefined) return failed(noPath(query))
    const second = withoutCostliest(kept, layers, costs, best)
    const takesSecond = second !== undefined && second.cost <= best.cost * NEAR_BEST_FACTOR && parts.random.nextFloat() < NEAR_BEST_SHARE
    return success((takesSecond ? second : best).options.map(toStage))
  }

  return {
    choose,
    follow ({ version, model, prompt }, stages, characters) {
      const prefix = prefixDigest(prompt)
      for (const stage of stages) parts.prefixes.remember(prefix, stage.target)
      const pathParts = partsOf(version, model.model.driver, stages, parts.failureDomain)
      return beginPathRun(parts, { version, model: model.model.name, stages, pathParts, characters })
    }
  }
}

/** The targets and links that a token passes on a path, for its times. */
function partsOf (version: CompiledVersion, driver: DriverKind, stages: PathStage[], home: string): PathPart[] {
  const domains = stages.map(stage => version.targets.get(stage.target)?.failureDomain ?? home)
  const layers = stages.at(-1)?.layers.to ?? 1
  const targets = stages.map(({ target: name, layers: { from, to } }) => {
    const target = version.targets.get(name)
    const full = target === undefined ? 1 : fullMilliseconds(target) * (to - from) / layers
    return { key: targetKey(name), priorMilliseconds: full * PRIOR_SHARE }
  })
  const links = domains.map((domain, position) => driver === DriverKind.Stream
    ? linkPart(version, domain, domains[(position + 1) % domains.length] ?? domain, 1)
    : linkPart(version, home, domain, 2))
  return [...targets, ...links]
}

function costsOf (parts: PathChooserParts, query: PathQuery): PathCosts {
  const { version } = query
  const weights = LEAN_WEIGHTS[version.manifest.routing.lean]
  const prefix = prefixDigest(query.prompt)
  const priced = new Map<StageOption, number>()
  const names = version.manifest.failureDomains
  const home = version.domains.get(parts.failureDomain) ?? 0

  const links = new Map<number, number>()

  function link (from: number, to: number): number {
    const key = from * names.length + to
    let cost = links.get(key)
    if (cost === undefined) {
      cost = linkCost(from, to)
      links.set(key, cost)
    }
    return cost
  }

  function linkCost (from: number, to: number): number {
    const observed = from === to ? undefined : parts.times.estimate(linkKey(names[from] ?? '', names[to] ?? ''))
    return (observed ?? version.linkMilliseconds(from, to)) * weights.link
  }

  function stage (option: StageOption): number {
    const { target } = option
    let cost = priced.get(option)
    if (cost === undefined) {
      const isFull = query.needsRoom === true && !parts.costs.hasRoom(target, weights.windowShare * (query.roomShare ?? 1))
      const strikes = (query.strikes?.get(target.name) ?? 0) * STRIKE_MILLISECONDS
      const isMissing = parts.targets.holds(target.name, query.reference, option) === false
      const missing = isMissing ? MISSING_MILLISECONDS : 0
      cost = isFull ? Infinity : parts.costs.cost(option, prefix, weights) + strikes + missing
      priced.set(option, cost)
    }
    return cost
  }

  return { stage, ...LINK_COSTS[query.model.model.driver](link, home) }
}

type LinkCosts = Pick<PathCosts, 'enter' | 'pass' | 'close'>

/** With engines that forward, a token goes round the stages; with steps, the router stands between them. */
const LINK_COSTS: Record<DriverKind, (link: (from: number, to: number) => number, home: number) => LinkCosts> = {
  [DriverKind.Stream]: (link, home) => ({
    enter: first => 2 * link(home, first) / USUAL_TOKENS + spillOver(home, first),
    pass: link,
    close: link
  }),
  [DriverKind.Step]: (link, home) => ({
    enter: first => 2 * link(home, first) + spillOver(home, first),
    pass: (_, to) => 2 * link(home, to),
    close: () => 0
  })
}

function spillOver (home: number, first: number): number {
  return first === home ? 0 : SPILL_OVER_MILLISECONDS
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
    (query.workspace === undefined || isServedIn(query.workspace, option.target.failureDomain)) &&
    !query.excluded.has(option.target.name) &&
    parts.targets.availability(option.target.name) !== TargetAvailability.Leaving &&
    !query.version.isTargetStopping(option.target.name, Date.now())
}

function linkPart (version: CompiledVersion, from: string, to: string, times: number): PathPart {
  const delay = version.linkMilliseconds(version.domains.get(from) ?? 0, version.domains.get(to) ?? 0)
  return { key: linkKey(from, to), priorMilliseconds: Math.max(delay, LEAST_LINK_MILLISECONDS), times }
}

function noPath (query: PathQuery) {
  const detail = `no target serves all layers of ${query.reference.model} ${query.reference.version}`
  return { kind: FailureKind.Refused, step: Step.PathChoice, peer: 'local', detail } as const
}

function toStage (option: StageOption): PathStage {
  return { target: option.target.name, address: option.target.address, layers: { from: option.from, to: option.to } }
}
