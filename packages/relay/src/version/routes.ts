/**
 * Look-up table of the routes of one version of the configuration, by host and path.
 */
import type { Route } from './configuration.js'

/** Finds the route of a request. */
export interface RouteTable {
  /** @returns the host's route with the longest prefix that matches the path, compared byte by byte. */
  find: (host: string, pathAndQuery: string) => Route | undefined
}

/** Compiles routes into a table that is searched from the longest prefix to the shortest. */
export function compileRoutes (routes: readonly Route[]): RouteTable {
  const byHost = new Map<string, Map<string, Route>>()
  for (const route of routes) {
    const host = route.host.toLowerCase()
    const prefixes = byHost.get(host) ?? new Map<string, Route>()
    byHost.set(host, prefixes.set(route.pathPrefix, route))
  }
  return {
    find (host, pathAndQuery) {
      const prefixes = byHost.get(withoutPort(host).toLowerCase())
      if (prefixes === undefined) return undefined
      const queryAt = pathAndQuery.indexOf('?')
      const path = queryAt === -1 ? pathAndQuery : pathAndQuery.slice(0, queryAt)
      for (let slashAt = path.lastIndexOf('/'); slashAt >= 0; slashAt = slashAt === 0 ? -1 : path.lastIndexOf('/', slashAt - 1)) {
        const route = prefixes.get(path.slice(0, slashAt + 1))
        if (route !== undefined) return route
      }
      return undefined
    }
  }
}

function withoutPort (host: string): string {
  const colonAt = host.indexOf(':')
  return colonAt === -1 ? host : host.slice(0, colonAt)
}
