/**
 * Rendezvous hashing: all nodes with the same list of owners assign a key to the same owner, and few keys move when an owner leaves.
 */

/** @returns the owner of a key, or undefined if there are no owners. */
export function rendezvousOwner (key: string, owners: readonly string[]): string | undefined {
  let best: string | undefined
  let bestScore = -1
  for (const owner of owners) {
    const score = hashText(`${owner}|${key}`)
    if (score > bestScore || (score === bestScore && owner < (best ?? ''))) {
      best = owner
      bestScore = score
    }
  }
  return best
}

function hashText (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}
