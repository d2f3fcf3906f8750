/**
 * The fencing lease of a failure domain: a key in the key-value service, attached to a lease of that service. The key's create
 * revision is the fencing token. The remaining time is counted on the monotonic clock from before each renewal was sent, so that
 * the lease expires at this node before it expires at the service.
 */
import { WriteResult, type KeyValueEntry, type KeyValuePort, type RandomSource } from '@wigeonlead/protocol'

/** Prefix of the reconcilers' lease keys, followed by the failure domain's name. */
export const RECONCILER_LEASE_PREFIX = '/wigeonlead/reconciler/'

/** Result of an attempt to acquire the lease. */
export enum LeaseAttempt {
  Acquired = 'acquired',
  /** Another node holds the lease. */
  Held = 'held',
  /** The key is absent, and this attempt was read-only. */
  Vacant = 'vacant',
  /** The key-value service gave no definite answer. */
  Unavailable = 'unavailable'
}

/** A lease that this node holds. */
export interface HeldLease {
  /** Fencing token, greater than those of all earlier holders. */
  token: number
  /** Time since the lease was acquired, on the monotonic clock. */
  heldForMilliseconds: number
  remainingMilliseconds: number
}

/** A node's access to the lease of its failure domain. */
export interface FencingLease {
  /** Returns the lease while this node certainly holds it; reads the monotonic clock at each call. */
  current: () => HeldLease | undefined
  /** Returns the address of the node that held the lease when this node last read the key. */
  holder: () => string | undefined
  /** Reads the key and, when it is absent and `readOnly` is false, tries to acquire the lease. */
  acquire: (options: { readOnly: boolean }) => Promise<LeaseAttempt>
  /** Renews the lease and checks that the key still belongs to this holder. @returns whether this node still holds the lease. */
  renew: () => Promise<boolean>
  /** Revokes the lease, so that the next holder need not wait until it expires. */
  release: () => Promise<void>
}

/** Dependencies and settings of a lease. */
export interface FencingLeaseOptions {
  keyValue: KeyValuePort
  random: RandomSource
  failureDomain: string
  /** Address of this node, written into the key's value. */
  address: string
  timeToLiveMilliseconds: number
}

/** The lease as this node acquired it. */
interface AcquiredLease {
  leaseId: string
  value: string
  token: number
  /** Monotonic clock, milliseconds. */
  acquiredAt: number
  /** When this node stops counting as the holder unless the lease is renewed, on the monotonic clock, milliseconds. */
  validUntil: number
}

/** Share of the time to live that is deducted, since this node's clock may run slower than the service's. */
const CLOCK_DRIFT_SHARE = 0.1

/** Creates the access to a failure domain's lease; the lease is not held yet. */
export function createFencingLease (options: FencingLeaseOptions): FencingLease {
  const { keyValue } = options
  const key = RECONCILER_LEASE_PREFIX + options.failureDomain
  let acquired: AcquiredLease | undefined
  let holder: string | undefined

  async function tryAcquire (): Promise<LeaseAttempt> {
    const sentAt = performance.now()
    const grant = await keyValue.grantLease(options.timeToLiveMilliseconds)
    if (!grant.ok) return LeaseAttempt.Unavailable
    const { leaseId } = grant.value
    const validUntil = toExpiry(sentAt, Math.min(grant.value.timeToLiveMilliseconds, options.timeToLiveMilliseconds))
    const value = JSON.stringify({ holder: options.address, nonce: options.random.nextNonce() })
    const write = await keyValue.compareAndSwap({ key, expectedModRevision: 0, value, leaseId })
    const token = write.kind === WriteResult.Committed ? write.revision : await resolveAmbiguousWrite(write.kind, value)
    if (token === undefined) {
      await keyValue.revokeLease(leaseId)
      return write.kind === WriteResult.Conflict ? LeaseAttempt.Held : LeaseAttempt.Unavailable
    }
    acquired = { leaseId, value, token, acquiredAt: performance.now(), validUntil }
    holder = options.address
    return current() === undefined ? LeaseAttempt.Unavailable : LeaseAttempt.Acquired
  }

  async function resolveAmbiguousWrite (kind: WriteResult, value: string): Promise<number | undefined> {
    if (kind !== WriteResult.Ambiguous) return undefined
    const read = await keyValue.get(key)
    return read.ok && read.value.entry?.value === value ? read.value.entry.createRevision : undefined
  }

  function current (): HeldLease | undefined {
    if (acquired === undefined) return undefined
    const now = performance.now()
    if (now >= acquired.validUntil) {
      acquired = undefined
      return undefined
    }
    return { token: acquired.token, heldForMilliseconds: now - acquired.acquiredAt, remainingMilliseconds: acquired.validUntil - now }
  }

  return {
    current,
    holder: () => holder,
    async acquire ({ readOnly }) {
      const read = await keyValue.get(key)
      if (!read.ok) return LeaseAttempt.Unavailable
      holder = read.value.entry === undefined ? undefined : holderOf(read.value.entry)
      if (read.value.entry !== undefined) return LeaseAttempt.Held
      return readOnly ? LeaseAttempt.Vacant : await tryAcquire()
    },
    async renew () {
      const renewed = acquired
      if (renewed === undefined) return false
      const sentAt = performance.now()
      const [renewal, read] = [await keyValue.renewLease(renewed.leaseId), await keyValue.get(key)]
      if (current() === undefined || acquired !== renewed) return false
      if (read.ok && (read.value.entry?.value !== renewed.value || read.value.entry.createRevision !== renewed.token)) {
        acquired = undefined
        return false
      }
      if (renewal.ok && read.ok) {
        const timeToLive = Math.min(renewal.value.timeToLiveMilliseconds, options.timeToLiveMilliseconds)
        renewed.validUntil = Math.max(renewed.validUntil, toExpiry(sentAt, timeToLive))
      }
      return true
    },
    async release () {
      const released = acquired
      acquired = undefined
      if (released !== undefined) await keyValue.revokeLease(released.leaseId)
    }
  }
}

function toExpiry (sentAt: number, timeToLiveMilliseconds: number): number {
  return sentAt + timeToLiveMilliseconds * (1 - CLOCK_DRIFT_SHARE)
}

function holderOf (entry: KeyValueEntry): string | undefined {
  try {
    return (JSON.parse(entry.value) as { holder?: string }).holder
  } catch {
    return undefined
  }
}
