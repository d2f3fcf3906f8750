/**
 * Relays the store's changes within a failure domain. In a domain of many VMs a few follow the store, and the others poll these followers
 * by datagram. Calls to the store are priced and limited for the whole fleet; datagrams within a failure domain are not.
 */
import type { WatchEvent } from '@wigeonlead/protocol'
import { z } from 'zod'
import { pauseInBackground } from 'wigeonlead'
import type { PeerLink } from '../connection/peer-link.js'
import { ageOf, instantBefore, presentInstant, type Instant } from './instant.js'
import type { Peer, Peers } from './peers.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** A page of changes that a peer relayed. */
export interface RelayedPage {
  changes: WatchEvent[]
  /** Revision up to which the changes are complete. */
  revision: number
  /** Moment at which the copy was up to date. */
  provedAt: Instant
  /** Time since the peer reached the store again after an outage, milliseconds; absent if it had no recent outage. */
  regainedMilliseconds?: number
}

/** Exchanges changes with the peers of the failure domain. */
export interface MirrorRelay {
  /** Whether this VM follows the store: as one of the followers of a large failure domain, or because its domain is small. */
  followsStore: () => boolean
  /** Whether other VMs poll this one. */
  servesOthers: () => boolean
  /**
   * Long-polls a follower for changes.
   * @returns undefined if the store itself must be polled.
   */
  poll: (afterRevision: number) => Promise<RelayedPage | undefined>
  /**
   * Polls any peers for newer changes while this VM can't reach the store.
   * @returns undefined if no peer has newer ones.
   */
  pollDuringOutage: (afterRevision: number) => Promise<RelayedPage | undefined>
  /** Records what the own copy has applied, so that it can be relayed. */
  recordListing: (revision: number) => void
  recordChange: (change: WatchEvent) => void
  recordProof: (revision: number, provedAt: Instant) => void
  recordRegained: (agoMilliseconds: number) => void
}

/** Dependencies of the relay. */
export interface MirrorRelayParts {
  self: string
  failureDomain: string
  peers: Pick<Peers, 'known' | 'find' | 'sample'>
  link: PeerLink
  log: RelayLog
}

const POLL_METHOD = 'changes-asked'
const ANSWER_METHOD = 'changes-told'
/** In failure domains of up to this many VMs, every VM follows the store itself: relaying would save few calls. */
const MAX_VMS_WITHOUT_RELAY = 4
/** Number of VMs of a larger failure domain that follow the store; with two, one may be lost. */
const STORE_FOLLOWERS = 2
/** How long a poll waits for a change, milliseconds. Two such waits and one lost datagram fit into the tightest bound, two seconds. */
const POLL_WAIT_MILLISECONDS = 400
/** Timeout of a poll of a peer, milliseconds: the wait for a change and a short pause of either VM. */
const POLL_TIMEOUT_MILLISECONDS = 650
/** How long an unresponsive peer is skipped, milliseconds: its key in the store expires only later. */
const UNRESPONSIVE_COOLDOWN_MILLISECONDS = 3000
/**
 * Maximum age of the copy of a peer that can be followed, milliseconds: over two polls of the store on behalf of others, with the network
 * delay.
 */
const MAX_STALENESS_MILLISECONDS = 1250
/** The same while the own VM can't reach the store, milliseconds. An older copy is better than none, and its age is reported. */
const MAX_OUTAGE_STALENESS_MILLISECONDS = 2500
/**
 * Number of peers sampled from the whole fleet during an outage, besides the followers of the own failure domain, because the cause may
 * be within the domain.
 */
const SAMPLED_PEERS = 3
/** Maximum number of changes kept for other VMs: enough for a burst that rewrites the keys of all VMs and targets. */
const MAX_RECENT_CHANGES = 500
/** Size limit of an answer, bytes: a longer one does not fit a datagram, and the peer polls the store instead. */
const ANSWER_BYTES_LIMIT = 48_000
/**
 * How long the end of an outage is relayed, milliseconds: entries that expired during the outage may be written again within this time.
 */
const OUTAGE_END_RELAYED_MILLISECONDS = 3000

const entrySchema = z.object({
  key: z.string(), value: z.string(), modRevision: z.number(), createRevision: z.number(), leaseId: z.string().optional()
})
const changeSchema = z.object({ key: z.string(), revision: z.number(), entry: entrySchema.optional() })
const pollSchema = z.object({
  vm: z.string(),
  question: z.number(),
  after: z.number(),
  /** Age of the requester's own copy, milliseconds; set if it can only use a newer one. */
  ownWordMilliseconds: z.number().optional()
})
const answerSchema = z.object({
  question: z.number(),
  /** Absent if the peer can't answer: its history does not go back far enough, its copy is too old, or the answer is too long. */
  page: z.object({
    changes: z.array(changeSchema),
    revision: z.number(),
    ageMilliseconds: z.number().min(0),
    heldMilliseconds: z.number().min(0),
    regainedMilliseconds: z.number().optional()
  }).optional()
})

type WirePage = z.infer<typeof answerSchema>['page']

/** Creates a relay and starts to answer polls of peers. */
export function createMirrorRelay (parts: MirrorRelayParts): MirrorRelay {
  const { self, peers, link, log } = parts
  const recentChanges: WatchEvent[] = []
  const pendingPolls = new Set<{ after: number, newerThan?: Instant, answer: () => void }>()
  const pollsInFlight = new Map<number, { sentAt: Instant, resolve: (page: RelayedPage | undefined) => void }>()
  /** The recent changes are complete after this revision. */
  let completeAfter = Infinity
  let revision = 0
  let provedAt: Instant | undefined
  let regainedAt = -Infinity
  const skippedUntil = new Map<string, number>()
  let nextQuestion = 1
  let preferredIndex = 0
  let followedVm: string | undefined

  link.on(POLL_METHOD, parameters => {
    const request = pollSchema.parse(parameters)
    const peer = peers.find(request.vm)
    if (peer === undefined) return
    const receivedAt = performance.now()
    const newerThan = request.ownWordMilliseconds === undefined ? undefined : instantBefore(presentInstant(), request.ownWordMilliseconds)
    const pendingPoll = { after: request.after, newerThan, answer }
    function answer (): void {
      if (!pendingPolls.delete(pendingPoll)) return
      const isUseful = isFreshEnough(newerThan) && isNewer(pendingPoll)
      const page = isUseful ? pageAfter(request.after, performance.now() - receivedAt) : undefined
      link.notify(peer!.address, ANSWER_METHOD, { question: request.question, page })
    }
    pendingPolls.add(pendingPoll)
    if (revision > request.after || !isFreshEnough(newerThan) || (newerThan !== undefined && isNewer(pendingPoll))) answer()
    else void pauseInBackground(POLL_WAIT_MILLISECONDS).then(answer)
  })

  link.on(ANSWER_METHOD, parameters => {
    const { question, page } = answerSchema.parse(parameters)
    const poll = pollsInFlight.get(question)
    if (poll === undefined) return
    poll.resolve(page === undefined ? undefined : toRelayedPage(page, poll.sentAt))
  })

  function isFreshEnough (newerThan?: Instant): boolean {
    const maxStaleness = newerThan === undefined ? MAX_STALENESS_MILLISECONDS : MAX_OUTAGE_STALENESS_MILLISECONDS
    return provedAt !== undefined && ageOf(provedAt) <= maxStaleness
  }

  /** Whether this copy is newer than the requester's. A copy that came from the requester itself, through other peers, is not. */
  function isNewer ({ after, newerThan }: { after: number, newerThan?: Instant }): boolean {
    return newerThan === undefined || revision > after || ageOf(provedAt!) < ageOf(newerThan)
  }

  function pageAfter (after: number, heldMilliseconds: number): WirePage {
    if (after < completeAfter) return undefined
    const changes = recentChanges.filter(change => change.revision > after)
    if (Buffer.byteLength(JSON.stringify(changes)) > ANSWER_BYTES_LIMIT) return undefined
    const regainedMilliseconds = performance.now() - regainedAt
    return {
      changes,
      revision,
      ageMilliseconds: ageOf(provedAt!),
      heldMilliseconds,
      regainedMilliseconds: regainedMilliseconds < OUTAGE_END_RELAYED_MILLISECONDS ? regainedMilliseconds : undefined
    }
  }

  function toRelayedPage (page: NonNullable<WirePage>, sentAt: Instant): RelayedPage {
    return {
      changes: page.changes,
      revision: page.revision,
      // The poll arrived after it was sent, so the peer's copy was at least as recent as this.
      provedAt: instantBefore(sentAt, page.ageMilliseconds - page.heldMilliseconds),
      regainedMilliseconds: page.regainedMilliseconds
    }
  }

  function localPeers (): Peer[] {
    return peers.known().filter(({ failureDomain }) => failureDomain === parts.failureDomain)
  }

  /** @returns the VMs that follow the store. All processes sort the VMs of a failure domain alike, so they agree without coordination. */
  function storeFollowers (): string[] {
    const names = [self, ...localPeers().map(({ vm }) => vm)].sort()
    return names.length <= MAX_VMS_WITHOUT_RELAY ? names : names.slice(0, STORE_FOLLOWERS)
  }

  /** Polls the preferred peer, then the others, skipping unresponsive ones. */
  async function pollPeers (
    names: readonly string[], after: number, isInOutage: boolean
  ): Promise<{ peer: Peer, page: RelayedPage } | undefined> {
    const maxStaleness = isInOutage ? MAX_OUTAGE_STALENESS_MILLISECONDS : MAX_STALENESS_MILLISECONDS
    for (let attempt = 0; attempt < names.length; attempt++) {
      const peer = peers.find(names[preferredIndex % names.length]!)
      if (peer !== undefined && (skippedUntil.get(peer.vm) ?? 0) < performance.now()) {
        const page = await pollPeer(peer, after, isInOutage)
        if (page !== undefined && ageOf(page.provedAt) <= maxStaleness + POLL_TIMEOUT_MILLISECONDS) return { peer, page }
      }
      preferredIndex += 1
    }
    return undefined
  }

  async function pollPeer (peer: Peer, after: number, isInOutage: boolean): Promise<RelayedPage | undefined> {
    const question = nextQuestion++
    const page = await new Promise<RelayedPage | undefined>(resolve => {
      pollsInFlight.set(question, { sentAt: presentInstant(), resolve })
      const ownWordMilliseconds = isInOutage && provedAt !== undefined ? ageOf(provedAt) : undefined
      link.notify(peer.address, POLL_METHOD, { vm: self, question, after, ownWordMilliseconds })
      void pauseInBackground(POLL_TIMEOUT_MILLISECONDS).then(() => {
        if (pollsInFlight.has(question)) skippedUntil.set(peer.vm, performance.now() + UNRESPONSIVE_COOLDOWN_MILLISECONDS)
        resolve(undefined)
      })
    })
    pollsInFlight.delete(question)
    return page
  }

  function logFollowed (vm: string | undefined, reason: string): void {
    if (vm === followedVm) return
    followedVm = vm
    log.note(RelayEvent.StoreFollowed, { through: vm ?? 'itself', reason })
  }

  return {
    followsStore: () => storeFollowers().includes(self),
    servesOthers: () => {
      const followers = storeFollowers()
      return followers.includes(self) && followers.length < localPeers().length + 1
    },
    async poll (after) {
      const followers = storeFollowers()
      if (followers.includes(self)) {
        logFollowed(undefined, 'this VM is a store follower')
        return undefined
      }
      const relayed = await pollPeers(followers, after, false)
      logFollowed(relayed?.peer.vm, relayed === undefined ? `no usable answer from ${followers.join(' and ')}` : 'that VM is a store follower')
      return relayed?.page
    },
    async pollDuringOutage (after) {
      const followers = storeFollowers().filter(vm => vm !== self)
      const relayed = await pollPeers([...new Set([...followers, ...peers.sample(SAMPLED_PEERS).map(({ vm }) => vm)])], after, true)
      if (relayed !== undefined) logFollowed(relayed.peer.vm, 'the store does not answer')
      return relayed?.page
    },
    recordListing (listedRevision) {
      recentChanges.length = 0
      completeAfter = listedRevision
      revision = listedRevision
    },
    recordChange (change) {
      recentChanges.push(change)
      if (recentChanges.length > MAX_RECENT_CHANGES) completeAfter = Math.max(completeAfter, recentChanges.shift()!.revision)
    },
    recordProof (provedRevision, at) {
      revision = Math.max(revision, provedRevision)
      provedAt = at
      for (const pendingPoll of [...pendingPolls]) {
        if (revision > pendingPoll.after || (pendingPoll.newerThan !== undefined && isNewer(pendingPoll))) pendingPoll.answer()
      }
    },
    recordRegained (agoMilliseconds) {
      regainedAt = performance.now() - agoMilliseconds
    }
  }
}
