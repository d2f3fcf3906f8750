/**
 * A deadline for waiting on work. The work itself is not aborted when the deadline passes.
 */

/** A time by which a result is needed. */
export interface Deadline {
  /** @returns the milliseconds left; negative after the deadline. */
  remainingMilliseconds: () => number
  /** @returns the result of the work, or undefined if the deadline passes first; the work then continues. */
  race: <T>(work: Promise<T>) => Promise<T | undefined>
}

/**
 * Creates a deadline.
 * @param at milliseconds since 1970.
 */
export function createDeadline (at: number): Deadline {
  const endsAt = performance.now() + at - Date.now()
  const remainingMilliseconds = (): number => endsAt - performance.now()
  return {
    remainingMilliseconds,
    async race (work) {
      let timer: NodeJS.Timeout | undefined
      const timeout = new Promise<undefined>(resolve => {
        timer = setTimeout(() => resolve(undefined), Math.max(0, remainingMilliseconds()))
      })
      try {
        return await Promise.race([work, timeout])
      } finally {
        clearTimeout(timer)
      }
    }
  }
}
