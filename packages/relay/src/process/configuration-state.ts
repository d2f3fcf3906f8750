/**
 * The configuration version that this process uses, and when it was last confirmed to be the newest one.
 */
import { compileRoutes, type RouteTable } from '../version/routes.js'
import type { RelayConfiguration } from '../version/configuration.js'
import { ageOf, type Instant } from './instant.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** A configuration version, ready for use. */
export interface VersionInForce {
  configuration: RelayConfiguration
  routes: RouteTable
  /** The text as the operators wrote it, for peers that lack this version. */
  text: string
}

/** The current configuration version of this process. It may lag behind the store. */
export interface ConfigurationState {
  /** The newest version seen since the process started; undefined before the first. */
  current: () => VersionInForce | undefined
  /** Makes a version the current one. A version that is not newer is ignored, so the current version never goes back. */
  adopt: (text: string, source: string) => void
  /**
   * Records that the current version was the newest acknowledged one at a moment.
   * @param confirmedVersion version to which the confirmation applies. If it is not the current version, the confirmation is ignored.
   */
  confirm: (confirmedAt: Instant, confirmedVersion?: number) => void
  /** @returns milliseconds since the moment of the latest confirmation; Infinity before the first, or if a clock has jumped since. */
  age: () => number
  /** Whether API keys may still be accepted: a key revoked since the latest confirmation was revoked less than `revokeMilliseconds` ago. */
  areKeysFresh: () => boolean
  /** Registers a listener that is called with each version that becomes the current one. */
  onChange: (listener: (version: VersionInForce) => void) => void
}

/** Dependencies of the configuration state. */
export interface ConfigurationStateDependencies {
  decode: (text: string) => RelayConfiguration
  log: RelayLog
  /** Time after which a revoked key must no longer be accepted, milliseconds. */
  revokeMilliseconds: number
}

/** Share of `revokeMilliseconds` that is reserved for forwarding a request to its target. */
const KEY_MARGIN_SHARE = 0.1

/** Creates a configuration state without a current version. */
export function createConfigurationState (dependencies: ConfigurationStateDependencies): ConfigurationState {
  const maxAgeForKeys = dependencies.revokeMilliseconds * (1 - KEY_MARGIN_SHARE)
  const listeners: Array<(version: VersionInForce) => void> = []
  let inForce: VersionInForce | undefined
  let confirmedAt: Instant | undefined

  function age (): number {
    return confirmedAt === undefined ? Infinity : ageOf(confirmedAt)
  }

  return {
    current: () => inForce,
    adopt (text, source) {
      let configuration: RelayConfiguration
      try {
        configuration = dependencies.decode(text)
      } catch (error) {
        dependencies.log.warn(RelayEvent.ConfigurationRefused, { source, reason: (error as Error).message.slice(0, 300) })
        return
      }
      if (inForce !== undefined && configuration.version <= inForce.configuration.version) return
      inForce = { configuration, routes: compileRoutes(configuration.routes), text }
      dependencies.log.info(RelayEvent.ConfigurationInForce, {
        version: configuration.version, source, routes: configuration.routes.length
      })
      for (const listener of listeners) listener(inForce)
    },
    confirm (instant, confirmedVersion) {
      if (inForce === undefined) return
      if (confirmedVersion !== undefined && confirmedVersion !== inForce.configuration.version) return
      if (confirmedAt === undefined || ageOf(instant) < ageOf(confirmedAt)) confirmedAt = instant
    },
    age,
    areKeysFresh: () => age() < maxAgeForKeys,
    onChange: listener => { listeners.push(listener) }
  }
}
