/**
 * The reconciler of a failure domain, which sends orders to the engines, and its fencing lease. In this folder an order is an engine
 * order: to set the engine's role, or to load or unload a model part.
 */
export { RECONCILER_LEASE_PREFIX, LeaseAttempt, createFencingLease, type FencingLease, type HeldLease } from './lease.js'
export { Duty, candidateRank, leasePollIntervalMilliseconds } from './candidates.js'
export { canComposeRange, isStillServed, type PartRemoval, type ServingPart } from './cover.js'
export { createLoadRateLimiter, type LoadRateLimiter } from './pace.js'
export { PendingReason, describeOrder, planOrders, type Difference, type PlanInput } from './plan.js'
export { createOrderDispatch, type OrderDispatch, type OrderResult } from './dispatch.js'
export { createReconciler, type PendingState, type Reconciler, type ReconcilerOptions, type ReconcilerStatus } from './reconciler.js'
