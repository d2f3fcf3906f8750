/**
 * A bucket of claims in memory, and the rules by which changes are applied to it.
 */
import {
  CLAIM_CLOCK_SKEW_SECONDS, ClaimChangeKind, ClaimChangeResult, ClaimState, FailureKind, Step,
  type ClaimChange, type ClaimChangeOutcome, type ClaimEntry, type Failure, type ReleasedEntry
} from '@wigeonlead/protocol'

/** Reference to a segment: entries of a bucket that are stored apart from its head and never change. */
export interface SegmentReference {
  id: string
  /** When the last of the segment's entries may be dropped, milliseconds since 1970. */
  expiresAt: number
}

/** The part of a bucket that each commit rewrites: recent entries, and references to its segments from the oldest to the newest. */
export interface BucketHead {
  /** Number of writes of the head so far. */
  writes: number
  /** Nodes that wrote the head recently: for each writer id, the value of `writes` at the node's latest write. */
  writers: ReadonlyMap<string, number>
  entries: ReadonlyMap<string, ClaimEntry>
  segments: readonly SegmentReference[]
}

/** Returns the latest entry of a key in the segments of a bucket. */
export type FindSealed = (keyDigest: string) => ClaimEntry | undefined

/** Result of applying changes to a bucket. */
export interface AppliedChanges {
  head: BucketHead
  outcomes: ClaimChangeOutcome[]
  isChanged: boolean
}

/** A fence that refuses no submission. Any other fence is the count of previous attempts up to which submissions are refused. */
export const NO_FENCE = -1
/** Head of a bucket that was never written. */
export const EMPTY_HEAD: BucketHead = { writes: 0, writers: new Map(), entries: new Map(), segments: [] }

/** A claim is refused this long before its entry may be dropped, since the node that drops entries may have a faster clock. */
const CLAIM_MARGIN_MILLISECONDS = 2000 * CLAIM_CLOCK_SKEW_SECONDS

type Decision = { kind: 'store', entry: ClaimEntry } | { kind: 'drop' } | { kind: 'keep', outcome: ClaimChangeOutcome }

const STORED: ClaimChangeOutcome = { kind: ClaimChangeResult.Stored }
const FENCED: ClaimChangeOutcome = { kind: ClaimChangeResult.Fenced }

/** Options of applying changes. */
export interface ApplyOptions {
  /** The present time, milliseconds since 1970. */
  now: number
  /** Whether the bucket is full. New claims are then refused, and outcomes are recorded without their answers. */
  isFull: boolean
}

/** Applies changes to a bucket in order. If any of them alters the bucket, expired entries and segments are dropped as well. */
export function applyChanges (
  head: BucketHead, findSealed: FindSealed, changes: ClaimChange[], { now, isFull }: ApplyOptions
): AppliedChanges {
  const entries = new Map(head.entries)
  let isChanged = false
  const outcomes = changes.map(change => {
    const { keyDigest } = change.entry
    const sealed = findSealed(keyDigest)
    const unrestricted = decide(change, unexpired(entries.get(keyDigest) ?? sealed, now), sealed !== undefined, now)
    const decision = isFull ? limitWhenFull(change, unrestricted) : unrestricted
    if (decision.kind === 'keep') return decision.outcome
    isChanged = true
    if (decision.kind === 'store') entries.set(keyDigest, decision.entry)
    else entries.delete(keyDigest)
    return STORED
  })
  if (!isChanged) return { head, outcomes, isChanged }
  const segments = head.segments.filter(each => each.expiresAt > now)
  return { head: { ...head, writes: head.writes + 1, entries: dropExpired(entries, now), segments }, outcomes, isChanged }
}

function decide (change: ClaimChange, found: ClaimEntry | undefined, isSealed: boolean, now: number): Decision {
  const margin = change.kind === ClaimChangeKind.Claim ? CLAIM_MARGIN_MILLISECONDS : 0
  if (change.entry.expiresAt - margin <= now) return keepEntry({ kind: ClaimChangeResult.Unavailable, failure: refused('the retention has passed') })
  switch (change.kind) {
    case ClaimChangeKind.Claim: return decideClaim(change, found)
    case ClaimChangeKind.Finish: return decideFinish(change.entry, found)
    case ClaimChangeKind.Release: return decideRelease(change.entry, found, isSealed)
  }
}

function limitWhenFull (change: ClaimChange, decision: Decision): Decision {
  if (decision.kind !== 'store') return decision
  if (decision.entry.state === ClaimState.Finished) return { kind: 'store', entry: { ...decision.entry, answer: undefined } }
  if (change.kind !== ClaimChangeKind.Claim) return decision
  return keepEntry({ kind: ClaimChangeResult.Unavailable, failure: refused('the claims of the retention fill their room') })
}

function decideClaim (change: Extract<ClaimChange, { kind: ClaimChangeKind.Claim }>, found: ClaimEntry | undefined): Decision {
  const { entry } = change
  if (found === undefined) return { kind: 'store', entry }
  const isTaken = found.state === ClaimState.Finished || (found.state === ClaimState.Claimed && found.attempt !== change.replaces)
  if (isTaken) return keepEntry(found.attempt === entry.attempt ? STORED : { kind: ClaimChangeResult.Found, entry: found })
  const fence = found.state === ClaimState.Released ? found.previousAttempts : found.fence
  return (change.previousAttempts ?? 0) > fence ? { kind: 'store', entry: { ...entry, fence } } : keepEntry(FENCED)
}

function decideFinish (entry: ClaimEntry, found: ClaimEntry | undefined): Decision {
  if (found === undefined) return { kind: 'store', entry }
  if (found.attempt !== entry.attempt) return keepEntry({ kind: ClaimChangeResult.Found, entry: found })
  return found.state === ClaimState.Claimed ? { kind: 'store', entry } : keepEntry(STORED)
}

function decideRelease (entry: ReleasedEntry, found: ClaimEntry | undefined, isSealed: boolean): Decision {
  if (found === undefined) return entry.previousAttempts === NO_FENCE ? keepEntry(STORED) : { kind: 'store', entry }
  if (found.attempt !== entry.attempt) return keepEntry({ kind: ClaimChangeResult.Found, entry: found })
  if (found.state === ClaimState.Released) return keepEntry(STORED)
  if (found.state === ClaimState.Finished) return keepEntry({ kind: ClaimChangeResult.Found, entry: found })
  const previousAttempts = Math.max(entry.previousAttempts, found.fence)
  const mayDrop = previousAttempts === NO_FENCE && !isSealed
  return mayDrop ? { kind: 'drop' } : { kind: 'store', entry: { ...entry, previousAttempts } }
}

function keepEntry (outcome: ClaimChangeOutcome): Decision {
  return { kind: 'keep', outcome }
}

function unexpired (entry: ClaimEntry | undefined, now: number): ClaimEntry | undefined {
  return entry !== undefined && entry.expiresAt > now ? entry : undefined
}

function dropExpired (entries: Map<string, ClaimEntry>, now: number): Map<string, ClaimEntry> {
  for (const [keyDigest, entry] of entries) {
    if (entry.expiresAt <= now) entries.delete(keyDigest)
  }
  return entries
}

function refused (detail: string): Failure {
  return { kind: FailureKind.Refused, step: Step.Claim, peer: 'local', detail }
}
