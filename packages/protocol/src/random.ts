/**
 * The source of randomness, a port so that tests can seed it.
 */

/** Random numbers and nonces. */
export interface RandomSource {
  /** @returns a number in [0, 1). */
  nextFloat: () => number
  /** @returns a string that is unique over all processes and restarts. */
  nextNonce: () => string
}
