/**
 * The shape of a property that checks one promise under random sequences of faults.
 */

/** Which sequences to run. */
export interface PropertyRuns {
  seed: number
  runs: number
}

/** A property of one protocol; `check` rejects with the smallest sequence that breaks the promise. */
export interface PromiseProperty {
  name: string
  check: (runs: PropertyRuns) => Promise<void>
}
