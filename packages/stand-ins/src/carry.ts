/**
 * Rounds durations to whole milliseconds, which timers require, and carries the remainder over to the next duration, so that many short
 * waits add up to the right total.
 */

/** Creates a function that rounds a duration down to whole milliseconds and carries the remainder over to the next call. */
export function createMillisecondRounder (): (milliseconds: number) => number {
  let remainder = 0
  return milliseconds => {
    remainder += milliseconds
    const whole = Math.floor(remainder)
    remainder -= whole
    return whole
  }
}
