/**
 * A copy of the store's keys, kept by long polls. Each answered poll proves how fresh the copy is.
 */
import { FailureKind, describeFailure, type Failure, type KeyValueEntry, type PollableKeyValue, type WatchEvent } from '@wigeonlead/protocol'
import { pauseInBackground } from 'wigeonlead'
import { ageOf, presentInstant, type Instant } from './instant.js'
import type { MirrorRelay, RelayedPage } from './mirror-relay.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** Told of what changes; all calls come in the order of the store. */
export interface MirrorReader {
  /** A key was written. */
  onEntry: (entry: KeyValueEntry) => void
  /** A key was removed while the watch was whole. */
  onRemoved: (key: string) => void
  /** A full listing ended; keys that it lacks are gone from the store. */
  onListed: (keys: ReadonlySet<string>) => void
  /** The copy holds all that the store had acknowledged at that moment. */
  onProved: (provedAt: Instant) => void
  /** The store was reached again so long ago, milliseconds, after failures. */
  onRegained: (agoMilliseconds: number) => void
}

/** Options of a mirror. */
export interface MirrorOptions {
  /** How long one poll waits for a change, milliseconds. */
  waitMilliseconds: number
  signal: AbortSignal
  /** Peers through which changes may come, and to which they are passed on. */
  relay?: MirrorRelay
}

/** Pause after a failed call, milliseconds: short against every bound, long against the store's rates. */
const RETRY_PAUSE_MILLISECONDS = 150
const LONGEST_RETRY_PAUSE_MILLISECONDS = 600
/** A VM that hears from peers asks a store that failed it again after so long, milliseconds: they tell it sooner that the store is back. */
const TOLD_RETRY_MILLISECONDS = 2000
/** Changes that come closer together are fetched in one poll, milliseconds: a small part of each bound on what they bring. */
const LEAST_POLL_INTERVAL_MILLISECONDS = 250
const HISTORY_GONE_STATUS = 410
/** A poll for others waits so long, milliseconds: only its end proves the copy to all that follow it, and the next proof takes another. */
const SERVING_WAIT_MILLISECONDS = 500
/** Peers told lately if that was so long ago at most, milliseconds: over two questions to them. */
const TOLD_LATELY_MILLISECONDS = 1500

/** Keeps a copy until the signal aborts. */
export async function runStoreMirror (
  store: PollableKeyValue, reader: MirrorReader, log: RelayLog, options: MirrorOptions
): Promise<void> {
  const revisions = new Map<string, number>()
  let revision: number | undefined
  let hasListed = false
  let isLost = false
  let isListening = false
  /** When the first call was sent that the store did not answer. */
  let lostSince: Instant | undefined
  /** When peers last told what the store had answered them since then, by the steady clock, milliseconds. */
  let toldAt = -Infinity
  let failures = 0
  /** Steady time from which the store itself may be asked, milliseconds. */
  let mayAskAt = -Infinity

  while (!options.signal.aborted) {
    const relayed = revision === undefined ? undefined : await options.relay?.poll(revision)
    if (options.signal.aborted) return
    if (relayed !== undefined) {
      takeRelayed(relayed)
      continue
    }
    if (revision !== undefined && performance.now() < mayAskAt) {
      await pauseInBackground(RETRY_PAUSE_MILLISECONDS)
      continue
    }
    const sentAt = presentInstant()
    const failure = revision === undefined ? await list() : await poll(revision)
    if (options.signal.aborted) return
    if (failure === undefined) {
      noteProved(sentAt)
      await pauseInBackground(Math.max(0, LEAST_POLL_INTERVAL_MILLISECONDS - (performance.now() - sentAt.steady)))
      continue
    }
    if (failure.kind === FailureKind.Refused && failure.status === HISTORY_GONE_STATUS) {
      log.note(RelayEvent.StoreHistoryGone, { revision })
      revision = undefined
      continue
    }
    await noteFailed(failure, sentAt)
  }

  function takeRelayed (page: RelayedPage): void {
    if (page.regainedMilliseconds !== undefined) noteRegained(page.regainedMilliseconds)
    if (isLost && options.relay?.followsStore() === false) {
      log.note(RelayEvent.StoreRegained, { failures, through: 'peers' })
      isLost = false
      mayAskAt = -Infinity
      failures = 0
    }
    for (const change of page.changes) apply(change)
    revision = Math.max(revision!, page.revision)
    noteProved(page.provedAt)
  }

  /** Hears from peers what changes until the store answers again. */
  async function listenToPeers (relay: MirrorRelay): Promise<void> {
    if (isListening) return
    isListening = true
    while (isLost && !options.signal.aborted) {
      const page = revision === undefined ? undefined : await relay.pollInOutage(revision)
      // The store may have answered meanwhile, or its listing is on its way: what is older than that is not taken.
      if (!isLost || revision === undefined || page === undefined) {
        await pauseInBackground(RETRY_PAUSE_MILLISECONDS)
        continue
      }
      if (lostSince !== undefined && ageOf(page.provedAt) < ageOf(lostSince)) toldAt = performance.now()
      takeRelayed(page)
    }
    isListening = false
  }

  function isToldLately (): boolean {
    return performance.now() - toldAt < TOLD_LATELY_MILLISECONDS
  }

  function noteProved (provedAt: Instant): void {
    options.relay?.noteProved(revision!, provedAt)
    reader.onProved(provedAt)
  }

  function waitMilliseconds (): number {
    // A short call tells soon whether the store is back; changes come from peers meanwhile.
    if (isToldLately()) return 0
    return options.relay?.servesOthers() === true ? Math.min(SERVING_WAIT_MILLISECONDS, options.waitMilliseconds) : options.waitMilliseconds
  }

  async function list (): Promise<Failure | undefined> {
    const listing = await store.list('')
    if (!listing.ok) return listing.failure
    noteReached()
    const keys = new Set(listing.value.entries.map(entry => entry.key))
    for (const entry of listing.value.entries) apply({ key: entry.key, entry, revision: entry.modRevision })
    for (const key of revisions.keys()) {
      if (keys.has(key)) continue
      revisions.delete(key)
      // Those that follow this copy hear of it like of any other removal, and need no listing of their own.
      if (hasListed) options.relay?.noteChange({ key, revision: listing.value.revision })
    }
    reader.onListed(keys)
    revision = listing.value.revision
    if (!hasListed) options.relay?.noteListed(revision)
    hasListed = true
  }

  async function poll (after: number): Promise<Failure | undefined> {
    const page = await store.poll('', after, waitMilliseconds())
    if (!page.ok) return page.failure
    noteReached()
    for (const change of page.value.changes) apply(change)
    revision = Math.max(after, page.value.revision)
  }

  function apply (change: WatchEvent): void {
    if ((revisions.get(change.key) ?? 0) >= change.revision) return
    revisions.set(change.key, change.revision)
    options.relay?.noteChange(change)
    if (change.entry === undefined) reader.onRemoved(change.key)
    else reader.onEntry(change.entry)
  }

  function noteReached (): void {
    if (isLost) {
      // Peers that were answered all the while have told of every entry that lapsed: none of those comes back.
      if (!isToldLately()) noteRegained(0)
      log.note(RelayEvent.StoreRegained, { failures })
    }
    isLost = false
    failures = 0
  }

  function noteRegained (agoMilliseconds: number): void {
    reader.onRegained(agoMilliseconds)
    options.relay?.noteRegained(agoMilliseconds)
  }

  async function noteFailed (failure: Failure, sentAt: Instant): Promise<void> {
    if (!isLost) {
      log.warn(RelayEvent.StoreLost, { reason: describeFailure(failure), revision })
      lostSince = sentAt
    }
    isLost = true
    failures += 1
    if (options.relay?.followsStore() === false) {
      mayAskAt = performance.now() + TOLD_RETRY_MILLISECONDS
      return await pauseInBackground(RETRY_PAUSE_MILLISECONDS)
    }
    if (options.relay !== undefined) void listenToPeers(options.relay)
    if (isToldLately()) return await pauseInBackground(TOLD_RETRY_MILLISECONDS)
    await pauseInBackground(Math.min(LONGEST_RETRY_PAUSE_MILLISECONDS, RETRY_PAUSE_MILLISECONDS * failures))
  }
}
