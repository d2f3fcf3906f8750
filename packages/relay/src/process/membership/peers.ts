/**
 * The other processes of the fleet. Each registers under a leased key in the store, and they gossip load and suspicions by datagram.
 */
import { FailureKind, WriteResult, type PollableKeyValue } from '@wigeonlead/protocol'
import { z } from 'zod'
import type { PeerLink } from '../../connection/peer-link.js'
import type { Target } from '../../version/target.js'
import { repeatInBackground } from '../background.js'
import type { ConfigurationState } from '../configuration-state.js'
import type { Directory } from '../directory.js'
import type { Load } from '../routing/load.js'
import type { RateLimits } from '../suspicion/rate-limits.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'
import type { StoreEra } from '../store-era.js'
import type { TargetReach } from '../suspicion/target-reach.js'
import type { Demand, ServiceDemand } from './demand.js'

/** Another process of the fleet. */
export interface Peer {
  vm: string
  address: string
  failureDomain: string
}

/** Registry of the peers, and the gossip with them. */
export interface Peers {
  /** @returns all peers that are listed in this process's copy of the store. */
  known: () => Peer[]
  /**
   * @returns the peer that sends a message; also one that is no longer listed, as long as it is asked for again and again: the keys of VMs
   * that the store turns away expire, and these VMs depend on the answers of their peers.
   */
  find: (vm: string) => Peer | undefined
  /** @returns the peers that have recently said, by their messages, that they are not cut off from the targets of a service. */
  reaching: (service: string) => Peer[]
  /** Whether a peer has said that it keeps the limit of targets that a hand-over states. */
  keepsTargetLimit: (vm: string) => boolean
  /** @returns a random sample of at most `count` peers. */
  sample: (count: number) => Peer[]
  /**
   * @returns the largest number of VMs that were listed at the same time, including this one. The present number may be too low: the keys
   * of VMs that are cut off from the store expire, but these VMs keep running.
   */
  peakFleetSize: () => number
  /** Adds or updates a peer from the text of its key in the store. */
  put: (vm: string, text: string) => void
  remove: (vm: string) => void
  start: () => void
  /** Removes this VM's key from the store. */
  leave: () => Promise<void>
}

/** Dependencies of the peers. */
export interface PeersDependencies {
  self: Peer
  keyPrefix: string
  store: PollableKeyValue
  link: PeerLink
  load: Load
  /** Sums of demand that are gossiped; without them, this VM tells no demand and reads none. */
  demand?: Demand
  directory: Directory
  limits: RateLimits
  reach: TargetReach
  /** Checks a target that a peer could not reach, although this VM has just heard from it. */
  verify: (target: Target) => void
  era: StoreEra
  configurationState: ConfigurationState
  log: RelayLog
  signal: AbortSignal
  nextFloat: () => number
}

/** Datagram method that carries load and suspicions. */
const LOAD_METHOD = 'load'
/** Gossip interval, milliseconds: few requests are admitted within it. */
const GOSSIP_INTERVAL_MILLISECONDS = 200
/** Number of peers of this VM's failure domain per round, in rotation. It is fixed, so gossip costs the same in a large fleet. */
const LOCAL_FANOUT = 4
/** Number of peers of other failure domains, once per REMOTE_INTERVAL_ROUNDS rounds: traffic between failure domains is expensive. */
const REMOTE_FANOUT = 4
const REMOTE_INTERVAL_ROUNDS = 2
/** A local peer counts as silent once it has sent nothing for this many cycles. In one cycle, a VM sends to each local peer once. */
const CYCLES_BEFORE_SILENT = 2.5
/** Number of peers that are informed of a lost target at once. The others learn of it through regular gossip. */
const LOSS_FANOUT = 24
/**
 * A target that sent something within this time is not taken for lost on a peer's word, milliseconds: the peer may have lost its own
 * connection to it. A target that fell silent is reported later than this after its last message.
 */
const RECENT_CONTACT_MILLISECONDS = 250
/** A peer handles requests of others only if it was heard within this time, milliseconds: a few gossip cycles of a large failure domain. */
const HEARD_MILLISECONDS = 3000
/** Time to live of this VM's key, milliseconds. Until the key of a lost VM expires, every peer sends it a datagram in each cycle. */
const KEY_TIME_TO_LIVE_MILLISECONDS = 12_000
const KEY_RENEWAL_MILLISECONDS = 3500
/** How long a peer that is no longer listed is found, milliseconds since it was listed or found last. */
const UNLISTED_MILLISECONDS = 60_000
/** Number of peers that are no longer listed and may be found. */
const MAXIMUM_UNLISTED = 1000
/** Part of the renewal interval over which renewals are spread at random, around its end. */
const RENEWAL_SPREAD_SHARE = 0.5

const entrySchema = z.object({ address: z.string(), failureDomain: z.string() })
/** Largest rank, rate or number that is believed of a peer. */
const MAXIMUM_RANK = 9
const MAXIMUM_COUNT = 100_000
/** Number of services, and of ranks of each, that a message may tell the demand of. */
const MAXIMUM_SERVICES = 64
const count = z.number().min(0).max(MAXIMUM_COUNT)
/** Rank, and its rates by second: arrivals, starts, refusals, answers in time, late answers, starts that waited long. */
const rankDemandSchema = z.tuple([z.number().int().min(0).max(MAXIMUM_RANK), count, count, count, count, count, count]).rest(z.unknown())
/** Service, requests that wait, admission level, share sent out of the failure domain, and the ranks. */
const serviceDemandSchema = z.tuple([z.string(), count, count, count, z.array(rankDemandSchema).max(MAXIMUM_RANK + 1)]).rest(z.unknown())
const loadSchema = z.object({
  vm: z.string(),
  counts: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
  suspected: z.array(z.tuple([z.string(), z.number(), z.boolean()])),
  leaving: z.array(z.string()),
  /** Services whose targets the sender is cut off from. */
  cutOff: z.array(z.string()).optional(),
  /** Whether the sender keeps the limit of targets that a hand-over states. */
  keepsTargetLimit: z.boolean().optional(),
  /** Whether the sender joins the parts of a message that exceeds a datagram. */
  joinsParts: z.boolean().optional(),
  /** Rates that targets have named: incarnation, requests a second (null if the limit has ended), age in milliseconds. */
  limits: z.array(z.tuple([z.string(), z.number().nullable(), z.number()])).optional(),
  /** Newest configuration version of the sender, and for how long at least it has had it, milliseconds. */
  version: z.tuple([z.number(), z.number()]).optional(),
  /** Era of the store that the sender knows, and for how long at least it has lasted, milliseconds. */
  era: z.tuple([z.number(), z.number()]).optional(),
  /** Demand at the sender; absent if it does not tell it. Services that are left out have none. */
  /** A faulty one leaves the demand of the sender unknown; the rest of the message counts. */
  demand: z.array(serviceDemandSchema).max(MAXIMUM_SERVICES).optional().catch(undefined)
})
type GossipedDemand = z.infer<typeof serviceDemandSchema>

/** Creates the registry of peers of one process. */
export function createPeers (dependencies: PeersDependencies): Peers {
  const { self, store, link, load, demand, directory, limits, reach, era, configurationState, log } = dependencies
  const peers = new Map<string, Peer>()
  const key = dependencies.keyPrefix + self.vm
  let lease: { leaseId: string, era: number, keyRevision: number } | undefined
  let renewalTimer: NodeJS.Timeout | undefined
  let isLeaving = false
  let round = 0
  let peakFleetSize = 1
  /** Services whose targets each peer is cut off from. */
  const cutOffPeers = new Map<string, ReadonlySet<string>>()
  const limitKeepers = new Set<string>()
  const partJoiners = new Set<string>()
  /** Peers that are no longer listed, the one that was found last at the end. */
  const unlisted = new Map<string, { peer: Peer, foundAt: number }>()

  link.on(LOAD_METHOD, parameters => {
    const received = loadSchema.parse(parameters)
    const peerFailureDomain = peers.get(received.vm)?.failureDomain
    if (peerFailureDomain === undefined) return
    load.setPeer(received.vm, received.counts.map(([incarnation, requests, tokens, firstStageRequests]) =>
      ({ incarnation, requests, tokens, firstStageRequests })))
    cutOffPeers.set(received.vm, new Set(received.cutOff))
    if (received.keepsTargetLimit === true) limitKeepers.add(received.vm)
    else limitKeepers.delete(received.vm)
    if (received.joinsParts === true) partJoiners.add(received.vm)
    else partJoiners.delete(received.vm)
    if (received.demand !== undefined) demand?.setPeer(received.vm, peerFailureDomain, received.demand.map(readDemand))
    if (received.era !== undefined) era.learn(...received.era, received.vm)
    if (received.version !== undefined) configurationState.learn(...received.version, received.vm)
    for (const [incarnation, requestsPerSecond, ageMilliseconds] of received.limits ?? []) {
      limits.learn({ incarnation, requestsPerSecond: requestsPerSecond ?? undefined, ageMilliseconds })
    }
    for (const incarnation of received.leaving) directory.markLeaving(incarnation, received.vm)
    for (const [incarnation, milliseconds, isLoss] of received.suspected) {
      const target = directory.findIncarnation(incarnation)
      if (target === undefined) continue
      // Seen from another failure domain, a network cut looks as if all stages behind it were lost.
      if (target.failureDomain === self.failureDomain && peerFailureDomain !== self.failureDomain) continue
      if (isLoss && directory.millisecondsSinceContact(incarnation) < RECENT_CONTACT_MILLISECONDS) {
        dependencies.verify(target)
        continue
      }
      directory.suspect(target, milliseconds, `reported by ${received.vm}`, { peerFailureDomain, isLoss })
    }
  })

  directory.onOwnLoss(target => {
    void reach.check(target).then(() => { if (reach.mayReport(target.service)) send(sampleNear(target.failureDomain, LOSS_FANOUT)) })
  })

  reach.onChange(() => send(sample(LOSS_FANOUT)))

  function gossipRound (): void {
    round += 1
    const local = [...peers.values()].filter(peer => peer.failureDomain === self.failureDomain)
    const remote = [...peers.values()].filter(peer => peer.failureDomain !== self.failureDomain)
    const cycleMilliseconds = Math.max(1, local.length / LOCAL_FANOUT) * GOSSIP_INTERVAL_MILLISECONDS
    load.setSilentPeers(local.filter(({ vm }) =>
      (load.millisecondsSinceCounts(vm) ?? Infinity) > CYCLES_BEFORE_SILENT * cycleMilliseconds).length)
    const remoteTurn = round / REMOTE_INTERVAL_ROUNDS
    send(nextInRotation(local, LOCAL_FANOUT, round)
      .concat(Number.isInteger(remoteTurn) ? nextInRotation(remote, REMOTE_FANOUT, remoteTurn) : []))
  }

  function sample (count: number): Peer[] {
    return sampleOf([...peers.values()], count)
  }

  function sampleOf (candidates: Peer[], count: number): Peer[] {
    while (candidates.length > count) candidates.splice(Math.floor(dependencies.nextFloat() * candidates.length), 1)
    return candidates
  }

  /** @returns a random sample of at most `count` peers, those of a failure domain first: most paths over its targets are theirs. */
  function sampleNear (failureDomain: string, count: number): Peer[] {
    const near = sampleOf([...peers.values()].filter(peer => peer.failureDomain === failureDomain), count)
    return near.concat(sampleOf([...peers.values()].filter(peer => peer.failureDomain !== failureDomain), count - near.length))
  }

  function send (receivers: readonly Peer[]): void {
    if (receivers.length === 0) return
    const message = {
      vm: self.vm,
      counts: load.ownCounts().map(({ incarnation, requests, tokens, firstStageRequests }) =>
        [incarnation, requests, Math.round(tokens), firstStageRequests]),
      suspected: directory.ownSuspicions()
        .filter(({ incarnation }) => reach.mayReport(directory.findIncarnation(incarnation)?.service ?? ''))
        .map(({ incarnation, remainingMilliseconds, isLoss }) => [incarnation, Math.round(remainingMilliseconds), isLoss]),
      leaving: directory.leavingIncarnations(),
      cutOff: statedCutOff(),
      keepsTargetLimit: true,
      joinsParts: true,
      limits: statedLimits(),
      version: versionHeld(),
      era: era.current() === 0 ? undefined : [era.current(), Math.floor(era.ageMilliseconds())],
      demand: demand?.own().map(tellDemand)
    }
    for (const peer of receivers) link.notify(peer.address, LOAD_METHOD, message, { mayBeSplit: partJoiners.has(peer.vm) })
  }

  function statedCutOff (): string[] | undefined {
    const services = reach.cutOffServices()
    return services.length === 0 ? undefined : services
  }

  function statedLimits (): Array<[incarnation: string, requestsPerSecond: number | null, ageMilliseconds: number]> | undefined {
    const statements = limits.statements()
    if (statements.length === 0) return undefined
    return statements.map(({ incarnation, requestsPerSecond = null, ageMilliseconds }) => [incarnation, requestsPerSecond, ageMilliseconds])
  }

  function versionHeld (): [version: number, heldMilliseconds: number] | undefined {
    const current = configurationState.current()
    return current === undefined ? undefined : [current.configuration.version, Math.floor(performance.now() - current.adoptedAt)]
  }

  function keepUnlisted (peer: Peer): void {
    unlisted.delete(peer.vm)
    unlisted.set(peer.vm, { peer, foundAt: performance.now() })
    const [oldest] = unlisted.keys()
    if (unlisted.size > MAXIMUM_UNLISTED) unlisted.delete(oldest!)
  }

  function findUnlisted (vm: string): Peer | undefined {
    const found = unlisted.get(vm)
    if (found === undefined) return undefined
    if (performance.now() - found.foundAt > UNLISTED_MILLISECONDS) {
      unlisted.delete(vm)
      return undefined
    }
    keepUnlisted(found.peer)
    return found.peer
  }

  async function maintainKey (): Promise<void> {
    if (isLeaving) return
    // After a restore the lease is gone, and its number may belong to another process.
    if (lease?.era !== era.current()) lease = undefined
    if (lease !== undefined) {
      const renewed = await store.renewLease(lease.leaseId)
      if (lease.era === era.current() && (renewed.ok || renewed.failure.kind !== FailureKind.Refused)) return
      lease = undefined
    }
    const grant = await store.grantLease(KEY_TIME_TO_LIVE_MILLISECONDS)
    if (!grant.ok) return
    const current = await store.get(key)
    if (!current.ok) return
    const value = JSON.stringify({ address: self.address, failureDomain: self.failureDomain })
    const written = await store.compareAndSwap({
      key, expectedModRevision: current.value.entry?.modRevision ?? 0, value, leaseId: grant.value.leaseId
    })
    if (written.kind !== WriteResult.Committed) return
    lease = { leaseId: grant.value.leaseId, era: grant.value.era ?? 0, keyRevision: written.revision }
  }

  /** Renews the key after a random part of the interval: VMs that start together, or hear of a restore together, call the store in turn. */
  function scheduleRenewal (): void {
    const milliseconds = KEY_RENEWAL_MILLISECONDS * (1 + RENEWAL_SPREAD_SHARE * (dependencies.nextFloat() - 0.5))
    renewalTimer = setTimeout(() => {
      void maintainKey().finally(() => { if (!dependencies.signal.aborted) scheduleRenewal() })
    }, milliseconds).unref()
  }

  return {
    known: () => [...peers.values()],
    find: vm => peers.get(vm) ?? findUnlisted(vm),
    reaching: service => [...peers.values()].filter(({ vm }) =>
      (load.millisecondsSinceCounts(vm) ?? Infinity) < HEARD_MILLISECONDS && cutOffPeers.get(vm)?.has(service) !== true),
    keepsTargetLimit: vm => limitKeepers.has(vm),
    sample,
    peakFleetSize: () => peakFleetSize,
    put (vm, text) {
      if (vm === self.vm) return
      try {
        const peer = { vm, ...entrySchema.parse(JSON.parse(text)) }
        if (!peers.has(vm)) log.info(RelayEvent.PeerListed, { peer: vm, address: peer.address })
        peers.set(vm, peer)
        unlisted.delete(vm)
        peakFleetSize = Math.max(peakFleetSize, peers.size + 1)
      } catch (error) {
        log.warn(RelayEvent.PeerRefused, { peer: vm, reason: (error as Error).message.slice(0, 200) })
      }
    },
    remove (vm) {
      const peer = peers.get(vm)
      if (peer === undefined) return
      peers.delete(vm)
      keepUnlisted(peer)
      load.dropPeer(vm)
      demand?.dropPeer(vm)
      cutOffPeers.delete(vm)
      limitKeepers.delete(vm)
      partJoiners.delete(vm)
      log.info(RelayEvent.PeerGone, { peer: vm })
    },
    start () {
      void maintainKey()
      scheduleRenewal()
      dependencies.signal.addEventListener('abort', () => clearTimeout(renewalTimer), { once: true })
      repeatInBackground(GOSSIP_INTERVAL_MILLISECONDS, dependencies.signal, gossipRound)
    },
    async leave () {
      isLeaving = true
      // The key is deleted instead of the lease: after a restore that this process does not know of, the number may belong to another.
      if (lease?.era === era.current()) await store.compareAndSwap({ key, expectedModRevision: lease.keyRevision })
    }
  }
}

/** @returns the next peers in rotation: each peer is chosen once before any is chosen again. */
function nextInRotation (peers: readonly Peer[], count: number, round: number): Peer[] {
  const size = Math.min(count, peers.length)
  return Array.from({ length: size }, (_, index) => peers[(round * size + index) % peers.length]!)
}

function tellDemand ({ service, waiting, level, sharedOut, ranks }: ServiceDemand): GossipedDemand {
  return [service, waiting, roundTo(level, 1000), roundTo(sharedOut, 100), ranks.map(rank => [
    rank.rank, roundTo(rank.arrivals, 10), roundTo(rank.starts, 10), roundTo(rank.refusals, 10), roundTo(rank.inTime, 10),
    roundTo(rank.late, 10), roundTo(rank.longWaits ?? 0, 10)
  ])]
}

function readDemand ([service, waiting, level, sharedOut, ranks]: GossipedDemand): ServiceDemand {
  return {
    service,
    waiting,
    level,
    sharedOut,
    ranks: ranks.map(([rank, arrivals, starts, refusals, inTime, late, longWaits]) =>
      ({ rank, arrivals, starts, refusals, inTime, late, longWaits }))
  }
}

/** @returns the value rounded to a multiple of 1 / `parts`. */
function roundTo (value: number, parts: number): number {
  return Math.round(value * parts) / parts
}
