/**
 * Experiment: whether a flood of requests from one workspace slows the others down.
 */
import { PREFIX_HIT_SAVING } from '../../engine/accelerator.js'
import { runOnFakeClock } from '../clock.js'
import type { Experiment, ExperimentOptions } from '../experiment.js'
import { startFleet } from '../fleet.js'
import { hardwareBound } from '../hardware.js'
import { runLoad, type LoadResult } from '../load.js'

const REPORT_LAG_MILLISECONDS = 1000
const QUIET_WORKSPACES = ['repair-desk', 'letters', 'trade-codes', 'complaints']
const FLOODING_WORKSPACE = 'flood'
/** Combined request rate of the quiet workspaces, as a share of the hardware bound. */
const QUIET_SHARE = 0.5
const FLOOD_SHARES = [0, 0.5, 2, 4]
const GOAL_FACTOR = 1.5

/** Measures the latency of four quiet workspaces while a fifth floods the fleet at increasing rates. */
export const noisyNeighbourExperiment: Experiment = {
  summary: 'p95 latency of quiet workspaces at half of the hardware bound while another workspace floods the fleet',
  async run (options) {
    const rows: number[][] = []
    for (const floodShare of FLOOD_SHARES) {
      const results = await runWithFlood(options, floodShare)
      const quiet = results.slice(0, QUIET_WORKSPACES.length)
      const worst = (read: (result: LoadResult) => number): number => Math.max(...quiet.map(read))
      const flooding = results[QUIET_WORKSPACES.length]
      rows.push([
        floodShare, worst(result => result.firstToken.getValueAtPercentile(95)), worst(result => result.answer.getValueAtPercentile(95)),
        worst(result => result.refused), flooding?.completedPerSecond ?? 0, flooding?.refused ?? 0,
        results.reduce((sum, result) => sum + result.wrong, 0)
      ])
    }
    const p95WithoutFlood = rows[0]?.[2] ?? 1
    const worstFactor = Math.max(...rows.map(row => (row[2] ?? 0) / p95WithoutFlood))
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
        groups: FLOOD_SHARES.map(floodShare => `flood ${floodShare * 100} %`),
        series: [{ name: 'quiet', values: rows.map(row => row[2] ?? 0) }]
      }
    }
  }
}

function runWithFlood ({ seed, quick }: ExperimentOptions, floodShare: number): Promise<LoadResult[]> {
  return runOnFakeClock(async () => {
    const fleet = await startFleet({
      seed, reportLagMilliseconds: REPORT_LAG_MILLISECONDS, workspaces: [...QUIET_WORKSPACES, FLOODING_WORKSPACE]
    })
    const bound = hardwareBound(fleet.hardware, PREFIX_HIT_SAVING)
    const common = { warmUpMilliseconds: 3000, durationMilliseconds: quick ? 6000 : 10_000 }
    const loads = QUIET_WORKSPACES.map((workspace, position) => runLoad(fleet, {
      ...common, seed: seed + position, workspace, requestsPerSecond: QUIET_SHARE * bound / QUIET_WORKSPACES.length
    }))
    if (floodShare > 0) {
      loads.push(runLoad(fleet, { ...common, seed: seed + 100, workspace: FLOODING_WORKSPACE, requestsPerSecond: floodShare * bound }))
    }
    const results = await Promise.all(loads)
    fleet.stop()
    return results
  })
}
