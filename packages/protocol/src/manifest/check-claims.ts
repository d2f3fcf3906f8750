/**
 * Checks that the claims of non-idempotent orders fit in the key-value service, whose storage is small.
 */
import type { PlacedFault } from './placed-fault.js'
import { listClaimLoads, estimateClaimSize } from './claim-size.js'
import { ClaimKind, type Manifest } from './schema.js'

/** Lists the operations that need a shorter retention because the claims of all operations together exceed the storage. */
export function listClaimFaults (manifest: Manifest): PlacedFault[] {
  const size = estimateClaimSize(listClaimLoads(manifest))
  if (size.fits) return []
  const usage = `the claims of all operations take ${formatMegabytes(size.bytes)} of ${formatMegabytes(size.limitBytes)}`
  return manifest.services.flatMap((service, index) => service.operations.flatMap((operation, operationIndex) => {
    const isClaimed = !operation.idempotent && operation.claim === ClaimKind.Keyed
    if (!isClaimed || operation.retentionSeconds <= size.longestRetentionSeconds) return []
    const found = `found ${operation.expectedPerSecond} orders per second with a retention of ${operation.retentionSeconds} s; ${usage}`
    const message = `${found}; wanted: a retention of at most ${size.longestRetentionSeconds} s for all operations at these rates`
    return [{ path: ['services', index, 'operations', operationIndex, 'retentionSeconds'], message }]
  }))
}

function formatMegabytes (bytes: number): string {
  return `${Math.ceil(bytes / 1_000_000)} MB`
}
