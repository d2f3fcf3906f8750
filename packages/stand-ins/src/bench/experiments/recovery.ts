/**
 * From a stage's death, stall, slowing down or degraded link to the next token that reaches the caller.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { PREFIX_HIT_SAVING } from '../../engine/accelerator.js'
import { POLICIES, type PathPolicy } from '../baselines.js'
import { pause, runAccelerated } from '../clock.js'
import type { Experiment, ExperimentOptions } from '../experiment.js'
import { startFleet, type Fleet } from '../fleet.js'
import { hardwareBound } from '../hardware.js'
import { runLoad } from '../load.js'

const REPORT_LAG_MILLISECONDS = 1000
const SHARE_OF_BOUND = 0.5
const WARM_UP_MILLISECONDS = 3000
const HEAL_MILLISECONDS = 2500
/** A pause this long between two tokens is taken as the fault's, milliseconds. */
const LEAST_PAUSE_MILLISECONDS = 60

interface Fault {
  /** Goal for the 95th percentile, apart from the time of the new prefill, milliseconds. */
  goalMilliseconds?: number
  begin: (fleet: Fleet, turn: number) => () => void
}

const FAULTS: Record<string, Fault> = {
  'death of a stage': { goalMilliseconds: 500, begin: (fleet, turn) => change(fleet, [turn * 5], faults => { faults.isDead = true }) },
  'death of two stages': {
    goalMilliseconds: 500,
    begin: (fleet, turn) => change(fleet, [turn * 5, turn * 5 + 9], faults => { faults.isDead = true })
  },
  'stall of a stage': { goalMilliseconds: 1000, begin: (fleet, turn) => change(fleet, [turn * 5], faults => { faults.isStalled = true }) },
  'tenfold slower stage': { begin: (fleet, turn) => change(fleet, [turn * 5], faults => { faults.slowdown = 10 }) },
  'degraded link': { begin: fleet => degradeLink(fleet) }
}

/** The experiment. */
export const RECOVERY: Experiment = {
  summary: 'time from a fault of a stage or link to the next token delivered, at half of the bound',
  async run (options) {
    const rows: Array<Array<string | number>> = []
    const notes: string[] = []
    for (const [name, policy] of Object.entries(POLICIES)) {
      const { prefill, results } = await runWith(options, policy)
      for (const [faultName, { goalMilliseconds }] of Object.entries(FAULTS)) {
        const { pauses, refused, wrong } = results.get(faultName) ?? emptyResult()
        const [p50, p95] = [50, 95].map(share => pauses.totalCount > 0 ? pauses.getValueAtPercentile(share) : 0) as [number, number]
        rows.push([faultName, name, pauses.totalCount, p50, p95, prefill, refused, wrong])
        if (name !== 'wigeonlead' || goalMilliseconds === undefined) continue
        const goal = `p95 within ${goalMilliseconds} ms plus the prefill of ${prefill} ms`
        notes.push(`goal for ${faultName}: ${goal}: ${p95 <= goalMilliseconds + prefill ? 'met' : 'missed'}`)
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

function emptyResult (): FaultResult {
  return { pauses: build({ bitBucketSize: 32, numberOfSignificantValueDigits: 3 }), refused: 0, wrong: 0 }
}

/** One fleet meets all faults in turn. */
function runWith (
  { seed, quick }: ExperimentOptions, createPaths: PathPolicy
): Promise<{ prefill: number, results: Map<string, FaultResult> }> {
  return runAccelerated(async () => {
    const fleet = await startFleet({ seed, reportLagMilliseconds: REPORT_LAG_MILLISECONDS, workspaces: ['repair-desk'], createPaths })
    const load = { seed, workspace: 'repair-desk', requestsPerSecond: SHARE_OF_BOUND * hardwareBound(fleet.hardware, PREFIX_HIT_SAVING) }
    const quietDuration = WARM_UP_MILLISECONDS + 2000
    const quiet = await runLoad(fleet, { ...load, warmUpMilliseconds: WARM_UP_MILLISECONDS, durationMilliseconds: quietDuration })
    const durationMilliseconds = quick ? 6000 : 15_000
    const results = new Map<string, FaultResult>()
    for (const [name, fault] of Object.entries(FAULTS)) {
      const faults = repeatFault(fleet, fault, durationMilliseconds)
      const faulty = { ...load, seed: seed + results.size + 1, warmUpMilliseconds: 0, durationMilliseconds }
      const { longestGaps, refused, wrong } = await runLoad(fleet, faulty)
      await faults
      const result = { ...emptyResult(), refused, wrong }
      for (const gap of longestGaps) if (gap >= LEAST_PAUSE_MILLISECONDS) result.pauses.recordValue(gap)
      results.set(name, result)
    }
    fleet.stop()
    return { prefill: quiet.firstToken.getValueAtPercentile(95), results }
  })
}

async function repeatFault (fleet: Fleet, fault: Fault, durationMilliseconds: number): Promise<void> {
  const endsAt = Date.now() + durationMilliseconds
  await pause(1000)
  for (let turn = 0; Date.now() < endsAt; turn += 1) {
    const heal = fault.begin(fleet, turn)
    await pause(HEAL_MILLISECONDS)
    heal()
  }
}

type EngineFaultsOf = NonNullable<ReturnType<Fleet['engines']['get']>>['faults']

function change (fleet: Fleet, positions: number[], apply: (faults: EngineFaultsOf) => void): () => void {
  const targets = positions.map(position => fleet.hardware[position % fleet.hardware.length]?.name ?? '')
  const faults = targets.flatMap(target => fleet.engines.get(target)?.faults ?? [])
  for (const each of faults) apply(each)
  return () => { for (const each of faults) Object.assign(each, { isDead: false, isStalled: false, slowdown: 1 }) }
}

const DEGRADED_FACTOR = 100

function degradeLink (fleet: Fleet): () => void {
  fleet.degrade('howrah', 'salt-lake', DEGRADED_FACTOR)
  return () => fleet.degrade('howrah', 'salt-lake', 1)
}
