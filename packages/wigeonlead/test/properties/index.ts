/**
 * All properties, for the test run and for `npm run explore`.
 */
import { claimsProperty } from './claims.js'
import { configurationProperty } from './configuration.js'
import { membershipProperty } from './membership.js'
import type { ProtocolProperty } from './property.js'
import { reconcilerProperty } from './reconciler.js'
import { resumptionProperty } from './resumption.js'

/** The properties, in the order in which they are checked. */
export const PROPERTIES: ProtocolProperty[] = [
  claimsProperty,
  configurationProperty,
  membershipProperty,
  reconcilerProperty,
  resumptionProperty
]
