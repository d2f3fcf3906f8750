/**
 * Index of the prompt prefixes that targets probably have in their cache. Its sources are this node's own requests and the cache
 * events of the engines, which arrive late and with gaps.
 */
import { CacheEventKind, type EngineReport } from '@wigeonlead/protocol'

/** The targets that probably have a prompt prefix in their cache. */
export interface PrefixCacheIndex {
  isLikelyCached: (prefix: string, target: string) => boolean
  /** Records that a target prefilled a prompt with this prefix. */
  recordPrefill: (prefix: string, target: string) => void
  /**
   * Applies the cache events of a report. When the target has restarted, its earlier entries are removed first.
   * A gap in the events is ignored: a wrong entry costs only one prefill.
   */
  applyCacheEvents: (report: EngineReport) => void
}

const MAXIMUM_PREFIXES = 20_000
const MAXIMUM_HOLDERS = 8

/** Creates an empty index. */
export function createPrefixCacheIndex (): PrefixCacheIndex {
  const holders = new Map<string, string[]>()
  const lastEvents = new Map<string, { incarnation: string, sequence: number }>()

  function addHolder (prefix: string, target: string): void {
    const others = (holders.get(prefix) ?? []).filter(holder => holder !== target)
    holders.delete(prefix)
    holders.set(prefix, [...others.slice(1 - MAXIMUM_HOLDERS), target])
    if (holders.size > MAXIMUM_PREFIXES) holders.delete(holders.keys().next().value ?? '')
  }

  function removeHolder (prefix: string, target: string): void {
    const others = (holders.get(prefix) ?? []).filter(holder => holder !== target)
    if (others.length === 0) holders.delete(prefix)
    else holders.set(prefix, others)
  }

  function removeTarget (target: string): void {
    for (const prefix of [...holders.keys()]) removeHolder(prefix, target)
  }

  return {
    isLikelyCached: (prefix, target) => holders.get(prefix)?.includes(target) ?? false,
    recordPrefill: addHolder,
    applyCacheEvents ({ target, incarnation, cacheEvents }) {
      const previous = lastEvents.get(target)
      if (previous !== undefined && previous.incarnation !== incarnation) removeTarget(target)
      let sequence = previous?.incarnation === incarnation ? previous.sequence : -1
      for (const event of cacheEvents) {
        if (event.sequence <= sequence) continue
        sequence = event.sequence
        if (event.kind === CacheEventKind.Stored) addHolder(event.prefix, target)
        else removeHolder(event.prefix, target)
      }
      lastEvents.set(target, { incarnation, sequence })
    }
  }
}
