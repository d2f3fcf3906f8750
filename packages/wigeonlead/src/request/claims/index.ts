/**
 * At most once: claims of non-idempotent orders.
 */
export { ClaimResult, createClaims, type ClaimOutcome, type ClaimedOrder, type Claims, type ClaimsParts } from './claims.js'
