/**
 * Storage format of buckets: JSON arrays instead of objects. They are shorter, and a bucket's head is rewritten with every batch.
 */
import { z } from 'zod'
import { ClaimState, claimEntrySchema, digestText, type ClaimEntry } from '@wigeonlead/protocol'
import type { BucketHead, SegmentReference } from './bucket.js'

const KEY_PREFIX = '/wigeonlead/claims/'
/** A key that is never written. It is read to see whether the key-value service answers. */
export const PROBE_KEY = `${KEY_PREFIX}probe`
const DIGEST_BYTES = 16

/** Numbers that stand for the states in storage. Their meaning must never change. */
enum StateCode {
  Claimed = 0,
  Finished = 1,
  Released = 2
}

type Cell = string | number | Record<string, string>

const headSchema = z.object({
  n: z.number(),
  w: z.array(z.tuple([z.string(), z.number()])),
  s: z.array(z.tuple([z.string(), z.number()])),
  e: z.array(z.array(z.unknown()))
})
const segmentSchema = z.array(z.array(z.unknown()))

/** @returns the key under which a bucket's head is stored. */
export function headKey (bucket: number): string {
  return `${KEY_PREFIX}${bucket}/head`
}

/** @returns the key under which a segment is stored. */
export function segmentKey (bucket: number, id: string): string {
  return `${KEY_PREFIX}${bucket}/segments/${id}`
}

/** @returns a digest of 128 bits, in base64url to keep stored entries short. */
export function shortDigest (text: string): string {
  return Buffer.from(digestText(text), 'hex').subarray(0, DIGEST_BYTES).toString('base64url')
}

/** Encodes a head for storage. */
export function encodeHead (head: BucketHead): string {
  const segments = head.segments.map(({ id, expiresAt }) => [id, expiresAt])
  return JSON.stringify({ n: head.writes, w: [...head.writers], s: segments, e: [...head.entries.values()].map(toCells) })
}

/** Decodes a stored head. Throws if it is malformed. */
export function decodeHead (text: string): BucketHead {
  const stored = headSchema.parse(JSON.parse(text))
  const segments = stored.s.map(([id, expiresAt]): SegmentReference => ({ id, expiresAt }))
  return { writes: stored.n, writers: new Map(stored.w), segments, entries: byKeyDigest(stored.e.map(fromCells)) }
}

/** Encodes the entries of a segment for storage. */
export function encodeSegment (entries: ClaimEntry[]): string {
  return JSON.stringify(entries.map(toCells))
}

/** Decodes a stored segment. Throws if it is malformed. */
export function decodeSegment (text: string): Map<string, ClaimEntry> {
  return byKeyDigest(segmentSchema.parse(JSON.parse(text)).map(fromCells))
}

function byKeyDigest (entries: ClaimEntry[]): Map<string, ClaimEntry> {
  return new Map(entries.map(entry => [entry.keyDigest, entry]))
}

function toCells (entry: ClaimEntry): Cell[] {
  const common = [entry.keyDigest, entry.requestDigest, entry.attempt, entry.expiresAt]
  switch (entry.state) {
    case ClaimState.Claimed: return [StateCode.Claimed, ...common, entry.claimant.address, entry.claimant.incarnation, entry.fence]
    case ClaimState.Finished: {
      const answerCells = entry.answer === undefined ? [] : [entry.answer.headers, entry.answer.body]
      return [StateCode.Finished, ...common, entry.status, ...answerCells]
    }
    case ClaimState.Released: return [StateCode.Released, ...common, entry.previousAttempts]
  }
}

function fromCells (cells: unknown[]): ClaimEntry {
  const [code, keyDigest, requestDigest, attempt, expiresAt, first, second, third] = cells
  const common = { keyDigest, requestDigest, attempt, expiresAt }
  const answer = second === undefined ? undefined : { headers: second, body: third }
  const entriesByCode: Record<StateCode, unknown> = {
    [StateCode.Claimed]: { state: ClaimState.Claimed, ...common, claimant: { address: first, incarnation: second }, fence: third },
    [StateCode.Finished]: { state: ClaimState.Finished, ...common, status: first, answer },
    [StateCode.Released]: { state: ClaimState.Released, ...common, previousAttempts: first }
  }
  return claimEntrySchema.parse(entriesByCode[code as StateCode])
}
