/**
 * Chooses the peer that handles a request in place of this VM, which is cut off from the request's targets.
 */
import { releaseOnce, type Reservation } from '../routing/load.js'
import type { Peer, Peers } from './peers.js'

/** Chooses peers, and counts the requests that were handed over to each. */
export interface PeerChoice {
  /**
   * @param needs.keepsLimit whether the peer must keep the limit of targets that a hand-over states; peers of earlier builds do not. Not
   * needed by default.
   * @returns a peer that reaches the targets of a service; undefined if there is none besides the excluded VMs.
   */
  choose: (service: string, excluded: ReadonlySet<string>, needs?: { keepsLimit: boolean }) => Peer | undefined
  /** Counts a request that a peer handles. */
  reserve: (vm: string) => Reservation
  /** Records that a peer sent nothing in time. Others are preferred to it until it answers. */
  recordSilence: (vm: string) => void
  recordAnswer: (vm: string) => void
}

/**
 * Share of the VMs of this VM's failure domain that must reach the targets, so that only they are chosen. With fewer, all requests of a
 * failure domain would fall on one or two VMs.
 */
const MINIMUM_LOCAL_SHARE = 1 / 3
/** Interval at which a silent peer gets a request all the same, milliseconds, to find out whether it answers again. */
const SILENT_PEER_INTERVAL_MILLISECONDS = 500

/** Creates a choice without requests in flight. */
export function createPeerChoice (
  peers: Pick<Peers, 'known' | 'reaching' | 'keepsTargetLimit'>, ownFailureDomain: string, nextFloat: () => number
): PeerChoice {
  const inFlight = new Map<string, number>()
  /** Monotonic time at which each silent peer may get its next request, milliseconds. */
  const silentUntil = new Map<string, number>()

  function draw (candidates: readonly Peer[]): Peer | undefined {
    return candidates[Math.floor(nextFloat() * candidates.length)]
  }

  return {
    choose (service, excluded, { keepsLimit } = { keepsLimit: false }) {
      const isLocal = ({ failureDomain }: Peer): boolean => failureDomain === ownFailureDomain
      const isAllowed = ({ vm }: Peer): boolean => !excluded.has(vm) && (!keepsLimit || peers.keepsTargetLimit(vm))
      const listed = peers.reaching(service)
      const answering = listed.filter(({ vm }) => performance.now() >= (silentUntil.get(vm) ?? 0))
      // Where every peer is silent, each is as good as the others.
      const reaching = answering.some(isAllowed) ? answering : listed
      const local = reaching.filter(isLocal)
      const localVms = peers.known().filter(isLocal).length + 1
      const preferred = local.length >= localVms * MINIMUM_LOCAL_SHARE ? local : reaching
      const candidates = preferred.some(isAllowed) ? preferred.filter(isAllowed) : reaching.filter(isAllowed)
      const [first, second] = [draw(candidates), draw(candidates)]
      if (first === undefined || second === undefined) return undefined
      const chosen = (inFlight.get(second.vm) ?? 0) < (inFlight.get(first.vm) ?? 0) ? second : first
      if (silentUntil.has(chosen.vm)) silentUntil.set(chosen.vm, performance.now() + SILENT_PEER_INTERVAL_MILLISECONDS)
      return chosen
    },
    recordSilence: vm => { silentUntil.set(vm, performance.now() + SILENT_PEER_INTERVAL_MILLISECONDS) },
    recordAnswer: vm => { silentUntil.delete(vm) },
    reserve (vm) {
      inFlight.set(vm, (inFlight.get(vm) ?? 0) + 1)
      return releaseOnce(() => {
        const left = inFlight.get(vm)! - 1
        if (left === 0) inFlight.delete(vm)
        else inFlight.set(vm, left)
      })
    }
  }
}
