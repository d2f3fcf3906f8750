/**
 * How long a key counts. A UUIDv7 carries its time, so that one older than the retention is refused instead of run again.
 */
import { CLAIM_CLOCK_SKEW_SECONDS } from '@wigeonlead/protocol'

/** Whether a key may be used now. */
export enum KeyAge {
  Usable = 'usable',
  /** Older than what is kept of claims. */
  Expired = 'expired',
  /** Made later than any clock may say. */
  Future = 'future'
}

/** What the age of a key says. */
export interface KeyVerdict {
  age: KeyAge
  /** When its claim may be dropped, milliseconds since 1970. */
  expiresAt: number
}

const SKEW_MILLISECONDS = CLAIM_CLOCK_SKEW_SECONDS * 1000
const UUID_VERSION_7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/**
 * Judges a key. The clocks of two VMs may differ by the allowed skew: a claim is kept so much longer that no VM still takes a key
 * whose claim another one has dropped. All claims of one UUIDv7 expire together, however late one is made.
 * @param now milliseconds since 1970.
 */
export function judgeKey (key: string, retentionMilliseconds: number, now: number): KeyVerdict {
  const madeAt = readTime(key)
  const expiresAt = (madeAt ?? now) + retentionMilliseconds + 2 * SKEW_MILLISECONDS
  if (madeAt === undefined) return { age: KeyAge.Usable, expiresAt }
  if (madeAt > now + SKEW_MILLISECONDS) return { age: KeyAge.Future, expiresAt }
  return { age: madeAt + retentionMilliseconds < now ? KeyAge.Expired : KeyAge.Usable, expiresAt }
}

function readTime (key: string): number | undefined {
  const match = UUID_VERSION_7.exec(key)
  return match === null ? undefined : Number.parseInt(`${match[1]}${match[2]}`, 16)
}
