/**
 * Demand of the heaviest workspaces over the fleet, and this node's share of each workspace's limits.
 */
import type { DomainSummary } from '@wigeonlead/protocol'

/** Demand of one workspace and this node's share of the workspace's limits. */
export interface DemandShare {
  /** Requests per second of the workspace at this node. */
  nodeRate: number
  /** Requests per second of the workspace at all nodes, as far as this node knows. */
  fleetRate: number
  /** Number of nodes that accept requests. */
  nodes: number
  /** This node's share of the workspace's limits, in (0, 1]; when all nodes have the same view, their shares add up to 1. */
  share: number
}

/** Share of a limit that is split evenly over the nodes, so that a node without demand can begin to serve at once. */
const FLOOR_SHARE = 0.2
const MAXIMUM_HEAVY_WORKSPACES = 16
const VIEW_REFRESH_MILLISECONDS = 1000

/** Sources of the demand figures. */
export interface DemandSources {
  /** Requests per second at this node, by workspace. */
  nodeDemand: () => Record<string, number>
  /** Requests per second at each other node of the failure domain, by workspace. */
  peerDemands: () => Iterable<Record<string, number>>
  /** Number of nodes of the failure domain that accept requests, this node included. */
  aliveInDomain: () => number
  /** Latest summary of each other failure domain; it stays valid while that domain can't be reached. */
  otherDomains: () => DomainSummary[]
}

/** Demand over the fleet as this node sees it, cached for up to a second, so that it is cheap to read at each request and message. */
export interface Demand {
  /** Returns this node's share of a workspace's limits: they are split by demand, with a minimum share for each node. */
  shareOf: (workspace: string) => DemandShare
  /** Returns requests per second of the workspaces with the highest demand at this node. */
  heaviestOfNode: () => Record<string, number>
  /** Returns requests per second of the workspaces with the highest demand in the failure domain. */
  heaviestOfDomain: () => Record<string, number>
}

interface DemandView {
  nodeDemand: Record<string, number>
  heaviestOfNode: Record<string, number>
  heaviestOfDomain: Record<string, number>
  /** Requests per second at all other nodes, by workspace. */
  atOtherNodes: Record<string, number>
  nodes: number
}

/** Creates the view of the demand. */
export function createDemand (sources: DemandSources): Demand {
  let view: DemandView | undefined
  let viewReadAtMilliseconds = 0

  function currentView (): DemandView {
    const now = performance.now()
    if (view === undefined || now - viewReadAtMilliseconds >= VIEW_REFRESH_MILLISECONDS) {
      view = computeDemandView(sources)
      viewReadAtMilliseconds = now
    }
    return view
  }

  return {
    shareOf (workspace) {
      const { nodeDemand, atOtherNodes, nodes } = currentView()
      const rate = nodeDemand[workspace] ?? 0
      return splitByDemand(rate, rate + (atOtherNodes[workspace] ?? 0), nodes)
    },
    heaviestOfNode: () => currentView().heaviestOfNode,
    heaviestOfDomain: () => currentView().heaviestOfDomain
  }
}

function computeDemandView (sources: DemandSources): DemandView {
  const nodeDemand = sources.nodeDemand()
  const heaviestOfNode = pickHeaviest(nodeDemand)
  const peerDemands = [...sources.peerDemands()]
  const summaries = sources.otherDomains()
  return {
    nodeDemand,
    heaviestOfNode,
    heaviestOfDomain: pickHeaviest(sumDemand([heaviestOfNode, ...peerDemands])),
    atOtherNodes: sumDemand([...peerDemands, ...summaries.map(summary => summary.demand)]),
    nodes: summaries.reduce((sum, summary) => sum + summary.aliveMembers, sources.aliveInDomain())
  }
}

function splitByDemand (nodeRate: number, fleetRate: number, nodes: number): DemandShare {
  const evenShare = 1 / Math.max(1, nodes)
  const share = fleetRate === 0 ? evenShare : FLOOR_SHARE * evenShare + (1 - FLOOR_SHARE) * nodeRate / fleetRate
  return { nodeRate, fleetRate, nodes, share }
}

/** Returns the workspaces with the highest rates, rounded to two digits. */
function pickHeaviest (demand: Record<string, number>): Record<string, number> {
  const heavy: Array<[string, number]> = []
  let lowestRate = 0
  for (const [workspace, rate] of Object.entries(demand)) {
    if (rate <= lowestRate) continue
    heavy.push([workspace, rate])
    if (heavy.length <= MAXIMUM_HEAVY_WORKSPACES) continue
    heavy.sort(([, left], [, right]) => right - left).pop()
    lowestRate = heavy.at(-1)?.[1] ?? 0
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
