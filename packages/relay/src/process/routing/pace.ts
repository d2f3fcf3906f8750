/**
 * Keeps the ratio of observed to predicted intervals between events, by the incarnation of the first stage of the path.
 */

/** Ratios of observed to predicted intervals. */
export interface Pace {
  /** @returns the ratio for paths that begin at a target; 1 if nothing was observed recently. */
  ratio: (incarnation: string) => number
  /** Records an interval between events, milliseconds, and the one predicted for the same load. */
  record: (incarnation: string, observed: number, predicted: number) => void
}

/** Bounds of the ratio: outside of them, an observation is about something other than the load of the path. */
const MINIMUM_RATIO = 0.3
const MAXIMUM_RATIO = 5
/** Time constant of the moving average, milliseconds: a few reports of one stream. */
const AVERAGE_MILLISECONDS = 1000
/** Largest weight of one observation, however long ago the previous one was. */
const MAXIMUM_WEIGHT = 0.4
/** A ratio holds for this time without an observation, milliseconds: longer than the time between two reports of a slow stream. */
const HOLD_MILLISECONDS = 1500
/** Time without an observation after which the ratio is 1 again, milliseconds. */
const FADED_MILLISECONDS = 4000

/** Creates a record without observations. */
export function createPace (): Pace {
  const averages = new Map<string, { ratio: number, recordedAt: number }>()

  function ratio (incarnation: string): number {
    const average = averages.get(incarnation)
    if (average === undefined) return 1
    const age = performance.now() - average.recordedAt
    const remaining = (FADED_MILLISECONDS - age) / (FADED_MILLISECONDS - HOLD_MILLISECONDS)
    return 1 + (average.ratio - 1) * Math.max(0, Math.min(1, remaining))
  }

  function dropFaded (now: number): void {
    for (const [incarnation, { recordedAt }] of averages) if (now - recordedAt > FADED_MILLISECONDS) averages.delete(incarnation)
  }

  return {
    ratio,
    record (incarnation, observed, predicted) {
      if (!(predicted > 0) || !(observed >= 0)) return
      const now = performance.now()
      const previousAt = averages.get(incarnation)?.recordedAt
      if (previousAt === undefined) dropFaded(now)
      const elapsed = previousAt === undefined ? Infinity : now - previousAt
      const weight = Math.min(MAXIMUM_WEIGHT, 1 - Math.exp(-elapsed / AVERAGE_MILLISECONDS))
      const bounded = Math.max(MINIMUM_RATIO, Math.min(MAXIMUM_RATIO, observed / predicted))
      const before = ratio(incarnation)
      averages.set(incarnation, { ratio: before + (bounded - before) * weight, recordedAt: now })
    }
  }
}
