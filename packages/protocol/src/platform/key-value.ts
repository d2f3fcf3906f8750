/**
 * The port for the platform's key-value service: reads, compare-and-swap, leases and watches.
 */
import type { Failure, Outcome } from '../failure.js'

/** One stored value. */
export interface KeyValueEntry {
  key: string
  value: string
  /** Revision of the write that stored this value; never 0. */
  modRevision: number
  /** Revision at which the key was created. */
  createRevision: number
  leaseId?: string
}

/** Result of a read. `entry` is absent if the key does not exist. */
export interface KeyValueRead {
  entry?: KeyValueEntry
  /** Revision of the store at the time of the read. */
  revision: number
  /** Era that the answer counts under; absent where the service states none. */
  era?: number
}

/** Result of a prefix read. */
export interface KeyValueList {
  entries: KeyValueEntry[]
  revision: number
  /** As in `KeyValueRead`. */
  era?: number
}

/** A compare-and-swap. */
export interface KeyValueWrite {
  key: string
  /** The modRevision that the key must have; 0 requires that the key does not exist. */
  expectedModRevision: number
  /** The new value; if absent, the key is deleted. */
  value?: string
  leaseId?: string
}

/** All results of a write. */
export enum WriteResult {
  Committed = 'committed',
  Conflict = 'conflict',
  /** The write may have taken effect, or may still take effect. */
  Ambiguous = 'ambiguous',
  /** The write certainly did not take effect. */
  NotSent = 'not-sent'
}

/** The outcome of a write. */
export type WriteOutcome =
  | { kind: WriteResult.Committed, revision: number, era?: number }
  | { kind: WriteResult.Conflict, current?: KeyValueEntry, revision: number }
  | { kind: WriteResult.Ambiguous, failure: Failure }
  | { kind: WriteResult.NotSent, failure: Failure }

/** A granted or renewed lease. */
export interface LeaseGrant {
  leaseId: string
  timeToLiveMilliseconds: number
  /** Era in which the lease was granted or renewed. In a later era its number may belong to another lease. */
  era?: number
}

/** One change that a watch reports. */
export interface WatchEvent {
  key: string
  /** Absent if the key was deleted. */
  entry?: KeyValueEntry
  revision: number
}

/** Options of a single call. */
export interface KeyValueCallOptions {
  deadlineMilliseconds?: number
}

/** Calls to the platform's key-value service. No method rejects; failures are returned in the outcome. */
export interface KeyValuePort {
  get: (key: string, options?: KeyValueCallOptions) => Promise<Outcome<KeyValueRead>>
  list: (prefix: string, options?: KeyValueCallOptions) => Promise<Outcome<KeyValueList>>
  compareAndSwap: (write: KeyValueWrite, options?: KeyValueCallOptions) => Promise<WriteOutcome>
  grantLease: (timeToLiveMilliseconds: number, options?: KeyValueCallOptions) => Promise<Outcome<LeaseGrant>>
  renewLease: (leaseId: string, options?: KeyValueCallOptions) => Promise<Outcome<LeaseGrant>>
  revokeLease: (leaseId: string, options?: KeyValueCallOptions) => Promise<Outcome<void>>
  /** Yields batches of changes of a key after `afterRevision`; ends when the stream ends and does not report the reason. */
  watch: (key: string, afterRevision: number, signal: AbortSignal) => AsyncIterable<WatchEvent[]>
}

/** Result of one long poll of a prefix. */
export interface KeyValuePage {
  /** Changes in the order of their revisions; empty when nothing changed while the poll waited. */
  changes: WatchEvent[]
  /** Revision after which the next poll continues. */
  revision: number
  /** Era of the page. If it differs from that of the polled revision, the page does not continue the poller's copy. */
  era?: number
  /** Whether later changes may have been left out because the page had reached its size limit. */
  mayBeCut?: boolean
}

/** A key-value service with long polls instead of streamed watches. Each completed poll shows how current the caller's copy is. */
export interface PollableKeyValue extends KeyValuePort {
  /**
   * Waits for changes under a prefix.
   * @returns the changes; a failure of kind `refused` with status 410 if the history after `afterRevision` is no longer available.
   */
  poll: (
    prefix: string, afterRevision: number, waitMilliseconds: number, options?: KeyValueCallOptions
  ) => Promise<Outcome<KeyValuePage>>
}
