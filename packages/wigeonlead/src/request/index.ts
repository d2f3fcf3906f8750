/**
 * What lives as long as one request.
 */
export { createAdmission, type Admission, type AdmissionRequest, type AdmissionTicket } from './admission.js'
export {
  jsonResponse, problemResponse, type CallerHandler, type CallerRequest, type CallerResponse
} from './caller.js'
export { ClaimResult, createClaims, type ClaimOutcome, type ClaimedOrder, type Claims } from './claims/index.js'
export type { RequestContext, RequestParts } from './context.js'
export { createCallerHandler } from './handle.js'
export { cheapestPath, createPathChooser, type PathChooser, type PathQuery } from './path.js'
export { findReceiptFault } from './receipt.js'
