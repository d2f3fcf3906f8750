/**
 * Temporary ejection of targets that fail or lag. Each ejection lasts twice as long as the one before, up to a maximum; successes
 * shorten the next one again. At most half of a target's replicas are ejected at the same time.
 */

/** Tracks which targets are ejected. */
export interface Ejections {
  isEjected: (target: string) => boolean
  /** Ejects a target, unless it is already ejected or more than half of its replicas would be. @returns whether it was ejected now. */
  eject: (target: string) => boolean
  recordSuccess: (target: string) => void
}

/** Length of the first ejection, milliseconds. */
export const FIRST_EJECTION_MILLISECONDS = 2000
/** Maximum length of an ejection, milliseconds. */
export const MAXIMUM_EJECTION_MILLISECONDS = 120_000
/** Number of successes after an ejection that halve the length of the next ejection. */
const SUCCESSES_TO_HALVE = 8

interface Ejection {
  startedAt: number
  endsAt: number
  /** Length of the next ejection, milliseconds. */
  nextMilliseconds: number
  successes: number
}

/**
 * Creates the ejections, with no target ejected.
 * @param replicasOf returns the targets that can replace a target, itself included.
 */
export function createEjections (replicasOf: (target: string) => readonly string[]): Ejections {
  const ejections = new Map<string, Ejection>()
  const isEjected = (target: string): boolean => (ejections.get(target)?.endsAt ?? 0) > Date.now()

  function wouldExceedHalf (target: string): boolean {
    const replicas = replicasOf(target)
    return replicas.length > 0 && replicas.filter(isEjected).length + 1 > replicas.length / 2
  }

  return {
    isEjected,
    eject (target) {
      if (isEjected(target) || wouldExceedHalf(target)) return false
      const now = Date.now()
      const duration = ejections.get(target)?.nextMilliseconds ?? FIRST_EJECTION_MILLISECONDS
      ejections.set(target, {
        startedAt: now, endsAt: now + duration, nextMilliseconds: Math.min(MAXIMUM_EJECTION_MILLISECONDS, duration * 2), successes: 0
      })
      return true
    },
    recordSuccess (target) {
      const ejection = ejections.get(target)
      if (ejection === undefined || ejection.endsAt > Date.now()) return
      ejection.successes += 1
      if (ejection.successes < SUCCESSES_TO_HALVE) return
      ejection.successes = 0
      ejection.nextMilliseconds /= 2
      if (ejection.nextMilliseconds < FIRST_EJECTION_MILLISECONDS) ejections.delete(target)
    }
  }
}
