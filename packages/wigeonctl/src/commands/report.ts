/**
 * `wigeonctl report`: shows the error budget burn rates, summed over all entry VMs that can be reached.
 */
import { BURN_WINDOWS_MINUTES, burnRate, burnReportSchema, type BurnCounts, type BurnReport, type ObjectiveBurn } from '@wigeonlead/protocol'
import { queryRouters, type RouterQuery } from '../routers.js'
import { ExitCode, type CommandOutput } from '../tool.js'
import { describeUnreachable } from './status.js'

/** How fast an error budget is used up. */
export enum BurnState {
  Within = 'within',
  /** The burn rate is above 6 over the last 6 h and over the last 30 min. */
  Slow = 'slow-burn',
  /** The burn rate is above 14.4 over the last hour and over the last 5 min. */
  Fast = 'fast-burn'
}

/** The burn of one objective, summed over the fleet. */
export interface FleetBurn extends ObjectiveBurn {
  /** Burn rates, in the order of `BURN_WINDOWS_MINUTES`. */
  rates: number[]
  state: BurnState
}

/** The burn of all objectives, summed over the fleet. */
export interface FleetReport {
  atMilliseconds: number
  reached: string[]
  unreachable: Array<{ address: string, reason: string }>
  objectives: FleetBurn[]
}

const FAST_BURN_RATE = 14.4
const SLOW_BURN_RATE = 6

/** Queries every entry VM and sums the counts. Returns exit code 1 if one of them could not be reached. */
export async function reportCommand (query: RouterQuery): Promise<CommandOutput & { value: FleetReport }> {
  const answers = await queryRouters(query, '/burn', burnReportSchema)
  const reports = answers.flatMap(answer => 'value' in answer ? [answer.value] : [])
  const unreachable = answers.flatMap(answer => 'unreachable' in answer ? [{ address: answer.address, reason: answer.unreachable }] : [])
  const value: FleetReport = {
    atMilliseconds: Date.now(),
    reached: answers.flatMap(answer => 'value' in answer ? [answer.address] : []),
    unreachable,
    objectives: mergeReports(reports)
  }
  const text = [
    `${reports.length} of ${answers.length} entry VMs answered`,
    ...answers.filter(answer => 'unreachable' in answer).map(answer => describeUnreachable(answer)),
    ...renderTable(value.objectives)
  ].join('\n')
  return { code: unreachable.length === 0 && reports.length > 0 ? ExitCode.Success : ExitCode.Failed, text, value }
}

/** Sums the counts of each objective over the entry VMs. */
export function mergeReports (reports: BurnReport[]): FleetBurn[] {
  const merged = new Map<string, ObjectiveBurn>()
  for (const burn of reports.flatMap(report => report.objectives)) {
    const key = `${burn.resource} ${burn.name} ${burn.objective}`
    const existing = merged.get(key)
    merged.set(key, existing === undefined
      ? burn
      : { ...burn, windows: addCounts(existing.windows, burn.windows), series: addCounts(existing.series, burn.series) })
  }
  return [...merged.entries()].sort(([left], [right]) => left < right ? -1 : 1).map(([, burn]) => {
    const rates = burn.windows.map(counts => burnRate(counts, burn.share))
    return { ...burn, rates, state: classifyBurn(rates) }
  })
}

function classifyBurn (rates: number[]): BurnState {
  const [fiveMinutes = 0, halfHour = 0, hour = 0, sixHours = 0] = rates
  if (hour > FAST_BURN_RATE && fiveMinutes > FAST_BURN_RATE) return BurnState.Fast
  return sixHours > SLOW_BURN_RATE && halfHour > SLOW_BURN_RATE ? BurnState.Slow : BurnState.Within
}

function addCounts (left: BurnCounts[], right: BurnCounts[]): BurnCounts[] {
  const zero = { good: 0, bad: 0 }
  return Array.from({ length: Math.max(left.length, right.length) }, (_, index) => {
    const [leftCounts, rightCounts] = [left[index] ?? zero, right[index] ?? zero]
    return { good: leftCounts.good + rightCounts.good, bad: leftCounts.bad + rightCounts.bad }
  })
}

function renderTable (objectives: FleetBurn[]): string[] {
  if (objectives.length === 0) return ['no event was counted for any objective in the last 6 h']
  const windows = BURN_WINDOWS_MINUTES.map(formatWindow)
  const rows = [
    ['resource', 'objective', 'wanted', ...windows.map(window => `burn ${window}`), 'bad of total 6h', 'state'],
    ...objectives.map(burn => {
      const longest = burn.windows.at(-1) ?? { good: 0, bad: 0 }
      const rates = burn.rates.map(rate => rate.toFixed(2))
      return [`${burn.resource} ${burn.name}`, burn.objective, describeObjective(burn), ...rates, `${longest.bad} of ${longest.good + longest.bad}`, burn.state]
    })
  ]
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
}

/** Returns the goal of an objective, such as `95 % within 1900 ms`. */
export function describeObjective (burn: ObjectiveBurn): string {
  const share = `${Math.round(burn.share * 1e5) / 1e3} %`
  return burn.limitMilliseconds === undefined ? share : `${share} within ${burn.limitMilliseconds} ms`
}

/** Returns the name of a window, such as `30m` or `6h`. */
export function formatWindow (minutes: number): string {
  return minutes < 60 ? `${minutes}m` : `${minutes / 60}h`
}
