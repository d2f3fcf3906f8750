/**
 * Herding on stale load: how unevenly the routers fill the targets when reports are 1 s and 5 s old.
 */
import { PREFIX_HIT_SAVING } from '../../engine/accelerator.js'
import { POLICIES, type PathPolicy } from '../baselines.js'
import { pause, runAccelerated } from '../clock.js'
import type { Experiment, ExperimentOptions } from '../experiment.js'
import { startFleet, type Fleet } from '../fleet.js'
import { hardwareBound } from '../hardware.js'
import { runLoad, type LoadResult } from '../load.js'

const LAGS_MILLISECONDS = [1000, 5000]
const SHARE_OF_BOUND = 0.8
const ROUTERS_A_DOMAIN = 3
const SAMPLE_MILLISECONDS = 250
const WARM_UP_MILLISECONDS = 3000

/** The experiment. */
export const HERDING: Experiment = {
  summary: 'unevenness of the targets and latency at 80 % of the bound under reports 1 s and 5 s old',
  async run (options) {
    const rows: Array<Array<string | number>> = []
    for (const lag of LAGS_MILLISECONDS) {
      for (const [name, policy] of Object.entries(POLICIES)) {
        const { result, overfull } = await runWith(options, policy, lag)
        rows.push([
          name, lag, result.wholePerSecond, overfull, result.firstToken.getValueAtPercentile(95),
          result.betweenTokens.getValueAtPercentile(95), result.betweenTokens.getValueAtPercentile(99), result.wrong
        ])
      }
    }
    const own = rows.filter(row => row[0] === 'wigeonlead').map(row => Number(row[5]))
    return {
      columns: [
        'policy', 'report age ms', 'answers/s', 'share of samples over capacity', 'p95 first token ms', 'p95 between tokens ms',
        'p99 between tokens ms', 'wrong'
      ],
      rows,
      notes: [`p95 between tokens with reports 5 s old over 1 s old: ${((own[1] ?? 0) / (own[0] ?? 1)).toFixed(2)}`],
      plot: {
        title: 'Samples of targets over their capacity',
        unit: 'share',
        groups: LAGS_MILLISECONDS.map(lag => `reports ${lag / 1000} s old`),
        series: Object.keys(POLICIES).map(name => ({ name, values: rows.filter(row => row[0] === name).map(row => Number(row[3])) }))
      }
    }
  }
}

function runWith (
  { seed, quick }: ExperimentOptions, createPaths: PathPolicy, reportLagMilliseconds: number
): Promise<{ result: LoadResult, overfull: number }> {
  return runAccelerated(async () => {
    const fleet = await startFleet({
      seed, reportLagMilliseconds, workspaces: ['repair-desk'], createPaths, routersADomain: ROUTERS_A_DOMAIN
    })
    const durationMilliseconds = quick ? 6000 : 12_000
    const sampling = sampleOverfull(fleet, durationMilliseconds)
    const result = await runLoad(fleet, {
      seed,
      workspace: 'repair-desk',
      requestsPerSecond: SHARE_OF_BOUND * hardwareBound(fleet.hardware, PREFIX_HIT_SAVING),
      warmUpMilliseconds: WARM_UP_MILLISECONDS,
      durationMilliseconds
    })
    fleet.stop()
    return { result, overfull: await sampling }
  })
}

async function sampleOverfull (fleet: Fleet, durationMilliseconds: number): Promise<number> {
  const endsAt = Date.now() + durationMilliseconds
  let samples = 0
  let overfull = 0
  await pause(WARM_UP_MILLISECONDS)
  while (Date.now() < endsAt) {
    for (const target of fleet.hardware) {
      samples += 1
      if ((fleet.engines.get(target.name)?.sessions() ?? 0) > target.capacity) overfull += 1
    }
    await pause(SAMPLE_MILLISECONDS)
  }
  return overfull / samples
}
