/**
 * Cards and the layers that they hold: what every plan of a layout works with.
 */
import type { AcceleratorKind, EngineProfile } from '../../version/configuration.js'
import { BYTES_PER_MEGABYTE, mostLayers, tokenCapacity } from '../stage-cost.js'

/** A card as the planner sees it. */
export interface Card {
  id: string
  failureDomain: string
  kind: AcceleratorKind
  /** Layers that it holds or was ordered to hold. */
  held?: LayerSpan
  /** Loads now: takes no further order. */
  isBusy: boolean
  /** Empty for long enough that no neighbour's leaving will need it at once. */
  isSettled: boolean
}

/** Layers from `from` up to, not including, `to`. */
export interface LayerSpan {
  from: number
  to: number
}

/** One card that is to hold other layers. */
export interface Placement extends LayerSpan {
  id: string
}

/** Most stages of one path that engines accept, less a few for stand-ins of other failure domains. */
export const MOST_STAGES = 28
/** Most of a card's layers that it holds once it took some over, so that its running requests keep their memory. */
export const GROWN_SHARE = 0.85

/** Spreads layers, all by default, over cards by their memory, in their order; empty where they cannot hold them. */
export function planChain (
  cards: readonly Card[], engine: EngineProfile, span: LayerSpan = { from: 0, to: engine.layers }
): Placement[] {
  const layers = span.to - span.from
  const usable = cards.filter(card => mostLayers(card.kind, engine) > 0).slice(0, MOST_STAGES)
  const memory = sumOf(usable, card => card.kind.memoryMegabytes)
  if (sumOf(usable, card => mostLayers(card.kind, engine)) < layers) return []
  const shares = usable.map(card => {
    const exact = layers * card.kind.memoryMegabytes / memory
    const most = mostLayers(card.kind, engine)
    return { card, most, exact, layers: Math.min(most, Math.floor(exact)) }
  })
  for (let left = layers - sumOf(shares, share => share.layers); left > 0; left--) {
    const next = shares.filter(share => share.layers < share.most)
      .sort((one, other) => (other.exact - other.layers) - (one.exact - one.layers))[0]!
    next.layers += 1
  }
  let { from } = span
  return shares.filter(share => share.layers > 0).map(share => {
    const placement = { id: share.card.id, from, to: from + share.layers }
    from += share.layers
    return placement
  })
}

/** @returns tokens for which each card of a chain with so much memory has room where the layers lie by memory. */
export function evenRoom (megabytes: number, engine: EngineProfile): number {
  const freeMegabytes = megabytes - engine.layers * engine.layerMegabytes
  return Math.max(0, freeMegabytes * BYTES_PER_MEGABYTE / engine.tokenBytes)
}

/** @returns tokens for which a card of a kind has room beside so many layers. */
export function roomOf (kind: AcceleratorKind, layers: number, engine: EngineProfile): number {
  return layers > mostLayers(kind, engine) ? 0 : tokenCapacity(kind, layers, engine)
}

/** @returns spans of layers that no card holds. */
export function gapsOf (cards: readonly Card[], layers: number): LayerSpan[] {
  return gapsBetween(cards.flatMap(card => card.held ?? []), layers)
}

/** @returns spans of layers that none of the given spans covers. */
export function gapsBetween (spans: readonly LayerSpan[], layers: number): LayerSpan[] {
  const gaps: LayerSpan[] = []
  let covered = 0
  for (const span of [...spans].sort((one, other) => one.from - other.from).concat({ from: layers, to: layers })) {
    if (span.from > covered) gaps.push({ from: covered, to: span.from })
    covered = Math.max(covered, span.to)
  }
  return gaps
}

/** @returns for each layer how many cards hold it. */
export function coverageOf (cards: readonly Card[], layers: number): number[] {
  return Array.from({ length: layers }, (_, layer) =>
    cards.filter(({ held }) => held !== undefined && held.from <= layer && layer < held.to).length)
}

/** @returns how many layers a card holds. */
export function layersOf (card: Card): number {
  return card.held === undefined ? 0 : card.held.to - card.held.from
}

/** @returns the memory of cards, megabytes. */
export function memoryOf (cards: readonly Card[]): number {
  return sumOf(cards, card => card.kind.memoryMegabytes)
}

/** @returns the order of two names. */
export function compare (one: string, other: string): number {
  return one < other ? -1 : one > other ? 1 : 0
}

/** @returns the sum of a number of each item. */
export function sumOf<T> (items: readonly T[], read: (item: T) => number): number {
  return items.reduce((sum, item) => sum + read(item), 0)
}
