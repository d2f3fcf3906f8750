/**
 * A deadline that work is raced against without being cut off.
 */

/** A moment by which something is wanted. */
export interface Deadline {
  /** Milliseconds left; negative once it has passed. */
  left: () => number
  /** @returns the result of the work, or undefined where the deadline comes first; the work goes on. */
  race: <T>(work: Promise<T>) => Promise<T | undefined>
}

/**
 * Makes a deadline.
 * @param at milliseconds since 1970.
 */
export function createDeadline (at: number): Deadline {
  const endsAt = performance.now() + at - Date.now()
  const left = (): number => endsAt - performance.now()
  return {
    left,
    async race (work) {
      let timer: NodeJS.Timeout | undefined
      const late = new Promise<undefined>(resolve => { timer = setTimeout(() => resolve(undefined), Math.max(0, left())) })
      try {
        return await Promise.race([work, late])
      } finally {
        clearTimeout(timer)
      }
    }
  }
}
