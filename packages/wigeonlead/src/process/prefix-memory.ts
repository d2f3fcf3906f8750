/**
 * Which targets probably hold which prompt prefixes: from this node's own paths, and from the engines' late and gappy cache events.
 */
import { CacheEventKind, type EngineReport } from '@wigeonlead/protocol'

/** Probable holders of prompt prefixes. */
export interface PrefixMemory {
  isHeld: (prefix: string, target: string) => boolean
  /** Takes note that a target prefilled a prompt. */
  remember: (prefix: string, target: string) => void
  /**
   * Takes in the cache events of a report; after a restart, what was known of the target is forgotten.
   * A gap leaves it as it is: a wrong guess costs one prefill.
   */
  learn: (report: EngineReport) => void
}

const MOST_PREFIXES = 20_000
const MOST_HOLDERS = 8

/** Makes an empty memory. */
export function createPrefixMemory (): PrefixMemory {
  const holders = new Map<string, string[]>()
  const heard = new Map<string, { incarnation: string, sequence: number }>()

  function remember (prefix: string, target: string): void {
    const others = (holders.get(prefix) ?? []).filter(holder => holder !== target)
    holders.delete(prefix)
    holders.set(prefix, [...others.slice(1 - MOST_HOLDERS), target])
    if (holders.size > MOST_PREFIXES) holders.delete(holders.keys().next().value ?? '')
  }

  function forget (prefix: string, target: string): void {
    const others = (holders.get(prefix) ?? []).filter(holder => holder !== target)
    if (others.length === 0) holders.delete(prefix)
    else holders.set(prefix, others)
  }

  function forgetTarget (target: string): void {
    for (const prefix of [...holders.keys()]) forget(prefix, target)
  }

  return {
    isHeld: (prefix, target) => holders.get(prefix)?.includes(target) ?? false,
    remember,
    learn ({ target, incarnation, cacheEvents }) {
      const known = heard.get(target)
      if (known !== undefined && known.incarnation !== incarnation) forgetTarget(target)
      let sequence = known?.incarnation === incarnation ? known.sequence : -1
      for (const event of cacheEvents) {
        if (event.sequence <= sequence) continue
        sequence = event.sequence
        if (event.kind === CacheEventKind.Stored) remember(event.prefix, target)
        else forget(event.prefix, target)
      }
      heard.set(target, { incarnation, sequence })
    }
  }
}
