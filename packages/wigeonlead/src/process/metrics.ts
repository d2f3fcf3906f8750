/**
 * Metrics of one process: counters, gauges and latency histograms, rendered in the Prometheus text format.
 */
import { build, type Histogram } from 'hdr-histogram-js'

/** Labels of one series. */
export type MetricLabels = Record<string, string>

/** Records counters, gauges and histograms. */
export interface Metrics {
  count: (name: string, labels?: MetricLabels, amount?: number) => void
  /** Records a duration in milliseconds. */
  observe: (name: string, milliseconds: number, labels?: MetricLabels) => void
  /** Registers a gauge; `read` is called for its value each time the metrics are rendered. */
  gauge: (name: string, read: () => number, labels?: MetricLabels) => void
  /** @returns all metrics in the Prometheus text format. */
  render: () => string
}

const PERCENTILES = [50, 90, 95, 99]

/** Creates metrics without series. */
export function createMetrics (): Metrics {
  const counters = new Map<string, number>()
  const histograms = new Map<string, { name: string, labels: MetricLabels, histogram: Histogram, sum: number }>()
  const gauges = new Map<string, () => number>()

  return {
    count (name, labels = {}, amount = 1) {
      const key = name + renderLabels(labels)
      counters.set(key, (counters.get(key) ?? 0) + amount)
    },
    observe (name, milliseconds, labels = {}) {
      const key = name + renderLabels(labels)
      let series = histograms.get(key)
      if (series === undefined) {
        series = { name, labels, histogram: build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2 }), sum: 0 }
        histograms.set(key, series)
      }
      series.histogram.recordValue(Math.max(0, Math.round(milliseconds * 1000)))
      series.sum += milliseconds
    },
    gauge (name, read, labels = {}) {
      gauges.set(name + renderLabels(labels), read)
    },
    render () {
      const lines = [...counters].map(([key, value]) => `wigeonlead_${key} ${value}`)
      for (const [name, read] of gauges) lines.push(`wigeonlead_${name} ${read()}`)
      for (const { name, labels, histogram, sum } of histograms.values()) {
        for (const percentile of PERCENTILES) {
          const value = histogram.getValueAtPercentile(percentile) / 1_000_000
          lines.push(`wigeonlead_${name}_seconds${renderLabels({ ...labels, quantile: String(percentile / 100) })} ${value}`)
        }
        lines.push(`wigeonlead_${name}_seconds_sum${renderLabels(labels)} ${sum / 1000}`)
        lines.push(`wigeonlead_${name}_seconds_count${renderLabels(labels)} ${histogram.totalCount}`)
      }
      return lines.join('\n') + '\n'
    }
  }
}

function renderLabels (labels: MetricLabels): string {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`)
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`
}
