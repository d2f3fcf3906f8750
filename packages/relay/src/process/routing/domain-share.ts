/**
 * Decides how much of a failure domain's demand is served by the targets of other failure domains, and by which.
 */
import type { Service } from '../../version/configuration.js'
import type { Directory } from '../directory.js'
import type { Demand } from '../membership/demand.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'
import { crossingCost, domainStates, predictWait, type DomainState, type LeavingTerms } from './domain-state.js'
import type { Load } from './load.js'

/** Where requests of this VM's failure domain go. Shares add up to at most 1; the rest stays. */
export interface DomainShares {
  /** @returns shares by failure domain; empty if all requests stay. */
  current: (service: string) => ReadonlyMap<string, number>
  /**
   * Draws the failure domain that serves the next request.
   * @param draw random number from 0 to 1.
   * @returns the name of the failure domain; the own one for most requests.
   */
  choose: (service: string, draw: number) => string
  /** Whether the shares rest on the demand of another failure domain. If not, requests leave by the cost of their path alone. */
  isInformed: (service: string) => boolean
  /** Updates the shares of all services. */
  step: () => void
  /** @returns the shares and the states that they follow from, for operators. */
  report: () => DomainShareReport[]
}

/** Shares of one service, and why. */
export interface DomainShareReport {
  service: string
  failureDomain: string
  shares: Record<string, number>
  /** States of all failure domains as of the last update. */
  states: DomainState[]
}

/** Dependencies of the shares. */
export interface DomainSharesDependencies {
  failureDomain: string
  terms: LeavingTerms
  services: () => Iterable<Service>
  directory: Directory
  load: Load
  demand: Pick<Demand, 'inDomain' | 'setSharedOut'>
  /** Factor by which a target is slower than usual for its kind. */
  slownessOf: (incarnation: string) => number
  /** Whether this VM is cut off from the targets of a service. */
  isCutOff: (service: string) => boolean
  log: RelayLog
  /** Called once for each pair of a service and a failure domain that had a share. */
  onPair: (service: string, failureDomain: string) => void
}

/** Interval at which the shares are updated, milliseconds. */
export const SHARE_INTERVAL_MILLISECONDS = 250
/** Gain at which requests start to leave, milliseconds of predicted wait beyond what the crossing costs. */
const START_GAIN_MILLISECONDS = 120
/** Gain below which requests that leave return, milliseconds. */
const STOP_GAIN_MILLISECONDS = 40
/** Age above which the state of a failure domain is unknown, milliseconds. */
const MAXIMUM_AGE_MILLISECONDS = 3000
/** Part of the way to the equalizing share that one update goes. The states are up to 2 s old, so faster moves overshoot. */
const APPROACH_PART = 0.15
/** Largest rise of a share in one update. */
const MAXIMUM_RISE = 0.03
/** Largest fall of a share in one update, if the receiver may keep it. */
const MAXIMUM_RETURN = 0.06
/** Fall of a share in one update, if the receiver may not take more: from any share to zero in three updates. */
const WITHDRAWAL = 0.34
/** Smaller shares count as zero. */
const LEAST_SHARE = 0.005
/** The rest leaves by the cost of paths only. The demand at home is divided by what stays, which must not be near zero. */
const MAXIMUM_SHARED_OUT = 0.9
/** Part of a receiver's spare capacity that all senders together may take. The rest is for its own callers' next burst. */
const SPARE_PART = 0.7
/** Change of a share that is logged. */
const LOGGED_STEP = 0.05
/** Steps of each bisection: an error under a thousandth of its range. */
const BISECTIONS = 18

/** What one update does with the share of a receiver. */
enum Verdict {
  /** It goes to zero at once: nothing is known of the receiver, or it serves nothing. */
  Drop = 'drop',
  /** It falls to zero within a second. */
  Withdraw = 'withdraw',
  /** It moves back towards zero in steps. */
  Return = 'return',
  /** It moves towards the share that equals the predicted waits. */
  Approach = 'approach'
}

/**
 * Decides the next shares.
 * @param previous present shares by failure domain.
 * @param others states of the other failure domains.
 * @param costMilliseconds what serving one request across is worth in wait.
 * @returns the next shares, without those that are zero.
 */
export function nextShares (
  previous: ReadonlyMap<string, number>, own: DomainState, others: readonly DomainState[], costMilliseconds: number
): Map<string, number> {
  const verdicts = new Map(others.map(other => [other, judge(previous.get(other.failureDomain) ?? 0, own, other, costMilliseconds)]))
  const receivers = others.filter(other => verdicts.get(other) === Verdict.Approach)
  const goals = equalize(previous, own, receivers, others, costMilliseconds + STOP_GAIN_MILLISECONDS)
  const next = new Map<string, number>()
  for (const [other, verdict] of verdicts) {
    const share = MOVES[verdict](previous.get(other.failureDomain) ?? 0, goals.get(other) ?? 0)
    if (share >= LEAST_SHARE) next.set(other.failureDomain, share)
  }
  return next
}

/** The next share from the present one and its goal, by verdict. */
const MOVES: Record<Verdict, (share: number, goal: number) => number> = {
  [Verdict.Drop]: () => 0,
  [Verdict.Withdraw]: share => share - WITHDRAWAL,
  [Verdict.Return]: share => approach(share, 0),
  [Verdict.Approach]: approach
}

function approach (share: number, goal: number): number {
  // Without a least step, a share would neither leave zero nor reach it.
  const step = Math.max(LEAST_SHARE, Math.abs(goal - share) * APPROACH_PART)
  return goal > share ? Math.min(goal, share + Math.min(MAXIMUM_RISE, step)) : Math.max(goal, share - Math.min(MAXIMUM_RETURN, step))
}

function judge (share: number, own: DomainState, other: DomainState, costMilliseconds: number): Verdict {
  if (!isKnown(own) || !isKnown(other) || other.places === 0) return Verdict.Drop
  if (other.isShort || (other.sharedToUs > 0 && !isAheadOf(own, other, share))) return Verdict.Withdraw
  const gain = predictWait(own, own.demandRequests) - predictWait(other, residentRequests(share, own, other)) - costMilliseconds
  return gain > (share > 0 ? STOP_GAIN_MILLISECONDS : START_GAIN_MILLISECONDS) ? Verdict.Approach : Verdict.Return
}

function isKnown (state: DomainState): boolean {
  return state.ageMilliseconds <= MAXIMUM_AGE_MILLISECONDS
}

/** Whether this failure domain goes on to send where the other one sends too: it already does, and it has the longer wait. */
function isAheadOf (own: DomainState, other: DomainState, share: number): boolean {
  if (share === 0) return false
  const [ownWait, otherWait] = [own, other].map(state => predictWait(state, state.demandRequests)) as [number, number]
  return ownWait === otherWait ? own.failureDomain < other.failureDomain : ownWait > otherWait
}

/** @returns the requests at another failure domain without those that the share has sent there. */
function residentRequests (share: number, own: DomainState, other: DomainState): number {
  return Math.max(0, other.utilization * other.places - share * own.demandRequests)
}

/**
 * @param marginMilliseconds by how much the wait at home may exceed that of a receiver.
 * @returns the shares with which the predicted waits are equal but for the margin, bounded by what the receivers may take.
 */
function equalize (
  previous: ReadonlyMap<string, number>, own: DomainState, receivers: readonly DomainState[], others: readonly DomainState[],
  marginMilliseconds: number
): Map<DomainState, number> {
  if (own.demandRequests === 0) return new Map()
  const openings = receivers.map(state => {
    const resident = residentRequests(previous.get(state.failureDomain) ?? 0, own, state)
    const senders = 1 + others.filter(other => other !== state && (other.isShort || other.sharedToUs > 0)).length
    return { state, resident, limit: Math.max(0, state.places - resident) * SPARE_PART / senders }
  })
  const taken = (wait: number): number[] => openings.map(({ state, resident, limit }) =>
    Math.min(limit, Math.max(0, requestsWithin(state, wait - marginMilliseconds) - resident)))
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)
  const longest = Math.min(predictWait(own, own.demandRequests), LONGEST_WAIT_MILLISECONDS)
  const wait = bisect(0, longest, candidate => requestsWithin(own, candidate) + sum(taken(candidate)) >= own.demandRequests)
  const offers = taken(wait)
  // Where the predicted waits are flat, the receivers could take more than home lacks.
  const lacking = Math.min(own.demandRequests - requestsWithin(own, wait), own.demandRequests * MAXIMUM_SHARED_OUT)
  const scale = Math.max(0, Math.min(1, lacking / Math.max(sum(offers), Number.MIN_VALUE))) / own.demandRequests
  return new Map(openings.map(({ state }, index) => [state, offers[index]! * scale]))
}

/** Upper bound of the waits that are compared, milliseconds: longer than any caller waits. */
const LONGEST_WAIT_MILLISECONDS = 60_000
/** Upper bound of the load that is compared, relative to the capacity. */
const HIGHEST_UTILIZATION = 20

/** @returns the number of requests with which a failure domain's predicted wait is the given one. */
function requestsWithin (state: DomainState, waitMilliseconds: number): number {
  return bisect(0, state.places * HIGHEST_UTILIZATION, requests => predictWait(state, requests) >= waitMilliseconds)
}

/** @returns the least value for which the condition holds; the upper bound if it never does. */
function bisect (from: number, to: number, holds: (value: number) => boolean): number {
  let [low, high] = [from, to]
  for (let step = 0; step < BISECTIONS; step++) {
    const middle = (low + high) / 2
    if (holds(middle)) high = middle
    else low = middle
  }
  return high
}

/** Demand of a process that hears no sums: every failure domain is unknown, so no request is shared out. */
export const UNKNOWN_DEMAND: DomainSharesDependencies['demand'] = { inDomain: () => undefined, setSharedOut () {} }

const NO_SHARES: ReadonlyMap<string, number> = new Map()

/** Creates the shares of one process. All requests stay until the first update. */
export function createDomainShares (dependencies: DomainSharesDependencies): DomainShares {
  const { failureDomain, terms, directory, load, demand, log } = dependencies
  const shares = new Map<string, ReadonlyMap<string, number>>()
  const states = new Map<string, DomainState[]>()
  /** Shares as last logged, by service and failure domain. */
  const logged = new Map<string, number>()

  function step (): void {
    const services = [...dependencies.services()]
    for (const name of states.keys()) if (!services.some(service => service.name === name)) forget(name)
    for (const service of services) update(service)
  }

  function forget (service: string): void {
    shares.delete(service)
    states.delete(service)
  }

  function update (service: Service): void {
    const all = domainStates(service, directory, load, demand, dependencies.slownessOf)
    const own = all.find(state => state.failureDomain === failureDomain)
    const others = all.filter(state => state !== own)
    const mayLeave = terms.mayLeave && !dependencies.isCutOff(service.name) && own !== undefined
    const before = shares.get(service.name) ?? NO_SHARES
    const next = mayLeave ? nextShares(before, own, others, crossingCost(service, terms)) : NO_SHARES
    states.set(service.name, all)
    shares.set(service.name, next)
    demand.setSharedOut(service.name, [...next.values()].reduce((sum, share) => sum + share, 0))
    for (const receiver of new Set([...before.keys(), ...next.keys()])) record(service.name, receiver, next.get(receiver) ?? 0, own, others)
  }

  function record (service: string, receiver: string, share: number, own: DomainState | undefined, others: readonly DomainState[]): void {
    const key = JSON.stringify([service, receiver])
    const before = logged.get(key)
    if (before === undefined) dependencies.onPair(service, receiver)
    const change = Math.abs(share - (before ?? 0))
    if (before !== undefined && change < LOGGED_STEP && (share > 0 || before === 0)) return
    logged.set(key, share)
    const other = others.find(state => state.failureDomain === receiver)
    log.info(RelayEvent.DomainShareChanged, {
      service,
      failureDomain: receiver,
      share: round(share),
      shareBefore: round(before ?? 0),
      waitMilliseconds: round(own?.waitMilliseconds),
      otherWaitMilliseconds: round(other?.waitMilliseconds),
      utilization: round(own?.utilization),
      otherUtilization: round(other?.utilization),
      ageMilliseconds: round(own?.ageMilliseconds),
      otherAgeMilliseconds: round(other?.ageMilliseconds),
      isOtherShort: other?.isShort
    })
  }

  return {
    current: service => shares.get(service) ?? NO_SHARES,
    choose (service, draw) {
      let passed = 0
      for (const [receiver, share] of shares.get(service) ?? NO_SHARES) {
        passed += share
        if (draw < passed) return receiver
      }
      return failureDomain
    },
    isInformed: service => terms.mayLeave &&
      (states.get(service) ?? []).some(state => state.failureDomain !== failureDomain && isKnown(state)),
    step,
    report: () => [...states].map(([service, all]) =>
      ({ service, failureDomain, shares: Object.fromEntries(shares.get(service) ?? []), states: all }))
  }
}

function round (value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value * 1000) / 1000
}
