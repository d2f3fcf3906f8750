/**
 * The failures experiment: delays, and the cost for the other nodes, when a node dies or is replaced, when a failure domain is lost, and
 * when one is partitioned and rejoins. The fleet has three failure domains of ten nodes; each domain runs in one process.
 */
import type { ChildProcess } from 'node:child_process'
import { loadavg } from 'node:os'
import type { Cell, Experiment } from './experiment.js'
import { callChild, type ProcessSample } from './slopes-messages.js'
import { MANY_NODES_PER_PROCESS, Slope, summarise, type Point } from './slopes-points.js'
import { callAll, latestTime, measureAll, pause, startFleet, type RunningFleet } from './slopes-run.js'

const POINT: Point = { ...MANY_NODES_PER_PROCESS, slope: Slope.NodesInDomain, nodesPerProcess: MANY_NODES_PER_PROCESS.nodesInDomain }
const WARM_UP_MILLISECONDS = 8000
const MEASURE_MILLISECONDS = 10_000
const PARTITION_MILLISECONDS = 30_000
const DETECTION_TIMEOUT_MILLISECONDS = 30_000
const QUICK_DIVISOR = 5

/** Runs all phases one after the other in one fleet and measures each of them. */
export const failuresExperiment: Experiment = {
  summary: 'death and replacement of a node, loss and partition of a failure domain: delays, and bytes and processor time of the other nodes',
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
      await record('one death: until no node calls it alive', await haltNodes(fleet, 1), fleet.processes)
      const replacement = await replaceNode(fleet)
      await record('one replacement: until it has the configuration in force', replacement.delayMilliseconds, [replacement.child])
      await isolateDomain(fleet, PARTITION_MILLISECONDS / divisor, record)
      await record('a failure domain lost: until no node calls one of its nodes alive', await haltNodes(fleet, POINT.nodesInDomain), fleet.processes.slice(1))
    } finally {
      fleet.stop()
    }
    const columns = ['phase', 'delayMilliseconds', 'peersBytesPerSecond', 'allBytesPerSecond', 'processorPercent', 'keyValueReadsPerSecond']
    return {
      columns, rows, notes: [], details: { fleet: POINT, cutMilliseconds: PARTITION_MILLISECONDS / divisor, loadAverage: loadavg() }
    }
  }
}

/** Halts nodes of the first process. @returns the time until no node of the other processes lists one of them as alive. */
async function haltNodes (fleet: RunningFleet, count: number): Promise<number> {
  const [first, ...others] = fleet.processes
  if (first === undefined) return NaN
  const haltedAt = Date.now()
  const addresses = await callChild(first, 'halt', { count })
  const parameters = { addresses, timeoutMilliseconds: DETECTION_TIMEOUT_MILLISECONDS }
  return latestTime(await callAll(others, child => callChild(child, 'noticed', parameters))) - haltedAt
}

async function replaceNode (fleet: RunningFleet): Promise<{ child: ChildProcess, delayMilliseconds: number }> {
  const child = await fleet.addNode({ vm: 'replacement', failureDomain: 'domain-0' })
  const startedAt = Date.now()
  await callChild(child, 'start', { platform: fleet.platform, seeds: fleet.seeds })
  return { child, delayMilliseconds: await fleet.waitUntilInForce([child]) - startedAt }
}

/** Partitions the last failure domain from the others and from the key-value service, publishes a change, then heals the partition. */
async function isolateDomain (
  fleet: RunningFleet, milliseconds: number, record: (phase: string, delay: number, processes: ChildProcess[]) => Promise<void>
): Promise<void> {
  const isolated = fleet.processes[POINT.failureDomains - 1]
  if (isolated === undefined) return
  const others = fleet.processes.filter(child => child !== isolated)
  const isolatedAddresses = fleet.addresses[POINT.failureDomains - 1] ?? []
  const otherAddresses = fleet.addresses.slice(0, POINT.failureDomains - 1).flat()
  await callChild(isolated, 'cut', { addresses: otherAddresses, isKeyValueCut: true })
  await callAll(others, child => callChild(child, 'cut', { addresses: isolatedAddresses, isKeyValueCut: false }))
  await pause(milliseconds)
  await record('cut off: steady', 0, fleet.processes)
  const acceptedAt = await fleet.publisher.publish()
  await record('a change during the cut: until in force on the other side', await fleet.waitUntilInForce(others) - acceptedAt, fleet.processes)
  await callAll(fleet.processes, child => callChild(child, 'cut', { addresses: [], isKeyValueCut: false }))
  const healedAt = Date.now()
  await record('healed: until the change is in force in the domain that was cut off', await fleet.waitUntilInForce([isolated]) - healedAt, fleet.processes)
}

function toRow (phase: string, delayMilliseconds: number, samples: ProcessSample[]): Cell[] {
  const measures = summarise(samples, [])
  const { peersBytesPerSecond, keyValueBytesPerSecond, vmListBytesPerSecond, enginesBytesPerSecond } = measures
  const all = peersBytesPerSecond + keyValueBytesPerSecond + vmListBytesPerSecond + enginesBytesPerSecond
  return [phase, delayMilliseconds, peersBytesPerSecond, all, measures.processorPercent, measures.keyValueReadsPerSecond]
}
