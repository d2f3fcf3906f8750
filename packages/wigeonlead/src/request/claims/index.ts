/**
 * At most once: claims of non-idempotent orders.
 */
export { createClaims, type Claims, type ClaimsParts } from './claims.js'
export { ClaimResult, type ClaimOutcome, type ClaimedOrder, type SendOrder } from './outcome.js'
