/**
 * A bucket of claims as one node holds it, and the rules by which changes are applied to it.
 */
import {
  CLAIM_CLOCK_SKEW_SECONDS, ClaimChangeKind, ClaimChangeResult, ClaimState, FailureKind, Step,
  type ClaimChange, type ClaimChangeOutcome, type ClaimEntry, type Failure, type ReleasedEntry
} from '@wigeonlead/protocol'

/** A sealed part of a bucket; its content never changes. */
export interface SegmentReference {
  id: string
  /** When the last of its entries may be dropped, milliseconds since 1970. */
  expiresAt: number
}

/** The part of a bucket that is rewritten: recent entries, and the list of its segments from old to new. */
export interface BucketHead {
  /** Writes of the head so far. */
  writes: number
  /** Latest write of each node that wrote the head lately, by a name of the node. */
  writers: ReadonlyMap<string, number>
  entries: ReadonlyMap<string, ClaimEntry>
  segments: readonly SegmentReference[]
}

/** Finds the latest entry of a key in the segments of a bucket. */
export type FindSealed = (keyDigest: string) => ClaimEntry | undefined

/** A bucket after changes. */
export interface AppliedChanges {
  head: BucketHead
  outcomes: ClaimChangeOutcome[]
  isChanged: boolean
}

/** The count of previous attempts that fences no submission. */
export const NO_FENCE = -1
/** A bucket that was never written. */
export const EMPTY_HEAD: BucketHead = { writes: 0, writers: new Map(), entries: new Map(), segments: [] }

/** A claim is refused so long before its entry would be dropped, since the node that drops entries may have a faster clock. */
const CLAIM_MARGIN_MILLISECONDS = 2000 * CLAIM_CLOCK_SKEW_SECONDS

type Verdict = { kind: 'store', entry: ClaimEntry } | { kind: 'drop' } | { kind: 'keep', outcome: ClaimChangeOutcome }

const STORED: ClaimChangeOutcome = { kind: ClaimChangeResult.Stored }
const FENCED: ClaimChangeOutcome = { kind: ClaimChangeResult.Fenced }

/** How changes are applied. */
export interface ApplyOptions {
  /** Milliseconds since 1970. */
  now: number
  /** The bucket has no room: new claims are refused, and outcomes are kept without their answers. */
  isFull: boolean
}

/** Applies changes in order to a bucket and drops what has expired. */
export function applyChanges (
  head: BucketHead, findSealed: FindSealed, changes: ClaimChange[], { now, isFull }: ApplyOptions
): AppliedChanges {
  const entries = new Map(head.entries)
  let isChanged = false
  const outcomes = changes.map(change => {
    const { keyDigest } = change.entry
    const sealed = findSealed(keyDigest)
    const judged = judge(change, liveEntry(entries.get(keyDigest) ?? sealed, now), sealed !== undefined, now)
    const verdict = isFull ? withinRoom(change, judged) : judged
    if (verdict.kind === 'keep') return verdict.outcome
    isChanged = true
    if (verdict.kind === 'store') entries.set(keyDigest, verdict.entry)
    else entries.delete(keyDigest)
    return STORED
  })
  if (!isChanged) return { head, outcomes, isChanged }
  const segments = head.segments.filter(each => each.expiresAt > now)
  return { head: { ...head, writes: head.writes + 1, entries: dropExpired(entries, now), segments }, outcomes, isChanged }
}

function judge (change: ClaimChange, found: ClaimEntry | undefined, isSealed: boolean, now: number): Verdict {
  const margin = change.kind === ClaimChangeKind.Claim ? CLAIM_MARGIN_MILLISECONDS : 0
  if (change.entry.expiresAt - margin <= now) return keep({ kind: ClaimChangeResult.Unavailable, failure: refused('the retention has passed') })
  switch (change.kind) {
    case ClaimChangeKind.Claim: return judgeClaim(change, found)
    case ClaimChangeKind.Finish: return judgeFinish(change.entry, found)
    case ClaimChangeKind.Release: return judgeRelease(change.entry, found, isSealed)
  }
}

function withinRoom (change: ClaimChange, verdict: Verdict): Verdict {
  if (verdict.kind !== 'store') return verdict
  if (verdict.entry.state === ClaimState.Finished) return { kind: 'store', entry: { ...verdict.entry, answer: undefined } }
  if (change.kind !== ClaimChangeKind.Claim) return verdict
  return keep({ kind: ClaimChangeResult.Unavailable, failure: refused('the claims of the retention fill their room') })
}

function judgeClaim (change: Extract<ClaimChange, { kind: ClaimChangeKind.Claim }>, found: ClaimEntry | undefined): Verdict {
  const { entry } = change
  if (found === undefined) return { kind: 'store', entry }
  const isOther = found.state === ClaimState.Finished || (found.state === ClaimState.Claimed && found.attempt !== change.replaces)
  if (isOther) return keep(found.attempt === entry.attempt ? STORED : { kind: ClaimChangeResult.Found, entry: found })
  const fence = found.state === ClaimState.Released ? found.previousAttempts : found.fence
  return (change.previousAttempts ?? 0) > fence ? { kind: 'store', entry: { ...entry, fence } } : keep(FENCED)
}

function judgeFinish (entry: ClaimEntry, found: ClaimEntry | undefined): Verdict {
  if (found === undefined) return { kind: 'store', entry }
  if (found.attempt !== entry.attempt) return keep({ kind: ClaimChangeResult.Found, entry: found })
  return found.state === ClaimState.Claimed ? { kind: 'store', entry } : keep(STORED)
}

function judgeRelease (entry: ReleasedEntry, found: ClaimEntry | undefined, isSealed: boolean): Verdict {
  if (found === undefined) return entry.previousAttempts === NO_FENCE ? keep(STORED) : { kind: 'store', entry }
  if (found.attempt !== entry.attempt) return keep({ kind: ClaimChangeResult.Found, entry: found })
  if (found.state === ClaimState.Released) return keep(STORED)
  if (found.state === ClaimState.Finished) return keep({ kind: ClaimChangeResult.Found, entry: found })
  const previousAttempts = Math.max(entry.previousAttempts, found.fence)
  const mayDrop = previousAttempts === NO_FENCE && !isSealed
  return mayDrop ? { kind: 'drop' } : { kind: 'store', entry: { ...entry, previousAttempts } }
}

function keep (outcome: ClaimChangeOutcome): Verdict {
  return { kind: 'keep', outcome }
}

function liveEntry (entry: ClaimEntry | undefined, now: number): ClaimEntry | undefined {
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
