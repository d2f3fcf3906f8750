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
/** The least wait before anything was observed of the path, milliseconds: what is declared of a target may be far off. */
export const UNOBSERVED_STALL_TIMEOUT_MILLISECONDS = 900
/** The longest wait for a next token, milliseconds. */
export const STALL_TIMEOUT_CEILING_MILLISECONDS = 5000
const STALL_MEANS = 4
const STALL_DEVIATIONS = 8
const PART_GAIN = 0.05
const MOST_CORRECTION = 4
const PATH_GAIN = 0.125
const LEAST_PART_MILLISECONDS = 0.01
const MOST_PARTS = 20_000

/** Makes estimates that know nothing yet. */
export function createPathTimes (): PathTimes {
  const estimates = new Map<string, number>()

  function timeOf (part: PathPart): number {
    return (estimates.get(part.key) ?? part.priorMilliseconds) * (part.times ?? 1)
  }

  function correct (parts: PathPart[], milliseconds: number): void {
    const predicted = parts.reduce((sum, part) => sum + timeOf(part), 0)
    const factor = 1 + PART_GAIN * Math.max(-1, Math.min(MOST_CORRECTION, (milliseconds - predicted) / predicted))
    for (const part of parts) {
      estimates.set(part.key, Math.max(LEAST_PART_MILLISECONDS, (estimates.get(part.key) ?? part.priorMilliseconds) * factor))
    }
    while (estimates.size > MOST_PARTS) estimates.delete(estimates.keys().next().value ?? '')
  }

  return {
    follow (parts) {
      let mean = parts.reduce((sum, part) => sum + timeOf(part), 0)
      let deviation = mean / 2
      let floor = UNOBSERVED_STALL_TIMEOUT_MILLISECONDS
      return {
        record (milliseconds) {
          correct(parts, milliseconds)
          floor = STALL_TIMEOUT_FLOOR_MILLISECONDS
          deviation += PATH_GAIN * (Math.abs(milliseconds - mean) - deviation)
          mean += PATH_GAIN * (milliseconds - mean)
        },
        stallTimeout () {
          const wanted = STALL_MEANS * mean + STALL_DEVIATIONS * deviation
          return Math.min(STALL_TIMEOUT_CEILING_MILLISECONDS, Math.max(floor, wanted))
        }
      }
    },
    estimate: key => estimates.get(key)
  }
}
