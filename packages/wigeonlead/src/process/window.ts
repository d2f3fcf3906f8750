/**
 * The concurrency window of one target: widened step by step while the target keeps pace, narrowed at refusals and when it lags.
 */

/** How much work may be in flight at one target. */
export interface Window {
  size: (capacity: number) => number
  recordRefusal: (inFlight: number) => void
  /** @param slowness observed time a token over the expected one. */
  recordPace: (slowness: number, inFlight: number) => void
}

const LEAST_WINDOW = 1
const REFUSAL_FACTOR = 0.7
const LAG_FACTOR = 0.9
/** The target lags from this slowness on. */
const LAG_SLOWNESS = 3
/** At most one narrowing in so long, milliseconds. */
const NARROWING_INTERVAL_MILLISECONDS = 200

/** Makes a window of the whole capacity. */
export function createWindow (capacity: number): Window {
  let limit = capacity
  let narrowedAt = -Infinity

  function narrow (factor: number, inFlight: number): void {
    const now = Date.now()
    if (now - narrowedAt < NARROWING_INTERVAL_MILLISECONDS) return
    narrowedAt = now
    limit = Math.max(LEAST_WINDOW, Math.min(limit, inFlight) * factor)
  }

  return {
    size (capacity) {
      limit = Math.min(limit, capacity)
      return Math.max(LEAST_WINDOW, Math.floor(limit))
    },
    recordRefusal: inFlight => { narrow(REFUSAL_FACTOR, inFlight) },
    recordPace (slowness, inFlight) {
      if (slowness > LAG_SLOWNESS) narrow(LAG_FACTOR, inFlight)
      else limit += 1 / Math.max(1, limit)
    }
  }
}
