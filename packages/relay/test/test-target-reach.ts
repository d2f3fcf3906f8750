/**
 * The reach of a VM that is cut off from no target.
 */
import type { TargetReach } from '@wigeonlead/relay'

export const FULL_REACH: TargetReach = {
  isCutOff: () => false, check: async () => false, mayReport: () => true, cutOffServices: () => [], onChange () {}
}
