/**
 * Admission level: the part of the demand that is served while callers compete for too little capacity. Each service has one level, a
 * number in the space of ranks: ranks below it are served in full, the rank that equals its integer part is served at the level's fraction,
 * and less urgent ranks keep only their floor.
 *
 * Every VM computes the level from the same sums, which gossip brings, and moves towards the mean of its peers' levels.
 */
import type { Metrics } from 'wigeonlead'
import { OPEN_LEVEL, type Demand, type DomainDemand, type RankDemand } from '../membership/demand.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'
import type { Rank, SteppedAdmissionLevel } from './admission.js'
import { createWorkspaceShares, type WorkspaceShares } from './workspace-shares.js'

/** Settings of the level. */
export interface LevelSettings {
  /** Share of its requests that each rank keeps, returns of refused callers included, and each workspace of its rank's. */
  floorShare: number
  /** A start that waited longer counts as a sign of shortage, milliseconds. */
  longWaitMilliseconds: number
  /** Share of late answers up to which the level does not fall. */
  lateShare: number
  /** Largest rise a second, as a share of what starts. */
  risePerSecond: number
  /** Time after a fall during which the level does not rise, milliseconds. */
  holdMilliseconds: number
}

/** Level of one service at one VM. */
export interface LevelState {
  /** 0 to the least urgent rank plus 1; `OPEN_LEVEL` if everything is served. */
  level: number
  /** Time since the level last fell, milliseconds. */
  sinceFall: number
  /** Time since the level last fell because of late answers, milliseconds. */
  sinceCorrection: number
  /** Starts and answers a second, averaged over `FLOW_MILLISECONDS`; absent before the first computation. */
  flow?: { starts: number, ends: number }
  /** Whether the level has been computed from peers' levels at least once, or has no need to. */
  isSettled: boolean
}

/** What the level is computed from; all rates are by second. */
export interface LevelSignals {
  /** Arrivals of each rank of the service, most urgent first. */
  ranks: ReadonlyArray<Pick<RankDemand, 'rank' | 'arrivals'>>
  starts: number
  refusals: number
  longWaits: number
  inTime: number
  late: number
  /** Requests that wait now. */
  waiting: number
  /** Mean of the levels of the VMs that were heard; undefined if gossip is silent. */
  peersLevel?: number
  /** Number of requests that were observed, without extrapolation. */
  observed: number
  /** Time since the last computation, milliseconds. */
  elapsedMilliseconds: number
}

/** Dependencies of the level. */
export interface LevelDependencies {
  /** Failure domain of this VM. */
  failureDomain: string
  settings: LevelSettings
  demand: Demand
  log: RelayLog
  metrics: Metrics
  nextFloat: () => number
}

/** Interval at which the level is computed, milliseconds: a gossip round. */
export const LEVEL_INTERVAL_MILLISECONDS = 200

const OPEN_STATE: LevelState = { level: OPEN_LEVEL, sinceFall: Infinity, sinceCorrection: Infinity, isSettled: false }
/** Weight of the demand of other failure domains relative to this VM's own: most requests are served in the domain in which they arrive. */
const REMOTE_WEIGHT = 0.5
/** Part of the distance to the level that the starts allow, by which the level falls in one step. */
const FALL_PART = 0.7
/** Part of the distance to the peers' mean by which the level moves in one step. */
const PEERS_PART = 0.3
/** Number of observed requests from which signals count in full: a VM that hears no peers observes few. */
const FULL_EVIDENCE_REQUESTS = 10
/** Refused share of the admitted requests above which there is a shortage, and below which the level may rise. */
const REFUSED_SHARE = { fall: 0.03, rise: 0.015 }
/** Seconds of starts that wait: above the first there is a shortage, below the second the level may rise. */
const WAITING_SECONDS = { fall: 0.2, rise: 0.1 }
/** Share of starts that waited long, likewise. */
const LONG_WAIT_SHARE = { fall: 0.3, rise: 0.15 }
/**
 * Time within which a fall clears the requests that wait beyond `WAITING_SECONDS.fall`, seconds: a few times the age of the sums, as a
 * quicker correction of what is observed late overshoots.
 */
const DRAIN_SECONDS = 2.5
/** Largest part of what starts that a fall uses to drain: what waits is mostly less urgent than what the fall would refuse. */
const MAX_DRAINED_SHARE = 0.1
/** Time after the hold until the level rises at the set rate, milliseconds: it approaches the capacity of the last shortage slowly. */
const RISE_RAMP_MILLISECONDS = 3000
/** Multiple of the set rate up to which the rise goes on to grow, as long as nothing waits: capacity has come back. */
const MAX_RISE_FACTOR = 3
/** Part of the excess of late answers by which the admitted requests are cut. */
const CORRECTION_PART = 0.4
/** Time between two such cuts, milliseconds: the rates show the effect of a cut after their window and a gossip cycle. */
const CORRECTION_INTERVAL_MILLISECONDS = 1500
/** Time over which starts and answers are averaged to tell whether requests accumulate at the targets, milliseconds. */
const FLOW_MILLISECONDS = 3000
/** Share by which starts exceed answers if requests accumulate: at least this one, and more than the noise of few requests. */
const ACCUMULATION_SHARE = 0.15
/** Noise of that share if one request a second is observed, about 2.5 standard deviations; it falls with the root of the number. */
const ACCUMULATION_NOISE = 1.5
/** Number of halvings by which a level is found: to less than a thousandth of a rank. */
const LEVEL_HALVINGS = 14
/** Distance to the open level that counts as open. */
const OPEN_DISTANCE = 0.03
/** Time for which a rank counts as present after its last request, milliseconds: a rare rank has seconds without any. */
const RANK_PRESENT_MILLISECONDS = 10_000
/** Part of the new arrival rates that enters their mean in one step: the level of a rank must not follow single requests. */
const ARRIVALS_PART = 0.4
/** Change of the level since the last log line that causes another. */
const LOGGED_CHANGE = 0.25

/** @returns the share of a rank's requests that a level serves. */
export function shareOf (level: number, rank: Rank, floor: number): number {
  return Math.max(floor, Math.min(1, level - rank))
}

/**
 * The floor is the larger of two: with one return of each refused caller, the rank keeps `floorShare` of its requests; and it is admitted
 * at least `floorShare` times as often as all requests together.
 * @returns the share of its requests that each rank keeps at a level.
 */
export function floorAt (level: number, ranks: LevelSignals['ranks'], floorShare: number): number {
  const all = ranks.reduce((total, { arrivals }) => total + arrivals, 0)
  const above = ranks.reduce((total, { rank, arrivals }) => total + shareOf(level, rank, 0) * arrivals, 0)
  const servedShare = all > 0 ? above / all : 1
  const overall = servedShare / (1 - floorShare * (1 - servedShare))
  return Math.max(1 - Math.sqrt(1 - floorShare), floorShare * overall)
}

/**
 * @param ranks arrivals of each rank, most urgent first.
 * @param admitted requests a second that are to be admitted.
 * @returns the lowest level that admits them, ranks in order of urgency, after each rank's floor.
 */
export function levelFor (ranks: LevelSignals['ranks'], admitted: number, floorShare: number): number {
  let low = 0
  let high = topOf(ranks)
  for (let halving = 0; halving < LEVEL_HALVINGS; halving++) {
    const middle = (low + high) / 2
    if (admittedAt(middle, ranks, floorShare) < admitted) low = middle
    else high = middle
  }
  return high
}

/** @returns the next level of a service. It reads no clock and keeps no state. */
export function nextLevel (previous: LevelState, signals: LevelSignals, settings: LevelSettings): LevelState {
  // Among requests of one rank, the queue decides: nothing is gained by refusing some before they wait.
  if (signals.ranks.length < 2) return OPEN_STATE
  const top = topOf(signals.ranks)
  const level = Math.min(previous.level, top)
  const aged = {
    ...previous,
    sinceFall: previous.sinceFall + signals.elapsedMilliseconds,
    sinceCorrection: previous.sinceCorrection + signals.elapsedMilliseconds,
    flow: averageFlow(previous.flow, signals)
  }
  const pressure = pressureOf(signals, aged.flow, settings)
  const moved = pressure.isShort || pressure.isLate
    ? fall({ ...aged, level }, signals, settings, pressure)
    : { ...aged, level: pressure.isClear ? rise({ ...aged, level }, signals, settings) : level }
  const joined = joinPeers(moved.level, previous.isSettled, top, signals.peersLevel)
  return {
    ...moved, level: joined > top - OPEN_DISTANCE ? OPEN_LEVEL : joined, isSettled: previous.isSettled || signals.peersLevel !== undefined
  }
}

/** What the signals say of the capacity. */
interface Pressure {
  /** Admitted requests exceed what starts. */
  isShort: boolean
  /** Answers are late, and fewer requests would help. */
  isLate: boolean
  /** The level may rise. */
  isClear: boolean
  /** Late answers beyond what is tolerated, as a share of all. */
  excessShare: number
}

function pressureOf (signals: LevelSignals, flow: Required<LevelState>['flow'], settings: LevelSettings): Pressure {
  const { starts, refusals, longWaits, inTime, late, waiting } = signals
  const refused = ratio(refusals, starts + refusals)
  const waitingSeconds = waiting / Math.max(1, starts)
  const waitedLong = ratio(longWaits, starts)
  const lateShare = ratio(late, inTime + late)
  const isShort = refused > REFUSED_SHARE.fall || waitingSeconds > WAITING_SECONDS.fall || waitedLong > LONG_WAIT_SHARE.fall
  // A target that is slow by itself makes answers late at any demand; fewer requests help only if requests accumulate.
  const noise = ACCUMULATION_NOISE / Math.sqrt(Math.max(1, signals.observed))
  const isAccumulating = flow.starts - flow.ends > Math.max(ACCUMULATION_SHARE, noise) * flow.starts
  const isLate = lateShare > settings.lateShare && (isShort || isAccumulating)
  return {
    isShort,
    isLate,
    isClear: !isLate && refused < REFUSED_SHARE.rise && waitingSeconds < WAITING_SECONDS.rise && waitedLong < LONG_WAIT_SHARE.rise,
    excessShare: isLate ? lateShare - settings.lateShare : 0
  }
}

/** Averages the flow. At first, nothing is taken to accumulate: one reading is too noisy. */
function averageFlow (flow: LevelState['flow'], { starts, inTime, late, elapsedMilliseconds }: LevelSignals): Required<LevelState>['flow'] {
  const ends = inTime + late
  if (flow === undefined) return { starts, ends: starts }
  const part = Math.min(1, elapsedMilliseconds / FLOW_MILLISECONDS)
  return { starts: flow.starts + part * (starts - flow.starts), ends: flow.ends + part * (ends - flow.ends) }
}

/** Falls towards what starts, less what drains the queues; starts are observed late, so the target does not depend on earlier falls. */
function fall (state: LevelState, signals: LevelSignals, settings: LevelSettings, pressure: Pressure): LevelState {
  const { ranks, starts, waiting, observed } = signals
  const admitted = admittedAt(state.level, ranks, settings.floorShare)
  const drained = Math.min(MAX_DRAINED_SHARE * starts, Math.max(0, waiting - WAITING_SECONDS.fall * starts) / DRAIN_SECONDS)
  const mayCorrect = pressure.excessShare > 0 && state.sinceCorrection >= CORRECTION_INTERVAL_MILLISECONDS
  // Late answers say that less than what starts can be served well; without a shortage, starts do not show the capacity.
  const possible = pressure.isShort ? Math.min(admitted, starts - drained) : admitted
  const confidence = Math.min(1, observed / FULL_EVIDENCE_REQUESTS)
  const target = admitted + (possible - admitted) * FALL_PART * confidence
  const cut = mayCorrect ? CORRECTION_PART * pressure.excessShare * confidence : 0
  const level = Math.min(state.level, levelFor(ranks, target * (1 - cut), settings.floorShare))
  return { ...state, level, sinceFall: 0, sinceCorrection: mayCorrect ? 0 : state.sinceCorrection }
}

function rise (state: LevelState, { ranks, starts, elapsedMilliseconds }: LevelSignals, settings: LevelSettings): number {
  const risen = state.sinceFall - settings.holdMilliseconds
  if (risen <= 0) return state.level
  const rate = settings.risePerSecond * Math.min(MAX_RISE_FACTOR, risen / RISE_RAMP_MILLISECONDS) * Math.max(1, starts)
  const admitted = admittedAt(state.level, ranks, settings.floorShare) + rate * elapsedMilliseconds / 1000
  return Math.max(state.level, levelFor(ranks, admitted, settings.floorShare))
}

/** Moves towards the peers' mean. A VM that has just started takes it over. */
function joinPeers (level: number, isSettled: boolean, top: number, peersLevel = level): number {
  const mean = peersLevel > top - OPEN_DISTANCE ? top : peersLevel
  return level + (mean - level) * (isSettled ? PEERS_PART : 1)
}

function admittedAt (level: number, ranks: LevelSignals['ranks'], floorShare: number): number {
  const floor = floorAt(level, ranks, floorShare)
  return ranks.reduce((total, { rank, arrivals }) => total + shareOf(level, rank, floor) * arrivals, 0)
}

function topOf (ranks: LevelSignals['ranks']): number {
  return (ranks.at(-1)?.rank ?? OPEN_LEVEL - 1) + 1
}

function ratio (part: number, whole: number): number {
  return whole > 0 ? part / whole : 0
}

/** Rates of one rank over the last moments, and when it was last present. */
interface KnownRank {
  rank: Rank
  arrivals: number
  seenAt: number
}

interface ServiceLevel {
  state: LevelState
  ranks: Map<Rank, KnownRank>
  shares: WorkspaceShares
  /** Share that each rank keeps at the present level. */
  floor: number
  loggedLevel: number
  computedAt: number
}

/** Creates levels at which everything is served. */
export function createAdmissionLevel (dependencies: LevelDependencies): SteppedAdmissionLevel {
  const { failureDomain, settings, demand, log, metrics } = dependencies
  const services = new Map<string, ServiceLevel>()

  function levelOfService (service: string): ServiceLevel {
    let found = services.get(service)
    if (found === undefined) {
      const shares = createWorkspaceShares(settings.floorShare, dependencies.nextFloat)
      found = { state: OPEN_STATE, ranks: new Map(), shares, floor: 1, loggedLevel: OPEN_LEVEL, computedAt: performance.now() }
      services.set(service, found)
      metrics.gauge('admission_level', () => levelOf(service), { service })
    }
    return found
  }

  function levelOf (service: string): number {
    return services.get(service)?.state.level ?? OPEN_LEVEL
  }

  function shareFor (service: string, rank: Rank): number {
    const known = services.get(service)
    return known === undefined || known.state.level >= OPEN_LEVEL ? 1 : shareOf(known.state.level, rank, known.floor)
  }

  function compute (service: string, known: ServiceLevel): void {
    const now = performance.now()
    const local = demand.inDomain(service, failureDomain)
    const fleet = demand.inFleet(service)
    if (local === undefined || fleet === undefined) return
    const signals = signalsOf(local, fleet, rememberRanks(known.ranks, weighted(local, fleet), now), now - known.computedAt)
    known.computedAt = now
    known.state = nextLevel(known.state, signals, settings)
    known.floor = floorAt(known.state.level, signals.ranks, settings.floorShare)
    demand.setLevel(service, known.state.level)
    known.shares.step(known.state.level)
    logChange(service, known, signals, fleet)
  }

  function logChange (service: string, known: ServiceLevel, signals: LevelSignals, fleet: DomainDemand): void {
    const level = known.state.level
    const top = topOf(signals.ranks)
    const change = Math.abs(Math.min(level, top) - Math.min(known.loggedLevel, top))
    const hasOpened = level === OPEN_LEVEL && known.loggedLevel < OPEN_LEVEL
    if (change < LOGGED_CHANGE && !hasOpened) return
    known.loggedLevel = level
    log.info(RelayEvent.AdmissionLevelChanged, {
      service,
      level: rounded(level),
      ranks: signals.ranks.map(({ rank, arrivals }) => `${rank}:${rounded(arrivals)}`).join(' '),
      starts: rounded(signals.starts),
      refusals: rounded(signals.refusals),
      longWaits: rounded(signals.longWaits),
      waiting: rounded(signals.waiting),
      inTime: rounded(signals.inTime),
      late: rounded(signals.late),
      peersLevel: signals.peersLevel === undefined ? undefined : rounded(signals.peersLevel),
      knownShare: rounded(fleet.knownShare),
      ageMilliseconds: Math.round(fleet.ageMilliseconds)
    })
  }

  return {
    admits (service, rank, workspace = '') {
      demand.recordArrival(service, rank)
      return levelOfService(service).shares.admits(rank, workspace, shareFor(service, rank))
    },
    recordStart: (service, rank, waitedMilliseconds) =>
      demand.recordStart(service, rank, waitedMilliseconds > settings.longWaitMilliseconds),
    recordRefusal: (service, rank) => demand.recordRefusal(service, rank),
    recordEnd: (service, rank, isInTime) => demand.recordEnd(service, rank, isInTime),
    step: () => { for (const [service, known] of services) compute(service, known) },
    shareFor,
    levelOf
  }
}

/** @returns the value of a rate or count for this VM: that of its own failure domain, plus a part of that of the others. */
function weighted (local: DomainDemand, fleet: DomainDemand): (read: (demand: DomainDemand) => number) => number {
  return read => (1 - REMOTE_WEIGHT) * read(local) + REMOTE_WEIGHT * read(fleet)
}

function signalsOf (local: DomainDemand, fleet: DomainDemand, ranks: LevelSignals['ranks'], elapsedMilliseconds: number): LevelSignals {
  const mean = weighted(local, fleet)
  const total = (rate: Exclude<keyof RankDemand, 'rank'>): number =>
    mean(demand => demand.ranks.reduce((sum, rank) => sum + (rank[rate] ?? 0), 0))
  const arrivals = (demand: DomainDemand): number => demand.ranks.reduce((sum, rank) => sum + rank.arrivals, 0)
  return {
    ranks,
    starts: total('starts'),
    refusals: total('refusals'),
    longWaits: total('longWaits'),
    inTime: total('inTime'),
    late: total('late'),
    waiting: mean(({ waiting }) => waiting),
    peersLevel: fleet.ageMilliseconds > 0 ? mean(({ level }) => level) : undefined,
    observed: arrivals(fleet) * fleet.knownShare,
    elapsedMilliseconds
  }
}

/** Updates the mean arrivals of each rank. @returns the ranks that were present recently, most urgent first. */
function rememberRanks (known: Map<Rank, KnownRank>, read: ReturnType<typeof weighted>, now: number): KnownRank[] {
  const arrivalsOf = (rank: Rank): number => read(({ ranks }) => ranks.find(demand => demand.rank === rank)?.arrivals ?? 0)
  read(({ ranks }) => {
    for (const { rank } of ranks) if (!known.has(rank)) known.set(rank, { rank, arrivals: arrivalsOf(rank), seenAt: now })
    return 0
  })
  for (const entry of known.values()) {
    const arrivals = arrivalsOf(entry.rank)
    entry.arrivals += ARRIVALS_PART * (arrivals - entry.arrivals)
    if (arrivals > 0) entry.seenAt = now
    if (now - entry.seenAt > RANK_PRESENT_MILLISECONDS) known.delete(entry.rank)
  }
  return [...known.values()].sort((one, other) => one.rank - other.rank)
}

function rounded (value: number): number {
  return Math.round(value * 100) / 100
}
