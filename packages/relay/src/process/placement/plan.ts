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

/** A standing chain is given up once its domain has less than this share of the room for requests that a chain is laid out for. */
const LEAST_ROOM_SHARE = 0.3
/** A failure domain that has lost its layers on more than this share of its memory is laid out like a new one. */
const MOSTLY_EMPTY_SHARE = 0.5
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
  /** Some chain has lacked a layer that others of the domain hold for so long that no card will come for it. */
  mayReinforce: (failureDomain: string) => boolean
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
    const count = chainsHeld(here, engine)
    const share = memoryOf(here) / count
    const chains = chainsOf(here, count).map(chain => {
      const gaps = gapsOf(chain, engine.layers)
      return { chain, gaps, filled: fillGaps(chain, gaps, empty, engine, share) }
    })
    // What a chain with a gap may need is not spent on others.
    return chains.sort((one, other) => other.gaps.length - one.gaps.length).flatMap(({ chain, gaps, filled }) => {
      if (filled !== undefined) return filled
      const isCovered = gapsOf(here, engine.layers).length === 0
      const mayExtend = isCovered ? steadiness.mayReinforce(domain) : steadiness.mayExtend(domain)
      const added = takeShare(chain, empty, share, gaps.length > 0)
      return approachTarget(chain, gaps, added, engine, mayExtend)
    })
  })
}

/** Room of a card that fills a gap, as a share of what the chain would have if it were laid anew. */
const FILLING_ROOM_SHARE = 0.6

/** @returns empty cards for each gap, or nothing where they do not suffice: the cheapest way, since no other card changes. */
function fillGaps (
  chain: readonly Card[], gaps: readonly LayerSpan[], empty: Card[], engine: EngineProfile, shareMegabytes: number
): Placement[] | undefined {
  if (gaps.length === 0) return undefined
  const left = [...empty].sort((one, other) => one.kind.memoryMegabytes - other.kind.memoryMegabytes)
  const wanted = FILLING_ROOM_SHARE * evenRoom(chain, engine)
  const fillings: Placement[] = []
  for (const gap of gaps) {
    const layers = gap.to - gap.from
    const index = left.findIndex(({ kind }) => layers <= mostLayers(kind, engine) && roomOf(kind, layers, engine) >= wanted)
    if (index !== -1) {
      fillings.push({ id: left.splice(index, 1)[0]!.id, ...gap })
      continue
    }
    const parts = splitGap(gap, left, engine, wanted, shareMegabytes - memoryOf(chain))
    if (parts === undefined) return undefined
    fillings.push(...parts)
    for (const { id } of parts) left.splice(left.findIndex(card => card.id === id), 1)
  }
  empty.splice(0, empty.length, ...left)
  return fillings
}

/** @returns cards, largest first, that hold a gap together with the wanted room for tokens each, and bring the memory that is lacking. */
function splitGap (
  gap: LayerSpan, empty: readonly Card[], engine: EngineProfile, wanted: number, lackingMegabytes: number
): Placement[] | undefined {
  const largestFirst = [...empty].reverse()
  for (let count = 2; count <= largestFirst.length; count++) {
    if (count < largestFirst.length && memoryOf(largestFirst.slice(0, count)) < lackingMegabytes) continue
    const parts = planChain(largestFirst.slice(0, count), engine, gap)
    const isRoomy = parts.every(({ id, from, to }) => roomOf(empty.find(card => card.id === id)!.kind, to - from, engine) >= wanted)
    if (parts.length > 0 && isRoomy) return parts
  }
  return undefined
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
  chain: readonly Card[], gaps: readonly LayerSpan[], added: readonly Card[], engine: EngineProfile, mayExtend: boolean
): Placement[] {
  const ordered = [...chain].sort(byMiddle)
  const targets = new Map(bestLayout(ordered, added, engine).map(({ id, from, to }) => [id, { from, to }]))
  if (targets.size === 0 || (gaps.length > 0 && !mayExtend)) return []
  const holders = holdersOf(ordered, engine)
  const isOverlapping = holders.some(count => count > 1)
  const laidOut = ordered.concat(added).map(card => ({ ...card, held: targets.get(card.id) }))
  const isNarrow = leastRoom(ordered, engine) < NARROW_SHARE * leastRoom(laidOut, engine)
  if (gaps.length === 0 && !isOverlapping && !isNarrow && added.length === 0) return []
  const placements: Placement[] = []
  for (const card of ordered.concat(added)) {
    if (card.isBusy) continue
    const span = nextSpan(card, targets.get(card.id), holders, engine)
    if (span !== undefined && (span.from !== card.held?.from || span.to !== card.held.to)) placements.push({ id: card.id, ...span })
  }
  return placements
}

/** Takes the empty cards for a chain that bring its memory to that of the others of its domain, out of those that are left. */
function takeShare (chain: readonly Card[], empty: Card[], megabytes: number, hasGap: boolean): Card[] {
  const taken: Card[] = []
  for (const card of [...empty]) {
    if (memoryOf(chain) + memoryOf(taken) >= megabytes) break
    if (!hasGap && !card.isSettled) continue
    taken.push(...empty.splice(empty.indexOf(card), 1))
  }
  return taken
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
  return coverageOf(cards.filter(card => !card.isBusy), engine.layers)
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

/** Groups the cards of a failure domain into chains: each card goes on where a chain ends, else in the chain that is furthest behind. */
export function chainsOf (cards: readonly Card[], count: number): Card[][] {
  const chains: Array<{ cards: Card[], end: number }> = Array.from({ length: count }, () => ({ cards: [], end: 0 }))
  const holders = cards.filter(card => card.held !== undefined).sort(bySpan)
  for (const card of holders) {
    const { from, to } = card.held!
    const next = chains.find(chain => chain.end === from) ?? chains.reduce((least, chain) => chain.end < least.end ? chain : least)
    next.cards.push(card)
    next.end = Math.max(next.end, to)
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

/** @returns chains that a new layout of a failure domain has. */
function chainCount (cards: readonly Card[], engine: EngineProfile): number {
  return Math.max(1, Math.floor(memoryOf(cards) / chainMegabytes(engine)), Math.ceil(cards.length / MOST_STAGES))
}

/** @returns chains that a failure domain has: how often most of its layers are held, so that lost stages do not change it. */
function chainsHeld (cards: readonly Card[], engine: EngineProfile): number {
  const held = cards.filter(card => card.held !== undefined)
  if (memoryOf(held) < (1 - MOSTLY_EMPTY_SHARE) * memoryOf(cards)) return chainCount(cards, engine)
  const holders = coverageOf(held, engine.layers).sort((one, other) => one - other)
  const most = Math.floor(memoryOf(cards) / chainMegabytes(engine, LEAST_ROOM_SHARE))
  return Math.max(1, Math.min(holders[Math.floor(holders.length / 2)]!, most))
}

/**
 * Memory of a chain: the model, and room for as many usual requests as its first stage takes at once, so that neither runs out long
 * before the other.
 * @param roomShare share of that room.
 */
function chainMegabytes (engine: EngineProfile, roomShare = 1): number {
  const tokens = engine.requestsAtOnce * (engine.usualPromptTokens + engine.usualAnswerTokens)
  return engine.layers * engine.layerMegabytes + roomShare * tokens * engine.tokenBytes / BYTES_PER_MEGABYTE
}

/** @returns for each layer how many cards hold it. */
function coverageOf (cards: readonly Card[], layers: number): number[] {
  return Array.from({ length: layers }, (_, layer) =>
    cards.filter(({ held }) => held !== undefined && held.from <= layer && layer < held.to).length)
}

/** @returns whether some layer of a failure domain is held less often than most are. */
export function isThin (cards: readonly Card[], engine: EngineProfile): boolean {
  const coverage = coverageOf(cards, engine.layers)
  return Math.min(...coverage) < chainsHeld(cards, engine)
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
