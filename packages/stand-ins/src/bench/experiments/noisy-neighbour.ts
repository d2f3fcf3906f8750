/**
 * Whether a flood from one workspace slows the others down.
 */
import { PREFIX_HIT_SAVING } from '../../engine/accelerator.js'
import { runAccelerated } from '../clock.js'
import type { Experiment, ExperimentOptions } from '../experiment.js'
import { startFleet } from '../fleet.js'
import { hardwareBound } from '../hardware.js'
import { runLoad, type LoadResult } from '../load.js'

const REPORT_LAG_MILLISECONDS = 1000
const QUIET_WORKSPACES = ['repair-desk', 'letters', 'trade-codes', 'complaints']
const FLOODING_WORKSPACE = 'flood'
/** What the quiet workspaces ask for together, as a share of the bound. */
const QUIET_SHARE = 0.5
const FLOODS = [0, 0.5, 2, 4]
const GOAL_FACTOR = 1.5

/** The experiment. */
export const NOISY_NEIGHBOUR: Experiment = {
  summary: 'p95 of quiet workspaces at half of the bound while another one floods',
  async run (options) {
    const rows: number[][] = []
    for (const flood of FLOODS) {
      const results = await runWith(options, flood)
      const quiet = results.slice(0, QUIET_WORKSPACES.length)
      const worst = (of: (result: LoadResult) => number): number => Math.max(...quiet.map(of))
      const flooding = results[QUIET_WORKSPACES.length]
      rows.push([
        flood, worst(result => result.firstToken.getValueAtPercentile(95)), worst(result => result.answer.getValueAtPercentile(95)),
        worst(result => result.refused), flooding?.wholePerSecond ?? 0, flooding?.refused ?? 0,
        results.reduce((sum, result) => sum + result.wrong, 0)
      ])
    }
    const quietFigure = rows[0]?.[2] ?? 1
    const worstFactor = Math.max(...rows.map(row => (row[2] ?? 0) / quietFigure))
    return {
      columns: [
        'flood as share of bound', 'quiet p95 first token ms', 'quiet p95 whole answer ms', 'quiet refused', 'flood answers/s',
        'flood refused', 'wrong'
      ],
      rows,
      notes: [`p95 whole answer of quiet workspaces at worst ${worstFactor.toFixed(2)} times the quiet figure; goal ${GOAL_FACTOR}: ${worstFactor <= GOAL_FACTOR ? 'met' : 'missed'}`],
      plot: {
        title: 'p95 whole answer of quiet workspaces',
        unit: 'ms',
        groups: FLOODS.map(flood => `flood ${flood * 100} %`),
        series: [{ name: 'quiet', values: rows.map(row => row[2] ?? 0) }]
      }
    }
  }
}

function runWith ({ seed, quick }: ExperimentOptions, flood: number): Promise<LoadResult[]> {
  return runAccelerated(async () => {
    const fleet = await startFleet({
      seed, reportLagMilliseconds: REPORT_LAG_MILLISECONDS, workspaces: [...QUIET_WORKSPACES, FLOODING_WORKSPACE]
    })
    const bound = hardwareBound(fleet.hardware, PREFIX_HIT_SAVING)
    const common = { warmUpMilliseconds: 3000, durationMilliseconds: quick ? 6000 : 10_000 }
    const loads = QUIET_WORKSPACES.map((workspace, position) => runLoad(fleet, {
      ...common, seed: seed + position, workspace, requestsPerSecond: QUIET_SHARE * bound / QUIET_WORKSPACES.length
    }))
    if (flood > 0) {
      loads.push(runLoad(fleet, { ...common, seed: seed + 100, workspace: FLOODING_WORKSPACE, requestsPerSecond: flood * bound }))
    }
    const results = await Promise.all(loads)
    fleet.stop()
    return results
  })
}
