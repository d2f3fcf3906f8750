/**
 * Polls the VM list at a rate bounded in bytes: a few nodes of each failure domain poll in turn, the others learn from them.
 */
import type { VmEntry, VmListPort } from '@wigeonlead/protocol'
import { mergeVmList } from './sources.js'

/** The VM list as this node last saw it. */
export interface VmListView {
  vms: () => readonly VmEntry[]
  /** Polls when this node's turn has come. @returns whether a new list came. */
  refresh: (turn: PollTurn) => Promise<boolean>
}

/** The place of a node among those that poll; by the wall clock they poll one after another. */
export interface PollTurn {
  position: number
  pollers: number
}

const SHORTEST_INTERVAL_MILLISECONDS = 2000
const BYTES_PER_ENTRY = 120
const BYTES_PER_SECOND = 12_000

/** Makes an empty view. */
export function createVmListView (vmList: VmListPort): VmListView {
  let vms: VmEntry[] = []
  let lastTurn: number | undefined

  return {
    vms: () => vms,
    async refresh ({ position, pollers }) {
      const interval = vmListIntervalMilliseconds(vms.length)
      const turn = Math.floor(Date.now() / interval - position / pollers)
      if (turn === lastTurn) return false
      lastTurn = turn
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
