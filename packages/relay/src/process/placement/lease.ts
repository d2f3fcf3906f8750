/**
 * The lease under which one process gives orders.
 */
import { WriteResult, describeFailure, type PollableKeyValue } from '@wigeonlead/protocol'
import { ageOf, presentInstant, type Instant } from '../instant.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'

/** The lease of the one process that gives orders. */
export interface CoordinatorLease {
  /** Tries to get or to keep the lease. */
  step: () => Promise<void>
  /** Whether the lease certainly still holds now, by both clocks. */
  isHeld: () => boolean
  /** Grows with each holder; refuses orders of earlier ones where engines check it. */
  fence: () => number
  /** Another process's key is known to be there, or to have gone. */
  noteHolder: (isThere: boolean) => void
  release: () => Promise<void>
}

/** Parts of the lease. */
export interface CoordinatorLeaseParts {
  store: PollableKeyValue
  key: string
  vm: string
  timeToLiveMilliseconds: number
  /** Whether this process may try to get the lease now: not all of a large fleet try at once. */
  mayAcquire: () => boolean
  log: RelayLog
}

/** Share of the time to live after which the holder no longer trusts a lease that it has not renewed. */
const TRUSTED_SHARE = 0.6

/** Makes a lease that is not held. */
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
    // A write without an answer may take effect later: without its lease the key goes.
    await store.revokeLease(lease.value.leaseId)
  }

  return {
    isHeld,
    fence: () => held?.fence ?? 0,
    noteHolder: isThere => { isTaken = isThere },
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
