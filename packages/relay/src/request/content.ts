/**
 * Identifies what a caller asks for, whatever attempt carries it.
 */
import { createHash } from 'node:crypto'
import type { Exchange } from '../connection/callers.js'

/** Length of a digest, hexadecimal digits: no two requests share one, and it fits into a log line. */
const DIGEST_CHARACTERS = 32

/**
 * Digests the parts of a request that all attempts of its caller have in common.
 * @returns a function that computes the digest at its first call: few requests need theirs, and bodies may be large.
 */
export function lazyContentDigest ({ method, path, body }: Exchange, workspace: string | undefined): () => string {
  let digest: string | undefined
  return () => {
    digest ??= createHash('sha256').update(JSON.stringify([method, path, workspace])).update(body).digest('hex').slice(0, DIGEST_CHARACTERS)
    return digest
  }
}
