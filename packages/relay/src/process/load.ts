/**
 * Work that is under way at each target: of this process by its own count, of the others by what they last told.
 */

/** Work that is counted until it is released; releasing twice changes nothing. */
export interface Reservation {
  release: () => void
}

/** Counts by the life of a target. */
export interface Load {
  /** Requests of this process and its peers that were sent to the target, or that cross it. */
  requests: (life: string) => number
  /** Tokens for which requests of this process and its peers need memory. */
  tokens: (life: string) => number
  reserveRequest: (life: string) => Reservation
  /** Counts a request and its memory on each stage of a path. */
  reservePath: (lives: readonly string[], tokens: number) => Reservation
  /** Own counts, to tell peers. */
  own: () => Array<{ life: string, requests: number, tokens: number }>
  /** Takes a peer's counts in place of its earlier ones; they are forgotten once they are too old. */
  setPeer: (vm: string, counts: ReadonlyArray<{ life: string, requests: number, tokens: number }>) => void
  dropPeer: (vm: string) => void
  /** @returns sends in a row to which the target gave no answer in time. */
  noteMute: (life: string) => number
  noteAnswer: (life: string) => void
}

interface Count {
  requests: number
  tokens: number
}

/** Counts of a peer that has not told for so long are of requests that have mostly ended, milliseconds: about one long answer. */
const PEER_COUNTS_MILLISECONDS = 6000
const NOTHING: Count = { requests: 0, tokens: 0 }

/** Makes empty counts. */
export function createLoad (): Load {
  const own = new Map<string, Count>()
  const peers = new Map<string, { toldAt: number, counts: Map<string, Count> }>()
  const mutes = new Map<string, number>()
  /** Sums over all peers, kept as they tell, so that one word costs the same in a large fleet. */
  const peerTotals = new Map<string, Count>()

  function add (life: string, requests: number, tokens: number): void {
    const count = own.get(life) ?? { requests: 0, tokens: 0 }
    count.requests += requests
    count.tokens += tokens
    if (count.requests === 0 && count.tokens === 0) own.delete(life)
    else own.set(life, count)
  }

  function sum (life: string, read: (count: Count) => number): number {
    return read(own.get(life) ?? NOTHING) + read(peerTotals.get(life) ?? NOTHING)
  }

  function addToTotals (counts: ReadonlyMap<string, Count>, sign: 1 | -1): void {
    for (const [life, { requests, tokens }] of counts) {
      const total = peerTotals.get(life) ?? { requests: 0, tokens: 0 }
      total.requests += sign * requests
      total.tokens += sign * tokens
      if (total.requests === 0 && total.tokens === 0) peerTotals.delete(life)
      else peerTotals.set(life, total)
    }
  }

  function dropPeer (vm: string): void {
    const known = peers.get(vm)
    if (known === undefined) return
    peers.delete(vm)
    addToTotals(known.counts, -1)
  }

  function dropSilentPeers (): void {
    for (const [vm, { toldAt }] of peers) if (performance.now() - toldAt > PEER_COUNTS_MILLISECONDS) dropPeer(vm)
  }

  function once (release: () => void): Reservation {
    let isReleased = false
    return {
      release () {
        if (!isReleased) release()
        isReleased = true
      }
    }
  }

  return {
    requests: life => sum(life, count => count.requests),
    tokens: life => sum(life, count => count.tokens),
    reserveRequest (life) {
      add(life, 1, 0)
      return once(() => add(life, -1, 0))
    },
    reservePath (lives, tokens) {
      for (const life of lives) add(life, 1, tokens)
      return once(() => { for (const life of lives) add(life, -1, -tokens) })
    },
    noteMute (life) {
      const count = (mutes.get(life) ?? 0) + 1
      mutes.set(life, count)
      return count
    },
    noteAnswer: life => { mutes.delete(life) },
    own: () => [...own].map(([life, count]) => ({ life, ...count })),
    setPeer (vm, counts) {
      dropPeer(vm)
      dropSilentPeers()
      const byLife = new Map(counts.map(({ life, requests, tokens }) => [life, { requests, tokens }]))
      peers.set(vm, { toldAt: performance.now(), counts: byLife })
      addToTotals(byLife, 1)
    },
    dropPeer
  }
}
