/**
 * Group commit: changes of one bucket that arrive while a write is in flight are committed together by the next write.
 */
import { ClaimChangeResult, type ClaimChange, type ClaimChangeOutcome, type Failure } from '@wigeonlead/protocol'
import type { BucketStore } from './bucket-store.js'

/** The group commit of one bucket at one node. */
export interface GroupCommit {
  /** Commits one change with the next batch. Never rejects. */
  submit: (change: ClaimChange) => Promise<ClaimChangeOutcome>
}

/** Options of a group commit. */
export interface GroupCommitOptions {
  /** Minimum time between the starts of two writes while no other node writes the bucket, milliseconds. */
  intervalMilliseconds: number
}

interface PendingChange {
  change: ClaimChange
  resolve: (outcome: ClaimChangeOutcome) => void
}

const MAXIMUM_INTERVAL_MILLISECONDS = 1000
/** Weight of the latest batch in the moving average of the fleet's writes per batch. */
const LATEST_BATCH_WEIGHT = 0.3
/** Average above which the bucket is treated as written by other nodes too. */
const SHARED_THRESHOLD = 1.2
/** Delays before the key-value service is probed after it failed. Until it answers, changes that need a write are refused at once. */
const INITIAL_PROBE_DELAY_MILLISECONDS = 500
const MAXIMUM_PROBE_DELAY_MILLISECONDS = 3000
const MAXIMUM_BATCH = 512

/** Creates the group commit of a bucket. The more nodes write it, the less often each does, so that the total rate stays the same. */
export function createGroupCommit (store: BucketStore, { intervalMilliseconds }: GroupCommitOptions): GroupCommit {
  const pending: PendingChange[] = []
  /** Estimated writes of the whole fleet for each batch of this node, as a moving average. */
  let fleetWritesPerBatch = 1
  let lastStartedAt = -Infinity
  let isRunning = false
  /** The failure of the key-value service for which changes are refused at once. */
  let outage: Failure | undefined

  async function commitPending (): Promise<void> {
    while (pending.length > 0) {
      const waitMilliseconds = lastStartedAt + interval() - performance.now()
      if (waitMilliseconds > 0) await new Promise(resolve => setTimeout(resolve, waitMilliseconds))
      lastStartedAt = performance.now()
      await commitBatch(pending.splice(0, MAXIMUM_BATCH))
    }
    isRunning = false
  }

  function interval (): number {
    return Math.min(MAXIMUM_INTERVAL_MILLISECONDS, intervalMilliseconds * fleetWritesPerBatch)
  }

  async function commitBatch (batch: PendingChange[]): Promise<void> {
    const { outcomes, conflicts, writers, failure } = await store.commit(
      batch.map(({ change }) => change), fleetWritesPerBatch > SHARED_THRESHOLD
    )
    if (writers !== undefined) fleetWritesPerBatch += LATEST_BATCH_WEIGHT * (writers * (1 + conflicts) - fleetWritesPerBatch)
    if (failure !== undefined && outage === undefined) probeAfter(INITIAL_PROBE_DELAY_MILLISECONDS)
    outage = failure
    batch.forEach(({ resolve }, index) => resolve(outcomes[index] as ClaimChangeOutcome))
  }

  function probeAfter (milliseconds: number): void {
    setTimeout(() => { void probe(milliseconds) }, milliseconds).unref()
  }

  async function probe (lastDelay: number): Promise<void> {
    if (await store.isReachable()) outage = undefined
    else probeAfter(Math.min(2 * lastDelay, MAXIMUM_PROBE_DELAY_MILLISECONDS))
  }

  return {
    submit (change) {
      if (outage !== undefined) return Promise.resolve(store.peek(change) ?? { kind: ClaimChangeResult.Unavailable, failure: outage })
      return new Promise(resolve => {
        pending.push({ change, resolve })
        if (isRunning) return
        isRunning = true
        void commitPending()
      })
    }
  }
}
