/**
 * Group commit: changes of one bucket that arrive while a write is under way go out together in the next one.
 */
import { ClaimChangeResult, type ClaimChange, type ClaimChangeOutcome, type Failure } from '@wigeonlead/protocol'
import type { BucketStore } from './bucket-store.js'

/** The group commit of one bucket at one node. */
export interface GroupCommit {
  /** Commits one change. Never rejects. */
  submit: (change: ClaimChange) => Promise<ClaimChangeOutcome>
}

/** Options of a group commit. */
export interface GroupCommitOptions {
  /** Least time between the starts of two writes while no other node writes the bucket, milliseconds. */
  intervalMilliseconds: number
}

interface Waiting {
  change: ClaimChange
  resolve: (outcome: ClaimChangeOutcome) => void
}

const MAXIMUM_INTERVAL_MILLISECONDS = 1000
/** Weight of the latest write in the estimate of how many nodes write the bucket. */
const LATEST_WEIGHT = 0.3
/** Estimate above which a bucket counts as written by other nodes too. */
const SHARED_WRITERS = 1.2
/** How long changes are refused at once after the key-value service failed, before it is tried again. */
const REFUSAL_MILLISECONDS = 500
const MAXIMUM_BATCH = 512

/** Makes the group commit of a bucket. The more nodes write the same bucket, the rarer each does, so that the sum stays the same. */
export function createGroupCommit (store: BucketStore, { intervalMilliseconds }: GroupCommitOptions): GroupCommit {
  const waiting: Waiting[] = []
  let writers = 1
  let lastStart = -Infinity
  let isRunning = false
  let refusal: { failure: Failure, until: number } | undefined

  async function run (): Promise<void> {
    while (waiting.length > 0) {
      const rest = lastStart + interval() - performance.now()
      if (rest > 0) await new Promise(resolve => setTimeout(resolve, rest))
      const elapsed = performance.now() - lastStart
      lastStart = performance.now()
      await commitBatch(waiting.splice(0, MAXIMUM_BATCH), elapsed)
    }
    isRunning = false
  }

  function interval (): number {
    return Math.min(MAXIMUM_INTERVAL_MILLISECONDS, intervalMilliseconds * writers)
  }

  async function commitBatch (batch: Waiting[], elapsed: number): Promise<void> {
    const { outcomes, conflicts, foreignWrites, failure } = await store.commit(batch.map(({ change }) => change), writers > SHARED_WRITERS)
    if (foreignWrites !== undefined) {
      const foreignAnInterval = foreignWrites * interval() / Math.max(elapsed, interval())
      writers += LATEST_WEIGHT * ((1 + foreignAnInterval) * (1 + conflicts) - writers)
    }
    refusal = failure === undefined ? undefined : { failure, until: performance.now() + REFUSAL_MILLISECONDS }
    batch.forEach(({ resolve }, index) => resolve(outcomes[index] as ClaimChangeOutcome))
  }

  return {
    submit (change) {
      if (refusal !== undefined && performance.now() < refusal.until) {
        return Promise.resolve(store.peek(change) ?? { kind: ClaimChangeResult.Unavailable, failure: refusal.failure })
      }
      return new Promise(resolve => {
        waiting.push({ change, resolve })
        if (isRunning) return
        isRunning = true
        void run()
      })
    }
  }
}
