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
  /**
   * @returns incarnations of leaving targets, for gossip: peers whose calls the store rejects can't read them there, and a restored store
   * may have lost them.
   */
  leavingIncarnations: () => string[]
  /** Marks an incarnation as leaving, whatever its entry in the store says. An incarnation that leaves never returns. */
  markLeaving: (incarnation: string, source: string) => void
  /** @returns the listed target at an address. */
  findByAddress: (address: string) => Target | undefined
  isUsable: (target: Target) => boolean
  /**
   * Adds a target, or replaces what is known of it.
   * @param isFromRestoredCopy whether the entry is in the first listing after the store returned from an older copy: it may describe an
   * earlier state than the one known.
   */
  put: (target: Target, isFromRestoredCopy?: boolean) => void
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
  /**
   * Takes note that the store returned from an older copy. Entries that the copy lacks are written again within the grace period; entries
   * of targets that were removed before are ignored until their targets write them again.
   */
  startRestore: () => void
  /**
   * Sends nothing to a target from this VM for a time, because the target asked for it. Other VMs are not bound. The pause lasts for its
   * time or as long as the incarnation, whether or not its entry is listed.
   */
  pause: (incarnation: string, milliseconds: number) => void
  /** @returns milliseconds for which this VM sends nothing to a target; 0 if it may send. */
  pauseRemaining: (incarnation: string) => number
  /** Records that a target has just sent something to this VM. */
  recordContact: (incarnation: string) => void
  /** @returns milliseconds since a target last sent something to this VM; Infinity if it never did. */
  millisecondsSinceContact: (incarnation: string) => number
  /** Keeps new work away from a target for a time. If it is already suspected, the later expiry wins. */
  suspect: (target: Target, milliseconds: number, reason: string, details?: SuspicionDetails) => void
  /** @returns the number of targets of a service that this process itself suspects as lost. */
  ownLosses: (service: string) => number
  /** Drops the suspicions that this process raised itself against targets of a service, because it was cut off from them. */
  dropOwnSuspicions: (service: string) => void
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
  /** Registers a listener that is called when this process itself starts to suspect a target as lost. */
  onOwnLoss: (listener: (target: Target) => void) => void
}

/**
 * Time after a store outage within which targets write entries again that expired during it, milliseconds. The platform's documentation
 * states it.
 */
const OUTAGE_GRACE_MILLISECONDS = 2000

/**
 * How long an entry of a restored copy is withheld if its target had been removed before, milliseconds: more than the three heartbeats
 * after which the platform removes the entry of a target that does not renew it.
 */
const WITHHELD_MILLISECONDS = 6000
/** Number of departed incarnations that are remembered: a few times the targets of a large fleet. */
const MAX_DEPARTED = 2000
/** How long after a restore of the store departed targets are gossiped although they are no longer listed, milliseconds. */
const DEPARTED_GOSSIP_MILLISECONDS = 15_000
/** Number of departed targets that one message lists: a datagram must hold them beside the load counts. */
const MAX_DEPARTED_GOSSIPED = 100

/** What is known of an incarnation that was removed or is leaving. */
interface Departure {
  /** Whether it has announced that it leaves; it is then never used again. */
  isLeaving: boolean
  /** Whether it was removed before the store returned from an older copy, which may contain its entry again. */
  isBeforeRestore: boolean
}

/** Creates an empty directory. */
export function createDirectory (log: RelayLog, ownFailureDomain: string): Directory {
  const targets = new Map<string, Target>()
  /** Monotonic time at which each suspicion expires, milliseconds, by incarnation. */
  const suspectedUntil = new Map<string, number>()
  const listeners: Array<(target: Target, isLeaving: boolean) => void> = []
  const ownLossListeners: Array<(target: Target) => void> = []
  /** Monotonic time at which each target last sent something to this VM, milliseconds, by incarnation. */
  const contactAt = new Map<string, number>()
  /** Incarnations that this process itself suspects, and whether it suspects them as lost. */
  const selfSuspected = new Map<string, boolean>()
  /** Monotonic time until which `isSuspectedLost` is true, milliseconds, by incarnation. */
  const lostUntil = new Map<string, number>()
  /** Incarnations that are suspected as lost, by this process or by a peer. */
  const lossSuspected = new Set<string>()
  const inGracePeriod = new Set<string>()
  /** Incarnations that were removed or are leaving, oldest first. */
  const departed = new Map<string, Departure>()
  /** Monotonic time at which the entry of a removed target was withheld, milliseconds, by id. */
  const withheld = new Map<string, number>()
  /** Monotonic time until which nothing is sent to a target from this VM, milliseconds, by incarnation. */
  const pausedUntil = new Map<string, number>()
  let restoredAt = -Infinity
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

  function recordDeparture (incarnation: string, isLeaving: boolean): void {
    const before = departed.get(incarnation)
    departed.delete(incarnation)
    departed.set(incarnation, { isLeaving: isLeaving || before?.isLeaving === true, isBeforeRestore: false })
    if (departed.size > MAX_DEPARTED) departed.delete(departed.keys().next().value!)
  }

  /**
   * Whether an entry of a restored copy is older than what is known: the target has been removed since, has written a later entry, or was
   * replaced by a later incarnation.
   */
  function isOutdated (target: Target): boolean {
    const listed = targets.get(target.id)
    if (listed === undefined) return departed.get(incarnationOf(target))?.isBeforeRestore === true
    if (incarnationOf(listed) !== incarnationOf(target)) return listed.bornAtMilliseconds > target.bornAtMilliseconds
    return (listed.ordersAccepted ?? 0) > (target.ordersAccepted ?? 0)
  }

  /** Uses a withheld entry once the store would have removed it if its target did not renew it. */
  function withhold (entry: Target): void {
    const withheldAt = performance.now()
    withheld.set(entry.id, withheldAt)
    setTimeout(() => {
      if (withheld.get(entry.id) !== withheldAt || targets.has(entry.id)) return
      withheld.delete(entry.id)
      put(entry)
    }, WITHHELD_MILLISECONDS).unref()
  }

  function put (entry: Target, isFromRestoredCopy = false): void {
    if (isFromRestoredCopy && isOutdated(entry)) {
      log.info(RelayEvent.TargetOutdated, { target: entry.id, service: entry.service, ordersAccepted: entry.ordersAccepted })
      if (!targets.has(entry.id)) withhold(entry)
      return
    }
    withheld.delete(entry.id)
    const previous = targets.get(entry.id)
    const incarnation = incarnationOf(entry)
    const target = departed.get(incarnation)?.isLeaving === true && !entry.isLeaving ? { ...entry, isLeaving: true } : entry
    if (target.isLeaving) recordDeparture(incarnation, true)
    else departed.delete(incarnation)
    inGracePeriod.delete(target.id)
    targets.set(target.id, target)
    revision += 1
    const isSameIncarnation = previous !== undefined && incarnationOf(previous) === incarnation
    if (!isSameIncarnation) {
      log.info(RelayEvent.TargetListed, {
        target: target.id, service: target.service, address: target.address, failureDomain: target.failureDomain
      })
      if (previous !== undefined) {
        // Only a later incarnation proves that the one before has ended; an entry of an earlier one is none of the target's own.
        recordDeparture(incarnationOf(previous), previous.isLeaving || entry.bornAtMilliseconds > previous.bornAtMilliseconds)
        if (entry.bornAtMilliseconds > previous.bornAtMilliseconds) pausedUntil.delete(incarnationOf(previous))
        for (const listener of listeners) listener(previous, true)
      }
    }
    if (isSameIncarnation && (previous.layers?.from !== target.layers?.from || previous.layers?.to !== target.layers?.to)) {
      log.info(RelayEvent.TargetLayers, { target: target.id, from: target.layers?.from, to: target.layers?.to })
    }
    if (target.isLeaving && previous?.isLeaving !== true) {
      log.info(RelayEvent.TargetLeaving, { target: target.id, service: target.service })
      for (const listener of listeners) listener(target, true)
    }
  }

  function deleteTarget (id: string): void {
    const target = targets.get(id)
    if (target === undefined) return
    recordDeparture(incarnationOf(target), target.isLeaving)
    targets.delete(id)
    inGracePeriod.delete(id)
    contactAt.delete(incarnationOf(target))
    clearSuspicion(incarnationOf(target))
    revision += 1
    log.info(RelayEvent.TargetGone, { target: id, service: target.service })
    for (const listener of listeners) listener(target, true)
  }

  function clearSuspicion (incarnation: string): void {
    suspectedUntil.delete(incarnation)
    lostUntil.delete(incarnation)
    lossSuspected.delete(incarnation)
  }

  function remove (id: string): void {
    withheld.delete(id)
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
    leavingIncarnations () {
      const leaving = [...targets.values()].filter(({ isLeaving }) => isLeaving).map(incarnationOf)
      if (performance.now() - restoredAt > DEPARTED_GOSSIP_MILLISECONDS) return leaving
      const unlisted = [...departed].filter(([incarnation, { isLeaving }]) => isLeaving && !leaving.includes(incarnation))
      return leaving.concat(unlisted.slice(-MAX_DEPARTED_GOSSIPED).map(([incarnation]) => incarnation))
    },
    markLeaving (incarnation, source) {
      const known = departed.get(incarnation)
      if (known?.isLeaving === true) return
      recordDeparture(incarnation, true)
      const target = targets.get(incarnation.slice(0, incarnation.lastIndexOf('@')))
      if (target === undefined || incarnationOf(target) !== incarnation || target.isLeaving) return
      log.info(RelayEvent.TargetLeaving, { target: target.id, service: target.service, source })
      const leaving = { ...target, isLeaving: true }
      targets.set(target.id, leaving)
      revision += 1
      for (const listener of listeners) listener(leaving, true)
    },
    findByAddress: address => [...targets.values()].find(target => target.address === address),
    isUsable,
    put,
    remove,
    removeUnlisted (ids) {
      for (const id of [...targets.keys()]) if (!ids.has(id)) remove(id)
    },
    startOutageGracePeriod (agoMilliseconds = 0) {
      graceEndsAt = Math.max(graceEndsAt, performance.now() + OUTAGE_GRACE_MILLISECONDS - agoMilliseconds)
    },
    startRestore () {
      restoredAt = performance.now()
      for (const departure of departed.values()) departure.isBeforeRestore = true
      graceEndsAt = Math.max(graceEndsAt, restoredAt + OUTAGE_GRACE_MILLISECONDS)
    },
    pause (incarnation, milliseconds) {
      const now = performance.now()
      for (const [paused, until] of pausedUntil) if (until <= now) pausedUntil.delete(paused)
      pausedUntil.set(incarnation, Math.max(pausedUntil.get(incarnation) ?? 0, now + milliseconds))
      revision += 1
    },
    pauseRemaining: incarnation => Math.max(0, (pausedUntil.get(incarnation) ?? 0) - performance.now()),
    recordContact: incarnation => { contactAt.set(incarnation, performance.now()) },
    millisecondsSinceContact: incarnation => performance.now() - (contactAt.get(incarnation) ?? -Infinity),
    suspect (target, milliseconds, reason, details = { isLoss: false }) {
      const until = performance.now() + milliseconds
      const incarnation = incarnationOf(target)
      const wasSuspected = isSuspected(target)
      const isOwnLoss = details.isLoss && details.peerFailureDomain === undefined
      const isNewOwnLoss = isOwnLoss && !(wasSuspected && selfSuspected.get(incarnation) === true)
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
      if (isNewOwnLoss) for (const listener of ownLossListeners) listener(target)
    },
    ownLosses: service => [...targets.values()].filter(target =>
      target.service === service && selfSuspected.get(incarnationOf(target)) === true && isSuspected(target)).length,
    dropOwnSuspicions (service) {
      for (const target of targets.values()) {
        const incarnation = incarnationOf(target)
        if (target.service === service && selfSuspected.delete(incarnation)) clearSuspicion(incarnation)
      }
      revision += 1
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
    onLost: listener => { listeners.push(listener) },
    onOwnLoss: listener => { ownLossListeners.push(listener) }
  }
}
