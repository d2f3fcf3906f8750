/**
 * Keeps a copy of the store's keys by long polling. Each successful poll confirms that the copy was up to date when the poll was sent.
 */
import { FailureKind, describeFailure, type Failure, type KeyValueEntry, type PollableKeyValue, type WatchEvent } from '@wigeonlead/protocol'
import { pauseInBackground } from 'wigeonlead'
import { ageOf, presentInstant, type Instant } from './instant.js'
import type { MirrorRelay, RelayedPage } from './mirror-relay.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** Receives the changes of the copy, in the order of the store. */
export interface MirrorReader {
  /** A key was written. */
  onEntry: (entry: KeyValueEntry) => void
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
  const revisions = new Map<string, number>()
  let revision: number | undefined
  let hasListed = false
  let isStoreLost = false
  let isFollowingPeers = false
  /** When the first failed call of the present outage was sent. */
  let firstFailureSentAt: Instant | undefined
  /** Monotonic time at which the last page arrived from a peer that had reached the store after `firstFailureSentAt`, milliseconds. */
  let peerConfirmedAt = -Infinity
  let failures = 0
  /** Monotonic time before which the store is not called again, milliseconds. */
  let retryStoreAt = -Infinity

  while (!options.signal.aborted) {
    const relayed = revision === undefined ? undefined : await options.relay?.poll(revision)
    if (options.signal.aborted) return
    if (relayed !== undefined) {
      applyRelayed(relayed)
      continue
    }
    if (revision !== undefined && performance.now() < retryStoreAt) {
      await pauseInBackground(RETRY_PAUSE_MILLISECONDS)
      continue
    }
    const sentAt = presentInstant()
    const failure = revision === undefined ? await list() : await poll(revision)
    if (options.signal.aborted) return
    if (failure === undefined) {
      reportConfirmation(sentAt)
      await pauseInBackground(Math.max(0, MIN_POLL_INTERVAL_MILLISECONDS - (performance.now() - sentAt.monotonic)))
      continue
    }
    if (failure.kind === FailureKind.Refused && failure.status === HISTORY_GONE_STATUS) {
      log.info(RelayEvent.StoreHistoryGone, { revision })
      revision = undefined
      continue
    }
    await handleFailure(failure, sentAt)
  }

  function applyRelayed (page: RelayedPage): void {
    if (page.millisecondsSinceRecovery !== undefined) reportRecovery(page.millisecondsSinceRecovery)
    if (isStoreLost && options.relay?.followsStore() === false) {
      log.info(RelayEvent.StoreRecovered, { failures, through: 'peers' })
      isStoreLost = false
      retryStoreAt = -Infinity
      failures = 0
    }
    for (const change of page.changes) apply(change)
    revision = Math.max(revision!, page.revision)
    reportConfirmation(page.confirmedAt)
  }

  /** Follows the changes through peers until the store answers again. */
  async function followPeers (relay: MirrorRelay): Promise<void> {
    if (isFollowingPeers) return
    isFollowingPeers = true
    while (isStoreLost && !options.signal.aborted) {
      const page = revision === undefined ? undefined : await relay.pollDuringOutage(revision)
      // While the peer was polled, the store may have answered, or a new listing may have begun. The page is then outdated.
      if (!isStoreLost || revision === undefined || page === undefined) {
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

  function reportConfirmation (confirmedAt: Instant): void {
    options.relay?.recordConfirmation(revision!, confirmedAt)
    reader.onConfirmed(confirmedAt)
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
    const keys = new Set(listing.value.entries.map(entry => entry.key))
    for (const entry of listing.value.entries) apply({ key: entry.key, entry, revision: entry.modRevision })
    for (const key of revisions.keys()) {
      if (keys.has(key)) continue
      revisions.delete(key)
      // VMs that follow this copy receive the removal like any other and need no listing of their own.
      if (hasListed) options.relay?.recordChange({ key, revision: listing.value.revision })
    }
    reader.onListed(keys)
    revision = listing.value.revision
    if (!hasListed) options.relay?.recordListing(revision)
    hasListed = true
  }

  async function poll (after: number): Promise<Failure | undefined> {
    const page = await store.poll('', after, waitMilliseconds())
    if (!page.ok) return page.failure
    handleSuccess()
    for (const change of page.value.changes) apply(change)
    revision = Math.max(after, page.value.revision)
  }

  function apply (change: WatchEvent): void {
    if ((revisions.get(change.key) ?? 0) >= change.revision) return
    revisions.set(change.key, change.revision)
    options.relay?.recordChange(change)
    if (change.entry === undefined) reader.onRemoved(change.key)
    else reader.onEntry(change.entry)
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
      log.warn(RelayEvent.StoreLost, { reason: describeFailure(failure), revision })
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
