/**
 * Batches changes that no caller waits for, so that many of them are sent to a bucket's home in one call.
 */
import type { ClaimChange, ClaimChangeOutcome } from '@wigeonlead/protocol'

/** Collects the changes of each bucket for a short time and commits them together. */
export interface ChangeBatcher {
  add: (bucket: number, change: ClaimChange) => Promise<ClaimChangeOutcome>
}

type CommitBatch = (bucket: number, changes: ClaimChange[]) => Promise<ClaimChangeOutcome[]>

interface Batch {
  changes: ClaimChange[]
  outcomes: Promise<ClaimChangeOutcome[]>
}

const BATCH_WINDOW_MILLISECONDS = 50
const MAXIMUM_CHANGES_PER_BATCH = 256

/** Creates a batcher without changes. */
export function createChangeBatcher (commitBatch: CommitBatch): ChangeBatcher {
  const batches = new Map<number, Batch>()

  function openBatch (bucket: number): Batch {
    const changes: ClaimChange[] = []
    const outcomes = new Promise<void>(resolve => setTimeout(resolve, BATCH_WINDOW_MILLISECONDS)).then(() => {
      if (batches.get(bucket)?.changes === changes) batches.delete(bucket)
      return commitBatch(bucket, changes)
    })
    const batch = { changes, outcomes }
    batches.set(bucket, batch)
    return batch
  }

  return {
    async add (bucket, change) {
      const current = batches.get(bucket)
      const batch = current === undefined || current.changes.length >= MAXIMUM_CHANGES_PER_BATCH ? openBatch(bucket) : current
      const index = batch.changes.push(change) - 1
      return (await batch.outcomes)[index] as ClaimChangeOutcome
    }
  }
}
