/**
 * Finds the cheapest path by dynamic programming over layer boundaries. The stages of a path cover a model's layers exactly, with no
 * gap and no overlap.
 */
import type { StageOption } from '../version/index.js'

/** Costs that make up the cost of a path, all in the same unit. Failure domains are given by their position in the manifest. */
export interface PathCosts {
  /** Cost of a stage without its links; `Infinity` excludes the stage. */
  stageCost: (option: StageOption) => number
  /** Cost of the link to the first stage. */
  entryCost: (first: number) => number
  /** Cost of the link from one stage to the next. */
  hopCost: (from: number, to: number) => number
  /** Cost of the link from the last stage back to the first. */
  returnCost: (last: number, first: number) => number
}

/** A whole path and its cost. */
export interface PricedPath {
  options: StageOption[]
  cost: number
}

/** The cheapest stages found so far that cover the layers up to the end of `option`. */
interface PartialPath {
  cost: number
  /** Position of the first stage's failure domain. */
  firstDomain: number
  /** The last stage. */
  option: StageOption
  previous?: PartialPath
}

/**
 * Finds the cheapest path.
 * @param options sorted by their first layer.
 * @returns the path, or undefined if no path covers all layers.
 */
export function cheapestPath (options: readonly StageOption[], layerCount: number, costs: PathCosts): PricedPath | undefined {
  const partialPaths = new Map<number, PartialPath[]>()
  for (const option of options) {
    const stageCost = costs.stageCost(option)
    if (stageCost === Infinity) continue
    const { domain } = option
    if (option.from === 0) recordPartialPath(partialPaths, costs.entryCost(domain) + stageCost, domain, option, undefined)
    for (const previous of partialPaths.get(option.from) ?? NO_PARTIAL_PATHS) {
      recordPartialPath(
        partialPaths, previous.cost + stageCost + costs.hopCost(previous.option.domain, domain), previous.firstDomain, option, previous
      )
    }
  }
  let end: PartialPath | undefined
  let endCost = Infinity
  for (const last of partialPaths.get(layerCount) ?? NO_PARTIAL_PATHS) {
    const cost = last.cost + costs.returnCost(last.option.domain, last.firstDomain)
    if (cost < endCost) [end, endCost] = [last, cost]
  }
  return end === undefined ? undefined : { options: listOptions(end), cost: endCost }
}

/**
 * @returns the two cheapest options of each kind, sorted by their first layer. Options of a kind have the same layers and failure domain,
 * so the best path uses only the cheapest of them, and the second path at most the next cheapest.
 */
export function cheapestOfEachKind (options: readonly StageOption[], costs: PathCosts): StageOption[] {
  const kinds = new Map<number, { best: StageOption, second?: StageOption }>()
  for (const option of options) {
    if (costs.stageCost(option) === Infinity) continue
    const kind = kinds.get(option.kind)
    if (kind === undefined) kinds.set(option.kind, { best: option })
    else if (costs.stageCost(option) < costs.stageCost(kind.best)) kinds.set(option.kind, { best: option, second: kind.best })
    else if (kind.second === undefined || costs.stageCost(option) < costs.stageCost(kind.second)) kind.second = option
  }
  const candidates = [...kinds.values()].flatMap(({ best, second }) => second === undefined ? [best] : [best, second])
  return candidates.sort((left, right) => left.from - right.from)
}

const NO_PARTIAL_PATHS: readonly PartialPath[] = []

/** Records a partial path, unless a cheaper one ends at the same layer with the same first and last failure domain. */
function recordPartialPath (
  partialPaths: Map<number, PartialPath[]>, cost: number, firstDomain: number, option: StageOption, previous: PartialPath | undefined
): void {
  const endingAtSameLayer = partialPaths.get(option.to)
  if (endingAtSameLayer === undefined) {
    partialPaths.set(option.to, [{ cost, firstDomain, option, previous }])
    return
  }
  for (const existing of endingAtSameLayer) {
    if (existing.firstDomain !== firstDomain || existing.option.domain !== option.domain) continue
    if (cost < existing.cost) Object.assign(existing, { cost, option, previous })
    return
  }
  endingAtSameLayer.push({ cost, firstDomain, option, previous })
}

function listOptions (end: PartialPath): StageOption[] {
  const options: StageOption[] = []
  for (let path: PartialPath | undefined = end; path !== undefined; path = path.previous) options.unshift(path.option)
  return options
}
