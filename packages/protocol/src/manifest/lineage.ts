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
 * Brings a line that nodes hold and the line of a restored key-value service together: the changes made after the restore come
 * on top of what was accepted before it.
 * @param held the head that was accepted before the restore.
 * @param seen the head that the key-value service shows.
 * @param nonce names the new head.
 * @returns undefined where `seen` follows `held` as far as can be told, so that nothing has to be brought together.
 */
export function mergeHeads (held: ConfigurationHead, seen: ConfigurationHead, nonce: string): ConfigurationHead | undefined {
  if (isBuiltOn(seen, held.nonce)) return undefined
  const afterRestore = changesSinceFork(seen, held)
  if (afterRestore === undefined && seen.generation > held.generation) return undefined
  const beforeRestore = changesSinceFork(held, seen)
  const isManifestChanged = afterRestore?.manifest ?? true
  const cancelled = new Set([...afterRestore?.cancelledStops ?? [], ...beforeRestore?.cancelledStops ?? []])
  const seenStops = new Set(seen.stops.map(stop => stop.id))
  const stops = [...held.stops.filter(stop => !seenStops.has(stop.id)), ...seen.stops].filter(stop => !cancelled.has(stop.id))
  const others = [...ancestorsOf(seen), ...ancestorsOf(held)]
  const line = [lineOf(seen)[0], lineOf(held)[0], ...others].filter(ancestor => ancestor !== undefined)
  return {
    generation: Math.max(held.generation, seen.generation) + 1,
    nonce,
    publishedAtMilliseconds: seen.publishedAtMilliseconds,
    parts: isManifestChanged ? seen.parts : held.parts,
    stops,
    change: { manifest: isManifestChanged, cancelledStops: [...cancelled] },
    ancestors: [...new Map(line.map(ancestor => [ancestor.nonce, ancestor])).values()].slice(0, MAXIMUM_ANCESTORS),
    retired: [...held.retired ?? [], ...seen.retired ?? []]
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
