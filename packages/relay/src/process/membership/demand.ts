/**
 * Sums of demand by service and rank: those of this VM, and those that peers gossip, by failure domain.
 */
import type { Rank } from '../admission/admission.js'

/** Rates of one rank of a service, per second over the last moments. */
export interface RankDemand {
  rank: Rank
  /** All requests that arrived, including those that the level did not admit. */
  arrivals: number
  starts: number
  /** Refusals for want of capacity: those by the level are not included. */
  refusals: number
  /** Answers that kept the objectives of their routes, and those that did not. */
  inTime: number
  late: number
  /** Starts that waited long; absent if the sender does not count them. */
  longWaits?: number
}

/** What one VM tells of one service. */
export interface ServiceDemand {
  service: string
  ranks: RankDemand[]
  /** Requests that wait at the VM now. */
  waiting: number
  /**
   * Admission level of the VM, from 0 (only floors) to `OPEN_LEVEL` (everything): ranks below it are served in full, and its fraction is
   * the share of the rank that equals its integer part.
   */
  level: number
  /** Share of the VM's requests of this service that it sends out of its failure domain, 0 to 1. */
  sharedOut: number
}

/** Demand in one failure domain, extrapolated from the VMs that were heard recently to all that are listed there. */
export interface DomainDemand {
  ranks: RankDemand[]
  waiting: number
  /** Mean admission level over the VMs that were heard, at most the least urgent rank plus 1. */
  level: number
  sharedOut: number
  /** Share of the listed VMs that were heard recently; 0 if the demand of the domain is unknown. */
  knownShare: number
  /** Age of the oldest sums that are included, milliseconds. */
  ageMilliseconds: number
}

/** Sums of this VM and its peers. */
export interface Demand {
  recordArrival: (service: string, rank: Rank) => void
  recordStart: (service: string, rank: Rank, hasWaitedLong?: boolean) => void
  recordRefusal: (service: string, rank: Rank) => void
  recordEnd: (service: string, rank: Rank, isInTime: boolean) => void
  setWaiting: (service: string, requests: number) => void
  setLevel: (service: string, level: number) => void
  setSharedOut: (service: string, share: number) => void
  /** @returns the sums of this VM, for gossip; services without recent requests are left out. */
  own: () => ServiceDemand[]
  /** Replaces the sums of a peer. */
  setPeer: (vm: string, failureDomain: string, demands: readonly ServiceDemand[]) => void
  dropPeer: (vm: string) => void
  /** @returns the demand in a failure domain; undefined if no VM of it was heard recently. */
  inDomain: (service: string, failureDomain: string) => DomainDemand | undefined
  /** @returns the demand over all failure domains from which it is known. */
  inFleet: (service: string) => DomainDemand | undefined
}

/** Dependencies of the sums. */
export interface DemandDependencies {
  /** Failure domain of this VM. */
  failureDomain: string
  /** @returns the number of VMs that are listed in a failure domain, including this one. */
  listedVms: (failureDomain: string) => number
}

/** Highest admission level: requests of all ranks, 0 to 9, are served. */
export const OPEN_LEVEL = 10

/** Window of the rates, milliseconds: shorter ones hold too few requests of one VM. */
const WINDOW_MILLISECONDS = 1000
const SLOT_MILLISECONDS = 100
const SLOTS = WINDOW_MILLISECONDS / SLOT_MILLISECONDS
/** Shortest time over which rates are taken after the start of the process, milliseconds. */
const LEAST_WINDOW_MILLISECONDS = 300
/** Age at which the sums of a peer are dropped, milliseconds. */
const EXPIRY_MILLISECONDS = 3000
/** Age up to which sums are included, milliseconds: one gossip cycle of a failure domain of 30 VMs. */
const RECENT_MILLISECONDS = 1500
/** Age at which the sums of a VM have half the weight of new ones, milliseconds: a sudden loss shows first in the newest. */
const HALF_WEIGHT_MILLISECONDS = 400

/** Events of one rank that are counted, in the order of the columns of a slot. */
enum Count { Arrivals, Starts, Refusals, InTime, Late, LongWaits }
const COUNTS = 6

/** Counts of one rank in a ring of time slots. */
interface RankCounts {
  slots: Float64Array
  /** Number of the newest slot, counted from the origin of the clock. */
  newest: number
}

interface OwnService {
  ranks: Map<Rank, RankCounts>
  waiting: number
  level: number
  sharedOut: number
}

interface HeardVm {
  failureDomain: string
  receivedAt: number
  services: ReadonlyMap<string, ServiceDemand>
}

/** Sums over VMs, weighted by age. */
interface WeightedSums {
  ranks: Map<Rank, Required<RankDemand>>
  waiting: number
  levels: Array<{ level: number, weight: number }>
  sharedOut: number
  weight: number
  vms: number
  ageMilliseconds: number
}

const RATES = ['arrivals', 'starts', 'refusals', 'inTime', 'late', 'longWaits'] as const

/** Creates empty sums. */
export function createDemand (dependencies: DemandDependencies): Demand {
  const own = new Map<string, OwnService>()
  /** Ordered by the time of receipt, oldest first. */
  const peers = new Map<string, HeardVm>()
  const startedAt = performance.now()

  function ownService (service: string): OwnService {
    let found = own.get(service)
    if (found === undefined) own.set(service, found = { ranks: new Map(), waiting: 0, level: OPEN_LEVEL, sharedOut: 0 })
    return found
  }

  function record (service: string, rank: Rank, count: Count): void {
    const { ranks } = ownService(service)
    let counts = ranks.get(rank)
    if (counts === undefined) ranks.set(rank, counts = { slots: new Float64Array(SLOTS * COUNTS), newest: presentSlot() })
    advance(counts)
    counts.slots[(counts.newest % SLOTS) * COUNTS + count]! += 1
  }

  /** @returns the sums of this VM for one service; undefined if it has no recent requests. */
  function ownDemand (service: string): ServiceDemand | undefined {
    const found = own.get(service)
    if (found === undefined) return undefined
    const seconds = Math.min(WINDOW_MILLISECONDS, Math.max(LEAST_WINDOW_MILLISECONDS, performance.now() - startedAt)) / 1000
    const ranks: RankDemand[] = []
    for (const [rank, counts] of found.ranks) {
      advance(counts)
      const total = (count: Count): number => totalOf(counts, count) / seconds
      const demand = {
        rank,
        arrivals: total(Count.Arrivals),
        starts: total(Count.Starts),
        refusals: total(Count.Refusals),
        inTime: total(Count.InTime),
        late: total(Count.Late),
        longWaits: total(Count.LongWaits)
      }
      if (RATES.some(rate => demand[rate] > 0)) ranks.push(demand)
    }
    if (ranks.length === 0 && found.waiting === 0) return undefined
    return { service, ranks, waiting: found.waiting, level: found.level, sharedOut: found.sharedOut }
  }

  function dropExpired (): void {
    const oldest = performance.now() - EXPIRY_MILLISECONDS
    for (const [vm, { receivedAt }] of peers) {
      if (receivedAt >= oldest) return
      peers.delete(vm)
    }
  }

  /** Sums the VMs that were heard recently by failure domain, in one pass. */
  function sumDomains (service: string, only?: string): Map<string, WeightedSums> {
    const sums = new Map<string, WeightedSums>()
    const now = performance.now()
    const { failureDomain } = dependencies
    if (only === undefined || only === failureDomain) addVm(sumsOf(sums, failureDomain), ownDemand(service), 0)
    for (const peer of peers.values()) {
      const age = now - peer.receivedAt
      if (age > RECENT_MILLISECONDS || (only !== undefined && peer.failureDomain !== only)) continue
      addVm(sumsOf(sums, peer.failureDomain), peer.services.get(service), age)
    }
    return sums
  }

  function vmsIn (failureDomain: string, { vms }: WeightedSums): number {
    return Math.max(vms, dependencies.listedVms(failureDomain))
  }

  return {
    recordArrival: (service, rank) => record(service, rank, Count.Arrivals),
    recordStart (service, rank, hasWaitedLong = false) {
      record(service, rank, Count.Starts)
      if (hasWaitedLong) record(service, rank, Count.LongWaits)
    },
    recordRefusal: (service, rank) => record(service, rank, Count.Refusals),
    recordEnd: (service, rank, isInTime) => record(service, rank, isInTime ? Count.InTime : Count.Late),
    setWaiting: (service, requests) => { ownService(service).waiting = requests },
    setLevel: (service, level) => { ownService(service).level = level },
    setSharedOut: (service, share) => { ownService(service).sharedOut = share },
    own: () => [...own.keys()].map(ownDemand).filter(demand => demand !== undefined),
    setPeer (vm, failureDomain, demands) {
      peers.delete(vm)
      dropExpired()
      peers.set(vm, { failureDomain, receivedAt: performance.now(), services: new Map(demands.map(demand => [demand.service, demand])) })
    },
    dropPeer: vm => { peers.delete(vm) },
    inDomain (service, failureDomain) {
      const sums = sumDomains(service, failureDomain).get(failureDomain)
      return sums === undefined ? undefined : extrapolate(sums, vmsIn(failureDomain, sums))
    },
    inFleet (service) {
      dropExpired()
      return joinDomains([...sumDomains(service)].map(([domain, sums]) => {
        const vms = vmsIn(domain, sums)
        return { vms, demand: extrapolate(sums, vms) }
      }))
    }
  }
}

function presentSlot (): number {
  return Math.floor(performance.now() / SLOT_MILLISECONDS)
}

/** Clears the slots that have left the window. */
function advance (counts: RankCounts): void {
  const present = presentSlot()
  for (let slot = Math.max(counts.newest + 1, present - SLOTS + 1); slot <= present; slot++) {
    const first = (slot % SLOTS) * COUNTS
    counts.slots.fill(0, first, first + COUNTS)
  }
  counts.newest = Math.max(counts.newest, present)
}

function totalOf (counts: RankCounts, count: Count): number {
  let total = 0
  for (let index: number = count; index < counts.slots.length; index += COUNTS) total += counts.slots[index]!
  return total
}

function sumsOf (byDomain: Map<string, WeightedSums>, failureDomain: string): WeightedSums {
  let sums = byDomain.get(failureDomain)
  if (sums === undefined) byDomain.set(failureDomain, sums = emptySums())
  return sums
}

function emptySums (): WeightedSums {
  return { ranks: new Map(), waiting: 0, levels: [], sharedOut: 0, weight: 0, vms: 0, ageMilliseconds: 0 }
}

/** Adds one VM. A VM that was heard and names no demand for the service has none. */
function addVm (sums: WeightedSums, demand: ServiceDemand | undefined, ageMilliseconds: number): void {
  const weight = 2 ** (-ageMilliseconds / HALF_WEIGHT_MILLISECONDS)
  sums.weight += weight
  sums.vms += 1
  sums.ageMilliseconds = Math.max(sums.ageMilliseconds, ageMilliseconds)
  if (demand === undefined) return
  sums.waiting += weight * demand.waiting
  sums.levels.push({ level: demand.level, weight })
  sums.sharedOut += weight * demand.sharedOut
  for (const rank of demand.ranks) addRates(sums.ranks, rank, weight)
}

function addRates (ranks: Map<Rank, Required<RankDemand>>, added: RankDemand, factor: number): void {
  let sum = ranks.get(added.rank)
  if (sum === undefined) {
    ranks.set(added.rank, sum = { rank: added.rank, arrivals: 0, starts: 0, refusals: 0, inTime: 0, late: 0, longWaits: 0 })
  }
  // Written out: this runs for each rank of each VM that was heard, five times a second.
  sum.arrivals += factor * added.arrivals
  sum.starts += factor * added.starts
  sum.refusals += factor * added.refusals
  sum.inTime += factor * added.inTime
  sum.late += factor * added.late
  sum.longWaits += factor * (added.longWaits ?? 0)
}

/** @returns the demand of all VMs of a failure domain, each taken as the weighted mean of those that were heard. */
function extrapolate (sums: WeightedSums, listedVms: number): DomainDemand {
  const factor = listedVms / sums.weight
  const ranks = new Map<Rank, Required<RankDemand>>()
  for (const rank of sums.ranks.values()) addRates(ranks, rank, factor)
  const highest = leastUrgentRank(ranks.values()) + 1
  const levelWeight = sums.levels.reduce((total, { weight }) => total + weight, 0)
  const levels = sums.levels.reduce((total, { level, weight }) => total + weight * Math.min(level, highest), 0)
  return {
    ranks: sortedRanks(ranks),
    waiting: sums.waiting * factor,
    level: levelWeight === 0 ? highest : levels / levelWeight,
    sharedOut: levelWeight === 0 ? 0 : sums.sharedOut / levelWeight,
    knownShare: sums.vms / listedVms,
    ageMilliseconds: sums.ageMilliseconds
  }
}

function joinDomains (domains: ReadonlyArray<{ vms: number, demand: DomainDemand }>): DomainDemand | undefined {
  if (domains.length === 0) return undefined
  const ranks = new Map<Rank, Required<RankDemand>>()
  for (const { demand } of domains) for (const rank of demand.ranks) addRates(ranks, rank, 1)
  const vms = domains.reduce((total, domain) => total + domain.vms, 0)
  const sum = (read: (demand: DomainDemand) => number): number => domains.reduce((total, { demand }) => total + read(demand), 0)
  const mean = (read: (demand: DomainDemand) => number): number =>
    domains.reduce((total, domain) => total + read(domain.demand) * domain.vms, 0) / vms
  const highest = leastUrgentRank(ranks.values()) + 1
  return {
    ranks: sortedRanks(ranks),
    waiting: sum(({ waiting }) => waiting),
    // A domain that has fewer ranks and serves them all is open to the others too.
    level: mean(demand => demand.level >= leastUrgentRank(demand.ranks) + 1 ? highest : demand.level),
    sharedOut: mean(({ sharedOut }) => sharedOut),
    knownShare: mean(({ knownShare }) => knownShare),
    ageMilliseconds: Math.max(...domains.map(({ demand }) => demand.ageMilliseconds))
  }
}

/** @returns the highest rank; OPEN_LEVEL - 1 if there is none. */
function leastUrgentRank (ranks: Iterable<RankDemand>): Rank {
  let highest = -1
  for (const { rank } of ranks) highest = Math.max(highest, rank)
  return highest < 0 ? OPEN_LEVEL - 1 : highest
}

function sortedRanks (ranks: ReadonlyMap<Rank, RankDemand>): RankDemand[] {
  return [...ranks.values()].sort((one, other) => one.rank - other.rank)
}
