/**
 * Counts good and bad events per minute over the last six hours, in a ring buffer of fixed size.
 */
import { BURN_SERIES_STEP_MINUTES, BURN_WINDOWS_MINUTES, type BurnCounts } from '@wigeonlead/protocol'

/** Counts of good and bad events over sliding windows. */
export interface BurnCounter {
  record: (good: number, bad: number) => void
  /** @returns the counts in each window of `BURN_WINDOWS_MINUTES`. */
  windows: () => BurnCounts[]
  /** @returns the counts in each step of `BURN_SERIES_STEP_MINUTES` of the longest window, the oldest step first. */
  series: () => BurnCounts[]
}

const MINUTE_MILLISECONDS = 60_000
const LONGEST_MINUTES = Math.max(...BURN_WINDOWS_MINUTES)

/** Creates a counter without events. */
export function createBurnCounter (): BurnCounter {
  const good = new Float64Array(LONGEST_MINUTES)
  const bad = new Float64Array(LONGEST_MINUTES)
  let lastMinute = currentMinute()

  /** Clears the minutes that passed since the last call. @returns the current minute; it never goes back. */
  function advance (): number {
    const minute = currentMinute()
    const firstElapsed = Math.max(lastMinute + 1, minute - LONGEST_MINUTES + 1)
    for (let elapsedMinute = firstElapsed; elapsedMinute <= minute; elapsedMinute += 1) {
      good[elapsedMinute % LONGEST_MINUTES] = 0
      bad[elapsedMinute % LONGEST_MINUTES] = 0
    }
    lastMinute = Math.max(lastMinute, minute)
    return lastMinute
  }

  /** Returns the sum of the `count` minutes up to and including `end`. */
  function sum (end: number, count: number): BurnCounts {
    const total = { good: 0, bad: 0 }
    for (let minute = end - count + 1; minute <= end; minute += 1) {
      total.good += good[minute % LONGEST_MINUTES] ?? 0
      total.bad += bad[minute % LONGEST_MINUTES] ?? 0
    }
    return total
  }

  return {
    record (goodEvents, badEvents) {
      const slot = advance() % LONGEST_MINUTES
      good[slot] = (good[slot] ?? 0) + goodEvents
      bad[slot] = (bad[slot] ?? 0) + badEvents
    },
    windows () {
      const end = advance()
      return BURN_WINDOWS_MINUTES.map(minutes => sum(end, minutes))
    },
    series () {
      const end = advance()
      const steps = LONGEST_MINUTES / BURN_SERIES_STEP_MINUTES
      return Array.from({ length: steps }, (_, step) => sum(end - (steps - 1 - step) * BURN_SERIES_STEP_MINUTES, BURN_SERIES_STEP_MINUTES))
    }
  }
}

function currentMinute (): number {
  return Math.floor(Date.now() / MINUTE_MILLISECONDS)
}
