/**
 * Lineage of configuration heads: each head lists its ancestors, the heads that it was built on. Two lineages diverge if the
 * key-value service is restored from an old state and then accepts other changes; their latest heads can be merged.
 */
import type { ConfigurationHead, HeadChange } from './head.js'

/** Maximum number of ancestors that a head lists. */
export const MAXIMUM_ANCESTORS = 16

/** Returns whether the head with this nonce is the given head or one of its listed ancestors. */
export function isBuiltOn (head: ConfigurationHead, nonce: string): boolean {
  return head.nonce === nonce || ancestorsOf(head).some(ancestor => ancestor.nonce === nonce)
}

/**
 * Returns whether the listed ancestors of a head reach back to this generation. If they do, the head was not built on a head
 * of this generation that is absent from the list.
 */
export function wouldListAncestor (head: ConfigurationHead, generation: number): boolean {
  return ancestorsOf(head).length < MAXIMUM_ANCESTORS || head.generation - generation <= MAXIMUM_ANCESTORS
}

/** Returns the list of ancestors of a head that is built on this head: this head, then its own ancestors. */
export function ancestorsOfSuccessor (head: ConfigurationHead | undefined): ConfigurationHead['ancestors'] {
  return head === undefined ? [] : lineageOf(head).slice(0, MAXIMUM_ANCESTORS)
}

/** Returns whether the manifest's parts differ between two heads, and which stops the second head no longer has. */
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
 * Merges the latest heads of two lineages that diverged after a restore of the key-value service. The manifest comes from the
 * head published later if its lineage changed the manifest since the fork, or if no common ancestor is listed; otherwise it
 * comes from the other head. The stops are those of both heads, without the stops that either lineage cancelled since the
 * fork.
 * @param nonce nonce of the merged head.
 * @returns the merged head; undefined if there is nothing to merge, because one head was built on the other, or because no
 * common ancestor is listed and the head published later has the higher generation, so that it is assumed to replace the other.
 */
export function mergeHeads (left: ConfigurationHead, right: ConfigurationHead, nonce: string): ConfigurationHead | undefined {
  if (isBuiltOn(left, right.nonce) || isBuiltOn(right, left.nonce)) return undefined
  const [earlier, later] = left.publishedAtMilliseconds <= right.publishedAtMilliseconds ? [left, right] : [right, left]
  const laterChange = changeSinceFork(later, earlier)
  if (laterChange === undefined && later.generation > earlier.generation) return undefined
  const isManifestChanged = laterChange?.manifest ?? true
  const cancelledStopIds = new Set([...laterChange?.cancelledStops ?? [], ...changeSinceFork(earlier, later)?.cancelledStops ?? []])
  const laterStopIds = new Set(later.stops.map(stop => stop.id))
  const stops = [...earlier.stops.filter(stop => !laterStopIds.has(stop.id)), ...later.stops].filter(stop => !cancelledStopIds.has(stop.id))
  const mergedLineage = [...lineageOf(later).slice(0, 1), ...lineageOf(earlier).slice(0, 1), ...ancestorsOf(later), ...ancestorsOf(earlier)]
  return {
    generation: Math.max(earlier.generation, later.generation) + 1,
    nonce,
    publishedAtMilliseconds: later.publishedAtMilliseconds,
    parts: isManifestChanged ? later.parts : earlier.parts,
    stops,
    change: { manifest: isManifestChanged, cancelledStops: [...cancelledStopIds] },
    ancestors: [...new Map(mergedLineage.map(member => [member.nonce, member])).values()].slice(0, MAXIMUM_ANCESTORS),
    retired: [...earlier.retired ?? [], ...later.retired ?? []]
  }
}

/** Returns what a head's lineage changed since the fork from the lineage of `otherHead`; undefined if no common ancestor is listed. */
function changeSinceFork (head: ConfigurationHead, otherHead: ConfigurationHead): HeadChange | undefined {
  const lineage = lineageOf(head)
  const forkIndex = lineage.findIndex(member => isBuiltOn(otherHead, member.nonce))
  if (forkIndex < 0) return undefined
  const changes = lineage.slice(0, forkIndex).map(member => member.change)
  return {
    manifest: changes.some(change => change.manifest),
    cancelledStops: changes.flatMap(change => change.cancelledStops)
  }
}

/** Returns a head and its listed ancestors, latest first. A head without a recorded change is assumed to have changed the manifest. */
function lineageOf (head: ConfigurationHead): NonNullable<ConfigurationHead['ancestors']> {
  return [{ nonce: head.nonce, change: head.change ?? { manifest: true, cancelledStops: [] } }, ...ancestorsOf(head)]
}

function ancestorsOf (head: ConfigurationHead): NonNullable<ConfigurationHead['ancestors']> {
  return head.ancestors ?? []
}
