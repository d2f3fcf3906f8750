/**
 * The fencing lease of a failure domain: a key in the key-value service under a lease of it. The key's creation revision
 * is the fencing token. What is left of the lease is counted on the monotonic clock from before each renewal was sent,
 * so that this node's view ends before the service's.
 */
import { WriteResult, type KeyValueEntry, type KeyValuePort, type RandomSource } from '@wigeonlead/protocol'

/** Prefix of the keys of the reconcilers' leases; the failure domain follows. */
export const RECONCILER_LEASE_PREFIX = '/wigeonlead/reconciler/'

/** What became of an attempt to take the lease. */
export enum LeaseAttempt {
  Acquired = 'acquired',
  /** Another node holds it. */
  Held = 'held',
  /** The key is absent, and this attempt only looked. */
  Vacant = 'vacant',
  /** The key-value service gave no clear answer. */
  Unavailable = 'unavailable'
}

/** A lease as its holder sees it. */
export interface HeldLease {
  /** Greater than the token of every earlier holder. */
  token: number
  /** Time since it was acquired, on the monotonic clock. */
  heldForMilliseconds: number
  remainingMilliseconds: number
}

/** The lease of one failure domain at one node. */
export interface FencingLease {
  /** The lease while it certainly lasts; reads the monotonic clock anew each time. */
  current: () => HeldLease | undefined
  /** Address of the node that held it when this one last looked. */
  holder: () => string | undefined
  /** Looks at the key and, where it is absent, takes it. */
  acquire: (options: { onlyLook: boolean }) => Promise<LeaseAttempt>
  /** Renews the lease and checks that the key is still this holder's. @returns whether the lease goes on. */
  renew: () => Promise<boolean>
  /** Gives the lease back, so that the next holder need not wait for its lapse. */
  release: () => Promise<void>
}

/** What a lease needs. */
export interface FencingLeaseParts {
  keyValue: KeyValuePort
  random: RandomSource
  failureDomain: string
  /** Names this node in the key's value. */
  address: string
  timeToLiveMilliseconds: number
}

interface Tenure {
  leaseId: string
  value: string
  token: number
  acquiredAt: number
  validUntil: number
}

const CLOCK_DRIFT_SHARE = 0.1

/** Makes the lease of a failure domain, not held. */
export function createFencingLease (parts: FencingLeaseParts): FencingLease {
  const { keyValue } = parts
  const key = RECONCILER_LEASE_PREFIX + parts.failureDomain
  let tenure: Tenure | undefined
  let holder: string | undefined

  async function take (): Promise<LeaseAttempt> {
    const sentAt = performance.now()
    const grant = await keyValue.grantLease(parts.timeToLiveMilliseconds)
    if (!grant.ok) return LeaseAttempt.Unavailable
    const { leaseId } = grant.value
    const validUntil = endOf(sentAt, Math.min(grant.value.timeToLiveMilliseconds, parts.timeToLiveMilliseconds))
    const value = JSON.stringify({ holder: parts.address, nonce: parts.random.nextNonce() })
    const write = await keyValue.compareAndSwap({ key, expectedModRevision: 0, value, leaseId })
    const token = write.kind === WriteResult.Committed ? write.revision : await settle(write.kind, value)
    if (token === undefined) {
      await keyValue.revokeLease(leaseId)
      return write.kind === WriteResult.Conflict ? LeaseAttempt.Held : LeaseAttempt.Unavailable
    }
    tenure = { leaseId, value, token, acquiredAt: performance.now(), validUntil }
    holder = parts.address
    return current() === undefined ? LeaseAttempt.Unavailable : LeaseAttempt.Acquired
  }

  async function settle (kind: WriteResult, value: string): Promise<number | undefined> {
    if (kind !== WriteResult.Ambiguous) return undefined
    const read = await keyValue.get(key)
    return read.ok && read.value.entry?.value === value ? read.value.entry.createRevision : undefined
  }

  function current (): HeldLease | undefined {
    if (tenure === undefined) return undefined
    const now = performance.now()
    if (now >= tenure.validUntil) {
      tenure = undefined
      return undefined
    }
    return { token: tenure.token, heldForMilliseconds: now - tenure.acquiredAt, remainingMilliseconds: tenure.validUntil - now }
  }

  return {
    current,
    holder: () => holder,
    async acquire ({ onlyLook }) {
      const read = await keyValue.get(key)
      if (!read.ok) return LeaseAttempt.Unavailable
      holder = read.value.entry === undefined ? undefined : holderOf(read.value.entry)
      if (read.value.entry !== undefined) return LeaseAttempt.Held
      return onlyLook ? LeaseAttempt.Vacant : await take()
    },
    async renew () {
      const renewed = tenure
      if (renewed === undefined) return false
      const sentAt = performance.now()
      const [grant, read] = [await keyValue.renewLease(renewed.leaseId), await keyValue.get(key)]
      if (current() === undefined || tenure !== renewed) return false
      if (read.ok && (read.value.entry?.value !== renewed.value || read.value.entry.createRevision !== renewed.token)) {
        tenure = undefined
        return false
      }
      if (grant.ok && read.ok) {
        const timeToLive = Math.min(grant.value.timeToLiveMilliseconds, parts.timeToLiveMilliseconds)
        renewed.validUntil = Math.max(renewed.validUntil, endOf(sentAt, timeToLive))
      }
      return true
    },
    async release () {
      const released = tenure
      tenure = undefined
      if (released !== undefined) await keyValue.revokeLease(released.leaseId)
    }
  }
}

function endOf (sentAt: number, timeToLiveMilliseconds: number): number {
  return sentAt + timeToLiveMilliseconds * (1 - CLOCK_DRIFT_SHARE)
}

function holderOf (entry: KeyValueEntry): string | undefined {
  try {
    return (JSON.parse(entry.value) as { holder?: string }).holder
  } catch {
    return undefined
  }
}
