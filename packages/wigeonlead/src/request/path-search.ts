/**
 * The cheapest path over layer boundaries: stages that cover a model's layers exactly, with no gap and no overlap.
 */
import type { StageOption } from '../version/index.js'

/** Costs of a path, in any one unit. Failure domains are given by position. */
export interface PathCosts {
  /** Cost of a stage by itself; `Infinity` keeps it out. */
  stage: (option: StageOption) => number
  /** Cost of the way to the first stage. */
  enter: (first: number) => number
  /** Cost of the way from one stage to the next. */
  pass: (from: number, to: number) => number
  /** Cost of the way from the last stage back to the first. */
  close: (last: number, first: number) => number
}

/** A path with its cost. */
export interface PricedPath {
  options: StageOption[]
  cost: number
}

interface Reached {
  cost: number
  first: number
  domain: number
  option: StageOption
  before?: Reached
}

/**
 * Finds the cheapest path.
 * @param options ordered by their first layer.
 */
export function cheapestPath (options: readonly StageOption[], layerCount: number, costs: PathCosts): PricedPath | undefined {
  const reached = new Map<number, Reached[]>()
  for (const option of options) {
    const own = costs.stage(option)
    if (own === Infinity) continue
    const { domain } = option
    if (option.from === 0) keep(reached, option.to, { cost: costs.enter(domain) + own, first: domain, domain, option })
    for (const before of reached.get(option.from) ?? []) {
      const cost = before.cost + own + costs.pass(before.domain, domain)
      keep(reached, option.to, { cost, first: before.first, domain, option, before })
    }
  }
  let end: Reached | undefined
  let endCost = Infinity
  for (const last of reached.get(layerCount) ?? []) {
    const cost = last.cost + costs.close(last.domain, last.first)
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
  const position = others.findIndex(other => other.domain === candidate.domain && other.first === candidate.first)
  if (position < 0) others.push(candidate)
  else if (candidate.cost < (others[position]?.cost ?? Infinity)) others[position] = candidate
}

function unwind (end: Reached): StageOption[] {
  const options: StageOption[] = []
  for (let at: Reached | undefined = end; at !== undefined; at = at.before) options.unshift(at.option)
  return options
}
