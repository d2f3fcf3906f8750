/**
 * Repair of a failure domain in which several chains hold each layer: the others still hold what a lost card held, so nothing is laid anew.
 */
import type { EngineProfile } from '../../version/configuration.js'
import { mostLayers } from '../stage-cost.js'
import { GROWN_SHARE, coverageOf, evenRoom, layersOf, memoryOf, roomOf, type Card, type LayerSpan, type Placement } from './cards.js'
import { fillGaps } from './fill.js'

/** What time allows. */
export interface SharedRepairTerms {
  /** Layers that nobody holds will not come back by themselves. */
  extend: boolean
  /** Nor will those that fewer chains hold than should. */
  reinforce: boolean
}

/** A span of layers that lacks a holder. */
interface Lack extends LayerSpan {
  /** Nobody holds some of it. */
  isUncovered: boolean
}

/** Room that suffices for a span that nobody holds, as a share of the usual: any path is better than none. */
const LEAST_SHARE = 0.3
/** A card waits for a wider span if one that others hold has less than this share of the layers that it would hold by its memory. */
const FITTING_SHARE = 0.6
/** A card beside a gap may miss its edge by so many layers: cards that grew before do not end where others begin. */
const EDGE_LAYERS = 3

/**
 * Decides what to change.
 * @param empty cards without layers that take orders.
 * @param count chains that the failure domain has.
 */
export function repairShared (
  cards: readonly Card[], empty: readonly Card[], count: number, engine: EngineProfile, may: SharedRepairTerms
): Placement[] {
  const chainMegabytes = memoryOf(cards) / count
  const roomTokens = evenRoom(chainMegabytes, engine)
  const placements: Placement[] = []
  const open: Lack[] = []
  let left = empty
  for (const lack of lacksOf(cards, count, engine)) {
    const isUrgent = lack.isUncovered || may.reinforce
    const fitting = left.filter(({ kind }) =>
      isUrgent || lack.to - lack.from >= FITTING_SHARE * engine.layers * kind.memoryMegabytes / chainMegabytes)
    const filled = fillGaps([lack], fitting, engine, { roomTokens, lackingMegabytes: 0 }) ??
      (lack.isUncovered ? fillGaps([lack], fitting, engine, { roomTokens: roomTokens * LEAST_SHARE, lackingMegabytes: 0 }) : undefined) ??
      (isUrgent ? fillUpperEnd(lack, fitting, engine) : undefined)
    if (filled === undefined) {
      open.push(lack)
      continue
    }
    placements.push(...filled)
    left = left.filter(({ id }) => !filled.some(placement => placement.id === id))
  }
  const growing = new Set<string>()
  for (const lack of open) {
    if (!(lack.isUncovered ? may.extend : may.reinforce)) continue
    for (const placement of growInto(lack, cards.filter(card => !card.isBusy && !growing.has(card.id)), engine)) {
      growing.add(placement.id)
      placements.push(placement)
    }
  }
  if (open.length > 0) return placements
  return placements.concat(relieve(cards, left.filter(card => card.isSettled), engine))
}

/** @returns spans that fewer cards hold than there are chains, once for each missing holder; those that nobody holds first. */
function lacksOf (cards: readonly Card[], count: number, engine: EngineProfile): Lack[] {
  const coverage = coverageOf(cards, engine.layers)
  const lacks: Lack[] = []
  for (let holders = 0; holders < count; holders++) {
    let from: number | undefined
    for (let layer = 0; layer <= engine.layers; layer++) {
      const isLacking = layer < engine.layers && coverage[layer]! <= holders
      if (isLacking) from ??= layer
      if (isLacking || from === undefined) continue
      lacks.push({ from, to: layer, isUncovered: holders === 0 })
      from = undefined
    }
  }
  return lacks
}

/** @returns the largest card for the upper part of a span that all cards together can't hold; its other neighbour grows into the rest. */
function fillUpperEnd (lack: LayerSpan, empty: readonly Card[], engine: EngineProfile): Placement[] | undefined {
  const largest = [...empty].sort((one, other) => other.kind.memoryMegabytes - one.kind.memoryMegabytes)[0]
  if (largest === undefined) return undefined
  const layers = Math.min(lack.to - lack.from, Math.max(1, Math.floor(mostLayers(largest.kind, engine) * GROWN_SHARE)))
  return [{ id: largest.id, from: lack.to - layers, to: lack.to }]
}

/** @returns the growth of the cards on both sides of a span that leaves the narrower of them the most room; empty if none suffices. */
function growInto (lack: LayerSpan, cards: readonly Card[], engine: EngineProfile): Placement[] {
  const below = cards.filter(({ held }) => held !== undefined && isJustBelow(held.to, lack.from))
  const above = cards.filter(({ held }) => held !== undefined && isJustBelow(lack.to, held.from))
  let best: { room: number, placements: Placement[] } = { room: 0, placements: [] }
  for (let cut = lack.from; cut <= lack.to; cut++) {
    const lower = cut === lack.from ? [undefined] : below
    const upper = cut === lack.to ? [undefined] : above
    for (const one of lower) {
      for (const other of upper) {
        const grown: Card[] = []
        if (one !== undefined) grown.push({ ...one, held: { from: one.held!.from, to: cut } })
        if (other !== undefined) grown.push({ ...other, held: { from: cut, to: other.held!.to } })
        if (grown.some(card => layersOf(card) > mostLayers(card.kind, engine) * GROWN_SHARE)) continue
        const room = Math.min(...grown.map(card => roomOf(card.kind, layersOf(card), engine)))
        if (room > best.room) best = { room, placements: grown.map(({ id, held }) => ({ id, ...held! })) }
      }
    }
  }
  return best.placements
}

function isJustBelow (end: number, edge: number): boolean {
  return end <= edge && end >= edge - EDGE_LAYERS
}

/** @returns a place beside the card with the least room for each card that nothing else needs. */
function relieve (cards: readonly Card[], spare: readonly Card[], engine: EngineProfile): Placement[] {
  const narrowest = cards.filter(card => card.held !== undefined && !card.isBusy)
    .sort((one, other) => roomOf(one.kind, layersOf(one), engine) - roomOf(other.kind, layersOf(other), engine))
  const placements: Placement[] = []
  for (const card of spare) {
    const index = narrowest.findIndex(held => layersOf(held) <= mostLayers(card.kind, engine) * GROWN_SHARE)
    if (index === -1) continue
    placements.push({ id: card.id, ...narrowest.splice(index, 1)[0]!.held! })
  }
  return placements
}
