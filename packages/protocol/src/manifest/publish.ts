/**
 * Publishing: changes of the configuration head by compare-and-swap, and the manifest's parts written before it.
 */
import { FailureKind, Step, describeFailure, failed, success, type Failure, type Outcome } from '../failure.js'
import { WriteResult, type KeyValueEntry, type KeyValuePort } from '../platform/key-value.js'
import type { RandomSource } from '../random.js'
import { CONFIGURATION_HEAD_KEY, CONFIGURATION_PART_PREFIX, configurationHeadSchema, type ConfigurationHead } from './head.js'
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

/** Reads the head. */
export async function readHead (keyValue: KeyValuePort): Promise<Outcome<{ head?: ConfigurationHead, modRevision: number }>> {
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

/** Publishes a manifest; planned stops stay as they are. */
export async function publishManifest (keyValue: KeyValuePort, random: RandomSource, manifest: Manifest): Promise<PublishOutcome> {
  const parts = splitManifest(manifest)
  for (const part of parts) {
    const failure = await writePart(keyValue, part)
    if (failure !== undefined) return { kind: PublishResult.Failed, failure }
  }
  return changeHead(keyValue, random, head => ({ ...head, parts: parts.map(part => part.digest) }))
}

/** Changes the head by one compare-and-swap that raises the generation. */
export async function changeHead (
  keyValue: KeyValuePort, random: RandomSource, change: (head: Pick<ConfigurationHead, 'parts' | 'stops'>) => Pick<ConfigurationHead, 'parts' | 'stops'>
): Promise<PublishOutcome> {
  const read = await readHead(keyValue)
  if (!read.ok) return { kind: PublishResult.Failed, failure: read.failure }
  const before = read.value.head ?? { generation: 0, parts: [], stops: [] }
  const head: ConfigurationHead = {
    ...change({ parts: before.parts, stops: before.stops }),
    generation: before.generation + 1,
    nonce: random.nextNonce(),
    publishedAtMilliseconds: Date.now()
  }
  const write = await keyValue.compareAndSwap({
    key: CONFIGURATION_HEAD_KEY, expectedModRevision: read.value.modRevision, value: JSON.stringify(head)
  })
  switch (write.kind) {
    case WriteResult.Committed: return { kind: PublishResult.Accepted, head }
    case WriteResult.NotSent: return { kind: PublishResult.Failed, failure: write.failure }
    case WriteResult.Conflict: return settle(write.current, head)
    case WriteResult.Ambiguous: return settleByReading(keyValue, head, write.failure)
  }
}

async function settleByReading (keyValue: KeyValuePort, head: ConfigurationHead, failure: Failure): Promise<PublishOutcome> {
  const read = await keyValue.get(CONFIGURATION_HEAD_KEY)
  if (!read.ok) return { kind: PublishResult.Unknown, failure }
  return settle(read.value.entry, head)
}

function settle (entry: KeyValueEntry | undefined, head: ConfigurationHead): PublishOutcome {
  const winner = entry === undefined ? undefined : parseHead(entry)
  if (winner?.nonce === head.nonce) return { kind: PublishResult.Accepted, head }
  if (winner !== undefined && winner.generation >= head.generation) return { kind: PublishResult.Superseded, winner }
  const detail = 'the head did not change, but the write may still take effect'
  const failure: Failure = {
    kind: FailureKind.TimedOut, step: Step.Configuration, peer: CONFIGURATION_HEAD_KEY, detail, afterMilliseconds: 0
  }
  return { kind: PublishResult.Unknown, failure }
}

async function writePart (keyValue: KeyValuePort, part: ManifestPartContent): Promise<Failure | undefined> {
  const key = CONFIGURATION_PART_PREFIX + part.digest
  const write = await keyValue.compareAndSwap({ key, expectedModRevision: 0, value: part.content })
  if (write.kind === WriteResult.Committed || write.kind === WriteResult.Conflict) return undefined
  const read = await keyValue.get(key)
  if (read.ok && read.value.entry !== undefined) return undefined
  return { ...write.failure, detail: `part ${part.digest}: ${describeFailure(write.failure)}` }
}
