/**
 * The coordinator lease: only the process that holds it sends placement orders.
 */
import { WriteResult, describeFailure, type PollableKeyValue } from '@wigeonlead/protocol'
import { ageOf, presentInstant, type Instant } from '../instant.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'

/** The coordinator lease as seen by one process. */
export interface CoordinatorLease {
  /** Renews the lease if it is held here, else tries to acquire it. */
  step: () => Promise<void>
  /** Whether the lease is certainly still held now, according to both clocks. */
  isHeld: () => boolean
  /** Fencing token. It grows with each holder, and engines that check it reject orders of earlier holders. */
  fence: () => number
  /** Records whether the lease key is present in the store, as the watch saw it. */
  setHolderPresent: (isPresent: boolean) => void
  release: () => Promise<void>
}

/** Dependencies of the lease. */
export interface CoordinatorLeaseParts {
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
export function createCoordinatorLease (parts: CoordinatorLeaseParts): CoordinatorLease {
  const { store, log } = parts
  let held: { leaseId: string, fence: number, renewedAt: Instant } | undefined
  let isTaken = false

  function isHeld (): boolean {
    return held !== undefined && ageOf(held.renewedAt) < parts.timeToLiveMilliseconds * TRUSTED_SHARE
  }

  async function renew (mine: { leaseId: string, fence: number }): Promise<void> {
    const sentAt = presentInstant()
    const renewed = await store.renewLease(mine.leaseId)
    if (renewed.ok) {
      held = { ...mine, renewedAt: sentAt }
      return
    }
    if (isHeld()) return
    log.warn(RelayEvent.LeaseLost, { key: parts.key, reason: describeFailure(renewed.failure) })
    held = undefined
  }

  async function acquire (): Promise<void> {
    const sentAt = presentInstant()
    const lease = await store.grantLease(parts.timeToLiveMilliseconds)
    if (!lease.ok) return
    const written = await store.compareAndSwap({ key: parts.key, expectedModRevision: 0, value: parts.vm, leaseId: lease.value.leaseId })
    if (written.kind === WriteResult.Committed) {
      held = { leaseId: lease.value.leaseId, fence: written.revision, renewedAt: sentAt }
      log.note(RelayEvent.LeaseHeld, { key: parts.key, fence: written.revision })
      return
    }
    isTaken = written.kind === WriteResult.Conflict
    // A write whose outcome is unknown may still take effect later. Revoking its lease then removes the key.
    await store.revokeLease(lease.value.leaseId)
  }

  return {
    isHeld,
    fence: () => held?.fence ?? 0,
    setHolderPresent: isPresent => { isTaken = isPresent },
    async step () {
      if (held !== undefined) await renew(held)
      else if (!isTaken && parts.mayAcquire()) await acquire()
    },
    async release () {
      if (held !== undefined) await store.revokeLease(held.leaseId)
      held = undefined
    }
  }
}
