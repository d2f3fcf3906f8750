/**
 * Repairs a failure domain in which several chains hold each layer. The other chains still hold the layers of a lost card, so the domain
 * is not laid out anew.
 */
import type { EngineProfile } from '../../version/configuration.js'
import { maxLayers } from '../routing/stage-cost.js'
import {
  MAX_GROWN_SHARE, coverageOf, evenTokenCapacity, layersOf, memoryOf, spareTokenCapacity, type Card, type LayerSpan, type Placement
} from './cards.js'
import { fillGaps } from './fill.js'

/** Which repairs are allowed, given how long the layers have been missing. */
export interface AllowedRepairs {
  /** Whether cards may take over layers that no card holds: these will not come back by themselves. */
  extend: boolean
  /** Whether cards may take over layers that have fewer holders than there are chains: the missing holders will not come back either. */
  reinforce: boolean
}

/** A span of layers that lacks a holder. */
interface MissingSpan extends LayerSpan {
  /** Whether some layer of it has no holder at all. */
  isUncovered: boolean
}

/** Token capacity that cards must have to fill a span without any holder, as a share of the usual one: any path is better than none. */
const MIN_CAPACITY_SHARE = 0.3
/**
 * An empty card does not fill a span that still has holders if the span is smaller than this share of the layers that the card would hold
 * in proportion to its memory. It waits for a wider span.
 */
const MIN_SPAN_SHARE = 0.6
/**
 * How far the edge of a card may be from a gap, in layers, for the card to count as adjacent: cards that grew earlier do not end where
 * others begin.
 */
const EDGE_TOLERANCE_LAYERS = 3

/**
 * Decides which cards change their layers.
 * @param empty cards without layers that accept orders.
 * @param count number of chains in the failure domain.
 */
export function repairShared (
  cards: readonly Card[], empty: readonly Card[], count: number, profile: EngineProfile, allowed: AllowedRepairs
): Placement[] {
  const chainMegabytes = memoryOf(cards) / count
  const capacityTokens = evenTokenCapacity(chainMegabytes, profile)
  const placements: Placement[] = []
  const unfilled: MissingSpan[] = []
  let available = empty
  for (const missing of missingSpansOf(cards, count, profile)) {
    const isUrgent = missing.isUncovered || allowed.reinforce
    const fitting = available.filter(({ kind }) =>
      isUrgent || missing.to - missing.from >= MIN_SPAN_SHARE * profile.layers * kind.memoryMegabytes / chainMegabytes)
    const fillings = fillGaps([missing], fitting, profile, { capacityTokens, minimumMegabytes: 0 }) ??
      (missing.isUncovered
        ? fillGaps([missing], fitting, profile, { capacityTokens: capacityTokens * MIN_CAPACITY_SHARE, minimumMegabytes: 0 })
        : undefined) ??
      (isUrgent ? fillUpperEnd(missing, fitting, profile) : undefined)
    if (fillings === undefined) {
      unfilled.push(missing)
      continue
    }
    placements.push(...fillings)
    available = available.filter(({ id }) => !fillings.some(placement => placement.id === id))
  }
  const growing = new Set<string>()
  for (const missing of unfilled) {
    if (!(missing.isUncovered ? allowed.extend : allowed.reinforce)) continue
    for (const placement of growNeighbours(missing, cards.filter(card => !card.isBusy && !growing.has(card.id)), profile)) {
      growing.add(placement.id)
      placements.push(placement)
    }
  }
  if (unfilled.length > 0) return placements
  return placements.concat(duplicateFullest(cards, available.filter(card => card.isSettled), profile))
}

/** @returns spans that fewer cards hold than there are chains, one for each missing holder. Spans without any holder come first. */
function missingSpansOf (cards: readonly Card[], count: number, profile: EngineProfile): MissingSpan[] {
  const coverage = coverageOf(cards, profile.layers)
  const missingSpans: MissingSpan[] = []
  for (let holders = 0; holders < count; holders++) {
    let from: number | undefined
    for (let layer = 0; layer <= profile.layers; layer++) {
      const isLacking = layer < profile.layers && coverage[layer]! <= holders
      if (isLacking) from ??= layer
      if (isLacking || from === undefined) continue
      missingSpans.push({ from, to: layer, isUncovered: holders === 0 })
      from = undefined
    }
  }
  return missingSpans
}

/**
 * @returns a placement of the largest card on the upper part of a span that is too large for the empty cards. The card below the span
 * grows into the rest.
 */
function fillUpperEnd (missing: LayerSpan, empty: readonly Card[], profile: EngineProfile): Placement[] | undefined {
  const largest = [...empty].sort((a, b) => b.kind.memoryMegabytes - a.kind.memoryMegabytes)[0]
  if (largest === undefined) return undefined
  const layers = Math.min(missing.to - missing.from, Math.max(1, Math.floor(maxLayers(largest.kind, profile) * MAX_GROWN_SHARE)))
  return [{ id: largest.id, from: missing.to - layers, to: missing.to }]
}

/**
 * Divides a span between the cards on both sides of it.
 * @returns the placements that leave the fuller of the two cards the most token capacity; empty if the cards can't take the span.
 */
function growNeighbours (missing: LayerSpan, cards: readonly Card[], profile: EngineProfile): Placement[] {
  const below = cards.filter(({ held }) => held !== undefined && isJustBelow(held.to, missing.from))
  const above = cards.filter(({ held }) => held !== undefined && isJustBelow(missing.to, held.from))
  let best: { capacity: number, placements: Placement[] } = { capacity: 0, placements: [] }
  for (let cut = missing.from; cut <= missing.to; cut++) {
    const lowerCards = cut === missing.from ? [undefined] : below
    const upperCards = cut === missing.to ? [undefined] : above
    for (const lowerCard of lowerCards) {
      for (const upperCard of upperCards) {
        const grown: Card[] = []
        if (lowerCard !== undefined) grown.push({ ...lowerCard, held: { from: lowerCard.held!.from, to: cut } })
        if (upperCard !== undefined) grown.push({ ...upperCard, held: { from: cut, to: upperCard.held!.to } })
        if (grown.some(card => layersOf(card) > maxLayers(card.kind, profile) * MAX_GROWN_SHARE)) continue
        const capacity = Math.min(...grown.map(card => spareTokenCapacity(card.kind, layersOf(card), profile)))
        if (capacity > best.capacity) best = { capacity, placements: grown.map(({ id, held }) => ({ id, ...held! })) }
      }
    }
  }
  return best.placements
}

function isJustBelow (end: number, edge: number): boolean {
  return end <= edge && end >= edge - EDGE_TOLERANCE_LAYERS
}

/** @returns for each spare card a placement that duplicates the card with the least token capacity. */
function duplicateFullest (cards: readonly Card[], spare: readonly Card[], profile: EngineProfile): Placement[] {
  const fullest = cards.filter(card => card.held !== undefined && !card.isBusy)
    .sort((a, b) => spareTokenCapacity(a.kind, layersOf(a), profile) - spareTokenCapacity(b.kind, layersOf(b), profile))
  const placements: Placement[] = []
  for (const card of spare) {
    const index = fullest.findIndex(candidate => layersOf(candidate) <= maxLayers(card.kind, profile) * MAX_GROWN_SHARE)
    if (index === -1) continue
    placements.push({ id: card.id, ...fullest.splice(index, 1)[0]!.held! })
  }
  return placements
}
