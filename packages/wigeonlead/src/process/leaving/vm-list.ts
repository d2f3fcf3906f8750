/**
 * Polls the VM list at a limited rate in bytes per second: a few nodes of each failure domain poll it in turn, and announce leaving
 * targets to the others.
 */
import type { VmEntry, VmListPort } from '@wigeonlead/protocol'
import { mergeVmList } from './sources.js'

/** The VM list as this node last read it. */
export interface VmListView {
  vms: () => readonly VmEntry[]
  /** Polls the list if this node's time slot has begun. @returns whether a new list was read. */
  refresh: (slot: PollSlot) => Promise<boolean>
}

/** Position of a node among the pollers; the wall clock gives each poller its own time slot. */
export interface PollSlot {
  position: number
  pollers: number
}

const MINIMUM_POLL_INTERVAL_MILLISECONDS = 2000
const ASSUMED_BYTES_PER_ENTRY = 120
const MAXIMUM_BYTES_PER_SECOND = 12_000

/** Creates an empty view. */
export function createVmListView (vmList: VmListPort): VmListView {
  let vms: VmEntry[] = []
  let lastSlotNumber: number | undefined

  return {
    vms: () => vms,
    async refresh ({ position, pollers }) {
      const interval = vmListIntervalMilliseconds(vms.length)
      const slotNumber = Math.floor(Date.now() / interval - position / pollers)
      if (slotNumber === lastSlotNumber) return false
      lastSlotNumber = slotNumber
      const listed = await vmList.list()
      if (!listed.ok) return false
      vms = mergeVmList(vms, listed.value)
      return true
    }
  }
}

/** @returns the interval in milliseconds between two polls of a VM list with the given number of entries. */
export function vmListIntervalMilliseconds (entries: number): number {
  return Math.max(MINIMUM_POLL_INTERVAL_MILLISECONDS, entries * ASSUMED_BYTES_PER_ENTRY / MAXIMUM_BYTES_PER_SECOND * 1000)
}
