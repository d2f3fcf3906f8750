/**
 * A bounded queue that is fair between workspaces: it serves workspaces by deficit round robin with weights, and the items of a workspace
 * by priority, then in order of arrival.
 */

/** An item of the queue. */
export interface QueuedItem {
  workspace: string
  weight: number
  /** 0 is the most urgent. */
  priority: number
  /** Expected tokens of the item, which are charged to the deficit of its workspace. */
  cost: number
  /** Whether the workspace runs no more than its share. If so, and if it has no queued items yet, it is served next. */
  isWithinShare?: boolean
}

/** A bounded, fair queue. */
export interface FairQueue<T extends QueuedItem> {
  /** @returns false if the queue, or the workspace's part of it, is full. */
  add: (item: T) => boolean
  remove: (item: T) => void
  /** Passes items to `take` in fair order and removes them, until `take` returns false; that item stays queued. */
  drain: (take: (item: T) => boolean) => void
  /** @returns the cost of the items that would be served before a new item. */
  costAhead: (workspace: string, weight: number, priority: number) => number
  size: () => number
}

/** Tokens that a workspace of weight 1 may be served in one round. */
const QUANTUM_TOKENS = 64

interface WorkspaceQueue<T> {
  weight: number
  deficit: number
  /** Items of each priority, in order of arrival. */
  items: T[][]
  count: number
  cost: number
  /** Whether the workspace has received its quantum for this round. */
  hasQuantum: boolean
}

/** Creates an empty queue. */
export function createFairQueue<T extends QueuedItem> (maxItems: number, maxItemsPerWorkspace: number): FairQueue<T> {
  const workspaces = new Map<string, WorkspaceQueue<T>>()
  /** Workspaces with queued items, in the order in which they are served. */
  const turnOrder: string[] = []
  let count = 0

  function add (item: T): boolean {
    let queue = workspaces.get(item.workspace)
    if (count >= maxItems || (queue?.count ?? 0) >= maxItemsPerWorkspace) return false
    if (queue === undefined) {
      queue = { weight: item.weight, deficit: 0, items: [], count: 0, cost: 0, hasQuantum: false }
      workspaces.set(item.workspace, queue)
      if (item.isWithinShare === true) turnOrder.unshift(item.workspace)
      else turnOrder.push(item.workspace)
    }
    queue.weight = item.weight
    const samePriority = queue.items[item.priority] ?? []
    queue.items[item.priority] = samePriority
    samePriority.push(item)
    queue.count += 1
    queue.cost += item.cost
    count += 1
    return true
  }

  function remove (item: T): void {
    const queue = workspaces.get(item.workspace)
    const samePriority = queue?.items[item.priority]
    const position = samePriority?.indexOf(item) ?? -1
    if (queue === undefined || samePriority === undefined || position < 0) return
    samePriority.splice(position, 1)
    queue.count -= 1
    queue.cost -= item.cost
    count -= 1
    if (queue.count > 0) return
    workspaces.delete(item.workspace)
    turnOrder.splice(turnOrder.indexOf(item.workspace), 1)
  }

  function drain (take: (item: T) => boolean): void {
    while (turnOrder.length > 0) {
      const name = turnOrder[0] ?? ''
      const queue = workspaces.get(name)
      const item = queue?.items.find(samePriority => samePriority !== undefined && samePriority.length > 0)?.[0]
      if (queue === undefined || item === undefined) return
      if (!queue.hasQuantum) {
        queue.hasQuantum = true
        queue.deficit += QUANTUM_TOKENS * queue.weight
      }
      if (queue.deficit < item.cost) {
        queue.hasQuantum = false
        turnOrder.push(turnOrder.shift() ?? name)
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
      const ownQueue = workspaces.get(workspace)
      const ownCost = (ownQueue?.items ?? []).slice(0, priority + 1).flat().reduce((sum, item) => sum + (item?.cost ?? 0), 0)
      let ahead = ownCost
      for (const [name, queue] of workspaces) {
        if (name !== workspace) ahead += Math.min(queue.cost, (ownCost + QUANTUM_TOKENS * weight) * queue.weight / weight)
      }
      return ahead
    },
    size: () => count
  }
}
