/**
 * Latencies observed lately, from which the moment for a hedged request is read.
 */
import { build, type Histogram } from 'hdr-histogram-js'

/** Latencies by resource. */
export interface ObservedLatency {
  record: (resource: string, milliseconds: number) => void
  /** @returns the 95th percentile in milliseconds; undefined while too few were observed. */
  percentile95: (resource: string) => number | undefined
}

interface Window {
  current: Histogram
  previous?: Histogram
}

const LEAST_SAMPLES = 20
const SAMPLES_OF_A_WINDOW = 500
const MICROSECONDS = 1000

/** Makes an empty record; each resource keeps its current window and the one before. */
export function createObservedLatency (): ObservedLatency {
  const windows = new Map<string, Window>()
  return {
    record (resource, milliseconds) {
      const window = windows.get(resource) ?? { current: createHistogram() }
      windows.set(resource, window)
      window.current.recordValue(Math.max(0, Math.round(milliseconds * MICROSECONDS)))
      if (window.current.totalCount >= SAMPLES_OF_A_WINDOW) windows.set(resource, { current: createHistogram(), previous: window.current })
    },
    percentile95 (resource) {
      const window = windows.get(resource)
      const histogram = window === undefined || window.current.totalCount >= LEAST_SAMPLES ? window?.current : window.previous
      return histogram === undefined ? undefined : histogram.getValueAtPercentile(95) / MICROSECONDS
    }
  }
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2 })
}
