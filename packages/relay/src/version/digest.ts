/**
 * Digests of callers' API keys, so that no key stays in memory longer than its request.
 */
import { createHash } from 'node:crypto'

/** @returns the SHA-256 digest of a key in base64. */
export function digestKey (key: string): string {
  return createHash('sha256').update(key).digest('base64')
}
