/**
 * Ages that hold across pauses of the VM: the steady clock stops while a VM is suspended, the time of day may be set either way.
 */

/** One moment by both clocks, milliseconds. */
export interface Instant {
  steady: number
  timeOfDay: number
}

/**
 * The clocks have parted by a jump once they differ by so much, milliseconds: well over what slewing adds within the ages that matter,
 * and under any suspension that does.
 */
const JUMP_MILLISECONDS = 50

/** @returns this moment. */
export function presentInstant (): Instant {
  return { steady: performance.now(), timeOfDay: Date.now() }
}

/** @returns the moment so many milliseconds before another, by both clocks. */
export function instantBefore (instant: Instant, milliseconds: number): Instant {
  return { steady: instant.steady - milliseconds, timeOfDay: instant.timeOfDay - milliseconds }
}

/**
 * @returns the age, milliseconds; infinite where one clock has jumped since: a suspension may hide behind a step of the time of day, so
 * the true age is not known.
 */
export function ageOf (instant: Instant): number {
  const steady = performance.now() - instant.steady
  const timeOfDay = Date.now() - instant.timeOfDay
  return Math.abs(timeOfDay - steady) > JUMP_MILLISECONDS ? Infinity : Math.max(steady, timeOfDay)
}
