/**
 * Reports the mean interval between the events of one stream, once every few events.
 */

/** Follows the events of one stream. */
export interface IntervalReports {
  /**
   * Counts the events that have arrived.
   * @param lastEvent number of the last event; undefined for events without numbers, which are not reported.
   */
  record: (lastEvent: number | undefined) => void
}

/** Number of events between two reports: enough to average the passes of an engine, and a fraction of a usual answer. */
const EVENTS_PER_REPORT = 8

/** @param report called with the mean interval since the previous report, milliseconds. */
export function createIntervalReports (report: (milliseconds: number) => void): IntervalReports {
  let start: { event: number, at: number } | undefined
  let previousEvent: number | undefined
  return {
    record (lastEvent) {
      if (lastEvent === undefined) return
      // The same event once more: the caller, and not the engine, held the stream up.
      const wasHeldUp = lastEvent === previousEvent
      previousEvent = lastEvent
      if (start !== undefined && !wasHeldUp && lastEvent - start.event < EVENTS_PER_REPORT) return
      const at = performance.now()
      if (start !== undefined && !wasHeldUp) report((at - start.at) / (lastEvent - start.event))
      start = { event: lastEvent, at }
    }
  }
}
