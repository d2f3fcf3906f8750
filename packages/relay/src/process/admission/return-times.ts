/**
 * Times at which refused callers are to return: when capacity is expected to be free for them, spread so that they do not return together.
 */
import type { Rank } from './admission.js'

/** What is known of a service when a caller is refused. */
export interface ReturnTerms {
  service: string
  rank: Rank
  /** Requests that start each second while others wait; undefined if unknown. */
  startsPerSecond: number | undefined
  /** Requests that wait now; they start before the callers that return. */
  waiting: number
  /** Time until the caller must have its answer, milliseconds. */
  remainingMilliseconds: number
}

/** Times to return, and how many starts they promise. */
export interface ReturnTimes {
  /** @returns milliseconds after which the caller is to return; counted as promised. */
  next: (terms: ReturnTerms) => number
  /** @returns the middle of the times that `next` would return now; it promises nothing. */
  expected: (terms: ReturnTerms) => number
}

/** Width of the time slots in which promises are counted, milliseconds. */
const SLOT_MILLISECONDS = 50
/** Number of slots ahead: a third of the longest usual deadline, 20 s, and some more. */
const SLOTS_AHEAD = 200
/** Shortest time to return, milliseconds: below it the queue is as it was. */
const FLOOR_MILLISECONDS = 100
/** Callers honour a time to return up to this share of the time that they have left. */
const REMAINING_SHARE = 1 / 3
/** Time to return while the rate of starts is unknown, as a share of the caller's remaining time. */
const UNKNOWN_RATE_SHARE = 0.1
/** Longest time to return while the rate is unknown, milliseconds: a service that has lost targets may have them again. */
const UNKNOWN_RATE_LONGEST_MILLISECONDS = 2000
/** Span over which the times of an unknown rate are spread, as a share of the time itself. */
const UNKNOWN_RATE_SPREAD = 0.5
/** Place in the middle of the span of times to return. */
const MIDDLE_PLACE = 0.5
const MILLISECONDS_PER_SECOND = 1000

/** Promised starts of one service: by slot, by rank. */
type Promises = Map<number, Map<Rank, number>>

/**
 * Creates times to return without promises.
 * @param nextFloat random number from 0 to 1, for the place within a slot.
 */
export function createReturnTimes (nextFloat: () => number): ReturnTimes {
  const promisesByService = new Map<string, Promises>()

  function promisesOf (service: string, presentSlot: number): Promises {
    const promises = promisesByService.get(service) ?? new Map<number, Map<Rank, number>>()
    promisesByService.set(service, promises)
    for (const slot of promises.keys()) if (slot < presentSlot) promises.delete(slot)
    return promises
  }

  /** @returns slots from now on at which the time to return may lie: the first one, and one past the last one. */
  function slotBounds (remainingMilliseconds: number): { first: number, end: number } {
    const ceiling = Math.min(SLOTS_AHEAD, Math.floor(remainingMilliseconds * REMAINING_SHARE / SLOT_MILLISECONDS))
    const first = Math.min(FLOOR_MILLISECONDS / SLOT_MILLISECONDS, Math.max(0, ceiling - 1))
    return { first, end: Math.max(first + 1, ceiling) }
  }

  /** @returns the first slot up to which fewer starts are promised than can be expected, or else the slot with the fewest promises. */
  function findSlot (promises: Promises, presentSlot: number, terms: ReturnTerms, startsPerSecond: number): number {
    const { first, end } = slotBounds(terms.remainingMilliseconds)
    let promised = terms.waiting
    let emptiest = { slot: first, promised: Infinity }
    for (let slot = 0; slot < end; slot++) {
      const here = countUpToRank(promises.get(presentSlot + slot), terms.rank)
      promised += here
      if (slot < first) continue
      if (promised + 1 <= startsPerSecond * (slot + 1) * SLOT_MILLISECONDS / MILLISECONDS_PER_SECOND) return slot
      if (here < emptiest.promised) emptiest = { slot, promised: here }
    }
    return emptiest.slot
  }

  function bounded (milliseconds: number, remainingMilliseconds: number): number {
    return Math.max(0, Math.min(milliseconds, remainingMilliseconds * REMAINING_SHARE))
  }

  function promise (promises: Promises, slot: number, rank: Rank): void {
    const byRank = promises.get(slot) ?? new Map<Rank, number>()
    promises.set(slot, byRank)
    byRank.set(rank, (byRank.get(rank) ?? 0) + 1)
  }

  /**
   * @param place random number from 0 to 1: the place within the span of the times.
   * @returns the time to return, and the slot ahead in which it is promised.
   */
  function timeFor (terms: ReturnTerms, promises: Promises, presentSlot: number, place: number): { milliseconds: number, slot: number } {
    const { startsPerSecond, remainingMilliseconds } = terms
    if (startsPerSecond === undefined) {
      const middle = Math.max(
        FLOOR_MILLISECONDS, Math.min(remainingMilliseconds * UNKNOWN_RATE_SHARE, UNKNOWN_RATE_LONGEST_MILLISECONDS)
      )
      const milliseconds = bounded(middle * (1 + (place - 0.5) * UNKNOWN_RATE_SPREAD), remainingMilliseconds)
      return { milliseconds, slot: Math.min(SLOTS_AHEAD, Math.floor(milliseconds / SLOT_MILLISECONDS)) }
    }
    const slot = findSlot(promises, presentSlot, terms, startsPerSecond)
    return { milliseconds: bounded((slot + place) * SLOT_MILLISECONDS, remainingMilliseconds), slot }
  }

  return {
    next (terms) {
      const presentSlot = slotNow()
      const promises = promisesOf(terms.service, presentSlot)
      const { milliseconds, slot } = timeFor(terms, promises, presentSlot, nextFloat())
      promise(promises, presentSlot + slot, terms.rank)
      return milliseconds
    },
    expected: terms => timeFor(terms, promisesByService.get(terms.service) ?? new Map(), slotNow(), MIDDLE_PLACE).milliseconds
  }
}

function slotNow (): number {
  return Math.floor(performance.now() / SLOT_MILLISECONDS)
}

function countUpToRank (byRank: ReadonlyMap<Rank, number> | undefined, rank: Rank): number {
  let count = 0
  for (const [other, promised] of byRank ?? []) if (other <= rank) count += promised
  return count
}
