/**
 * Retry budgets limit retries to a share of the first tries, plus a small constant rate and a minimum budget, so that retries add little
 * to an overload. Hedged calls, which repeat a slow call before it failed, are charged to the same budgets.
 */

/** The retry budgets of all resources. A resource is the name of a model or of a plain service. */
export interface RetryBudgets {
  /** Adds the share of a first try to a resource's budget. */
  recordFirstTry: (resource: string) => void
  /** Takes one retry from a resource's budget. @returns false if none is left. */
  tryTake: (resource: string) => boolean
}

/** Retries that each first try adds to the budget. */
const RETRIES_PER_FIRST_TRY = 0.1
/** Minimum capacity of a budget, in retries, so that a resource with few requests can also retry. */
const MINIMUM_CAPACITY = 10
/** Time constant of the exponential decay of the count of first tries. That count determines the capacity of the budget. */
const DECAY_MILLISECONDS = 10_000
/** Retries that are added to the budget each second, even without requests. */
const REFILL_PER_SECOND = 0.2

interface ResourceBudget {
  /** Retries that may be taken now. */
  available: number
  /** Number of first tries, exponentially decayed. */
  firstTries: number
  updatedAt: number
}

/** Creates the budgets; each resource starts with MINIMUM_CAPACITY retries. */
export function createRetryBudgets (): RetryBudgets {
  const budgets = new Map<string, ResourceBudget>()

  function findOrCreateBudget (resource: string): ResourceBudget {
    const now = Date.now()
    let budget = budgets.get(resource)
    if (budget === undefined) {
      budget = { available: MINIMUM_CAPACITY, firstTries: 0, updatedAt: now }
      budgets.set(resource, budget)
    }
    const elapsedMilliseconds = Math.max(0, now - budget.updatedAt)
    budget.firstTries *= Math.exp(-elapsedMilliseconds / DECAY_MILLISECONDS)
    budget.available = Math.min(capacityOf(budget), budget.available + elapsedMilliseconds / 1000 * REFILL_PER_SECOND)
    budget.updatedAt = now
    return budget
  }

  return {
    recordFirstTry (resource) {
      const budget = findOrCreateBudget(resource)
      budget.firstTries += 1
      budget.available = Math.min(capacityOf(budget), budget.available + RETRIES_PER_FIRST_TRY)
    },
    tryTake (resource) {
      const budget = findOrCreateBudget(resource)
      if (budget.available < 1) return false
      budget.available -= 1
      return true
    }
  }
}

function capacityOf (budget: ResourceBudget): number {
  return Math.max(MINIMUM_CAPACITY, budget.firstTries * RETRIES_PER_FIRST_TRY)
}
