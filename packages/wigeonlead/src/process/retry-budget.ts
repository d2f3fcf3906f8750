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
/** Retries that a resource may save up, however quiet it is. */
const LEAST_SAVED_RETRIES = 10
/** Retries are saved up over so long, milliseconds. */
const SAVING_PERIOD_MILLISECONDS = 10_000
/** What a quiet resource gets back, retries a second. */
const QUIET_REFILL_PER_SECOND = 0.2

interface ResourceBudget {
  saved: number
  /** First tries over the saving period, exponentially weighted. */
  firstTries: number
  updatedAt: number
}

/** Makes a budget in which each resource begins with a few retries. */
export function createRetryBudget (): RetryBudget {
  const budgets = new Map<string, ResourceBudget>()

  function refreshed (resource: string): ResourceBudget {
    const now = Date.now()
    let budget = budgets.get(resource)
    if (budget === undefined) {
      budget = { saved: LEAST_SAVED_RETRIES, firstTries: 0, updatedAt: now }
      budgets.set(resource, budget)
    }
    const elapsed = Math.max(0, now - budget.updatedAt)
    budget.firstTries *= Math.exp(-elapsed / SAVING_PERIOD_MILLISECONDS)
    budget.saved = Math.min(mostSaved(budget), budget.saved + elapsed / 1000 * QUIET_REFILL_PER_SECOND)
    budget.updatedAt = now
    return budget
  }

  return {
    recordFirstTry (resource) {
      const budget = refreshed(resource)
      budget.firstTries += 1
      budget.saved = Math.min(mostSaved(budget), budget.saved + SHARE_OF_FIRST_TRIES)
    },
    take (resource) {
      const budget = refreshed(resource)
      if (budget.saved < 1) return false
      budget.saved -= 1
      return true
    }
  }
}

function mostSaved (budget: ResourceBudget): number {
  return Math.max(LEAST_SAVED_RETRIES, budget.firstTries * SHARE_OF_FIRST_TRIES)
}
