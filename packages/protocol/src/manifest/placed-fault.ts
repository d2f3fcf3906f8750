/**
 * Types shared by the checks of a manifest.
 */

/** A fault and its location in the manifest, a path of keys and indices. */
export interface PlacedFault {
  path: Array<string | number>
  message: string
}

/** Names of malformed items. A reference to one of these names is not a fault. */
export interface MalformedItems {
  models: ReadonlySet<string>
  services: ReadonlySet<string>
  /** Whether any target is malformed. */
  hasTargets: boolean
}
