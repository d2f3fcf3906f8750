/**
 * Experiment: how long one path choice takes, by the number of targets of the model.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { createPathChooser, type PathChooser, type PathPolicyDependencies, type PathQuery } from 'wigeonlead'
import type { Experiment } from '../experiment.js'
import { startFleet } from '../fleet.js'
import { createHardware, type HardwareTarget } from '../hardware.js'
import { runLoad } from '../load.js'

const REPORT_LAG_MILLISECONDS = 1000
const TARGET_COUNTS = [28, 84, 504, 1512]
const TIMED_CHOICES = 3000
const WARM_UP_CHOICES = 500

/** Measures the time of path choices for models of 28 to 1512 targets. */
export const choiceExperiment: Experiment = {
  summary: 'microseconds per path choice, by the number of targets of the model',
  async run ({ seed }) {
    const rows: number[][] = []
    for (const targetCount of TARGET_COUNTS) {
      const times = await timePathChoices(seed, targetCount)
      rows.push([targetCount, times.getValueAtPercentile(50) / 1000, times.getValueAtPercentile(95) / 1000, times.mean / 1000])
    }
    return {
      columns: ['targets of the model', 'p50 microseconds', 'p95 microseconds', 'mean microseconds'],
      rows,
      notes: [],
      plot: {
        title: 'One choice of a path',
        unit: 'microseconds, mean',
        groups: TARGET_COUNTS.map(targetCount => `${targetCount} targets`),
        series: [{ name: 'mean', values: rows.map(row => row[3] ?? 0) }]
      }
    }
  }
}

/** Times path choices in a running fleet. Uses the real clock, since every reading of the fake clock is slow. */
async function timePathChoices (seed: number, targetCount: number): Promise<Histogram> {
  const times = build({ bitBucketSize: 32, numberOfSignificantValueDigits: 3 })
  const fleet = await startFleet({
    seed,
    reportLagMilliseconds: REPORT_LAG_MILLISECONDS,
    workspaces: ['repair-desk'],
    hardware: repeatHardware(createHardware(REPORT_LAG_MILLISECONDS), targetCount),
    createPathChooser: dependencies => createTimedChooser(dependencies, times)
  })
  await runLoad(fleet, { seed, workspace: 'repair-desk', callers: 1, warmUpMilliseconds: 0, durationMilliseconds: 1000 })
  fleet.stop()
  return times
}

/** Creates a chooser that times repeated choices for the first query that it gets. */
function createTimedChooser (dependencies: PathPolicyDependencies, times: Histogram): PathChooser {
  const routerChooser = createPathChooser(dependencies)
  return {
    ...routerChooser,
    choose (query) {
      if (times.totalCount === 0) timeChoices(routerChooser, query, times)
      return routerChooser.choose(query)
    }
  }
}

function timeChoices (chooser: PathChooser, query: PathQuery, times: Histogram): void {
  for (let choice = 0; choice < WARM_UP_CHOICES; choice += 1) chooser.choose(query)
  for (let choice = 0; choice < TIMED_CHOICES; choice += 1) {
    const startedAt = process.hrtime.bigint()
    chooser.choose(query)
    times.recordValue(Number(process.hrtime.bigint() - startedAt))
  }
}

/** @returns `count` targets, which are copies of the given ones with different names. */
function repeatHardware (hardware: HardwareTarget[], count: number): HardwareTarget[] {
  return Array.from({ length: count }, (_, position) => {
    const copy = Math.floor(position / hardware.length)
    const target = hardware[position % hardware.length]!
    return { ...target, name: `${target.name}-${copy}` }
  })
}
