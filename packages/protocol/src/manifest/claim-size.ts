/**
 * How much room claims take in the key-value service, and what it has for them.
 */
import { ClaimKind, type Manifest } from './schema.js'

/** Buckets over which keys are spread. Every node and every release must agree on it: another count finds no earlier claim. */
export const CLAIM_BUCKETS = 2
/** Bytes at which a bucket's recent entries are moved into a segment that is never rewritten. */
export const CLAIM_SEGMENT_BYTES = 49_152
/** Segments of one bucket; beyond them new orders are refused, and none is forgotten early. */
export const CLAIM_SEGMENTS_PER_BUCKET = 512
/** Bytes of one stored claim without its answer. */
export const CLAIM_ENTRY_BYTES = 176
/** Largest answer body that is kept for repeats, bytes. */
export const CLAIM_ANSWER_BYTES = 2048
/** Bytes of an answer as stored that the check assumes when nothing is said of it. */
export const CLAIM_EXPECTED_ANSWER_BYTES = 320
/** Largest difference between two VMs' clocks that the retention allows for, seconds. */
export const CLAIM_CLOCK_SKEW_SECONDS = 300

const FILLED_SHARE_OF_SEGMENTS = 0.8

/** Rate and retention of one kind of order. */
export interface ClaimLoad {
  ordersPerSecond: number
  retentionSeconds: number
  /** Bytes of an answer as stored; 320 by default. */
  answerBytes?: number
}

/** The room that claims take. */
export interface ClaimSize {
  entries: number
  bytes: number
  /** Bytes that the service has for claims. */
  limitBytes: number
  fits: boolean
  /** The longest common retention that would fit at these rates, seconds. */
  longestRetentionSeconds: number
}

/** @returns the room that the claims of these orders take once the retention has passed, and whether it is there. */
export function claimSize (loads: ClaimLoad[]): ClaimSize {
  const limitBytes = Math.floor(CLAIM_BUCKETS * CLAIM_SEGMENTS_PER_BUCKET * CLAIM_SEGMENT_BYTES * FILLED_SHARE_OF_SEGMENTS)
  const entryBytes = (load: ClaimLoad): number => CLAIM_ENTRY_BYTES + (load.answerBytes ?? CLAIM_EXPECTED_ANSWER_BYTES)
  const held = (load: ClaimLoad): number => load.ordersPerSecond * (load.retentionSeconds + 2 * CLAIM_CLOCK_SKEW_SECONDS)
  const entries = Math.ceil(sum(loads.map(held)))
  const bytes = Math.ceil(sum(loads.map(load => held(load) * entryBytes(load))))
  const bytesPerSecond = sum(loads.map(load => load.ordersPerSecond * entryBytes(load)))
  const longest = bytesPerSecond === 0 ? Infinity : limitBytes / bytesPerSecond - 2 * CLAIM_CLOCK_SKEW_SECONDS
  return { entries, bytes, limitBytes, fits: bytes <= limitBytes, longestRetentionSeconds: Math.max(0, Math.floor(longest)) }
}

/** @returns the rates and retentions of a manifest's keyed orders. */
export function claimLoads (manifest: Pick<Manifest, 'services'>): ClaimLoad[] {
  return manifest.services.flatMap(service => service.operations)
    .filter(operation => !operation.idempotent && operation.claim === ClaimKind.Keyed)
    .map(operation => ({ ordersPerSecond: operation.expectedPerSecond, retentionSeconds: operation.retentionSeconds }))
}

function sum (values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
