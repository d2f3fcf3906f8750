/**
 * The source of randomness, an interface so that tests can replace it with a seeded one.
 */

/** Random numbers and nonces. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  nextFloat: () => number
  /** Returns a string that is unique across all processes and restarts. */
  nextNonce: () => string
}
