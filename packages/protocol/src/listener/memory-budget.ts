/**
 * Bounds the memory that a process holds of the bytes of others, such as its clients or its targets, and decides whose message is given up
 * where it does not suffice.
 */

/** What the bytes of a holding are. */
export enum HoldingPhase {
  /** A request that is arriving: it has not run, and can be refused. */
  Receiving = 'receiving',
  /** A request that is being handled. Its bytes are not taken back. */
  Handling = 'handling',
  /** An answer that its client has not read. */
  Sending = 'sending'
}

/** Bytes that are held for one connection. */
export interface Holding {
  /** @returns whether the bytes may be held. If not, the holding is unchanged, and its request must end. */
  add: (bytes: number) => boolean
  /** Gives back bytes; none that have been given back already. */
  remove: (bytes: number) => void
  enter: (phase: HoldingPhase) => void
  /** Gives back all bytes. */
  clear: () => void
}

/** The memory for all clients, or for all targets, of a process. */
export interface MemoryBudget {
  /**
   * Opens an empty holding.
   * @param onEvicted called when the request or the answer must end to make room. The holding has been cleared before.
   * @param owner who sends the bytes, where one sender has several holdings; by default, each holding has a sender of its own.
   */
  open: (onEvicted: (phase: HoldingPhase) => void, owner?: string) => Holding
  heldBytes: () => number
}

interface HoldingState {
  /** The sender, or the holding itself where it is the only one of its sender. */
  owner: unknown
  bytes: number
  phase: HoldingPhase
  /** When the phase began, milliseconds of the monotonic clock. */
  since: number
  onEvicted: (phase: HoldingPhase) => void
}

/**
 * Creates a budget.
 * @param limitBytes the limit now; it can change with the configuration.
 */
export function createMemoryBudget (limitBytes: () => number): MemoryBudget {
  const states = new Set<HoldingState>()
  let held = 0

  function change (state: HoldingState, bytes: number): void {
    if (bytes === 0) states.delete(state)
    else states.add(state)
    held += bytes - state.bytes
    state.bytes = bytes
  }

  /**
   * @returns the costliest holding of the owner whose holdings cost the most together. A holding costs its bytes times the time for which
   * they have been held; requests that are handled cost nothing.
   */
  function findCostliest (): HoldingState | undefined {
    const now = performance.now()
    const owners = new Map<unknown, { cost: number, costliest: HoldingState, highest: number }>()
    for (const state of states) {
      if (state.phase === HoldingPhase.Handling) continue
      const cost = state.bytes * (now - state.since)
      const owner = owners.get(state.owner)
      if (owner === undefined) {
        owners.set(state.owner, { cost, costliest: state, highest: cost })
        continue
      }
      owner.cost += cost
      if (cost <= owner.highest) continue
      owner.highest = cost
      owner.costliest = state
    }
    let chosen: { cost: number, costliest: HoldingState } | undefined
    for (const owner of owners.values()) if (chosen === undefined || owner.cost > chosen.cost) chosen = owner
    return chosen?.costliest
  }

  function makeRoom (forState: HoldingState, bytes: number): boolean {
    while (held + bytes > limitBytes()) {
      const costliest = findCostliest()
      if (costliest === undefined || costliest === forState) return false
      change(costliest, 0)
      costliest.onEvicted(costliest.phase)
    }
    return true
  }

  return {
    open (onEvicted, owner) {
      const state: HoldingState = { owner, bytes: 0, phase: HoldingPhase.Receiving, since: performance.now(), onEvicted }
      state.owner ??= state
      return {
        add (bytes) {
          if (held + bytes > limitBytes() && !makeRoom(state, bytes)) return false
          if (state.bytes === 0) state.since = performance.now()
          change(state, state.bytes + bytes)
          return true
        },
        remove: bytes => change(state, Math.max(0, state.bytes - bytes)),
        enter (phase) {
          if (phase === state.phase) return
          state.phase = phase
          state.since = performance.now()
        },
        clear: () => change(state, 0)
      }
    },
    heldBytes: () => held
  }
}
