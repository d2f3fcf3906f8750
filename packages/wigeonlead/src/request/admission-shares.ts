/**
 * Tracks how many requests each workspace runs at one node, and compares them with its fair share: its weight over the weights of all
 * recently active workspaces.
 */
import type { ManifestWorkspace } from '@wigeonlead/protocol'

/** Running requests of each workspace. */
export interface Shares {
  begin: (workspace: ManifestWorkspace) => void
  end: (workspace: ManifestWorkspace) => void
  /** Tells whether a workspace runs more than its share while other workspaces are active. */
  isOver: (workspace: ManifestWorkspace) => boolean
}

/** A workspace counts as active for this long after its last request began or ended. */
const ACTIVE_MILLISECONDS = 2000
/** A workspace counts as over its share only when it runs more than this factor times its share. */
const OVER_SHARE_TOLERANCE = 1.25

interface Activity {
  weight: number
  running: number
  lastActiveAt: number
}

/** Creates shares without any running requests. */
export function createShares (): Shares {
  const activities = new Map<string, Activity>()

  function recordChange (workspace: ManifestWorkspace, change: number): void {
    const activity = activities.get(workspace.name) ?? { weight: workspace.weight, running: 0, lastActiveAt: 0 }
    activities.set(workspace.name, activity)
    activity.weight = workspace.weight
    activity.running += change
    activity.lastActiveAt = Date.now()
  }

  function removeIdle (): void {
    const now = Date.now()
    for (const [name, activity] of activities) {
      if (activity.running === 0 && now - activity.lastActiveAt > ACTIVE_MILLISECONDS) activities.delete(name)
    }
  }

  return {
    begin: workspace => { recordChange(workspace, 1) },
    end: workspace => { recordChange(workspace, -1) },
    isOver (workspace) {
      removeIdle()
      let weights = 0
      let running = 0
      for (const activity of activities.values()) {
        weights += activity.weight
        running += activity.running
      }
      const ownActivity = activities.get(workspace.name)
      if (ownActivity === undefined || activities.size < 2) return false
      return ownActivity.running > Math.max(1, OVER_SHARE_TOLERANCE * running * ownActivity.weight / weights)
    }
  }
}
