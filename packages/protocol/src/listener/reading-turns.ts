/**
 * Decides how much of its input a connection may have parsed before the others have had their turn. A body in many small chunks costs far
 * more processor time than its bytes tell.
 */

/** A connection whose input is parsed part by part. */
export interface Reader {
  /** Parses on. Called in a later turn, after `mayReadOn` has returned false. */
  readOn: () => void
}

/** The turns of the readers of one process. */
export interface ReadingTurns {
  /**
   * Counts a part that a reader has parsed.
   * @returns whether it may parse on at once; if not, it stops until `readOn` is called.
   */
  mayReadOn: (reader: Reader) => boolean
  /** @returns the number of readers that wait for their turn. */
  waiting: () => number
}

/** Options of the turns. */
export interface ReadingTurnsOptions {
  /** Parts that one reader parses in a turn; 8 by default. */
  partsPerTurn?: number
}

const PARTS_PER_TURN = 8
/** Time that the readers that wait take in one turn of the event loop, milliseconds: a small part of any deadline. */
const TURN_MILLISECONDS = 4

/**
 * Creates the turns.
 * @param nextTurn calls a function once the event loop has gone round.
 */
export function createReadingTurns (
  nextTurn: (begin: () => void) => void, { partsPerTurn = PARTS_PER_TURN }: ReadingTurnsOptions = {}
): ReadingTurns {
  const parsed = new Map<Reader, number>()
  const queue = new Set<Reader>()
  let isTurnAhead = false

  function scheduleTurn (): void {
    if (isTurnAhead) return
    isTurnAhead = true
    nextTurn(beginTurn)
  }

  function beginTurn (): void {
    isTurnAhead = false
    parsed.clear()
    const endsAt = performance.now() + TURN_MILLISECONDS
    // A reader that is not done queues up again behind the others.
    for (const reader of queue) {
      queue.delete(reader)
      parsed.delete(reader)
      reader.readOn()
      if (performance.now() >= endsAt) break
    }
    if (queue.size > 0) scheduleTurn()
  }

  return {
    mayReadOn (reader) {
      const parts = (parsed.get(reader) ?? 0) + 1
      parsed.set(reader, parts)
      scheduleTurn()
      if (parts < partsPerTurn) return true
      queue.add(reader)
      return false
    },
    waiting: () => queue.size
  }
}
