/**
 * Reads the configuration that was accepted last from the key-value service.
 */
import {
  CONFIGURATION_PART_PREFIX, FailureKind, Step, failed, joinManifest, readHead, success,
  type ConfigurationHead, type KeyValuePort, type Manifest, type Outcome
} from '@wigeonlead/protocol'

/** The head that was accepted last; the manifest is absent before the first one is published. */
export interface AcceptedConfiguration {
  head?: ConfigurationHead
  manifest?: Manifest
}

/** Reads the head and the manifest that it names. */
export async function readConfiguration (keyValue: KeyValuePort): Promise<Outcome<AcceptedConfiguration>> {
  const read = await readHead(keyValue)
  if (!read.ok) return read
  const head = read.value.head
  if (head === undefined || head.parts.length === 0) return success({ head })
  const contents: string[] = []
  for (const digest of head.parts) {
    const part = await keyValue.get(CONFIGURATION_PART_PREFIX + digest)
    if (!part.ok) return part
    if (part.value.entry === undefined) return failed(malformed(`part ${digest} is missing`))
    contents.push(part.value.entry.value)
  }
  try {
    return success({ head, manifest: joinManifest(contents) })
  } catch (cause) {
    return failed(malformed(cause instanceof Error ? cause.message : String(cause)))
  }
}

function malformed (detail: string): { kind: FailureKind.Malformed, step: Step, peer: string, detail: string } {
  return { kind: FailureKind.Malformed, step: Step.Configuration, peer: CONFIGURATION_PART_PREFIX, detail }
}
