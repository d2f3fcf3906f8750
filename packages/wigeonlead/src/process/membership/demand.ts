/**
 * Demand of heavy workspaces over the fleet, and this node's share of what a workspace may use.
 */
import type { DomainSummary } from '@wigeonlead/protocol'

/** Demand for one workspace and this node's part of it. */
export interface DemandShare {
  /** Requests a second at this node. */
  own: number
  /** Requests a second at all nodes, as far as it is known. */
  total: number
  /** Nodes that take work. */
  nodes: number
  /** This node's share of the workspace's limits, in (0, 1]; over all nodes that agree the shares add up to 1. */
  share: number
}

/** Part of a limit that is split evenly, so that a node without demand can begin to serve at once. */
const FLOOR_PART = 0.2
const HEAVY_WORKSPACES = 16
const VIEW_MILLISECONDS = 1000

/** Where the demand comes from. */
export interface DemandSources {
  own: () => Record<string, number>
  /** Of the other nodes of the failure domain. */
  ownDomain: () => Iterable<Record<string, number>>
  /** Nodes of the failure domain that take work, this one included. */
  aliveInDomain: () => number
  /** The last word of each other failure domain; it stands while that can't be heard. */
  others: () => DomainSummary[]
}

/** Demand over the fleet as this node sees it, at most a second old: requests and messages may ask each time. */
export interface Demand {
  /** A workspace's limits are split by demand, with a floor a node. */
  shareOf: (workspace: string) => DemandShare
  /** The heaviest workspaces at this node. */
  ownHeaviest: () => Record<string, number>
  /** The heaviest workspaces of the failure domain. */
  domainHeaviest: () => Record<string, number>
}

interface DemandView {
  own: Record<string, number>
  ownHeaviest: Record<string, number>
  domainHeaviest: Record<string, number>
  /** At all other nodes. */
  elsewhere: Record<string, number>
  nodes: number
}

/** Makes the view of the demand. */
export function createDemand (sources: DemandSources): Demand {
  let view: DemandView | undefined
  let viewedMilliseconds = 0

  function read (): DemandView {
    const now = performance.now()
    if (view === undefined || now - viewedMilliseconds >= VIEW_MILLISECONDS) {
      view = viewDemand(sources)
      viewedMilliseconds = now
    }
    return view
  }

  return {
    shareOf (workspace) {
      const { own, elsewhere, nodes } = read()
      const rate = own[workspace] ?? 0
      return splitByDemand(rate, rate + (elsewhere[workspace] ?? 0), nodes)
    },
    ownHeaviest: () => read().ownHeaviest,
    domainHeaviest: () => read().domainHeaviest
  }
}

function viewDemand (sources: DemandSources): DemandView {
  const own = sources.own()
  const ownHeaviest = heaviest(own)
  const ownDomain = [...sources.ownDomain()]
  const summaries = sources.others()
  return {
    own,
    ownHeaviest,
    domainHeaviest: heaviest(sumDemand([ownHeaviest, ...ownDomain])),
    elsewhere: sumDemand([...ownDomain, ...summaries.map(summary => summary.demand)]),
    nodes: summaries.reduce((sum, summary) => sum + summary.aliveMembers, sources.aliveInDomain())
  }
}

function splitByDemand (own: number, total: number, nodes: number): DemandShare {
  const even = 1 / Math.max(1, nodes)
  const share = total === 0 ? even : FLOOR_PART * even + (1 - FLOOR_PART) * own / total
  return { own, total, nodes, share }
}

/** The heaviest workspaces of a record, rounded to two digits. */
function heaviest (demand: Record<string, number>): Record<string, number> {
  const heavy: Array<[string, number]> = []
  let least = 0
  for (const [workspace, rate] of Object.entries(demand)) {
    if (rate <= least) continue
    heavy.push([workspace, rate])
    if (heavy.length <= HEAVY_WORKSPACES) continue
    heavy.sort(([, left], [, right]) => right - left).pop()
    least = heavy.at(-1)?.[1] ?? 0
  }
  return Object.fromEntries(heavy.map(([workspace, rate]) => [workspace, Number(rate.toPrecision(2))]))
}

function sumDemand (records: Iterable<Record<string, number>>): Record<string, number> {
  const sum: Record<string, number> = {}
  for (const record of records) {
    for (const [workspace, rate] of Object.entries(record)) sum[workspace] = (sum[workspace] ?? 0) + rate
  }
  return sum
}
