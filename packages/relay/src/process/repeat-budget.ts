/**
 * The share of the fleet's budget of repeats that this process may spend, and what it lends to peers that have spent theirs.
 */

/** Repeats left to this process, by service. */
export interface RepeatBudget {
  /** A caller's request for a service arrived. */
  noteRequest: (service: string) => void
  /** @returns whether one more send may go out; it is counted. */
  take: (service: string) => boolean
  /** Gives part of what is left away; it is counted here. */
  lend: (service: string, wanted: number) => number
  /** Repeats that a peer has given and counts; they are to be spent soon. */
  addLoan: (service: string, count: number) => void
}

/** Bounds of the budget over the whole fleet. */
export interface RepeatBudgetBounds {
  /** Repeats for each request. */
  share: number
  /** Repeats beyond that in one window, over all VMs. */
  extra: number
  windowMilliseconds: number
  /** VMs that may be alive, with those that are cut off. */
  vms: () => number
}

/**
 * Part of the repeats for requests that is spent: the judged window may hold fewer of the requests than the one that ends with the repeat.
 */
const SHARE_SPENT = 0.6
/** Part of the repeats beyond that which is spent: a send arrives a little after it was counted. */
const EXTRA_SPENT = 0.9
/** The same in the first window of a process: what an earlier life spent on this VM is not known any more. */
const EXTRA_SPENT_AT_START = 0.2
const SLOTS_OF_WINDOW = 100
/** A loan is spent within so long, milliseconds; the lender counts it for as much longer. */
export const LOAN_MILLISECONDS = 400
/** Part of what is left that is lent at once: the lender's own requests may need the rest. */
const LENT_SHARE = 0.5

/** Events of the last window, in slots of time. */
interface SlidingCount {
  add: (count: number, delayMilliseconds?: number) => void
  total: () => number
}

interface ServiceCounts {
  requests: SlidingCount
  repeats: SlidingCount
  loans: Array<{ count: number, until: number }>
}

/** Makes a budget. */
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

  function left (counts: ServiceCounts): number {
    const isStarting = performance.now() - startedAt < bounds.windowMilliseconds
    const extra = bounds.extra / Math.max(1, bounds.vms()) * (isStarting ? EXTRA_SPENT_AT_START : EXTRA_SPENT)
    return Math.floor(SHARE_SPENT * bounds.share * counts.requests.total() + extra - counts.repeats.total())
  }

  function takeLoan (counts: ServiceCounts): boolean {
    const now = performance.now()
    counts.loans = counts.loans.filter(({ count, until }) => count > 0 && until > now)
    const loan = counts.loans[0]
    if (loan === undefined) return false
    loan.count -= 1
    return true
  }

  return {
    noteRequest: service => { countsOf(service).requests.add(1) },
    take (service) {
      const counts = countsOf(service)
      if (takeLoan(counts)) return true
      if (left(counts) < 1) return false
      counts.repeats.add(1)
      return true
    },
    lend (service, wanted) {
      const counts = countsOf(service)
      const lent = Math.max(0, Math.min(wanted, Math.floor(left(counts) * LENT_SHARE)))
      if (lent > 0) counts.repeats.add(lent, 2 * LOAN_MILLISECONDS)
      return lent
    },
    addLoan (service, count) {
      countsOf(service).loans.push({ count, until: performance.now() + LOAN_MILLISECONDS })
    }
  }
}

function createSlidingCount (windowMilliseconds: number): SlidingCount {
  const slotMilliseconds = windowMilliseconds / SLOTS_OF_WINDOW
  const slots = new Map<number, number>()

  function present (): number {
    return Math.floor(performance.now() / slotMilliseconds)
  }

  return {
    add (count, delayMilliseconds = 0) {
      const slot = present() + Math.ceil(delayMilliseconds / slotMilliseconds)
      slots.set(slot, (slots.get(slot) ?? 0) + count)
    },
    total () {
      const oldest = present() - SLOTS_OF_WINDOW
      let total = 0
      for (const [slot, count] of slots) {
        if (slot < oldest) slots.delete(slot)
        else total += count
      }
      return total
    }
  }
}
