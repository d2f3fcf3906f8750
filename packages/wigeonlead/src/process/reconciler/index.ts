/**
 * Engine orders: the reconciler of a failure domain and its lease.
 */
export { RECONCILER_LEASE_PREFIX, LeaseAttempt, createFencingLease, type FencingLease, type HeldLease } from './lease.js'
export { Duty, candidateRank, lookIntervalMilliseconds } from './candidates.js'
export { canCompose, isStillServed, type Departure, type ServingPart } from './cover.js'
export { createLoadPace, type LoadPace } from './pace.js'
export { PendingReason, describeOrder, planOrders, type Difference, type PlanInput } from './plan.js'
export { createOrderDispatch, type OrderDispatch, type OrderState } from './dispatch.js'
export { createReconciler, type PendingState, type Reconciler, type ReconcilerParts, type ReconcilerStatus } from './reconciler.js'
