/**
 * Planned stops and leaving targets.
 */
export { createLeaving, type Leaving, type LeavingParts, type TargetAnnouncements } from './leaving.js'
export { listLeaving, mergeVmList, ownStopAt, type Leave } from './sources.js'
export { createVmListView, vmListIntervalMilliseconds, type PollTurn, type VmListView } from './vm-list.js'
