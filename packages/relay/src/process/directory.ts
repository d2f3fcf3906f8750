/**
 * The targets that may be used: as listed, less those that leave and those under suspicion.
 */
import { lifeOf, type Target } from '../version/target.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** Where a suspicion comes from. */
export interface Finding {
  /** Absent where this process found it. */
  peerFailureDomain?: string
  /** Work hangs on the target, or it cannot be reached; not only a refusal. */
  isLoss: boolean
}

/** A suspicion, as peers are told. */
export interface Suspicion {
  life: string
  /** Time that is left. */
  milliseconds: number
  isLoss: boolean
}

/** The targets of the deployment. */
export interface Directory {
  /** @returns targets of a service that take new work. */
  usable: (service: string) => Target[]
  /** @returns all listed targets of a service, also those that leave or are suspected. */
  listed: (service: string) => Target[]
  find: (id: string) => Target | undefined
  /** @returns the listed target whose life that is; undefined once it is over. */
  living: (life: string) => Target | undefined
  /** @returns lives that are known to leave, to tell peers that the store turns away. */
  leavingLives: () => string[]
  /** @returns the listed target at an address. */
  at: (address: string) => Target | undefined
  isUsable: (target: Target) => boolean
  put: (target: Target) => void
  /** The entry is no longer listed. */
  remove: (id: string) => void
  /** A full listing: what it lacks is removed. */
  keepOnly: (ids: ReadonlySet<string>) => void
  /** The store has been back for so long, milliseconds: entries that lapsed while it was away get time to return. */
  noteStoreRegained: (agoMilliseconds?: number) => void
  /** Takes no new work for so long; the longer of two suspicions holds. */
  suspect: (target: Target, milliseconds: number, reason: string, finding?: Finding) => void
  /** Suspicions that this process found itself, with the time that is left, to tell peers. */
  ownSuspicions: () => Suspicion[]
  /** Whether work hangs on the target, as found within its own failure domain: no cut between domains explains that. */
  isHeldLost: (target: Target) => boolean
  /** Counts up at each change, for caches. */
  revision: () => number
  /** Called when a target leaves, is gone or is held to be lost. */
  onLost: (listener: (target: Target, isLeaving: boolean) => void) => void
}

/** Entries that lapsed during an outage of the store come back within this time, milliseconds; from the users' pages. */
const LAPSE_GRACE_MILLISECONDS = 2000

/** Makes an empty directory. */
export function createDirectory (log: RelayLog, ownFailureDomain: string): Directory {
  const targets = new Map<string, Target>()
  const suspectedUntil = new Map<string, number>()
  const listeners: Array<(target: Target, isLeaving: boolean) => void> = []
  /** Lives that this process suspects by its own findings, and whether as lost. */
  const own = new Map<string, boolean>()
  const lostUntil = new Map<string, number>()
  /** Lives whose suspicion is one of loss. */
  const lossFound = new Set<string>()
  const returning = new Set<string>()
  let graceEndsAt = -Infinity
  let revision = 0

  function isSuspected (target: Target): boolean {
    const until = suspectedUntil.get(lifeOf(target))
    if (until === undefined) return false
    if (until > performance.now()) return true
    suspectedUntil.delete(lifeOf(target))
    lossFound.delete(lifeOf(target))
    revision += 1
    return false
  }

  function isUsable (target: Target): boolean {
    return targets.get(target.id) === target && !target.isLeaving && !isSuspected(target)
  }

  function drop (id: string): void {
    const target = targets.get(id)
    if (target === undefined) return
    targets.delete(id)
    returning.delete(id)
    suspectedUntil.delete(lifeOf(target))
    lostUntil.delete(lifeOf(target))
    lossFound.delete(lifeOf(target))
    revision += 1
    log.note(RelayEvent.TargetGone, { target: id, service: target.service })
    for (const listener of listeners) listener(target, true)
  }

  function remove (id: string): void {
    if (!targets.has(id)) return
    const graceLeft = graceEndsAt - performance.now()
    if (graceLeft <= 0) return drop(id)
    returning.add(id)
    setTimeout(() => { if (returning.has(id)) drop(id) }, graceLeft).unref()
  }

  return {
    usable: service => [...targets.values()].filter(target => target.service === service && isUsable(target)),
    listed: service => [...targets.values()].filter(target => target.service === service),
    find: id => targets.get(id),
    living (life) {
      const target = targets.get(life.slice(0, life.lastIndexOf('@')))
      return target !== undefined && lifeOf(target) === life ? target : undefined
    },
    leavingLives: () => [...targets.values()].filter(({ isLeaving }) => isLeaving).map(lifeOf),
    at: address => [...targets.values()].find(target => target.address === address),
    isUsable,
    put (target) {
      const known = targets.get(target.id)
      returning.delete(target.id)
      targets.set(target.id, target)
      revision += 1
      const isSameLife = known !== undefined && lifeOf(known) === lifeOf(target)
      if (!isSameLife) {
        log.note(RelayEvent.TargetListed, {
          target: target.id, service: target.service, address: target.address, failureDomain: target.failureDomain
        })
        if (known !== undefined) for (const listener of listeners) listener(known, true)
      }
      if (isSameLife && (known.layers?.from !== target.layers?.from || known.layers?.to !== target.layers?.to)) {
        log.note(RelayEvent.TargetLayers, { target: target.id, from: target.layers?.from, to: target.layers?.to })
      }
      if (target.isLeaving && known?.isLeaving !== true) {
        log.note(RelayEvent.TargetLeaving, { target: target.id, service: target.service })
        for (const listener of listeners) listener(target, true)
      }
    },
    remove,
    keepOnly (ids) {
      for (const id of [...targets.keys()]) if (!ids.has(id)) remove(id)
    },
    noteStoreRegained (agoMilliseconds = 0) {
      graceEndsAt = Math.max(graceEndsAt, performance.now() + LAPSE_GRACE_MILLISECONDS - agoMilliseconds)
    },
    suspect (target, milliseconds, reason, finding = { isLoss: false }) {
      const until = performance.now() + milliseconds
      const life = lifeOf(target)
      const wasSuspected = isSuspected(target)
      suspectedUntil.set(life, Math.max(until, suspectedUntil.get(life) ?? 0))
      if (finding.peerFailureDomain === undefined) own.set(life, finding.isLoss)
      if (finding.isLoss && (finding.peerFailureDomain ?? ownFailureDomain) === target.failureDomain) lostUntil.set(life, until)
      const isNewLoss = finding.isLoss && !lossFound.has(life)
      if (finding.isLoss) lossFound.add(life)
      if (!wasSuspected) revision += 1
      if (!wasSuspected || isNewLoss) {
        log.warn(RelayEvent.TargetSuspected, { target: target.id, service: target.service, milliseconds, reason, isLoss: finding.isLoss })
      }
      // A refusal only keeps new work away; what is under way at the target goes on.
      if (isNewLoss) for (const listener of listeners) listener(target, false)
    },
    ownSuspicions () {
      const now = performance.now()
      for (const life of own.keys()) if ((suspectedUntil.get(life) ?? 0) <= now) own.delete(life)
      return [...own].map(([life, isLoss]) => ({ life, milliseconds: suspectedUntil.get(life)! - now, isLoss }))
    },
    isHeldLost: target => (lostUntil.get(lifeOf(target)) ?? 0) > performance.now(),
    revision: () => revision,
    onLost: listener => { listeners.push(listener) }
  }
}
