/**
 * The failures experiment: what a death, a replacement, a lost failure domain and a cut that heals cost the other nodes,
 * in one fleet of three failure domains of ten nodes, a failure domain to a process.
 */
import type { ChildProcess } from 'node:child_process'
import { loadavg } from 'node:os'
import type { Cell, Experiment } from './experiment.js'
import { askChild, type FleetSample } from './slopes-messages.js'
import { MANY, Slope, summarise, type Point } from './slopes-points.js'
import { askAll, latest, measureAll, pause, startFleet, type RunningFleet } from './slopes-run.js'

const POINT: Point = { ...MANY, slope: Slope.NodesInDomain, nodesPerProcess: MANY.nodesInDomain }
const WARM_UP_MILLISECONDS = 8000
const MEASURE_MILLISECONDS = 10_000
const CUT_MILLISECONDS = 30_000
const TIMEOUT_MILLISECONDS = 30_000
const QUICK_DIVISOR = 5

/** The failures experiment. */
export const failuresExperiment: Experiment = {
  summary: 'a death, a replacement, a failure domain lost and one cut off: delays, and bytes and processor time of the others',
  async run ({ quick }) {
    const divisor = quick ? QUICK_DIVISOR : 1
    const fleet = await startFleet(POINT)
    const rows: Cell[][] = []
    const record = async (phase: string, delayMilliseconds: number, processes: ChildProcess[]): Promise<void> => {
      rows.push(toRow(phase, delayMilliseconds, await measureAll(processes, MEASURE_MILLISECONDS / divisor)))
    }
    try {
      await pause(WARM_UP_MILLISECONDS / divisor)
      await record('steady', 0, fleet.processes)
      await record('one death: until no node calls it alive', await loseNodes(fleet, 1), fleet.processes)
      const added = await replaceNode(fleet)
      await record('one replacement: until it has the configuration in force', added.delayMilliseconds, [added.child])
      await cutDomain(fleet, CUT_MILLISECONDS / divisor, record)
      await record('a failure domain lost: until no node calls one of its nodes alive', await loseNodes(fleet, POINT.nodesInDomain), fleet.processes.slice(1))
    } finally {
      fleet.stop()
    }
    const columns = ['phase', 'delayMilliseconds', 'peersBytesPerSecond', 'allBytesPerSecond', 'processorPercent', 'keyValueReadsPerSecond']
    return { columns, rows, notes: [], details: { fleet: POINT, cutMilliseconds: CUT_MILLISECONDS / divisor, loadAverage: loadavg() } }
  }
}

async function loseNodes (fleet: RunningFleet, count: number): Promise<number> {
  const [first, ...others] = fleet.processes
  if (first === undefined) return NaN
  const lostAt = Date.now()
  const addresses = await askChild(first, 'halt', { count })
  const wanted = { addresses, timeoutMilliseconds: TIMEOUT_MILLISECONDS }
  return latest(await askAll(others, child => askChild(child, 'noticed', wanted))) - lostAt
}

async function replaceNode (fleet: RunningFleet): Promise<{ child: ChildProcess, delayMilliseconds: number }> {
  const child = await fleet.addNode({ vm: 'replacement', failureDomain: 'domain-0' })
  const startedAt = Date.now()
  await askChild(child, 'start', { platform: fleet.platform, seeds: fleet.seeds })
  return { child, delayMilliseconds: await fleet.whenInForce([child]) - startedAt }
}

/** Cuts the last failure domain off from all others and from the key-value service, publishes, heals. */
async function cutDomain (
  fleet: RunningFleet, milliseconds: number, record: (phase: string, delay: number, processes: ChildProcess[]) => Promise<void>
): Promise<void> {
  const cutOff = fleet.processes[POINT.failureDomains - 1]
  if (cutOff === undefined) return
  const others = fleet.processes.filter(child => child !== cutOff)
  const inside = fleet.addresses[POINT.failureDomains - 1] ?? []
  const outside = fleet.addresses.slice(0, POINT.failureDomains - 1).flat()
  await askChild(cutOff, 'cut', { addresses: outside, isKeyValueCut: true })
  await askAll(others, child => askChild(child, 'cut', { addresses: inside, isKeyValueCut: false }))
  await pause(milliseconds)
  await record('cut off: steady', 0, fleet.processes)
  const acceptedAt = await fleet.publisher.publish()
  await record('a change during the cut: until in force on the other side', await fleet.whenInForce(others) - acceptedAt, fleet.processes)
  await askAll(fleet.processes, child => askChild(child, 'cut', { addresses: [], isKeyValueCut: false }))
  const healedAt = Date.now()
  await record('healed: until the change is in force in the domain that was cut off', await fleet.whenInForce([cutOff]) - healedAt, fleet.processes)
}

function toRow (phase: string, delayMilliseconds: number, samples: FleetSample[]): Cell[] {
  const measures = summarise(samples, [])
  const { peersBytesPerSecond, keyValueBytesPerSecond, vmListBytesPerSecond, enginesBytesPerSecond } = measures
  const all = peersBytesPerSecond + keyValueBytesPerSecond + vmListBytesPerSecond + enginesBytesPerSecond
  return [phase, delayMilliseconds, peersBytesPerSecond, all, measures.processorPercent, measures.keyValueReadsPerSecond]
}
