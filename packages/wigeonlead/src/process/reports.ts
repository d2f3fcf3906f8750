/**
 * Collects load reports of targets. Rendezvous hashing divides the targets of a failure domain among its entry VMs. Once a
 * second, each of them polls its targets and exchanges reports with two peers of the domain, and less often with a peer of another domain.
 */
import {
  MemberState, PeerMethod,
  type CompactReport, type EnginePort, type EngineReport, type ModelPart, type ManifestTarget, type MemberEntry, type PeerHandlers,
  type PeerPort, type RandomSource
} from '@wigeonlead/protocol'
import type { CompiledVersion } from '../version/index.js'
import { listMissingParts } from './held-parts.js'
import { rendezvousOwner } from './rendezvous.js'

/** The last known load of a target, and when it was reported. */
export interface TargetLoad {
  running: number
  queued: number
  tokensPerSecond: number
  /** When the engine made the report, by this node's clock, milliseconds since 1970. */
  reportedAt: number
  /** Requests of other entry VMs that run at the target, as an exponentially weighted average over reports. */
  othersRunning: number
}

/** The load reports that this node has. */
export interface LoadReports {
  /** @returns the load of a target, or undefined without a recent report. */
  load: (target: string) => TargetLoad | undefined
  start: () => void
  stop: () => void
  handlers: PeerHandlers
}

/** Dependencies of the load reports. */
export interface ReportsDependencies {
  engines: EnginePort
  peers: PeerPort
  random: RandomSource
  failureDomain: string
  self: () => MemberEntry
  members: () => MemberEntry[]
  versionInForce: () => CompiledVersion | undefined
  /** @returns how many requests this node had in flight at a target at an earlier time. */
  inFlightAt: (target: string, atMilliseconds: number) => number
  /** Called with each full report that this node polled. */
  onReport: (report: EngineReport) => void
  /** Called for each polled or received report that is newer than the stored one, with the declared parts that the target lacks. */
  onMissingParts?: (target: string, missing: readonly ModelPart[]) => void
}

const INTERVAL_MILLISECONDS = 1000
const POLL_DEADLINE_MILLISECONDS = 500
const EXCHANGE_DEADLINE_MILLISECONDS = 500
/** Number of peers of this node's failure domain with which reports are exchanged in each interval. */
const DOMAIN_PEERS_PER_INTERVAL = 2
/** Number of intervals between exchanges with other failure domains, which learn the load of this domain's targets in this way. */
const CROSS_DOMAIN_INTERVALS = 2
/** Limits the control traffic of a large fleet; reports of targets of this node's failure domain are sent first. */
const MAXIMUM_REPORTS_PER_MESSAGE = 60
/** Number of peers for which the reports already sent to them are recorded. */
const MAXIMUM_TRACKED_PEERS = 64
/** Maximum age of a report, milliseconds; older ones are neither used nor passed on. */
const MAXIMUM_REPORT_AGE_MILLISECONDS = 30_000
/** Time constant of the average of other entry VMs' requests, milliseconds. */
const SMOOTHING_MILLISECONDS = 2000

/** Creates a collection without reports; it polls once it is started. */
export function createLoadReports (dependencies: ReportsDependencies): LoadReports {
  const latest = new Map<string, { report: CompactReport, load: TargetLoad }>()
  const sentByPeer = new Map<string, Map<string, number>>()
  let timer: NodeJS.Timeout | undefined
  let intervalCount = 0

  /** Stores a report unless it is too old or not newer than the stored one. */
  function merge (report: CompactReport): void {
    const previous = latest.get(report.target)
    if (previous !== undefined && previous.report.atMilliseconds >= report.atMilliseconds) return
    if (report.ageMilliseconds > MAXIMUM_REPORT_AGE_MILLISECONDS) return
    const reportedAt = Date.now() - Math.max(0, report.ageMilliseconds)
    const runningForOthers = Math.max(0, report.running - dependencies.inFlightAt(report.target, reportedAt))
    const gain = previous === undefined ? 1 : 1 - Math.exp((previous.load.reportedAt - reportedAt) / SMOOTHING_MILLISECONDS)
    const othersRunning = (previous?.load.othersRunning ?? 0) * (1 - gain) + runningForOthers * gain
    const { running, queued, tokensPerSecond } = report
    dependencies.onMissingParts?.(report.target, report.missing ?? [])
    latest.set(report.target, { report, load: { running, queued, tokensPerSecond, reportedAt, othersRunning } })
  }

  async function pollTarget (target: ManifestTarget): Promise<void> {
    const outcome = await dependencies.engines.report({ target: target.name, address: target.address }, POLL_DEADLINE_MILLISECONDS)
    if (!outcome.ok) return
    dependencies.onReport(outcome.value)
    const { atMilliseconds, running, queued, tokensPerSecond } = outcome.value
    const ageMilliseconds = Math.max(0, Date.now() - atMilliseconds)
    const missing = listMissingParts(target, outcome.value)
    merge({ target: target.name, atMilliseconds, ageMilliseconds, running, queued, tokensPerSecond, missing })
  }

  function isInOwnDomain (target: string): boolean {
    return dependencies.versionInForce()?.targets.get(target)?.failureDomain === dependencies.failureDomain
  }

  /** Returns the reports that a peer may lack, and records them as sent to it. */
  function takeUnsent (peer: string): CompactReport[] {
    const sent = sentByPeer.get(peer) ?? new Map<string, number>()
    sentByPeer.delete(peer)
    sentByPeer.set(peer, sent)
    if (sentByPeer.size > MAXIMUM_TRACKED_PEERS) sentByPeer.delete(sentByPeer.keys().next().value ?? '')
    const now = Date.now()
    const unsent = [...latest.values()].filter(({ report, load }) =>
      report.atMilliseconds > (sent.get(report.target) ?? 0) && now - load.reportedAt < MAXIMUM_REPORT_AGE_MILLISECONDS)
    const [ownDomain, otherDomains] = [
      unsent.filter(({ report }) => isInOwnDomain(report.target)),
      unsent.filter(({ report }) => !isInOwnDomain(report.target))
    ]
    const batch = [...ownDomain, ...otherDomains].slice(0, MAXIMUM_REPORTS_PER_MESSAGE)
    for (const { report } of batch) sent.set(report.target, report.atMilliseconds)
    return batch.map(({ report, load }) => ({ ...report, ageMilliseconds: now - load.reportedAt }))
  }

  async function exchangeReports (peer: MemberEntry): Promise<void> {
    const message = { sender: dependencies.self().address, reports: takeUnsent(peer.address) }
    const outcome = await dependencies.peers.call(peer.address, PeerMethod.Reports, message, EXCHANGE_DEADLINE_MILLISECONDS)
    if (outcome.ok) for (const report of outcome.value.reports) merge(report)
    else sentByPeer.delete(peer.address)
  }

  async function runInterval (): Promise<void> {
    const version = dependencies.versionInForce()
    if (version === undefined) return
    intervalCount += 1
    const self = dependencies.self()
    const others = dependencies.members().filter(member => member.address !== self.address && member.state === MemberState.Alive)
    const domainPeers = others.filter(member => member.failureDomain === dependencies.failureDomain)
    const owners = [self.address, ...domainPeers.map(member => member.address)]
    const assignedTargets = version.manifest.targets.filter(target =>
      target.failureDomain === dependencies.failureDomain && rendezvousOwner(target.name, owners) === self.address)
    const peers = sample(dependencies.random, domainPeers, DOMAIN_PEERS_PER_INTERVAL)
    if (intervalCount % CROSS_DOMAIN_INTERVALS === 1) {
      peers.push(...sample(dependencies.random, others.filter(member => member.failureDomain !== dependencies.failureDomain), 1))
    }
    await Promise.all(assignedTargets.map(pollTarget))
    await Promise.all(peers.map(exchangeReports))
  }

  return {
    load (target) {
      const load = latest.get(target)?.load
      return load !== undefined && Date.now() - load.reportedAt < MAXIMUM_REPORT_AGE_MILLISECONDS ? load : undefined
    },
    start () {
      timer = setInterval(() => { void runInterval() }, INTERVAL_MILLISECONDS)
    },
    stop: () => clearInterval(timer),
    handlers: {
      [PeerMethod.Reports]: async message => {
        for (const report of message.reports) merge(report)
        return { sender: dependencies.self().address, reports: takeUnsent(message.sender) }
      }
    }
  }
}

/** Returns up to `count` distinct random items. */
function sample<T> (random: RandomSource, items: T[], count: number): T[] {
  const pool = [...items]
  const chosen: T[] = []
  while (chosen.length < count && pool.length > 0) chosen.push(...pool.splice(Math.floor(random.nextFloat() * pool.length), 1))
  return chosen
}
