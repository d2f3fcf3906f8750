/**
 * Repair of the key-value service after a restore from old state: what was accepted before is written back, and what was
 * accepted since then comes on top of it.
 */
import {
  CONFIGURATION_HEAD_KEY, WriteResult, isBuiltOn, mergeHeads, readHead, writeParts, type ConfigurationHead, type KeyValuePort,
  type RandomSource
} from '@wigeonlead/protocol'
import { LogEvent, type Logger } from '../logging.js'
import type { PartStore } from './part-store.js'

/** What the repair needs. */
export interface RepairParts {
  keyValue: KeyValuePort
  random: RandomSource
  logger: Logger
  parts: PartStore
  /** Heads that were accepted and must not be lost: the one in force and those that a head of another line took over from. */
  accepted: () => ConfigurationHead[]
  /** Takes a head that was written. */
  observe: (head: ConfigurationHead) => Promise<void>
}

/** Looks after one key-value service. */
export interface Repair {
  isAmiss: (seen: ConfigurationHead | undefined) => boolean
  /** Writes the right head where the key-value service shows another one; the writers of a fleet spread over a second. */
  run: (seen: ConfigurationHead | undefined) => Promise<void>
}

const SPREAD_MILLISECONDS = 1000

/** @returns the head that the key-value service should show, `seen` itself where that is right. */
export function resolveHead (
  accepted: ConfigurationHead[], seen: ConfigurationHead | undefined, nonce: () => string
): ConfigurationHead | undefined {
  return accepted.reduce((wanted, head) => {
    if (wanted === undefined || isBuiltOn(head, wanted.nonce)) return head
    if (isBuiltOn(wanted, head.nonce)) return wanted
    return mergeHeads(wanted, head, nonce()) ?? (head.generation > wanted.generation ? head : wanted)
  }, seen)
}

/** Makes the repair. */
export function createRepair ({ keyValue, random, logger, parts, accepted, observe }: RepairParts): Repair {
  let isRunning = false

  function resolve (seen: ConfigurationHead | undefined): ConfigurationHead | undefined {
    return resolveHead(accepted(), seen, random.nextNonce)
  }

  async function write (): Promise<void> {
    const read = await readHead(keyValue)
    if (!read.ok) return
    const seen = read.value.head
    const wanted = resolve(seen)
    if (wanted === undefined || wanted.nonce === seen?.nonce) return
    const fetched = await parts.fetch(wanted, undefined, [])
    if ('missing' in fetched) return
    const present = new Set(seen?.parts)
    const failure = await writeParts(keyValue, parts.find(wanted.parts.filter(digest => !present.has(digest))))
    if (failure !== undefined) return
    const outcome = await keyValue.compareAndSwap({
      key: CONFIGURATION_HEAD_KEY, expectedModRevision: read.value.modRevision, value: JSON.stringify(wanted)
    })
    if (outcome.kind !== WriteResult.Committed) return
    logger.warn(LogEvent.ConfigurationWrittenBack, { generation: wanted.generation, found: seen?.generation ?? 0 })
    await observe(wanted)
  }

  function isAmiss (seen: ConfigurationHead | undefined): boolean {
    return resolve(seen)?.nonce !== seen?.nonce
  }

  return {
    isAmiss,
    async run (seen) {
      if (isRunning || !isAmiss(seen)) return
      isRunning = true
      try {
        await new Promise(resolve => { setTimeout(resolve, random.nextFloat() * SPREAD_MILLISECONDS).unref() })
        await write()
      } finally {
        isRunning = false
      }
    }
  }
}
