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
const INTERVAL_GROWTH = 2
const INTERVAL_DECAY = 0.9
/** How long changes are refused at once after the key-value service failed, before it is tried again. */
const REFUSAL_MILLISECONDS = 500
const MAXIMUM_BATCH = 512

/** Makes the group commit of a bucket. Its writes grow rarer while other nodes write the same bucket. */
export function createGroupCommit (store: BucketStore, { intervalMilliseconds }: GroupCommitOptions): GroupCommit {
  const waiting: Waiting[] = []
  let interval = intervalMilliseconds
  let lastStart = -Infinity
  let isRunning = false
  let refusal: { failure: Failure, until: number } | undefined

  async function run (): Promise<void> {
    while (waiting.length > 0) {
      const rest = lastStart + interval - performance.now()
      if (rest > 0) await new Promise(resolve => setTimeout(resolve, rest))
      lastStart = performance.now()
      await commitBatch(waiting.splice(0, MAXIMUM_BATCH))
    }
    isRunning = false
  }

  async function commitBatch (batch: Waiting[]): Promise<void> {
    const { outcomes, conflicts, failure } = await store.commit(batch.map(({ change }) => change))
    interval = conflicts > 0
      ? Math.min(MAXIMUM_INTERVAL_MILLISECONDS, interval * INTERVAL_GROWTH)
      : Math.max(intervalMilliseconds, interval * INTERVAL_DECAY)
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
