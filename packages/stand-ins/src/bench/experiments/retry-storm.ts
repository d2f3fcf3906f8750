/**
 * Goodput under overload from callers that repeat refused requests at once, while engines fail now and then.
 */
import { PREFIX_HIT_SAVING } from '../../engine/accelerator.js'
import { POLICIES, type PathPolicy } from '../baselines.js'
import { pause, runAccelerated } from '../clock.js'
import type { Experiment, ExperimentOptions } from '../experiment.js'
import { startFleet, type Fleet } from '../fleet.js'
import { hardwareBound } from '../hardware.js'
import { runLoad, type LoadResult } from '../load.js'

const REPORT_LAG_MILLISECONDS = 1000
const OFFERED = [1, 1.5, 2]
const REPEATS = 3
const DEADLINE_MILLISECONDS = 4000
const PAUSE_BETWEEN_STALLS_MILLISECONDS = 2500
const STALL_MILLISECONDS = 700
const GOAL = 0.95

/** The experiment. */
export const RETRY_STORM: Experiment = {
  summary: 'goodput at 100, 150 and 200 % offered load with repeating callers and stalling engines',
  async run (options) {
    const rows: Array<Array<string | number>> = []
    for (const [name, policy] of Object.entries(POLICIES)) {
      for (const offered of OFFERED) {
        const result = await runWith(options, policy, offered)
        rows.push([
          name, offered, result.wholePerSecond, result.refused, result.answer.getValueAtPercentile(95), result.wrong
        ])
      }
    }
    const goodput = (offered: number): number => Number(rows.find(row => row[0] === 'wigeonlead' && row[1] === offered)?.[2] ?? 0)
    const share = goodput(2) / goodput(1)
    return {
      columns: ['policy', 'offered share of bound', 'answers/s in time', 'refused', 'p95 whole answer ms', 'wrong'],
      rows,
      notes: [`goodput at 200 % over that at 100 %: ${share.toFixed(3)}; goal ${GOAL}: ${share >= GOAL ? 'met' : 'missed'}`],
      plot: {
        title: 'Goodput',
        unit: 'answers/s',
        groups: OFFERED.map(offered => `${offered * 100} %`),
        series: Object.keys(POLICIES).map(name => ({ name, values: rows.filter(row => row[0] === name).map(row => Number(row[2])) }))
      }
    }
  }
}

function runWith ({ seed, quick }: ExperimentOptions, createPaths: PathPolicy, offered: number): Promise<LoadResult> {
  return runAccelerated(async () => {
    const fleet = await startFleet({ seed, reportLagMilliseconds: REPORT_LAG_MILLISECONDS, workspaces: ['repair-desk'], createPaths })
    const durationMilliseconds = quick ? 7000 : 12_000
    void stallNowAndThen(fleet, durationMilliseconds)
    const result = await runLoad(fleet, {
      seed,
      workspace: 'repair-desk',
      requestsPerSecond: offered * hardwareBound(fleet.hardware, PREFIX_HIT_SAVING),
      warmUpMilliseconds: 4000,
      durationMilliseconds,
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      repeats: REPEATS
    })
    fleet.stop()
    return result
  })
}

async function stallNowAndThen (fleet: Fleet, durationMilliseconds: number): Promise<void> {
  const endsAt = Date.now() + durationMilliseconds
  for (let turn = 0; Date.now() < endsAt; turn += 1) {
    await pause(PAUSE_BETWEEN_STALLS_MILLISECONDS)
    const target = fleet.hardware[turn * 7 % fleet.hardware.length]
    const faults = target === undefined ? undefined : fleet.engines.get(target.name)?.faults
    if (faults === undefined) continue
    faults.isStalled = true
    await pause(STALL_MILLISECONDS)
    faults.isStalled = false
  }
}
