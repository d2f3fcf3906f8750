/**
 * Whether the claims of non-idempotent orders fit the small key-value service.
 */
import type { PlacedFault } from './check.js'
import { ClaimKind, type Manifest } from './schema.js'

/** Bytes that one claim with its recorded outcome takes in the key-value service. */
export const CLAIM_RECORD_BYTES = 512
/** Bytes of the key-value service that claims may take in all. */
export const CLAIM_STORE_BYTES = 268_435_456

/** Lists operations whose claims don't fit, the largest share first. */
export function listClaimFaults (manifest: Manifest): PlacedFault[] {
  const claims = manifest.services.flatMap((service, index) => service.operations.flatMap((operation, at) => {
    if (operation.idempotent || operation.claim === ClaimKind.Keyless) return []
    const bytes = operation.expectedPerSecond * operation.retentionSeconds * CLAIM_RECORD_BYTES
    return [{ path: ['services', index, 'operations', at], operation, bytes }]
  }))
  const total = claims.reduce((sum, claim) => sum + claim.bytes, 0)
  if (total <= CLAIM_STORE_BYTES) return []
  const claimed = `the claims of all operations take ${megabytes(total)} of ${megabytes(CLAIM_STORE_BYTES)}`
  return claims.sort((left, right) => right.bytes - left.bytes).map(({ path, operation, bytes }) => {
    const share = bytes / total * CLAIM_STORE_BYTES
    const fitting = Math.floor(share / (operation.expectedPerSecond * CLAIM_RECORD_BYTES))
    const found = `${operation.expectedPerSecond} orders a second kept for ${operation.retentionSeconds} s take ${megabytes(bytes)}`
    return { path: [...path, 'retentionSeconds'], message: `found ${found}; ${claimed}; wanted: a retention of at most ${fitting} s at this rate` }
  })
}

function megabytes (bytes: number): string {
  return `${Math.ceil(bytes / 1_000_000)} MB`
}
