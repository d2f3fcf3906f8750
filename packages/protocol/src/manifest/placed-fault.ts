/**
 * What the single checks of a manifest share.
 */

/** A fault whose place is a path of keys and indices. */
export interface PlacedFault {
  path: Array<string | number>
  message: string
}

/** Names of malformed items, which references may name all the same. */
export interface LeftOut {
  models: ReadonlySet<string>
  services: ReadonlySet<string>
  hasTargets: boolean
}
