/**
 * Publishes configuration: writes the manifest's parts, then replaces the configuration head by compare-and-swap.
 */
import { FailureKind, Step, describeFailure, failed, success, type Failure, type Outcome } from '../failure.js'
import { WriteResult, type KeyValueEntry, type KeyValuePort, type KeyValueWrite } from '../platform/key-value.js'
import type { RandomSource } from '../random.js'
import { CONFIGURATION_HEAD_KEY, CONFIGURATION_PART_PREFIX, configurationHeadSchema, type ConfigurationHead } from './head.js'
import { ancestorsOfSuccessor, describeChange, isBuiltOn, wouldListAncestor } from './lineage.js'
import { splitManifest, type ManifestPartContent } from './parts.js'
import type { Manifest } from './schema.js'

/** All results of publishing. */
export enum PublishResult {
  Accepted = 'accepted',
  /** Another publisher's generation was accepted first; this change is not in force. */
  Superseded = 'superseded',
  /** Whether the change was accepted could not be determined. */
  Unknown = 'unknown',
  /** The change was certainly not accepted. */
  Failed = 'failed'
}

/** The outcome of a change of the head. */
export type PublishOutcome =
  | { kind: PublishResult.Accepted, head: ConfigurationHead }
  | { kind: PublishResult.Superseded, winner: ConfigurationHead }
  | { kind: PublishResult.Unknown | PublishResult.Failed, failure: Failure }

/** Result of reading the head. If no head has been published, `head` is absent and `modRevision` is 0. */
export interface HeadRead {
  head?: ConfigurationHead
  modRevision: number
}

/** The fields that a change of the head may set. */
export type HeadContent = Pick<ConfigurationHead, 'parts' | 'stops'>

/** Expired parts: entries that are still stored, and digests whose entries have already been deleted. */
interface ExpiredParts {
  present: KeyValueEntry[]
  absent: Set<string>
}

const RETRY_DELAYS_MILLISECONDS = [0, 100, 200, 400]
const PART_WRITE_CONCURRENCY = 8
const RETIRED_RETENTION_MILLISECONDS = 600_000
const MAXIMUM_RETIRED_PARTS = 96

/** Reads the head from the key-value service. */
export async function readHead (keyValue: KeyValuePort): Promise<Outcome<HeadRead>> {
  const read = await keyValue.get(CONFIGURATION_HEAD_KEY)
  if (!read.ok) return read
  const entry = read.value.entry
  if (entry === undefined) return success({ modRevision: 0 })
  const head = parseHead(entry)
  if (head !== undefined) return success({ head, modRevision: entry.modRevision })
  return failed({ kind: FailureKind.Malformed, step: Step.Configuration, peer: CONFIGURATION_HEAD_KEY, detail: 'the value is not a valid configuration head' })
}

/** Returns the head stored in an entry, or undefined if the value is not a valid head. */
export function parseHead (entry: KeyValueEntry): ConfigurationHead | undefined {
  try {
    const parsed = configurationHeadSchema.safeParse(JSON.parse(entry.value))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

/**
 * Publishes a manifest and keeps the planned stops. The head is read before the parts are written. A part that this head does
 * not use is written again even if it exists: that changes the part's revision, so that `deleteExpiredParts` of another
 * publisher, which expects the old revision, cannot delete it.
 */
export async function publishManifest (keyValue: KeyValuePort, random: RandomSource, manifest: Manifest): Promise<PublishOutcome> {
  const read = await readHead(keyValue)
  if (!read.ok) return { kind: PublishResult.Failed, failure: read.failure }
  const before = read.value.head
  const parts = splitManifest(manifest)
  const currentDigests = new Set(before?.parts)
  const digests = parts.map(part => part.digest)
  const failure = await writeParts(keyValue, parts.filter(part => !currentDigests.has(part.digest)))
  if (failure !== undefined) return { kind: PublishResult.Failed, failure }
  const expired = await readExpiredParts(keyValue, before, digests)
  const outcome = await swapHead(keyValue, random, read.value, { parts: digests, stops: before?.stops ?? [] }, expired.absent)
  if (outcome.kind === PublishResult.Accepted) await deleteExpiredParts(keyValue, expired.present)
  return outcome
}

/** Changes the head by one compare-and-swap that increments the generation. */
export async function changeHead (
  keyValue: KeyValuePort, random: RandomSource, change: (head: HeadContent) => HeadContent
): Promise<PublishOutcome> {
  const read = await readHead(keyValue)
  if (!read.ok) return { kind: PublishResult.Failed, failure: read.failure }
  const { parts, stops } = read.value.head ?? { parts: [], stops: [] }
  return swapHead(keyValue, random, read.value, change({ parts, stops }), new Set())
}

/** Writes parts, each under its digest. Returns the first failure; after it no further writes are started. */
export async function writeParts (keyValue: KeyValuePort, parts: ManifestPartContent[]): Promise<Failure | undefined> {
  const remaining = [...parts]
  let failure: Failure | undefined
  async function writeRemaining (): Promise<void> {
    for (let part = remaining.pop(); part !== undefined && failure === undefined; part = remaining.pop()) {
      failure ??= await writePart(keyValue, part)
    }
  }
  await Promise.all(Array.from({ length: PART_WRITE_CONCURRENCY }, writeRemaining))
  return failure
}

async function swapHead (
  keyValue: KeyValuePort, random: RandomSource, read: HeadRead, after: HeadContent, deletedDigests: Set<string>
): Promise<PublishOutcome> {
  const before = read.head ?? { generation: 0, parts: [], stops: [] }
  const atMilliseconds = Date.now()
  const usedDigests = new Set(after.parts)
  const newlyRetired = before.parts.filter(digest => !usedDigests.has(digest)).map(digest => ({ digest, atMilliseconds }))
  const head: ConfigurationHead = {
    ...after,
    generation: before.generation + 1,
    nonce: random.nextNonce(),
    publishedAtMilliseconds: atMilliseconds,
    change: describeChange(before, after),
    ancestors: ancestorsOfSuccessor(read.head),
    retired: [...read.head?.retired ?? [], ...newlyRetired]
      .filter(part => !usedDigests.has(part.digest) && !deletedDigests.has(part.digest))
  }
  const write: KeyValueWrite = { key: CONFIGURATION_HEAD_KEY, expectedModRevision: read.modRevision, value: JSON.stringify(head) }
  const outcome = await keyValue.compareAndSwap(write)
  switch (outcome.kind) {
    case WriteResult.Committed: return { kind: PublishResult.Accepted, head }
    case WriteResult.NotSent: return { kind: PublishResult.Failed, failure: outcome.failure }
    case WriteResult.Conflict: return toSupersededOutcome(outcome.current)
    case WriteResult.Ambiguous: return resolveAmbiguousWrite(keyValue, write, head, outcome.failure)
  }
}

/**
 * Determines the outcome of a write whose answer was lost. The same write is retried: it can take effect at most once, since it
 * expects the revision that the write itself replaces.
 */
async function resolveAmbiguousWrite (
  keyValue: KeyValuePort, write: KeyValueWrite, head: ConfigurationHead, failure: Failure
): Promise<PublishOutcome> {
  for (const delayMilliseconds of RETRY_DELAYS_MILLISECONDS) {
    await new Promise(resolve => setTimeout(resolve, delayMilliseconds))
    const read = await keyValue.get(CONFIGURATION_HEAD_KEY)
    if (!read.ok) continue
    const modRevision = read.value.entry?.modRevision ?? 0
    if (modRevision !== write.expectedModRevision) return outcomeFromCurrent(read.value.entry, head, failure)
    const retry = await keyValue.compareAndSwap(write)
    if (retry.kind === WriteResult.Committed) return { kind: PublishResult.Accepted, head }
    if (retry.kind === WriteResult.Conflict) return outcomeFromCurrent(retry.current, head, failure)
  }
  return { kind: PublishResult.Unknown, failure }
}

function outcomeFromCurrent (entry: KeyValueEntry | undefined, head: ConfigurationHead, failure: Failure): PublishOutcome {
  const winner = entry === undefined ? undefined : parseHead(entry)
  if (winner === undefined) return { kind: PublishResult.Unknown, failure }
  if (isBuiltOn(winner, head.nonce)) return { kind: PublishResult.Accepted, head }
  const isConclusive = winner.generation >= head.generation && wouldListAncestor(winner, head.generation)
  return isConclusive ? { kind: PublishResult.Superseded, winner } : { kind: PublishResult.Unknown, failure }
}

function toSupersededOutcome (entry: KeyValueEntry | undefined): PublishOutcome {
  const winner = entry === undefined ? undefined : parseHead(entry)
  if (winner !== undefined) return { kind: PublishResult.Superseded, winner }
  const origin = { step: Step.Configuration, peer: CONFIGURATION_HEAD_KEY, detail: 'the head was deleted or is malformed' }
  return { kind: PublishResult.Failed, failure: { ...origin, kind: FailureKind.Malformed } }
}

async function writePart (keyValue: KeyValuePort, part: ManifestPartContent): Promise<Failure | undefined> {
  const key = CONFIGURATION_PART_PREFIX + part.digest
  let failure: Failure | undefined
  for (const delayMilliseconds of RETRY_DELAYS_MILLISECONDS) {
    await new Promise(resolve => setTimeout(resolve, delayMilliseconds))
    const read = await keyValue.get(key)
    if (!read.ok) {
      failure = read.failure
      continue
    }
    const write = await keyValue.compareAndSwap({ key, expectedModRevision: read.value.entry?.modRevision ?? 0, value: part.content })
    if (write.kind === WriteResult.Committed || (write.kind === WriteResult.Conflict && write.current !== undefined)) return undefined
    if (write.kind !== WriteResult.Conflict) failure = write.failure
  }
  const lastFailure = failure ?? { kind: FailureKind.Broken, step: Step.KeyValue, peer: key, detail: 'the part was deleted during every attempt to write it' }
  return { ...lastFailure, detail: `part ${part.digest}: ${describeFailure(lastFailure)}` }
}

/**
 * Reads the retired parts whose retention has ended or that exceed the maximum number of retired parts. This function is
 * called before the head is replaced, since `deleteExpiredParts` must expect the revisions from before the replacement.
 */
async function readExpiredParts (
  keyValue: KeyValuePort, head: ConfigurationHead | undefined, usedDigests: string[]
): Promise<ExpiredParts> {
  const retainedSinceMilliseconds = Date.now() - RETIRED_RETENTION_MILLISECONDS
  const retired = head?.retired ?? []
  const isExpired = (atMilliseconds: number, index: number): boolean =>
    atMilliseconds < retainedSinceMilliseconds || index < retired.length - MAXIMUM_RETIRED_PARTS
  const expired = retired.filter((part, index) => isExpired(part.atMilliseconds, index) && !usedDigests.includes(part.digest))
  const result: ExpiredParts = { present: [], absent: new Set() }
  for (const { digest } of expired) {
    const read = await keyValue.get(CONFIGURATION_PART_PREFIX + digest)
    if (!read.ok) break
    if (read.value.entry === undefined) result.absent.add(digest)
    else result.present.push(read.value.entry)
  }
  return result
}

/**
 * Deletes expired parts. This is safe because each deletion expects the revision that was read before the head was replaced: a
 * publisher that builds on the new head and uses one of the parts again has rewritten it, which changes its revision, and a publisher
 * that built on an older head fails the compare-and-swap of the head.
 */
async function deleteExpiredParts (keyValue: KeyValuePort, entries: KeyValueEntry[]): Promise<void> {
  for (const entry of entries) await keyValue.compareAndSwap({ key: entry.key, expectedModRevision: entry.modRevision })
}
