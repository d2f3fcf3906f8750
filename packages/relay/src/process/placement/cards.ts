/**
 * Cards and the layers that they hold, with the calculations that all placement plans share. A card is the accelerator of one target.
 */
import type { AcceleratorKind, EngineProfile } from '../../version/configuration.js'
import { BYTES_PER_MEGABYTE, maxLayers, tokenCapacity } from '../routing/stage-cost.js'

/** A target's accelerator as the planner sees it. */
export interface Card {
  id: string
  failureDomain: string
  kind: AcceleratorKind
  /** Layers that it has loaded or has been ordered to load. */
  held?: LayerSpan
  /** Whether it is loading layers now. It then accepts no further order. */
  isBusy: boolean
  /**
   * Whether it was first listed a while ago. Until then an empty card only fills missing layers, because it may be needed to replace a
   * leaving card.
   */
  isSettled: boolean
}

/** Layers from `from` (inclusive) to `to` (exclusive). */
export interface LayerSpan {
  from: number
  to: number
}

/** The layers that one card is to hold next. */
export interface Placement extends LayerSpan {
  id: string
}

/** Maximum number of stages per path: the limit of the engines, less a few for replacement stages in other failure domains. */
export const MAX_STAGES = 28
/** Maximum part of its layer capacity that a card may fill by growing, so that its running requests keep their memory. */
export const MAX_GROWN_SHARE = 0.85

/**
 * Distributes a span of layers (by default all) over cards in the given order, in proportion to their memory.
 * @returns the placements; empty if the cards can't hold the span.
 */
export function planChain (
  cards: readonly Card[], profile: EngineProfile, span: LayerSpan = { from: 0, to: profile.layers }
): Placement[] {
  const layers = span.to - span.from
  const usable = cards.filter(card => maxLayers(card.kind, profile) > 0).slice(0, MAX_STAGES)
  const memory = sumOf(usable, card => card.kind.memoryMegabytes)
  if (sumOf(usable, card => maxLayers(card.kind, profile)) < layers) return []
  const shares = usable.map(card => {
    const exact = layers * card.kind.memoryMegabytes / memory
    const maximum = maxLayers(card.kind, profile)
    return { card, maximum, exact, layers: Math.min(maximum, Math.floor(exact)) }
  })
  for (let remaining = layers - sumOf(shares, share => share.layers); remaining > 0; remaining--) {
    const neediest = shares.filter(share => share.layers < share.maximum)
      .sort((a, b) => (b.exact - b.layers) - (a.exact - a.layers))[0]!
    neediest.layers += 1
  }
  let { from } = span
  return shares.filter(share => share.layers > 0).map(share => {
    const placement = { id: share.card.id, from, to: from + share.layers }
    from += share.layers
    return placement
  })
}

/**
 * @returns the token capacity of each card of a chain that has the given memory in total, if its layers are distributed in proportion to
 * memory.
 */
export function evenTokenCapacity (megabytes: number, profile: EngineProfile): number {
  const freeMegabytes = megabytes - profile.layers * profile.layerMegabytes
  return Math.max(0, freeMegabytes * BYTES_PER_MEGABYTE / profile.kvBytesPerToken)
}

/** @returns the token capacity of a card that holds the given number of layers; 0 if the layers do not fit. */
export function spareTokenCapacity (kind: AcceleratorKind, layers: number, profile: EngineProfile): number {
  return layers > maxLayers(kind, profile) ? 0 : tokenCapacity(kind, layers, profile)
}

/** @returns spans of layers that no card holds. */
export function gapsOf (cards: readonly Card[], layers: number): LayerSpan[] {
  return gapsBetween(cards.flatMap(card => card.held ?? []), layers)
}

/** @returns spans of layers that none of the given spans covers. */
export function gapsBetween (spans: readonly LayerSpan[], layers: number): LayerSpan[] {
  const gaps: LayerSpan[] = []
  let covered = 0
  for (const span of [...spans].sort((a, b) => a.from - b.from).concat({ from: layers, to: layers })) {
    if (span.from > covered) gaps.push({ from: covered, to: span.from })
    covered = Math.max(covered, span.to)
  }
  return gaps
}

/** @returns the number of cards that hold each layer. */
export function coverageOf (cards: readonly Card[], layers: number): number[] {
  return Array.from({ length: layers }, (_, layer) =>
    cards.filter(({ held }) => held !== undefined && held.from <= layer && layer < held.to).length)
}

/** @returns the number of layers that a card holds. */
export function layersOf (card: Card): number {
  return card.held === undefined ? 0 : card.held.to - card.held.from
}

/** @returns the total memory of cards, megabytes. */
export function memoryOf (cards: readonly Card[]): number {
  return sumOf(cards, card => card.kind.memoryMegabytes)
}

/** Compares two ids for sorting. */
export function compareIds (a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0
}

/** @returns the sum of a number that is read from each item. */
export function sumOf<T> (items: readonly T[], read: (item: T) => number): number {
  return items.reduce((sum, item) => sum + read(item), 0)
}
