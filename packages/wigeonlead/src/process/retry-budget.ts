/**
 * The retry budget: retries are a share of first tries, so that they never amplify an overload.
 */

/** The retry budget of one resource. */
export interface RetryBudget {
  recordFirstTry: (resource: string) => void
  /** Takes one retry from the budget; false when none is left. */
  take: (resource: string) => boolean
}

const SHARE_OF_FIRST_TRIES = 0.1
const INITIAL_RETRIES = 10

/** Makes a budget in which each resource begins with a few retries. */
export function createRetryBudget (): RetryBudget {
  const tokens = new Map<string, number>()
  const left = (resource: string): number => tokens.get(resource) ?? INITIAL_RETRIES
  return {
    recordFirstTry: resource => { tokens.set(resource, Math.min(INITIAL_RETRIES, left(resource) + SHARE_OF_FIRST_TRIES)) },
    take (resource) {
      if (left(resource) < 1) return false
      tokens.set(resource, left(resource) - 1)
      return true
    }
  }
}
