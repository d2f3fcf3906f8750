/**
 * The token bucket that paces loads from the weight store.
 */

/** Paces loads. */
export interface LoadPace {
  /** Takes one load out of the bucket. @returns whether there was one. */
  take: () => boolean
}

/** Options of a pace. */
export interface LoadPaceOptions {
  loadsPerMinute: number
  /** Most loads at once. */
  burst: number
}

const MINUTE_MILLISECONDS = 60_000

/** Makes a bucket that starts empty: the holder before may have spent what it held. */
export function createLoadPace ({ loadsPerMinute, burst }: LoadPaceOptions): LoadPace {
  let level = 0
  let filledAt = performance.now()

  return {
    take () {
      const now = performance.now()
      level = Math.min(burst, level + (now - filledAt) * loadsPerMinute / MINUTE_MILLISECONDS)
      filledAt = now
      if (level < 1) return false
      level -= 1
      return true
    }
  }
}
