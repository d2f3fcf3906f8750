/**
 * A bounded queue that is fair between workspaces: deficit round robin by weight, and within a workspace the most urgent
 * priority first, then the order of arrival.
 */

/** What stands in the queue. */
export interface QueuedItem {
  workspace: string
  weight: number
  /** 0 is the most urgent. */
  priority: number
  /** What the item takes of its workspace's share, in any one unit. */
  cost: number
  /** The workspace runs no more than its share: its first item goes before those that wait in the round. */
  isWithinShare?: boolean
}

/** A fair queue. */
export interface FairQueue<T extends QueuedItem> {
  /** @returns false when the queue, or the workspace's part of it, is full. */
  add: (item: T) => boolean
  remove: (item: T) => void
  /** Hands items out in fair order until `take` returns false, which leaves the item where it is. */
  drain: (take: (item: T) => boolean) => void
  /** @returns the cost that would be handed out before a new item. */
  costAhead: (workspace: string, weight: number, priority: number) => number
  size: () => number
}

/** What a workspace of weight 1 may hand out in one round, in units of cost. */
const QUANTUM = 64

interface WorkspaceQueue<T> {
  weight: number
  deficit: number
  /** Items by priority. */
  items: T[][]
  count: number
  cost: number
  /** The workspace got its quantum of this round. */
  isServed: boolean
}

/** Makes an empty queue with its bounds. */
export function createFairQueue<T extends QueuedItem> (mostItems: number, mostItemsAWorkspace: number): FairQueue<T> {
  const workspaces = new Map<string, WorkspaceQueue<T>>()
  const round: string[] = []
  let count = 0

  function add (item: T): boolean {
    let queue = workspaces.get(item.workspace)
    if (count >= mostItems || (queue?.count ?? 0) >= mostItemsAWorkspace) return false
    if (queue === undefined) {
      queue = { weight: item.weight, deficit: 0, items: [], count: 0, cost: 0, isServed: false }
      workspaces.set(item.workspace, queue)
      if (item.isWithinShare === true) round.unshift(item.workspace)
      else round.push(item.workspace)
    }
    queue.weight = item.weight
    const same = queue.items[item.priority] ?? []
    queue.items[item.priority] = same
    same.push(item)
    queue.count += 1
    queue.cost += item.cost
    count += 1
    return true
  }

  function remove (item: T): void {
    const queue = workspaces.get(item.workspace)
    const same = queue?.items[item.priority]
    const position = same?.indexOf(item) ?? -1
    if (queue === undefined || same === undefined || position < 0) return
    same.splice(position, 1)
    queue.count -= 1
    queue.cost -= item.cost
    count -= 1
    if (queue.count > 0) return
    workspaces.delete(item.workspace)
    round.splice(round.indexOf(item.workspace), 1)
  }

  function drain (take: (item: T) => boolean): void {
    while (round.length > 0) {
      const name = round[0] ?? ''
      const queue = workspaces.get(name)
      const item = queue?.items.find(same => same !== undefined && same.length > 0)?.[0]
      if (queue === undefined || item === undefined) return
      if (!queue.isServed) {
        queue.isServed = true
        queue.deficit += QUANTUM * queue.weight
      }
      if (queue.deficit < item.cost) {
        queue.isServed = false
        round.push(round.shift() ?? name)
        continue
      }
      if (!take(item)) return
      queue.deficit -= item.cost
      remove(item)
    }
  }

  return {
    add,
    remove,
    drain,
    costAhead (workspace, weight, priority) {
      const own = workspaces.get(workspace)
      const ownCost = (own?.items ?? []).slice(0, priority + 1).flat().reduce((sum, item) => sum + (item?.cost ?? 0), 0)
      let ahead = ownCost
      for (const [name, queue] of workspaces) {
        if (name !== workspace) ahead += Math.min(queue.cost, (ownCost + QUANTUM * weight) * queue.weight / weight)
      }
      return ahead
    },
    size: () => count
  }
}
