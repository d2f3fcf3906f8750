/**
 * The coordinator lease: only the process that holds it sends placement orders.
 */
import { WriteResult, describeFailure, type PollableKeyValue } from '@wigeonlead/protocol'
import { ageOf, presentInstant, type Instant } from '../instant.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'

/** The coordinator lease as seen by one process. */
export interface CoordinatorLease {
  /** Renews the lease if this process holds it, else tries to acquire it. */
  step: () => Promise<void>
  /**
   * Whether this process may still rely on the lease: it sent its last successful grant or renewal request less than `TRUSTED_TTL_SHARE` of
   * the time to live ago, and neither the monotonic clock nor the wall clock has jumped since.
   */
  isHeld: () => boolean
  /**
   * @returns the fencing token: the store revision at which this process wrote the lease key, 0 without a lease. Each holder's token is
   * higher than those of earlier holders, and engines that check it reject orders of earlier holders.
   */
  fence: () => number
  /**
   * Records whether the lease key exists in this process's copy of the store. While it exists, `step` does not try to acquire the lease.
   */
  setKeyPresent: (isPresent: boolean) => void
  /** Revokes the lease if this process has one. */
  release: () => Promise<void>
}

/** Dependencies of the lease. */
export interface CoordinatorLeaseDependencies {
  store: PollableKeyValue
  key: string
  vm: string
  timeToLiveMilliseconds: number
  /** Whether this process may try to acquire the lease now. Used to keep the processes of a large fleet from all trying at once. */
  mayAcquire: () => boolean
  log: RelayLog
}

/**
 * Share of the time to live for which the holder relies on the lease, counted from the moment at which it sent its last successful grant or
 * renewal request.
 */
const TRUSTED_TTL_SHARE = 0.6

/** Creates a lease that is not held. */
export function createCoordinatorLease (dependencies: CoordinatorLeaseDependencies): CoordinatorLease {
  const { store, log } = dependencies
  let currentLease: { leaseId: string, fence: number, requestSentAt: Instant } | undefined
  let isKeyPresent = false

  function isHeld (): boolean {
    return currentLease !== undefined && ageOf(currentLease.requestSentAt) < dependencies.timeToLiveMilliseconds * TRUSTED_TTL_SHARE
  }

  async function renew (current: { leaseId: string, fence: number }): Promise<void> {
    const sentAt = presentInstant()
    const renewed = await store.renewLease(current.leaseId)
    if (renewed.ok) {
      currentLease = { ...current, requestSentAt: sentAt }
      return
    }
    if (isHeld()) return
    log.warn(RelayEvent.LeaseLost, { key: dependencies.key, reason: describeFailure(renewed.failure) })
    currentLease = undefined
  }

  async function acquire (): Promise<void> {
    const sentAt = presentInstant()
    const grant = await store.grantLease(dependencies.timeToLiveMilliseconds)
    if (!grant.ok) return
    const written = await store.compareAndSwap({
      key: dependencies.key, expectedModRevision: 0, value: dependencies.vm, leaseId: grant.value.leaseId
    })
    if (written.kind === WriteResult.Committed) {
      currentLease = { leaseId: grant.value.leaseId, fence: written.revision, requestSentAt: sentAt }
      log.info(RelayEvent.LeaseHeld, { key: dependencies.key, fence: written.revision })
      return
    }
    isKeyPresent = written.kind === WriteResult.Conflict
    // The lease is revoked now, whether the write conflicted or its outcome is unknown. If an unknown write has taken effect after all,
    // revoking its lease removes the key.
    await store.revokeLease(grant.value.leaseId)
  }

  return {
    isHeld,
    fence: () => currentLease?.fence ?? 0,
    setKeyPresent: isPresent => { isKeyPresent = isPresent },
    async step () {
      if (currentLease !== undefined) await renew(currentLease)
      else if (!isKeyPresent && dependencies.mayAcquire()) await acquire()
    },
    async release () {
      if (currentLease !== undefined) await store.revokeLease(currentLease.leaseId)
      currentLease = undefined
    }
  }
}
