/**
 * Decides which layers each card holds. Pure: cards and costs in, ranges out.
 */
import type { EngineProfile } from '../../version/configuration.js'
import { BYTES_PER_MEGABYTE, mostLayers } from '../stage-cost.js'
import {
  GROWN_SHARE, MOST_STAGES, compare, coverageOf, evenRoom, gapsOf, layersOf, memoryOf, planChain, roomOf, sumOf,
  type Card, type LayerSpan, type Placement
} from './cards.js'
import { fillGaps } from './fill.js'
import { repairShared } from './shared-repair.js'

/** A standing chain is given up once its domain has less than this share of the room for requests that a chain is laid out for. */
const LEAST_ROOM_SHARE = 0.3
/** Cards that grew hold more than their part; only with this share of the room for each chain is that taken for further ones. */
const NEW_CHAIN_ROOM_SHARE = 0.75
/** A failure domain that has lost its layers on more than this share of its memory is laid out like a new one. */
const MOSTLY_EMPTY_SHARE = 0.5

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
    const may = { extend: steadiness.mayExtend(domain), reinforce: steadiness.mayReinforce(domain) }
    if (count > 1) return repairShared(here, empty, count, engine, may)
    const chain = here.filter(card => card.held !== undefined)
    const gaps = gapsOf(chain, engine.layers)
    const terms = { roomTokens: evenRoom(memoryOf(chain), engine), lackingMegabytes: memoryOf(empty) }
    return fillGaps(gaps, empty, engine, terms) ??
      approachTarget(chain, gaps, empty.filter(card => card.isSettled || gaps.length > 0), engine, may.extend)
  })
}

/** A chain whose narrowest card has less than this share of the room that it could have is laid out better. */
const NARROW_SHARE = 0.8

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
  const most = Math.max(1, Math.floor(mostLayers(card.kind, engine) * GROWN_SHARE))
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
  const begun = held.filter(card => card.held!.from === 0).length
  const ended = held.filter(card => card.held!.to === engine.layers).length
  const roomy = Math.floor(memoryOf(cards) / chainMegabytes(engine, NEW_CHAIN_ROOM_SHARE))
  return Math.max(1, Math.min(holders[Math.floor(holders.length / 2)]!, most, Math.max(begun, ended, roomy)))
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

/** @returns whether some layer of a failure domain is held less often than most are. */
export function isThin (cards: readonly Card[], engine: EngineProfile): boolean {
  const coverage = coverageOf(cards, engine.layers)
  return Math.min(...coverage) < chainsHeld(cards, engine)
}

function domainsOf (cards: readonly Card[]): string[] {
  return [...new Set(cards.map(card => card.failureDomain))].sort()
}
