/**
 * Finds the route of a request in the configuration version in force, and the service that serves the request.
 */
import type { ConfigurationState, VersionInForce } from '../process/configuration-state.js'
import type { RelayConfiguration, Route, WeightedService } from '../version/configuration.js'
import { Refusal } from './refusal.js'

/** The route of a request. */
export interface RouteInForce {
  version: VersionInForce
  configuration: RelayConfiguration
  route: Route
  /** Whether callers must name a key. */
  needsKey: boolean
}

/** @returns the route of a request, or why it is refused whatever key it names. */
export function findRoute (
  configurationState: Pick<ConfigurationState, 'current' | 'areKeysFresh' | 'isSuperseded'>, host: string, path: string
): RouteInForce | { refusal: Refusal } {
  const version = configurationState.current()
  if (version === undefined) return { refusal: Refusal.NoConfiguration }
  if (configurationState.isSuperseded()) return { refusal: Refusal.ConfigurationTooOld }
  const { configuration, routes } = version
  const isFresh = configurationState.areKeysFresh()
  const route = routes.find(host, path)
  if (route === undefined) return { refusal: isFresh ? Refusal.UnknownRoute : Refusal.ConfigurationTooOld }
  const needsKey = configuration.workspacesByKeyDigest !== undefined && !route.isAnonymous
  if (needsKey && !isFresh) return { refusal: Refusal.ConfigurationTooOld }
  return { version, configuration, route, needsKey }
}

/** @returns the name of a service chosen at random by weight, given a random number from 0 to 1; undefined if the route has no services. */
export function drawService (route: Route, draw: number): string | undefined {
  const total = route.services.reduce((sum: number, { weight }: WeightedService) => sum + weight, 0)
  let remaining = draw * total
  for (const { name, weight } of route.services) {
    remaining -= weight
    if (remaining < 0) return name
  }
  return route.services.at(-1)?.name
}
