/**
 * Keeps a copy of the store's keys by long polling. Each successful poll confirms that the copy was up to date when the poll was sent.
 */
import {
  FailureKind, comparePositions, describeFailure, positionOf, type Failure, type KeyValueEntry, type PollableKeyValue, type StorePosition,
  type WatchEvent
} from '@wigeonlead/protocol'
import { pauseInBackground } from 'wigeonlead'
import { ageOf, presentInstant, type Instant } from './instant.js'
import type { MirrorRelay, RelayedPage } from './membership/mirror-relay.js'
import { RelayEvent, type RelayLog } from './relay-log.js'
import type { StoreEra } from './store-era.js'

/** Receives the changes of the copy, in the order of the store. */
export interface MirrorReader {
  /**
   * A key was written.
   * @param isFromRestoredCopy whether the entry is in the first listing after the store returned from an older copy.
   */
  onEntry: (entry: KeyValueEntry, isFromRestoredCopy: boolean) => void
  /** A poll reported that a key was removed. Keys that are missing from a full listing are passed to `onListed` only. */
  onRemoved: (key: string) => void
  /** A full listing was applied. Keys that are not in it no longer exist in the store. */
  onListed: (keys: ReadonlySet<string>) => void
  /** The copy contains everything that the store had acknowledged at the given moment. */
  onConfirmed: (confirmedAt: Instant) => void
  /** The store was reached again after an outage, the given number of milliseconds ago. */
  onRecovered: (agoMilliseconds: number) => void
}

/** Options of a mirror. */
export interface MirrorOptions {
  /** How long one poll waits for a change, milliseconds. */
  waitMilliseconds: number
  signal: AbortSignal
  /** Era of the store. A copy of an earlier era is listed anew. */
  era: Pick<StoreEra, 'current' | 'learn'>
  /** Relay through which changes arrive from peers and are passed on to them. */
  relay?: MirrorRelay
}

/** Pause after a failed call, milliseconds: short compared with every bound, and long enough for the store's rate limits. */
const RETRY_PAUSE_MILLISECONDS = 150
/** The pause grows with each further failure up to this, milliseconds. */
const MAX_RETRY_PAUSE_MILLISECONDS = 600
/** Retry interval for the store while peers relay its changes, milliseconds. It may be long: peers report sooner that the store is back. */
const RETRY_WHILE_FOLLOWING_PEERS_MILLISECONDS = 2000
/**
 * Minimum interval between polls, milliseconds. Changes within one interval arrive in one poll; the delay is a small part of each bound.
 */
const MIN_POLL_INTERVAL_MILLISECONDS = 250
const HISTORY_GONE_STATUS = 410
/**
 * Age of the copy above which the store is listed instead of polled, milliseconds: the backlog of changes may hold many versions of one
 * key, and a listing holds the latest one only. A VM that polls the store with the longest wait stays below it.
 */
const MAX_FOLLOWED_AGE_MILLISECONDS = 2500
/**
 * How long a poll of the store waits for a change on a VM that other VMs poll, milliseconds. The copy is only confirmed when a poll ends,
 * so a longer wait would make relayed copies older.
 */
const RELAYING_WAIT_MILLISECONDS = 500
/** A confirmation through peers is recent up to this age, milliseconds: a little over two polls of peers. */
const RECENT_PEER_CONFIRMATION_MILLISECONDS = 1500

/** Keeps a copy of the store up to date until the signal aborts. */
export async function runStoreMirror (
  store: PollableKeyValue, reader: MirrorReader, log: RelayLog, options: MirrorOptions
): Promise<void> {
  /** Revision of the last change of each key, in the era of `listedEra`. */
  const revisions = new Map<string, number>()
  /** Position up to which the copy is complete; undefined if it must be listed anew. */
  let position: StorePosition | undefined
  /** Era of the last full listing. */
  let listedEra: number | undefined
  let isStoreLost = false
  let isFollowingPeers = false
  /** When the first failed call of the present outage was sent. */
  let firstFailureSentAt: Instant | undefined
  /** Monotonic time at which the last page arrived from a peer that had reached the store after `firstFailureSentAt`, milliseconds. */
  let peerConfirmedAt = -Infinity
  let failures = 0
  /** When the copy was up to date last. */
  let confirmedAt: Instant | undefined
  /** Whether the latest page may have lacked changes. */
  let isPageCut = false
  /** Monotonic time before which the store is not called again, milliseconds. */
  let retryStoreAt = -Infinity

  while (!options.signal.aborted) {
    if (position !== undefined && position.era < options.era.current()) position = undefined
    const relayed = position === undefined ? undefined : await options.relay?.poll(position)
    if (options.signal.aborted) return
    if (relayed !== undefined && applyRelayed(relayed)) continue
    if (position !== undefined && performance.now() < retryStoreAt) {
      await pauseInBackground(RETRY_PAUSE_MILLISECONDS)
      continue
    }
    const sentAt = presentInstant()
    const failure = position === undefined || isPageCut || isFarBehind() ? await list() : await poll(position)
    if (options.signal.aborted) return
    if (failure === undefined) {
      if (isPageCut) continue
      reportConfirmation(sentAt)
      await pauseInBackground(Math.max(0, MIN_POLL_INTERVAL_MILLISECONDS - (performance.now() - sentAt.monotonic)))
      continue
    }
    if (failure.kind === FailureKind.Refused && failure.status === HISTORY_GONE_STATUS) {
      log.info(RelayEvent.StoreHistoryGone, { era: position?.era, revision: position?.revision })
      position = undefined
      continue
    }
    // The store has answered, so it is not lost; only the content of its answer is of no use.
    if (failure.kind === FailureKind.Outdated) {
      await pauseInBackground(RETRY_PAUSE_MILLISECONDS)
      continue
    }
    await handleFailure(failure, sentAt)
  }

  /** @returns false if the page is of another era than the copy and was not applied. */
  function applyRelayed (page: RelayedPage): boolean {
    if (page.position.era !== position!.era) {
      log.info(RelayEvent.RelayedPageDropped, { pageEra: page.position.era, era: position!.era })
      options.era.learn(page.position.era, 0, 'relayed page')
      if (page.position.era > position!.era) position = undefined
      return false
    }
    if (page.millisecondsSinceRecovery !== undefined) reportRecovery(page.millisecondsSinceRecovery)
    if (isStoreLost && options.relay?.followsStore() === false) {
      log.info(RelayEvent.StoreRecovered, { failures, through: 'peers' })
      isStoreLost = false
      retryStoreAt = -Infinity
      failures = 0
    }
    for (const change of page.changes) apply(change, false)
    position = laterOf(position!, page.position)
    reportConfirmation(page.confirmedAt)
    return true
  }

  /** Follows the changes through peers until the store answers again. */
  async function followPeers (relay: MirrorRelay): Promise<void> {
    if (isFollowingPeers) return
    isFollowingPeers = true
    while (isStoreLost && !options.signal.aborted) {
      const page = position === undefined ? undefined : await relay.pollDuringOutage(position)
      // While the peer was polled, the store may have answered, or a new listing may have begun. The page is then outdated.
      if (!isStoreLost || position === undefined || page === undefined) {
        await pauseInBackground(RETRY_PAUSE_MILLISECONDS)
        continue
      }
      if (firstFailureSentAt !== undefined && ageOf(page.confirmedAt) < ageOf(firstFailureSentAt)) peerConfirmedAt = performance.now()
      applyRelayed(page)
    }
    isFollowingPeers = false
  }

  function hasRecentPeerConfirmation (): boolean {
    return performance.now() - peerConfirmedAt < RECENT_PEER_CONFIRMATION_MILLISECONDS
  }

  function isFarBehind (): boolean {
    return confirmedAt !== undefined && ageOf(confirmedAt) > MAX_FOLLOWED_AGE_MILLISECONDS
  }

  function reportConfirmation (instant: Instant): void {
    if (position === undefined) return
    confirmedAt = instant
    options.relay?.recordConfirmation(position, instant)
    reader.onConfirmed(instant)
  }

  function waitMilliseconds (): number {
    // A call without a wait shows soon whether the store is back; changes arrive from peers meanwhile.
    if (hasRecentPeerConfirmation()) return 0
    return options.relay?.servesPeers() === true
      ? Math.min(RELAYING_WAIT_MILLISECONDS, options.waitMilliseconds)
      : options.waitMilliseconds
  }

  async function list (): Promise<Failure | undefined> {
    const listing = await store.list('')
    if (!listing.ok) return listing.failure
    handleSuccess()
    const listed = positionOf(listing.value)
    const isNewHistory = listed.era !== listedEra
    // Revisions of an earlier era say nothing about this one, in which they may be given out again.
    if (isNewHistory) revisions.clear()
    const isRestored = isNewHistory && listedEra !== undefined
    const keys = new Set(listing.value.entries.map(entry => entry.key))
    for (const entry of listing.value.entries) apply({ key: entry.key, entry, revision: entry.modRevision }, isRestored)
    for (const key of revisions.keys()) {
      if (keys.has(key)) continue
      revisions.delete(key)
      // VMs that follow this copy receive the removal like any other and need no listing of their own.
      if (!isNewHistory) options.relay?.recordChange({ key, revision: listed.revision })
    }
    reader.onListed(keys)
    isPageCut = false
    position = listed
    if (isNewHistory) options.relay?.recordListing(listed)
    listedEra = listed.era
  }

  async function poll (after: StorePosition): Promise<Failure | undefined> {
    const page = await store.poll('', after.revision, waitMilliseconds())
    if (!page.ok) return page.failure
    handleSuccess()
    const reached = positionOf(page.value)
    if (reached.era !== after.era) {
      position = undefined
      return
    }
    for (const change of page.value.changes) apply(change, false)
    position = laterOf(after, reached)
    isPageCut = page.value.mayBeCut === true
    if (isPageCut) log.info(RelayEvent.StorePageCut, { changes: page.value.changes.length, revision: reached.revision })
  }

  function apply (change: WatchEvent, isFromRestoredCopy: boolean): void {
    if ((revisions.get(change.key) ?? 0) >= change.revision) return
    revisions.set(change.key, change.revision)
    options.relay?.recordChange(change)
    if (change.entry === undefined) reader.onRemoved(change.key)
    else reader.onEntry(change.entry, isFromRestoredCopy)
  }

  function handleSuccess (): void {
    if (isStoreLost) {
      // Peers that could reach the store the whole time have relayed every expiry, so no expired entry will be written again.
      if (!hasRecentPeerConfirmation()) reportRecovery(0)
      log.info(RelayEvent.StoreRecovered, { failures })
    }
    isStoreLost = false
    failures = 0
  }

  function reportRecovery (agoMilliseconds: number): void {
    reader.onRecovered(agoMilliseconds)
    options.relay?.recordRecovery(agoMilliseconds)
  }

  async function handleFailure (failure: Failure, sentAt: Instant): Promise<void> {
    if (!isStoreLost) {
      log.warn(RelayEvent.StoreLost, { reason: describeFailure(failure), era: position?.era, revision: position?.revision })
      firstFailureSentAt = sentAt
    }
    isStoreLost = true
    failures += 1
    if (options.relay?.followsStore() === false) {
      retryStoreAt = performance.now() + RETRY_WHILE_FOLLOWING_PEERS_MILLISECONDS
      return await pauseInBackground(RETRY_PAUSE_MILLISECONDS)
    }
    if (options.relay !== undefined) void followPeers(options.relay)
    if (hasRecentPeerConfirmation()) return await pauseInBackground(RETRY_WHILE_FOLLOWING_PEERS_MILLISECONDS)
    await pauseInBackground(Math.min(MAX_RETRY_PAUSE_MILLISECONDS, RETRY_PAUSE_MILLISECONDS * failures))
  }
}

function laterOf (a: StorePosition, b: StorePosition): StorePosition {
  return comparePositions(a, b) >= 0 ? a : b
}
