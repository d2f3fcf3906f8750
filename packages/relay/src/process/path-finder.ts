/**
 * Finds the cheapest path through all layers: over the targets' held ranges, their load, and the crossings between failure domains.
 */
import type { StageOfPath } from '../connection/dialect.js'
import type { EngineProfile, Service } from '../version/configuration.js'
import { lifeOf, type Target } from '../version/target.js'
import type { Directory } from './directory.js'
import type { Load } from './load.js'
import { gapsBetween } from './placement/cards.js'
import { kindOf, layerMilliseconds, tokenCapacity } from './stage-cost.js'

/** What is looked for. */
export interface PathQuery {
  service: Service
  /** Failure domain in which the path should lie. */
  failureDomain: string
  /** Tokens for which each stage needs memory. */
  tokens: number
  /** The path must begin with this stage. */
  firstStage?: StageOfPath
  /** Lives of targets that must not be on the path. */
  avoided?: ReadonlySet<string>
  /** Lives of targets that must not be first. */
  avoidedFirst?: ReadonlySet<string>
  /** Lives of the only targets that may be first. */
  allowedFirst?: ReadonlySet<string>
}

/** A path through all layers. */
export interface FoundPath {
  stages: StageOfPath[]
  /** Lives of the stages' targets, in order. */
  lives: string[]
  /** Whether each stage has memory for the request now. */
  hasRoom: boolean
  /** Whether the targets serve without a list of stages. */
  isSingle: boolean
}

/** Finds paths. */
export interface PathFinder {
  find: (query: PathQuery) => FoundPath | undefined
  /** @returns why no path with room is found, for the log: layers without a usable holder, or the stages that lack memory. */
  explain: (query: PathQuery) => string
  /** Notes that a target works so many times as slowly as its kind. */
  noteSlowness: (life: string, factor: number) => void
  /** Notes that a first stage refused since it has as much as it takes. */
  noteFull: (life: string) => void
}

/** Fixed cost of one more stage, milliseconds for each token: the hand-over on one link. */
const STAGE_MILLISECONDS_PER_TOKEN = 0.1
/** Delay of a crossing between failure domains, milliseconds for each token. */
const CROSSING_MILLISECONDS_PER_TOKEN = 0.6
/** Weight of the time for which a crossing holds the link: all paths that cross there share it, and they queue. */
const CROSSING_LINK_WEIGHT = 50
/**
 * Cost of a first stage in another failure domain, milliseconds: callers' bytes cross for the whole answer, and the counts of other
 * failure domains are older than those of the own one. About what chains of unlike cards differ by, so that the fastest does not draw all.
 */
const LEAVING_HOME_MILLISECONDS = 1200
/** Cost of a first stage that has as much as it takes at once, milliseconds: about one usual answer. */
const ENTERING_MILLISECONDS = 2000
/** Drawn on top of each first stage's cost, milliseconds at most: VMs whose counts of each other are old do not all choose the same. */
const ENTERING_SPREAD_MILLISECONDS = 300
/** A first stage that refused for want of a place takes nothing new for so long, milliseconds: some requests end meanwhile. */
const FULL_MILLISECONDS = 150
/** Cost of a stage without room, milliseconds: any path with room is taken before it. */
const NO_ROOM_MILLISECONDS = 100_000
/** Growth of a stage's cost as its memory fills. */
const FILL_WEIGHT = 4
const FILL_POWER = 3
const BITS_PER_BYTE = 8
/** Bits a millisecond of one megabit a second. */
const BITS_PER_MEGABIT_RATE = 1000
/** A found path serves queries of the same kind for so long, milliseconds: loads change little meanwhile. */
const CACHE_MILLISECONDS = 25

interface Stage {
  target: Target
  from: number
  to: number
  millisecondsPerLayer: number
  hasRoom: boolean
  /** Share of what it takes at once as a first stage that is taken; over 1 it takes no more. */
  entryFill: number
  /** Cost of entering the path here. */
  entryMilliseconds: number
}

interface Step {
  cost: number
  stage?: Stage
  /** Of the stage, in its place on the path. */
  hasRoom?: boolean
  to: number
  before?: Step
}

/**
 * Makes a path finder.
 * @param nextFloat drawn for the choice among first stages, 0 to 1.
 */
export function createPathFinder (directory: Directory, load: Load, nextFloat: () => number): PathFinder {
  const slowness = new Map<string, number>()
  const fullUntil = new Map<string, number>()
  const cache = new Map<string, { foundAt: number, revision: number, path: FoundPath | undefined }>()

  function find (query: PathQuery): FoundPath | undefined {
    const isPlain = [query.firstStage, query.avoided, query.avoidedFirst, query.allowedFirst].every(part => part === undefined)
    if (!isPlain) return search(query)
    const key = `${query.service.name} ${query.failureDomain} ${Math.ceil(Math.log2(query.tokens + 1))}`
    const known = cache.get(key)
    const now = performance.now()
    if (known !== undefined && known.revision === directory.revision() && now - known.foundAt < CACHE_MILLISECONDS) return known.path
    const path = search(query)
    cache.set(key, { foundAt: now, revision: directory.revision(), path })
    return path
  }

  function search (query: PathQuery): FoundPath | undefined {
    const { engine } = query.service
    if (engine === undefined) return undefined
    const usable = directory.usable(query.service.name).filter(target => query.avoided?.has(lifeOf(target)) !== true)
    if (usable.every(target => target.layers === undefined) && engine.kinds.size === 0) return single(usable, query, engine)
    const newest = [...new Set(usable.flatMap(target => target.layers?.weightsVersion ?? []))].sort((one, other) => other - one)
    for (const version of newest) {
      const stages = usable.filter(target => target.layers?.weightsVersion === version).map(target => toStage(target, query, engine))
      const path = cheapest(stages, query, engine)
      if (path !== undefined) return path
    }
    return undefined
  }

  function single (usable: Target[], query: PathQuery, engine: EngineProfile): FoundPath | undefined {
    const candidates = usable.filter(target => mayBeFirst(target, query)).map(target => {
      const life = lifeOf(target)
      const fill = Math.max((load.tokens(life) + query.tokens) / engine.tokensOfWholeTarget, entryFill(life, engine))
      return { target, life, fill, rank: fill + (target.failureDomain === query.failureDomain ? 0 : 0.2) }
    }).sort((one, other) => one.rank - other.rank)
    const best = candidates[0]
    if (best === undefined) return undefined
    const { id, address, failureDomain } = best.target
    return {
      stages: [{ targetId: id, address, failureDomain, from: 0, to: engine.layers }],
      lives: [best.life],
      hasRoom: best.fill <= 1,
      isSingle: true
    }
  }

  function toStage (target: Target, query: PathQuery, engine: EngineProfile): Stage {
    const life = lifeOf(target)
    const { from, to } = target.layers!
    const kind = kindOf(target, engine)
    const fill = (load.tokens(life) + query.tokens) / tokenCapacity(kind, to - from, engine)
    const entry = entryFill(life, engine)
    const expectedEntry = load.expectedEntering(life) / engine.requestsAtOnce
    const pressure = 1 + FILL_WEIGHT * Math.min(1, fill) ** FILL_POWER
    return {
      target,
      from,
      to,
      hasRoom: fill <= 1,
      entryFill: entry,
      entryMilliseconds: ENTERING_MILLISECONDS * Math.min(1, expectedEntry) + ENTERING_SPREAD_MILLISECONDS * nextFloat(),
      millisecondsPerLayer: layerMilliseconds(kind, engine, load.requests(life)) * pressure * (slowness.get(life) ?? 1)
    }
  }

  function entryFill (life: string, engine: EngineProfile): number {
    const isFull = (fullUntil.get(life) ?? 0) > performance.now()
    return isFull ? Infinity : (load.entering(life) + 1) / engine.requestsAtOnce
  }

  function explain (query: PathQuery): string {
    const { engine } = query.service
    if (engine === undefined) return 'the service has no engines'
    const usable = directory.usable(query.service.name)
    const gaps = gapsBetween(usable.flatMap(target => target.layers ?? []), engine.layers)
    if (gaps.length > 0) return `no usable target holds layers ${gaps.map(({ from, to }) => `${from}-${to}`).join(' ')}`
    const narrow = (search(query)?.stages ?? []).map(({ targetId }) => directory.find(targetId)!).flatMap((target, index) => {
      if (target.layers === undefined) return []
      const stage = toStage(target, query, engine)
      if (index === 0 && stage.entryFill > 1) return `${target.id} with ${load.entering(lifeOf(target))} requests`
      return stage.hasRoom ? [] : `${target.id} with ${Math.round(load.tokens(lifeOf(target)))} tokens`
    })
    return `no room at ${narrow.join(', ')}`
  }

  return {
    find,
    explain,
    noteSlowness (life, factor) {
      if (factor > 1) slowness.set(life, factor)
      else slowness.delete(life)
    },
    noteFull (life) {
      for (const [known, until] of fullUntil) if (until <= performance.now()) fullUntil.delete(known)
      fullUntil.set(life, performance.now() + FULL_MILLISECONDS)
      cache.clear()
    }
  }
}

function cheapest (stages: Stage[], query: PathQuery, engine: EngineProfile): FoundPath | undefined {
  const first = query.firstStage
  const tokens = engine.usualPromptTokens + engine.usualAnswerTokens
  const linkMilliseconds = engine.activationBytes * tokens * BITS_PER_BYTE / (engine.crossingMegabitsPerSecond * BITS_PER_MEGABIT_RATE)
  const crossing = CROSSING_MILLISECONDS_PER_TOKEN * engine.usualAnswerTokens + linkMilliseconds * CROSSING_LINK_WEIGHT
  const perStage = STAGE_MILLISECONDS_PER_TOKEN * engine.usualAnswerTokens
  const cuts = [...new Set(stages.flatMap(({ from, to }) => [from, to]).concat(0, engine.layers, first?.to ?? 0))]
    .filter(cut => cut <= engine.layers).sort((one, other) => one - other)
  const start: Step = { cost: 0, to: first?.to ?? 0 }
  const best = new Map<number, Map<string, Step>>([[start.to, new Map([[first?.failureDomain ?? query.failureDomain, start]])]])
  const entering = first === undefined ? LEAVING_HOME_MILLISECONDS : crossing
  for (const cut of cuts) {
    const here = best.get(cut)
    if (here === undefined) continue
    for (const stage of stages) {
      if (stage.from > cut || stage.to <= cut || stage.target.id === first?.targetId) continue
      if (cut === 0 && !mayBeFirst(stage.target, query)) continue
      const before = cheapestBefore(here, stage.target.failureDomain, cut === start.to ? entering : crossing)
      const isEntry = cut === 0 && first === undefined
      const hasRoom = stage.hasRoom && !(isEntry && stage.entryFill > 1)
      const fixed = perStage + (isEntry ? stage.entryMilliseconds : 0) + (hasRoom ? 0 : NO_ROOM_MILLISECONDS)
      for (const end of cuts) {
        if (end <= cut || end > stage.to) continue
        const cost = before.cost + fixed + stage.millisecondsPerLayer * (end - cut)
        const there = best.get(end) ?? new Map<string, Step>()
        best.set(end, there)
        const known = there.get(stage.target.failureDomain)
        if (known === undefined || cost < known.cost) {
          there.set(stage.target.failureDomain, { cost, stage, hasRoom, to: end, before: before.step })
        }
      }
    }
  }
  const ends = [...(best.get(engine.layers)?.values() ?? [])].sort((one, other) => one.cost - other.cost)
  return ends[0] === undefined ? undefined : toPath(ends[0], first)
}

function mayBeFirst (target: Target, query: PathQuery): boolean {
  const life = lifeOf(target)
  return query.avoidedFirst?.has(life) !== true && query.allowedFirst?.has(life) !== false
}

function cheapestBefore (here: Map<string, Step>, failureDomain: string, crossing: number): { cost: number, step: Step } {
  let result: { cost: number, step: Step } | undefined
  for (const [domain, step] of here) {
    const cost = step.cost + (domain === failureDomain ? 0 : crossing)
    if (result === undefined || cost < result.cost) result = { cost, step }
  }
  return result!
}

function toPath (end: Step, first: StageOfPath | undefined): FoundPath {
  const stages: StageOfPath[] = []
  const lives: string[] = []
  let hasRoom = true
  for (let step: Step | undefined = end; step?.stage !== undefined; step = step.before) {
    const { target } = step.stage
    hasRoom &&= step.hasRoom === true
    const from = step.before?.to ?? 0
    const repeated = stages.findIndex(stage => stage.targetId === target.id)
    if (repeated !== -1) {
      // A target may be named once: its parts are joined, and what lay between them is its own too.
      stages.splice(0, repeated + 1, { ...stages[repeated]!, from })
      lives.splice(0, repeated)
      continue
    }
    stages.unshift({ targetId: target.id, address: target.address, failureDomain: target.failureDomain, from, to: step.to })
    lives.unshift(lifeOf(target))
  }
  if (first !== undefined) stages.unshift(first)
  return { stages, lives, hasRoom, isSingle: false }
}
