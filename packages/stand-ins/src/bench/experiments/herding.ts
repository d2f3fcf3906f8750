/**
 * Experiment: herding on stale load reports. Measures how unevenly the routers fill the targets when reports are 1 s and 5 s old.
 */
import { PREFIX_HIT_SAVING } from '../../engine/accelerator.js'
import { POLICIES, type PathPolicy } from '../baselines.js'
import { pause, runOnFakeClock } from '../clock.js'
import type { Experiment, ExperimentOptions } from '../experiment.js'
import { startFleet, type Fleet } from '../fleet.js'
import { hardwareBound } from '../hardware.js'
import { runLoad, type LoadResult } from '../load.js'

const REPORT_LAGS_MILLISECONDS = [1000, 5000]
const SHARE_OF_BOUND = 0.8
const ROUTERS_PER_DOMAIN = 3
const SAMPLE_INTERVAL_MILLISECONDS = 250
const WARM_UP_MILLISECONDS = 3000

/** Compares the policies by the share of samples in which a target has more sessions than its capacity, and by latency. */
export const herdingExperiment: Experiment = {
  summary: 'overloaded targets and latency at 80 % of the hardware bound with load reports 1 s and 5 s old',
  async run (options) {
    const rows: Array<Array<string | number>> = []
    for (const lagMilliseconds of REPORT_LAGS_MILLISECONDS) {
      for (const [name, policy] of Object.entries(POLICIES)) {
        const { result, overCapacityShare } = await measureHerding(options, policy, lagMilliseconds)
        rows.push([
          name, lagMilliseconds, result.completedPerSecond, overCapacityShare, result.firstToken.getValueAtPercentile(95),
          result.betweenTokens.getValueAtPercentile(95), result.betweenTokens.getValueAtPercentile(99), result.wrong
        ])
      }
    }
    const p95ByLag = rows.filter(row => row[0] === 'wigeonlead').map(row => Number(row[5]))
    return {
      columns: [
        'policy', 'report age ms', 'answers/s', 'share of samples over capacity', 'p95 first token ms', 'p95 between tokens ms',
        'p99 between tokens ms', 'wrong'
      ],
      rows,
      notes: [`p95 between tokens with reports 5 s old over 1 s old: ${((p95ByLag[1] ?? 0) / (p95ByLag[0] ?? 1)).toFixed(2)}`],
      plot: {
        title: 'Samples of targets over their capacity',
        unit: 'share',
        groups: REPORT_LAGS_MILLISECONDS.map(lag => `reports ${lag / 1000} s old`),
        series: Object.keys(POLICIES).map(name => ({ name, values: rows.filter(row => row[0] === name).map(row => Number(row[3])) }))
      }
    }
  }
}

function measureHerding (
  { seed, quick }: ExperimentOptions, policy: PathPolicy, reportLagMilliseconds: number
): Promise<{ result: LoadResult, overCapacityShare: number }> {
  return runOnFakeClock(async () => {
    const fleet = await startFleet({
      seed, reportLagMilliseconds, workspaces: ['repair-desk'], createPathChooser: policy, routersPerDomain: ROUTERS_PER_DOMAIN
    })
    const durationMilliseconds = quick ? 6000 : 12_000
    const sampling = sampleOverCapacityShare(fleet, durationMilliseconds)
    const result = await runLoad(fleet, {
      seed,
      workspace: 'repair-desk',
      requestsPerSecond: SHARE_OF_BOUND * hardwareBound(fleet.hardware, PREFIX_HIT_SAVING),
      warmUpMilliseconds: WARM_UP_MILLISECONDS,
      durationMilliseconds
    })
    fleet.stop()
    return { result, overCapacityShare: await sampling }
  })
}

/** @returns the share of samples in which a target has more sessions than its capacity. */
async function sampleOverCapacityShare (fleet: Fleet, durationMilliseconds: number): Promise<number> {
  const endsAt = Date.now() + durationMilliseconds
  let sampleCount = 0
  let overCapacityCount = 0
  await pause(WARM_UP_MILLISECONDS)
  while (Date.now() < endsAt) {
    for (const target of fleet.hardware) {
      sampleCount += 1
      if ((fleet.engines.get(target.name)?.sessions() ?? 0) > target.capacity) overCapacityCount += 1
    }
    await pause(SAMPLE_INTERVAL_MILLISECONDS)
  }
  return overCapacityCount / sampleCount
}
