/**
 * The concurrency window of one target, for the work of all entry VMs: widened step by step while the target keeps pace,
 * narrowed at refusals and when it lags.
 */

/** How much work may be in flight at one target. */
export interface Window {
  size: (capacity: number) => number
  recordRefusal: () => void
  /** @param slowness observed time a token over the one in full use. */
  recordPace: (slowness: number) => void
}

const LEAST_WINDOW = 1
const REFUSAL_FACTOR = 0.7
const LAG_FACTOR = 0.9
/** The target lags from this slowness on. */
const LAG_SLOWNESS = 2.5
/** At most one narrowing in so long, milliseconds. */
const NARROWING_INTERVAL_MILLISECONDS = 200

/** Makes a window of the whole capacity. */
export function createWindow (capacity: number): Window {
  let limit = capacity
  let narrowedAt = -Infinity

  function narrow (factor: number): void {
    const now = Date.now()
    if (now - narrowedAt < NARROWING_INTERVAL_MILLISECONDS) return
    narrowedAt = now
    limit = Math.max(LEAST_WINDOW, limit * factor)
  }

  return {
    size (capacity) {
      limit = Math.min(limit, capacity)
      return Math.max(LEAST_WINDOW, Math.floor(limit))
    },
    recordRefusal: () => { narrow(REFUSAL_FACTOR) },
    recordPace (slowness) {
      if (slowness > LAG_SLOWNESS) narrow(LAG_FACTOR)
      else limit += 1 / Math.max(1, limit)
    }
  }
}
