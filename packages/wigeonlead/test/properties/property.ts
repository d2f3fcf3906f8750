/**
 * The type of a property, which checks one guarantee of a protocol under random sequences of faults.
 */

/** The seed and the number of random sequences to run. */
export interface PropertyRuns {
  seed: number
  runs: number
}

/** A property of one protocol; `check` rejects with the smallest sequence that violates the guarantee. */
export interface ProtocolProperty {
  name: string
  check: (runs: PropertyRuns) => Promise<void>
}
