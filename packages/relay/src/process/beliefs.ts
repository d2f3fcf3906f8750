/**
 * The configuration that this process currently uses, and how fresh it is known to be.
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

/** The state of the configuration as this process knows it. It may lag behind the store. */
export interface Beliefs {
  /** The newest version seen since the process started; undefined before the first. */
  version: () => VersionInForce | undefined
  /** Adopts a version. One that is not newer is ignored, so the version never goes back. */
  take: (text: string, source: string) => void
  /**
   * Records that a version was the newest acknowledged one at a moment.
   * @param provedVersion version that the prover uses. If it differs from the version here, the proof is ignored.
   */
  prove: (provedAt: Instant, provedVersion?: number) => void
  /** @returns milliseconds since the moment of the last proof; Infinity before the first. */
  age: () => number
  /** Whether API keys may still be accepted: a key that was revoked meanwhile has been unknown here for less than the bound. */
  areKeysFresh: () => boolean
  onChange: (listener: (version: VersionInForce) => void) => void
}

/** Dependencies of the beliefs. */
export interface BeliefsParts {
  decode: (text: string) => RelayConfiguration
  log: RelayLog
  /** Time after its revocation from which a key must not be accepted, milliseconds. */
  revokeMilliseconds: number
}

/** Share of the bound that is reserved for forwarding a request to its target. */
const KEY_MARGIN_SHARE = 0.1

/** Creates beliefs without a version. */
export function createBeliefs (parts: BeliefsParts): Beliefs {
  const maxAgeForKeys = parts.revokeMilliseconds * (1 - KEY_MARGIN_SHARE)
  const listeners: Array<(version: VersionInForce) => void> = []
  let inForce: VersionInForce | undefined
  let provedAt: Instant | undefined

  function age (): number {
    return provedAt === undefined ? Infinity : ageOf(provedAt)
  }

  return {
    version: () => inForce,
    take (text, source) {
      let configuration: RelayConfiguration
      try {
        configuration = parts.decode(text)
      } catch (error) {
        parts.log.warn(RelayEvent.ConfigurationRefused, { source, reason: (error as Error).message.slice(0, 300) })
        return
      }
      if (inForce !== undefined && configuration.version <= inForce.configuration.version) return
      inForce = { configuration, routes: compileRoutes(configuration.routes), text }
      parts.log.note(RelayEvent.ConfigurationInForce, { version: configuration.version, source, routes: configuration.routes.length })
      for (const listener of listeners) listener(inForce)
    },
    prove (instant, provedVersion) {
      if (inForce === undefined) return
      if (provedVersion !== undefined && provedVersion !== inForce.configuration.version) return
      if (provedAt === undefined || ageOf(instant) < ageOf(provedAt)) provedAt = instant
    },
    age,
    areKeysFresh: () => age() < maxAgeForKeys,
    onChange: listener => { listeners.push(listener) }
  }
}
