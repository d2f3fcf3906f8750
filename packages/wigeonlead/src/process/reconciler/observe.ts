/**
 * Reads the reports of engines: in every pass for targets with pending orders, and every 10 s for the others.
 */
import type { EnginePort, EngineReport, ManifestTarget } from '@wigeonlead/protocol'

/** The observed state of the engines. */
export interface Observation {
  /** Returns the latest report of each target whose last read succeeded. */
  reports: () => ReadonlyMap<string, EngineReport>
  /** Reads the reports that are due. Targets named in `urgent` are always due. */
  refresh: (targets: readonly ManifestTarget[], urgent: ReadonlySet<string>) => Promise<void>
  /** Discards all reports. */
  clear: () => void
}

const REFRESH_INTERVAL_MILLISECONDS = 10_000
const REPORT_DEADLINE_MILLISECONDS = 1000
const MAXIMUM_CONCURRENT_CALLS = 32

/**
 * Creates an empty observation.
 * @param onReport called with each report that is read.
 */
export function createObservation (engines: EnginePort, onReport: (report: EngineReport) => void): Observation {
  const reports = new Map<string, EngineReport>()
  const readAt = new Map<string, number>()

  async function readReport (target: ManifestTarget): Promise<void> {
    readAt.set(target.name, performance.now())
    const outcome = await engines.report({ target: target.name, address: target.address }, REPORT_DEADLINE_MILLISECONDS)
    if (!outcome.ok) {
      reports.delete(target.name)
      return
    }
    reports.set(target.name, outcome.value)
    onReport(outcome.value)
  }

  return {
    reports: () => reports,
    async refresh (targets, urgent) {
      const now = performance.now()
      const due = targets.filter(({ name }) => urgent.has(name) || now - (readAt.get(name) ?? -Infinity) >= REFRESH_INTERVAL_MILLISECONDS)
      for (let start = 0; start < due.length; start += MAXIMUM_CONCURRENT_CALLS) {
        await Promise.all(due.slice(start, start + MAXIMUM_CONCURRENT_CALLS).map(readReport))
      }
    },
    clear () {
      reports.clear()
      readAt.clear()
    }
  }
}
