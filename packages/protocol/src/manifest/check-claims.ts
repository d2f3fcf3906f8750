/**
 * Whether the claims of non-idempotent orders fit the small key-value service.
 */
import type { PlacedFault } from './placed-fault.js'
import { claimLoads, claimSize } from './claim-size.js'
import { ClaimKind, type Manifest } from './schema.js'

/** Lists the operations whose claims don't fit together. */
export function listClaimFaults (manifest: Manifest): PlacedFault[] {
  const size = claimSize(claimLoads(manifest))
  if (size.fits) return []
  const room = `the claims of all operations take ${megabytes(size.bytes)} of ${megabytes(size.limitBytes)}`
  return manifest.services.flatMap((service, index) => service.operations.flatMap((operation, at) => {
    const isClaimed = !operation.idempotent && operation.claim === ClaimKind.Keyed
    if (!isClaimed || operation.retentionSeconds <= size.longestRetentionSeconds) return []
    const found = `found ${operation.expectedPerSecond} orders a second kept for ${operation.retentionSeconds} s; ${room}`
    const message = `${found}; wanted: a retention of at most ${size.longestRetentionSeconds} s for all operations at these rates`
    return [{ path: ['services', index, 'operations', at, 'retentionSeconds'], message }]
  }))
}

function megabytes (bytes: number): string {
  return `${Math.ceil(bytes / 1_000_000)} MB`
}
