/**
 * The runs of this VM whose answers have begun: whether the parts of a prompt go on elsewhere when a target ends under one of them.
 */

/** One run whose answer has begun. */
export interface AnsweredRun {
  /** Incarnation of the target. */
  incarnation: string
  /** Monotonic time of its first event, milliseconds. */
  firstEventAt: number
}

/** The runs that are under way. */
export interface AnsweredRuns {
  /** Adds a run. @returns removes it. */
  add: (service: string, parts: readonly string[], run: AnsweredRun) => () => void
  /**
   * @returns the parts of a lost run with which several runs at other targets go on that have answered for longer: content that crashes its
   * targets would have ended those too.
   */
  outlivedParts: (service: string, parts: readonly string[], lost: AnsweredRun) => string[]
}

/** Number of runs that show that a part goes on elsewhere: more than there are at once of content that ends each of its targets. */
const SURVIVORS = 4

/** Creates an empty registry. */
export function createAnsweredRuns (): AnsweredRuns {
  /** By service and part. */
  const runsByPart = new Map<string, Set<AnsweredRun>>()

  function keyOf (service: string, part: string): string {
    return `${service} ${part}`
  }

  return {
    add (service, parts, run) {
      const keys = parts.map(part => keyOf(service, part))
      for (const key of keys) {
        const runs = runsByPart.get(key) ?? new Set()
        runsByPart.set(key, runs.add(run))
      }
      return () => {
        for (const key of keys) {
          const runs = runsByPart.get(key)
          runs?.delete(run)
          if (runs?.size === 0) runsByPart.delete(key)
        }
      }
    },
    outlivedParts (service, parts, lost) {
      return parts.filter(part => {
        const survivors = [...runsByPart.get(keyOf(service, part)) ?? []]
          .filter(({ incarnation, firstEventAt }) => incarnation !== lost.incarnation && firstEventAt <= lost.firstEventAt)
        return survivors.length >= SURVIVORS
      })
    }
  }
}
