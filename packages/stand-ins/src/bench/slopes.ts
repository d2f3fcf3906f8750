/**
 * The slopes experiment: what the control code of one node costs as peers, targets, workspaces, models, the manifest
 * and the rate of changes grow. Nodes run on real loopback sockets, some to a process; the platform runs in another.
 */
import { fork, type ChildProcess } from 'node:child_process'
import { loadavg } from 'node:os'
import { createEtcdKeyValue, publishManifest, splitManifest, type KeyValuePort } from '@wigeonlead/protocol'
import { createSystemRandom } from 'wigeonlead'
import { loopbackVm } from '../platform/server.js'
import type { Cell, Experiment, ExperimentOptions } from './experiment.js'
import { createSlopeManifest, slopeDomain } from './slopes-manifest.js'
import { askChild, type FleetNode, type FleetSample, type PlatformAddresses } from './slopes-messages.js'
import {
  describeFit, fitOf, PLANNED_FLEET, SLOPES, Slope, summarise, type MeasuredPoint, type Measures, type Point
} from './slopes-points.js'

const WARM_UP_MILLISECONDS = 6000
const MEASURE_MILLISECONDS = 10_000
const QUICK_DIVISOR = 5
const CHANGES_TIMED = 4
const REACHED_TIMEOUT_MILLISECONDS = 20_000
const NOTICED_TIMEOUT_MILLISECONDS = 15_000

/** The slopes experiment. */
export const slopesExperiment: Experiment = {
  summary: 'bytes, processor time, memory, key-value calls and time in force of a node as the fleet grows',
  async run (options) {
    const points = Object.values(Slope).flatMap(slope =>
      SLOPES[slope].values.map((value): Point => ({ ...SLOPES[slope].base, slope, [slope]: value })))
    const measured = await measureAll(points, options)
    const names = Object.keys(measured[0]?.measures ?? {}) as Array<keyof Measures>
    const fits = Object.values(Slope).flatMap(slope => names.map(measure => fitOf(slope, measure, measured)))
    return {
      ...tabulate(measured),
      notes: [...fits.filter(({ fit }) => Math.abs(fit.slope) > 0).map(describeFit), describeLoad()],
      details: { slopes: SLOPES, fits, loadAverage: loadavg() }
    }
  }
}

/** One fleet of the size that the users plan, as a check on what the slopes give. */
export const fleetExperiment: Experiment = {
  summary: 'the same measures of a node in one fleet of 462 nodes in 11 failure domains',
  async run (options) {
    const measured = await measureAll([{ ...PLANNED_FLEET, slope: Slope.FailureDomains }], options)
    return { ...tabulate(measured), notes: [describeLoad()], details: { fleet: PLANNED_FLEET, loadAverage: loadavg() } }
  }
}

async function measureAll (points: Point[], options: ExperimentOptions): Promise<MeasuredPoint[]> {
  const measured: MeasuredPoint[] = []
  for (const point of points) {
    const measures = await measurePoint(point, options)
    measured.push({ point, measures })
    process.stderr.write(`${point.slope} ${point[point.slope]} ${JSON.stringify(measures)}\n`)
  }
  return measured
}

function tabulate (measured: MeasuredPoint[]): { columns: string[], rows: Cell[][] } {
  const names = Object.keys(measured[0]?.measures ?? {}) as Array<keyof Measures>
  return {
    columns: ['slope', 'value', 'nodes', ...names],
    rows: measured.map(({ point, measures }) =>
      [point.slope, point[point.slope], point.failureDomains * point.nodesInDomain, ...names.map(name => measures[name])])
  }
}

function describeLoad (): string {
  return `load average of the machine over a minute at the end: ${loadavg()[0]?.toFixed(1)}`
}

async function measurePoint (point: Point, { quick }: ExperimentOptions): Promise<Measures> {
  const divisor = quick ? QUICK_DIVISOR : 1
  const platformChild = forkChild('slopes-platform.js')
  const fleet: ChildProcess[] = []
  try {
    const platform = await askChild(platformChild, 'platform', { engines: point.targets, models: point.models })
    const addresses = await openFleet(point, fleet)
    await askChild(platformChild, 'vms', {
      vms: addresses.map(({ node, address }) => loopbackVm(node.vm, node.failureDomain, Number(address.split(':')[1])))
    })
    const seeds = addresses.slice(0, point.failureDomains).map(({ address }) => address)
    const publisher = createPublisher(point, platform)
    await publisher.publish()
    await askAll(fleet, child => askChild(child, 'start', { platform, seeds }))
    await waitInForce(fleet, publisher.generation())
    await pause(WARM_UP_MILLISECONDS / divisor)
    const samples = await measureSteady(point, fleet, publisher, MEASURE_MILLISECONDS / divisor)
    const delays: number[] = []
    for (let change = 0; change < CHANGES_TIMED; change += 1) {
      const acceptedAt = await publisher.publish()
      delays.push(await waitInForce(fleet, publisher.generation()) - acceptedAt)
    }
    const deathNoticedMilliseconds = point.isDeathMeasured ? await measureDeath(fleet) : NaN
    return { ...summarise(samples, delays), manifestKilobytes: publisher.kilobytes(), deathNoticedMilliseconds }
  } finally {
    for (const child of [...fleet, platformChild]) child.disconnect()
  }
}

async function openFleet (point: Point, fleet: ChildProcess[]): Promise<Array<{ node: FleetNode, address: string }>> {
  const nodes: FleetNode[] = Array.from({ length: point.failureDomains * point.nodesInDomain }, (_, index) => ({
    vm: `entry-${index}`, failureDomain: slopeDomain(index % point.failureDomains)
  }))
  const opened: Array<{ node: FleetNode, address: string }> = []
  for (let start = 0; start < nodes.length; start += point.nodesPerProcess) {
    const child = forkChild('slopes-fleet.js')
    fleet.push(child)
    const own = nodes.slice(start, start + point.nodesPerProcess)
    const addresses = await askChild(child, 'open', { nodes: own })
    opened.push(...own.map((node, index) => ({ node, address: addresses[index] ?? '' })))
  }
  return opened
}

interface Publisher {
  /** Publishes a small change. @returns when it was accepted, milliseconds since 1970. */
  publish: () => Promise<number>
  generation: () => number
  kilobytes: () => number
}

function createPublisher (point: Point, platform: PlatformAddresses): Publisher {
  const keyValue: KeyValuePort = createEtcdKeyValue({ endpoints: [`http://${platform.keyValue}`] })
  const random = createSystemRandom()
  let generation = 0
  let kilobytes = 0
  return {
    async publish () {
      const manifest = createSlopeManifest(point, platform.engines, generation)
      const outcome = await publishManifest(keyValue, random, manifest)
      if (!('head' in outcome)) throw new Error(`publishing ended with ${outcome.kind}`)
      generation = outcome.head.generation
      kilobytes = splitManifest(manifest).reduce((sum, part) => sum + part.content.length, 0) / 1000
      return Date.now()
    },
    generation: () => generation,
    kilobytes: () => kilobytes
  }
}

async function measureSteady (point: Point, fleet: ChildProcess[], publisher: Publisher, milliseconds: number): Promise<FleetSample[]> {
  const over = new AbortController()
  const changes = publishSteadily(point.changesPerSecond, publisher, over.signal)
  const samples = await askAll(fleet, child => askChild(child, 'measure', { milliseconds }))
  over.abort()
  await changes
  return samples
}

async function publishSteadily (perSecond: number, publisher: Publisher, over: AbortSignal): Promise<void> {
  if (perSecond === 0) return
  while (!over.aborted) {
    await publisher.publish()
    await pause(1000 / perSecond)
  }
}

async function waitInForce (fleet: ChildProcess[], generation: number): Promise<number> {
  const times = await askAll(fleet, child => askChild(child, 'reached', { generation, timeoutMilliseconds: REACHED_TIMEOUT_MILLISECONDS }))
  return latest(times)
}

async function measureDeath (fleet: ChildProcess[]): Promise<number> {
  const [first] = fleet
  if (first === undefined) return NaN
  const diedAt = Date.now()
  const address = await askChild(first, 'halt', {})
  const times = await askAll(fleet, child => askChild(child, 'noticed', { address, timeoutMilliseconds: NOTICED_TIMEOUT_MILLISECONDS }))
  return latest(times) - diedAt
}

function latest (times: Array<number | null>): number {
  return Math.max(...times.map(time => time ?? NaN))
}

function askAll<T> (fleet: ChildProcess[], ask: (child: ChildProcess) => Promise<T>): Promise<T[]> {
  return Promise.all(fleet.map(ask))
}

function forkChild (file: string): ChildProcess {
  return fork(new URL(file, import.meta.url), { execArgv: ['--expose-gc'] })
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
