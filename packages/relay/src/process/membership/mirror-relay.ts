/**
 * Relays the store's changes within a failure domain. In a domain of many VMs a few follow the store, and the others poll these followers
 * by datagram. Calls to the store are priced and limited for the whole fleet; datagrams within a failure domain are not.
 */
import { comparePositions, type KeyValueEntry, type StorePosition, type WatchEvent } from '@wigeonlead/protocol'
import { z } from 'zod'
import { pauseInBackground } from 'wigeonlead'
import { COMPRESSED_FROM_CHARACTERS, compressText, expandText } from '../../connection/compressed-text.js'
import { MESSAGE_BYTES_LIMIT } from '../../connection/message-parts.js'
import type { PeerLink } from '../../connection/peer-link.js'
import { ageOf, instantBefore, presentInstant, type Instant } from '../instant.js'
import type { Peer, Peers } from './peers.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'

/** A page of changes that a peer relayed. */
export interface RelayedPage {
  /** Their revisions are of the era of `position`. */
  changes: WatchEvent[]
  /** Position up to which the changes are complete. */
  position: StorePosition
  /** Moment at which the peer's copy of the store was up to date. */
  confirmedAt: Instant
  /** Time since the store was reached again after an outage, milliseconds; absent if there was no recent outage. */
  millisecondsSinceRecovery?: number
}

/** Exchanges the store's changes with peers. */
export interface MirrorRelay {
  /** Whether this VM polls the store itself: as one of the followers of a large failure domain, or because its domain is small. */
  followsStore: () => boolean
  /** Whether other VMs poll this one instead of the store. */
  servesPeers: () => boolean
  /**
   * Long-polls a follower for changes.
   * @returns undefined if this VM must poll the store itself.
   */
  poll: (after: StorePosition) => Promise<RelayedPage | undefined>
  /**
   * Polls followers and a sample of all peers for newer changes while this VM can't reach the store.
   * @returns undefined if none of them has newer changes.
   */
  pollDuringOutage: (after: StorePosition) => Promise<RelayedPage | undefined>
  /** Records that the first full listing of an era was applied to this VM's copy. What lies before it can't be relayed change by change. */
  recordListing: (position: StorePosition) => void
  /** Records a change in the era of the last listing that was applied to this VM's copy, so that it can be relayed. */
  recordChange: (change: WatchEvent) => void
  /** Records that this VM's copy is complete up to a position and was up to date at a moment. */
  recordConfirmation: (position: StorePosition, confirmedAt: Instant) => void
  /** Records that the store was reached again after an outage. */
  recordRecovery: (agoMilliseconds: number) => void
}

/** Dependencies of the relay. */
export interface MirrorRelayDependencies {
  ownVm: string
  failureDomain: string
  peers: Pick<Peers, 'known' | 'find' | 'sample'>
  link: PeerLink
  log: RelayLog
}

const POLL_METHOD = 'changes-asked'
const ANSWER_METHOD = 'changes-told'
/** In failure domains of up to this many VMs, every VM follows the store itself: relaying would save few calls. */
const MAX_VMS_WITHOUT_RELAY = 4
/** Number of VMs that follow the store in a larger failure domain: two, so that one may be lost. */
const STORE_FOLLOWER_COUNT = 2
/** How long a poll of a peer waits for a change, milliseconds. Two waits and one lost datagram fit into the tightest bound, two seconds. */
const POLL_WAIT_MILLISECONDS = 400
/** Timeout of a poll of a peer, milliseconds: the wait for a change, plus a short pause of either VM. */
const POLL_TIMEOUT_MILLISECONDS = 650
/** How long an unresponsive peer is skipped, milliseconds. It stays listed meanwhile, because its key in the store expires only later. */
const UNRESPONSIVE_COOLDOWN_MILLISECONDS = 3000
/**
 * Maximum age of a copy that is relayed, milliseconds: a little over two polls of the store by a follower, with the network delay.
 */
const MAX_STALENESS_MILLISECONDS = 1250
/**
 * Maximum age of a copy that is relayed to a VM that can't reach the store, milliseconds. An older copy is better than none, and its age is
 * reported.
 */
const MAX_OUTAGE_STALENESS_MILLISECONDS = 2500
/**
 * Number of peers that are sampled from the whole fleet during an outage, in addition to the followers of this VM's failure domain: the
 * cause of the outage may lie within the domain.
 */
const SAMPLED_PEERS = 3
/** Maximum number of keys whose latest changes are kept for relaying: enough for a burst that rewrites the keys of all VMs and targets. */
const MAX_RECENT_CHANGES = 500
/**
 * Size limit of the changes in an answer to an earlier build, bytes. Longer answers do not fit into a datagram, and the peer polls the
 * store instead.
 */
const DATAGRAM_ANSWER_BYTES_LIMIT = 48_000
/** Size limit of the changes in any other answer, bytes. */
const ANSWER_BYTES_LIMIT = 0.9 * MESSAGE_BYTES_LIMIT
/** How long the end of an outage is relayed, milliseconds: entries that expired during it may be written again within this time. */
const RECOVERY_RELAYED_MILLISECONDS = 3000

const entrySchema = z.object({
  key: z.string(),
  /** Empty where the entry has `compressedValue`. */
  value: z.string(),
  compressedValue: z.string().optional(),
  modRevision: z.number(),
  createRevision: z.number(),
  leaseId: z.string().optional()
})
const changeSchema = z.object({ key: z.string(), revision: z.number(), entry: entrySchema.optional() })
const pollSchema = z.object({
  vm: z.string(),
  question: z.number(),
  after: z.number(),
  /** Era of `after`. Absent in messages of earlier versions of the relay, which know no eras. */
  era: z.number().default(0),
  /** Age of the requester's own copy, milliseconds; present if the requester can only use a newer copy. */
  ownWordMilliseconds: z.number().optional(),
  /** Whether the requester reads answers in several datagrams, and compressed values. Earlier builds do not. */
  readsLongAnswers: z.boolean().default(false)
})
const answerSchema = z.object({
  question: z.number(),
  /** Absent if the peer can't answer: its history does not go back far enough, its copy is too old, or the answer is too long. */
  page: z.object({
    changes: z.array(changeSchema),
    revision: z.number(),
    era: z.number().default(0),
    ageMilliseconds: z.number().min(0),
    heldMilliseconds: z.number().min(0),
    regainedMilliseconds: z.number().optional()
  }).optional()
})

type WirePage = z.infer<typeof answerSchema>['page']
type WireEntry = z.infer<typeof entrySchema>

/** Creates a relay and starts to answer polls of peers. */
export function createMirrorRelay (dependencies: MirrorRelayDependencies): MirrorRelay {
  const { ownVm, peers, link, log } = dependencies
  /** Latest change of each key that changed lately, the key of the latest change last. */
  const recentChanges = new Map<string, WatchEvent>()
  const wireEntries = new WeakMap<KeyValueEntry, WireEntry>()
  /** Polls received from peers that wait for a change. */
  const incomingPolls = new Set<{ after: StorePosition, newerThan?: Instant, answer: () => void }>()
  /** Polls that this process has sent to peers, by the id that the messages carry as `question`. */
  const outgoingPolls = new Map<number, { sentAt: Instant, resolve: (page: RelayedPage | undefined) => void }>()
  /** `recentChanges` contains what has changed after this revision of the present era; Infinity before the first full listing. */
  let completeAfter = Infinity
  /** Position up to which this VM's copy is complete. */
  let position: StorePosition = { era: 0, revision: 0 }
  let confirmedAt: Instant | undefined
  let recoveredAt = -Infinity
  /** The position up to which the latest page was too long; one line is logged for each. */
  let tooLongPosition: StorePosition | undefined
  const skippedUntil = new Map<string, number>()
  let nextPollId = 1
  let preferredIndex = 0
  let followedVm: string | undefined

  link.on(POLL_METHOD, parameters => {
    const request = pollSchema.parse(parameters)
    const peer = peers.find(request.vm)
    if (peer === undefined) return
    const receivedAt = performance.now()
    const newerThan = request.ownWordMilliseconds === undefined ? undefined : instantBefore(presentInstant(), request.ownWordMilliseconds)
    const after = { era: request.era, revision: request.after }
    const incomingPoll = { after, newerThan, answer }
    function answer (): void {
      if (!incomingPolls.delete(incomingPoll)) return
      const isUseful = isFreshEnough(newerThan) && isNewer(incomingPoll)
      const page = isUseful ? createPage(after, performance.now() - receivedAt, request.readsLongAnswers) : undefined
      link.notify(peer!.address, ANSWER_METHOD, { question: request.question, page }, { mayBeSplit: request.readsLongAnswers })
    }
    incomingPolls.add(incomingPoll)
    if (isAfter(position, after) || !isFreshEnough(newerThan) || (newerThan !== undefined && isNewer(incomingPoll))) answer()
    else void pauseInBackground(POLL_WAIT_MILLISECONDS).then(answer)
  })

  link.on(ANSWER_METHOD, parameters => {
    const { question, page } = answerSchema.parse(parameters)
    const poll = outgoingPolls.get(question)
    if (poll === undefined) return
    poll.resolve(page === undefined ? undefined : toRelayedPage(page, poll.sentAt))
  })

  function isFreshEnough (newerThan?: Instant): boolean {
    const maxStaleness = newerThan === undefined ? MAX_STALENESS_MILLISECONDS : MAX_OUTAGE_STALENESS_MILLISECONDS
    return confirmedAt !== undefined && ageOf(confirmedAt) <= maxStaleness
  }

  /** Whether this VM's copy is newer than the requester's. It is not if it came from the requester itself through other peers. */
  function isNewer ({ after, newerThan }: { after: StorePosition, newerThan?: Instant }): boolean {
    return newerThan === undefined || isAfter(position, after) || ageOf(confirmedAt!) < ageOf(newerThan)
  }

  function createPage (after: StorePosition, heldMilliseconds: number, mayBeLong: boolean): WirePage {
    // A copy of another era can't be brought up to date by changes: the poller must list the store.
    if (after.era !== position.era || after.revision < completeAfter) return undefined
    const recent = [...recentChanges.values()].filter(change => change.revision > after.revision)
    const changes = mayBeLong ? recent.map(({ key, revision, entry }) => ({ key, revision, entry: entry && toWireEntry(entry) })) : recent
    const bytes = Buffer.byteLength(JSON.stringify(changes))
    if (bytes > (mayBeLong ? ANSWER_BYTES_LIMIT : DATAGRAM_ANSWER_BYTES_LIMIT)) {
      if (tooLongPosition !== position) log.warn(RelayEvent.PeerReplyTooLong, { reply: ANSWER_METHOD, bytes, revision: position.revision })
      tooLongPosition = position
      return undefined
    }
    const regainedMilliseconds = performance.now() - recoveredAt
    return {
      changes,
      ...position,
      ageMilliseconds: ageOf(confirmedAt!),
      heldMilliseconds,
      regainedMilliseconds: regainedMilliseconds < RECOVERY_RELAYED_MILLISECONDS ? regainedMilliseconds : undefined
    }
  }

  /** @returns an entry as it is sent; a long value is compressed once for all pollers. */
  function toWireEntry (entry: KeyValueEntry): WireEntry {
    if (entry.value.length < COMPRESSED_FROM_CHARACTERS) return entry
    let wireEntry = wireEntries.get(entry)
    if (wireEntry === undefined) {
      wireEntry = { ...entry, value: '', compressedValue: compressText(entry.value) }
      wireEntries.set(entry, wireEntry)
    }
    return wireEntry
  }

  function toRelayedPage (page: NonNullable<WirePage>, sentAt: Instant): RelayedPage {
    return {
      changes: page.changes.map(({ key, revision, entry }) => ({ key, revision, entry: entry && fromWireEntry(entry) })),
      position: { era: page.era, revision: page.revision },
      // The poll reached the peer after it was sent, so the peer's copy is at least as recent as this instant.
      confirmedAt: instantBefore(sentAt, page.ageMilliseconds - page.heldMilliseconds),
      millisecondsSinceRecovery: page.regainedMilliseconds
    }
  }

  function localPeers (): Peer[] {
    return peers.known().filter(({ failureDomain }) => failureDomain === dependencies.failureDomain)
  }

  /** @returns the VMs that follow the store. All processes sort the VMs of a failure domain alike, so they agree without coordination. */
  function storeFollowers (): string[] {
    const names = [ownVm, ...localPeers().map(({ vm }) => vm)].sort()
    return names.length <= MAX_VMS_WITHOUT_RELAY ? names : names.slice(0, STORE_FOLLOWER_COUNT)
  }

  /** Polls the preferred peer, then the others, skipping unresponsive ones. */
  async function pollPeers (
    names: readonly string[], after: StorePosition, isInOutage: boolean
  ): Promise<{ peer: Peer, page: RelayedPage } | undefined> {
    const maxStaleness = isInOutage ? MAX_OUTAGE_STALENESS_MILLISECONDS : MAX_STALENESS_MILLISECONDS
    for (let attempt = 0; attempt < names.length; attempt++) {
      const peer = peers.find(names[preferredIndex % names.length]!)
      if (peer !== undefined && (skippedUntil.get(peer.vm) ?? 0) < performance.now()) {
        const page = await pollPeer(peer, after, isInOutage)
        if (page !== undefined && ageOf(page.confirmedAt) <= maxStaleness + POLL_TIMEOUT_MILLISECONDS) return { peer, page }
      }
      preferredIndex += 1
    }
    return undefined
  }

  async function pollPeer (peer: Peer, after: StorePosition, isInOutage: boolean): Promise<RelayedPage | undefined> {
    const pollId = nextPollId++
    const page = await new Promise<RelayedPage | undefined>(resolve => {
      outgoingPolls.set(pollId, { sentAt: presentInstant(), resolve })
      const ownWordMilliseconds = isInOutage && confirmedAt !== undefined ? ageOf(confirmedAt) : undefined
      link.notify(peer.address, POLL_METHOD, {
        vm: ownVm, question: pollId, after: after.revision, era: after.era, ownWordMilliseconds, readsLongAnswers: true
      })
      void pauseInBackground(POLL_TIMEOUT_MILLISECONDS).then(() => {
        if (outgoingPolls.has(pollId)) skippedUntil.set(peer.vm, performance.now() + UNRESPONSIVE_COOLDOWN_MILLISECONDS)
        resolve(undefined)
      })
    })
    outgoingPolls.delete(pollId)
    return page
  }

  function logFollowed (vm: string | undefined, reason: string): void {
    if (vm === followedVm) return
    followedVm = vm
    log.info(RelayEvent.StoreFollowed, { through: vm ?? 'itself', reason })
  }

  return {
    followsStore: () => storeFollowers().includes(ownVm),
    servesPeers: () => {
      const followers = storeFollowers()
      return followers.includes(ownVm) && followers.length < localPeers().length + 1
    },
    async poll (after) {
      const followers = storeFollowers()
      if (followers.includes(ownVm)) {
        logFollowed(undefined, 'this VM is a store follower')
        return undefined
      }
      const relayed = await pollPeers(followers, after, false)
      logFollowed(relayed?.peer.vm, relayed === undefined ? `no usable answer from ${followers.join(' and ')}` : 'that VM is a store follower')
      return relayed?.page
    },
    async pollDuringOutage (after) {
      const followers = storeFollowers().filter(vm => vm !== ownVm)
      const relayed = await pollPeers([...new Set([...followers, ...peers.sample(SAMPLED_PEERS).map(({ vm }) => vm)])], after, true)
      if (relayed !== undefined) logFollowed(relayed.peer.vm, 'the store does not answer')
      return relayed?.page
    },
    recordListing (listed) {
      recentChanges.clear()
      completeAfter = listed.revision
      position = listed
    },
    recordChange (change) {
      recentChanges.delete(change.key)
      recentChanges.set(change.key, change)
      if (recentChanges.size <= MAX_RECENT_CHANGES) return
      const [oldest] = recentChanges.values()
      recentChanges.delete(oldest!.key)
      completeAfter = Math.max(completeAfter, oldest!.revision)
    },
    recordConfirmation (confirmed, at) {
      if (isAfter(confirmed, position)) position = confirmed
      confirmedAt = at
      for (const pendingPoll of [...incomingPolls]) {
        if (isAfter(position, pendingPoll.after) || (pendingPoll.newerThan !== undefined && isNewer(pendingPoll))) pendingPoll.answer()
      }
    },
    recordRecovery (agoMilliseconds) {
      recoveredAt = performance.now() - agoMilliseconds
    }
  }
}

function fromWireEntry ({ compressedValue, ...entry }: WireEntry): KeyValueEntry {
  return compressedValue === undefined ? entry : { ...entry, value: expandText(compressedValue) }
}

function isAfter (a: StorePosition, b: StorePosition): boolean {
  return comparePositions(a, b) > 0
}
