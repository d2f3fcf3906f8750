/**
 * The way of a change to the key-value service: through the bucket's home, or past it by this node's own compare-and-swap.
 */
import {
  CLAIM_BUCKETS, ClaimChangeResult, PeerMethod, claimChangeSchema,
  type ClaimChange, type ClaimChangeOutcome, type ClaimCommitParameters, type ClaimCommitResult, type KeyValuePort, type PeerPort,
  type RandomSource
} from '@wigeonlead/protocol'
import { createBucketStore } from './bucket-store.js'
import { createGroupCommit, type GroupCommit } from './group-commit.js'
import { createHomes, type HomesParts } from './homes.js'

/** Carries changes to the key-value service. */
export interface CommitRoute {
  /** Commits one change. Never rejects. */
  commit: (change: ClaimChange) => Promise<ClaimChangeOutcome>
  /** Answers a peer that takes this node for the home. */
  answer: (parameters: ClaimCommitParameters) => Promise<ClaimCommitResult>
}

/** What the route needs. */
export interface CommitRouteParts extends HomesParts {
  keyValue: KeyValuePort
  peers: PeerPort
  random: RandomSource
}

const FLEET_WRITES_PER_SECOND = 88
const INTERVAL_MILLISECONDS = 1000 * CLAIM_BUCKETS / FLEET_WRITES_PER_SECOND
const HOME_DEADLINE_MILLISECONDS = 1500
const MAXIMUM_CHANGES_OF_A_CALL = 512

/** Makes the route, with a group commit of its own for each bucket. */
export function createCommitRoute (parts: CommitRouteParts): CommitRoute {
  const homes = createHomes(parts)
  const buckets = Array.from({ length: CLAIM_BUCKETS }, (_, bucket): GroupCommit => {
    const store = createBucketStore({ bucket, keyValue: parts.keyValue, random: parts.random })
    return createGroupCommit(store, { intervalMilliseconds: INTERVAL_MILLISECONDS })
  })

  function submitHere (bucket: number, change: ClaimChange): Promise<ClaimChangeOutcome> {
    return (buckets[bucket] as GroupCommit).submit(change)
  }

  /** @returns undefined where the home can't be asked or doesn't answer. */
  async function askHome (address: string, parameters: ClaimCommitParameters): Promise<ClaimChangeOutcome | undefined> {
    const outcome = await parts.peers.call(address, PeerMethod.ClaimCommit, parameters, HOME_DEADLINE_MILLISECONDS)
    if (!outcome.ok) homes.avoid(address)
    return outcome.ok ? outcome.value.outcomes[0] : undefined
  }

  async function carry (bucket: number, change: ClaimChange, isForwarded: boolean): Promise<ClaimChangeOutcome> {
    const own = parts.self().address
    for (const address of homes.candidates(bucket)) {
      if (address === own) break
      const outcome = await askHome(address, { bucket, changes: [change], isForwarded })
      if (outcome === undefined) continue
      if (outcome.kind === ClaimChangeResult.Unavailable || outcome.kind === ClaimChangeResult.Uncertain) break
      return outcome
    }
    return await submitHere(bucket, change)
  }

  return {
    commit: change => carry(bucketOf(change.entry.keyDigest), change, false),
    async answer ({ bucket, changes, isForwarded }) {
      const checked = changes.slice(0, MAXIMUM_CHANGES_OF_A_CALL).map(change => claimChangeSchema.parse(change))
      if (checked.some(change => bucketOf(change.entry.keyDigest) !== bucket)) throw new Error('a change of another bucket')
      const [home] = homes.candidates(bucket)
      const passesOn = !isForwarded && home !== undefined && home !== parts.self().address
      const outcomes = checked.map(change => passesOn ? carry(bucket, change, true) : submitHere(bucket, change))
      return { outcomes: (await Promise.all(outcomes)).map(withoutCause) }
    }
  }
}

/** A cause may hold what JSON can't carry. */
function withoutCause (outcome: ClaimChangeOutcome): ClaimChangeOutcome {
  return 'failure' in outcome ? { ...outcome, failure: { ...outcome.failure, cause: undefined } } : outcome
}

/** @returns the bucket of a key. */
export function bucketOf (keyDigest: string): number {
  return (Buffer.from(keyDigest, 'base64url')[0] ?? 0) % CLAIM_BUCKETS
}
