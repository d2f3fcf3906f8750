/**
 * Gathers changes that nobody waits for, so that one call carries many of them to a bucket's home.
 */
import type { ClaimChange, ClaimChangeOutcome } from '@wigeonlead/protocol'

/** Changes that wait for one call. */
export interface Gathering {
  add: (bucket: number, change: ClaimChange) => Promise<ClaimChangeOutcome>
}

type Carry = (bucket: number, changes: ClaimChange[]) => Promise<ClaimChangeOutcome[]>

interface Batch {
  changes: ClaimChange[]
  outcomes: Promise<ClaimChangeOutcome[]>
}

const GATHERING_MILLISECONDS = 50
const MAXIMUM_CHANGES = 256

/** Makes an empty gathering. */
export function createGathering (carry: Carry): Gathering {
  const batches = new Map<number, Batch>()

  function open (bucket: number): Batch {
    const changes: ClaimChange[] = []
    const outcomes = new Promise<void>(resolve => setTimeout(resolve, GATHERING_MILLISECONDS)).then(() => {
      if (batches.get(bucket)?.changes === changes) batches.delete(bucket)
      return carry(bucket, changes)
    })
    const batch = { changes, outcomes }
    batches.set(bucket, batch)
    return batch
  }

  return {
    async add (bucket, change) {
      const gathered = batches.get(bucket)
      const batch = gathered === undefined || gathered.changes.length >= MAXIMUM_CHANGES ? open(bucket) : gathered
      const index = batch.changes.push(change) - 1
      return (await batch.outcomes)[index] as ClaimChangeOutcome
    }
  }
}
