/**
 * Estimates the storage that claims take in the key-value service and compares it with the storage available for them.
 */
import { ClaimKind, type Manifest } from './schema.js'

/**
 * Number of buckets over which keys are spread. Every node and every release must use the same number: with a different one,
 * earlier claims are not found.
 */
export const CLAIM_BUCKETS = 2
/** Size at which a bucket's recent entries are moved into an immutable segment, bytes. */
export const CLAIM_SEGMENT_BYTES = 49_152
/** Maximum number of segments of one bucket. When they are full, new orders are refused; no claim is dropped before it expires. */
export const CLAIM_SEGMENTS_PER_BUCKET = 512
/** Size of one stored claim without its answer, bytes. */
export const CLAIM_ENTRY_BYTES = 176
/** Largest answer body that is stored to answer repeated submissions, bytes. */
export const CLAIM_ANSWER_BYTES = 2048
/** Stored size of an answer that the check assumes by default, bytes. */
export const CLAIM_EXPECTED_ANSWER_BYTES = 320
/** Largest clock skew between two VMs that the retention allows for, seconds. */
export const CLAIM_CLOCK_SKEW_SECONDS = 300

const SEGMENT_FILL_RATIO = 0.8

/** Rate and retention of the orders of one operation. */
export interface ClaimLoad {
  ordersPerSecond: number
  retentionSeconds: number
  /** Stored size of an answer, bytes; 320 by default. */
  answerBytes?: number
}

/** Estimated storage for claims. */
export interface ClaimSize {
  entries: number
  bytes: number
  /** Storage available for claims, bytes. */
  limitBytes: number
  fits: boolean
  /** The longest retention, common to all operations, that fits at these rates, seconds. */
  longestRetentionSeconds: number
}

/** Estimates the storage that the claims of these orders take once a full retention period has passed, and whether they fit. */
export function estimateClaimSize (loads: ClaimLoad[]): ClaimSize {
  const limitBytes = Math.floor(CLAIM_BUCKETS * CLAIM_SEGMENTS_PER_BUCKET * CLAIM_SEGMENT_BYTES * SEGMENT_FILL_RATIO)
  const entryBytes = (load: ClaimLoad): number => CLAIM_ENTRY_BYTES + (load.answerBytes ?? CLAIM_EXPECTED_ANSWER_BYTES)
  const retainedClaims = (load: ClaimLoad): number => load.ordersPerSecond * (load.retentionSeconds + 2 * CLAIM_CLOCK_SKEW_SECONDS)
  const entries = Math.ceil(sum(loads.map(retainedClaims)))
  const bytes = Math.ceil(sum(loads.map(load => retainedClaims(load) * entryBytes(load))))
  const bytesPerSecond = sum(loads.map(load => load.ordersPerSecond * entryBytes(load)))
  const longestRetention = bytesPerSecond === 0 ? Infinity : limitBytes / bytesPerSecond - 2 * CLAIM_CLOCK_SKEW_SECONDS
  return { entries, bytes, limitBytes, fits: bytes <= limitBytes, longestRetentionSeconds: Math.max(0, Math.floor(longestRetention)) }
}

/** Returns the rates and retentions of a manifest's operations with keyed claims. */
export function listClaimLoads (manifest: Pick<Manifest, 'services'>): ClaimLoad[] {
  return manifest.services.flatMap(service => service.operations)
    .filter(operation => !operation.idempotent && operation.claim === ClaimKind.Keyed)
    .map(operation => ({ ordersPerSecond: operation.expectedPerSecond, retentionSeconds: operation.retentionSeconds }))
}

function sum (values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
