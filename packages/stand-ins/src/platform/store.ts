/**
 * State of the key-value stand-in: revisions, compare-and-swap, leases that expire, and watches. All calls are synchronous.
 */
import type { KeyValueEntry, KeyValueWrite, WatchEvent } from '@wigeonlead/protocol'

/** Result of a compare-and-swap. */
export type StoreWriteResult = { committed: true, revision: number } | { committed: false, current?: KeyValueEntry, revision: number }

/** Counts of calls since the store was created. */
export interface StoreCounts {
  reads: number
  writes: number
}

/** Store of the key-value stand-in. */
export interface KeyValueStore {
  revision: () => number
  counts: StoreCounts
  get: (key: string) => KeyValueEntry | undefined
  list: (prefix: string) => KeyValueEntry[]
  compareAndSwap: (write: KeyValueWrite) => StoreWriteResult
  grantLease: (timeToLiveMilliseconds: number) => string
  /** Returns the time to live of the lease in milliseconds, or 0 if the lease has expired. */
  renewLease: (leaseId: string) => number
  revokeLease: (leaseId: string) => void
  /** Calls `callback` for each later change of exactly this key, until the returned function is called. */
  onChange: (key: string, callback: (event: WatchEvent) => void) => () => void
  /** Returns the changes of a key after a revision that are still in the history. */
  changesSince: (key: string, afterRevision: number) => WatchEvent[]
  /** Returns a copy of all entries, for a later `restore`. */
  snapshot: () => KeyValueEntry[]
  /** Replaces all entries and sets the revision, as a restore from a backup does; clears the history. */
  restore: (entries: KeyValueEntry[], revision: number) => void
}

interface Lease {
  timeToLiveMilliseconds: number
  timer: NodeJS.Timeout
}

/** Number of changes, over all keys, that `changesSince` can return. */
const HISTORY_LENGTH = 1000

/** Creates an empty store. */
export function createKeyValueStore (): KeyValueStore {
  const entries = new Map<string, KeyValueEntry>()
  const leases = new Map<string, Lease>()
  const listeners = new Map<string, Set<(event: WatchEvent) => void>>()
  const history: WatchEvent[] = []
  const counts: StoreCounts = { reads: 0, writes: 0 }
  let revision = 1
  let nextLeaseId = 1

  function publish (event: WatchEvent): void {
    history.push(event)
    if (history.length > HISTORY_LENGTH) history.shift()
    for (const listener of listeners.get(event.key) ?? []) listener(event)
  }

  function remove (key: string): void {
    if (!entries.delete(key)) return
    revision += 1
    publish({ key, revision })
  }

  function expireLease (leaseId: string): void {
    clearTimeout(leases.get(leaseId)?.timer)
    leases.delete(leaseId)
    for (const entry of [...entries.values()]) {
      if (entry.leaseId === leaseId) remove(entry.key)
    }
  }

  function startLease (leaseId: string, timeToLiveMilliseconds: number): void {
    clearTimeout(leases.get(leaseId)?.timer)
    const timer = setTimeout(() => expireLease(leaseId), timeToLiveMilliseconds)
    timer.unref()
    leases.set(leaseId, { timeToLiveMilliseconds, timer })
  }

  return {
    revision: () => revision,
    counts,
    get (key) {
      counts.reads += 1
      return entries.get(key)
    },
    list (prefix) {
      counts.reads += 1
      return [...entries.values()].filter(entry => entry.key.startsWith(prefix)).sort((a, b) => a.key < b.key ? -1 : 1)
    },
    compareAndSwap (write) {
      counts.writes += 1
      const current = entries.get(write.key)
      if (write.leaseId !== undefined && !leases.has(write.leaseId)) return { committed: false, current, revision }
      if ((current?.modRevision ?? 0) !== write.expectedModRevision) return { committed: false, current, revision }
      if (write.value === undefined) {
        remove(write.key)
        return { committed: true, revision }
      }
      revision += 1
      const entry: KeyValueEntry = {
        key: write.key,
        value: write.value,
        modRevision: revision,
        createRevision: current?.createRevision ?? revision,
        leaseId: write.leaseId
      }
      entries.set(write.key, entry)
      publish({ key: write.key, entry, revision })
      return { committed: true, revision }
    },
    grantLease (timeToLiveMilliseconds) {
      counts.writes += 1
      const leaseId = String(nextLeaseId++)
      startLease(leaseId, timeToLiveMilliseconds)
      return leaseId
    },
    renewLease (leaseId) {
      counts.writes += 1
      const lease = leases.get(leaseId)
      if (lease === undefined) return 0
      startLease(leaseId, lease.timeToLiveMilliseconds)
      return lease.timeToLiveMilliseconds
    },
    revokeLease (leaseId) {
      counts.writes += 1
      expireLease(leaseId)
    },
    onChange (key, callback) {
      const callbacks = listeners.get(key) ?? new Set()
      listeners.set(key, callbacks)
      callbacks.add(callback)
      return () => callbacks.delete(callback)
    },
    changesSince: (key, afterRevision) => history.filter(event => event.key === key && event.revision > afterRevision),
    snapshot: () => [...entries.values()],
    restore (restored, restoredRevision) {
      entries.clear()
      history.length = 0
      for (const entry of restored) entries.set(entry.key, entry)
      revision = restoredRevision
    }
  }
}
