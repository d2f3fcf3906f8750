/**
 * Public interface of the request layer, which handles callers' requests.
 */
export {
  createAdmission, refuseAdmission, type Admission, type AdmissionDependencies, type AdmissionRequest, type AdmissionTicket
} from './admission.js'
export { createLimits, type LimitReached, type Limits } from './admission-limits.js'
export { createFairQueue, type FairQueue, type QueuedItem } from './admission-queue.js'
export {
  jsonResponse, problemResponse, type CallerHandler, type CallerRequest, type CallerResponse
} from './caller.js'
export { ClaimResult, createClaims, type ClaimOutcome, type ClaimedOrder, type Claims } from './claims/index.js'
export type { RequestContext, RequestDependencies } from './context.js'
export { createCallerHandler } from './handle.js'
export { DeliveryKind, generate, type Delivery } from './generation.js'
export type { GenerationOrder } from './generation-order.js'
export { findFailedTargets, probeStages } from './generation-blame.js'
export { createPathChooser, type PathChooser, type PathChooserDependencies, type PathQuery } from './path.js'
export type { PathRun } from './path-run.js'
export { PATH_COST_WEIGHTS, createStageCosts, type PathCostWeights, type StageCosts } from './path-cost.js'
export { cheapestPath, type PathCosts, type PricedPath } from './path-search.js'
export { findReceiptFault, type ReceiptFault } from './receipt.js'
