/**
 * Counts requests in flight at each target: those of this process exactly, those of peers as of their last gossip message.
 */

/** Work that is counted until it is released. Releasing it again has no effect. */
export interface Reservation {
  release: () => void
}

/** Counts of work in flight, by incarnation of the target. */
export interface Load {
  /** Requests of this process and its peers that were sent to the target or whose path includes it. */
  requests: (incarnation: string) => number
  /** Requests of this process and its peers whose path has the target as its first stage. */
  firstStageRequests: (incarnation: string) => number
  /** Tokens for which requests of this process and its peers need memory at the target. */
  tokens: (incarnation: string) => number
  /** Counts a request that is sent to a target. */
  reserveRequest: (incarnation: string) => Reservation
  /** Like `firstStageRequests`, plus an estimate for silent peers: each is assumed to have as many of them as this process. */
  estimatedFirstStageRequests: (incarnation: string) => number
  /** Sets how many peers of this VM's failure domain have not sent their counts recently. */
  setSilentPeers: (vms: number) => void
  /** @returns milliseconds since a peer last sent its counts; undefined if none are stored for it. */
  millisecondsSinceCounts: (vm: string) => number | undefined
  /** Counts a request and its memory on each stage of a path. The first incarnation is that of the first stage. */
  reservePath: (incarnations: readonly string[], tokens: number) => Reservation
  /** @returns the counts of this process, for gossip to peers. */
  ownCounts: () => TargetCounts[]
  /** Replaces the counts of a peer. Also drops the counts of all peers that are older than `PEER_COUNTS_EXPIRY_MILLISECONDS`. */
  setPeer: (vm: string, counts: readonly TargetCounts[]) => void
  dropPeer: (vm: string) => void
  /** @returns the number of successive sends that the target has not answered in time, including the one recorded by this call. */
  recordTimeout: (incarnation: string) => number
  /** Records that the target answered in time, which ends its series of timeouts. */
  recordAnswer: (incarnation: string) => void
}

interface Count {
  requests: number
  tokens: number
  firstStageRequests: number
}

/** Counts of one target in the form that is gossiped to peers. */
export interface TargetCounts extends Count {
  incarnation: string
}

/**
 * Age after which a peer's counts are dropped, milliseconds: about the duration of one long answer, after which most of its requests have
 * ended.
 */
const PEER_COUNTS_EXPIRY_MILLISECONDS = 6000
const NO_WORK: Count = { requests: 0, tokens: 0, firstStageRequests: 0 }

/** @returns a reservation whose first release calls the function. */
export function releaseOnce (release: () => void): Reservation {
  let isReleased = false
  return {
    release () {
      if (!isReleased) release()
      isReleased = true
    }
  }
}

/** Creates empty counts. */
export function createLoad (): Load {
  const ownByIncarnation = new Map<string, Count>()
  const peers = new Map<string, { receivedAt: number, counts: Map<string, Count> }>()
  const timeouts = new Map<string, number>()
  let silentPeers = 0
  /** Sums over all peers, updated with each message, so that a lookup costs the same in a large fleet. */
  const peerTotals = new Map<string, Count>()

  function add (counts: Map<string, Count>, incarnation: string, added: Count, sign: 1 | -1): void {
    const before = counts.get(incarnation) ?? NO_WORK
    const count = {
      requests: before.requests + sign * added.requests,
      tokens: before.tokens + sign * added.tokens,
      firstStageRequests: before.firstStageRequests + sign * added.firstStageRequests
    }
    if (Object.values(count).every(value => value === 0)) counts.delete(incarnation)
    else counts.set(incarnation, count)
  }

  function reserve (counts: ReadonlyArray<[incarnation: string, count: Count]>): Reservation {
    for (const [incarnation, count] of counts) add(ownByIncarnation, incarnation, count, 1)
    return releaseOnce(() => { for (const [incarnation, count] of counts) add(ownByIncarnation, incarnation, count, -1) })
  }

  function sum (incarnation: string, read: (count: Count) => number): number {
    return read(ownByIncarnation.get(incarnation) ?? NO_WORK) + read(peerTotals.get(incarnation) ?? NO_WORK)
  }

  function addToTotals (counts: ReadonlyMap<string, Count>, sign: 1 | -1): void {
    for (const [incarnation, count] of counts) add(peerTotals, incarnation, count, sign)
  }

  function dropPeer (vm: string): void {
    const peer = peers.get(vm)
    if (peer === undefined) return
    peers.delete(vm)
    addToTotals(peer.counts, -1)
  }

  function dropStalePeers (): void {
    for (const [vm, { receivedAt }] of peers) if (performance.now() - receivedAt > PEER_COUNTS_EXPIRY_MILLISECONDS) dropPeer(vm)
  }

  return {
    requests: incarnation => sum(incarnation, count => count.requests),
    firstStageRequests: incarnation => sum(incarnation, count => count.firstStageRequests),
    estimatedFirstStageRequests: incarnation =>
      sum(incarnation, count => count.firstStageRequests) + (ownByIncarnation.get(incarnation) ?? NO_WORK).firstStageRequests * silentPeers,
    setSilentPeers: vms => { silentPeers = vms },
    millisecondsSinceCounts (vm) {
      const peer = peers.get(vm)
      return peer === undefined ? undefined : performance.now() - peer.receivedAt
    },
    tokens: incarnation => sum(incarnation, count => count.tokens),
    reserveRequest: incarnation => reserve([[incarnation, { requests: 1, tokens: 0, firstStageRequests: 0 }]]),
    reservePath: (incarnations, tokens) => reserve(incarnations.map((incarnation, index) =>
      [incarnation, { requests: 1, tokens, firstStageRequests: index === 0 ? 1 : 0 }])),
    recordTimeout (incarnation) {
      const count = (timeouts.get(incarnation) ?? 0) + 1
      timeouts.set(incarnation, count)
      return count
    },
    recordAnswer: incarnation => { timeouts.delete(incarnation) },
    ownCounts: () => [...ownByIncarnation].map(([incarnation, count]) => ({ incarnation, ...count })),
    setPeer (vm, counts) {
      dropPeer(vm)
      dropStalePeers()
      const byIncarnation = new Map(counts.map(({ incarnation, ...count }) => [incarnation, count]))
      peers.set(vm, { receivedAt: performance.now(), counts: byIncarnation })
      addToTotals(byIncarnation, 1)
    },
    dropPeer
  }
}
