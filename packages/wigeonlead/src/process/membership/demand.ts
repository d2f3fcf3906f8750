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

/** @returns the heaviest workspaces of a record, rounded to two digits. */
export function heaviest (demand: Record<string, number>): Record<string, number> {
  const heavy = Object.entries(demand).filter(([, rate]) => rate > 0).sort(([, left], [, right]) => right - left).slice(0, HEAVY_WORKSPACES)
  return Object.fromEntries(heavy.map(([workspace, rate]) => [workspace, Number(rate.toPrecision(2))]))
}

/** @returns the sum of several records of demand. */
export function sumDemand (records: Iterable<Record<string, number>>): Record<string, number> {
  const sum: Record<string, number> = {}
  for (const record of records) {
    for (const [workspace, rate] of Object.entries(record)) sum[workspace] = (sum[workspace] ?? 0) + rate
  }
  return sum
}

/**
 * Splits a workspace's limits by demand, with a floor a node.
 * @param own demand at this node, requests a second.
 * @param ownDomain demand of the other nodes of the failure domain.
 * @param aliveInDomain nodes of the failure domain that take work, this one included.
 * @param others the last word of each other failure domain; it stands while that can't be heard.
 */
export function splitByDemand (
  workspace: string, own: number, ownDomain: Iterable<Record<string, number>>, aliveInDomain: number, others: DomainSummary[]
): DemandShare {
  let total = own
  for (const record of ownDomain) total += record[workspace] ?? 0
  let nodes = aliveInDomain
  for (const summary of others) {
    total += summary.demand[workspace] ?? 0
    nodes += summary.aliveMembers
  }
  const even = 1 / Math.max(1, nodes)
  const share = total === 0 ? even : FLOOR_PART * even + (1 - FLOOR_PART) * own / total
  return { own, total, nodes, share }
}
