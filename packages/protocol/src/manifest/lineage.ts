/**
 * Lineage of configuration heads: records which head was built on which, and merges two lineages that diverged because the
 * key-value service was restored from an old state and accepted changes from there.
 */
import type { ConfigurationHead, HeadChange } from './head.js'

/** Maximum number of ancestors that a head lists. */
export const MAXIMUM_ANCESTORS = 16

/** Returns whether a head has this nonce or was built on the head with this nonce, as far as its ancestors are listed. */
export function isBuiltOn (head: ConfigurationHead, nonce: string): boolean {
  return head.nonce === nonce || ancestorsOf(head).some(ancestor => ancestor.nonce === nonce)
}

/**
 * Returns whether a head would still list an ancestor of this generation, so that its absence from the list proves that
 * the head was not built on it.
 */
export function wouldListAncestor (head: ConfigurationHead, generation: number): boolean {
  return ancestorsOf(head).length < MAXIMUM_ANCESTORS || head.generation - generation <= MAXIMUM_ANCESTORS
}

/** Returns the ancestors to list in a head that is built on this one. */
export function ancestorsOfSuccessor (head: ConfigurationHead | undefined): ConfigurationHead['ancestors'] {
  return head === undefined ? [] : lineageOf(head).slice(0, MAXIMUM_ANCESTORS)
}

/** Returns the changes from one head to the next. */
export function describeChange (
  before: Pick<ConfigurationHead, 'parts' | 'stops'>, after: Pick<ConfigurationHead, 'parts' | 'stops'>
): HeadChange {
  const remainingStopIds = new Set(after.stops.map(stop => stop.id))
  return {
    manifest: before.parts.join() !== after.parts.join(),
    cancelledStops: before.stops.map(stop => stop.id).filter(id => !remainingStopIds.has(id))
  }
}

/**
 * Merges two lineages that diverged after a restore of the key-value service: the changes of the head that was published later
 * are applied on top of the other head.
 * @param nonce nonce of the merged head.
 * @returns undefined if one head appears to follow the other, so that there is nothing to merge.
 */
export function mergeHeads (left: ConfigurationHead, right: ConfigurationHead, nonce: string): ConfigurationHead | undefined {
  if (isBuiltOn(left, right.nonce) || isBuiltOn(right, left.nonce)) return undefined
  const [earlier, later] = left.publishedAtMilliseconds <= right.publishedAtMilliseconds ? [left, right] : [right, left]
  const changes = changesSinceFork(later, earlier)
  if (changes === undefined && later.generation > earlier.generation) return undefined
  const isManifestChanged = changes?.manifest ?? true
  const cancelled = new Set([...changes?.cancelledStops ?? [], ...changesSinceFork(earlier, later)?.cancelledStops ?? []])
  const laterStops = new Set(later.stops.map(stop => stop.id))
  const stops = [...earlier.stops.filter(stop => !laterStops.has(stop.id)), ...later.stops].filter(stop => !cancelled.has(stop.id))
  const mergedLineage = [...lineageOf(later).slice(0, 1), ...lineageOf(earlier).slice(0, 1), ...ancestorsOf(later), ...ancestorsOf(earlier)]
  return {
    generation: Math.max(earlier.generation, later.generation) + 1,
    nonce,
    publishedAtMilliseconds: later.publishedAtMilliseconds,
    parts: isManifestChanged ? later.parts : earlier.parts,
    stops,
    change: { manifest: isManifestChanged, cancelledStops: [...cancelled] },
    ancestors: [...new Map(mergedLineage.map(ancestor => [ancestor.nonce, ancestor])).values()].slice(0, MAXIMUM_ANCESTORS),
    retired: [...earlier.retired ?? [], ...later.retired ?? []]
  }
}

/** Returns the changes in a head's lineage since it diverged from the lineage of `otherHead`; undefined if no common ancestor is listed. */
function changesSinceFork (head: ConfigurationHead, otherHead: ConfigurationHead): HeadChange | undefined {
  const lineage = lineageOf(head)
  const fork = lineage.findIndex(ancestor => isBuiltOn(otherHead, ancestor.nonce))
  if (fork < 0) return undefined
  const changes = lineage.slice(0, fork).map(ancestor => ancestor.change)
  return {
    manifest: changes.some(change => change.manifest),
    cancelledStops: changes.flatMap(change => change.cancelledStops)
  }
}

function lineageOf (head: ConfigurationHead): NonNullable<ConfigurationHead['ancestors']> {
  return [{ nonce: head.nonce, change: head.change ?? { manifest: true, cancelledStops: [] } }, ...ancestorsOf(head)]
}

function ancestorsOf (head: ConfigurationHead): NonNullable<ConfigurationHead['ancestors']> {
  return head.ancestors ?? []
}
