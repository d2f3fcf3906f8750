/**
 * Repeat budget: the share of the fleet's budget that this process may spend, and the part that it lends to peers that have used up theirs.
 * A repeat is a retry by the relay: a further send of a request that has reached, or may have reached, a target.
 */
import { ageOf, presentInstant, type Instant } from '../instant.js'

/** Repeats that this process may still send, by service. */
export interface RepeatBudget {
  /** Counts a request of a caller for a service. */
  recordRequest: (service: string) => void
  /** @returns whether one more send is allowed. If so, it is counted. */
  take: (service: string) => boolean
  /**
   * Lends a part of the remaining repeats to a peer and counts them as spent here.
   * @returns the number lent.
   */
  lend: (service: string, wanted: number) => number
  /** Adds repeats that a peer has lent, and has counted as spent. They expire after `LOAN_EXPIRY_MILLISECONDS`. */
  addLoan: (service: string, count: number) => void
}

/** Bounds of the budget over the whole fleet. */
export interface RepeatBudgetBounds {
  /** Repeats allowed per request. */
  share: number
  /** Repeats allowed in one window in addition to `share`, over all VMs. */
  extra: number
  windowMilliseconds: number
  /** Number of VMs that may be running, including those that are cut off. */
  vms: () => number
}

/**
 * Part of `share` that is used. The budget must also hold in windows other than the one that ends with the repeat, and such a window may
 * contain fewer requests.
 */
const SHARE_SAFETY_FACTOR = 0.6
/** Part of `extra` that is used: a send arrives at its target slightly after it was counted. */
const EXTRA_SAFETY_FACTOR = 0.9
/** Part of `extra` that is used in the first window after the start: it is unknown what an earlier process on this VM has sent. */
const STARTUP_EXTRA_SAFETY_FACTOR = 0.2
/** Number of time slots into which a window is divided for counting. */
const SLOTS_PER_WINDOW = 100
/** Time to live of a loan, milliseconds. The lender dates the loan ahead by twice this time, so that its count outlasts the loan. */
export const LOAN_EXPIRY_MILLISECONDS = 400
/** Maximum part of the remaining repeats that one loan may take: the lender's own requests may need the rest. */
const MAX_LENT_SHARE = 0.5

/** Number of events in the last window, counted in time slots. */
interface SlidingCount {
  /** @param delayMilliseconds how far ahead the events are dated. */
  add: (count: number, delayMilliseconds?: number) => void
  total: () => number
}

interface ServiceCounts {
  requests: SlidingCount
  repeats: SlidingCount
  loans: Array<{ count: number, receivedAt: Instant }>
}

/** Creates a budget. */
export function createRepeatBudget (bounds: RepeatBudgetBounds): RepeatBudget {
  const services = new Map<string, ServiceCounts>()
  const startedAt = performance.now()

  function countsOf (service: string): ServiceCounts {
    let counts = services.get(service)
    if (counts === undefined) {
      const { windowMilliseconds } = bounds
      counts = { requests: createSlidingCount(windowMilliseconds), repeats: createSlidingCount(windowMilliseconds), loans: [] }
      services.set(service, counts)
    }
    return counts
  }

  function remaining (counts: ServiceCounts): number {
    const isStarting = performance.now() - startedAt < bounds.windowMilliseconds
    const extra = bounds.extra / Math.max(1, bounds.vms()) * (isStarting ? STARTUP_EXTRA_SAFETY_FACTOR : EXTRA_SAFETY_FACTOR)
    return Math.floor(SHARE_SAFETY_FACTOR * bounds.share * counts.requests.total() + extra - counts.repeats.total())
  }

  function takeLoan (counts: ServiceCounts): boolean {
    // The lender's count runs out while this VM is suspended, so a loan must not outlast a suspension.
    counts.loans = counts.loans.filter(({ count, receivedAt }) => count > 0 && ageOf(receivedAt) < LOAN_EXPIRY_MILLISECONDS)
    const loan = counts.loans[0]
    if (loan === undefined) return false
    loan.count -= 1
    return true
  }

  return {
    recordRequest: service => { countsOf(service).requests.add(1) },
    take (service) {
      const counts = countsOf(service)
      if (takeLoan(counts)) return true
      if (remaining(counts) < 1) return false
      counts.repeats.add(1)
      return true
    },
    lend (service, wanted) {
      const counts = countsOf(service)
      const lent = Math.max(0, Math.min(wanted, Math.floor(remaining(counts) * MAX_LENT_SHARE)))
      if (lent > 0) counts.repeats.add(lent, 2 * LOAN_EXPIRY_MILLISECONDS)
      return lent
    },
    addLoan (service, count) {
      countsOf(service).loans.push({ count, receivedAt: presentInstant() })
    }
  }
}

function createSlidingCount (windowMilliseconds: number): SlidingCount {
  const slotMilliseconds = windowMilliseconds / SLOTS_PER_WINDOW
  const slots = new Map<number, number>()

  function currentSlot (): number {
    return Math.floor(performance.now() / slotMilliseconds)
  }

  return {
    add (count, delayMilliseconds = 0) {
      const slot = currentSlot() + Math.ceil(delayMilliseconds / slotMilliseconds)
      slots.set(slot, (slots.get(slot) ?? 0) + count)
    },
    total () {
      const oldestSlot = currentSlot() - SLOTS_PER_WINDOW
      let total = 0
      for (const [slot, count] of slots) {
        if (slot < oldestSlot) slots.delete(slot)
        else total += count
      }
      return total
    }
  }
}
