/**
 * Order in which the requests of one service wait. A pure structure: it holds no timer and reads no clock.
 */
import type { Rank } from './admission.js'

/** A request that waits. */
export interface WaitingEntry {
  rank: Rank
  /** Goes in front of the first starts of its rank. */
  isRepeat?: boolean
  /** Absent on anonymous routes, whose requests count as one workspace. */
  workspace?: string
  tokens: number
  /** Monotonic time, milliseconds. */
  waitEndsAt: number
}

/** Waiting requests of one service, up to a limit. */
export interface WaitingQueue<Entry extends WaitingEntry> {
  /** Adds a request. @returns the request with the worst place, which gives way, if the queue is full; it may be the added one. */
  push: (entry: Entry) => Entry | undefined
  /** Removes a request that does not start. @returns whether it was waiting. */
  remove: (entry: Entry) => boolean
  /** Removes a request that starts, and charges its tokens to its workspace. */
  take: (entry: Entry) => void
  /**
   * @returns the request whose turn it is, then further ones that may have capacity where it has none: of another workspace, or smaller
   * than all before them; at most `limit` in all.
   */
  candidates: (limit: number) => Entry[]
  /** @returns the first request in the order that matches. */
  findFirst: (matches: (entry: Entry) => boolean) => Entry | undefined
  /** Whether a request that is not in the queue would be the first of it by rank, or as a repeat. */
  isAheadOfAll: (entry: WaitingEntry) => boolean
  /** @returns how many requests are expected to start before a waiting one. */
  countAhead: (entry: Entry) => number
  /** Removes and returns the requests whose wait has ended. */
  removeEnded: (now: number) => Entry[]
  size: () => number
}

/** The waiting requests of one workspace in one class, by the end of their wait. */
interface Flow<Entry> {
  workspace: string
  entries: Entry[]
  /** Tokens started, from the common start of the flows of the class: the flow with the fewest has its turn. */
  served: number
}

/** Requests of one rank that are all repeats, or all first starts. */
interface RankClass<Entry> {
  flows: Map<string, Flow<Entry>>
  /** `served` of the flow that started last: a workspace that comes later begins here, and has no claim from the time before. */
  servedAtTurn: number
}

/** @returns the position of a request's class: by rank, repeats before first starts. */
function classOf ({ rank, isRepeat }: WaitingEntry): number {
  return rank * 2 + (isRepeat === true ? 0 : 1)
}

/**
 * Creates an empty queue. Its order is by rank; within a rank the workspaces take turns by the tokens that they have started, as in deficit
 * round robin with the smallest quantum; within a workspace the wait that ends first goes first.
 */
export function createWaitingQueue<Entry extends WaitingEntry> (limit: number): WaitingQueue<Entry> {
  const classes = new Map<number, RankClass<Entry>>()
  let count = 0

  function flowOf (entry: Entry): Flow<Entry> {
    const position = classOf(entry)
    const rankClass = classes.get(position) ?? { flows: new Map<string, Flow<Entry>>(), servedAtTurn: 0 }
    classes.set(position, rankClass)
    const workspace = entry.workspace ?? ''
    const flow = rankClass.flows.get(workspace) ?? { workspace, entries: [], served: rankClass.servedAtTurn }
    rankClass.flows.set(workspace, flow)
    if (flow.entries.length === 0) flow.served = Math.max(flow.served, rankClass.servedAtTurn)
    return flow
  }

  function waitingFlows (rankClass: RankClass<Entry>): Array<Flow<Entry>> {
    return [...rankClass.flows.values()].filter(({ entries }) => entries.length > 0).sort((a, b) => a.served - b.served)
  }

  /** @returns classes in which requests wait, the most urgent first. */
  function waitingClasses (): Array<[position: number, rankClass: RankClass<Entry>]> {
    return [...classes].filter(([, { flows }]) => [...flows.values()].some(({ entries }) => entries.length > 0)).sort(([a], [b]) => a - b)
  }

  function removeFrom (entry: Entry): boolean {
    const entries = classes.get(classOf(entry))?.flows.get(entry.workspace ?? '')?.entries ?? []
    const index = entries.indexOf(entry)
    if (index === -1) return false
    entries.splice(index, 1)
    count -= 1
    // What a workspace has started matters only while others wait.
    if (count === 0) classes.clear()
    return true
  }

  /** @returns of the least urgent class, the request of the most loaded workspace whose wait ends last. */
  function findWorst (): Entry {
    const [, rankClass] = waitingClasses().at(-1)!
    const tokensOf = ({ entries }: Flow<Entry>): number => entries.reduce((sum, { tokens }) => sum + tokens, 0)
    const flows = waitingFlows(rankClass).map(flow => ({ flow, tokens: tokensOf(flow) }))
    return flows.reduce((worst, other) => other.tokens > worst.tokens ? other : worst).flow.entries.at(-1)!
  }

  return {
    push (entry) {
      const { entries } = flowOf(entry)
      const index = entries.findIndex(({ waitEndsAt }) => waitEndsAt > entry.waitEndsAt)
      entries.splice(index === -1 ? entries.length : index, 0, entry)
      count += 1
      if (count <= limit) return undefined
      const worst = findWorst()
      removeFrom(worst)
      return worst
    },
    remove: removeFrom,
    take (entry) {
      const rankClass = classes.get(classOf(entry))
      const flow = rankClass?.flows.get(entry.workspace ?? '')
      if (rankClass === undefined || flow === undefined || !removeFrom(entry)) return
      rankClass.servedAtTurn = Math.max(rankClass.servedAtTurn, flow.served)
      flow.served += entry.tokens
      for (const [workspace, { entries, served }] of rankClass.flows) {
        if (entries.length === 0 && served <= rankClass.servedAtTurn) rankClass.flows.delete(workspace)
      }
    },
    candidates (maximum) {
      const found: Entry[] = []
      let leastTokens = Infinity
      for (const [, rankClass] of waitingClasses()) {
        for (const { entries } of waitingFlows(rankClass)) {
          for (const [index, entry] of entries.entries()) {
            if (found.length >= maximum) return found
            if (index > 0 && entry.tokens >= leastTokens) continue
            found.push(entry)
            leastTokens = Math.min(leastTokens, entry.tokens)
          }
        }
      }
      return found
    },
    findFirst (matches) {
      for (const [, rankClass] of waitingClasses()) {
        for (const { entries } of waitingFlows(rankClass)) {
          const found = entries.find(matches)
          if (found !== undefined) return found
        }
      }
      return undefined
    },
    isAheadOfAll (entry) {
      const first = waitingClasses()[0]
      return first === undefined || classOf(entry) < first[0]
    },
    countAhead (entry) {
      const position = classOf(entry)
      let ahead = 0
      for (const [other, { flows }] of classes) {
        if (other > position) continue
        const own = other === position ? flows.get(entry.workspace ?? '')!.entries.indexOf(entry) : Infinity
        for (const { workspace, entries } of flows.values()) {
          ahead += other === position && workspace === (entry.workspace ?? '') ? own : Math.min(entries.length, own + 1)
        }
      }
      return ahead
    },
    removeEnded (now) {
      const ended = [...classes.values()].flatMap(({ flows }) => [...flows.values()])
        .flatMap(({ entries }) => entries.filter(({ waitEndsAt }) => waitEndsAt <= now))
      for (const entry of ended) removeFrom(entry)
      return ended
    },
    size: () => count
  }
}
