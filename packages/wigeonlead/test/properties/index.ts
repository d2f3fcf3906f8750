/**
 * Every property, for the default run and for `npm run explore`.
 */
import { claimsProperty } from './claims.js'
import { configurationProperty } from './configuration.js'
import { membershipProperty } from './membership.js'
import type { PromiseProperty } from './property.js'
import { reconcilerProperty } from './reconciler.js'
import { RESUMPTION } from './resumption.js'

/** The properties in the order in which they run. */
export const PROPERTIES: PromiseProperty[] = [
  claimsProperty,
  configurationProperty,
  membershipProperty,
  reconcilerProperty,
  RESUMPTION
]
