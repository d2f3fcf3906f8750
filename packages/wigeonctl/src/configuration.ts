/**
 * Reads the last accepted configuration from the key-value service.
 */
import {
  CONFIGURATION_PART_PREFIX, FailureKind, Step, failed, joinManifest, readHead, success,
  type ConfigurationHead, type KeyValuePort, type Manifest, type Outcome
} from '@wigeonlead/protocol'

/** The last accepted head and its manifest; the manifest is absent until the first one is published. */
export interface AcceptedConfiguration {
  head?: ConfigurationHead
  manifest?: Manifest
}

/** Reads the head, then the parts of the manifest that it lists, and joins them. */
export async function readConfiguration (keyValue: KeyValuePort): Promise<Outcome<AcceptedConfiguration>> {
  const read = await readHead(keyValue)
  if (!read.ok) return read
  const head = read.value.head
  if (head === undefined || head.parts.length === 0) return success({ head })
  const contents: string[] = []
  for (const digest of head.parts) {
    const part = await keyValue.get(CONFIGURATION_PART_PREFIX + digest)
    if (!part.ok) return part
    if (part.value.entry === undefined) return failed(malformedConfiguration(`part ${digest} is missing`))
    contents.push(part.value.entry.value)
  }
  try {
    return success({ head, manifest: joinManifest(contents) })
  } catch (cause) {
    return failed(malformedConfiguration(cause instanceof Error ? cause.message : String(cause)))
  }
}

function malformedConfiguration (detail: string): { kind: FailureKind.Malformed, step: Step, peer: string, detail: string } {
  return { kind: FailureKind.Malformed, step: Step.Configuration, peer: CONFIGURATION_PART_PREFIX, detail }
}
