/**
 * Every property, for the default run and for `npm run explore`.
 */
import { configurationProperty } from './configuration.js'
import { membershipProperty } from './membership.js'
import type { PromiseProperty } from './property.js'

/** The properties in the order in which they run. */
export const PROPERTIES: PromiseProperty[] = [
  configurationProperty,
  membershipProperty
]
