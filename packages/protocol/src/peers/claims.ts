/**
 * Claims of non-idempotent orders: the entry that is stored for a key, and the calls between entry VMs that change or query it.
 */
import { z } from 'zod'
import type { Failure } from '../failure.js'

/** The states of a claim. */
export enum ClaimState {
  /** One attempt has the right to send the order. */
  Claimed = 'claimed',
  /** The order has run. */
  Finished = 'finished',
  /** No submission that states at most `previousAttempts` previous attempts has run or will ever run. */
  Released = 'released'
}

const digestSchema = z.string().min(1).max(64)
const commonShape = {
  keyDigest: digestSchema,
  /** Distinguishes a repeat of the request from a different request with the same key. */
  requestDigest: digestSchema,
  /** Nonce of the attempt, unique across all processes and restarts. */
  attempt: digestSchema,
  /** Time from which the entry may be dropped, milliseconds since 1970. */
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
  /** Submissions that state at most this count of previous attempts never run, because of earlier releases; -1 fences no submission. */
  fence: z.number().int().min(-1)
})
const finishedEntrySchema = z.object({
  state: z.literal(ClaimState.Finished),
  ...commonShape,
  status: z.number().int(),
  /** Absent if the answer was too large to store. */
  answer: recordedAnswerSchema.optional()
})
const releasedEntrySchema = z.object({
  state: z.literal(ClaimState.Released),
  ...commonShape,
  /** Submissions that state at most this count of previous attempts never run; -1 fences no submission. */
  previousAttempts: z.number().int().min(-1)
})

/** Shape of one stored claim. */
export const claimEntrySchema = z.discriminatedUnion('state', [claimedEntrySchema, finishedEntrySchema, releasedEntrySchema])

/** The node that holds a claim. */
export type Claimant = z.infer<typeof claimantSchema>
/** The stored part of an answer, which is replayed to repeated submissions. */
export type RecordedAnswer = z.infer<typeof recordedAnswerSchema>
/** A claim under which the order may have been sent. */
export type ClaimedEntry = z.infer<typeof claimedEntrySchema>
/** The outcome of an order that has run. */
export type FinishedEntry = z.infer<typeof finishedEntrySchema>
/** A claim that was released. */
export type ReleasedEntry = z.infer<typeof releasedEntrySchema>
/** One stored claim. */
export type ClaimEntry = z.infer<typeof claimEntrySchema>

/** All kinds of changes of a claim. */
export enum ClaimChangeKind {
  Claim = 'claim',
  Finish = 'finish',
  Release = 'release'
}

const claimSchema = z.object({
  kind: z.literal(ClaimChangeKind.Claim),
  entry: claimedEntrySchema,
  /** The abandoned attempt whose claim this attempt takes over. */
  replaces: digestSchema.optional(),
  /** Number of earlier submissions of the order, as stated by the caller. */
  previousAttempts: z.number().int().min(0).optional(),
  /** Requires a read of the key-value service before the result `found` is returned. */
  wantsFreshRead: z.boolean().optional()
})
const finishSchema = z.object({ kind: z.literal(ClaimChangeKind.Finish), entry: finishedEntrySchema })
const releaseSchema = z.object({ kind: z.literal(ClaimChangeKind.Release), entry: releasedEntrySchema })

/** Shape of one change. */
export const claimChangeSchema = z.discriminatedUnion('kind', [claimSchema, finishSchema, releaseSchema])

/** One change of a claim. Changes are idempotent. */
export type ClaimChange = z.infer<typeof claimChangeSchema>

/** All results of a change. */
export enum ClaimChangeResult {
  /** The change is stored. For a claim, only this attempt may send the order. */
  Stored = 'stored',
  /** Another entry is stored for the key, so the change was not made. */
  Found = 'found',
  /** An earlier release fences this submission, so it never runs. */
  Fenced = 'fenced',
  /** The change was certainly not made. */
  Unavailable = 'unavailable',
  /** The change may have been made, or may still take effect. */
  Uncertain = 'uncertain'
}

/** The outcome of a change. */
export type ClaimChangeOutcome =
  | { kind: ClaimChangeResult.Stored | ClaimChangeResult.Fenced }
  | { kind: ClaimChangeResult.Found, entry: ClaimEntry }
  | { kind: ClaimChangeResult.Unavailable | ClaimChangeResult.Uncertain, failure: Failure }

/** Parameters of a call that asks a bucket's home (the node that commits the changes of the bucket) to commit changes. */
export interface ClaimCommitParameters {
  bucket: number
  changes: ClaimChange[]
  /** Whether a node has already forwarded the changes; they are forwarded at most once. */
  isForwarded: boolean
}

/** The outcome of each change, in the order of the changes. */
export interface ClaimCommitResult {
  outcomes: ClaimChangeOutcome[]
}

/** Parameters of a call that asks the claimant for the outcome of an attempt. */
export interface ClaimInquiryParameters {
  attempt: string
  /** How long the claimant may wait for the outcome before it answers, milliseconds. */
  waitMilliseconds: number
}

/** State of an attempt, as the claimant reports it. */
export enum ClaimInquiryKind {
  /** The order is being sent, or its answer is awaited. */
  Running = 'running',
  /** The order has run. */
  Answered = 'answered',
  /** The order was not sent under this attempt and never will be. */
  Abandoned = 'abandoned',
  /** The order was sent; whether it ran is not known. */
  Uncertain = 'uncertain',
  /** The attempt belongs to another process, for example an earlier one at the same address. */
  Unknown = 'unknown'
}

/** The claimant's answer about one of its attempts. */
export type ClaimInquiryResult =
  | { kind: ClaimInquiryKind.Answered, status: number, answer: RecordedAnswer }
  | { kind: Exclude<ClaimInquiryKind, ClaimInquiryKind.Answered> }
