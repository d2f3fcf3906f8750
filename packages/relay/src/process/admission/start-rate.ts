/**
 * Rate at which the requests of one service start while others wait: the rate at which capacity becomes free.
 */

/** Observed rate of starts. */
export interface StartRate {
  /** Records the present number of waiting requests; called regularly while there are any, and when the last one has gone. */
  observe: (waiting: number) => void
  /** Records a start while others wait, or waited until it. */
  recordStart: () => void
  /** @returns starts per second; undefined while too little is known. One start that is about to come counts, so it is above 0. */
  perSecond: () => number | undefined
}

/** Waiting time after which an observation has lost most of its weight, milliseconds: a few usual plain answers, and part of a stream. */
const MEMORY_MILLISECONDS = 2000
/** Waiting time before which the rate is unknown, milliseconds. */
const LEAST_OBSERVED_MILLISECONDS = 400
/** Age at which a rate is forgotten, milliseconds: the targets may have changed since something waited. */
const FORGOTTEN_MILLISECONDS = 10_000
/** Longest interval between two observations that counts, milliseconds: a longer one means that the process did not run. */
const LONGEST_INTERVAL_MILLISECONDS = 100
const MILLISECONDS_PER_SECOND = 1000

/** Creates a rate without observations. */
export function createStartRate (): StartRate {
  let observedMilliseconds = 0
  let starts = 0
  let wasWaiting = false
  let lastObservedAt = performance.now()

  function observe (waiting: number): void {
    const now = performance.now()
    const interval = now - lastObservedAt
    if (interval > FORGOTTEN_MILLISECONDS) [observedMilliseconds, starts] = [0, 0]
    if (wasWaiting) {
      const counted = Math.min(interval, LONGEST_INTERVAL_MILLISECONDS)
      const kept = Math.exp(-counted / MEMORY_MILLISECONDS)
      observedMilliseconds = observedMilliseconds * kept + counted
      starts *= kept
    }
    wasWaiting = waiting > 0
    lastObservedAt = now
  }

  return {
    observe,
    recordStart () { starts += 1 },
    perSecond () {
      const isForgotten = performance.now() - lastObservedAt > FORGOTTEN_MILLISECONDS
      if (isForgotten || observedMilliseconds < LEAST_OBSERVED_MILLISECONDS) return undefined
      return (starts + 1) / observedMilliseconds * MILLISECONDS_PER_SECOND
    }
  }
}
