/**
 * Searches the cheapest path through all layers for each possible first stage.
 */
import type { PathStage } from '../../connection/dialect.js'
import type { EngineProfile } from '../../version/configuration.js'
import { incarnationOf, type Target } from '../../version/target.js'
import { CROSSING_MILLISECONDS_PER_TOKEN, STAGE_MILLISECONDS_PER_TOKEN, type RequestSize, type StageLoad } from './path-estimate.js'
import type { FoundPath, PathQuery } from './path-finder.js'

/** A target that may be a stage, and what it costs. */
export interface Stage {
  target: Target
  /** Name of its chain. */
  chain: string
  from: number
  to: number
  millisecondsPerLayer: number
  hasCapacity: boolean
  /**
   * Requests that use it as their first stage, including this one, relative to its maximum of concurrent requests. Above 1 it is full;
   * Infinity if it has just refused a request.
   */
  firstStageUtilization: number
  /** Cost of using this stage as the first one, milliseconds. */
  firstStageMilliseconds: number
  /** Work that it has, as far as the layers of a path do not matter. */
  load: Omit<StageLoad, 'layerCount'>
}

/** First step of the cheapest rest of a path from a layer boundary on: its stage, and the step after it. */
export interface Step {
  /** Of this step and all after it, milliseconds. */
  cost: number
  stage: Stage
  /** Whether this stage and all after it have capacity in their positions on the path. */
  hasCapacity: boolean
  from: number
  to: number
  next?: Step
}

/** Weight of the time for which a crossing occupies the link: all paths that cross there share the link and queue on it. */
const CROSSING_LINK_WEIGHT = 50
/**
 * Cost of a first stage in another failure domain, milliseconds. The whole answer crosses to the caller, and load counts from other failure
 * domains are older than local ones. The value is about the difference in cost between chains of different accelerators, so that the
 * fastest chain does not attract all requests.
 */
const REMOTE_FIRST_STAGE_MILLISECONDS = 1200
/** Cost of a stage without capacity, milliseconds: higher than the cost of any path with capacity, however long the answer. */
const NO_CAPACITY_MILLISECONDS = 1_000_000_000
const BITS_PER_BYTE = 8
/** Bits per millisecond at 1 megabit per second. */
const BITS_PER_MILLISECOND_AT_1_MBPS = 1000

/** Name of the chain that the present stages of a running stream form. */
export const PRESENT_CHAIN = ''
/**
 * Mean cost of changing to another chain of the same failure domain, milliseconds. It exceeds what a faster stage saves, so that requests
 * change only where their chain lacks a stage, is full or is slow. Otherwise the fastest stages would be on all paths, and the loss of one
 * would stop all streams.
 */
const CHAIN_CHANGE_MILLISECONDS = 250

/** What costs the same at each boundary, milliseconds. */
interface FixedCosts {
  perStage: number
  crossing: number
  /** Cost of changing to a chain of the same failure domain, by its name; it varies, so that the streams of a lost stage spread. */
  changeTo: ReadonlyMap<string, number>
}

/** A chain, and the failure domain that it lies in. */
interface ChainPlace {
  chain: string
  failureDomain: string
}

/** Cheapest rest of a path from a boundary on, if the stage before it is in a certain chain. */
interface Rest {
  cost: number
  step?: Step
}

/** By chain of the stage before a boundary, the cheapest rest from each boundary on, by its index. */
type Rests = ReadonlyMap<string, Array<Rest | undefined>>

/** How paths are searched. */
export interface SearchTerms {
  /** Size of the request whose costs count. */
  size: RequestSize
  /** Factor that makes the costs comparable with those of a usual request. */
  sizeScale: number
  mayBeFirst: (target: Target, query: PathQuery) => boolean
  /** Random number from 0 to 1. */
  nextFloat: () => number
}

/** @returns the cheapest path for each first stage that the query allows, or for the one that it names: the cheapest first. */
export function searchPaths (
  stages: readonly Stage[], query: PathQuery, profile: EngineProfile, { size, sizeScale, mayBeFirst, nextFloat }: SearchTerms
): Step[] {
  const first = query.firstStage
  const start = first?.to ?? 0
  const eligible = stages.filter(({ target }) => target.id !== first?.targetId)
  const chains = chainsOf(eligible)
  const costs = fixedCosts(profile, size, sizeScale, chains, nextFloat)
  const boundaries = [...new Set([...eligible.flatMap(({ from, to }) => [from, to]), start, profile.layers])]
    .filter(boundary => boundary >= start && boundary <= profile.layers).sort((a, b) => a - b)
  const rests: Rests = new Map(chains.map(({ chain }) => [chain, []]))
  for (const chainRests of rests.values()) chainRests[boundaries.length - 1] = { cost: 0 }
  for (let index = boundaries.length - 2; index > 0; index--) {
    addRests(cheapestSteps(eligible, index, boundaries, rests, costs, false), index, rests, chains, costs)
  }
  const isEntry = first === undefined
  const firstStages = eligible.filter(({ target, from }) => from <= start && (start > 0 || mayBeFirst(target, query)))
  return cheapestSteps(firstStages, 0, boundaries, rests, costs, isEntry)
    .map(step => {
      const cost = isEntry
        ? entryCost(step.stage, query)
        : changeCost({ chain: PRESENT_CHAIN, failureDomain: first.failureDomain }, step.stage, costs)
      return cost === 0 ? step : { ...step, cost: step.cost + cost }
    }).sort((a, b) => a.cost - b.cost)
}

function chainsOf (stages: readonly Stage[]): ChainPlace[] {
  return [...new Map(stages.map(({ chain, target }) => [chain, { chain, failureDomain: target.failureDomain }])).values()]
}

function entryCost ({ target }: Stage, query: PathQuery): number {
  return target.failureDomain === query.failureDomain ? 0 : REMOTE_FIRST_STAGE_MILLISECONDS
}

/** @returns cost of going from a stage of one chain to a stage, milliseconds. */
function changeCost (from: ChainPlace, to: Stage, costs: FixedCosts): number {
  if (to.target.failureDomain !== from.failureDomain) return costs.crossing
  return to.chain === from.chain || to.chain === PRESENT_CHAIN ? 0 : costs.changeTo.get(to.chain) ?? 0
}

function fixedCosts (
  profile: EngineProfile, size: RequestSize, sizeScale: number, chains: readonly ChainPlace[], nextFloat: () => number
): FixedCosts {
  const linkMilliseconds = profile.activationBytes * (size.promptTokens + size.answerTokens) * BITS_PER_BYTE /
    (profile.crossingMegabitsPerSecond * BITS_PER_MILLISECOND_AT_1_MBPS)
  return {
    crossing: (CROSSING_MILLISECONDS_PER_TOKEN * size.answerTokens + linkMilliseconds * CROSSING_LINK_WEIGHT) * sizeScale,
    perStage: STAGE_MILLISECONDS_PER_TOKEN * size.answerTokens * sizeScale,
    changeTo: new Map(chains.map(({ chain }) => [chain, CHAIN_CHANGE_MILLISECONDS * (0.5 + nextFloat())]))
  }
}

/** @returns for each stage that holds the layer after a boundary the cheapest step from there on. */
function cheapestSteps (
  stages: readonly Stage[], fromIndex: number, boundaries: readonly number[], rests: Rests, costs: FixedCosts, isEntry: boolean
): Step[] {
  const steps: Step[] = []
  for (const stage of stages) {
    const step = cheapestStep(stage, fromIndex, boundaries, rests, costs, isEntry)
    if (step !== undefined) steps.push(step)
  }
  return steps
}

/** @returns the cheapest step from a boundary on that uses a stage; undefined if the stage lacks the layer, or no rest continues it. */
function cheapestStep (
  stage: Stage, fromIndex: number, boundaries: readonly number[], rests: Rests, costs: FixedCosts, isEntry: boolean
): Step | undefined {
  const from = boundaries[fromIndex]!
  if (stage.from > from || stage.to <= from) return undefined
  const chainRests = rests.get(stage.chain)!
  let cheapestCost = Infinity
  let cheapestIndex = -1
  for (let index = fromIndex + 1; index < boundaries.length && boundaries[index]! <= stage.to; index++) {
    const rest = chainRests[index]
    if (rest === undefined) continue
    const cost = stage.millisecondsPerLayer * (boundaries[index]! - from) + rest.cost
    if (cost < cheapestCost) [cheapestCost, cheapestIndex] = [cost, index]
  }
  if (cheapestIndex === -1) return undefined
  const stageHasCapacity = stage.hasCapacity && !(isEntry && stage.firstStageUtilization > 1)
  const fixed = costs.perStage + (isEntry ? stage.firstStageMilliseconds : 0) + (stageHasCapacity ? 0 : NO_CAPACITY_MILLISECONDS)
  const next = chainRests[cheapestIndex]!.step
  return {
    cost: cheapestCost + fixed,
    stage,
    hasCapacity: stageHasCapacity && next?.hasCapacity !== false,
    from,
    to: boundaries[cheapestIndex]!,
    next
  }
}

function addRests (steps: readonly Step[], index: number, rests: Rests, chains: readonly ChainPlace[], costs: FixedCosts): void {
  for (const place of chains) {
    const chainRests = rests.get(place.chain)!
    for (const step of steps) {
      const cost = step.cost + changeCost(place, step.stage, costs)
      if (cost < (chainRests[index]?.cost ?? Infinity)) chainRests[index] = { cost, step }
    }
  }
}

/** @returns the loads of the stages of a path, in order. */
export function loadsOf (firstStep: Step): StageLoad[] {
  const loads: StageLoad[] = []
  for (let step: Step | undefined = firstStep; step !== undefined; step = step.next) {
    const { kind, slowness, requests, tokens, failureDomain } = step.stage.load
    loads.push({ kind, slowness, requests, tokens, failureDomain, layerCount: step.to - step.from })
  }
  return loads
}

/** @param first the stage that the query names, if any. */
export function toPath (firstStep: Step, first: PathStage | undefined): FoundPath {
  const stages: PathStage[] = []
  const incarnations: string[] = []
  for (let step: Step | undefined = firstStep; step !== undefined; step = step.next) {
    const { target } = step.stage
    const duplicate = stages.findIndex(stage => stage.targetId === target.id)
    if (duplicate !== -1) {
      // A path may name a target only once, so its two sections are merged: the target also holds the layers between them.
      stages.splice(duplicate, stages.length, { ...stages[duplicate]!, to: step.to })
      incarnations.splice(duplicate + 1)
      continue
    }
    stages.push({ targetId: target.id, address: target.address, failureDomain: target.failureDomain, from: step.from, to: step.to })
    incarnations.push(incarnationOf(target))
  }
  if (first !== undefined) stages.unshift(first)
  return { stages, incarnations, hasCapacity: firstStep.hasCapacity, isUnsplit: false }
}
