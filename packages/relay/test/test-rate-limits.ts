/**
 * Rate limits for tests of other parts.
 */
import { SILENT_RELAY_LOG, createRateLimits, type RateLimits } from '@wigeonlead/relay'

/** @returns the limits of the only VM of a fleet. */
export function testRateLimits (ownVm: string): RateLimits {
  return createRateLimits({ ownVm, sendersTo: () => [{ vm: ownVm, isLocal: true }], log: SILENT_RELAY_LOG })
}
