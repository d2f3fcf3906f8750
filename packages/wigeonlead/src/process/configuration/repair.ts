/**
 * Repair of the key-value service after it was restored from an old snapshot: changes accepted before the restore are written
 * back, and changes accepted since the restore are merged on top of them.
 */
import {
  CONFIGURATION_HEAD_KEY, WriteResult, isBuiltOn, mergeHeads, readHead, writeParts, type ConfigurationHead, type KeyValuePort,
  type RandomSource
} from '@wigeonlead/protocol'
import { LogEvent, type Logger } from '../logging.js'
import type { PartStore } from './part-store.js'

/** Dependencies of the repair. */
export interface RepairOptions {
  keyValue: KeyValuePort
  random: RandomSource
  logger: Logger
  partStore: PartStore
  /** Accepted heads that must not be lost: the head in force, and heads that were replaced by one that was not built on them. */
  acceptedHeads: () => ConfigurationHead[]
  /** Called with a head after it was written. */
  observe: (head: ConfigurationHead) => Promise<void>
}

/** Repairs the head in the key-value service. */
export interface Repair {
  /** Returns whether `seen`, the head read from the key-value service, differs from the expected one. */
  needsRepair: (seen: ConfigurationHead | undefined) => boolean
  /** Writes the expected head if the key-value service has a different one; a random delay spreads the fleet's writes over a second. */
  run: (seen: ConfigurationHead | undefined) => Promise<void>
}

const SPREAD_MILLISECONDS = 1000

/** @returns the head that the key-value service should contain; `seen` itself when no repair is needed. */
export function resolveHead (
  accepted: ConfigurationHead[], seen: ConfigurationHead | undefined, nonce: () => string
): ConfigurationHead | undefined {
  return accepted.reduce((expected, head) => {
    if (expected === undefined || isBuiltOn(head, expected.nonce)) return head
    if (isBuiltOn(expected, head.nonce)) return expected
    return mergeHeads(expected, head, nonce()) ?? (head.generation > expected.generation ? head : expected)
  }, seen)
}

/** Creates the repair. */
export function createRepair ({ keyValue, random, logger, partStore, acceptedHeads, observe }: RepairOptions): Repair {
  let isRunning = false

  function resolve (seen: ConfigurationHead | undefined): ConfigurationHead | undefined {
    return resolveHead(acceptedHeads(), seen, random.nextNonce)
  }

  async function writeExpectedHead (): Promise<void> {
    const read = await readHead(keyValue)
    if (!read.ok) return
    const seen = read.value.head
    const expected = resolve(seen)
    if (expected === undefined || expected.nonce === seen?.nonce) return
    const fetched = await partStore.fetch(expected, undefined, [])
    if ('missing' in fetched) return
    const storedParts = new Set(seen?.parts)
    const failure = await writeParts(keyValue, partStore.find(expected.parts.filter(digest => !storedParts.has(digest))))
    if (failure !== undefined) return
    const outcome = await keyValue.compareAndSwap({
      key: CONFIGURATION_HEAD_KEY, expectedModRevision: read.value.modRevision, value: JSON.stringify(expected)
    })
    if (outcome.kind !== WriteResult.Committed) return
    logger.warn(LogEvent.ConfigurationWrittenBack, { generation: expected.generation, found: seen?.generation ?? 0 })
    await observe(expected)
  }

  function needsRepair (seen: ConfigurationHead | undefined): boolean {
    return resolve(seen)?.nonce !== seen?.nonce
  }

  return {
    needsRepair,
    async run (seen) {
      if (isRunning || !needsRepair(seen)) return
      isRunning = true
      try {
        await new Promise(resolve => { setTimeout(resolve, random.nextFloat() * SPREAD_MILLISECONDS).unref() })
        await writeExpectedHead()
      } finally {
        isRunning = false
      }
    }
  }
}
