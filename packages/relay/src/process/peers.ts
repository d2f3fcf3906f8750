/**
 * The other processes of the fleet: found under leased keys in the store, and told of load and suspicions.
 */
import { FailureKind, WriteResult, type PollableKeyValue } from '@wigeonlead/protocol'
import { z } from 'zod'
import type { PeerLink } from '../connection/peer-link.js'
import { repeatInBackground } from './background.js'
import type { Directory } from './directory.js'
import type { Load } from './load.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** Another process of the fleet. */
export interface Peer {
  vm: string
  address: string
  failureDomain: string
}

/** Knows and tells the peers. */
export interface Peers {
  known: () => Peer[]
  find: (vm: string) => Peer | undefined
  /** @returns so many peers at most, drawn at random. */
  anyOf: (count: number) => Peer[]
  /** @returns the most VMs that were known at once, with this one: those that are cut off lapse from the store and go on. */
  mostKnown: () => number
  put: (vm: string, text: string) => void
  remove: (vm: string) => void
  start: () => void
  /** Takes the own key out of the store. */
  leave: () => Promise<void>
}

/** Parts of the peers. */
export interface PeersParts {
  self: Peer
  keyPrefix: string
  store: PollableKeyValue
  link: PeerLink
  load: Load
  directory: Directory
  log: RelayLog
  signal: AbortSignal
  nextFloat: () => number
}

/** Method of the notification that tells load and suspicions. */
const LOAD_METHOD = 'load'
/** Peers are told at this interval, milliseconds: some requests are admitted meanwhile, and not many. */
const TELL_INTERVAL_MILLISECONDS = 200
/** Peers of the own failure domain that are told each time, in turn: what a process spends does not grow with the fleet. */
const NEAR_TOLD = 4
/** Peers of other failure domains that are told at every so many of these: bytes between failure domains are dear. */
const FAR_TOLD = 4
const FAR_EVERY = 2
/** A near peer is not heard once it has not told for so many of the rounds in which each near peer is told once. */
const ROUNDS_OF_UNHEARD = 2.5
/** Most peers that hear of a loss at once; the others are told in turn. */
const MOST_TOLD_OF_LOSS = 24
/** Time to live of the own key, milliseconds: peers that are gone cost a datagram each interval until then. */
const KEY_TIME_TO_LIVE_MILLISECONDS = 12_000
const KEY_RENEWAL_MILLISECONDS = 3500

const entrySchema = z.object({ address: z.string(), failureDomain: z.string() })
const loadSchema = z.object({
  vm: z.string(),
  counts: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
  suspected: z.array(z.tuple([z.string(), z.number(), z.boolean()])),
  leaving: z.array(z.string())
})

/** Makes the peers of one process. */
export function createPeers (parts: PeersParts): Peers {
  const { self, store, link, load, directory, log } = parts
  const peers = new Map<string, Peer>()
  const key = parts.keyPrefix + self.vm
  let leaseId: string | undefined
  let isLeaving = false
  let turn = 0
  let mostKnown = 1

  link.on(LOAD_METHOD, parameters => {
    const told = loadSchema.parse(parameters)
    const peerFailureDomain = peers.get(told.vm)?.failureDomain
    if (peerFailureDomain === undefined) return
    load.setPeer(told.vm, told.counts.map(([life, requests, tokens, entering]) => ({ life, requests, tokens, entering })))
    for (const life of told.leaving) {
      const target = directory.living(life)
      if (target !== undefined && !target.isLeaving) directory.put({ ...target, isLeaving: true })
    }
    for (const [life, milliseconds, isLoss] of told.suspected) {
      const target = directory.living(life)
      if (target === undefined) continue
      // A cut between failure domains looks from outside as if all stages behind it were lost.
      if (target.failureDomain === self.failureDomain && peerFailureDomain !== self.failureDomain) continue
      directory.suspect(target, milliseconds, `told by ${told.vm}`, { peerFailureDomain, isLoss })
    }
  })

  directory.onLost((_target, isLeaving) => { if (!isLeaving) tell(anyOf(MOST_TOLD_OF_LOSS)) })

  function tellInTurn (): void {
    turn += 1
    const near = [...peers.values()].filter(peer => peer.failureDomain === self.failureDomain)
    const far = [...peers.values()].filter(peer => peer.failureDomain !== self.failureDomain)
    const roundMilliseconds = Math.max(1, near.length / NEAR_TOLD) * TELL_INTERVAL_MILLISECONDS
    load.setUnheard(near.filter(({ vm }) => (load.sinceTold(vm) ?? Infinity) > ROUNDS_OF_UNHEARD * roundMilliseconds).length)
    const farTurn = turn / FAR_EVERY
    tell(nextOf(near, NEAR_TOLD, turn).concat(Number.isInteger(farTurn) ? nextOf(far, FAR_TOLD, farTurn) : []))
  }

  function anyOf (count: number): Peer[] {
    const all = [...peers.values()]
    while (all.length > count) all.splice(Math.floor(parts.nextFloat() * all.length), 1)
    return all
  }

  function tell (told: readonly Peer[]): void {
    if (told.length === 0) return
    const message = {
      vm: self.vm,
      counts: load.own().map(({ life, requests, tokens, entering }) => [life, requests, Math.round(tokens), entering]),
      suspected: directory.ownSuspicions().map(({ life, milliseconds, isLoss }) => [life, Math.round(milliseconds), isLoss]),
      leaving: directory.leavingLives()
    }
    for (const peer of told) link.notify(peer.address, LOAD_METHOD, message)
  }

  async function keepKey (): Promise<void> {
    if (isLeaving) return
    if (leaseId !== undefined) {
      const renewed = await store.renewLease(leaseId)
      if (renewed.ok || renewed.failure.kind !== FailureKind.Refused) return
      leaseId = undefined
    }
    const lease = await store.grantLease(KEY_TIME_TO_LIVE_MILLISECONDS)
    if (!lease.ok) return
    const current = await store.get(key)
    if (!current.ok) return
    const value = JSON.stringify({ address: self.address, failureDomain: self.failureDomain })
    const written = await store.compareAndSwap({
      key, expectedModRevision: current.value.entry?.modRevision ?? 0, value, leaseId: lease.value.leaseId
    })
    if (written.kind === WriteResult.Committed) leaseId = lease.value.leaseId
  }

  return {
    known: () => [...peers.values()],
    find: vm => peers.get(vm),
    anyOf,
    mostKnown: () => mostKnown,
    put (vm, text) {
      if (vm === self.vm) return
      try {
        const peer = { vm, ...entrySchema.parse(JSON.parse(text)) }
        if (!peers.has(vm)) log.note(RelayEvent.PeerListed, { peer: vm, address: peer.address })
        peers.set(vm, peer)
        mostKnown = Math.max(mostKnown, peers.size + 1)
      } catch (error) {
        log.warn(RelayEvent.PeerRefused, { peer: vm, reason: (error as Error).message.slice(0, 200) })
      }
    },
    remove (vm) {
      if (!peers.delete(vm)) return
      load.dropPeer(vm)
      log.note(RelayEvent.PeerGone, { peer: vm })
    },
    start () {
      void keepKey()
      repeatInBackground(KEY_RENEWAL_MILLISECONDS, parts.signal, () => { void keepKey() })
      repeatInBackground(TELL_INTERVAL_MILLISECONDS, parts.signal, tellInTurn)
    },
    async leave () {
      isLeaving = true
      if (leaseId !== undefined) await store.revokeLease(leaseId)
    }
  }
}

/** @returns the peers whose turn it is, of which each comes once before any comes again. */
function nextOf (peers: readonly Peer[], count: number, turn: number): Peer[] {
  const size = Math.min(count, peers.length)
  return Array.from({ length: size }, (_, index) => peers[(turn * size + index) % peers.length]!)
}
