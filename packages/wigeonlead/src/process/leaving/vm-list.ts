/**
 * Polls the VM list at a rate bounded in bytes: a few nodes of each failure domain poll, the others learn from them.
 */
import type { VmEntry, VmListPort } from '@wigeonlead/protocol'
import { mergeVmList } from './sources.js'

/** The VM list as this node last saw it. */
export interface VmListView {
  vms: () => readonly VmEntry[]
  /** Polls when the next poll is due. @returns whether a new list came. */
  refresh: () => Promise<boolean>
}

const SHORTEST_INTERVAL_MILLISECONDS = 2000
const BYTES_PER_ENTRY = 120
const BYTES_PER_SECOND = 12_000

/** Makes an empty view. */
export function createVmListView (vmList: VmListPort): VmListView {
  let vms: VmEntry[] = []
  let dueAt = -Infinity

  return {
    vms: () => vms,
    async refresh () {
      if (performance.now() < dueAt) return false
      dueAt = performance.now() + vmListIntervalMilliseconds(vms.length)
      const listed = await vmList.list()
      if (!listed.ok) return false
      vms = mergeVmList(vms, listed.value)
      return true
    }
  }
}

/** @returns the time between two polls of a list of so many VMs, milliseconds. */
export function vmListIntervalMilliseconds (entries: number): number {
  return Math.max(SHORTEST_INTERVAL_MILLISECONDS, entries * BYTES_PER_ENTRY / BYTES_PER_SECOND * 1000)
}
