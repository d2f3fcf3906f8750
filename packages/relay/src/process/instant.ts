/**
 * Moments whose age stays correct when the VM is suspended. They are read on two clocks, because the monotonic clock stops while a VM is
 * suspended and the wall clock may be set forward or back.
 */

/** One moment on both clocks, milliseconds. */
export interface Instant {
  monotonic: number
  wallClock: number
}

/**
 * If the elapsed times of the two clocks differ by more than this, one of the clocks has jumped, milliseconds. The limit is well above what
 * slewing adds within the ages that matter, and below any suspension that matters.
 */
const JUMP_MILLISECONDS = 50

/** @returns the present moment. */
export function presentInstant (): Instant {
  return { monotonic: performance.now(), wallClock: Date.now() }
}

/** @returns the moment that lies the given number of milliseconds before another, on both clocks. */
export function instantBefore (instant: Instant, milliseconds: number): Instant {
  return { monotonic: instant.monotonic - milliseconds, wallClock: instant.wallClock - milliseconds }
}

/**
 * @returns the age in milliseconds, or Infinity if one clock has jumped since: a step of the wall clock may hide part of a suspension, so
 * the true age is then unknown.
 */
export function ageOf (instant: Instant): number {
  const monotonicAge = performance.now() - instant.monotonic
  const wallClockAge = Date.now() - instant.wallClock
  return Math.abs(wallClockAge - monotonicAge) > JUMP_MILLISECONDS ? Infinity : Math.max(monotonicAge, wallClockAge)
}
