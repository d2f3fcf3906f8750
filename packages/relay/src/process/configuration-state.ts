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
  /** Monotonic time at which this process adopted the version, milliseconds. */
  adoptedAt: number
}

/** The current configuration version of this process. It may lag behind the store. */
export interface ConfigurationState {
  /** The newest version seen since the process started; undefined before the first. */
  current: () => VersionInForce | undefined
  /**
   * Makes a version the current one. A version that is not newer is ignored, so the current version never goes back.
   * @returns the version of the text; undefined if the text is not a valid configuration.
   */
  adopt: (text: string, source: string) => number | undefined
  /**
   * Records that a version was the newest one that the store showed at a moment. A store that was restored from an older copy shows an
   * older version than it has acknowledged, so the confirmation is ignored unless it is of the current version and no newer one is known.
   * @param confirmedVersion undefined if the store showed no valid configuration.
   */
  confirm: (confirmedAt: Instant, confirmedVersion: number | undefined) => void
  /**
   * Takes note of a version that a peer has. If it is newer than the current one, and the peer had it already when the current one was last
   * confirmed, that confirmation came from a store that had lost the newer version, and is withdrawn.
   */
  learn: (version: number, heldMilliseconds: number, peer: string) => void
  /** @returns milliseconds since the moment of the latest confirmation; Infinity before the first, or if a clock has jumped since. */
  age: () => number
  /**
   * Whether API keys may still be accepted: a key revoked since the latest confirmation was revoked less than `revokeMilliseconds` ago, and
   * the version is not superseded.
   */
  areKeysFresh: () => boolean
  /** Whether peers have had a newer version for so long that no request may be handled by the current one. */
  isSuperseded: () => boolean
  /** Registers a listener that is called with each version that becomes the current one. */
  onChange: (listener: (version: VersionInForce) => void) => void
  /** Registers a listener that is called when a confirmation is withdrawn because a peer has a newer version. */
  onBehind: (listener: () => void) => void
}

/** Dependencies of the configuration state. */
export interface ConfigurationStateDependencies {
  decode: (text: string) => RelayConfiguration
  log: RelayLog
  /** Time after which a revoked key must no longer be accepted, milliseconds. */
  revokeMilliseconds: number
  /** Time within which a new version must be in use, milliseconds; 2,000 by default. */
  applyMilliseconds?: number
}

const DEFAULT_APPLY_MILLISECONDS = 2000
/** Share of `applyMilliseconds` after which a version that peers have replaced is no longer used: the operators wrote before that. */
const SUPERSEDED_SHARE = 0.6
/** Number of newer versions that are remembered; the oldest of them decides. */
const MAXIMUM_NEWER_VERSIONS = 64
/** Share of `revokeMilliseconds` that is reserved for forwarding a request to its target. */
const KEY_MARGIN_SHARE = 0.1

/** Creates a configuration state without a current version. */
export function createConfigurationState (dependencies: ConfigurationStateDependencies): ConfigurationState {
  const maxAgeForKeys = dependencies.revokeMilliseconds * (1 - KEY_MARGIN_SHARE)
  const listeners: Array<(version: VersionInForce) => void> = []
  let inForce: VersionInForce | undefined
  let confirmedAt: Instant | undefined
  let newestKnownVersion = -Infinity
  /** Versions newer than the one in force, and since when at least a peer has had each, monotonic time in milliseconds. */
  const newerSince = new Map<number, number>()
  const supersededMilliseconds = (dependencies.applyMilliseconds ?? DEFAULT_APPLY_MILLISECONDS) * SUPERSEDED_SHARE
  const behindListeners: Array<() => void> = []

  function age (): number {
    return confirmedAt === undefined ? Infinity : ageOf(confirmedAt)
  }

  function isSuperseded (): boolean {
    const latestAllowed = performance.now() - supersededMilliseconds
    return [...newerSince.values()].some(since => since < latestAllowed)
  }

  return {
    current: () => inForce,
    adopt (text, source) {
      let configuration: RelayConfiguration
      try {
        configuration = dependencies.decode(text)
      } catch (error) {
        dependencies.log.warn(RelayEvent.ConfigurationRefused, { source, reason: (error as Error).message.slice(0, 300) })
        return undefined
      }
      newestKnownVersion = Math.max(newestKnownVersion, configuration.version)
      if (inForce !== undefined && configuration.version <= inForce.configuration.version) return configuration.version
      inForce = { configuration, routes: compileRoutes(configuration.routes), text, adoptedAt: performance.now() }
      for (const version of newerSince.keys()) if (version <= configuration.version) newerSince.delete(version)
      dependencies.log.info(RelayEvent.ConfigurationInForce, {
        version: configuration.version, source, routes: configuration.routes.length, characters: text.length
      })
      for (const listener of listeners) listener(inForce)
      return configuration.version
    },
    confirm (instant, confirmedVersion) {
      if (inForce === undefined || confirmedVersion !== inForce.configuration.version || confirmedVersion < newestKnownVersion) return
      if (confirmedAt === undefined || ageOf(instant) < ageOf(confirmedAt)) confirmedAt = instant
    },
    learn (version, heldMilliseconds, peer) {
      newestKnownVersion = Math.max(newestKnownVersion, version)
      if (inForce === undefined || version <= inForce.configuration.version) return
      if (newerSince.size < MAXIMUM_NEWER_VERSIONS || newerSince.has(version)) {
        newerSince.set(version, Math.min(newerSince.get(version) ?? Infinity, performance.now() - heldMilliseconds))
      }
      if (confirmedAt === undefined) return
      if (performance.now() - heldMilliseconds >= confirmedAt.monotonic) return
      dependencies.log.warn(RelayEvent.ConfigurationBehind, {
        version: inForce.configuration.version, newerVersion: version, heldMilliseconds, peer
      })
      confirmedAt = undefined
      for (const listener of behindListeners) listener()
    },
    age,
    areKeysFresh: () => age() < maxAgeForKeys && !isSuperseded(),
    isSuperseded,
    onChange: listener => { listeners.push(listener) },
    onBehind: listener => { behindListeners.push(listener) }
  }
}
