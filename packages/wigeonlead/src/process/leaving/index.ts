/**
 * Leaving targets, from planned stops, the VM list and announcements of other entry VMs.
 */
export { createLeavingTracker, type LeavingTracker, type LeavingTrackerOptions, type TargetAnnouncements } from './leaving.js'
export { listLeaving, mergeVmList, findOwnStopStart, type Departure } from './sources.js'
export { createVmListView, vmListIntervalMilliseconds, type PollSlot, type VmListView } from './vm-list.js'
