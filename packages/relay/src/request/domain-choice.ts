/**
 * Applies the shares between failure domains to one request: where its path is searched, and which targets it prefers.
 */
import type { FoundPath, PathQuery, RankedPath } from '../process/routing/path-finder.js'
import type { Target } from '../version/target.js'
import type { AdmittedRequest, RequestDependencies } from './context.js'

/** What of a request decides which failure domain serves it. */
export type DrawnRequest = Pick<AdmittedRequest, 'service' | 'domainDraw'>

/**
 * Added to the rank of a target outside the failure domain that the share draws for the request, by default its own: it is chosen only if
 * its requests per slot are lower by more than this.
 */
const UNDRAWN_DOMAIN_PENALTY = 0.3

/**
 * @param query asks for a path from the own failure domain.
 * @returns a path in the failure domain that the share draws for the request; if it has none with capacity, the path from home.
 */
export function findPathByShare (
  request: DrawnRequest, { domainShares, paths }: Pick<RequestDependencies, 'domainShares' | 'paths'>, query: PathQuery
): FoundPath | undefined {
  return searchByShare(request, domainShares, query, paths.find, path => path)
}

/** @returns the paths that compete for a request, the one that `findPathByShare` finds first. */
export function rankPathsByShare (
  request: DrawnRequest, { domainShares, paths }: Pick<RequestDependencies, 'domainShares' | 'paths'>, query: PathQuery, count: number
): RankedPath[] {
  return searchByShare(request, domainShares, query, searched => paths.rank(searched, count), ranked => ranked[0]?.path)
}

function searchByShare<Found> (
  request: DrawnRequest, domainShares: RequestDependencies['domainShares'], query: PathQuery, search: (query: PathQuery) => Found,
  pathOf: (found: Found) => FoundPath | undefined
): Found {
  const failureDomain = domainShares.choose(request.service.name, request.domainDraw)
  if (failureDomain !== query.failureDomain) {
    const drawn = search({ ...query, failureDomain, isBound: true })
    const path = pathOf(drawn)
    if (path?.hasCapacity === true && path.stages.every(stage => stage.failureDomain === failureDomain)) return drawn
  }
  return search(query)
}

/** @returns what is added to the rank of a target, in requests per slot, by its failure domain. */
export function domainPenalty (
  request: DrawnRequest, { domainShares }: Pick<RequestDependencies, 'domainShares'>
): (target: Pick<Target, 'failureDomain'>) => number {
  const preferred = domainShares.choose(request.service.name, request.domainDraw)
  return target => target.failureDomain === preferred ? 0 : UNDRAWN_DOMAIN_PENALTY
}
