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
  /** Requests of this process and its peers whose path begins at the target. */
  entering: (life: string) => number
  /** Tokens for which requests of this process and its peers need memory. */
  tokens: (life: string) => number
  reserveRequest: (life: string) => Reservation
  /** The same with a guess for peers that are not heard: each has sent as many there as this process. */
  expectedEntering: (life: string) => number
  /** Peers of the own failure domain that have not told their counts lately. */
  setUnheard: (vms: number) => void
  /** @returns milliseconds since a peer told its counts; undefined where it has not, or not for long. */
  sinceTold: (vm: string) => number | undefined
  /** Counts a request and its memory on each stage of a path, which it enters at the first. */
  reservePath: (lives: readonly string[], tokens: number) => Reservation
  /** Own counts, to tell peers. */
  own: () => TargetCounts[]
  /** Takes a peer's counts in place of its earlier ones; they are forgotten once they are too old. */
  setPeer: (vm: string, counts: readonly TargetCounts[]) => void
  dropPeer: (vm: string) => void
  /** @returns sends in a row to which the target gave no answer in time. */
  noteMute: (life: string) => number
  noteAnswer: (life: string) => void
}

interface Count {
  requests: number
  tokens: number
  entering: number
}

/** Counts of one target, as peers are told. */
export interface TargetCounts extends Count {
  life: string
}

/** Counts of a peer that has not told for so long are of requests that have mostly ended, milliseconds: about one long answer. */
const PEER_COUNTS_MILLISECONDS = 6000
const NOTHING: Count = { requests: 0, tokens: 0, entering: 0 }

/** Makes empty counts. */
export function createLoad (): Load {
  const own = new Map<string, Count>()
  const peers = new Map<string, { toldAt: number, counts: Map<string, Count> }>()
  const mutes = new Map<string, number>()
  let unheard = 0
  /** Sums over all peers, kept as they tell, so that one word costs the same in a large fleet. */
  const peerTotals = new Map<string, Count>()

  function add (counts: Map<string, Count>, life: string, added: Count, sign: 1 | -1): void {
    const before = counts.get(life) ?? NOTHING
    const count = {
      requests: before.requests + sign * added.requests,
      tokens: before.tokens + sign * added.tokens,
      entering: before.entering + sign * added.entering
    }
    if (Object.values(count).every(value => value === 0)) counts.delete(life)
    else counts.set(life, count)
  }

  function reserve (counts: ReadonlyArray<[life: string, count: Count]>): Reservation {
    for (const [life, count] of counts) add(own, life, count, 1)
    return once(() => { for (const [life, count] of counts) add(own, life, count, -1) })
  }

  function sum (life: string, read: (count: Count) => number): number {
    return read(own.get(life) ?? NOTHING) + read(peerTotals.get(life) ?? NOTHING)
  }

  function addToTotals (counts: ReadonlyMap<string, Count>, sign: 1 | -1): void {
    for (const [life, count] of counts) add(peerTotals, life, count, sign)
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
    entering: life => sum(life, count => count.entering),
    expectedEntering: life => sum(life, count => count.entering) + (own.get(life) ?? NOTHING).entering * unheard,
    setUnheard: vms => { unheard = vms },
    sinceTold (vm) {
      const known = peers.get(vm)
      return known === undefined ? undefined : performance.now() - known.toldAt
    },
    tokens: life => sum(life, count => count.tokens),
    reserveRequest: life => reserve([[life, { requests: 1, tokens: 0, entering: 0 }]]),
    reservePath: (lives, tokens) => reserve(lives.map((life, index) => [life, { requests: 1, tokens, entering: index === 0 ? 1 : 0 }])),
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
      const byLife = new Map(counts.map(({ life, ...count }) => [life, count]))
      peers.set(vm, { toldAt: performance.now(), counts: byLife })
      addToTotals(byLife, 1)
    },
    dropPeer
  }
}
