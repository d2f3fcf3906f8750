/**
 * Keeps a copy of the store's keys by long polling. Each successful poll proves how fresh the copy is.
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
  /** A key was removed; the watch was not interrupted. */
  onRemoved: (key: string) => void
  /** A full listing was applied. Keys that are not in it no longer exist in the store. */
  onListed: (keys: ReadonlySet<string>) => void
  /** The copy contains everything that the store had acknowledged at that moment. */
  onProved: (provedAt: Instant) => void
  /** The store was reached again after failures, that many milliseconds ago. */
  onRegained: (agoMilliseconds: number) => void
}

/** Options of a mirror. */
export interface MirrorOptions {
  /** How long one poll waits for a change, milliseconds. */
  waitMilliseconds: number
  signal: AbortSignal
  /** Relay through which changes arrive from peers and are passed on to them. */
  relay?: MirrorRelay
}

/** Pause after a failed call, milliseconds: short compared with every bound, and long compared with the rate limits of the store. */
const RETRY_PAUSE_MILLISECONDS = 150
const MAX_RETRY_PAUSE_MILLISECONDS = 600
/** Retry interval for the store while peers relay its changes, milliseconds: peers report sooner that the store is back. */
const PEER_FED_RETRY_MILLISECONDS = 2000
/**
 * Minimum interval between polls, milliseconds. Changes that come closer together arrive in one poll; the delay is a small part of each
 * bound.
 */
const MIN_POLL_INTERVAL_MILLISECONDS = 250
const HISTORY_GONE_STATUS = 410
/**
 * Wait of a poll on behalf of other VMs, milliseconds. Only its end proves that the copy is fresh, and the next proof takes another poll.
 */
const RELAYING_WAIT_MILLISECONDS = 500
/** A proof from peers is recent up to this age, milliseconds: over two polls of them. */
const RECENT_PEER_PROOF_MILLISECONDS = 1500

/** Keeps a copy of the store up to date until the signal aborts. */
export async function runStoreMirror (
  store: PollableKeyValue, reader: MirrorReader, log: RelayLog, options: MirrorOptions
): Promise<void> {
  const revisions = new Map<string, number>()
  let revision: number | undefined
  let hasListed = false
  let isStoreLost = false
  let isFollowingPeers = false
  /** When the first call that failed was sent. */
  let lostSince: Instant | undefined
  /** Monotonic time of the last page in which a peer proved that it reached the store after that, milliseconds. */
  let peerProofAt = -Infinity
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
      reportProof(sentAt)
      await pauseInBackground(Math.max(0, MIN_POLL_INTERVAL_MILLISECONDS - (performance.now() - sentAt.steady)))
      continue
    }
    if (failure.kind === FailureKind.Refused && failure.status === HISTORY_GONE_STATUS) {
      log.note(RelayEvent.StoreHistoryGone, { revision })
      revision = undefined
      continue
    }
    await handleFailure(failure, sentAt)
  }

  function applyRelayed (page: RelayedPage): void {
    if (page.regainedMilliseconds !== undefined) reportRegained(page.regainedMilliseconds)
    if (isStoreLost && options.relay?.followsStore() === false) {
      log.note(RelayEvent.StoreRegained, { failures, through: 'peers' })
      isStoreLost = false
      retryStoreAt = -Infinity
      failures = 0
    }
    for (const change of page.changes) apply(change)
    revision = Math.max(revision!, page.revision)
    reportProof(page.provedAt)
  }

  /** Follows the changes through peers until the store answers again. */
  async function followPeers (relay: MirrorRelay): Promise<void> {
    if (isFollowingPeers) return
    isFollowingPeers = true
    while (isStoreLost && !options.signal.aborted) {
      const page = revision === undefined ? undefined : await relay.pollDuringOutage(revision)
      // Meanwhile the store may have answered, or a new listing may be in progress. An older page is then discarded.
      if (!isStoreLost || revision === undefined || page === undefined) {
        await pauseInBackground(RETRY_PAUSE_MILLISECONDS)
        continue
      }
      if (lostSince !== undefined && ageOf(page.provedAt) < ageOf(lostSince)) peerProofAt = performance.now()
      applyRelayed(page)
    }
    isFollowingPeers = false
  }

  function hasRecentPeerProof (): boolean {
    return performance.now() - peerProofAt < RECENT_PEER_PROOF_MILLISECONDS
  }

  function reportProof (provedAt: Instant): void {
    options.relay?.recordProof(revision!, provedAt)
    reader.onProved(provedAt)
  }

  function waitMilliseconds (): number {
    // A call without a wait shows soon whether the store is back; changes arrive from peers meanwhile.
    if (hasRecentPeerProof()) return 0
    return options.relay?.servesOthers() === true
      ? Math.min(RELAYING_WAIT_MILLISECONDS, options.waitMilliseconds)
      : options.waitMilliseconds
  }

  async function list (): Promise<Failure | undefined> {
    const listing = await store.list('')
    if (!listing.ok) return listing.failure
    handleReached()
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
    handleReached()
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

  function handleReached (): void {
    if (isStoreLost) {
      // Peers that could reach the store the whole time have relayed every expiry, so none of those entries will be written again.
      if (!hasRecentPeerProof()) reportRegained(0)
      log.note(RelayEvent.StoreRegained, { failures })
    }
    isStoreLost = false
    failures = 0
  }

  function reportRegained (agoMilliseconds: number): void {
    reader.onRegained(agoMilliseconds)
    options.relay?.recordRegained(agoMilliseconds)
  }

  async function handleFailure (failure: Failure, sentAt: Instant): Promise<void> {
    if (!isStoreLost) {
      log.warn(RelayEvent.StoreLost, { reason: describeFailure(failure), revision })
      lostSince = sentAt
    }
    isStoreLost = true
    failures += 1
    if (options.relay?.followsStore() === false) {
      retryStoreAt = performance.now() + PEER_FED_RETRY_MILLISECONDS
      return await pauseInBackground(RETRY_PAUSE_MILLISECONDS)
    }
    if (options.relay !== undefined) void followPeers(options.relay)
    if (hasRecentPeerProof()) return await pauseInBackground(PEER_FED_RETRY_MILLISECONDS)
    await pauseInBackground(Math.min(MAX_RETRY_PAUSE_MILLISECONDS, RETRY_PAUSE_MILLISECONDS * failures))
  }
}
