/**
 * Publishing: changes of the configuration head by compare-and-swap, and the manifest's parts written before it.
 */
import { FailureKind, Step, describeFailure, failed, success, type Failure, type Outcome } from '../failure.js'
import { WriteResult, type KeyValueEntry, type KeyValuePort, type KeyValueWrite } from '../platform/key-value.js'
import type { RandomSource } from '../random.js'
import { CONFIGURATION_HEAD_KEY, CONFIGURATION_PART_PREFIX, configurationHeadSchema, type ConfigurationHead } from './head.js'
import { ancestorsOfNext, describeChange, isBuiltOn, wouldName } from './lineage.js'
import { splitManifest, type ManifestPartContent } from './parts.js'
import type { Manifest } from './schema.js'

/** The closed set of results of publishing. */
export enum PublishResult {
  Accepted = 'accepted',
  /** Another generation was accepted in between; this change is not in force. */
  Superseded = 'superseded',
  /** Whether the change was accepted could not be learnt. */
  Unknown = 'unknown',
  /** Certainly not accepted. */
  Failed = 'failed'
}

/** What became of a change of the head. */
export type PublishOutcome =
  | { kind: PublishResult.Accepted, head: ConfigurationHead }
  | { kind: PublishResult.Superseded, winner: ConfigurationHead }
  | { kind: PublishResult.Unknown | PublishResult.Failed, failure: Failure }

/** The head as the key-value service shows it. */
export interface HeadRead {
  head?: ConfigurationHead
  modRevision: number
}

/** What a change of the head may set. */
export type HeadContent = Pick<ConfigurationHead, 'parts' | 'stops'>

interface ExpiredParts {
  present: KeyValueEntry[]
  absent: Set<string>
}

const SETTLE_DELAYS_MILLISECONDS = [0, 100, 200, 400]
const PARTS_AT_ONCE = 8
const RETIRED_KEPT_MILLISECONDS = 600_000
const MAXIMUM_RETIRED = 96

/** Reads the head. */
export async function readHead (keyValue: KeyValuePort): Promise<Outcome<HeadRead>> {
  const read = await keyValue.get(CONFIGURATION_HEAD_KEY)
  if (!read.ok) return read
  const entry = read.value.entry
  if (entry === undefined) return success({ modRevision: 0 })
  const head = parseHead(entry)
  if (head !== undefined) return success({ head, modRevision: entry.modRevision })
  return failed({ kind: FailureKind.Malformed, step: Step.Configuration, peer: CONFIGURATION_HEAD_KEY, detail: 'not a head' })
}

/** @returns the head in an entry, or undefined where the value is none. */
export function parseHead (entry: KeyValueEntry): ConfigurationHead | undefined {
  try {
    const parsed = configurationHeadSchema.safeParse(JSON.parse(entry.value))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

/**
 * Publishes a manifest; planned stops stay as they are. The head is read before the parts are written: a part that is not in
 * that head is written anew even where it exists, which keeps `deleteRetired` from taking it away.
 */
export async function publishManifest (keyValue: KeyValuePort, random: RandomSource, manifest: Manifest): Promise<PublishOutcome> {
  const read = await readHead(keyValue)
  if (!read.ok) return { kind: PublishResult.Failed, failure: read.failure }
  const before = read.value.head
  const parts = splitManifest(manifest)
  const present = new Set(before?.parts)
  const digests = parts.map(part => part.digest)
  const failure = await writeParts(keyValue, parts.filter(part => !present.has(part.digest)))
  if (failure !== undefined) return { kind: PublishResult.Failed, failure }
  const expired = await readExpired(keyValue, before, digests)
  const outcome = await swapHead(keyValue, random, read.value, { parts: digests, stops: before?.stops ?? [] }, expired.absent)
  if (outcome.kind === PublishResult.Accepted) await deleteRetired(keyValue, expired.present)
  return outcome
}

/** Changes the head by one compare-and-swap that raises the generation. */
export async function changeHead (
  keyValue: KeyValuePort, random: RandomSource, change: (head: HeadContent) => HeadContent
): Promise<PublishOutcome> {
  const read = await readHead(keyValue)
  if (!read.ok) return { kind: PublishResult.Failed, failure: read.failure }
  const { parts, stops } = read.value.head ?? { parts: [], stops: [] }
  return swapHead(keyValue, random, read.value, change({ parts, stops }), new Set())
}

/** Writes parts, each under its digest. @returns the failure of the first that could not be written. */
export async function writeParts (keyValue: KeyValuePort, parts: ManifestPartContent[]): Promise<Failure | undefined> {
  const left = [...parts]
  let failure: Failure | undefined
  async function writeSome (): Promise<void> {
    for (let part = left.pop(); part !== undefined && failure === undefined; part = left.pop()) {
      failure ??= await writePart(keyValue, part)
    }
  }
  await Promise.all(Array.from({ length: PARTS_AT_ONCE }, writeSome))
  return failure
}

async function swapHead (
  keyValue: KeyValuePort, random: RandomSource, read: HeadRead, after: HeadContent, deleted: Set<string>
): Promise<PublishOutcome> {
  const before = read.head ?? { generation: 0, parts: [], stops: [] }
  const atMilliseconds = Date.now()
  const named = new Set(after.parts)
  const dropped = before.parts.filter(digest => !named.has(digest)).map(digest => ({ digest, atMilliseconds }))
  const head: ConfigurationHead = {
    ...after,
    generation: before.generation + 1,
    nonce: random.nextNonce(),
    publishedAtMilliseconds: atMilliseconds,
    change: describeChange(before, after),
    ancestors: ancestorsOfNext(read.head),
    retired: [...read.head?.retired ?? [], ...dropped].filter(part => !named.has(part.digest) && !deleted.has(part.digest))
  }
  const write: KeyValueWrite = { key: CONFIGURATION_HEAD_KEY, expectedModRevision: read.modRevision, value: JSON.stringify(head) }
  const outcome = await keyValue.compareAndSwap(write)
  switch (outcome.kind) {
    case WriteResult.Committed: return { kind: PublishResult.Accepted, head }
    case WriteResult.NotSent: return { kind: PublishResult.Failed, failure: outcome.failure }
    case WriteResult.Conflict: return superseded(outcome.current)
    case WriteResult.Ambiguous: return settle(keyValue, write, head, outcome.failure)
  }
}

/**
 * Learns what became of a write whose answer was lost. The same write is sent again: it can take effect once at most, since it
 * expects the revision that its own effect changes.
 */
async function settle (keyValue: KeyValuePort, write: KeyValueWrite, head: ConfigurationHead, failure: Failure): Promise<PublishOutcome> {
  for (const delayMilliseconds of SETTLE_DELAYS_MILLISECONDS) {
    await new Promise(resolve => setTimeout(resolve, delayMilliseconds))
    const read = await keyValue.get(CONFIGURATION_HEAD_KEY)
    if (!read.ok) continue
    const modRevision = read.value.entry?.modRevision ?? 0
    if (modRevision !== write.expectedModRevision) return tellFrom(read.value.entry, head, failure)
    const again = await keyValue.compareAndSwap(write)
    if (again.kind === WriteResult.Committed) return { kind: PublishResult.Accepted, head }
    if (again.kind === WriteResult.Conflict) return tellFrom(again.current, head, failure)
  }
  return { kind: PublishResult.Unknown, failure }
}

function tellFrom (entry: KeyValueEntry | undefined, head: ConfigurationHead, failure: Failure): PublishOutcome {
  const winner = entry === undefined ? undefined : parseHead(entry)
  if (winner === undefined) return { kind: PublishResult.Unknown, failure }
  if (isBuiltOn(winner, head.nonce)) return { kind: PublishResult.Accepted, head }
  const isTold = winner.generation >= head.generation && wouldName(winner, head.generation)
  return isTold ? { kind: PublishResult.Superseded, winner } : { kind: PublishResult.Unknown, failure }
}

function superseded (entry: KeyValueEntry | undefined): PublishOutcome {
  const winner = entry === undefined ? undefined : parseHead(entry)
  if (winner !== undefined) return { kind: PublishResult.Superseded, winner }
  const origin = { step: Step.Configuration, peer: CONFIGURATION_HEAD_KEY, detail: 'the head was taken away or is malformed' }
  return { kind: PublishResult.Failed, failure: { ...origin, kind: FailureKind.Malformed } }
}

async function writePart (keyValue: KeyValuePort, part: ManifestPartContent): Promise<Failure | undefined> {
  const key = CONFIGURATION_PART_PREFIX + part.digest
  let failure: Failure | undefined
  for (const delayMilliseconds of SETTLE_DELAYS_MILLISECONDS) {
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
  const origin = failure ?? { kind: FailureKind.Broken, step: Step.KeyValue, peer: key, detail: 'the part changed again and again' }
  return { ...origin, detail: `part ${part.digest}: ${describeFailure(origin)}` }
}

/** Parts that were retired long ago. Their revisions are read before the head is swapped. */
async function readExpired (keyValue: KeyValuePort, head: ConfigurationHead | undefined, named: string[]): Promise<ExpiredParts> {
  const limit = Date.now() - RETIRED_KEPT_MILLISECONDS
  const retired = head?.retired ?? []
  const isExpired = (atMilliseconds: number, index: number): boolean => atMilliseconds < limit || index < retired.length - MAXIMUM_RETIRED
  const expired = retired.filter((part, index) => isExpired(part.atMilliseconds, index) && !named.includes(part.digest))
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
 * Deletes retired parts. Safe, because each deletion expects the revision that was read before the head was swapped: who builds
 * on the new head and names such a part again has written it anew, and who built on an older head loses the race for the head.
 */
async function deleteRetired (keyValue: KeyValuePort, entries: KeyValueEntry[]): Promise<void> {
  for (const entry of entries) await keyValue.compareAndSwap({ key: entry.key, expectedModRevision: entry.modRevision })
}
