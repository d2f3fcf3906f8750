/**
 * The retry budget limits retries to a share of the first tries, so that they never amplify an overload.
 */

/** The retry budgets of all resources. */
export interface RetryBudget {
  recordFirstTry: (resource: string) => void
  /** Takes one retry from a resource's budget. @returns false if none is left. */
  take: (resource: string) => boolean
}

/** Retries that each first try adds to the budget. */
const RETRIES_PER_FIRST_TRY = 0.1
/** Minimum capacity of a budget, in retries, so that a resource with few requests can also retry. */
const MINIMUM_CAPACITY = 10
/** Time constant, milliseconds, with which the count of first tries decays; that count sets the capacity of the budget. */
const DECAY_MILLISECONDS = 10_000
/** Retries that are added to the budget each second, even without requests. */
const REFILL_PER_SECOND = 0.2

interface ResourceBudget {
  available: number
  /** Count of first tries that decays exponentially with DECAY_MILLISECONDS. */
  firstTries: number
  updatedAt: number
}

/** Creates the budgets; each resource starts with MINIMUM_CAPACITY retries. */
export function createRetryBudget (): RetryBudget {
  const budgets = new Map<string, ResourceBudget>()

  function refresh (resource: string): ResourceBudget {
    const now = Date.now()
    let budget = budgets.get(resource)
    if (budget === undefined) {
      budget = { available: MINIMUM_CAPACITY, firstTries: 0, updatedAt: now }
      budgets.set(resource, budget)
    }
    const elapsed = Math.max(0, now - budget.updatedAt)
    budget.firstTries *= Math.exp(-elapsed / DECAY_MILLISECONDS)
    budget.available = Math.min(capacityOf(budget), budget.available + elapsed / 1000 * REFILL_PER_SECOND)
    budget.updatedAt = now
    return budget
  }

  return {
    recordFirstTry (resource) {
      const budget = refresh(resource)
      budget.firstTries += 1
      budget.available = Math.min(capacityOf(budget), budget.available + RETRIES_PER_FIRST_TRY)
    },
    take (resource) {
      const budget = refresh(resource)
      if (budget.available < 1) return false
      budget.available -= 1
      return true
    }
  }
}

function capacityOf (budget: ResourceBudget): number {
  return Math.max(MINIMUM_CAPACITY, budget.firstTries * RETRIES_PER_FIRST_TRY)
}
