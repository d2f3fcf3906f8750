/**
 * Describes how a service stands in each failure domain, from this VM's picture of the load and from the sums of demand.
 */
import type { EngineProfile, Service } from '../../version/configuration.js'
import { incarnationOf, type Target } from '../../version/target.js'
import type { Directory } from '../directory.js'
import type { Demand, DomainDemand } from '../membership/demand.js'
import { gapsBetween } from '../placement/cards.js'
import type { Load } from './load.js'
import { usualSize } from './path-estimate.js'
import { BYTES_PER_MEGABYTE, kindOf, requestMillisecondsPerLayer, tokenCapacity } from './stage-cost.js'

/** How a service stands in one failure domain. */
export interface DomainState extends DomainCapacity {
  failureDomain: string
  /** Predicted time to the first event (of plain services: to the answer) of a usual request that starts there now, milliseconds. */
  waitMilliseconds: number
  /** Share of the domain's capacity that is in use or asked for, 0 to 1 and above; Infinity without capacity. */
  utilization: number
  /** Requests that its own callers would have there if none were sent out. */
  demandRequests: number
  /** Whether its own callers are refused or wait. */
  isShort: boolean
  /** Age of what this is based on, milliseconds; Infinity if unknown. */
  ageMilliseconds: number
  /**
   * Share of its demand that its VMs send to this VM's failure domain, 0 to 1. VMs tell the sum over all receivers, so this is an upper
   * bound with more than two failure domains.
   */
  sharedToUs: number
}

/** What the targets of a failure domain can do. */
export interface DomainCapacity {
  /** Requests of usual size that they can run at once; 0 without a complete chain. */
  places: number
  /** Time to the first event with nothing waiting, milliseconds. */
  firstEventMilliseconds: number
  /** Time for which a usual request keeps its place, milliseconds. */
  answerMilliseconds: number
}

/** When a request may leave its failure domain, and what the crossing is worth. */
export interface LeavingTerms {
  mayLeave: boolean
  /** Delay of one crossing, one way, milliseconds. */
  crossingMilliseconds: number
  /** Milliseconds of wait that a megabyte between failure domains is worth. */
  megabyteMilliseconds: number
}

/** Time in which a plain service answers, milliseconds. The configuration does not state it. */
const PLAIN_ANSWER_MILLISECONDS = 100
/** Utilization up to which the wait is predicted from random arrivals; above it, from the requests that have no place. */
const HIGHEST_QUEUE_UTILIZATION = 0.98
/** Requests that wait or were refused in the last second, relative to the places, from which a domain is short: over one in 200 places. */
const SHORT_SHARE = 0.005
/** Share of the demand that is assumed to stay at least, so that the demand can be derived from what stays. */
const LEAST_STAYING_SHARE = 0.1
const BYTES_PER_EVENT = 85
const BYTES_PER_PROMPT_TOKEN = 4
/** Bytes of a plain request and its answer. */
const PLAIN_BYTES = 8192

/** A range of layers between two stage boundaries of a failure domain, and the targets that hold all of it. */
interface Section {
  layers: number
  holders: Target[]
}

/**
 * @param slownessOf factor by which a target is slower than usual for its kind.
 * @returns the states of all failure domains that have or had targets of the service, as far as they are listed.
 */
export function domainStates (
  service: Service, directory: Directory, load: Load, demand: Pick<Demand, 'inDomain'>, slownessOf: (incarnation: string) => number = () => 1
): DomainState[] {
  const usable = directory.usable(service.name)
  const names = [...new Set(directory.listed(service.name).map(target => target.failureDomain))].sort()
  return names.map(failureDomain => {
    const targets = usable.filter(target => target.failureDomain === failureDomain)
    const told = demand.inDomain(service.name, failureDomain)
    return toState(failureDomain, service, targets, load, told, slownessOf)
  })
}

/** @returns what serving one request in another failure domain costs: delay of its first event and price of its bytes, milliseconds. */
export function crossingCost ({ engine }: Service, terms: LeavingTerms): number {
  const bytes = engine === undefined
    ? PLAIN_BYTES
    : engine.usualAnswerTokens / engine.tokensPerEvent * BYTES_PER_EVENT + engine.usualPromptTokens * BYTES_PER_PROMPT_TOKEN
  return 2 * terms.crossingMilliseconds + bytes / BYTES_PER_MEGABYTE * terms.megabyteMilliseconds
}

/** @returns the predicted time to the first event with the given number of requests, milliseconds; Infinity without places. */
export function predictWait ({ places, firstEventMilliseconds, answerMilliseconds }: DomainCapacity, requests: number): number {
  if (places === 0) return Infinity
  const utilization = Math.min(HIGHEST_QUEUE_UTILIZATION, requests / places)
  // Sakasegawa's approximation of the mean wait with several servers and random arrivals.
  const queue = utilization ** (Math.sqrt(2 * (places + 1)) - 1) / (1 - utilization) / places
  const withoutPlace = Math.max(0, requests / places - 1)
  return firstEventMilliseconds + answerMilliseconds * (queue + withoutPlace)
}

function toState (
  failureDomain: string, service: Service, targets: readonly Target[], load: Load, told: DomainDemand | undefined,
  slownessOf: (incarnation: string) => number
): DomainState {
  const { capacity, counted } = measure(service, targets, load, slownessOf)
  const rate = (read: (rank: DomainDemand['ranks'][number]) => number): number =>
    (told?.ranks ?? []).reduce((sum, rank) => sum + read(rank), 0)
  const staying = Math.max(LEAST_STAYING_SHARE, 1 - (told?.sharedOut ?? 0))
  const requestsAtRate = capacity.answerMilliseconds / 1000
  const unserved = (told?.waiting ?? 0) + rate(rank => rank.refusals) * requestsAtRate
  // Counts of VMs that were not heard recently are missing; their requests follow from the rates, which are extrapolated.
  const unheard = (1 - (told?.knownShare ?? 1)) * rate(rank => rank.starts) * staying * requestsAtRate
  const requests = counted + unheard + unserved
  return {
    ...capacity,
    failureDomain,
    waitMilliseconds: predictWait(capacity, requests),
    utilization: capacity.places === 0 ? Infinity : requests / capacity.places,
    demandRequests: capacity.places === 0 ? rate(rank => rank.arrivals) * requestsAtRate : (counted + unheard) / staying + unserved,
    isShort: (told?.waiting ?? 0) + rate(rank => rank.refusals) > Math.max(1, capacity.places * SHORT_SHARE),
    ageMilliseconds: told === undefined || told.knownShare === 0 ? Infinity : told.ageMilliseconds,
    sharedToUs: told?.sharedOut ?? 0
  }
}

/** @returns the capacity of the targets, and the number of usual requests that the counts at them correspond to. */
function measure (
  { engine: profile }: Service, targets: readonly Target[], load: Load, slownessOf: (incarnation: string) => number
): { capacity: DomainCapacity, counted: number } {
  if (profile === undefined) return measurePlain(targets, load)
  const isUnsplit = profile.acceleratorKinds.size === 0 && targets.every(target => target.layers === undefined)
  const sections = isUnsplit ? [{ layers: profile.layers, holders: [...targets] }] : toSections(targets, profile)
  const firstStages = sections[0]!.holders
  const usualTokens = profile.usualPromptTokens + profile.usualAnswerTokens
  const slots = firstStages.length * profile.maximumConcurrentRequests
  const memories = sections.map(({ holders }) => holders.reduce((sum, target) => sum + tokensAt(target, profile), 0) / usualTokens)
  const places = Math.floor(Math.min(slots, ...memories))
  const sum = (holders: readonly Target[], read: (incarnation: string) => number): number =>
    holders.reduce((total, target) => total + read(incarnationOf(target)), 0)
  // The scarcest of slots and memories decides, so the others count relative to it.
  const used = sections.map(({ holders }, index) => sum(holders, load.tokens) / usualTokens / Math.max(1, memories[index]!) * places)
  const time = (read: (target: Target) => number): number => sections.reduce((total, { layers, holders }) =>
    total + layers * harmonicMean(holders.map(target => read(target) * slownessOf(incarnationOf(target)))), 0)
  return {
    capacity: {
      places,
      firstEventMilliseconds: time(target => firstEventPerLayer(target, profile, load)),
      answerMilliseconds: places === 0
        ? requestMillisecondsPerLayer(kindOf({}, profile), profile, 0, usualSize(profile)) * profile.layers
        : time(target => requestMillisecondsPerLayer(
          kindOf(target, profile), profile, load.requests(incarnationOf(target)), usualSize(profile)
        ))
    },
    counted: Math.max(sum(firstStages, load.firstStageRequests) / Math.max(1, slots) * places, ...used)
  }
}

function measurePlain (targets: readonly Target[], load: Load): { capacity: DomainCapacity, counted: number } {
  const places = targets.reduce((sum, target) => sum + target.slots, 0)
  return {
    capacity: { places, firstEventMilliseconds: PLAIN_ANSWER_MILLISECONDS, answerMilliseconds: PLAIN_ANSWER_MILLISECONDS },
    counted: targets.reduce((sum, target) => sum + load.requests(incarnationOf(target)), 0)
  }
}

/** @returns the sections of the newest complete chain; one without holders if no chain is complete. */
function toSections (targets: readonly Target[], profile: EngineProfile): Section[] {
  const versions = [...new Set(targets.flatMap(({ layers }) => layers?.weightsVersion ?? []))].sort((a, b) => b - a)
  for (const version of versions) {
    const holders = targets.filter(({ layers }) => layers?.weightsVersion === version)
    if (gapsBetween(holders.flatMap(({ layers }) => layers!), profile.layers).length > 0) continue
    const boundaries = [...new Set(holders.flatMap(({ layers }) => [layers!.from, layers!.to]))].sort((a, b) => a - b)
    return boundaries.slice(1).map((to, index) => ({
      layers: to - boundaries[index]!,
      holders: holders.filter(({ layers }) => layers!.from <= boundaries[index]! && layers!.to >= to)
    }))
  }
  return [{ layers: profile.layers, holders: [] }]
}

function tokensAt (target: Target, profile: EngineProfile): number {
  if (target.layers === undefined) return profile.wholeModelTokenCapacity
  return tokenCapacity(kindOf(target, profile), target.layers.to - target.layers.from, profile)
}

/** @returns the time that one layer of a target contributes to the first event, milliseconds: prefill, and decoding of its tokens. */
function firstEventPerLayer (target: Target, profile: EngineProfile, load: Load): number {
  const { stepFactor, prefillFactor } = kindOf(target, profile)
  const step = (profile.stepMilliseconds + profile.stepPerRequestMilliseconds * load.requests(incarnationOf(target))) * stepFactor
  const prefill = profile.usualPromptTokens / profile.prefillTokensPerSecond * 1000 * prefillFactor
  return (prefill + step * profile.tokensPerEvent) / profile.layers
}

/** @returns the mean time of targets that work side by side, whose rates add up; 0 without targets. */
function harmonicMean (times: readonly number[]): number {
  return times.length === 0 ? 0 : times.length / times.reduce((sum, time) => sum + 1 / time, 0)
}
