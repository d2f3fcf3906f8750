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
import { fitLine, type LinearFit } from './linear-fit.js'
import { createSlopeManifest, slopeDomain } from './slopes-manifest.js'
import { askChild, TrafficKind, type FleetNode, type FleetSample, type PlatformAddresses } from './slopes-messages.js'

/** One measured point: a fleet and its configuration. */
interface Point {
  slope: Slope
  failureDomains: number
  nodesInDomain: number
  targets: number
  workspaces: number
  models: number
  changesPerSecond: number
  nodesPerProcess: number
}

/** What grows. */
enum Slope {
  NodesInDomain = 'nodesInDomain',
  FailureDomains = 'failureDomains',
  Targets = 'targets',
  Workspaces = 'workspaces',
  Models = 'models',
  ChangesPerSecond = 'changesPerSecond'
}

/** What was measured at a point, for one node unless the name says otherwise. */
interface Measures {
  manifestKilobytes: number
  peersBytesPerSecond: number
  keyValueBytesPerSecond: number
  vmListBytesPerSecond: number
  enginesBytesPerSecond: number
  processorPercent: number
  /** Of the process whose nodes took most. */
  processorPercentMost: number
  /** Sent and received by a node of the process whose nodes exchanged most. */
  bytesPerSecondMost: number
  heapMegabytes: number
  /** Of the largest process, whatever its number of nodes. */
  residentMegabytesMost: number
  keyValueReadsPerSecond: number
  keyValueWritesPerSecond: number
  engineReportsPerSecond: number
  inForceMedianMilliseconds: number
  inForceWorstMilliseconds: number
  deathNoticedMilliseconds: number
}

const MANY: Omit<Point, 'slope'> = {
  failureDomains: 3, nodesInDomain: 10, targets: 30, workspaces: 10, models: 2, changesPerSecond: 0, nodesPerProcess: 15
}
const FEW: Omit<Point, 'slope'> = { ...MANY, nodesInDomain: 1, nodesPerProcess: 1 }
const SLOPES: Record<Slope, { values: number[], base: Omit<Point, 'slope'> }> = {
  [Slope.NodesInDomain]: { values: [3, 10, 20, 40], base: MANY },
  [Slope.FailureDomains]: { values: [3, 5, 8, 11], base: MANY },
  [Slope.Targets]: { values: [50, 100, 200, 400], base: { ...FEW, failureDomains: 1, nodesInDomain: 3 } },
  [Slope.Workspaces]: { values: [10, 400, 1200, 3600], base: FEW },
  [Slope.Models]: { values: [2, 7, 13, 19], base: FEW },
  [Slope.ChangesPerSecond]: { values: [0, 0.1, 0.3, 1], base: { ...FEW, targets: 200, workspaces: 3600, models: 19 } }
}
const WARM_UP_MILLISECONDS = 8000
const MEASURE_MILLISECONDS = 15_000
const QUICK_DIVISOR = 5
const CHANGES_TIMED = 5
const REACHED_TIMEOUT_MILLISECONDS = 20_000
const NOTICED_TIMEOUT_MILLISECONDS = 15_000

/** The slopes experiment. */
export const slopesExperiment: Experiment = {
  summary: 'bytes, processor time, memory, key-value calls and time in force of a node as the fleet grows',
  async run (options) {
    const points = Object.values(Slope).flatMap(slope =>
      SLOPES[slope].values.map((value): Point => ({ ...SLOPES[slope].base, slope, [slope]: value })))
    const measured: Array<{ point: Point, measures: Measures }> = []
    for (const point of points) {
      const measures = await measurePoint(point, options)
      measured.push({ point, measures })
      process.stderr.write(`${point.slope} ${point[point.slope]} ${JSON.stringify(measures)}\n`)
    }
    const names = Object.keys(measured[0]?.measures ?? {}) as Array<keyof Measures>
    const fits = Object.values(Slope).flatMap(slope => names.map(measure => fitOf(slope, measure, measured)))
    return {
      columns: ['slope', 'value', 'nodes', ...names],
      rows: measured.map(({ point, measures }): Cell[] =>
        [point.slope, point[point.slope], point.failureDomains * point.nodesInDomain, ...names.map(name => measures[name])]),
      notes: [
        ...fits.filter(({ fit }) => Math.abs(fit.slope) > 0).map(describeFit),
        `load average of the machine over a minute at the end: ${loadavg()[0]?.toFixed(1)}`
      ],
      details: { slopes: SLOPES, fits, loadAverage: loadavg() }
    }
  }
}

interface Fit {
  slope: Slope
  measure: keyof Measures
  fit: LinearFit
}

function fitOf (slope: Slope, measure: keyof Measures, measured: Array<{ point: Point, measures: Measures }>): Fit {
  const own = measured.filter(({ point }) => point.slope === slope)
  return { slope, measure, fit: fitLine(own.map(({ point, measures }) => [point[slope], measures[measure]])) }
}

function describeFit ({ slope, measure, fit }: Fit): string {
  const { intercept, largestResidual, rSquared } = fit
  return `${measure} = ${round(intercept)} + ${round(fit.slope)} * ${slope} (largest residual ${round(largestResidual)}, r2 ${rSquared.toFixed(3)})`
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
    const deathNoticedMilliseconds = await measureDeath(fleet)
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

function summarise (samples: FleetSample[], delays: number[]): Omit<Measures, 'manifestKilobytes' | 'deathNoticedMilliseconds'> {
  const nodes = total(samples, sample => sample.nodes)
  const perNode = (read: (sample: FleetSample) => number): number => total(samples, sample => read(sample) / sample.seconds) / nodes
  const sorted = [...delays].sort((left, right) => left - right)
  return {
    peersBytesPerSecond: perNode(sample => sample.bytes[TrafficKind.Peers]),
    keyValueBytesPerSecond: perNode(sample => sample.bytes[TrafficKind.KeyValue]),
    vmListBytesPerSecond: perNode(sample => sample.bytes[TrafficKind.VmList]),
    enginesBytesPerSecond: perNode(sample => sample.bytes[TrafficKind.Engines]),
    processorPercent: perNode(sample => sample.processorSeconds) * 100,
    processorPercentMost: Math.max(...samples.map(sample => sample.processorSeconds / sample.seconds / sample.nodes * 100)),
    bytesPerSecondMost: Math.max(...samples.map(sample => allBytes(sample) / sample.seconds / sample.nodes)),
    residentMegabytesMost: Math.max(...samples.map(sample => sample.residentBytes)) / 1e6,
    heapMegabytes: total(samples, sample => sample.heapBytes) / nodes / 1e6,
    keyValueReadsPerSecond: perNode(sample => sample.keyValueReads),
    keyValueWritesPerSecond: perNode(sample => sample.keyValueWrites),
    engineReportsPerSecond: perNode(sample => sample.engineReports),
    inForceMedianMilliseconds: sorted[Math.floor(sorted.length / 2)] ?? NaN,
    inForceWorstMilliseconds: sorted.at(-1) ?? NaN
  }
}

function allBytes (sample: FleetSample): number {
  return Object.values(sample.bytes).reduce((sum, bytes) => sum + bytes, 0)
}

function total (samples: FleetSample[], read: (sample: FleetSample) => number): number {
  return samples.reduce((sum, sample) => sum + read(sample), 0)
}

function askAll<T> (fleet: ChildProcess[], ask: (child: ChildProcess) => Promise<T>): Promise<T[]> {
  return Promise.all(fleet.map(ask))
}

function forkChild (file: string): ChildProcess {
  return fork(new URL(file, import.meta.url), { execArgv: ['--expose-gc'] })
}

function round (value: number): number {
  return Number(value.toPrecision(4))
}

function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
