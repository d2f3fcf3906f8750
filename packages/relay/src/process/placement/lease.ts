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
  /** Whether this process certainly still holds the lease, according to the monotonic clock and the wall clock. */
  isHeld: () => boolean
  /** Fencing token. It grows with each holder, and engines that check it reject orders of earlier holders. */
  fence: () => number
  /** Records whether the lease key exists in this process's copy of the store. */
  setHolderPresent: (isPresent: boolean) => void
  release: () => Promise<void>
}

/** Dependencies of the lease. */
export interface CoordinatorLeaseDependencies {
  store: PollableKeyValue
  key: string
  vm: string
  timeToLiveMilliseconds: number
  /** Whether this process may try to acquire the lease now. In a large fleet not all processes try at once. */
  mayAcquire: () => boolean
  log: RelayLog
}

/** Share of the time to live after which the holder no longer relies on a lease that it could not renew. */
const TRUSTED_SHARE = 0.6

/** Creates a lease that is not held. */
export function createCoordinatorLease (dependencies: CoordinatorLeaseDependencies): CoordinatorLease {
  const { store, log } = dependencies
  let heldLease: { leaseId: string, fence: number, renewedAt: Instant } | undefined
  let isHolderPresent = false

  function isHeld (): boolean {
    return heldLease !== undefined && ageOf(heldLease.renewedAt) < dependencies.timeToLiveMilliseconds * TRUSTED_SHARE
  }

  async function renew (current: { leaseId: string, fence: number }): Promise<void> {
    const sentAt = presentInstant()
    const renewed = await store.renewLease(current.leaseId)
    if (renewed.ok) {
      heldLease = { ...current, renewedAt: sentAt }
      return
    }
    if (isHeld()) return
    log.warn(RelayEvent.LeaseLost, { key: dependencies.key, reason: describeFailure(renewed.failure) })
    heldLease = undefined
  }

  async function acquire (): Promise<void> {
    const sentAt = presentInstant()
    const lease = await store.grantLease(dependencies.timeToLiveMilliseconds)
    if (!lease.ok) return
    const written = await store.compareAndSwap({
      key: dependencies.key, expectedModRevision: 0, value: dependencies.vm, leaseId: lease.value.leaseId
    })
    if (written.kind === WriteResult.Committed) {
      heldLease = { leaseId: lease.value.leaseId, fence: written.revision, renewedAt: sentAt }
      log.info(RelayEvent.LeaseHeld, { key: dependencies.key, fence: written.revision })
      return
    }
    isHolderPresent = written.kind === WriteResult.Conflict
    // A write whose outcome is unknown may still take effect later. Revoking its lease then removes the key.
    await store.revokeLease(lease.value.leaseId)
  }

  return {
    isHeld,
    fence: () => heldLease?.fence ?? 0,
    setHolderPresent: isPresent => { isHolderPresent = isPresent },
    async step () {
      if (heldLease !== undefined) await renew(heldLease)
      else if (!isHolderPresent && dependencies.mayAcquire()) await acquire()
    },
    async release () {
      if (heldLease !== undefined) await store.revokeLease(heldLease.leaseId)
      heldLease = undefined
    }
  }
}
