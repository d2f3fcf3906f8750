/**
 * The cheapest path over layer boundaries: stages that cover a model's layers exactly, with no gap and no overlap.
 */
import type { StageOption } from '../version/index.js'

/** Costs of a path, in any one unit. */
export interface PathCosts {
  /** Cost of a stage by itself; `Infinity` keeps it out. */
  stage: (option: StageOption) => number
  /** Cost of the way between two failure domains by position. */
  link: (from: number, to: number) => number
  /** Position of the failure domain in which the path begins and ends. */
  home: number
}

/** A path with its cost. */
export interface PricedPath {
  options: StageOption[]
  cost: number
}

interface Reached {
  cost: number
  domain: number
  option?: StageOption
  before?: Reached
}

/**
 * Finds the cheapest path.
 * @param options ordered by their first layer.
 */
export function cheapestPath (options: readonly StageOption[], layerCount: number, costs: PathCosts): PricedPath | undefined {
  const reached = new Map<number, Reached[]>([[0, [{ cost: 0, domain: costs.home }]]])
  for (const option of options) {
    const befores = reached.get(option.from)
    if (befores === undefined) continue
    const own = costs.stage(option)
    if (own === Infinity) continue
    let best: Reached | undefined
    for (const before of befores) {
      const cost = before.cost + own + costs.link(before.domain, option.domain)
      if (best === undefined || cost < best.cost) best = { cost, domain: option.domain, option, before }
    }
    if (best !== undefined) keep(reached, option.to, best)
  }
  let end: Reached | undefined
  let endCost = Infinity
  for (const last of reached.get(layerCount) ?? []) {
    const cost = last.cost + costs.link(last.domain, costs.home)
    if (cost < endCost) [end, endCost] = [last, cost]
  }
  return end === undefined ? undefined : { options: unwind(end), cost: endCost }
}

function keep (reached: Map<number, Reached[]>, boundary: number, candidate: Reached): void {
  const others = reached.get(boundary)
  if (others === undefined) {
    reached.set(boundary, [candidate])
    return
  }
  const position = others.findIndex(other => other.domain === candidate.domain)
  if (position < 0) others.push(candidate)
  else if (candidate.cost < (others[position]?.cost ?? Infinity)) others[position] = candidate
}

function unwind (end: Reached): StageOption[] {
  const options: StageOption[] = []
  for (let at: Reached | undefined = end; at?.option !== undefined; at = at.before) options.unshift(at.option)
  return options
}
