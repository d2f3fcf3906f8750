/**
 * The coordinator lease: only the process that holds it sends placement orders.
 */
import { WriteResult, describeFailure, fencingTokenOf, positionOf, type KeyValueEntry, type PollableKeyValue } from '@wigeonlead/protocol'
import { ageOf, presentInstant, type Instant } from '../instant.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'
import type { StoreEra } from '../store-era.js'

/** The coordinator lease as seen by one process. */
export interface CoordinatorLease {
  /** Renews the lease if this process holds it, else tries to acquire it. */
  step: () => Promise<void>
  /**
   * Whether this process may still rely on the lease: it sent its last successful grant or renewal request less than `TRUSTED_TTL_SHARE` of
   * the time to live ago, neither the monotonic clock nor the wall clock has jumped since, and the store has not returned from an older
   * copy. In a new era it may only rely on it once no holder of an earlier era does.
   */
  isHeld: () => boolean
  /**
   * @returns the fencing token: the store position at which this process wrote the lease key, as one number; 0 without a lease. Each
   * holder's token is higher than those of earlier holders, and engines that check it reject orders of earlier holders.
   */
  fence: () => number
  /**
   * Records the lease key in this process's copy of the store; undefined if it does not exist. While it exists, `step` does not try to
   * acquire the lease.
   */
  setKey: (key: KeyValueEntry | undefined) => void
  /** Revokes the lease if this process has one. */
  release: () => Promise<void>
}

/** Dependencies of the lease. */
export interface CoordinatorLeaseDependencies {
  store: PollableKeyValue
  key: string
  vm: string
  timeToLiveMilliseconds: number
  /**
   * Whether this process may try to acquire the lease now. Used to keep the processes of a large fleet from all trying at once.
   * @param freeMilliseconds how long this process has seen the lease without a holder.
   */
  mayAcquire: (freeMilliseconds: number) => boolean
  era: Pick<StoreEra, 'current' | 'ageMilliseconds'>
  log: RelayLog
}

/**
 * Share of the time to live for which the holder relies on the lease, counted from the moment at which it sent its last successful grant or
 * renewal request.
 */
const TRUSTED_TTL_SHARE = 0.6

/** A key of a restored copy that its lease has not removed after this multiple of the time to live is overwritten. */
const RESTORED_KEY_LIFETIMES = 2

/** Creates a lease that is not held. */
export function createCoordinatorLease (dependencies: CoordinatorLeaseDependencies): CoordinatorLease {
  const { store, log } = dependencies
  const trustedMilliseconds = dependencies.timeToLiveMilliseconds * TRUSTED_TTL_SHARE
  let currentLease: { leaseId: string, era: number, keyRevision: number, requestSentAt: Instant } | undefined
  /** Since when this process has seen the lease without a holder, monotonic milliseconds. */
  let freeSince: number | undefined
  /** The key, and the eras in which this process first and last saw it as it is. */
  let presentKey: { entry: KeyValueEntry | undefined, firstEra: number, lastEra: number } | undefined

  function isHeld (): boolean {
    if (currentLease === undefined || currentLease.era !== dependencies.era.current()) return false
    if (ageOf(currentLease.requestSentAt) >= trustedMilliseconds) return false
    // A holder of an earlier era may not have heard of this one yet. It heard no later answer of its era than this process of the new one.
    return currentLease.era === 0 || dependencies.era.ageMilliseconds() >= trustedMilliseconds
  }

  /** Drops a lease of an earlier era: it is gone, and its number may have been given to another process. */
  function dropOutdated (): void {
    if (currentLease === undefined || currentLease.era === dependencies.era.current()) return
    log.warn(RelayEvent.LeaseLost, { key: dependencies.key, reason: 'the store was restored', era: currentLease.era })
    currentLease = undefined
  }

  async function renew (current: NonNullable<typeof currentLease>): Promise<void> {
    const sentAt = presentInstant()
    const renewed = await store.renewLease(current.leaseId)
    dropOutdated()
    if (currentLease === undefined) return
    if (renewed.ok) {
      currentLease = { ...current, requestSentAt: sentAt }
      return
    }
    if (isHeld()) return
    log.warn(RelayEvent.LeaseLost, { key: dependencies.key, reason: describeFailure(renewed.failure) })
    currentLease = undefined
  }

  /** Whether nobody relies on the key: it does not exist, an earlier process of this VM wrote it, or a restored copy contains it. */
  function isKeyFree (): boolean {
    if (presentKey === undefined) return true
    // A revision of an earlier era may by now be that of another holder's key.
    if (presentKey.lastEra !== dependencies.era.current()) return false
    if (presentKey.entry?.value === dependencies.vm) return true
    return presentKey.firstEra !== dependencies.era.current() &&
      dependencies.era.ageMilliseconds() > RESTORED_KEY_LIFETIMES * dependencies.timeToLiveMilliseconds
  }

  async function acquire (expectedModRevision: number): Promise<void> {
    const sentAt = presentInstant()
    const grant = await store.grantLease(dependencies.timeToLiveMilliseconds)
    if (!grant.ok) return
    const era = grant.value.era ?? 0
    if (presentKey !== undefined && presentKey.lastEra !== era) return
    const written = await store.compareAndSwap({
      key: dependencies.key, expectedModRevision, value: dependencies.vm, leaseId: grant.value.leaseId
    })
    if (written.kind === WriteResult.Committed && positionOf(written).era === era) {
      currentLease = { leaseId: grant.value.leaseId, era, keyRevision: written.revision, requestSentAt: sentAt }
      log.info(RelayEvent.LeaseHeld, { key: dependencies.key, era, revision: written.revision })
      return
    }
    if (written.kind === WriteResult.Conflict && presentKey === undefined) presentKey = { entry: undefined, firstEra: era, lastEra: era }
    if (era !== dependencies.era.current()) return
    // The lease is revoked now, whether the write conflicted or its outcome is unknown. If an unknown write has taken effect after all,
    // revoking its lease removes the key.
    await store.revokeLease(grant.value.leaseId)
  }

  return {
    isHeld,
    fence: () => currentLease === undefined ? 0 : fencingTokenOf({ era: currentLease.era, revision: currentLease.keyRevision }),
    setKey (entry) {
      const lastEra = dependencies.era.current()
      const isUnchanged = entry !== undefined && presentKey?.entry !== undefined && isSameKey(entry, presentKey.entry)
      presentKey = entry === undefined ? undefined : { entry, firstEra: isUnchanged ? presentKey!.firstEra : lastEra, lastEra }
    },
    async step () {
      dropOutdated()
      const isFree = currentLease === undefined && isKeyFree()
      freeSince = isFree ? freeSince ?? performance.now() : undefined
      if (currentLease !== undefined) await renew(currentLease)
      else if (isFree && dependencies.mayAcquire(performance.now() - freeSince!)) await acquire(presentKey?.entry?.modRevision ?? 0)
    },
    async release () {
      const released = currentLease
      currentLease = undefined
      if (released === undefined || released.era !== dependencies.era.current()) return
      // The key is deleted instead of the lease: if the store was restored meanwhile, the lease number may belong to another process.
      await store.compareAndSwap({ key: dependencies.key, expectedModRevision: released.keyRevision })
    }
  }
}

/** Whether a key is the one that was seen in an earlier era. A key that was written since differs in one of these fields at least. */
function isSameKey (a: KeyValueEntry, b: KeyValueEntry): boolean {
  return a.value === b.value && a.modRevision === b.modRevision && a.createRevision === b.createRevision && a.leaseId === b.leaseId
}
