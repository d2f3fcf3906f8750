/**
 * Directory of the listed targets. A target is usable unless it is leaving or suspected.
 */
import { incarnationOf, type Target } from '../version/target.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** Details of a suspicion: who raised it, and whether it means that the target is lost. */
export interface SuspicionDetails {
  /** Failure domain of the peer that reported the suspicion; absent if this process found it. */
  peerFailureDomain?: string
  /** True if requests stall on the target or it is unreachable; false if it only refused work. */
  isLoss: boolean
}

/** A suspicion in the form that is gossiped to peers. */
export interface Suspicion {
  incarnation: string
  /** Time until the suspicion expires, milliseconds. */
  remainingMilliseconds: number
  isLoss: boolean
}

/** The targets of the deployment, by id. */
export interface Directory {
  /** @returns targets of a service that accept new work. */
  usable: (service: string) => Target[]
  /** @returns all listed targets of a service, including leaving and suspected ones. */
  listed: (service: string) => Target[]
  find: (id: string) => Target | undefined
  /** @returns the listed target with this incarnation; undefined once that incarnation has ended. */
  findIncarnation: (incarnation: string) => Target | undefined
  /** @returns incarnations of leaving targets, for gossip: peers whose calls the store rejects can't read them there. */
  leavingIncarnations: () => string[]
  /** @returns the listed target at an address. */
  findByAddress: (address: string) => Target | undefined
  isUsable: (target: Target) => boolean
  put: (target: Target) => void
  /** Removes a target whose entry is no longer listed. */
  remove: (id: string) => void
  /** Applies a full listing: removes each target whose id is not in it. */
  removeUnlisted: (ids: ReadonlySet<string>) => void
  /**
   * Starts the grace period after a store outage. In it, removed targets stay listed, because targets whose entries expired during the
   * outage may write them again.
   * @param agoMilliseconds time since the store answered again, milliseconds.
   */
  startOutageGracePeriod: (agoMilliseconds?: number) => void
  /** Keeps new work away from a target for a time. If it is already suspected, the later expiry wins. */
  suspect: (target: Target, milliseconds: number, reason: string, details?: SuspicionDetails) => void
  /** @returns suspicions that this process raised itself and that have not expired, for gossip to peers. */
  ownSuspicions: () => Suspicion[]
  /**
   * Whether a process in the target's own failure domain suspects it as lost. A network cut between failure domains can't be the cause of
   * this suspicion.
   */
  isSuspectedLost: (target: Target) => boolean
  /** Counter that grows with each change, for cache invalidation. */
  revision: () => number
  /**
   * Registers a listener that is called when a target starts to leave, is removed, is replaced by another incarnation or, with `isLeaving`
   * false, is suspected as lost.
   */
  onLost: (listener: (target: Target, isLeaving: boolean) => void) => void
}

/**
 * Time after a store outage within which targets write entries again that expired during it, milliseconds. The platform's documentation
 * states it.
 */
const OUTAGE_GRACE_MILLISECONDS = 2000

/** Creates an empty directory. */
export function createDirectory (log: RelayLog, ownFailureDomain: string): Directory {
  const targets = new Map<string, Target>()
  /** Monotonic time at which each suspicion expires, milliseconds, by incarnation. */
  const suspectedUntil = new Map<string, number>()
  const listeners: Array<(target: Target, isLeaving: boolean) => void> = []
  /** Incarnations that this process itself suspects, and whether it suspects them as lost. */
  const selfSuspected = new Map<string, boolean>()
  /** Monotonic time until which `isSuspectedLost` is true, milliseconds, by incarnation. */
  const lostUntil = new Map<string, number>()
  /** Incarnations that are suspected as lost, by this process or by a peer. */
  const lossSuspected = new Set<string>()
  const inGracePeriod = new Set<string>()
  let graceEndsAt = -Infinity
  let revision = 0

  function isSuspected (target: Target): boolean {
    const until = suspectedUntil.get(incarnationOf(target))
    if (until === undefined) return false
    if (until > performance.now()) return true
    suspectedUntil.delete(incarnationOf(target))
    lossSuspected.delete(incarnationOf(target))
    revision += 1
    return false
  }

  function isUsable (target: Target): boolean {
    return targets.get(target.id) === target && !target.isLeaving && !isSuspected(target)
  }

  function deleteTarget (id: string): void {
    const target = targets.get(id)
    if (target === undefined) return
    targets.delete(id)
    inGracePeriod.delete(id)
    suspectedUntil.delete(incarnationOf(target))
    lostUntil.delete(incarnationOf(target))
    lossSuspected.delete(incarnationOf(target))
    revision += 1
    log.info(RelayEvent.TargetGone, { target: id, service: target.service })
    for (const listener of listeners) listener(target, true)
  }

  function remove (id: string): void {
    if (!targets.has(id)) return
    const graceLeft = graceEndsAt - performance.now()
    if (graceLeft <= 0) return deleteTarget(id)
    inGracePeriod.add(id)
    setTimeout(() => { if (inGracePeriod.has(id)) deleteTarget(id) }, graceLeft).unref()
  }

  return {
    usable: service => [...targets.values()].filter(target => target.service === service && isUsable(target)),
    listed: service => [...targets.values()].filter(target => target.service === service),
    find: id => targets.get(id),
    findIncarnation (incarnation) {
      const target = targets.get(incarnation.slice(0, incarnation.lastIndexOf('@')))
      return target !== undefined && incarnationOf(target) === incarnation ? target : undefined
    },
    leavingIncarnations: () => [...targets.values()].filter(({ isLeaving }) => isLeaving).map(incarnationOf),
    findByAddress: address => [...targets.values()].find(target => target.address === address),
    isUsable,
    put (target) {
      const previous = targets.get(target.id)
      inGracePeriod.delete(target.id)
      targets.set(target.id, target)
      revision += 1
      const isSameIncarnation = previous !== undefined && incarnationOf(previous) === incarnationOf(target)
      if (!isSameIncarnation) {
        log.info(RelayEvent.TargetListed, {
          target: target.id, service: target.service, address: target.address, failureDomain: target.failureDomain
        })
        if (previous !== undefined) for (const listener of listeners) listener(previous, true)
      }
      if (isSameIncarnation && (previous.layers?.from !== target.layers?.from || previous.layers?.to !== target.layers?.to)) {
        log.info(RelayEvent.TargetLayers, { target: target.id, from: target.layers?.from, to: target.layers?.to })
      }
      if (target.isLeaving && previous?.isLeaving !== true) {
        log.info(RelayEvent.TargetLeaving, { target: target.id, service: target.service })
        for (const listener of listeners) listener(target, true)
      }
    },
    remove,
    removeUnlisted (ids) {
      for (const id of [...targets.keys()]) if (!ids.has(id)) remove(id)
    },
    startOutageGracePeriod (agoMilliseconds = 0) {
      graceEndsAt = Math.max(graceEndsAt, performance.now() + OUTAGE_GRACE_MILLISECONDS - agoMilliseconds)
    },
    suspect (target, milliseconds, reason, details = { isLoss: false }) {
      const until = performance.now() + milliseconds
      const incarnation = incarnationOf(target)
      const wasSuspected = isSuspected(target)
      suspectedUntil.set(incarnation, Math.max(until, suspectedUntil.get(incarnation) ?? 0))
      if (details.peerFailureDomain === undefined) selfSuspected.set(incarnation, details.isLoss)
      if (details.isLoss && (details.peerFailureDomain ?? ownFailureDomain) === target.failureDomain) lostUntil.set(incarnation, until)
      const isNewLoss = details.isLoss && !lossSuspected.has(incarnation)
      if (details.isLoss) lossSuspected.add(incarnation)
      if (!wasSuspected) revision += 1
      if (!wasSuspected || isNewLoss) {
        log.warn(RelayEvent.TargetSuspected, { target: target.id, service: target.service, milliseconds, reason, isLoss: details.isLoss })
      }
      // A refusal only keeps new work away; requests in flight at the target continue.
      if (isNewLoss) for (const listener of listeners) listener(target, false)
    },
    ownSuspicions () {
      const now = performance.now()
      for (const incarnation of selfSuspected.keys()) if ((suspectedUntil.get(incarnation) ?? 0) <= now) selfSuspected.delete(incarnation)
      return [...selfSuspected].map(([incarnation, isLoss]) => ({
        incarnation, remainingMilliseconds: suspectedUntil.get(incarnation)! - now, isLoss
      }))
    },
    isSuspectedLost: target => (lostUntil.get(incarnationOf(target)) ?? 0) > performance.now(),
    revision: () => revision,
    onLost: listener => { listeners.push(listener) }
  }
}
