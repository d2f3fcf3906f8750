/**
 * The slopes experiment: what one node without callers costs as the numbers of peers, targets, workspaces and models, the manifest and the
 * rate of changes grow. Nodes use loopback sockets, with one or more nodes per process; the platform and the engines share another process.
 */
import { loadavg } from 'node:os'
import type { Cell, Experiment, ExperimentOptions } from './experiment.js'
import { callChild, type ProcessSample } from './slopes-messages.js'
import {
  describeFit, fitMeasure, PLANNED_FLEET, SLOPES, Slope, summarise, type MeasuredPoint, type Measures, type Point
} from './slopes-points.js'
import { callAll, latestTime, measureAll, pause, startFleet, type Publisher, type RunningFleet } from './slopes-run.js'

const WARM_UP_MILLISECONDS = 6000
const MEASURE_MILLISECONDS = 10_000
const QUICK_DIVISOR = 5
const TIMED_CHANGES = 4
const DETECTION_TIMEOUT_MILLISECONDS = 15_000

/** Measures a node's costs at several points along each slope and fits a line to every measure. */
export const slopesExperiment: Experiment = {
  summary: 'bytes, processor time, memory and key-value calls of a node, and time until a change is in force, as the fleet grows',
  async run (options) {
    const points = Object.values(Slope).flatMap(slope =>
      SLOPES[slope].values.map((value): Point => ({ ...SLOPES[slope].base, slope, [slope]: value })))
    const measured = await measurePoints(points, options)
    const measureNames = Object.keys(measured[0]?.measures ?? {}) as Array<keyof Measures>
    const fits = Object.values(Slope).flatMap(slope => measureNames.map(measure => fitMeasure(slope, measure, measured)))
    return {
      ...tabulate(measured),
      notes: [...fits.filter(({ fit }) => Math.abs(fit.slope) > 0).map(describeFit), describeLoad()],
      details: { slopes: SLOPES, fits, loadAverage: loadavg() }
    }
  }
}

/** Measures one fleet of the planned size, to check the values that the fitted lines predict. */
export const fleetExperiment: Experiment = {
  summary: 'costs of a node, and time until a change is in force, in one fleet of 462 nodes in 11 failure domains',
  async run (options) {
    const measured = await measurePoints([{ ...PLANNED_FLEET, slope: Slope.FailureDomains }], options)
    return { ...tabulate(measured), notes: [describeLoad()], details: { fleet: PLANNED_FLEET, loadAverage: loadavg() } }
  }
}

async function measurePoints (points: Point[], options: ExperimentOptions): Promise<MeasuredPoint[]> {
  const measured: MeasuredPoint[] = []
  for (const point of points) {
    const measures = await measurePoint(point, options)
    measured.push({ point, measures })
    process.stderr.write(`${point.slope} ${point[point.slope]} ${JSON.stringify(measures)}\n`)
  }
  return measured
}

function tabulate (measured: MeasuredPoint[]): { columns: string[], rows: Cell[][] } {
  const measureNames = Object.keys(measured[0]?.measures ?? {}) as Array<keyof Measures>
  return {
    columns: ['slope', 'value', 'nodes', ...measureNames],
    rows: measured.map(({ point, measures }) =>
      [point.slope, point[point.slope], point.failureDomains * point.nodesInDomain, ...measureNames.map(name => measures[name])])
  }
}

function describeLoad (): string {
  return `load average of the machine over a minute at the end: ${loadavg()[0]?.toFixed(1)}`
}

async function measurePoint (point: Point, { quick }: ExperimentOptions): Promise<Measures> {
  const divisor = quick ? QUICK_DIVISOR : 1
  const fleet = await startFleet(point)
  try {
    await pause(WARM_UP_MILLISECONDS / divisor)
    const samples = await measureSteady(point, fleet, MEASURE_MILLISECONDS / divisor)
    const delays: number[] = []
    for (let change = 0; change < TIMED_CHANGES; change += 1) {
      const acceptedAt = await fleet.publisher.publish()
      delays.push(await fleet.waitUntilInForce(fleet.processes) - acceptedAt)
    }
    const deathNoticedMilliseconds = point.isDeathMeasured ? await measureDeathDetection(fleet) : NaN
    return { ...summarise(samples, delays), manifestKilobytes: fleet.publisher.manifestKilobytes(), deathNoticedMilliseconds }
  } finally {
    fleet.stop()
  }
}

async function measureSteady (point: Point, { processes, publisher }: RunningFleet, milliseconds: number): Promise<ProcessSample[]> {
  const stop = new AbortController()
  const publishing = publishSteadily(point.changesPerSecond, publisher, stop.signal)
  const samples = await measureAll(processes, milliseconds)
  stop.abort()
  await publishing
  return samples
}

async function publishSteadily (changesPerSecond: number, publisher: Publisher, stopSignal: AbortSignal): Promise<void> {
  if (changesPerSecond === 0) return
  while (!stopSignal.aborted) {
    await publisher.publish()
    await pause(1000 / changesPerSecond)
  }
}

async function measureDeathDetection ({ processes }: RunningFleet): Promise<number> {
  const [first] = processes
  if (first === undefined) return NaN
  const diedAt = Date.now()
  const addresses = await callChild(first, 'halt', { count: 1 })
  const parameters = { addresses, timeoutMilliseconds: DETECTION_TIMEOUT_MILLISECONDS }
  return latestTime(await callAll(processes, child => callChild(child, 'noticed', parameters))) - diedAt
}
