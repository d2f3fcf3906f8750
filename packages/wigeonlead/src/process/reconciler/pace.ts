/**
 * The token bucket that limits the rate of loads from the weight store.
 */

/** Limits the rate of loads. */
export interface LoadRateLimiter {
  /** Takes one load out of the bucket. @returns false when the bucket holds none. */
  tryTake: () => boolean
}

/** Capacity and refill rate of the token bucket. */
export interface LoadRateLimits {
  loadsPerMinute: number
  /** Capacity of the bucket: the maximum number of loads in a burst. */
  burstLoads: number
}

const MINUTE_MILLISECONDS = 60_000

/** Creates an empty bucket: the previous lease holder may already have used up its own bucket. */
export function createLoadRateLimiter ({ loadsPerMinute, burstLoads }: LoadRateLimits): LoadRateLimiter {
  let availableLoads = 0
  let refilledAt = performance.now()

  return {
    tryTake () {
      const now = performance.now()
      availableLoads = Math.min(burstLoads, availableLoads + (now - refilledAt) * loadsPerMinute / MINUTE_MILLISECONDS)
      refilledAt = now
      if (availableLoads < 1) return false
      availableLoads -= 1
      return true
    }
  }
}
