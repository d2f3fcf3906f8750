/**
 * Which requests of a rank that is served in part are admitted: the part is divided over the workspaces, so that those with the most
 * requests give way first, and the requests of a workspace are admitted at even distances.
 */
import type { Rank } from './admission.js'

/** Requests of one service that are counted by rank and workspace. */
export interface WorkspaceShares {
  /**
   * Counts a request and decides whether it is admitted.
   * @param share share of the rank's requests that is served.
   */
  admits: (rank: Rank, workspace: string, share: number) => boolean
  /** Updates the counts; called every 200 ms. */
  step: (level: number) => void
}

/** Requests of one workspace at one rank. */
interface WorkspaceCount {
  /** Requests that arrived, older ones counted less. */
  arrivals: number
  /** Part of a request that is due; the next is admitted when it reaches 1. */
  due: number
}

interface RankCount {
  workspaces: Map<string, WorkspaceCount>
  /** Requests that were due at the share of the rank, less those that were due at the shares of workspaces. */
  owed: number
}

/** Part of a count that is left after one step of 200 ms: half after 10 s, in which a VM sees about twenty requests of a service. */
const KEPT_PART = 0.986
/** Part of `owed` that is added to the share of the next request: counts of few requests divide the rank's share inexactly. */
const OWED_PART = 0.1
const OWED_LIMIT = 4
/** A workspace with fewer counted requests is dropped. */
const LEAST_COUNT = 0.02
/** Number of workspaces that are counted for each rank; those beyond share one count. */
const WORKSPACES_LIMIT = 256
const OTHER_WORKSPACES = '\0other'
/** The level is open or serves the rank in full: counts are not needed. */
const FULL_SHARE = 1

/**
 * Creates empty counts.
 * @param floorShare part of the share of its rank that each workspace keeps.
 * @param nextFloat sets the first admitted request of each workspace, which must differ between VMs.
 */
export function createWorkspaceShares (floorShare: number, nextFloat: () => number): WorkspaceShares {
  const ranks = new Map<Rank, RankCount>()

  function countOf (count: RankCount, workspace: string): WorkspaceCount {
    const known = count.workspaces.get(workspace)
    if (known !== undefined) return known
    if (count.workspaces.size >= WORKSPACES_LIMIT && workspace !== OTHER_WORKSPACES) return countOf(count, OTHER_WORKSPACES)
    const created = { arrivals: 0, due: nextFloat() }
    count.workspaces.set(workspace, created)
    return created
  }

  return {
    admits (rank, workspace, share) {
      if (share >= FULL_SHARE) return true
      let count = ranks.get(rank)
      if (count === undefined) ranks.set(rank, count = { workspaces: new Map(), owed: 0 })
      const own = countOf(count, workspace)
      own.arrivals += 1
      const floor = floorShare * share
      const part = equalPart([...count.workspaces.values()].map(({ arrivals }) => arrivals), share, floor)
      const ownShare = Math.max(floor, Math.min(1, floor + part / own.arrivals + OWED_PART * count.owed))
      count.owed = Math.max(-OWED_LIMIT, Math.min(OWED_LIMIT, count.owed + share - ownShare))
      own.due += ownShare
      if (own.due < 1) return false
      own.due -= 1
      return true
    },
    step (level) {
      for (const [rank, count] of ranks) {
        for (const [workspace, own] of count.workspaces) {
          own.arrivals *= KEPT_PART
          if (own.arrivals < LEAST_COUNT) count.workspaces.delete(workspace)
        }
        if (count.workspaces.size === 0 || level >= rank + FULL_SHARE) ranks.delete(rank)
      }
    }
  }
}

/**
 * @param arrivals requests of each workspace.
 * @returns the largest number of requests above its floor for one workspace, at which all together are the share of the rank.
 */
function equalPart (arrivals: readonly number[], share: number, floor: number): number {
  let left = (share - floor) * arrivals.reduce((total, count) => total + count, 0)
  if (left <= 0) return 0
  const wanted = arrivals.map(count => (1 - floor) * count).sort((one, other) => one - other)
  for (const [index, want] of wanted.entries()) {
    const part = left / (wanted.length - index)
    if (want >= part) return part
    left -= want
  }
  return Infinity
}
