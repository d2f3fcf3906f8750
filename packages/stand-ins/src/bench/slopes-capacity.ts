/**
 * Works out what each role needs at the size that the users plan, from the fits of the slopes experiment.
 */
import { readFileSync } from 'node:fs'
import type { Experiment } from './experiment.js'
import { Slope, type Fit, type Measures } from './slopes-points.js'

/** The size that the users plan for. */
const PLANNED = {
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
/** What the slopes were measured at, where a line along another slope starts. */
const MEASURED_AT = { failureDomains: 3, oneDomain: 1, nodesInDomain: 10, targets: 30, workspaces: 10, models: 2 }
const SLOPES_FILE = 'docs/measurements/slopes.json'
const BUDGET = {
  bytesPerSecond: 25_000,
  processorPercent: 2.5,
  residentMegabytes: 128,
  inForceMilliseconds: 9000,
  readsPerSecond: 2000,
  writesPerSecond: 300
}

/** Reads lines of the slopes. */
interface Lines {
  /** @returns the value of a measure on the line of a slope. */
  at: (slope: Slope, measure: keyof Measures, value: number) => number
  /** @returns what a measure grows by for one more. */
  per: (slope: Slope, measure: keyof Measures) => number
}

/** The capacity computation, as an experiment that reads the record of another. */
export const capacityExperiment: Experiment = {
  summary: `what each role needs at the planned size, worked out from ${SLOPES_FILE}`,
  async run () {
    const record = JSON.parse(readFileSync(SLOPES_FILE, 'utf8')) as { details: { fits: Fit[] } }
    const rows = listNeeds(createLines(record.details.fits))
    return {
      columns: ['role', 'need', 'value', 'budget', 'fits'],
      rows: rows.map(({ role, need, value, budget }) =>
        [role, need, Number(value.toPrecision(4)), budget ?? '', budget === undefined ? '' : value <= budget ? 'yes' : 'no']),
      notes: [],
      details: { planned: PLANNED, measuredAt: MEASURED_AT }
    }
  }
}

interface Need {
  role: string
  need: string
  value: number
  budget?: number
}

function createLines (fits: Fit[]): Lines {
  const find = (slope: Slope, measure: keyof Measures): Fit['fit'] => {
    const found = fits.find(fit => fit.slope === slope && fit.measure === measure)
    if (found === undefined) throw new Error(`${SLOPES_FILE} has no line of ${measure} along ${slope}`)
    return found.fit
  }
  return {
    at: (slope, measure, value) => find(slope, measure).intercept + find(slope, measure).slope * value,
    per: (slope, measure) => find(slope, measure).slope
  }
}

function listNeeds (lines: Lines): Need[] {
  return [listTrafficNeeds, listNodeNeeds, listManifestNeeds, listServiceNeeds, listFailureNeeds].flatMap(list => list(lines))
}

/** What does not depend on other failure domains: each polls its own engines and renews its own lease. */
const OWN_DOMAIN_ONLY: ReadonlySet<keyof Measures> = new Set(['enginesBytesPerSecond', 'engineReportsPerSecond', 'keyValueWritesPerSecond'])

/** One failure domain of the planned size with its targets, and the growth with further domains. */
function inDomain ({ at, per }: Lines, measure: keyof Measures): number {
  const ownDomain = at(Slope.Targets, measure, PLANNED.targetsInDomain)
  if (OWN_DOMAIN_ONLY.has(measure)) return ownDomain
  const furtherDomains = PLANNED.failureDomains - MEASURED_AT.oneDomain
  const sharedBy = measure === 'vmListBytesPerSecond' ? MEASURED_AT.nodesInDomain / PLANNED.nodesInDomain : 1
  return ownDomain + furtherDomains * per(Slope.FailureDomains, measure) * sharedBy
}

function listTrafficNeeds (lines: Lines): Need[] {
  const parts: Array<keyof Measures> = ['peersBytesPerSecond', 'keyValueBytesPerSecond', 'vmListBytesPerSecond', 'enginesBytesPerSecond']
  const all = parts.reduce((sum, part) => sum + inDomain(lines, part), 0)
  const budget = BUDGET.bytesPerSecond
  return [
    { role: 'peer', need: 'all bytes/s with peers, both ways', value: inDomain(lines, 'peersBytesPerSecond') },
    { role: 'peer', need: 'calls/s made', value: inDomain(lines, 'peerCallsPerSecond') },
    { role: 'watcher', need: 'bytes/s with the key-value service', value: inDomain(lines, 'keyValueBytesPerSecond') },
    { role: 'engines\' side', need: 'bytes/s with engines', value: inDomain(lines, 'enginesBytesPerSecond') },
    { role: 'engines\' side', need: 'report calls/s of a node', value: inDomain(lines, 'engineReportsPerSecond') },
    { role: 'every role', need: 'control bytes/s, both ways, mean of nodes', value: all, budget },
    { role: 'every role', need: 'control bytes/s, one way, mean of nodes', value: all / 2, budget },
    { role: 'reconciler holder', need: 'control bytes/s, both ways', value: inDomain(lines, 'bytesPerSecondMost'), budget }
  ]
}

function listNodeNeeds (lines: Lines): Need[] {
  const { at, per } = lines
  const growth = (measure: keyof Measures): number =>
    (PLANNED.workspaces - MEASURED_AT.workspaces) * per(Slope.Workspaces, measure) +
    (PLANNED.models - MEASURED_AT.models) * per(Slope.Models, measure) +
    PLANNED.changesPerSecond * per(Slope.ChangesPerSecond, measure)
  const resident = at(Slope.Targets, 'residentMegabytesMost', PLANNED.targetsInDomain) + growth('residentMegabytesMost') +
    (PLANNED.targets - PLANNED.targetsInDomain) * per(Slope.Targets, 'heapMegabytes')
  return [
    { role: 'every role', need: '% of a core, mean of nodes', value: inDomain(lines, 'processorPercent') + growth('processorPercent'), budget: BUDGET.processorPercent },
    { role: 'reconciler holder', need: '% of a core', value: inDomain(lines, 'processorPercentMost') + growth('processorPercentMost'), budget: BUDGET.processorPercent },
    { role: 'every role', need: 'resident MB, largest process', value: resident, budget: BUDGET.residentMegabytes },
    { role: 'watcher', need: '% of a core for changes of configuration', value: PLANNED.changesPerSecond * per(Slope.ChangesPerSecond, 'processorPercent') }
  ]
}

function listManifestNeeds ({ at, per }: Lines): Need[] {
  const whole = (measure: keyof Measures): number => at(Slope.NodesInDomain, measure, PLANNED.nodesInDomain) +
    (PLANNED.failureDomains - MEASURED_AT.failureDomains) * per(Slope.FailureDomains, measure) +
    (PLANNED.workspaces - MEASURED_AT.workspaces) * per(Slope.Workspaces, measure) +
    (PLANNED.targets - MEASURED_AT.targets) * per(Slope.Targets, measure)
  return [
    { role: 'watcher', need: 'manifest, KB', value: whole('manifestKilobytes') },
    { role: 'watcher', need: 'ms until in force everywhere, median', value: whole('inForceMedianMilliseconds'), budget: BUDGET.inForceMilliseconds },
    { role: 'watcher', need: 'ms until in force everywhere, worst of 4', value: whole('inForceWorstMilliseconds'), budget: BUDGET.inForceMilliseconds }
  ]
}

function listServiceNeeds (lines: Lines): Need[] {
  return [
    { role: 'key-value service', need: 'reads/s for control', value: PLANNED.nodes * inDomain(lines, 'keyValueReadsPerSecond'), budget: BUDGET.readsPerSecond },
    { role: 'key-value service', need: 'writes/s for control', value: PLANNED.nodes * inDomain(lines, 'keyValueWritesPerSecond'), budget: BUDGET.writesPerSecond },
    { role: 'VM list', need: 'bytes/s served', value: PLANNED.nodes * inDomain(lines, 'vmListBytesPerSecond') },
    { role: 'engines\' side', need: 'report calls/s at one target', value: PLANNED.nodesInDomain * inDomain(lines, 'engineReportsPerSecond') / PLANNED.targetsInDomain }
  ]
}

function listFailureNeeds ({ at, per }: Lines): Need[] {
  const noticed = at(Slope.NodesInDomain, 'deathNoticedMilliseconds', PLANNED.nodesInDomain) +
    (PLANNED.failureDomains - MEASURED_AT.failureDomains) * per(Slope.FailureDomains, 'deathNoticedMilliseconds')
  return [{ role: 'peer', need: 'ms until no node calls a dead one alive', value: noticed }]
}
