/**
 * Commits changes of claims to the key-value service: through the bucket's home, or by this node's own compare-and-swap if no home can
 * be used.
 */
import {
  CLAIM_BUCKETS, ClaimChangeKind, ClaimChangeResult, PeerMethod, claimChangeSchema,
  type ClaimChange, type ClaimChangeOutcome, type ClaimCommitParameters, type ClaimCommitResult, type KeyValuePort, type PeerPort,
  type RandomSource
} from '@wigeonlead/protocol'
import { createBucketStore } from './bucket-store.js'
import { createChangeBatcher } from './change-batcher.js'
import { createGroupCommit, type GroupCommit } from './group-commit.js'
import { createHomes, type HomesDependencies } from './homes.js'

/** Commits changes of claims to the key-value service. */
export interface CommitRoute {
  /** Commits one change. Never rejects. */
  commit: (change: ClaimChange) => Promise<ClaimChangeOutcome>
  /** Answers a peer that regards this node as the bucket's home. */
  handleCommit: (parameters: ClaimCommitParameters) => Promise<ClaimCommitResult>
}

/** Dependencies of the route. */
export interface CommitRouteDependencies extends HomesDependencies {
  keyValue: KeyValuePort
  peers: PeerPort
  random: RandomSource
}

const FLEET_WRITES_PER_SECOND = 92
/** Interval between the writes of one bucket at which all buckets together stay within the fleet's writes per second. */
const INTERVAL_MILLISECONDS = 1000 * CLAIM_BUCKETS / FLEET_WRITES_PER_SECOND
const HOME_DEADLINE_MILLISECONDS = 1500
const MAXIMUM_CHANGES_PER_CALL = 512

/** Creates the route, with a separate group commit for each bucket. */
export function createCommitRoute (dependencies: CommitRouteDependencies): CommitRoute {
  const homes = createHomes(dependencies)
  const buckets = Array.from({ length: CLAIM_BUCKETS }, (_, bucket): GroupCommit => {
    const store = createBucketStore({ bucket, keyValue: dependencies.keyValue, random: dependencies.random })
    return createGroupCommit(store, { intervalMilliseconds: INTERVAL_MILLISECONDS })
  })

  const finishBatcher = createChangeBatcher((bucket, changes) => commitThroughHome(bucket, changes, false))

  function commitLocally (bucket: number, change: ClaimChange): Promise<ClaimChangeOutcome> {
    return (buckets[bucket] as GroupCommit).submit(change)
  }

  /** @returns the outcomes, or undefined if the call fails; the home is then avoided for a while. */
  async function callHome (address: string, parameters: ClaimCommitParameters): Promise<ClaimChangeOutcome[] | undefined> {
    const outcome = await dependencies.peers.call(address, PeerMethod.ClaimCommit, parameters, HOME_DEADLINE_MILLISECONDS)
    if (!outcome.ok) homes.avoid(address)
    return outcome.ok ? outcome.value.outcomes : undefined
  }

  async function commitThroughHome (bucket: number, changes: ClaimChange[], isForwarded: boolean): Promise<ClaimChangeOutcome[]> {
    const ownAddress = dependencies.self().address
    for (const address of homes.candidates(bucket)) {
      if (address === ownAddress) break
      const outcomes = await callHome(address, { bucket, changes, isForwarded })
      if (outcomes !== undefined) return await Promise.all(changes.map((change, index) => ensureSettled(bucket, change, outcomes[index])))
    }
    return await Promise.all(changes.map(change => commitLocally(bucket, change)))
  }

  /**
   * Commits a change on this node if the home does not know whether the change was committed, since this node may have a better
   * connection to the key-value service.
   */
  function ensureSettled (bucket: number, change: ClaimChange, outcome: ClaimChangeOutcome | undefined): Promise<ClaimChangeOutcome> {
    return outcome === undefined || !isSettled(outcome) ? commitLocally(bucket, change) : Promise.resolve(outcome)
  }

  return {
    async commit (change) {
      const bucket = bucketOf(change.entry.keyDigest)
      if (change.kind === ClaimChangeKind.Finish) return await finishBatcher.add(bucket, change)
      const [outcome] = await commitThroughHome(bucket, [change], false)
      return outcome as ClaimChangeOutcome
    },
    async handleCommit ({ bucket, changes, isForwarded }) {
      const checked = changes.slice(0, MAXIMUM_CHANGES_PER_CALL).map(change => claimChangeSchema.parse(change))
      if (checked.some(change => bucketOf(change.entry.keyDigest) !== bucket)) throw new Error('a change of another bucket')
      const [home] = homes.candidates(bucket)
      const shouldForward = !isForwarded && home !== undefined && home !== dependencies.self().address
      const outcomes = shouldForward
        ? commitThroughHome(bucket, checked, true)
        : Promise.all(checked.map(change => commitLocally(bucket, change)))
      return { outcomes: (await outcomes).map(withoutCause) }
    }
  }
}

function isSettled (outcome: ClaimChangeOutcome): boolean {
  return outcome.kind !== ClaimChangeResult.Unavailable && outcome.kind !== ClaimChangeResult.Uncertain
}

/** Removes the cause of a failure, which may contain values that JSON can't represent. */
function withoutCause (outcome: ClaimChangeOutcome): ClaimChangeOutcome {
  return 'failure' in outcome ? { ...outcome, failure: { ...outcome.failure, cause: undefined } } : outcome
}

/** @returns the bucket to which a key belongs. */
export function bucketOf (keyDigest: string): number {
  return (Buffer.from(keyDigest, 'base64url')[0] ?? 0) % CLAIM_BUCKETS
}
