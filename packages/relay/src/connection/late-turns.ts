/**
 * Notices that the event loop was held up, so that what is read now may have arrived long before.
 */

/** Watches the event loop. */
export interface TurnWatch {
  /** Whether the loop was held up just now, or in the turns before. */
  wasLate: () => boolean
  close: () => void
}

const CHECK_MILLISECONDS = 100
/** Delay of a check from which the loop counts as held up, milliseconds. */
const LATE_MILLISECONDS = 150
/** For how long after a late check the loop counts as held up, milliseconds: until the next checks have shown that it is not. */
const HELD_UP_MILLISECONDS = 250

/** Starts to watch the event loop of this process. */
export function watchTurns (): TurnWatch {
  let lastCheckAt = performance.now()
  let lateAt = -Infinity
  const timer = setInterval(() => {
    const now = performance.now()
    if (now - lastCheckAt > CHECK_MILLISECONDS + LATE_MILLISECONDS) lateAt = now
    lastCheckAt = now
  }, CHECK_MILLISECONDS).unref()
  return {
    wasLate () {
      const now = performance.now()
      return now - lastCheckAt > CHECK_MILLISECONDS + LATE_MILLISECONDS || now - lateAt < HELD_UP_MILLISECONDS
    },
    close: () => clearInterval(timer)
  }
}
