/**
 * Stores buckets in the key-value service. A batch of changes is one compare-and-swap of the bucket's head.
 */
import {
  CLAIM_SEGMENTS_PER_BUCKET, CLAIM_SEGMENT_BYTES, ClaimChangeKind, ClaimChangeResult, ClaimState, FailureKind, Step, WriteResult,
  failed, success,
  type ClaimChange, type ClaimChangeOutcome, type ClaimEntry, type Failure, type KeyValueEntry, type KeyValuePort, type Outcome,
  type RandomSource
} from '@wigeonlead/protocol'
import { EMPTY_HEAD, applyChanges, type AppliedChanges, type BucketHead } from './bucket.js'
import { PROBE_KEY, decodeHead, decodeSegment, encodeHead, encodeSegment, headKey, segmentKey, shortDigest } from './encoding.js'
import { pause } from '../../process/pause.js'

/** One bucket in the key-value service, with this node's cached copy of it. */
export interface BucketStore {
  /**
   * Commits changes in order. Never rejects.
   * @param isShared whether other nodes write the bucket too. It is then read first, since a read costs less than a write that conflicts.
   */
  commit: (changes: ClaimChange[], isShared: boolean) => Promise<BucketCommit>
  /** Returns the outcome of a change if the cached copy proves that the change needs no write; undefined otherwise. */
  peek: (change: ClaimChange) => ClaimChangeOutcome | undefined
  /** Returns whether the key-value service answers. */
  isReachable: () => Promise<boolean>
}

/** Result of committing a batch. */
export interface BucketCommit {
  outcomes: ClaimChangeOutcome[]
  /** Number of compare-and-swaps that failed because another node had written the head. */
  conflicts: number
  /** Number of nodes that wrote the bucket recently; absent if this commit wrote nothing. */
  writers?: number
  /** The failure of the key-value service, if it could not be used. */
  failure?: Failure
}

/** Dependencies of a bucket store. */
export interface BucketStoreDependencies {
  bucket: number
  keyValue: KeyValuePort
  random: RandomSource
}

interface CachedHead {
  head: BucketHead
  modRevision: number
  bytes: number
}

const MAXIMUM_ATTEMPTS = 8
const CONFLICT_PAUSE_MILLISECONDS = 5
const MAXIMUM_CONCURRENT_SEGMENT_READS = 16
/** Bytes that the id and the expiry of one segment take in a stored head. */
const SEGMENT_REFERENCE_BYTES = 32
/** Short, since a head may list many segments. A clash of ids is harmless, since a segment is created only if no other has its id. */
const SEGMENT_ID_LENGTH = 12
const WRITER_ID_LENGTH = 6
/** A node counts as a writer of the head until the head has been written this many times since the node's latest write. */
const WRITER_WINDOW_WRITES = 64
/** Size of a head above which a bucket with the maximum number of segments takes no new claims. */
const FULL_HEAD_BYTES = 2 * CLAIM_SEGMENT_BYTES

/** Creates a bucket store with an empty cache. */
export function createBucketStore ({ bucket, keyValue, random }: BucketStoreDependencies): BucketStore {
  const key = headKey(bucket)
  const segments = new Map<string, Map<string, ClaimEntry>>()
  /** Ids of segments that this node wrote and that the stored head may not list. */
  const unlistedSegments = new Set<string>()
  let cachedHead: CachedHead | undefined
  const writerId = shortDigest(random.nextNonce()).slice(0, WRITER_ID_LENGTH)

  function findSealed (head: BucketHead): (keyDigest: string) => ClaimEntry | undefined {
    return keyDigest => {
      for (let index = head.segments.length - 1; index >= 0; index -= 1) {
        const entry = segments.get(head.segments[index]?.id ?? '')?.get(keyDigest)
        if (entry !== undefined) return entry
      }
    }
  }

  async function readHead (): Promise<Outcome<CachedHead>> {
    const read = await keyValue.get(key)
    if (!read.ok) return read
    return await updateCache(read.value.entry)
  }

  async function updateCache (entry: KeyValueEntry | undefined): Promise<Outcome<CachedHead>> {
    const decoded = decodeCachedHead(entry)
    if (!decoded.ok) return decoded
    const missing = decoded.value.head.segments.filter(({ id }) => !segments.has(id))
    for (let start = 0; start < missing.length; start += MAXIMUM_CONCURRENT_SEGMENT_READS) {
      const reads = await Promise.all(missing.slice(start, start + MAXIMUM_CONCURRENT_SEGMENT_READS).map(({ id }) => loadSegment(id)))
      const failure = reads.find(read => !read.ok)
      if (failure !== undefined && !failure.ok) return failure
    }
    cachedHead = decoded.value
    evictSegments(cachedHead.head)
    return success(cachedHead)
  }

  async function loadSegment (id: string): Promise<Outcome<void>> {
    const read = await keyValue.get(segmentKey(bucket, id))
    if (!read.ok) return read
    if (read.value.entry === undefined) return failed(malformed(`segment ${id} is missing`))
    try {
      segments.set(id, decodeSegment(read.value.entry.value))
      return success(undefined)
    } catch (cause) {
      return failed(malformed(`segment ${id} can't be read`, cause))
    }
  }

  function evictSegments (head: BucketHead): void {
    const listedIds = new Set(head.segments.map(({ id }) => id))
    for (const id of segments.keys()) {
      if (!listedIds.has(id)) segments.delete(id)
    }
  }

  async function commit (changes: ClaimChange[], isShared: boolean): Promise<BucketCommit> {
    let isFresh = cachedHead === undefined || isShared
    let isAmbiguous = false
    let conflicts = 0
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const loaded = cachedHead === undefined || (isShared && attempt === 0) ? await readHead() : success(cachedHead)
      if (!loaded.ok) return { outcomes: refuseAll(changes, loaded.failure, isAmbiguous), conflicts, failure: loaded.failure }
      const before = loaded.value
      const applied = apply(before, changes)
      if (!applied.isChanged) {
        const isStale = !isFresh && applied.outcomes.some((outcome, index) => needsFreshRead(outcome, changes[index]))
        if (!isStale) return { outcomes: applied.outcomes, conflicts }
        cachedHead = undefined
        isFresh = true
        continue
      }
      const head = addWriter(isLarge(before) ? await seal(applied.head) : applied.head, writerId)
      const value = encodeHead(head)
      const write = await keyValue.compareAndSwap({ key, expectedModRevision: before.modRevision, value })
      if (write.kind === WriteResult.Committed) {
        cachedHead = { head, modRevision: write.revision, bytes: value.length }
        deleteUnlistedSegments(before.head, head)
        return { outcomes: applied.outcomes, conflicts, writers: head.writers.size }
      }
      if (write.kind === WriteResult.NotSent) {
        return { outcomes: outcomesWithoutWrite(before, changes, write.failure, isAmbiguous), conflicts, failure: write.failure }
      }
      isFresh = true
      cachedHead = undefined
      if (write.kind === WriteResult.Ambiguous) {
        isAmbiguous = true
        continue
      }
      conflicts += 1
      await updateCache(write.current)
      await pause(random.nextFloat() * CONFLICT_PAUSE_MILLISECONDS * (attempt + 1))
    }
    return { outcomes: refuseAll(changes, tooManyWriters(key), isAmbiguous), conflicts }
  }

  function apply (before: CachedHead, changes: ClaimChange[]): AppliedChanges {
    const isFull = before.head.segments.length >= CLAIM_SEGMENTS_PER_BUCKET && before.bytes > FULL_HEAD_BYTES
    return applyChanges(before.head, findSealed(before.head), changes, { now: Date.now(), isFull })
  }

  /**
   * Moves entries of a large head into a segment. Entries of running orders are moved too if the others fill at most half a segment.
   */
  async function seal (head: BucketHead): Promise<BucketHead> {
    const entries = [...head.entries.values()]
    const endedEntries = entries.filter(entry => entry.state !== ClaimState.Claimed)
    const sealed = encodeSegment(endedEntries).length > CLAIM_SEGMENT_BYTES / 2 ? endedEntries : entries
    const id = shortDigest(random.nextNonce()).slice(0, SEGMENT_ID_LENGTH)
    const segment = { id, expiresAt: Math.max(...sealed.map(entry => entry.expiresAt)) }
    const text = encodeSegment(sealed)
    unlistedSegments.add(segment.id)
    const write = await keyValue.compareAndSwap({ key: segmentKey(bucket, segment.id), expectedModRevision: 0, value: text })
    if (write.kind === WriteResult.Ambiguous ? !await isStored(segment.id, text) : write.kind !== WriteResult.Committed) return head
    const content = new Map(sealed.map(entry => [entry.keyDigest, entry]))
    segments.set(segment.id, content)
    const remaining = new Map([...head.entries].filter(([keyDigest]) => !content.has(keyDigest)))
    return { ...head, entries: remaining, segments: [...head.segments, segment] }
  }

  async function isStored (id: string, text: string): Promise<boolean> {
    const read = await keyValue.get(segmentKey(bucket, id))
    return read.ok && read.value.entry?.value === text
  }

  /** Deletes segments that the committed head doesn't list. That is safe, since an earlier head can't be written any more. */
  function deleteUnlistedSegments (before: BucketHead, after: BucketHead): void {
    const listedIds = new Set(after.segments.map(({ id }) => id))
    const dropped = [...before.segments.map(({ id }) => id), ...unlistedSegments].filter(id => !listedIds.has(id))
    unlistedSegments.clear()
    evictSegments(after)
    for (const id of dropped) void deleteSegment(id)
  }

  async function deleteSegment (id: string): Promise<void> {
    const read = await keyValue.get(segmentKey(bucket, id))
    if (!read.ok || read.value.entry === undefined) return
    await keyValue.compareAndSwap({ key: segmentKey(bucket, id), expectedModRevision: read.value.entry.modRevision })
  }

  function outcomeWithoutWrite (before: CachedHead, change: ClaimChange): ClaimChangeOutcome | undefined {
    const applied = apply(before, [change])
    return applied.isChanged ? undefined : applied.outcomes.find(outcome => !isFenced(outcome) && !isEndConflict(outcome, change))
  }

  /** Returns the outcomes of changes whose write was not sent: a change that needs no write keeps its outcome, the others are refused. */
  function outcomesWithoutWrite (before: CachedHead, changes: ClaimChange[], failure: Failure, isAmbiguous: boolean): ClaimChangeOutcome[] {
    return changes.map(change => outcomeWithoutWrite(before, change) ?? refuse(failure, isAmbiguous))
  }

  return {
    commit,
    peek: change => cachedHead === undefined ? undefined : outcomeWithoutWrite(cachedHead, change),
    isReachable: async () => (await keyValue.get(PROBE_KEY)).ok
  }
}

function decodeCachedHead (entry: KeyValueEntry | undefined): Outcome<CachedHead> {
  if (entry === undefined) return success({ head: EMPTY_HEAD, modRevision: 0, bytes: 0 })
  try {
    return success({ head: decodeHead(entry.value), modRevision: entry.modRevision, bytes: entry.value.length })
  } catch (cause) {
    return failed(malformed(`${entry.key} can't be read`, cause))
  }
}

function isLarge ({ head, bytes }: CachedHead): boolean {
  const { length } = head.segments
  return length < CLAIM_SEGMENTS_PER_BUCKET && bytes - length * SEGMENT_REFERENCE_BYTES > CLAIM_SEGMENT_BYTES
}

function addWriter (head: BucketHead, writerId: string): BucketHead {
  const recent = [...head.writers].filter(([, write]) => write > head.writes - WRITER_WINDOW_WRITES)
  return { ...head, writers: new Map(recent).set(writerId, head.writes) }
}

function needsFreshRead (outcome: ClaimChangeOutcome, change: ClaimChange | undefined): boolean {
  const isFreshReadRequested = change?.kind === ClaimChangeKind.Claim && change.wantsFreshRead === true
  return isFenced(outcome) || isEndConflict(outcome, change) || (isFreshReadRequested && outcome.kind === ClaimChangeResult.Found)
}

/**
 * Returns whether a finish or release found the entry of another claim instead of the claim that it ends. In the cached copy, that
 * proves nothing: another node may have written the ended claim since. A claimant that relied on it would forget an order that it sent,
 * and report the attempt as abandoned.
 */
function isEndConflict (outcome: ClaimChangeOutcome, change: ClaimChange | undefined): boolean {
  return outcome.kind === ClaimChangeResult.Found && change?.kind !== ClaimChangeKind.Claim
}

function isFenced (outcome: ClaimChangeOutcome): boolean {
  return outcome.kind === ClaimChangeResult.Fenced
}

function refuseAll (changes: ClaimChange[], failure: Failure, isAmbiguous: boolean): ClaimChangeOutcome[] {
  return changes.map(() => refuse(failure, isAmbiguous))
}

function refuse (failure: Failure, isAmbiguous: boolean): ClaimChangeOutcome {
  return { kind: isAmbiguous ? ClaimChangeResult.Uncertain : ClaimChangeResult.Unavailable, failure }
}

function malformed (detail: string, cause?: unknown): Failure {
  return { kind: FailureKind.Malformed, step: Step.Claim, peer: 'key-value', detail, cause }
}

function tooManyWriters (key: string): Failure {
  return { kind: FailureKind.Refused, step: Step.Claim, peer: key, detail: 'too many writers at once' }
}
