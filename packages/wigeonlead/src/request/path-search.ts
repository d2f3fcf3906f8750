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
  /** Failure domain of the first stage by position. */
  first: number
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
    if (option.from === 0) keep(reached, costs.enter(domain) + own, domain, option, undefined)
    for (const before of reached.get(option.from) ?? NONE) {
      keep(reached, before.cost + own + costs.pass(before.option.domain, domain), before.first, option, before)
    }
  }
  let end: Reached | undefined
  let endCost = Infinity
  for (const last of reached.get(layerCount) ?? NONE) {
    const cost = last.cost + costs.close(last.option.domain, last.first)
    if (cost < endCost) [end, endCost] = [last, cost]
  }
  return end === undefined ? undefined : { options: unwind(end), cost: endCost }
}

/**
 * @returns the cheapest options of each kind, in their order: of those with the same layers in the same failure domain,
 * no path needs any but the cheapest, and a second path none but the next.
 */
export function cheapestOfEachKind (options: readonly StageOption[], costs: PathCosts): StageOption[] {
  const kinds = new Map<number, { best: StageOption, second?: StageOption }>()
  for (const option of options) {
    if (costs.stage(option) === Infinity) continue
    const kind = kinds.get(option.kind)
    if (kind === undefined) kinds.set(option.kind, { best: option })
    else if (costs.stage(option) < costs.stage(kind.best)) kinds.set(option.kind, { best: option, second: kind.best })
    else if (kind.second === undefined || costs.stage(option) < costs.stage(kind.second)) kind.second = option
  }
  const kept = [...kinds.values()].flatMap(({ best, second }) => second === undefined ? [best] : [best, second])
  return kept.sort((left, right) => left.from - right.from)
}

const NONE: readonly Reached[] = []

function keep (reached: Map<number, Reached[]>, cost: number, first: number, option: StageOption, before: Reached | undefined): void {
  const others = reached.get(option.to)
  if (others === undefined) {
    reached.set(option.to, [{ cost, first, option, before }])
    return
  }
  for (const other of others) {
    if (other.first !== first || other.option.domain !== option.domain) continue
    if (cost < other.cost) Object.assign(other, { cost, option, before })
    return
  }
  others.push({ cost, first, option, before })
}

function unwind (end: Reached): StageOption[] {
  const options: StageOption[] = []
  for (let at: Reached | undefined = end; at !== undefined; at = at.before) options.unshift(at.option)
  return options
}
