/**
 * Reads the reports of a failure domain's engines: often where something is left to order, seldom elsewhere.
 */
import type { EnginePort, EngineReport, ManifestTarget } from '@wigeonlead/protocol'

/** The observed state of engines. */
export interface Observation {
  /** Latest reports of the targets that answered last time. */
  reports: () => ReadonlyMap<string, EngineReport>
  /** Reads those reports that are due. `urgent` names targets that are due at once. */
  refresh: (targets: readonly ManifestTarget[], urgent: ReadonlySet<string>) => Promise<void>
  /** Forgets everything. */
  clear: () => void
}

const STEADY_INTERVAL_MILLISECONDS = 10_000
const REPORT_DEADLINE_MILLISECONDS = 1000
const CALLS_AT_ONCE = 32

/**
 * Makes an empty observation.
 * @param onReport is told of each report.
 */
export function createObservation (engines: EnginePort, onReport: (report: EngineReport) => void): Observation {
  const reports = new Map<string, EngineReport>()
  const readAt = new Map<string, number>()

  async function read (target: ManifestTarget): Promise<void> {
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
      const due = targets.filter(({ name }) => urgent.has(name) || now - (readAt.get(name) ?? -Infinity) >= STEADY_INTERVAL_MILLISECONDS)
      for (let start = 0; start < due.length; start += CALLS_AT_ONCE) {
        await Promise.all(due.slice(start, start + CALLS_AT_ONCE).map(read))
      }
    },
    clear () {
      reports.clear()
      readAt.clear()
    }
  }
}
