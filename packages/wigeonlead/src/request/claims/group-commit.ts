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
/** Weight of the latest batch in the estimate of the fleet's writes. */
const LATEST_WEIGHT = 0.3
/** Estimate above which a bucket counts as written by other nodes too. */
const SHARED_FROM = 1.2
/** Pauses before the key-value service is asked again after it failed; until it answers, changes are refused at once. */
const FIRST_PROBE_MILLISECONDS = 500
const LONGEST_PROBE_MILLISECONDS = 3000
const MAXIMUM_BATCH = 512

/** Makes the group commit of a bucket. The more nodes write the same bucket, the rarer each does, so that the sum stays the same. */
export function createGroupCommit (store: BucketStore, { intervalMilliseconds }: GroupCommitOptions): GroupCommit {
  const waiting: Waiting[] = []
  /** Writes of the whole fleet for each batch of this node. */
  let share = 1
  let lastStart = -Infinity
  let isRunning = false
  /** Why changes are refused at once. */
  let outage: Failure | undefined

  async function run (): Promise<void> {
    while (waiting.length > 0) {
      const rest = lastStart + interval() - performance.now()
      if (rest > 0) await new Promise(resolve => setTimeout(resolve, rest))
      lastStart = performance.now()
      await commitBatch(waiting.splice(0, MAXIMUM_BATCH))
    }
    isRunning = false
  }

  function interval (): number {
    return Math.min(MAXIMUM_INTERVAL_MILLISECONDS, intervalMilliseconds * share)
  }

  async function commitBatch (batch: Waiting[]): Promise<void> {
    const { outcomes, conflicts, writers, failure } = await store.commit(batch.map(({ change }) => change), share > SHARED_FROM)
    if (writers !== undefined) share += LATEST_WEIGHT * (writers * (1 + conflicts) - share)
    if (failure !== undefined && outage === undefined) probeAfter(FIRST_PROBE_MILLISECONDS)
    outage = failure
    batch.forEach(({ resolve }, index) => resolve(outcomes[index] as ClaimChangeOutcome))
  }

  function probeAfter (milliseconds: number): void {
    setTimeout(() => { void probe(milliseconds) }, milliseconds).unref()
  }

  async function probe (lastPause: number): Promise<void> {
    if (await store.isReachable()) outage = undefined
    else probeAfter(Math.min(2 * lastPause, LONGEST_PROBE_MILLISECONDS))
  }

  return {
    submit (change) {
      if (outage !== undefined) return Promise.resolve(store.peek(change) ?? { kind: ClaimChangeResult.Unavailable, failure: outage })
      return new Promise(resolve => {
        waiting.push({ change, resolve })
        if (isRunning) return
        isRunning = true
        void run()
      })
    }
  }
}
