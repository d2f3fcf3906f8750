/**
 * Decides which layers each card holds. Pure: cards and costs in, ranges out.
 */
import type { AcceleratorKind, EngineProfile } from '../../version/configuration.js'
import { mostLayers, tokenCapacity } from '../stage-cost.js'

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

/**
 * Memory of a chain in copies of the model: below it, requests run out of memory before the cards run out of time.
 * Measured: two chains over 2.4 to 3.1 copies refused 7 to 9 % of the requests of a quiet day, one chain none.
 */
const COPIES_OF_CHAIN = 2.4
/** Most stages of one path that engines accept, less a few for stand-ins of other failure domains. */
const MOST_STAGES = 28
const BYTES_PER_MEGABYTE = 1e6

/** Places the model on empty cards: one chain or more in each failure domain that can hold it. */
export function planFirst (cards: readonly Card[], engine: EngineProfile): Placement[] {
  const leftOver: Card[] = []
  const placements: Placement[] = []
  for (const domain of domainsOf(cards)) {
    const here = cards.filter(card => card.failureDomain === domain)
    if (sumOf(here, card => mostLayers(card.kind, engine)) < engine.layers) leftOver.push(...here)
    else placements.push(...splitIntoChains(here, engine).flatMap(chain => planChain(interleave(chain), engine)))
  }
  return placements.concat(planChain(interleave(leftOver), engine))
}

/** Spreads all layers over cards by their memory, in their order; empty where they cannot hold the model. */
export function planChain (cards: readonly Card[], engine: EngineProfile): Placement[] {
  const usable = cards.filter(card => mostLayers(card.kind, engine) > 0).slice(0, MOST_STAGES)
  const memory = sumOf(usable, card => card.kind.memoryMegabytes)
  if (sumOf(usable, card => mostLayers(card.kind, engine)) < engine.layers) return []
  const shares = usable.map(card => {
    const exact = engine.layers * card.kind.memoryMegabytes / memory
    const most = mostLayers(card.kind, engine)
    return { card, most, exact, layers: Math.min(most, Math.floor(exact)) }
  })
  for (let left = engine.layers - sumOf(shares, share => share.layers); left > 0; left--) {
    const next = shares.filter(share => share.layers < share.most)
      .sort((one, other) => (other.exact - other.layers) - (one.exact - one.layers))[0]!
    next.layers += 1
  }
  let from = 0
  return shares.filter(share => share.layers > 0).map(({ card, layers }) => {
    const placement = { id: card.id, from, to: from + layers }
    from += layers
    return placement
  })
}

/** Orders stages so that each small one has a large neighbour, which can take its layers when it is lost. */
function interleave (cards: readonly Card[]): Card[] {
  const byMemory = [...cards].sort((one, other) => other.kind.memoryMegabytes - one.kind.memoryMegabytes)
  const large = byMemory.slice(0, Math.ceil(byMemory.length / 2))
  const small = byMemory.slice(large.length)
  return large.flatMap((card, index) => index < small.length ? [card, small[index]!] : [card])
}

/** How long a failure domain's cards have been as they are. */
export interface Steadiness {
  /** No card came for long enough: what is empty is placed together. */
  isSettled: (failureDomain: string) => boolean
  /** No card with layers came, and the gap has been there, for long enough: what is missing will not come back by itself. */
  mayExtend: (failureDomain: string) => boolean
}

/** Decides what to change where cards were lost or have come. */
export function planRepair (cards: readonly Card[], engine: EngineProfile, steadiness: Steadiness): Placement[] {
  return domainsOf(cards).flatMap(domain => {
    const here = cards.filter(card => card.failureDomain === domain)
    if (sumOf(here, card => mostLayers(card.kind, engine)) < engine.layers) return []
    if (here.every(card => card.held === undefined)) {
      return steadiness.isSettled(domain) ? splitIntoChains(here, engine).flatMap(chain => planChain(interleave(chain), engine)) : []
    }
    const empty = here.filter(card => card.held === undefined && !card.isBusy && mostLayers(card.kind, engine) > 0)
    return chainsOf(here, chainCount(here, engine)).flatMap(chain => {
      const gaps = gapsOf(chain, engine.layers)
      return fillGaps(chain, gaps, empty, engine) ?? approachTarget(chain, gaps, empty, engine, steadiness.mayExtend(domain))
    })
  })
}

/** Room of a card that fills a gap, as a share of what the chain would have if it were laid anew. */
const FILLING_ROOM_SHARE = 0.6

/** @returns one empty card for each gap, or nothing where they do not suffice: the cheapest way, since no other card changes. */
function fillGaps (chain: readonly Card[], gaps: readonly LayerSpan[], empty: Card[], engine: EngineProfile): Placement[] | undefined {
  if (gaps.length === 0) return undefined
  const left = [...empty].sort((one, other) => one.kind.memoryMegabytes - other.kind.memoryMegabytes)
  const wanted = FILLING_ROOM_SHARE * evenRoom(chain, engine)
  const fillings: Placement[] = []
  for (const gap of gaps) {
    const layers = gap.to - gap.from
    const index = left.findIndex(({ kind }) => layers <= mostLayers(kind, engine) && roomOf(kind, layers, engine) >= wanted)
    if (index === -1) return undefined
    fillings.push({ id: left.splice(index, 1)[0]!.id, ...gap })
  }
  empty.splice(0, empty.length, ...left)
  return fillings
}

/** A chain whose narrowest card has less than this share of the room that it could have is laid out better. */
const NARROW_SHARE = 0.8
/** Most of a card's layers that it holds while it takes some over, so that its running requests keep their memory. */
const TRANSITION_SHARE = 0.85

/**
 * Moves a chain towards the layout by memory, in the order in which its cards lie: each card first grows to its target, and gives layers
 * up only once another holds them. So no layer loses its last holder, and loads do not wait for running work.
 */
function approachTarget (
  chain: readonly Card[], gaps: readonly LayerSpan[], empty: Card[], engine: EngineProfile, mayExtend: boolean
): Placement[] {
  const ordered = [...chain].sort(byMiddle)
  const added = empty.filter(card => card.isSettled || gaps.length > 0)
  const targets = new Map(bestLayout(ordered, added, engine).map(({ id, from, to }) => [id, { from, to }]))
  if (targets.size === 0 || (gaps.length > 0 && !mayExtend)) return []
  const holders = holdersOf(ordered, engine)
  const isOverlapping = holders.some(count => count > 1)
  const laidOut = ordered.concat(added).map(card => ({ ...card, held: targets.get(card.id) }))
  const isNarrow = leastRoom(ordered, engine) < NARROW_SHARE * leastRoom(laidOut, engine)
  if (gaps.length === 0 && !isOverlapping && !isNarrow && added.length === 0) return []
  for (const card of added) empty.splice(empty.indexOf(card), 1)
  const placements: Placement[] = []
  for (const card of ordered.concat(added)) {
    if (card.isBusy) continue
    const span = nextSpan(card, targets.get(card.id), holders, engine)
    if (span !== undefined && (span.from !== card.held?.from || span.to !== card.held.to)) placements.push({ id: card.id, ...span })
  }
  return placements
}

/** @returns the layout with empty cards where they move the fewest layers of the others. */
function bestLayout (ordered: readonly Card[], added: readonly Card[], engine: EngineProfile): Placement[] {
  let cards = [...ordered]
  for (const card of added) {
    const tries = Array.from({ length: cards.length + 1 }, (_, index) => [...cards.slice(0, index), card, ...cards.slice(index)])
    cards = tries.map(order => ({ order, moved: movedLayers(order, planChain(order, engine)) }))
      .sort((one, other) => one.moved - other.moved)[0]!.order
  }
  return planChain(cards, engine)
}

function movedLayers (cards: readonly Card[], layout: readonly Placement[]): number {
  return sumOf(layout, ({ id, from, to }) => {
    const held = cards.find(card => card.id === id)?.held
    return held === undefined ? 0 : to - from - Math.max(0, Math.min(to, held.to) - Math.max(from, held.from))
  })
}

/** @returns for each layer how many cards hold it that are not about to change. */
function holdersOf (cards: readonly Card[], engine: EngineProfile): number[] {
  return Array.from({ length: engine.layers }, (_, layer) =>
    cards.filter(({ held, isBusy }) => !isBusy && held !== undefined && held.from <= layer && layer < held.to).length)
}

/** @returns what a card is to hold next on its way to its target; layers that it gives up are taken off the holders. */
function nextSpan (card: Card, target: LayerSpan | undefined, holders: number[], engine: EngineProfile): LayerSpan | undefined {
  const { held } = card
  if (held === undefined || target === undefined) return target
  const grown = { from: Math.min(held.from, target.from), to: Math.max(held.to, target.to) }
  const most = Math.max(1, Math.floor(mostLayers(card.kind, engine) * TRANSITION_SHARE))
  const isGrowing = grown.from < held.from || grown.to > held.to
  if (isGrowing && grown.to - grown.from <= most) return grown
  const kept = { ...held }
  while (kept.from < Math.min(target.from, kept.to - 1) && holders[kept.from]! > 1) holders[kept.from++]! -= 1
  while (kept.to > Math.max(target.to, kept.from + 1) && holders[kept.to - 1]! > 1) holders[--kept.to]! -= 1
  let spare = most - (kept.to - kept.from)
  const below = Math.max(0, Math.min(spare, kept.from - target.from))
  spare -= below
  const above = Math.max(0, Math.min(spare, target.to - kept.to))
  return { from: kept.from - below, to: kept.to + above }
}

function leastRoom (cards: readonly Card[], engine: EngineProfile): number {
  return Math.min(...cards.map(card => card.held === undefined ? Infinity : roomOf(card.kind, layersOf(card), engine)))
}

function byMiddle (one: Card, other: Card): number {
  return one.held!.from + one.held!.to - other.held!.from - other.held!.to || compare(one.id, other.id)
}

function layersOf (card: Card): number {
  return card.held === undefined ? 0 : card.held.to - card.held.from
}

function bySpan (one: Card, other: Card): number {
  return one.held!.from - other.held!.from || one.held!.to - other.held!.to || compare(one.id, other.id)
}

/** Groups the cards of a failure domain into chains: each card goes on where a chain ends, or as near to that as can be. */
export function chainsOf (cards: readonly Card[], count: number): Card[][] {
  const chains: Array<{ cards: Card[], end: number }> = Array.from({ length: count }, () => ({ cards: [], end: 0 }))
  const holders = cards.filter(card => card.held !== undefined).sort(bySpan)
  for (const card of holders) {
    const { from, to } = card.held!
    const nearest = chains.reduce((best, chain) => Math.abs(chain.end - from) < Math.abs(best.end - from) ? chain : best)
    nearest.cards.push(card)
    nearest.end = Math.max(nearest.end, to)
  }
  return chains.map(chain => chain.cards)
}

/** @returns tokens for which each card has room where the layers lie by memory. */
function evenRoom (cards: readonly Card[], engine: EngineProfile): number {
  const freeMegabytes = memoryOf(cards) - engine.layers * engine.layerMegabytes
  return Math.max(0, freeMegabytes * BYTES_PER_MEGABYTE / engine.tokenBytes)
}

function roomOf (kind: AcceleratorKind, layers: number, engine: EngineProfile): number {
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

function splitIntoChains (cards: readonly Card[], engine: EngineProfile): Card[][] {
  const chains: Card[][] = Array.from({ length: chainCount(cards, engine) }, () => [])
  const byMemory = [...cards].sort((one, other) => other.kind.memoryMegabytes - one.kind.memoryMegabytes || compare(one.id, other.id))
  for (const card of byMemory) {
    const lightest = [...chains].sort((one, other) => memoryOf(one) - memoryOf(other))[0]!
    lightest.push(card)
  }
  return chains
}

function chainCount (cards: readonly Card[], engine: EngineProfile): number {
  const copies = memoryOf(cards) / (engine.layers * engine.layerMegabytes)
  return Math.max(1, Math.floor(copies / COPIES_OF_CHAIN), Math.ceil(cards.length / MOST_STAGES))
}

function memoryOf (cards: readonly Card[]): number {
  return sumOf(cards, card => card.kind.memoryMegabytes)
}

function domainsOf (cards: readonly Card[]): string[] {
  return [...new Set(cards.map(card => card.failureDomain))].sort()
}

function compare (one: string, other: string): number {
  return one < other ? -1 : one > other ? 1 : 0
}

function sumOf<T> (items: readonly T[], read: (item: T) => number): number {
  return items.reduce((sum, item) => sum + read(item), 0)
}
