/**
 * Experiment: goodput under overload, with callers that retry refused requests at once and engines that stall every few seconds.
 */
import { PREFIX_HIT_SAVING } from '../../engine/accelerator.js'
import { POLICIES, type PathPolicy } from '../baselines.js'
import { pause, runOnFakeClock } from '../clock.js'
import type { Experiment, ExperimentOptions } from '../experiment.js'
import { startFleet, type Fleet } from '../fleet.js'
import { hardwareBound } from '../hardware.js'
import { runLoad, type LoadResult } from '../load.js'

const REPORT_LAG_MILLISECONDS = 1000
const OFFERED_SHARES = [1, 1.5, 2]
const RETRIES = 3
const DEADLINE_MILLISECONDS = 4000
const STALL_INTERVAL_MILLISECONDS = 2500
const STALL_DURATION_MILLISECONDS = 700
const GOAL_GOODPUT_SHARE = 0.95

/** Compares the goodput of the policies. */
export const retryStormExperiment: Experiment = {
  summary: 'goodput at 100, 150 and 200 % offered load with retrying callers and stalling engines',
  async run (options) {
    const rows: Array<Array<string | number>> = []
    for (const [name, policy] of Object.entries(POLICIES)) {
      for (const offered of OFFERED_SHARES) {
        const result = await runOverload(options, policy, offered)
        rows.push([
          name, offered, result.completedPerSecond, result.refused, result.answer.getValueAtPercentile(95), result.wrong
        ])
      }
    }
    const goodput = (offered: number): number => Number(rows.find(row => row[0] === 'wigeonlead' && row[1] === offered)?.[2] ?? 0)
    const share = goodput(2) / goodput(1)
    return {
      columns: ['policy', 'offered share of bound', 'answers/s in time', 'refused', 'p95 whole answer ms', 'wrong'],
      rows,
      notes: [`goodput at 200 % over that at 100 %: ${share.toFixed(3)}; goal ${GOAL_GOODPUT_SHARE}: ${share >= GOAL_GOODPUT_SHARE ? 'met' : 'missed'}`],
      plot: {
        title: 'Goodput',
        unit: 'answers/s',
        groups: OFFERED_SHARES.map(offered => `${offered * 100} %`),
        series: Object.keys(POLICIES).map(name => ({ name, values: rows.filter(row => row[0] === name).map(row => Number(row[2])) }))
      }
    }
  }
}

function runOverload ({ seed, quick }: ExperimentOptions, policy: PathPolicy, offered: number): Promise<LoadResult> {
  return runOnFakeClock(async () => {
    const fleet = await startFleet({
      seed, reportLagMilliseconds: REPORT_LAG_MILLISECONDS, workspaces: ['repair-desk'], createPathChooser: policy
    })
    const durationMilliseconds = quick ? 7000 : 12_000
    void stallEnginesRepeatedly(fleet, durationMilliseconds)
    const result = await runLoad(fleet, {
      seed,
      workspace: 'repair-desk',
      requestsPerSecond: offered * hardwareBound(fleet.hardware, PREFIX_HIT_SAVING),
      warmUpMilliseconds: 4000,
      durationMilliseconds,
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      retries: RETRIES
    })
    fleet.stop()
    return result
  })
}

/** Stalls one engine after the other for a short time each. */
async function stallEnginesRepeatedly (fleet: Fleet, durationMilliseconds: number): Promise<void> {
  const endsAt = Date.now() + durationMilliseconds
  for (let round = 0; Date.now() < endsAt; round += 1) {
    await pause(STALL_INTERVAL_MILLISECONDS)
    const target = fleet.hardware[round * 7 % fleet.hardware.length]
    const faults = target === undefined ? undefined : fleet.engines.get(target.name)?.faults
    if (faults === undefined) continue
    faults.isStalled = true
    await pause(STALL_DURATION_MILLISECONDS)
    faults.isStalled = false
  }
}
