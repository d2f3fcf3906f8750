/**
 * What the time between tokens says of the targets and links along paths. Only whole paths are seen, so the error of each
 * prediction is shared out over the parts in proportion: a slow part stays slow on all its paths, while its companions are
 * corrected by their other paths.
 */

/** One part of a path: a target or a link. */
export interface PathPart {
  key: string
  /** Estimate before the first observation, milliseconds a token. */
  priorMilliseconds: number
  /** How often a token passes it; 1 by default. */
  times?: number
}

/** The times of one path while one epoch runs along it. */
export interface PathObserver {
  /** Records the time between two tokens, milliseconds. */
  record: (milliseconds: number) => void
  /** @returns how long to wait for the next token before the path counts as stalled, milliseconds. */
  stallTimeout: () => number
}

/** Estimates of the times of targets and links. */
export interface PathTimes {
  follow: (parts: PathPart[]) => PathObserver
  /** @returns the estimate of one part in milliseconds, or undefined before the first observation. */
  estimate: (key: string) => number | undefined
}

/** The least wait for a next token, milliseconds. */
export const STALL_TIMEOUT_FLOOR_MILLISECONDS = 200
/** The longest wait for a next token, milliseconds. */
export const STALL_TIMEOUT_CEILING_MILLISECONDS = 5000
/** The wait on a path of which a part was never observed. */
const UNKNOWN_TIMEOUT_MILLISECONDS = 1000
const STALL_MEANS = 4
const STALL_DEVIATIONS = 8
const PART_GAIN = 0.05
const MOST_CORRECTION = 4
const MOST_FIRST_CORRECTION = 16
/** A part never shrinks more at once: one token that had been waiting says little. */
const LEAST_FACTOR = 0.8
/** Until then a part's estimate is mostly a prior and moves freely. */
const FIRST_SAMPLES = 10
const PATH_GAIN = 0.125
const LEAST_PART_MILLISECONDS = 0.01
const MOST_PARTS = 20_000

interface Estimate {
  milliseconds: number
  samples: number
}

/** Makes estimates that know nothing yet. */
export function createPathTimes (): PathTimes {
  const estimates = new Map<string, Estimate>()

  function timeOf (part: PathPart): number {
    return (estimates.get(part.key)?.milliseconds ?? part.priorMilliseconds) * (part.times ?? 1)
  }

  function correct (parts: PathPart[], milliseconds: number): void {
    const predicted = parts.reduce((sum, part) => sum + timeOf(part), 0)
    const error = (milliseconds - predicted) / predicted
    for (const part of parts) {
      const { milliseconds: before, samples } = estimates.get(part.key) ?? { milliseconds: part.priorMilliseconds, samples: 0 }
      const gain = Math.max(PART_GAIN, 1 / (samples + 1))
      const most = samples < FIRST_SAMPLES ? MOST_FIRST_CORRECTION : MOST_CORRECTION
      const factor = Math.max(LEAST_FACTOR, 1 + gain * Math.min(most, error))
      estimates.set(part.key, { milliseconds: Math.max(LEAST_PART_MILLISECONDS, before * factor), samples: samples + 1 })
    }
    while (estimates.size > MOST_PARTS) estimates.delete(estimates.keys().next().value ?? '')
  }

  return {
    follow (parts) {
      let mean = parts.reduce((sum, part) => sum + timeOf(part), 0)
      let deviation = mean / 2
      let isKnown = parts.every(part => estimates.has(part.key))
      return {
        record (milliseconds) {
          correct(parts, milliseconds)
          const gain = isKnown ? PATH_GAIN : 1
          isKnown = true
          deviation += gain * (Math.abs(milliseconds - mean) / (gain === 1 ? 2 : 1) - deviation)
          mean += gain * (milliseconds - mean)
        },
        stallTimeout () {
          const wanted = isKnown ? STALL_MEANS * mean + STALL_DEVIATIONS * deviation : UNKNOWN_TIMEOUT_MILLISECONDS
          return Math.min(STALL_TIMEOUT_CEILING_MILLISECONDS, Math.max(STALL_TIMEOUT_FLOOR_MILLISECONDS, wanted))
        }
      }
    },
    estimate: key => estimates.get(key)?.milliseconds
  }
}
