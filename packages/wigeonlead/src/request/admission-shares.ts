/**
 * Shares of workspaces in what runs at one node, by weight over the workspaces that were active lately.
 */
import type { ManifestWorkspace } from '@wigeonlead/protocol'

/** What each workspace runs. */
export interface Shares {
  begin: (workspace: ManifestWorkspace) => void
  end: (workspace: ManifestWorkspace) => void
  /** Whether a workspace runs more than its share while others are active. */
  isOver: (workspace: ManifestWorkspace) => boolean
}

/** A workspace stays active for so long after its last request, milliseconds. */
const ACTIVE_MILLISECONDS = 2000
/** A workspace may run so much more than its share before it counts as over it. */
const TOLERANCE = 1.25

interface Activity {
  weight: number
  running: number
  lastAt: number
}

/** Makes shares of which nothing is used. */
export function createShares (): Shares {
  const activities = new Map<string, Activity>()

  function touch (workspace: ManifestWorkspace, change: number): void {
    const activity = activities.get(workspace.name) ?? { weight: workspace.weight, running: 0, lastAt: 0 }
    activities.set(workspace.name, activity)
    activity.weight = workspace.weight
    activity.running += change
    activity.lastAt = Date.now()
  }

  function forgetIdle (): void {
    const now = Date.now()
    for (const [name, activity] of activities) {
      if (activity.running === 0 && now - activity.lastAt > ACTIVE_MILLISECONDS) activities.delete(name)
    }
  }

  return {
    begin: workspace => { touch(workspace, 1) },
    end: workspace => { touch(workspace, -1) },
    isOver (workspace) {
      forgetIdle()
      let weights = 0
      let running = 0
      for (const activity of activities.values()) {
        weights += activity.weight
        running += activity.running
      }
      const own = activities.get(workspace.name)
      if (own === undefined || activities.size < 2) return false
      return own.running > Math.max(1, TOLERANCE * running * own.weight / weights)
    }
  }
}
