/**
 * Ages that stay correct when the VM is paused: the monotonic clock stops while a VM is suspended, and the wall clock may be set forward
 * or back.
 */

/** One moment on both clocks, milliseconds. */
export interface Instant {
  steady: number
  timeOfDay: number
}

/**
 * Difference between the elapsed times of the two clocks from which one of them has jumped, milliseconds. It is well above what slewing
 * adds within the ages that matter, and below any suspension that matters.
 */
const JUMP_MILLISECONDS = 50

/** @returns the present moment. */
export function presentInstant (): Instant {
  return { steady: performance.now(), timeOfDay: Date.now() }
}

/** @returns the moment that lies the given number of milliseconds before another, on both clocks. */
export function instantBefore (instant: Instant, milliseconds: number): Instant {
  return { steady: instant.steady - milliseconds, timeOfDay: instant.timeOfDay - milliseconds }
}

/**
 * @returns the age in milliseconds, or Infinity if one clock has jumped since. A suspension may be hidden by a step of the wall clock, so
 * the true age is then unknown.
 */
export function ageOf (instant: Instant): number {
  const monotonicAge = performance.now() - instant.steady
  const wallClockAge = Date.now() - instant.timeOfDay
  return Math.abs(wallClockAge - monotonicAge) > JUMP_MILLISECONDS ? Infinity : Math.max(monotonicAge, wallClockAge)
}
