/**
 * The way of a change to the key-value service: through the bucket's home, or past it by this node's own compare-and-swap.
 */
import {
  CLAIM_BUCKETS, ClaimChangeKind, ClaimChangeResult, PeerMethod, claimChangeSchema,
  type ClaimChange, type ClaimChangeOutcome, type ClaimCommitParameters, type ClaimCommitResult, type KeyValuePort, type PeerPort,
  type RandomSource
} from '@wigeonlead/protocol'
import { createBucketStore } from './bucket-store.js'
import { createGathering } from './gathering.js'
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

const FLEET_WRITES_PER_SECOND = 92
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

  const finishes = createGathering((bucket, changes) => carry(bucket, changes, false))

  function submitHere (bucket: number, change: ClaimChange): Promise<ClaimChangeOutcome> {
    return (buckets[bucket] as GroupCommit).submit(change)
  }

  /** @returns undefined where the home can't be asked or doesn't answer. */
  async function askHome (address: string, parameters: ClaimCommitParameters): Promise<ClaimChangeOutcome[] | undefined> {
    const outcome = await parts.peers.call(address, PeerMethod.ClaimCommit, parameters, HOME_DEADLINE_MILLISECONDS)
    if (!outcome.ok) homes.avoid(address)
    return outcome.ok ? outcome.value.outcomes : undefined
  }

  async function carry (bucket: number, changes: ClaimChange[], isForwarded: boolean): Promise<ClaimChangeOutcome[]> {
    const own = parts.self().address
    for (const address of homes.candidates(bucket)) {
      if (address === own) break
      const outcomes = await askHome(address, { bucket, changes, isForwarded })
      if (outcomes !== undefined) return await Promise.all(changes.map((change, index) => settleHere(bucket, change, outcomes[index])))
    }
    return await Promise.all(changes.map(change => submitHere(bucket, change)))
  }

  /** A change that the home could not make for certain is made by this node, whose way to the service may be better. */
  function settleHere (bucket: number, change: ClaimChange, outcome: ClaimChangeOutcome | undefined): Promise<ClaimChangeOutcome> {
    return outcome === undefined || !isSettled(outcome) ? submitHere(bucket, change) : Promise.resolve(outcome)
  }

  return {
    async commit (change) {
      const bucket = bucketOf(change.entry.keyDigest)
      if (change.kind === ClaimChangeKind.Finish) return await finishes.add(bucket, change)
      const [outcome] = await carry(bucket, [change], false)
      return outcome as ClaimChangeOutcome
    },
    async answer ({ bucket, changes, isForwarded }) {
      const checked = changes.slice(0, MAXIMUM_CHANGES_OF_A_CALL).map(change => claimChangeSchema.parse(change))
      if (checked.some(change => bucketOf(change.entry.keyDigest) !== bucket)) throw new Error('a change of another bucket')
      const [home] = homes.candidates(bucket)
      const passesOn = !isForwarded && home !== undefined && home !== parts.self().address
      const outcomes = passesOn ? carry(bucket, checked, true) : Promise.all(checked.map(change => submitHere(bucket, change)))
      return { outcomes: (await outcomes).map(withoutCause) }
    }
  }
}

function isSettled (outcome: ClaimChangeOutcome): boolean {
  return outcome.kind !== ClaimChangeResult.Unavailable && outcome.kind !== ClaimChangeResult.Uncertain
}

/** A cause may hold what JSON can't carry. */
function withoutCause (outcome: ClaimChangeOutcome): ClaimChangeOutcome {
  return 'failure' in outcome ? { ...outcome, failure: { ...outcome.failure, cause: undefined } } : outcome
}

/** @returns the bucket of a key. */
export function bucketOf (keyDigest: string): number {
  return (Buffer.from(keyDigest, 'base64url')[0] ?? 0) % CLAIM_BUCKETS
}
