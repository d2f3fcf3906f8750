/**
 * Ejection of targets that fail or lag behind: for a time that grows while they go on failing, and never more than half of a group.
 */

/** Which targets are ejected. */
export interface Ejections {
  isEjected: (target: string) => boolean
  /** @returns whether the target was not out and is now. */
  eject: (target: string) => boolean
  recordSuccess: (target: string) => void
}

/** The first ejection, milliseconds. */
export const FIRST_EJECTION_MILLISECONDS = 2000
/** The longest ejection, milliseconds. */
export const LONGEST_EJECTION_MILLISECONDS = 120_000
/** Successes in a row that halve the next ejection. */
const SUCCESSES_TO_FORGIVE = 8

interface Ejection {
  from: number
  until: number
  /** Length of the next ejection, milliseconds. */
  next: number
  successes: number
}

/** Makes ejections in which no target is out. */
export function createEjections (groupOf: (target: string) => readonly string[]): Ejections {
  const ejections = new Map<string, Ejection>()
  const isEjected = (target: string): boolean => (ejections.get(target)?.until ?? 0) > Date.now()

  function isHalfOut (target: string): boolean {
    const group = groupOf(target)
    return group.length > 0 && group.filter(isEjected).length + 1 > group.length / 2
  }

  return {
    isEjected,
    eject (target) {
      if (isEjected(target) || isHalfOut(target)) return false
      const now = Date.now()
      const length = ejections.get(target)?.next ?? FIRST_EJECTION_MILLISECONDS
      ejections.set(target, {
        from: now, until: now + length, next: Math.min(LONGEST_EJECTION_MILLISECONDS, length * 2), successes: 0
      })
      return true
    },
    recordSuccess (target) {
      const ejection = ejections.get(target)
      if (ejection === undefined || ejection.until > Date.now()) return
      ejection.successes += 1
      if (ejection.successes < SUCCESSES_TO_FORGIVE) return
      ejection.successes = 0
      ejection.next /= 2
      if (ejection.next < FIRST_EJECTION_MILLISECONDS) ejections.delete(target)
    }
  }
}
