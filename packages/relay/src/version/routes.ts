/**
 * Look-up table of the routes of one version of the configuration, by host and path.
 */
import type { Route } from './configuration.js'

/** Finds the route of a request. */
export interface RouteTable {
  /**
   * @returns the host's route with the longest prefix with which the path begins, compared byte by byte; undefined if there is none. The
   * port and the letter case of the host and the query are ignored.
   */
  find: (host: string, pathAndQuery: string) => Route | undefined
}

/**
 * Compiles routes into a table. A look-up cuts the request's path after each of its slashes, from the last to the first, so a prefix is
 * only found if it ends with a slash.
 */
export function compileRoutes (routes: readonly Route[]): RouteTable {
  const routesByHost = new Map<string, Map<string, Route>>()
  for (const route of routes) {
    const host = route.host.toLowerCase()
    const prefixes = routesByHost.get(host) ?? new Map<string, Route>()
    routesByHost.set(host, prefixes.set(route.pathPrefix, route))
  }
  return {
    find (host, pathAndQuery) {
      const prefixes = routesByHost.get(withoutPort(host).toLowerCase())
      if (prefixes === undefined) return undefined
      const queryIndex = pathAndQuery.indexOf('?')
      const path = queryIndex === -1 ? pathAndQuery : pathAndQuery.slice(0, queryIndex)
      for (
        let slashIndex = path.lastIndexOf('/'); slashIndex >= 0; slashIndex = slashIndex === 0 ? -1 : path.lastIndexOf('/', slashIndex - 1)
      ) {
        const route = prefixes.get(path.slice(0, slashIndex + 1))
        if (route !== undefined) return route
      }
      return undefined
    }
  }
}

function withoutPort (host: string): string {
  const colonIndex = host.indexOf(':')
  return colonIndex === -1 ? host : host.slice(0, colonIndex)
}
