/**
 * Experiment: time to the first token and between tokens under open-loop load at several shares of the hardware bound.
 */
import { PREFIX_HIT_SAVING } from '../../engine/accelerator.js'
import { POLICIES, type PathPolicy } from '../baselines.js'
import { runOnFakeClock } from '../clock.js'
import type { Experiment, ExperimentOptions } from '../experiment.js'
import { startFleet } from '../fleet.js'
import { hardwareBound } from '../hardware.js'
import { runLoad, type LoadResult } from '../load.js'

const REPORT_LAG_MILLISECONDS = 1000
const SHARES_OF_BOUND = [0.5, 0.8, 0.95, 1.1]
const GOAL_SHARE = 0.8
const GOAL_FIRST_TOKEN_MILLISECONDS = 1900
const GOAL_BETWEEN_TOKENS_MILLISECONDS = 26

/** Compares the latency of the policies. */
export const latencyExperiment: Experiment = {
  summary: 'time to the first token and between tokens at 50, 80, 95 and 110 % of the hardware bound',
  async run (options) {
    const rows: Array<Array<string | number>> = []
    for (const share of SHARES_OF_BOUND) {
      for (const [name, policy] of Object.entries(POLICIES)) {
        const result = await runAtShare(options, policy, share)
        rows.push([
          name, share, result.completedPerSecond, result.firstToken.getValueAtPercentile(50), result.firstToken.getValueAtPercentile(95),
          result.betweenTokens.getValueAtPercentile(50), result.betweenTokens.getValueAtPercentile(95), result.refused, result.wrong
        ])
      }
    }
    const goalRow = rows.find(row => row[0] === 'wigeonlead' && row[1] === GOAL_SHARE) ?? []
    return {
      columns: [
        'policy', 'share of bound', 'answers/s', 'p50 first token ms', 'p95 first token ms', 'p50 between tokens ms',
        'p95 between tokens ms', 'refused', 'wrong'
      ],
      rows,
      notes: [
        `goal at 80 %: p95 first token under ${GOAL_FIRST_TOKEN_MILLISECONDS} ms: ${Number(goalRow[4]) < GOAL_FIRST_TOKEN_MILLISECONDS ? 'met' : 'missed'}`,
        `goal at 80 %: p95 between tokens under ${GOAL_BETWEEN_TOKENS_MILLISECONDS} ms: ${Number(goalRow[6]) < GOAL_BETWEEN_TOKENS_MILLISECONDS ? 'met' : 'missed'}`
      ],
      plot: {
        title: 'p95 between tokens by share of the bound',
        unit: 'ms',
        groups: SHARES_OF_BOUND.map(share => `${share * 100} %`),
        series: Object.keys(POLICIES).map(name => ({ name, values: rows.filter(row => row[0] === name).map(row => Number(row[6])) }))
      }
    }
  }
}

function runAtShare ({ seed, quick }: ExperimentOptions, policy: PathPolicy, share: number): Promise<LoadResult> {
  return runOnFakeClock(async () => {
    const fleet = await startFleet({
      seed, reportLagMilliseconds: REPORT_LAG_MILLISECONDS, workspaces: ['repair-desk'], createPathChooser: policy
    })
    const result = await runLoad(fleet, {
      seed,
      workspace: 'repair-desk',
      requestsPerSecond: share * hardwareBound(fleet.hardware, PREFIX_HIT_SAVING),
      warmUpMilliseconds: 3000,
      durationMilliseconds: quick ? 6000 : 10_000
    })
    fleet.stop()
    return result
  })
}
