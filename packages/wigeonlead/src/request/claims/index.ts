/**
 * Claims of non-idempotent orders, by which each order runs at most once.
 */
export { createClaims, type Claims, type ClaimsDependencies } from './claims.js'
export { ClaimResult, type ClaimOutcome, type ClaimedOrder, type SendOrder } from './outcome.js'
