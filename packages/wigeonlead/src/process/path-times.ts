/**
 * Estimates the time per token of targets and links from the time between tokens on whole paths. Only whole paths can be
 * observed, so the error of each prediction is spread over a path's components in proportion to their estimates. A slow
 * component is slow on all of its paths, while the other components of these paths are corrected by their other paths.
 */

/** One component of a path: a target or a link. */
export interface PathComponent {
  key: string
  /** Estimate before the first observation, milliseconds per token. */
  priorMilliseconds: number
  /** How often each token passes the component; 1 by default. */
  traversals?: number
}

/** Observes the times of one path while one epoch runs along it. */
export interface PathObserver {
  /** Records the time between two tokens, milliseconds. */
  record: (milliseconds: number) => void
  /** @returns how long to wait for the next token before the path counts as stalled, milliseconds. */
  stallTimeout: () => number
}

/** Estimated times of targets and links. */
export interface PathTimes {
  /** Creates an observer for an epoch that begins on a path. */
  observePath: (components: PathComponent[]) => PathObserver
  /** @returns the estimate of one component, milliseconds per token; undefined before the first observation. */
  estimate: (key: string) => number | undefined
}

/** Minimum timeout for the next token, milliseconds. */
export const STALL_TIMEOUT_FLOOR_MILLISECONDS = 200
/** Maximum timeout for the next token, milliseconds. */
export const STALL_TIMEOUT_CEILING_MILLISECONDS = 5000
/** Timeout on a path with a component that was never observed, until the first observation on the path, milliseconds. */
const DEFAULT_TIMEOUT_MILLISECONDS = 1000
const STALL_MEAN_MULTIPLE = 4
const STALL_DEVIATION_MULTIPLE = 8
/** Minimum weight of one observation in a component's estimate; the weight of the first ones is higher. */
const MINIMUM_COMPONENT_GAIN = 0.05
/** Upper bound of the relative error of a prediction that corrects an estimate. */
const MAXIMUM_ERROR = 4
/** Upper bound of the relative error that corrects an estimate with fewer than EARLY_SAMPLES samples. */
const MAXIMUM_EARLY_ERROR = 16
/** Minimum factor by which one observation changes an estimate: a short gap proves little, since the second token may have been waiting. */
const MINIMUM_CORRECTION_FACTOR = 0.8
/** An estimate with fewer samples than this consists mostly of the prior, so one observation may change it more. */
const EARLY_SAMPLES = 10
/** Weight of one observation in the moving averages of a path. */
const PATH_GAIN = 0.125
const MINIMUM_ESTIMATE_MILLISECONDS = 0.01
const MAXIMUM_ESTIMATES = 20_000

interface Estimate {
  milliseconds: number
  samples: number
}

/** Creates estimates without observations. */
export function createPathTimes (): PathTimes {
  const estimates = new Map<string, Estimate>()

  function estimatedTime (component: PathComponent): number {
    return (estimates.get(component.key)?.milliseconds ?? component.priorMilliseconds) * (component.traversals ?? 1)
  }

  function correct (components: PathComponent[], milliseconds: number): void {
    const predicted = components.reduce((sum, component) => sum + estimatedTime(component), 0)
    const error = (milliseconds - predicted) / predicted
    for (const component of components) {
      const { milliseconds: previous, samples } = estimates.get(component.key) ?? { milliseconds: component.priorMilliseconds, samples: 0 }
      const gain = Math.max(MINIMUM_COMPONENT_GAIN, 1 / (samples + 1))
      const maximumError = samples < EARLY_SAMPLES ? MAXIMUM_EARLY_ERROR : MAXIMUM_ERROR
      const factor = Math.max(MINIMUM_CORRECTION_FACTOR, 1 + gain * Math.min(maximumError, error))
      estimates.set(component.key, { milliseconds: Math.max(MINIMUM_ESTIMATE_MILLISECONDS, previous * factor), samples: samples + 1 })
    }
    while (estimates.size > MAXIMUM_ESTIMATES) estimates.delete(estimates.keys().next().value ?? '')
  }

  return {
    observePath (components) {
      let mean = components.reduce((sum, component) => sum + estimatedTime(component), 0)
      let deviation = mean / 2
      let isObserved = components.every(component => estimates.has(component.key))
      return {
        record (milliseconds) {
          correct(components, milliseconds)
          const gain = isObserved ? PATH_GAIN : 1
          isObserved = true
          deviation += gain * (Math.abs(milliseconds - mean) / (gain === 1 ? 2 : 1) - deviation)
          mean += gain * (milliseconds - mean)
        },
        stallTimeout () {
          const timeout = isObserved ? STALL_MEAN_MULTIPLE * mean + STALL_DEVIATION_MULTIPLE * deviation : DEFAULT_TIMEOUT_MILLISECONDS
          return Math.min(STALL_TIMEOUT_CEILING_MILLISECONDS, Math.max(STALL_TIMEOUT_FLOOR_MILLISECONDS, timeout))
        }
      }
    },
    estimate: key => estimates.get(key)?.milliseconds
  }
}
