/**
 * Buckets in the key-value service: a batch of changes is one compare-and-swap of the bucket's head.
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

/** One bucket in the key-value service, with what this node remembers of it. */
export interface BucketStore {
  /**
   * Commits changes in order. Never rejects.
   * @param isShared whether other nodes write the bucket too, so that it is read first: a read costs less than a lost write.
   */
  commit: (changes: ClaimChange[], isShared: boolean) => Promise<BucketCommit>
  /** What stands in the way of a change as far as this node remembers; undefined where the change would have to be written. */
  peek: (change: ClaimChange) => ClaimChangeOutcome | undefined
  /** Asks whether the key-value service answers. */
  isReachable: () => Promise<boolean>
}

/** What became of a batch. */
export interface BucketCommit {
  outcomes: ClaimChangeOutcome[]
  /** Compare-and-swaps that found another writer's value. */
  conflicts: number
  /** Nodes that wrote the bucket lately, where this one wrote now. */
  writers?: number
  /** Why the key-value service could not be used, where it could not. */
  failure?: Failure
}

/** What a bucket store needs. */
export interface BucketStoreParts {
  bucket: number
  keyValue: KeyValuePort
  random: RandomSource
}

interface KnownHead {
  head: BucketHead
  modRevision: number
  bytes: number
}

const MAXIMUM_TRIES = 8
const CONFLICT_PAUSE_MILLISECONDS = 5
const SEGMENT_READS_AT_ONCE = 16
/** Bytes of one segment's name and time in a stored head. */
const SEGMENT_REFERENCE_BYTES = 32
/** Short, since a head may name many segments; a segment is only ever created where none has its name. */
const SEGMENT_NAME_LENGTH = 12
const WRITER_NAME_LENGTH = 6
/** Writes after which a node that wrote no more is not counted among the writers. */
const WRITES_REMEMBERED = 64
/** Size of a head beyond which a bucket that may have no more segments takes no more claims. */
const FULL_HEAD_BYTES = 2 * CLAIM_SEGMENT_BYTES

/** Makes a bucket store that has read nothing yet. */
export function createBucketStore ({ bucket, keyValue, random }: BucketStoreParts): BucketStore {
  const key = headKey(bucket)
  const segments = new Map<string, Map<string, ClaimEntry>>()
  /** Segments that were written but may not be named by the head. */
  const unnamed = new Set<string>()
  let known: KnownHead | undefined
  const writer = shortDigest(random.nextNonce()).slice(0, WRITER_NAME_LENGTH)

  function findSealed (head: BucketHead): (keyDigest: string) => ClaimEntry | undefined {
    return keyDigest => {
      for (let index = head.segments.length - 1; index >= 0; index -= 1) {
        const entry = segments.get(head.segments[index]?.id ?? '')?.get(keyDigest)
        if (entry !== undefined) return entry
      }
    }
  }

  async function load (): Promise<Outcome<KnownHead>> {
    const read = await keyValue.get(key)
    if (!read.ok) return read
    return await take(read.value.entry)
  }

  async function take (entry: KeyValueEntry | undefined): Promise<Outcome<KnownHead>> {
    const decoded = decode(entry)
    if (!decoded.ok) return decoded
    const missing = decoded.value.head.segments.filter(({ id }) => !segments.has(id))
    for (let start = 0; start < missing.length; start += SEGMENT_READS_AT_ONCE) {
      const reads = await Promise.all(missing.slice(start, start + SEGMENT_READS_AT_ONCE).map(({ id }) => loadSegment(id)))
      const failure = reads.find(read => !read.ok)
      if (failure !== undefined && !failure.ok) return failure
    }
    known = decoded.value
    forgetSegments(known.head)
    return success(known)
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

  function forgetSegments (head: BucketHead): void {
    const kept = new Set(head.segments.map(({ id }) => id))
    for (const id of segments.keys()) {
      if (!kept.has(id)) segments.delete(id)
    }
  }

  async function commit (changes: ClaimChange[], isShared: boolean): Promise<BucketCommit> {
    let isFresh = known === undefined || isShared
    let isAmbiguous = false
    let conflicts = 0
    for (let attempt = 0; attempt < MAXIMUM_TRIES; attempt += 1) {
      const loaded = known === undefined || (isShared && attempt === 0) ? await load() : success(known)
      if (!loaded.ok) return { outcomes: refuseAll(changes, loaded.failure, isAmbiguous), conflicts, failure: loaded.failure }
      const before = loaded.value
      const applied = apply(before, changes)
      if (!applied.isChanged) {
        const isStale = !isFresh && applied.outcomes.some((outcome, index) => needsFreshRead(outcome, changes[index]))
        if (!isStale) return { outcomes: applied.outcomes, conflicts }
        known = undefined
        isFresh = true
        continue
      }
      const head = noteWriter(isLarge(before) ? await seal(applied.head) : applied.head, writer)
      const value = encodeHead(head)
      const write = await keyValue.compareAndSwap({ key, expectedModRevision: before.modRevision, value })
      if (write.kind === WriteResult.Committed) {
        known = { head, modRevision: write.revision, bytes: value.length }
        dropSegments(before.head, head)
        return { outcomes: applied.outcomes, conflicts, writers: head.writers.size }
      }
      if (write.kind === WriteResult.NotSent) {
        return { outcomes: withoutWrite(before, changes, write.failure, isAmbiguous), conflicts, failure: write.failure }
      }
      isFresh = true
      known = undefined
      if (write.kind === WriteResult.Ambiguous) {
        isAmbiguous = true
        continue
      }
      conflicts += 1
      await take(write.current)
      await pause(random.nextFloat() * CONFLICT_PAUSE_MILLISECONDS * (attempt + 1))
    }
    return { outcomes: refuseAll(changes, tooManyWriters(key), isAmbiguous), conflicts }
  }

  function apply (before: KnownHead, changes: ClaimChange[]): AppliedChanges {
    const isFull = before.head.segments.length >= CLAIM_SEGMENTS_PER_BUCKET && before.bytes > FULL_HEAD_BYTES
    return applyChanges(before.head, findSealed(before.head), changes, { now: Date.now(), isFull })
  }

  /** Moves entries into a segment once the head has grown large; those of running orders only where there are many. */
  async function seal (head: BucketHead): Promise<BucketHead> {
    const entries = [...head.entries.values()]
    const final = entries.filter(entry => entry.state !== ClaimState.Claimed)
    const sealed = encodeSegment(final).length > CLAIM_SEGMENT_BYTES / 2 ? final : entries
    const id = shortDigest(random.nextNonce()).slice(0, SEGMENT_NAME_LENGTH)
    const segment = { id, expiresAt: Math.max(...sealed.map(entry => entry.expiresAt)) }
    const text = encodeSegment(sealed)
    unnamed.add(segment.id)
    const write = await keyValue.compareAndSwap({ key: segmentKey(bucket, segment.id), expectedModRevision: 0, value: text })
    if (write.kind === WriteResult.Ambiguous ? !await isStored(segment.id, text) : write.kind !== WriteResult.Committed) return head
    const content = new Map(sealed.map(entry => [entry.keyDigest, entry]))
    segments.set(segment.id, content)
    const left = new Map([...head.entries].filter(([keyDigest]) => !content.has(keyDigest)))
    return { ...head, entries: left, segments: [...head.segments, segment] }
  }

  async function isStored (id: string, text: string): Promise<boolean> {
    const read = await keyValue.get(segmentKey(bucket, id))
    return read.ok && read.value.entry?.value === text
  }

  /** Deletes segments that a committed head doesn't name: no earlier head can be written any more. */
  function dropSegments (before: BucketHead, after: BucketHead): void {
    const named = new Set(after.segments.map(({ id }) => id))
    const dropped = [...before.segments.map(({ id }) => id), ...unnamed].filter(id => !named.has(id))
    unnamed.clear()
    forgetSegments(after)
    for (const id of dropped) void deleteSegment(id)
  }

  async function deleteSegment (id: string): Promise<void> {
    const read = await keyValue.get(segmentKey(bucket, id))
    if (!read.ok || read.value.entry === undefined) return
    await keyValue.compareAndSwap({ key: segmentKey(bucket, id), expectedModRevision: read.value.entry.modRevision })
  }

  function peekAt (before: KnownHead, change: ClaimChange): ClaimChangeOutcome | undefined {
    const alone = apply(before, [change])
    return alone.isChanged ? undefined : alone.outcomes.find(outcome => !isFenced(outcome) && !isOvertaken(outcome, change))
  }

  /** What can be said of changes that were not written: those that would change nothing stand, the others were not made. */
  function withoutWrite (before: KnownHead, changes: ClaimChange[], failure: Failure, isAmbiguous: boolean): ClaimChangeOutcome[] {
    return changes.map(change => peekAt(before, change) ?? refuse(failure, isAmbiguous))
  }

  return {
    commit,
    peek: change => known === undefined ? undefined : peekAt(known, change),
    isReachable: async () => (await keyValue.get(PROBE_KEY)).ok
  }
}

function decode (entry: KeyValueEntry | undefined): Outcome<KnownHead> {
  if (entry === undefined) return success({ head: EMPTY_HEAD, modRevision: 0, bytes: 0 })
  try {
    return success({ head: decodeHead(entry.value), modRevision: entry.modRevision, bytes: entry.value.length })
  } catch (cause) {
    return failed(malformed(`${entry.key} can't be read`, cause))
  }
}

function isLarge ({ head, bytes }: KnownHead): boolean {
  const { length } = head.segments
  return length < CLAIM_SEGMENTS_PER_BUCKET && bytes - length * SEGMENT_REFERENCE_BYTES > CLAIM_SEGMENT_BYTES
}

function noteWriter (head: BucketHead, writer: string): BucketHead {
  const recent = [...head.writers].filter(([, write]) => write > head.writes - WRITES_REMEMBERED)
  return { ...head, writers: new Map(recent).set(writer, head.writes) }
}

function needsFreshRead (outcome: ClaimChangeOutcome, change: ClaimChange | undefined): boolean {
  const isWanted = change?.kind === ClaimChangeKind.Claim && change.wantsFreshRead === true
  return isFenced(outcome) || isOvertaken(outcome, change) || (isWanted && outcome.kind === ClaimChangeResult.Found)
}

/**
 * Another claim stands where the end of this one was to be written. From memory that says nothing: the claim itself may have been
 * written by another node since. Taken at its word, a claimant would forget an order that it sent, and call it abandoned.
 */
function isOvertaken (outcome: ClaimChangeOutcome, change: ClaimChange | undefined): boolean {
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
