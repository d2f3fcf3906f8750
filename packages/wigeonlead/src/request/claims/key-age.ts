/**
 * Checks the age of idempotency keys. A UUIDv7 contains the time of its creation, so an order whose key is older than the retention is
 * refused instead of run again.
 */
import { CLAIM_CLOCK_SKEW_SECONDS } from '@wigeonlead/protocol'

/** Whether a key may be used now. */
export enum KeyAge {
  Usable = 'usable',
  /** Older than the retention of claims. */
  Expired = 'expired',
  /** Created later than the present time plus the allowed clock skew. */
  Future = 'future'
}

/** Result of checking a key. */
export interface KeyCheck {
  age: KeyAge
  /** When the key's claim may be dropped, milliseconds since 1970. */
  expiresAt: number
}

const SKEW_MILLISECONDS = CLAIM_CLOCK_SKEW_SECONDS * 1000
const UUID_VERSION_7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/**
 * Checks whether a key may be used now. The clocks of two VMs may differ by the allowed skew, so a claim is retained for twice the
 * skew longer: no VM then accepts a key whose claim another VM has dropped. All claims of one UUIDv7 expire at the same time, no
 * matter when they are made.
 * @param now milliseconds since 1970.
 */
export function checkKey (key: string, retentionMilliseconds: number, now: number): KeyCheck {
  const createdAt = readCreationTime(key)
  const expiresAt = (createdAt ?? now) + retentionMilliseconds + 2 * SKEW_MILLISECONDS
  if (createdAt === undefined) return { age: KeyAge.Usable, expiresAt }
  if (createdAt > now + SKEW_MILLISECONDS) return { age: KeyAge.Future, expiresAt }
  return { age: createdAt + retentionMilliseconds < now ? KeyAge.Expired : KeyAge.Usable, expiresAt }
}

function readCreationTime (key: string): number | undefined {
  const match = UUID_VERSION_7.exec(key)
  return match === null ? undefined : Number.parseInt(`${match[1]}${match[2]}`, 16)
}
