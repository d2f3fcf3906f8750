/**
 * What one choice of a path costs, in microseconds, by the number of targets of the model.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { createPathChooser, type PathChooser, type PathPolicyParts, type PathQuery } from 'wigeonlead'
import type { Experiment } from '../experiment.js'
import { startFleet } from '../fleet.js'
import { createHardware, type HardwareTarget } from '../hardware.js'
import { runLoad } from '../load.js'

const REPORT_LAG_MILLISECONDS = 1000
const TARGETS = [28, 84, 504, 1512]
const CHOICES = 3000
const WARM_UP_CHOICES = 500

/** The experiment. */
export const CHOICE: Experiment = {
  summary: 'microseconds for one choice of a path, by the number of targets of the model',
  async run ({ seed }) {
    const rows: number[][] = []
    for (const targets of TARGETS) {
      const times = await runWith(seed, targets)
      rows.push([targets, times.getValueAtPercentile(50) / 1000, times.getValueAtPercentile(95) / 1000, times.mean / 1000])
    }
    return {
      columns: ['targets of the model', 'p50 microseconds', 'p95 microseconds', 'mean microseconds'],
      rows,
      notes: [],
      plot: {
        title: 'One choice of a path',
        unit: 'microseconds, mean',
        groups: TARGETS.map(targets => `${targets} targets`),
        series: [{ name: 'mean', values: rows.map(row => row[3] ?? 0) }]
      }
    }
  }
}

/** On the runtime's own clock, since a paused one makes each reading of the time slow. */
async function runWith (seed: number, targets: number): Promise<Histogram> {
  const times = build({ bitBucketSize: 32, numberOfSignificantValueDigits: 3 })
  const fleet = await startFleet({
    seed,
    reportLagMilliseconds: REPORT_LAG_MILLISECONDS,
    workspaces: ['repair-desk'],
    hardware: multiply(createHardware(REPORT_LAG_MILLISECONDS), targets),
    createPaths: parts => createTimedChooser(parts, times)
  })
  await runLoad(fleet, { seed, workspace: 'repair-desk', callers: 1, warmUpMilliseconds: 0, durationMilliseconds: 1000 })
  fleet.stop()
  return times
}

function createTimedChooser (parts: PathPolicyParts, times: Histogram): PathChooser {
  const own = createPathChooser(parts)
  return {
    ...own,
    choose (query) {
      if (times.totalCount === 0) timeChoices(own, query, times)
      return own.choose(query)
    }
  }
}

function timeChoices (own: PathChooser, query: PathQuery, times: Histogram): void {
  for (let choice = 0; choice < WARM_UP_CHOICES; choice += 1) own.choose(query)
  for (let choice = 0; choice < CHOICES; choice += 1) {
    const startedAt = process.hrtime.bigint()
    own.choose(query)
    times.recordValue(Number(process.hrtime.bigint() - startedAt))
  }
}

function multiply (hardware: HardwareTarget[], count: number): HardwareTarget[] {
  return Array.from({ length: count }, (_, position) => {
    const copy = Math.floor(position / hardware.length)
    const target = hardware[position % hardware.length]!
    return { ...target, name: `${target.name}-${copy}` }
  })
}
