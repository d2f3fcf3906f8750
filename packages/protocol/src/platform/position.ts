/**
 * Positions in the history of a key-value service. A service that was restored from an older copy gives the revisions after that copy out
 * again, so a revision alone does not order two of its answers.
 */

/** A point in the history of a key-value service. */
export interface StorePosition {
  /** Number of the history: rises each time the service returns from an older copy. 0 where the service states none. */
  era: number
  /** Rises with each change within one era. */
  revision: number
}

/** @returns the position that an answer states. */
export function positionOf ({ era = 0, revision }: { era?: number, revision: number }): StorePosition {
  return { era, revision }
}

/** @returns a negative number if `a` lies before `b`, a positive one if it lies after it, 0 if both are equal. */
export function comparePositions (a: StorePosition, b: StorePosition): number {
  return a.era - b.era || a.revision - b.revision
}

/** Revisions that a fencing token has room for in one era. */
const REVISIONS_PER_ERA = 2 ** 32

/** @returns a whole number that orders positions: a token of a later era is higher than each one of an earlier era. */
export function fencingTokenOf ({ era, revision }: StorePosition): number {
  return era * REVISIONS_PER_ERA + revision
}
