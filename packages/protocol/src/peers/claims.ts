/**
 * Claims of non-idempotent orders: what is stored for a key, and what entry VMs ask of each other about it.
 */
import { z } from 'zod'
import type { Failure } from '../failure.js'

/** The states of a claim. */
export enum ClaimState {
  /** One attempt may send the order. */
  Claimed = 'claimed',
  /** The order has run. */
  Finished = 'finished',
  /** No submission up to a stated count has run or ever will. */
  Released = 'released'
}

const digest = z.string().min(1).max(64)
const commonShape = {
  keyDigest: digest,
  /** Tells a repeat from another request with the same key. */
  requestDigest: digest,
  /** Unique over all processes and restarts. */
  attempt: digest,
  /** When the entry may be dropped, milliseconds since 1970. */
  expiresAt: z.number().int()
}
const claimantSchema = z.object({ address: z.string().max(64), incarnation: z.number().int() })
const recordedAnswerSchema = z.object({
  headers: z.record(z.string(), z.string()),
  /** Base64. */
  body: z.string()
})
const claimedEntrySchema = z.object({
  state: z.literal(ClaimState.Claimed),
  ...commonShape,
  claimant: claimantSchema,
  /** Count of previous attempts that earlier releases fenced off; -1 where none did. */
  fence: z.number().int().min(-1)
})
const finishedEntrySchema = z.object({
  state: z.literal(ClaimState.Finished),
  ...commonShape,
  status: z.number().int(),
  /** Absent where the answer was too large to keep. */
  answer: recordedAnswerSchema.optional()
})
const releasedEntrySchema = z.object({
  state: z.literal(ClaimState.Released),
  ...commonShape,
  /** Submissions that state at most this count of previous attempts never run; -1 fences none. */
  previousAttempts: z.number().int().min(-1)
})

/** Shape of one stored claim. */
export const claimEntrySchema = z.discriminatedUnion('state', [claimedEntrySchema, finishedEntrySchema, releasedEntrySchema])

/** The node that holds a claim. */
export type Claimant = z.infer<typeof claimantSchema>
/** The part of an answer that is kept. */
export type RecordedAnswer = z.infer<typeof recordedAnswerSchema>
/** A claim under which the order may have been sent. */
export type ClaimedEntry = z.infer<typeof claimedEntrySchema>
/** The outcome of an order that has run. */
export type FinishedEntry = z.infer<typeof finishedEntrySchema>
/** A claim that was given back. */
export type ReleasedEntry = z.infer<typeof releasedEntrySchema>
/** One stored claim. */
export type ClaimEntry = z.infer<typeof claimEntrySchema>

/** The closed set of changes of a claim. */
export enum ClaimChangeKind {
  Claim = 'claim',
  Finish = 'finish',
  Release = 'release'
}

const claimSchema = z.object({
  kind: z.literal(ClaimChangeKind.Claim),
  entry: claimedEntrySchema,
  /** An abandoned attempt whose claim is taken over. */
  replaces: digest.optional(),
  /** How often the caller says that it submitted the order before. */
  previousAttempts: z.number().int().min(0).optional(),
  /** Asks for a read of the key-value service before another entry is found. */
  wantsFreshRead: z.boolean().optional()
})
const finishSchema = z.object({ kind: z.literal(ClaimChangeKind.Finish), entry: finishedEntrySchema })
const releaseSchema = z.object({ kind: z.literal(ClaimChangeKind.Release), entry: releasedEntrySchema })

/** Shape of one change. */
export const claimChangeSchema = z.discriminatedUnion('kind', [claimSchema, finishSchema, releaseSchema])

/** One change of a claim. Applying it twice is the same as applying it once. */
export type ClaimChange = z.infer<typeof claimChangeSchema>

/** The closed set of results of a change. */
export enum ClaimChangeResult {
  /** The change is stored; for a claim: this attempt alone may send. */
  Stored = 'stored',
  /** Another entry stands there, and the change was not made. */
  Found = 'found',
  /** A released entry fences this submission off: it never runs. */
  Fenced = 'fenced',
  /** The change certainly was not made. */
  Unavailable = 'unavailable',
  /** The change may have been made, or may be yet. */
  Uncertain = 'uncertain'
}

/** What became of a change. */
export type ClaimChangeOutcome =
  | { kind: ClaimChangeResult.Stored | ClaimChangeResult.Fenced }
  | { kind: ClaimChangeResult.Found, entry: ClaimEntry }
  | { kind: ClaimChangeResult.Unavailable | ClaimChangeResult.Uncertain, failure: Failure }

/** Asks a bucket's home to commit changes. */
export interface ClaimCommitParameters {
  bucket: number
  changes: ClaimChange[]
  /** Whether a node has passed the changes on already; it is done once at most. */
  isForwarded: boolean
}

/** What became of each change, in the same order. */
export interface ClaimCommitResult {
  outcomes: ClaimChangeOutcome[]
}

/** Asks the node that holds a claim what became of it. */
export interface ClaimInquiryParameters {
  attempt: string
  /** How long the claimant may wait for the outcome, milliseconds. */
  waitMilliseconds: number
}

/** What a claimant says of an attempt. */
export enum ClaimInquiryKind {
  /** The order is being sent or waited for. */
  Running = 'running',
  /** The order has run. */
  Answered = 'answered',
  /** The attempt was not sent and, finally, never will be. */
  Abandoned = 'abandoned',
  /** The order was sent and whether it ran is not known. */
  Uncertain = 'uncertain',
  /** Another process, such as an earlier one at the same address, made the attempt. */
  Unknown = 'unknown'
}

/** A claimant's word on one of its attempts. */
export type ClaimInquiryResult =
  | { kind: ClaimInquiryKind.Answered, status: number, answer: RecordedAnswer }
  | { kind: Exclude<ClaimInquiryKind, ClaimInquiryKind.Answered> }
