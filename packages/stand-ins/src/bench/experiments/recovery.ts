/**
 * Experiment: time from the death, stall or slowdown of a stage, or from the slowdown of a link, to the next token that reaches the caller.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { PREFIX_HIT_SAVING } from '../../engine/accelerator.js'
import { POLICIES, type PathPolicy } from '../baselines.js'
import { pause, runOnFakeClock } from '../clock.js'
import type { Experiment, ExperimentOptions } from '../experiment.js'
import { startFleet, type Fleet } from '../fleet.js'
import { hardwareBound } from '../hardware.js'
import { runLoad } from '../load.js'

const REPORT_LAG_MILLISECONDS = 1000
const SHARE_OF_BOUND = 0.5
const WARM_UP_MILLISECONDS = 3000
const FAULT_DURATION_MILLISECONDS = 2500
/** Shortest pause between two tokens that is counted as caused by the fault. */
const MINIMUM_FAULT_PAUSE_MILLISECONDS = 60

interface Fault {
  /** Goal for the 95th percentile of the pause, without the time of the repeated prefill. */
  goalMilliseconds?: number
  /** Injects the fault; the round selects the targets. @returns a function that ends the fault. */
  inject: (fleet: Fleet, round: number) => () => void
}

const FAULTS: Record<string, Fault> = {
  'death of a stage': { goalMilliseconds: 500, inject: (fleet, round) => injectEngineFault(fleet, [round * 5], faults => { faults.isDead = true }) },
  'death of two stages': {
    goalMilliseconds: 500,
    inject: (fleet, round) => injectEngineFault(fleet, [round * 5, round * 5 + 9], faults => { faults.isDead = true })
  },
  'stall of a stage': { goalMilliseconds: 1000, inject: (fleet, round) => injectEngineFault(fleet, [round * 5], faults => { faults.isStalled = true }) },
  'tenfold slower stage': { inject: (fleet, round) => injectEngineFault(fleet, [round * 5], faults => { faults.slowdown = 10 }) },
  'degraded link': { inject: fleet => degradeLink(fleet) }
}

/** Compares the recovery times of the policies after each kind of fault. */
export const recoveryExperiment: Experiment = {
  summary: 'time from the fault of a stage or link to the next delivered token, at half of the hardware bound',
  async run (options) {
    const rows: Array<Array<string | number>> = []
    const notes: string[] = []
    for (const [name, policy] of Object.entries(POLICIES)) {
      const { faultFreeFirstTokenMilliseconds, results } = await runAllFaults(options, policy)
      for (const [faultName, { goalMilliseconds }] of Object.entries(FAULTS)) {
        const { pauses, refused, wrong } = results.get(faultName) ?? createEmptyResult()
        const [p50, p95] = [50, 95].map(percentile =>
          pauses.totalCount > 0 ? pauses.getValueAtPercentile(percentile) : 0) as [number, number]
        rows.push([faultName, name, pauses.totalCount, p50, p95, faultFreeFirstTokenMilliseconds, refused, wrong])
        if (name !== 'wigeonlead' || goalMilliseconds === undefined) continue
        const goal = `p95 within ${goalMilliseconds} ms plus the prefill of ${faultFreeFirstTokenMilliseconds} ms`
        notes.push(`goal for ${faultName}: ${goal}: ${p95 <= goalMilliseconds + faultFreeFirstTokenMilliseconds ? 'met' : 'missed'}`)
      }
    }
    return {
      columns: [
        'fault', 'policy', 'answers held up', 'p50 pause ms', 'p95 pause ms', 'p95 first token ms without fault', 'refused', 'wrong'
      ],
      rows,
      notes,
      plot: {
        title: 'p95 pause between tokens at a fault',
        unit: 'ms',
        groups: Object.keys(FAULTS),
        series: Object.keys(POLICIES).map(name => ({ name, values: rows.filter(row => row[1] === name).map(row => Number(row[4])) }))
      }
    }
  }
}

interface FaultResult {
  pauses: Histogram
  refused: number
  wrong: number
}

function createEmptyResult (): FaultResult {
  return { pauses: build({ bitBucketSize: 32, numberOfSignificantValueDigits: 3 }), refused: 0, wrong: 0 }
}

/** Runs one fleet through all kinds of faults, one after the other. */
function runAllFaults (
  { seed, quick }: ExperimentOptions, policy: PathPolicy
): Promise<{ faultFreeFirstTokenMilliseconds: number, results: Map<string, FaultResult> }> {
  return runOnFakeClock(async () => {
    const fleet = await startFleet({
      seed, reportLagMilliseconds: REPORT_LAG_MILLISECONDS, workspaces: ['repair-desk'], createPathChooser: policy
    })
    const load = { seed, workspace: 'repair-desk', requestsPerSecond: SHARE_OF_BOUND * hardwareBound(fleet.hardware, PREFIX_HIT_SAVING) }
    const faultFreeDurationMilliseconds = WARM_UP_MILLISECONDS + 2000
    const faultFreeResult = await runLoad(fleet, {
      ...load, warmUpMilliseconds: WARM_UP_MILLISECONDS, durationMilliseconds: faultFreeDurationMilliseconds
    })
    const durationMilliseconds = quick ? 6000 : 15_000
    const results = new Map<string, FaultResult>()
    for (const [name, fault] of Object.entries(FAULTS)) {
      const injection = repeatFault(fleet, fault, durationMilliseconds)
      const faultLoad = { ...load, seed: seed + results.size + 1, warmUpMilliseconds: 0, durationMilliseconds }
      const { longestGaps, refused, wrong } = await runLoad(fleet, faultLoad)
      await injection
      const result = { ...createEmptyResult(), refused, wrong }
      for (const gap of longestGaps) if (gap >= MINIMUM_FAULT_PAUSE_MILLISECONDS) result.pauses.recordValue(gap)
      results.set(name, result)
    }
    fleet.stop()
    return { faultFreeFirstTokenMilliseconds: faultFreeResult.firstToken.getValueAtPercentile(95), results }
  })
}

/** Injects a fault again and again, each time for a fixed duration. */
async function repeatFault (fleet: Fleet, fault: Fault, durationMilliseconds: number): Promise<void> {
  const endsAt = Date.now() + durationMilliseconds
  await pause(1000)
  for (let round = 0; Date.now() < endsAt; round += 1) {
    const endFault = fault.inject(fleet, round)
    await pause(FAULT_DURATION_MILLISECONDS)
    endFault()
  }
}

type EngineFaults = NonNullable<ReturnType<Fleet['engines']['get']>>['faults']

function injectEngineFault (fleet: Fleet, positions: number[], apply: (faults: EngineFaults) => void): () => void {
  const targets = positions.map(position => fleet.hardware[position % fleet.hardware.length]?.name ?? '')
  const faults = targets.flatMap(target => fleet.engines.get(target)?.faults ?? [])
  for (const engineFaults of faults) apply(engineFaults)
  return () => { for (const engineFaults of faults) Object.assign(engineFaults, { isDead: false, isStalled: false, slowdown: 1 }) }
}

const DEGRADED_FACTOR = 100

function degradeLink (fleet: Fleet): () => void {
  fleet.setLinkDelayFactor('howrah', 'salt-lake', DEGRADED_FACTOR)
  return () => fleet.setLinkDelayFactor('howrah', 'salt-lake', 1)
}
