/**
 * Lineage of configuration heads: which head was built on which, and how two lines are brought together when the key-value
 * service was restored from old state and went on from there.
 */
import type { ConfigurationHead, HeadChange } from './head.js'

/** Most ancestors that a head names. */
export const MAXIMUM_ANCESTORS = 16

/** Tells whether a head is, or was built on, the one with a nonce. */
export function isBuiltOn (head: ConfigurationHead, nonce: string): boolean {
  return head.nonce === nonce || ancestorsOf(head).some(ancestor => ancestor.nonce === nonce)
}

/** Tells whether a head, if it had been built on one with a nonce and a generation, would still name it. */
export function wouldName (head: ConfigurationHead, generation: number): boolean {
  return ancestorsOf(head).length < MAXIMUM_ANCESTORS || head.generation - generation <= MAXIMUM_ANCESTORS
}

/** @returns the ancestors of the next head in line. */
export function ancestorsOfNext (head: ConfigurationHead | undefined): ConfigurationHead['ancestors'] {
  return head === undefined ? [] : lineOf(head).slice(0, MAXIMUM_ANCESTORS)
}

/** @returns what changed from one head to the next. */
export function describeChange (
  before: Pick<ConfigurationHead, 'parts' | 'stops'>, after: Pick<ConfigurationHead, 'parts' | 'stops'>
): HeadChange {
  const left = new Set(after.stops.map(stop => stop.id))
  return {
    manifest: before.parts.join() !== after.parts.join(),
    cancelledStops: before.stops.map(stop => stop.id).filter(id => !left.has(id))
  }
}

/**
 * Brings two lines together that a restore of the key-value service parted: the changes of the line that was published later
 * come on top of the other's.
 * @param nonce names the new head.
 * @returns undefined where one head follows the other as far as can be told, so that nothing has to be brought together.
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
  const line = [...lineOf(later).slice(0, 1), ...lineOf(earlier).slice(0, 1), ...ancestorsOf(later), ...ancestorsOf(earlier)]
  return {
    generation: Math.max(earlier.generation, later.generation) + 1,
    nonce,
    publishedAtMilliseconds: later.publishedAtMilliseconds,
    parts: isManifestChanged ? later.parts : earlier.parts,
    stops,
    change: { manifest: isManifestChanged, cancelledStops: [...cancelled] },
    ancestors: [...new Map(line.map(ancestor => [ancestor.nonce, ancestor])).values()].slice(0, MAXIMUM_ANCESTORS),
    retired: [...earlier.retired ?? [], ...later.retired ?? []]
  }
}

/** What a head's line changed since it left the other's, or undefined where the lines don't meet as far as they are named. */
function changesSinceFork (head: ConfigurationHead, other: ConfigurationHead): HeadChange | undefined {
  const line = lineOf(head)
  const fork = line.findIndex(ancestor => isBuiltOn(other, ancestor.nonce))
  if (fork < 0) return undefined
  const changes = line.slice(0, fork).map(ancestor => ancestor.change)
  return {
    manifest: changes.some(change => change.manifest),
    cancelledStops: changes.flatMap(change => change.cancelledStops)
  }
}

function lineOf (head: ConfigurationHead): NonNullable<ConfigurationHead['ancestors']> {
  return [{ nonce: head.nonce, change: head.change ?? { manifest: true, cancelledStops: [] } }, ...ancestorsOf(head)]
}

function ancestorsOf (head: ConfigurationHead): NonNullable<ConfigurationHead['ancestors']> {
  return head.ancestors ?? []
}
