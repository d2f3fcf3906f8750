/**
 * Computes what each role needs in a fleet of the planned size, from the lines that the slopes experiment fitted.
 */
import { readFileSync } from 'node:fs'
import type { Experiment } from './experiment.js'
import { Slope, type Fit, type Measures } from './slopes-points.js'

/** The fleet size that the users plan for. */
const PLANNED_SIZE = {
  nodes: 460,
  failureDomains: 11,
  nodesInDomain: 42,
  /** 1,500 replicas of three stages. */
  targets: 4500,
  targetsInDomain: 409,
  workspaces: 3600,
  models: 19,
  changesPerSecond: 1900 / 86_400
}
/** The fleet sizes at which the slopes were measured. The growth along a slope is computed from these sizes to the planned ones. */
const MEASURED_SIZE = { failureDomains: 3, oneDomain: 1, nodesInDomain: 10, targets: 30, workspaces: 10, models: 2 }
const SLOPES_FILE = 'docs/measurements/slopes.json'
const BUDGET = {
  bytesPerSecond: 25_000,
  processorPercent: 2.5,
  residentMegabytes: 128,
  inForceMilliseconds: 9000,
  readsPerSecond: 2000,
  writesPerSecond: 300
}

/** Reads the lines that were fitted along each slope. */
interface FittedLines {
  /** @returns the value of a measure at a point on the line of a slope. */
  valueAt: (slope: Slope, measure: keyof Measures, value: number) => number
  /** @returns how much a measure grows when the slope's quantity grows by one. */
  growthPer: (slope: Slope, measure: keyof Measures) => number
}

/** Computes the needs from the recorded results of the slopes experiment; runs no fleet. */
export const capacityExperiment: Experiment = {
  summary: `what each role needs at the planned size, computed from ${SLOPES_FILE}`,
  async run () {
    const record = JSON.parse(readFileSync(SLOPES_FILE, 'utf8')) as { details: { fits: Fit[] } }
    const rows = listNeeds(createFittedLines(record.details.fits))
    return {
      columns: ['role', 'need', 'value', 'budget', 'fits'],
      rows: rows.map(({ role, need, value, budget }) =>
        [role, need, Number(value.toPrecision(4)), budget ?? '', budget === undefined ? '' : value <= budget ? 'yes' : 'no']),
      notes: [],
      details: { planned: PLANNED_SIZE, measuredAt: MEASURED_SIZE }
    }
  }
}

interface Need {
  role: string
  need: string
  value: number
  budget?: number
}

function createFittedLines (fits: Fit[]): FittedLines {
  const find = (slope: Slope, measure: keyof Measures): Fit['fit'] => {
    const found = fits.find(fit => fit.slope === slope && fit.measure === measure)
    if (found === undefined) throw new Error(`${SLOPES_FILE} has no fit of ${measure} along ${slope}`)
    return found.fit
  }
  return {
    valueAt: (slope, measure, value) => find(slope, measure).intercept + find(slope, measure).slope * value,
    growthPer: (slope, measure) => find(slope, measure).slope
  }
}

function listNeeds (lines: FittedLines): Need[] {
  return [listTrafficNeeds, listNodeNeeds, listManifestNeeds, listServiceNeeds, listFailureNeeds].flatMap(list => list(lines))
}

/** Measures that don't grow with the number of failure domains, since each domain polls its own engines and renews its own lease. */
const DOMAIN_LOCAL_MEASURES: ReadonlySet<keyof Measures> = new Set(['enginesBytesPerSecond', 'engineReportsPerSecond', 'keyValueWritesPerSecond'])

/**
 * Estimates a per-node measure at the planned size: the value for one failure domain with its targets, plus the growth with further
 * domains. The nodes of a domain share the polls of the VM list, so that a node's share of them is smaller in a larger domain.
 */
function estimatePerNode ({ valueAt, growthPer }: FittedLines, measure: keyof Measures): number {
  const ownDomainValue = valueAt(Slope.Targets, measure, PLANNED_SIZE.targetsInDomain)
  if (DOMAIN_LOCAL_MEASURES.has(measure)) return ownDomainValue
  const furtherDomains = PLANNED_SIZE.failureDomains - MEASURED_SIZE.oneDomain
  const sharingFactor = measure === 'vmListBytesPerSecond' ? MEASURED_SIZE.nodesInDomain / PLANNED_SIZE.nodesInDomain : 1
  return ownDomainValue + furtherDomains * growthPer(Slope.FailureDomains, measure) * sharingFactor
}

function listTrafficNeeds (lines: FittedLines): Need[] {
  const trafficMeasures: Array<keyof Measures> = ['peersBytesPerSecond', 'keyValueBytesPerSecond', 'vmListBytesPerSecond', 'enginesBytesPerSecond']
  const allTraffic = trafficMeasures.reduce((sum, measure) => sum + estimatePerNode(lines, measure), 0)
  const budget = BUDGET.bytesPerSecond
  return [
    { role: 'peer', need: 'all bytes/s with peers, both ways', value: estimatePerNode(lines, 'peersBytesPerSecond') },
    { role: 'peer', need: 'calls/s made', value: estimatePerNode(lines, 'peerCallsPerSecond') },
    { role: 'watcher', need: 'bytes/s with the key-value service', value: estimatePerNode(lines, 'keyValueBytesPerSecond') },
    { role: 'engines\' side', need: 'bytes/s with engines', value: estimatePerNode(lines, 'enginesBytesPerSecond') },
    { role: 'engines\' side', need: 'report calls/s of a node', value: estimatePerNode(lines, 'engineReportsPerSecond') },
    { role: 'every role', need: 'control bytes/s, both ways, mean of nodes', value: allTraffic, budget },
    { role: 'every role', need: 'control bytes/s, one way, mean of nodes', value: allTraffic / 2, budget },
    { role: 'reconciler holder', need: 'control bytes/s, both ways', value: estimatePerNode(lines, 'bytesPerSecondMost'), budget }
  ]
}

function listNodeNeeds (lines: FittedLines): Need[] {
  const { valueAt, growthPer } = lines
  const growth = (measure: keyof Measures): number =>
    (PLANNED_SIZE.workspaces - MEASURED_SIZE.workspaces) * growthPer(Slope.Workspaces, measure) +
    (PLANNED_SIZE.models - MEASURED_SIZE.models) * growthPer(Slope.Models, measure) +
    PLANNED_SIZE.changesPerSecond * growthPer(Slope.ChangesPerSecond, measure)
  const resident = valueAt(Slope.Targets, 'residentMegabytesMost', PLANNED_SIZE.targetsInDomain) + growth('residentMegabytesMost') +
    (PLANNED_SIZE.targets - PLANNED_SIZE.targetsInDomain) * growthPer(Slope.Targets, 'heapMegabytes')
  return [
    { role: 'every role', need: '% of a core, mean of nodes', value: estimatePerNode(lines, 'processorPercent') + growth('processorPercent'), budget: BUDGET.processorPercent },
    { role: 'reconciler holder', need: '% of a core', value: estimatePerNode(lines, 'processorPercentMost') + growth('processorPercentMost'), budget: BUDGET.processorPercent },
    { role: 'every role', need: 'resident MB, largest process', value: resident, budget: BUDGET.residentMegabytes },
    { role: 'watcher', need: '% of a core for changes of configuration', value: PLANNED_SIZE.changesPerSecond * growthPer(Slope.ChangesPerSecond, 'processorPercent') }
  ]
}

function listManifestNeeds ({ valueAt, growthPer }: FittedLines): Need[] {
  const estimateForFleet = (measure: keyof Measures): number => valueAt(Slope.NodesInDomain, measure, PLANNED_SIZE.nodesInDomain) +
    (PLANNED_SIZE.failureDomains - MEASURED_SIZE.failureDomains) * growthPer(Slope.FailureDomains, measure) +
    (PLANNED_SIZE.workspaces - MEASURED_SIZE.workspaces) * growthPer(Slope.Workspaces, measure) +
    (PLANNED_SIZE.targets - MEASURED_SIZE.targets) * growthPer(Slope.Targets, measure)
  return [
    { role: 'watcher', need: 'manifest, KB', value: estimateForFleet('manifestKilobytes') },
    { role: 'watcher', need: 'ms until in force everywhere, median', value: estimateForFleet('inForceMedianMilliseconds'), budget: BUDGET.inForceMilliseconds },
    { role: 'watcher', need: 'ms until in force everywhere, worst of 4', value: estimateForFleet('inForceWorstMilliseconds'), budget: BUDGET.inForceMilliseconds }
  ]
}

function listServiceNeeds (lines: FittedLines): Need[] {
  return [
    { role: 'key-value service', need: 'reads/s for control', value: PLANNED_SIZE.nodes * estimatePerNode(lines, 'keyValueReadsPerSecond'), budget: BUDGET.readsPerSecond },
    { role: 'key-value service', need: 'writes/s for control', value: PLANNED_SIZE.nodes * estimatePerNode(lines, 'keyValueWritesPerSecond'), budget: BUDGET.writesPerSecond },
    { role: 'VM list', need: 'bytes/s served', value: PLANNED_SIZE.nodes * estimatePerNode(lines, 'vmListBytesPerSecond') },
    { role: 'engines\' side', need: 'report calls/s at one target', value: PLANNED_SIZE.nodesInDomain * estimatePerNode(lines, 'engineReportsPerSecond') / PLANNED_SIZE.targetsInDomain }
  ]
}

function listFailureNeeds ({ valueAt, growthPer }: FittedLines): Need[] {
  const detectionMilliseconds = valueAt(Slope.NodesInDomain, 'deathNoticedMilliseconds', PLANNED_SIZE.nodesInDomain) +
    (PLANNED_SIZE.failureDomains - MEASURED_SIZE.failureDomains) * growthPer(Slope.FailureDomains, 'deathNoticedMilliseconds')
  return [{ role: 'peer', need: 'ms until no node calls a dead one alive', value: detectionMilliseconds }]
}
