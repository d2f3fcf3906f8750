/**
 * Collection of load reports. Each entry VM polls its rendezvous share of the targets of its own failure domain and passes the
 * reports on to peers of the domain; now and then it exchanges them with a peer of another one.
 */
import {
  MemberState, PeerMethod,
  type CompactReport, type EnginePort, type EngineReport, type HeldPart, type ManifestTarget, type MemberEntry, type PeerHandlers,
  type PeerPort, type RandomSource
} from '@wigeonlead/protocol'
import type { CompiledVersion } from '../version/index.js'
import { listMissing } from './held-parts.js'
import { rendezvousOwner } from './rendezvous.js'

/** What is known of a target's load, and how old it is. */
export interface KnownLoad {
  running: number
  queued: number
  tokensPerSecond: number
  /** When the engine made the report by this node's clock, milliseconds since 1970. */
  madeAt: number
  /** Requests of other entry VMs running at the target, exponentially weighted over reports. */
  others: number
}

/** The load reports that a node has. */
export interface Reports {
  load: (target: string) => KnownLoad | undefined
  start: () => void
  stop: () => void
  handlers: PeerHandlers
}

/** What the collection needs. */
export interface ReportsParts {
  engines: EnginePort
  peers: PeerPort
  random: RandomSource
  failureDomain: string
  self: () => MemberEntry
  members: () => MemberEntry[]
  current: () => CompiledVersion | undefined
  /** This node's work in flight at a target at an earlier time. */
  inFlightAt: (target: string, atMilliseconds: number) => number
  /** Hears each whole report that this node polled. */
  onReport: (report: EngineReport) => void
  /** Hears of each later report which declared parts its target lacks. */
  onMissing?: (target: string, missing: readonly HeldPart[]) => void
}

const INTERVAL_MILLISECONDS = 1000
const POLL_DEADLINE_MILLISECONDS = 500
const EXCHANGE_DEADLINE_MILLISECONDS = 500
/** Peers of the own failure domain in each interval. */
const DOMAIN_PEERS = 2
/** Every so many intervals a peer of another failure domain, which then hears of the targets of this one. */
const OTHER_DOMAIN_INTERVALS = 2
/** Bounds the control traffic of a large fleet; targets of the own failure domain go first. */
const MOST_REPORTS_A_MESSAGE = 60
/** Peers of which it is remembered what they heard. */
const MOST_PEERS = 64
/** Reports older than this are not passed on and not used, milliseconds. */
const OLDEST_MILLISECONDS = 30_000
/** Time constant of the smoothed load of others, milliseconds. */
const OTHERS_SMOOTHING_MILLISECONDS = 2000

/** Makes a collection without reports. */
export function createReports (parts: ReportsParts): Reports {
  const known = new Map<string, { report: CompactReport, load: KnownLoad }>()
  const passedOn = new Map<string, Map<string, number>>()
  let timer: NodeJS.Timeout | undefined
  let intervals = 0

  function take (report: CompactReport): void {
    const before = known.get(report.target)
    if (before !== undefined && before.report.atMilliseconds >= report.atMilliseconds) return
    if (report.ageMilliseconds > OLDEST_MILLISECONDS) return
    const madeAt = Date.now() - Math.max(0, report.ageMilliseconds)
    const seen = Math.max(0, report.running - parts.inFlightAt(report.target, madeAt))
    const gain = before === undefined ? 1 : 1 - Math.exp((before.load.madeAt - madeAt) / OTHERS_SMOOTHING_MILLISECONDS)
    const others = (before?.load.others ?? 0) * (1 - gain) + seen * gain
    const { running, queued, tokensPerSecond } = report
    parts.onMissing?.(report.target, report.missing ?? [])
    known.set(report.target, { report, load: { running, queued, tokensPerSecond, madeAt, others } })
  }

  async function poll (target: ManifestTarget): Promise<void> {
    const outcome = await parts.engines.report({ target: target.name, address: target.address }, POLL_DEADLINE_MILLISECONDS)
    if (!outcome.ok) return
    parts.onReport(outcome.value)
    const { atMilliseconds, running, queued, tokensPerSecond } = outcome.value
    const ageMilliseconds = Math.max(0, Date.now() - atMilliseconds)
    const missing = listMissing(target, outcome.value)
    take({ target: target.name, atMilliseconds, ageMilliseconds, running, queued, tokensPerSecond, missing })
  }

  function isOwn (target: string): boolean {
    return parts.current()?.targets.get(target)?.failureDomain === parts.failureDomain
  }

  function freshFor (peer: string): CompactReport[] {
    const sent = passedOn.get(peer) ?? new Map<string, number>()
    passedOn.delete(peer)
    passedOn.set(peer, sent)
    if (passedOn.size > MOST_PEERS) passedOn.delete(passedOn.keys().next().value ?? '')
    const now = Date.now()
    const fresh = [...known.values()].filter(({ report, load }) =>
      report.atMilliseconds > (sent.get(report.target) ?? 0) && now - load.madeAt < OLDEST_MILLISECONDS)
    const [own, others] = [fresh.filter(({ report }) => isOwn(report.target)), fresh.filter(({ report }) => !isOwn(report.target))]
    const chosen = [...own, ...others].slice(0, MOST_REPORTS_A_MESSAGE)
    for (const { report } of chosen) sent.set(report.target, report.atMilliseconds)
    return chosen.map(({ report, load }) => ({ ...report, ageMilliseconds: now - load.madeAt }))
  }

  async function exchange (peer: MemberEntry): Promise<void> {
    const message = { sender: parts.self().address, reports: freshFor(peer.address) }
    const outcome = await parts.peers.call(peer.address, PeerMethod.Reports, message, EXCHANGE_DEADLINE_MILLISECONDS)
    if (outcome.ok) for (const report of outcome.value.reports) take(report)
    else passedOn.delete(peer.address)
  }

  async function runInterval (): Promise<void> {
    const version = parts.current()
    if (version === undefined) return
    intervals += 1
    const self = parts.self()
    const others = parts.members().filter(member => member.address !== self.address && member.state === MemberState.Alive)
    const domainPeers = others.filter(member => member.failureDomain === parts.failureDomain)
    const owners = [self.address, ...domainPeers.map(member => member.address)]
    const share = version.manifest.targets.filter(target =>
      target.failureDomain === parts.failureDomain && rendezvousOwner(target.name, owners) === self.address)
    const peers = sample(parts.random, domainPeers, DOMAIN_PEERS)
    if (intervals % OTHER_DOMAIN_INTERVALS === 1) {
      peers.push(...sample(parts.random, others.filter(member => member.failureDomain !== parts.failureDomain), 1))
    }
    await Promise.all(share.map(poll))
    await Promise.all(peers.map(exchange))
  }

  return {
    load (target) {
      const load = known.get(target)?.load
      return load !== undefined && Date.now() - load.madeAt < OLDEST_MILLISECONDS ? load : undefined
    },
    start () {
      timer = setInterval(() => { void runInterval() }, INTERVAL_MILLISECONDS)
    },
    stop: () => clearInterval(timer),
    handlers: {
      [PeerMethod.Reports]: async message => {
        for (const report of message.reports) take(report)
        return { sender: parts.self().address, reports: freshFor(message.sender) }
      }
    }
  }
}

function sample<T> (random: RandomSource, items: T[], count: number): T[] {
  const left = [...items]
  const chosen: T[] = []
  while (chosen.length < count && left.length > 0) chosen.push(...left.splice(Math.floor(random.nextFloat() * left.length), 1))
  return chosen
}
