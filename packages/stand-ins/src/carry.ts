/**
 * Timers take whole milliseconds: a carry keeps what was cut off for the next wait, so that many short waits add up rightly.
 */

/** Makes a carry. @returns what turns a duration into whole milliseconds. */
export function createCarry (): (milliseconds: number) => number {
  let left = 0
  return milliseconds => {
    left += milliseconds
    const whole = Math.floor(left)
    left -= whole
    return whole
  }
}
