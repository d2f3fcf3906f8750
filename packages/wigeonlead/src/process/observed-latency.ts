/**
 * Recently observed latencies, which set the delay before a hedged request is sent.
 */
import { build, type Histogram } from 'hdr-histogram-js'

/** Recent latencies of the operations of services, by key. */
export interface ObservedLatency {
  record: (operation: string, milliseconds: number) => void
  /** @returns the 95th percentile, milliseconds; undefined while there are too few samples. */
  percentile95: (operation: string) => number | undefined
}

interface LatencyWindow {
  current: Histogram
  previous?: Histogram
}

const MINIMUM_SAMPLES = 20
const SAMPLES_PER_WINDOW = 500
const MICROSECONDS_PER_MILLISECOND = 1000

/** Creates an empty record. Each operation keeps its current window of samples and the previous one. */
export function createObservedLatency (): ObservedLatency {
  const windows = new Map<string, LatencyWindow>()
  return {
    record (operation, milliseconds) {
      const window = windows.get(operation) ?? { current: createHistogram() }
      windows.set(operation, window)
      window.current.recordValue(Math.max(0, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)))
      if (window.current.totalCount >= SAMPLES_PER_WINDOW) windows.set(operation, { current: createHistogram(), previous: window.current })
    },
    percentile95 (operation) {
      const window = windows.get(operation)
      const histogram = window === undefined || window.current.totalCount >= MINIMUM_SAMPLES ? window?.current : window.previous
      return histogram === undefined ? undefined : histogram.getValueAtPercentile(95) / MICROSECONDS_PER_MILLISECOND
    }
  }
}

function createHistogram (): Histogram {
  return build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2 })
}
