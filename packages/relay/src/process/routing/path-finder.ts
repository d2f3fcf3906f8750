/**
 * Finds the cheapest path through all layers. The cost depends on the layers and the load of each target and on crossings between failure
 * domains.
 */
import type { PathStage } from '../../connection/dialect.js'
import type { EngineProfile, Service } from '../../version/configuration.js'
import { incarnationOf, type Target } from '../../version/target.js'
import type { Directory } from '../directory.js'
import type { Load } from './load.js'
import { gapsBetween } from '../placement/cards.js'
import { assignChains } from './chains.js'
import { createPace } from './pace.js'
import {
  estimatePath, isWithinPause, usualSize, type LatencyObjectives, type PathEstimate, type RequestSize, type StageLoad
} from './path-estimate.js'
import { PRESENT_CHAIN, loadsOf, searchPaths, toPath, type Stage, type Step } from './path-search.js'
import { kindOf, requestMillisecondsPerLayer, rereadingMillisecondsPerLayer, sizeScale, tokenCapacity } from './stage-cost.js'

/** What a path must satisfy. */
export interface PathQuery {
  service: Service
  /** Preferred failure domain; paths that leave it cost more. */
  failureDomain: string
  /** Whether the whole path must lie in the preferred failure domain. */
  isBound?: boolean
  /** Tokens for which each stage needs memory. */
  tokens: number
  /** Size of the request; a usual one if absent. */
  size?: RequestSize
  /** If given, a path on which one more request breaks the pause objective has no capacity, and the cost is that of the request's size. */
  objectives?: LatencyObjectives
  /** The path must begin with this stage. */
  firstStage?: PathStage
  /** Incarnations of the targets that hold the tokens of a running stream: any other one reads them again. */
  presentStages?: ReadonlySet<string>
  /** Incarnations of targets that must not be on the path. */
  avoided?: ReadonlySet<string>
  /** Incarnations of targets that must not be the first stage. */
  avoidedFirstStages?: ReadonlySet<string>
  /** Whether no path that was found before may be returned: requests may have started on it since. */
  isSearchedAnew?: boolean
  /** If given, only these incarnations of targets may be the first stage. */
  allowedFirstStages?: ReadonlySet<string>
}

/** A path through all layers. */
export interface FoundPath {
  stages: PathStage[]
  /** Incarnations of the stages' targets, in order. */
  incarnations: string[]
  /** Whether every stage has capacity for the request now, and the pause objective of the query, if any, allows it on the path. */
  hasCapacity: boolean
  /** Whether one target serves the whole model, so that the request carries no list of stages. */
  isUnsplit: boolean
  /** How the request would run on the path; absent if the query names its first stage. */
  estimate?: PathEstimate
}

/** Why a path has its place among the paths of a query. */
export enum PathStanding {
  /** The request would run on it, if it has capacity. */
  Chosen = 'chosen',
  /** It could take the request, and costs more. */
  Costlier = 'costlier',
  /** A stage of it has no capacity. */
  NoCapacity = 'no-capacity',
  /** The request would break the pause objective on it. */
  BreaksPause = 'breaks-pause'
}

/** A path, and what it costs. */
export interface RankedPath {
  path: FoundPath
  /** Cost by which paths are compared, milliseconds; of unsplit ones the rank, in shares of the capacity. */
  cost: number
  standing: PathStanding
}

/** Finds paths. */
export interface PathFinder {
  /** @returns the cheapest path with capacity, or else the cheapest one; undefined if the usable targets do not hold all layers. */
  find: (query: PathQuery) => FoundPath | undefined
  /**
   * Searches anew, with the search that `find` uses.
   * @returns the path that `find` would return if none was kept, and the cheapest paths from other first stages after it.
   */
  rank: (query: PathQuery, count: number) => RankedPath[]
  /** @returns why no path with capacity exists, for the log: missing layers, the stages without capacity or the interval between events. */
  explain: (query: PathQuery) => string
  /** Records the factor by which a target is slower than usual for its kind; 1 for normal speed. */
  setSlowness: (incarnation: string, factor: number) => void
  /** @returns the factor that was recorded for a target; 1 if none was. */
  slownessOf: (incarnation: string) => number
  /** Records that a first stage refused a request: it counts as full for `FULL_COOLDOWN_MILLISECONDS`. */
  markFull: (incarnation: string) => void
  /** Records the present interval between two events of a stream on a path, milliseconds; it corrects later estimates. */
  recordEventInterval: (service: Service, path: FoundPath, milliseconds: number) => void
}

/**
 * Cost of a first stage that already has its maximum number of concurrent requests, milliseconds: about one usual answer. With fewer
 * requests, the cost is proportionally lower.
 */
const FULL_FIRST_STAGE_MILLISECONDS = 2000
/**
 * Upper bound of the random jitter on the cost of each first stage, milliseconds. It keeps VMs that have stale counts of each other from
 * all choosing the same stage.
 */
const FIRST_STAGE_JITTER_MILLISECONDS = 300
/** How long a first stage counts as full after it refused a request, milliseconds. Some of its requests end in this time. */
const FULL_COOLDOWN_MILLISECONDS = 150
/** Weight and exponent with which the cost of a stage grows as its memory fills. */
const MEMORY_UTILIZATION_WEIGHT = 4
const MEMORY_UTILIZATION_EXPONENT = 3
/** How long a found path is reused for queries of the same kind, milliseconds: loads change little in this time. */
const CACHE_MILLISECONDS = 25
/** Factor between the sizes of two classes. A found path is reused for requests of the same class. */
const SIZE_CLASS_FACTOR = 4

/** Chains of a service, with the revision of the directory and the layout for which they were assigned. */
interface ChainLayout {
  revision: number
  layout: string
  chains: ReadonlyMap<string, string>
}

/**
 * Creates a path finder.
 * @param nextFloat random number from 0 to 1, for the jitter on first stages.
 * @param sendWait milliseconds until this VM may send to a target; 0 if it may send now.
 */
export function createPathFinder (
  directory: Directory, load: Load, nextFloat: () => number, sendWait: (incarnation: string) => number = directory.pauseRemaining
): PathFinder {
  const slowness = new Map<string, number>()
  const pace = createPace()
  const layouts = new Map<string, ChainLayout>()
  const fullUntil = new Map<string, number>()
  const cache = new Map<string, { foundAt: number, revision: number, found: RankedPath[] }>()

  function find (query: PathQuery): FoundPath | undefined {
    return findRecent(query)[0]?.path
  }

  function findRecent (query: PathQuery): RankedPath[] {
    const isCacheable = [query.firstStage, query.avoided, query.avoidedFirstStages, query.allowedFirstStages]
      .every(option => option === undefined) && query.isSearchedAnew !== true
    if (!isCacheable) return search(query, 1)
    const key = cacheKey(query)
    const cached = cache.get(key)
    const now = performance.now()
    const isRecent = cached !== undefined && cached.revision === directory.revision() && now - cached.foundAt < CACHE_MILLISECONDS
    if (isRecent && (cached.found.length === 0 || sendWait(cached.found[0]!.path.incarnations[0]!) === 0)) return cached.found
    const found = search(query, 1)
    cache.set(key, { foundAt: now, revision: directory.revision(), found })
    return found
  }

  /** @returns the path for the query first, and then the cheapest others, up to the given number in all. */
  function search (query: PathQuery, count: number): RankedPath[] {
    const { engine: profile } = query.service
    if (profile === undefined) return []
    const usable = directory.usable(query.service.name).filter(target => query.avoided?.has(incarnationOf(target)) !== true)
    if (
      usable.every(target => target.layers === undefined) && profile.acceleratorKinds.size === 0
    ) return rankUnsplit(usable.filter(target => mayServe(target, query)), query, profile).slice(0, count)
    const newestFirst = [...new Set(usable.flatMap(target => target.layers?.weightsVersion ?? []))].sort((a, b) => b - a)
    // A bound request does not stay on old weights where other failure domains hold newer ones.
    for (const version of query.isBound === true ? newestFirst.slice(0, 1) : newestFirst) {
      const stages = usable.filter(target => target.layers?.weightsVersion === version && mayServe(target, query))
        .map(target => toStage(target, query, profile))
      const size = costedSize(query, profile)
      const steps = searchPaths(stages, query, profile, { size, sizeScale: sizeScale(size, profile), mayBeFirst, nextFloat })
      if (steps.length > 0) return rankSteps(steps, query, profile, count)
    }
    return []
  }

  /** @returns the cheapest path that keeps the pause objective, or else the cheapest one; then the others, the cheapest first. */
  function rankSteps (steps: readonly Step[], query: PathQuery, profile: EngineProfile, count: number): RankedPath[] {
    // A running stream must go on, whatever its pauses.
    if (query.firstStage !== undefined) {
      return steps.slice(0, count).map(step => rankedStep(step, toPath(step, query.firstStage), true))
        .map(markChosen)
    }
    const ranked: RankedPath[] = []
    let chosen: RankedPath | undefined
    for (const step of steps) {
      if (chosen === undefined ? !step.hasCapacity : ranked.length >= count) break
      const next = predictStep(step, query, profile)
      ranked.push(next)
      if (next.path.hasCapacity) chosen ??= next
    }
    if (chosen === undefined) {
      for (const step of steps.slice(ranked.length, Math.max(1, count))) ranked.push(predictStep(step, query, profile))
      chosen = ranked[0]!
    }
    return [chosen, ...ranked.filter(path => path !== chosen)].slice(0, count).map(markChosen)
  }

  function predictStep (step: Step, query: PathQuery, profile: EngineProfile): RankedPath {
    const { estimate, isInTime } = predict(loadsOf(step), incarnationOf(step.stage.target), query, profile)
    return rankedStep(step, { ...toPath(step, undefined), estimate, hasCapacity: step.hasCapacity && isInTime }, isInTime)
  }

  /** @returns how the request would run, and whether within the pause objective of the query. */
  function predict (
    loads: readonly StageLoad[], firstIncarnation: string, query: PathQuery, profile: EngineProfile
  ): { estimate: PathEstimate, isInTime: boolean } {
    const estimate = estimatePath(loads, profile, query.size ?? usualSize(profile), pace.ratio(firstIncarnation))
    return { estimate, isInTime: query.objectives === undefined || isWithinPause(loads, profile, estimate, query.objectives) }
  }

  function loadOf (target: Target, profile: EngineProfile): Omit<StageLoad, 'layerCount'> {
    const incarnation = incarnationOf(target)
    return {
      kind: kindOf(target, profile),
      slowness: slowness.get(incarnation) ?? 1,
      requests: load.requests(incarnation),
      tokens: load.tokens(incarnation),
      failureDomain: target.failureDomain
    }
  }

  /** A later stage gets the request from the stage before it, so a target that wants nothing from this VM now may still be one. */
  function mayBeFirst (target: Target, query: PathQuery): boolean {
    const incarnation = incarnationOf(target)
    return query.avoidedFirstStages?.has(incarnation) !== true && query.allowedFirstStages?.has(incarnation) !== false &&
      sendWait(incarnation) === 0
  }

  function rankUnsplit (usable: Target[], query: PathQuery, profile: EngineProfile): RankedPath[] {
    const candidates = usable.filter(target => mayBeFirst(target, query)).map(target => {
      const incarnation = incarnationOf(target)
      const utilization = Math.max(
        (load.tokens(incarnation) + query.tokens) / profile.wholeModelTokenCapacity, firstStageUtilization(incarnation, profile)
      )
      return { target, incarnation, utilization, rank: utilization + (target.failureDomain === query.failureDomain ? 0 : 0.2) }
    }).sort((a, b) => a.rank - b.rank)
    const predictions = candidates.map(candidate => {
      const loads = [{ ...loadOf(candidate.target, profile), layerCount: profile.layers }]
      const { estimate, isInTime } = predict(loads, candidate.incarnation, query, profile)
      const { id, address, failureDomain } = candidate.target
      const path: FoundPath = {
        stages: [{ targetId: id, address, failureDomain, from: 0, to: profile.layers }],
        incarnations: [candidate.incarnation],
        hasCapacity: candidate.utilization <= 1 && isInTime,
        isUnsplit: true,
        estimate
      }
      return { path, cost: candidate.rank, standing: standingOf(candidate.utilization <= 1, isInTime) }
    })
    const best = predictions.find(({ path }) => path.hasCapacity) ?? predictions[0]
    return best === undefined ? [] : [best, ...predictions.filter(prediction => prediction !== best)].map(markChosen)
  }

  /** @returns names of the chains of a service by incarnation. */
  function chainsOf (service: string): ReadonlyMap<string, string> {
    const known = layouts.get(service)
    if (known?.revision === directory.revision()) return known.chains
    const listed = directory.listed(service)
    const layout = listed.map(target => {
      const { from, to, weightsVersion } = target.layers ?? {}
      return `${incarnationOf(target)} ${from} ${to} ${weightsVersion}`
    }).join()
    const chains = known?.layout === layout ? known.chains : assignChains(listed)
    layouts.set(service, { revision: directory.revision(), layout, chains })
    return chains
  }

  function toStage (target: Target, query: PathQuery, profile: EngineProfile): Stage {
    const incarnation = incarnationOf(target)
    const { from, to } = target.layers!
    const stageLoad = loadOf(target, profile)
    const { kind } = stageLoad
    const size = costedSize(query, profile)
    const isPresent = query.presentStages?.has(incarnation) === true
    const rereading = query.presentStages === undefined || isPresent ? 0 : rereadingMillisecondsPerLayer(query.tokens, kind, profile)
    const memoryUtilization = (stageLoad.tokens + query.tokens) / tokenCapacity(kind, to - from, profile)
    const countedUtilization = firstStageUtilization(incarnation, profile)
    const estimatedUtilization = load.estimatedFirstStageRequests(incarnation) / profile.maximumConcurrentRequests
    const pressure = 1 + MEMORY_UTILIZATION_WEIGHT * Math.min(1, memoryUtilization) ** MEMORY_UTILIZATION_EXPONENT
    return {
      target,
      chain: isPresent ? PRESENT_CHAIN : chainsOf(target.service).get(incarnation) ?? incarnation,
      from,
      to,
      hasCapacity: memoryUtilization <= 1,
      firstStageUtilization: countedUtilization,
      firstStageMilliseconds:
        FULL_FIRST_STAGE_MILLISECONDS * Math.min(1, estimatedUtilization) + FIRST_STAGE_JITTER_MILLISECONDS * nextFloat(),
      millisecondsPerLayer:
        requestMillisecondsPerLayer(kind, profile, stageLoad.requests, size) * sizeScale(size, profile) * pressure * stageLoad.slowness +
        rereading,
      load: stageLoad
    }
  }

  function firstStageUtilization (incarnation: string, profile: EngineProfile): number {
    const isFull = (fullUntil.get(incarnation) ?? 0) > performance.now()
    return isFull ? Infinity : (load.firstStageRequests(incarnation) + 1) / profile.maximumConcurrentRequests
  }

  function explain (query: PathQuery): string {
    const { engine: profile } = query.service
    if (profile === undefined) return 'the service has no engines'
    const usable = directory.usable(query.service.name)
    const gaps = gapsBetween(usable.flatMap(target => target.layers ?? []), profile.layers)
    if (gaps.length > 0) return `no usable target holds layers ${gaps.map(({ from, to }) => `${from}-${to}`).join(' ')}`
    const path = search(query, 1)[0]?.path
    const saturated = (path?.stages ?? []).map(({ targetId }) => directory.find(targetId)!).flatMap((target, index) => {
      if (target.layers === undefined) return []
      const stage = toStage(target, query, profile)
      if (index === 0 && stage.firstStageUtilization > 1) return `${target.id} with ${load.firstStageRequests(incarnationOf(target))} requests`
      return stage.hasCapacity ? [] : `${target.id} with ${Math.round(load.tokens(incarnationOf(target)))} tokens`
    })
    if (path?.isUnsplit === true) return `no capacity at ${path.stages[0]!.targetId}`
    if (saturated.length > 0 || path?.estimate === undefined) return `no capacity at ${saturated.join(', ')}`
    return `${Math.round(path.estimate.eventIntervalMilliseconds)} ms between events on the path from ${path.stages[0]!.targetId}`
  }

  return {
    find,
    rank: search,
    explain,
    setSlowness (incarnation, factor) {
      if (factor > 1) slowness.set(incarnation, factor)
      else slowness.delete(incarnation)
    },
    slownessOf: incarnation => slowness.get(incarnation) ?? 1,
    markFull (incarnation) {
      for (const [full, until] of fullUntil) if (until <= performance.now()) fullUntil.delete(full)
      fullUntil.set(incarnation, performance.now() + FULL_COOLDOWN_MILLISECONDS)
      cache.clear()
    },
    recordEventInterval (service, path, milliseconds) {
      const { engine: profile } = service
      if (profile === undefined) return
      const loads = path.stages.flatMap(({ targetId, from, to }) => {
        const target = directory.find(targetId)
        return target === undefined ? [] : [{ ...loadOf(target, profile), layerCount: to - from }]
      })
      if (loads.length < path.stages.length) return
      pace.record(path.incarnations[0]!, milliseconds, estimatePath(loads, profile, undefined).eventIntervalMilliseconds)
    }
  }
}

function rankedStep (step: Step, path: FoundPath, isInTime: boolean): RankedPath {
  return { path, cost: step.cost, standing: standingOf(step.hasCapacity, isInTime) }
}

function standingOf (hasCapacity: boolean, isInTime: boolean): PathStanding {
  if (!hasCapacity) return PathStanding.NoCapacity
  return isInTime ? PathStanding.Costlier : PathStanding.BreaksPause
}

/** Marks the first path as chosen if it has capacity. */
function markChosen (ranked: RankedPath, index: number): RankedPath {
  return index === 0 && ranked.path.hasCapacity ? { ...ranked, standing: PathStanding.Chosen } : ranked
}

/** @returns what of a query decides which found path it may reuse. */
function cacheKey (query: PathQuery): string {
  const { service, failureDomain, tokens, size, objectives } = query
  const key = `${service.name} ${failureDomain} ${query.isBound === true} ${Math.ceil(Math.log2(tokens + 1))}`
  if (objectives === undefined) return key
  return `${key} ${sizeClass(size?.promptTokens)} ${sizeClass(size?.answerTokens)} ${objectives.pauseMilliseconds}`
}

function sizeClass (tokens: number | undefined): number | undefined {
  return tokens === undefined ? undefined : Math.round(Math.log(tokens + 1) / Math.log(SIZE_CLASS_FACTOR))
}

/** Whether a target may be on the path: for a bound request, one of the preferred failure domain. */
function mayServe (target: Target, query: PathQuery): boolean {
  return query.isBound !== true || target.failureDomain === query.failureDomain
}

/** @returns the size that the costs of a path are those of. */
function costedSize (query: PathQuery, profile: EngineProfile): RequestSize {
  return (query.objectives === undefined ? undefined : query.size) ?? usualSize(profile)
}
