/**
 * The concurrency window of one target limits the work of all entry VMs together. It is widened step by step while the target
 * is fast enough, and narrowed by a factor when the target refuses work or lags.
 */

/** Limits how much work may be in flight at one target. */
export interface ConcurrencyWindow {
  /** Lowers the limit to the given capacity if it is above it. @returns the limit as a whole number, at least MINIMUM_WINDOW. */
  size: (capacity: number) => number
  recordRefusal: () => void
  /** @param slowness ratio of the observed time per token to the time per token at the declared capacity. */
  recordSlowness: (slowness: number) => void
}

const MINIMUM_WINDOW = 1
const REFUSAL_FACTOR = 0.7
const LAG_FACTOR = 0.9
/** A target lags if its slowness is above this. */
const LAG_SLOWNESS = 2.5
/** Minimum time between two narrowings, milliseconds. */
const NARROWING_INTERVAL_MILLISECONDS = 200

/** Creates a window that admits the whole capacity. */
export function createConcurrencyWindow (capacity: number): ConcurrencyWindow {
  let limit = capacity
  let narrowedAt = -Infinity

  function narrow (factor: number): void {
    const now = Date.now()
    if (now - narrowedAt < NARROWING_INTERVAL_MILLISECONDS) return
    narrowedAt = now
    limit = Math.max(MINIMUM_WINDOW, limit * factor)
  }

  return {
    size (capacity) {
      limit = Math.min(limit, capacity)
      return Math.max(MINIMUM_WINDOW, Math.floor(limit))
    },
    recordRefusal: () => { narrow(REFUSAL_FACTOR) },
    recordSlowness (slowness) {
      if (slowness > LAG_SLOWNESS) narrow(LAG_FACTOR)
      else limit += 1 / Math.max(1, limit)
    }
  }
}
