/**
 * Fills gaps (spans of layers that no card holds) with empty cards. This is the cheapest repair, since no other card changes.
 */
import type { EngineProfile } from '../../version/configuration.js'
import { maxLayers } from '../routing/stage-cost.js'
import { memoryOf, planChain, spareTokenCapacity, type Card, type LayerSpan, type Placement } from './cards.js'

/** Minimum token capacity of a card that fills a gap, as a share of what it would have if the chain were laid out anew. */
const FILL_CAPACITY_SHARE = 0.6

/** Requirements on the cards that fill a gap. */
export interface FillRequirements {
  /** Token capacity that each card of the chain would have if the chain were laid out anew. */
  capacityTokens: number
  /** Memory that the chain lacks, megabytes. Cards that share a gap supply it together; if they can't, all empty cards share the gap. */
  minimumMegabytes: number
}

/**
 * Chooses empty cards for the gaps, and removes them from `empty`.
 * @returns their placements, or undefined if there is no gap or the cards do not suffice.
 */
export function fillGaps (
  gaps: readonly LayerSpan[], empty: Card[], profile: EngineProfile, { capacityTokens, minimumMegabytes }: FillRequirements
): Placement[] | undefined {
  if (gaps.length === 0) return undefined
  const remaining = [...empty].sort((a, b) => a.kind.memoryMegabytes - b.kind.memoryMegabytes)
  const requiredTokens = FILL_CAPACITY_SHARE * capacityTokens
  const fillings: Placement[] = []
  for (const gap of gaps) {
    const layers = gap.to - gap.from
    const index = remaining.findIndex(({ kind }) =>
      layers <= maxLayers(kind, profile) && spareTokenCapacity(kind, layers, profile) >= requiredTokens)
    if (index !== -1) {
      fillings.push({ id: remaining.splice(index, 1)[0]!.id, ...gap })
      continue
    }
    const parts = splitGap(gap, remaining, profile, requiredTokens, minimumMegabytes)
    if (parts === undefined) return undefined
    fillings.push(...parts)
    for (const { id } of parts) remaining.splice(remaining.findIndex(card => card.id === id), 1)
  }
  empty.splice(0, empty.length, ...remaining)
  return fillings
}

/**
 * Splits a gap over the fewest cards that together have the minimum memory and each keep the required token capacity, the largest cards
 * first.
 * @returns undefined if there are no such cards.
 */
function splitGap (
  gap: LayerSpan, empty: readonly Card[], profile: EngineProfile, requiredTokens: number, minimumMegabytes: number
): Placement[] | undefined {
  const largestFirst = [...empty].reverse()
  for (let count = 2; count <= largestFirst.length; count++) {
    if (count < largestFirst.length && memoryOf(largestFirst.slice(0, count)) < minimumMegabytes) continue
    const parts = planChain(largestFirst.slice(0, count), profile, gap)
    const hasCapacity = parts.every(({ id, from, to }) =>
      spareTokenCapacity(empty.find(card => card.id === id)!.kind, to - from, profile) >= requiredTokens)
    if (parts.length > 0 && hasCapacity) return parts
  }
  return undefined
}
