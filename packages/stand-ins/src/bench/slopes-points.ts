/**
 * What the slopes experiment measures: its points, the measures of a point, and the line through the points of a slope.
 */
import { fitLine, type LinearFit } from './linear-fit.js'
import { TrafficKind, type ProcessSample } from './slopes-messages.js'

/** One point to measure: the size of a fleet and of its configuration. */
export interface Point {
  slope: Slope
  failureDomains: number
  nodesInDomain: number
  targets: number
  workspaces: number
  models: number
  changesPerSecond: number
  nodesPerProcess: number
  isDeathMeasured: boolean
}

/** The quantity that grows along a slope. */
export enum Slope {
  NodesInDomain = 'nodesInDomain',
  FailureDomains = 'failureDomains',
  Targets = 'targets',
  Workspaces = 'workspaces',
  Models = 'models',
  ChangesPerSecond = 'changesPerSecond'
}

/** What is measured at a point; a mean per node unless stated otherwise. */
export interface Measures {
  manifestKilobytes: number
  peersBytesPerSecond: number
  keyValueBytesPerSecond: number
  vmListBytesPerSecond: number
  enginesBytesPerSecond: number
  processorPercent: number
  /** Mean over the nodes of one process, for the process in which this mean is highest. */
  processorPercentMost: number
  /** Bytes sent and received: mean over the nodes of one process, for the process in which this mean is highest. */
  bytesPerSecondMost: number
  heapMegabytes: number
  /** Resident memory of the largest process as a whole, regardless of its number of nodes. */
  residentMegabytesMost: number
  keyValueReadsPerSecond: number
  keyValueWritesPerSecond: number
  engineReportsPerSecond: number
  peerCallsPerSecond: number
  /** Body bytes of requests and responses: measured for the calls that a node makes, doubled to include those that it receives. */
  gossipBodyBytesPerSecond: number
  reportsBodyBytesPerSecond: number
  inForceMedianMilliseconds: number
  inForceWorstMilliseconds: number
  deathNoticedMilliseconds: number
}

/** Sizes of a fleet with many nodes in each process. Its measures are means over nodes with different roles. */
export const MANY_NODES_PER_PROCESS: Omit<Point, 'slope'> = {
  failureDomains: 3,
  nodesInDomain: 10,
  targets: 30,
  workspaces: 10,
  models: 2,
  changesPerSecond: 0,
  nodesPerProcess: 15,
  isDeathMeasured: true
}
const ONE_NODE_PER_PROCESS: Omit<Point, 'slope'> = { ...MANY_NODES_PER_PROCESS, nodesInDomain: 1, nodesPerProcess: 1, isDeathMeasured: false }
/** For each slope, the measured values of the quantity that grows, and the base, which sets all other sizes. */
export const SLOPES: Record<Slope, { values: number[], base: Omit<Point, 'slope'> }> = {
  [Slope.NodesInDomain]: { values: [3, 10, 20, 40], base: MANY_NODES_PER_PROCESS },
  [Slope.FailureDomains]: { values: [3, 5, 8, 11], base: MANY_NODES_PER_PROCESS },
  [Slope.Targets]: { values: [50, 140, 270, 409], base: { ...ONE_NODE_PER_PROCESS, failureDomains: 1, nodesInDomain: 42 } },
  [Slope.Workspaces]: { values: [10, 400, 1200, 3600], base: ONE_NODE_PER_PROCESS },
  [Slope.Models]: { values: [2, 7, 13, 19], base: ONE_NODE_PER_PROCESS },
  [Slope.ChangesPerSecond]: { values: [0, 0.1, 0.3, 1], base: { ...ONE_NODE_PER_PROCESS, targets: 200, workspaces: 3600, models: 19 } }
}
/** A fleet of the size that the users plan: 460 nodes, rounded up to whole failure domains. */
export const PLANNED_FLEET: Omit<Point, 'slope'> = { ...MANY_NODES_PER_PROCESS, failureDomains: 11, nodesInDomain: 42, nodesPerProcess: 14 }

/** A point and its measures. */
export interface MeasuredPoint {
  point: Point
  measures: Measures
}

/** The line fitted to one measure along one slope. */
export interface Fit {
  slope: Slope
  measure: keyof Measures
  fit: LinearFit
}

/** Fits a line to a measure along a slope. */
export function fitMeasure (slope: Slope, measure: keyof Measures, measured: MeasuredPoint[]): Fit {
  const slopePoints = measured.filter(({ point }) => point.slope === slope)
  return { slope, measure, fit: fitLine(slopePoints.map(({ point, measures }) => [point[slope], measures[measure]])) }
}

/** @returns a description of a fit in one line of text. */
export function describeFit ({ slope, measure, fit }: Fit): string {
  const { intercept, largestResidual, rSquared } = fit
  return `${measure} = ${round(intercept)} + ${round(fit.slope)} * ${slope} (largest residual ${round(largestResidual)}, r2 ${rSquared.toFixed(3)})`
}

/**
 * Combines the samples of all processes of a fleet.
 * @param delays times from the acceptance of a change until it is in force everywhere, milliseconds.
 */
export function summarise (samples: ProcessSample[], delays: number[]): Omit<Measures, 'manifestKilobytes' | 'deathNoticedMilliseconds'> {
  const nodes = sumOver(samples, sample => sample.nodeCount)
  const perNode = (read: (sample: ProcessSample) => number): number => sumOver(samples, sample => read(sample) / sample.seconds) / nodes
  const sorted = [...delays].sort((left, right) => left - right)
  return {
    peersBytesPerSecond: perNode(sample => sample.bytes[TrafficKind.Peers]),
    keyValueBytesPerSecond: perNode(sample => sample.bytes[TrafficKind.KeyValue]),
    vmListBytesPerSecond: perNode(sample => sample.bytes[TrafficKind.VmList]),
    enginesBytesPerSecond: perNode(sample => sample.bytes[TrafficKind.Engines]),
    processorPercent: perNode(sample => sample.processorSeconds) * 100,
    processorPercentMost: Math.max(...samples.map(sample => sample.processorSeconds / sample.seconds / sample.nodeCount * 100)),
    bytesPerSecondMost: Math.max(...samples.map(sample => totalBytes(sample) / sample.seconds / sample.nodeCount)),
    residentMegabytesMost: Math.max(...samples.map(sample => sample.residentBytes)) / 1e6,
    heapMegabytes: sumOver(samples, sample => sample.heapAndExternalBytes) / nodes / 1e6,
    keyValueReadsPerSecond: perNode(sample => sample.keyValueReads),
    keyValueWritesPerSecond: perNode(sample => sample.keyValueWrites),
    engineReportsPerSecond: perNode(sample => sample.engineReportCalls),
    peerCallsPerSecond: perNode(sample => sample.peerCalls),
    gossipBodyBytesPerSecond: 2 * perNode(sample => sample.gossipBytes),
    reportsBodyBytesPerSecond: 2 * perNode(sample => sample.reportExchangeBytes),
    inForceMedianMilliseconds: sorted[Math.floor(sorted.length / 2)] ?? NaN,
    inForceWorstMilliseconds: sorted.at(-1) ?? NaN
  }
}

function totalBytes (sample: ProcessSample): number {
  return Object.values(sample.bytes).reduce((sum, bytes) => sum + bytes, 0)
}

function sumOver (samples: ProcessSample[], read: (sample: ProcessSample) => number): number {
  return samples.reduce((sum, sample) => sum + read(sample), 0)
}

function round (value: number): number {
  return Number(value.toPrecision(4))
}
