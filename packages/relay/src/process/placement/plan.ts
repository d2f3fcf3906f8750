/**
 * Decides which layers each card holds. Pure functions of the cards and the engine profile.
 */
import type { EngineProfile } from '../../version/configuration.js'
import { BYTES_PER_MEGABYTE, maxLayers } from '../routing/stage-cost.js'
import {
  MAX_GROWN_SHARE, MAX_STAGES, compareIds, coverageOf, evenTokenCapacity, gapsOf, layersOf, memoryOf, planChain, spareTokenCapacity, sumOf,
  type Card, type LayerSpan, type Placement
} from './cards.js'
import { fillGaps } from './fill.js'
import { repairShared } from './shared-repair.js'

/**
 * Minimum token capacity per chain, as a share of the capacity for which a chain is laid out. A failure domain whose chains would have less
 * runs fewer chains.
 */
const MIN_CAPACITY_SHARE = 0.3
/**
 * Token capacity per chain, as a share of the capacity for which a chain is laid out, from which layers with several holders count as a
 * further chain. Below it, they are only the extra layers of cards that have grown.
 */
const FURTHER_CHAIN_CAPACITY_SHARE = 0.75
/** If the cards that lost their layers have more than this share of a failure domain's memory, the domain is laid out like a new one. */
const MOSTLY_EMPTY_SHARE = 0.5

/**
 * Places the model on empty cards: at least one chain in each failure domain that can hold it. The cards of the other domains share one
 * chain.
 */
export function planInitial (cards: readonly Card[], profile: EngineProfile): Placement[] {
  return groupsOf(cards, profile, () => true).flatMap(group => layOut(group, profile))
}

/** Cards that hold the model together: those of one failure domain, or of all domains that can't hold it alone. */
export interface CardGroup {
  domains: string[]
  cards: Card[]
  isShared: boolean
}

/**
 * @param mayShare whether a failure domain that can't hold the model alone may share a chain with others.
 * @returns the groups in which the model is laid out and repaired.
 */
export function groupsOf (cards: readonly Card[], profile: EngineProfile, mayShare: (failureDomain: string) => boolean): CardGroup[] {
  const groups = domainsOf(cards).map((domain): CardGroup =>
    ({ domains: [domain], cards: cards.filter(card => card.failureDomain === domain), isShared: false }))
  const shared = groups.filter(group => !canHold(group.cards, profile) && mayShare(group.domains[0]!))
  if (shared.length < 2) return groups
  return groups.filter(group => !shared.includes(group)).concat({
    domains: shared.flatMap(({ domains }) => domains), cards: shared.flatMap(group => group.cards), isShared: true
  })
}

/** @returns the groups that are repaired: failure domains share a chain only where none can hold the model alone. */
export function repairGroupsOf (cards: readonly Card[], profile: EngineProfile, mayShare: (failureDomain: string) => boolean): CardGroup[] {
  const alone = groupsOf(cards, profile, () => false)
  return alone.some(group => canHold(group.cards, profile)) ? alone : groupsOf(cards, profile, mayShare)
}

/** Whether cards can hold all layers of the model. */
export function canHold (cards: readonly Card[], profile: EngineProfile): boolean {
  return sumOf(cards, card => maxLayers(card.kind, profile)) >= profile.layers
}

/** Lays the model out on the cards of a group, none of which holds layers. */
function layOut ({ cards, isShared }: CardGroup, profile: EngineProfile): Placement[] {
  const chains = isShared ? [cards] : splitIntoChains(cards, profile)
  return canHold(cards, profile) ? chains.flatMap(chain => planChain(interleave(chain), profile)) : []
}

/** Orders stages so that each small one has a large neighbour, which can take over its layers if it is lost. */
function interleave (cards: readonly Card[]): Card[] {
  const byMemory = [...cards].sort((a, b) => b.kind.memoryMegabytes - a.kind.memoryMegabytes)
  const large = byMemory.slice(0, Math.ceil(byMemory.length / 2))
  const small = byMemory.slice(large.length)
  return large.flatMap((card, index) => index < small.length ? [card, small[index]!] : [card])
}

/** How long the cards and gaps of each failure domain have been stable. */
export interface LayoutStability {
  /** No card has joined for a while, so the empty cards can be placed together. */
  isSettled: (failureDomain: string) => boolean
  /** No card with layers has joined for a while, and the gap has lasted: the missing layers will not come back by themselves. */
  mayExtend: (failureDomain: string) => boolean
  /** No card has joined or been lost for a while, so that the whole failure domain may be laid out anew. */
  mayBalance: (failureDomain: string) => boolean
  /** A layer has had fewer holders than the failure domain has chains for a while: no card will come back with it. */
  mayReinforce: (failureDomain: string) => boolean
  /** The failure domain has been unable to hold the model alone for a while: no card will come back that changes it. */
  mayShare: (failureDomain: string) => boolean
}

/** Decides which cards change their layers after cards were lost or have joined. */
export function planRepair (cards: readonly Card[], profile: EngineProfile, stability: LayoutStability): Placement[] {
  const loads = createLoadBudget(cards, profile)
  return repairGroupsOf(cards, profile, stability.mayShare).flatMap(group => {
    const { domains, cards: groupCards } = group
    if (!canHold(groupCards, profile)) return []
    if (groupCards.every(card => card.held === undefined)) return domains.every(stability.isSettled) ? layOut(group, profile) : []
    const empty = groupCards.filter(card => card.held === undefined && !card.isBusy && maxLayers(card.kind, profile) > 0)
    const count = currentChainCount(groupCards, profile)
    const allowed = { extend: domains.every(stability.mayExtend), reinforce: domains.every(stability.mayReinforce) }
    if (count > 1) return repairShared(groupCards, empty, count, profile, allowed)
    const chain = groupCards.filter(card => card.held !== undefined)
    const gaps = gapsOf(chain, profile.layers)
    const requirements = { capacityTokens: evenTokenCapacity(memoryOf(chain), profile), minimumMegabytes: memoryOf(empty) }
    return fillGaps(gaps, empty, profile, requirements) ??
      repairChain(chain, gaps, empty.filter(card => card.isSettled || gaps.length > 0), profile, {
        extend: allowed.extend, balance: domains.every(stability.mayBalance)
      }, loads)
  })
}

/** A chain is laid out anew if its least token capacity on any card is below this share of the least one in the new layout. */
const MIN_BALANCED_SHARE = 0.8
/**
 * Least token capacity of the cards that take over the layers of a lost one, as a share of what a new layout of the whole chain would give.
 * A higher share needs more cards, which all load layers and lose token memory meanwhile.
 */
const MIN_LOCAL_SHARE = 0.5
/** Least factor by which sharing layers with a neighbour must raise the token capacity. */
const MIN_SHARING_GAIN = 1.3

/**
 * Repairs a chain: changes only the cards around a gap, an overlap or the fullest card, and moves towards the layout in proportion to
 * memory only while nothing else happens. Each card first grows to its target span and gives layers up only once another card holds them.
 * So no layer loses its last holder, and loading does not wait for running requests.
 */
function repairChain (
  chain: readonly Card[], gaps: readonly LayerSpan[], added: readonly Card[], profile: EngineProfile, allowed: ChainRepairs,
  loads: LoadBudget
): Placement[] {
  const ordered = [...chain].sort(byMiddle)
  if (gaps.length > 0 && !allowed.extend) return []
  const whole = bestLayout(ordered, added, profile)
  if (whole.length === 0) return []
  const layout = chooseLayout(ordered, gaps, added, whole, profile, allowed) ?? []
  const targetSpans = new Map(layout.map(({ id, from, to }) => [id, { from, to }]))
  const holders = idleHoldersOf(ordered, profile)
  const placements: Placement[] = []
  // An empty card takes no memory from running requests while it loads.
  for (const card of [...added, ...nearestFirst(ordered, tightestIndex(ordered, profile))]) {
    const target = targetSpans.get(card.id)
    if (card.isBusy || target === undefined) continue
    const span = nextSpan(card, target, holders, profile)
    if (span === undefined || (span.from === card.held?.from && span.to === card.held.to)) continue
    if (isLoading(card, span) && !loads.take(gaps.length > 0)) continue
    placements.push({ id: card.id, ...span })
  }
  return placements
}

/** Repairs of a chain that are allowed now. */
interface ChainRepairs {
  /** Whether cards may take over layers that no card holds: these will not come back by themselves. */
  extend: boolean
  /** Whether the whole chain may be laid out anew: no card has joined or left for a while. */
  balance: boolean
}

/** @returns the target spans of the cards that are to change; undefined if the layout is to stay. */
function chooseLayout (
  ordered: readonly Card[], gaps: readonly LayerSpan[], added: readonly Card[], whole: readonly Placement[], profile: EngineProfile,
  allowed: ChainRepairs
): readonly Placement[] | undefined {
  const laidOut = ordered.concat(added).map(card => ({ ...card, held: whole.find(({ id }) => id === card.id) }))
  const wholeCapacity = minTokenCapacity(laidOut, profile)
  if (gaps.length > 0) return added.length > 0 ? whole : layoutAroundGaps(ordered, gaps, MIN_LOCAL_SHARE * wholeCapacity, profile) ?? whole
  if (allowed.balance) {
    const isUnbalanced = minTokenCapacity(ordered, profile) < MIN_BALANCED_SHARE * wholeCapacity
    return isUnbalanced || added.length > 0 || overlapWindows(ordered).length > 0 ? whole : undefined
  }
  const overlaps = overlapWindows(ordered)
  if (overlaps.length === 0 && added.length === 0) return shareWithNeighbour(ordered, MIN_LOCAL_SHARE * wholeCapacity, profile)
  return overlaps.flatMap(window => layoutOf(window, ordered, profile)).concat(relieveTightest(ordered, added, profile))
}

/** A run of consecutive cards of a chain, by their indices; `to` is one past the last. */
interface Window {
  from: number
  to: number
}

/** @returns the layout of the cards of a window in proportion to memory; empty if they can't hold the layers between their neighbours. */
function layoutOf (window: Window, ordered: readonly Card[], profile: EngineProfile): Placement[] {
  const span = { from: ordered[window.from - 1]?.held?.to ?? 0, to: ordered[window.to]?.held?.from ?? profile.layers }
  return span.to <= span.from ? [] : planChain(ordered.slice(window.from, window.to), profile, span)
}

/**
 * @returns the layout of the fewest cards around each gap that keep the given token capacity after they have taken over the missing layers;
 * undefined if that takes the whole chain.
 */
function layoutAroundGaps (
  ordered: readonly Card[], gaps: readonly LayerSpan[], capacityTokens: number, profile: EngineProfile
): Placement[] | undefined {
  let windows = gaps.map(gap => {
    const above = ordered.findIndex(card => card.held!.from >= gap.to)
    const next = above === -1 ? ordered.length : above
    return { from: Math.max(0, next - 1), to: Math.min(ordered.length, next + 1) }
  })
  for (;;) {
    windows = mergeWindows(windows)
    if (windows.some(({ from, to }) => to - from >= ordered.length)) return undefined
    const layouts = windows.map(window => layoutOf(window, ordered, profile))
    const areWide = layouts.map(layout => layout.length > 0 && layout.every(({ id, from, to }) => {
      const { kind } = ordered.find(card => card.id === id)!
      return to - from <= maxLayers(kind, profile) * MAX_GROWN_SHARE && spareTokenCapacity(kind, to - from, profile) >= capacityTokens
    }))
    if (areWide.every(isWide => isWide)) return layouts.flat()
    windows = windows.map((window, index) => areWide[index]
      ? window
      : { from: Math.max(0, window.from - 1), to: Math.min(ordered.length, window.to + 1) })
  }
}

/** @returns runs of cards of which each holds layers that the next one holds too. */
function overlapWindows (ordered: readonly Card[]): Window[] {
  return mergeWindows(ordered.flatMap((card, index) =>
    index > 0 && ordered[index - 1]!.held!.to > card.held!.from ? { from: index - 1, to: index + 1 } : []))
}

function mergeWindows (windows: readonly Window[]): Window[] {
  const merged: Window[] = []
  for (const window of [...windows].sort((a, b) => a.from - b.from)) {
    const last = merged.at(-1)
    if (last !== undefined && window.from < last.to) last.to = Math.max(last.to, window.to)
    else merged.push({ ...window })
  }
  return merged
}

/** @returns a layout in which each empty card takes a part of the layers of one of the cards with the least token capacity. */
function relieveTightest (ordered: readonly Card[], added: readonly Card[], profile: EngineProfile): Placement[] {
  const fullest = ordered.filter(card => !card.isBusy && layersOf(card) > 1)
    .sort((a, b) => spareTokenCapacity(a.kind, layersOf(a), profile) - spareTokenCapacity(b.kind, layersOf(b), profile))
  return added.slice(0, fullest.length).flatMap((card, index) => planChain([fullest[index]!, card], profile, fullest[index]!.held))
}

/**
 * @returns a layout in which the card with the least token capacity shares its layers with a card beside it: it grew into a gap that an
 * empty card has then filled only in part. Undefined if it has the given capacity, or if sharing gains little.
 */
function shareWithNeighbour (ordered: readonly Card[], capacityTokens: number, profile: EngineProfile): Placement[] | undefined {
  const index = tightestIndex(ordered, profile)
  const capacity = minTokenCapacity(ordered, profile)
  if (capacity >= capacityTokens) return undefined
  const layouts = [{ from: index - 1, to: index + 1 }, { from: index, to: index + 2 }]
    .filter(({ from, to }) => from >= 0 && to <= ordered.length && ordered.slice(from, to).every(card => !card.isBusy))
    .map(window => layoutOf(window, ordered, profile))
    .filter(layout => layout.length > 0)
    .map(layout => ({ layout, capacity: capacityOf(layout, ordered, profile) }))
    .sort((a, b) => b.capacity - a.capacity)
  return layouts[0] !== undefined && layouts[0].capacity >= MIN_SHARING_GAIN * capacity ? layouts[0].layout : undefined
}

function capacityOf (layout: readonly Placement[], cards: readonly Card[], profile: EngineProfile): number {
  return Math.min(...layout.map(({ id, from, to }) => spareTokenCapacity(cards.find(card => card.id === id)!.kind, to - from, profile)))
}

/** @returns the layout in which the added cards are inserted where the other cards move the fewest layers. */
function bestLayout (ordered: readonly Card[], added: readonly Card[], profile: EngineProfile): Placement[] {
  let cards = [...ordered]
  for (const card of added) {
    const orderings = Array.from({ length: cards.length + 1 }, (_, index) => [...cards.slice(0, index), card, ...cards.slice(index)])
    cards = orderings.map(order => ({ order, moved: movedLayers(order, planChain(order, profile)) }))
      .sort((a, b) => a.moved - b.moved)[0]!.order
  }
  return planChain(cards, profile)
}

function movedLayers (cards: readonly Card[], layout: readonly Placement[]): number {
  return sumOf(layout, ({ id, from, to }) => {
    const held = cards.find(card => card.id === id)?.held
    return held === undefined ? 0 : to - from - Math.max(0, Math.min(to, held.to) - Math.max(from, held.from))
  })
}

/** Number of cards that may begin to load layers now without slowing loads that close gaps. */
interface LoadBudget {
  /**
   * @param isUrgent whether the load closes a gap. It then may begin in any case.
   * @returns whether one more card may begin to load; if so, it is counted.
   */
  take: (isUrgent: boolean) => boolean
}

/**
 * The weight store slows all loads down once more of them run at the same time than it can serve at full speed. Cards that only balance
 * the layout wait for their turn, so that loads that close gaps take no longer than alone.
 */
function createLoadBudget (cards: readonly Card[], profile: EngineProfile): LoadBudget {
  let remaining = profile.concurrentLoads - cards.filter(card => card.isBusy).length
  return {
    take (isUrgent) {
      if (remaining < 1 && !isUrgent) return false
      remaining -= 1
      return true
    }
  }
}

function isLoading (card: Card, span: LayerSpan): boolean {
  return card.held === undefined || span.from < card.held.from || span.to > card.held.to
}

/** @returns the index of the card with the least token capacity. */
function tightestIndex (ordered: readonly Card[], profile: EngineProfile): number {
  const capacities = ordered.map(card => spareTokenCapacity(card.kind, layersOf(card), profile))
  return capacities.indexOf(Math.min(...capacities))
}

/** @returns the cards of a chain by their distance from one of them, which can give layers up only after the cards beside it have them. */
function nearestFirst (ordered: readonly Card[], index: number): Card[] {
  const distance = new Map(ordered.map((card, position) => [card.id, Math.abs(position - index)]))
  return [...ordered].sort((a, b) => distance.get(a.id)! - distance.get(b.id)!)
}

/** @returns the number of cards that hold each layer, without the cards that are loading. */
function idleHoldersOf (cards: readonly Card[], profile: EngineProfile): number[] {
  return coverageOf(cards.filter(card => !card.isBusy), profile.layers)
}

/** @returns the span that a card is to hold next on the way to its target span. Layers that it gives up are subtracted from `holders`. */
function nextSpan (card: Card, targetSpan: LayerSpan | undefined, holders: number[], profile: EngineProfile): LayerSpan | undefined {
  const { held } = card
  if (held === undefined || targetSpan === undefined) return targetSpan
  const extended = { from: Math.min(held.from, targetSpan.from), to: Math.max(held.to, targetSpan.to) }
  const maxGrownLayers = Math.max(1, Math.floor(maxLayers(card.kind, profile) * MAX_GROWN_SHARE))
  const isGrowing = extended.from < held.from || extended.to > held.to
  if (isGrowing && extended.to - extended.from <= maxGrownLayers) return extended
  const kept = { ...held }
  while (kept.from < Math.min(targetSpan.from, kept.to - 1) && holders[kept.from]! > 1) holders[kept.from++]! -= 1
  while (kept.to > Math.max(targetSpan.to, kept.from + 1) && holders[kept.to - 1]! > 1) holders[--kept.to]! -= 1
  let growth = maxGrownLayers - (kept.to - kept.from)
  const below = Math.max(0, Math.min(growth, kept.from - targetSpan.from))
  growth -= below
  const above = Math.max(0, Math.min(growth, targetSpan.to - kept.to))
  return { from: kept.from - below, to: kept.to + above }
}

function minTokenCapacity (cards: readonly Card[], profile: EngineProfile): number {
  return Math.min(...cards.map(card => card.held === undefined ? Infinity : spareTokenCapacity(card.kind, layersOf(card), profile)))
}

function byMiddle (a: Card, b: Card): number {
  return a.held!.from + a.held!.to - b.held!.from - b.held!.to || compareIds(a.id, b.id)
}

function splitIntoChains (cards: readonly Card[], profile: EngineProfile): Card[][] {
  const chains: Card[][] = Array.from({ length: newChainCount(cards, profile) }, () => [])
  const byMemory = [...cards].sort((a, b) => b.kind.memoryMegabytes - a.kind.memoryMegabytes || compareIds(a.id, b.id))
  for (const card of byMemory) {
    const lightest = [...chains].sort((a, b) => memoryOf(a) - memoryOf(b))[0]!
    lightest.push(card)
  }
  return chains
}

/** @returns the number of chains in a new layout of a failure domain. */
function newChainCount (cards: readonly Card[], profile: EngineProfile): number {
  return Math.max(1, Math.floor(memoryOf(cards) / chainMemoryMegabytes(profile)), Math.ceil(cards.length / MAX_STAGES))
}

/**
 * @returns the number of chains that a failure domain has now: the median number of holders of a layer, so that a few lost stages do not
 * change it, limited by the memory and by the number of first and last stages.
 */
function currentChainCount (cards: readonly Card[], profile: EngineProfile): number {
  const held = cards.filter(card => card.held !== undefined)
  if (memoryOf(held) < (1 - MOSTLY_EMPTY_SHARE) * memoryOf(cards)) return newChainCount(cards, profile)
  const holders = coverageOf(held, profile.layers).sort((a, b) => a - b)
  const maxChains = Math.floor(memoryOf(cards) / chainMemoryMegabytes(profile, MIN_CAPACITY_SHARE))
  const firstStages = held.filter(card => card.held!.from === 0).length
  const lastStages = held.filter(card => card.held!.to === profile.layers).length
  const fullCapacityChains = Math.floor(memoryOf(cards) / chainMemoryMegabytes(profile, FURTHER_CHAIN_CAPACITY_SHARE))
  return Math.max(1, Math.min(holders[Math.floor(holders.length / 2)]!, maxChains, Math.max(firstStages, lastStages, fullCapacityChains)))
}

/**
 * Memory of one chain, megabytes: the model, and token memory for as many usual requests as its first stage runs concurrently, so that
 * neither the memory nor the number of requests reaches its limit long before the other.
 * @param capacityShare share of that token memory.
 */
function chainMemoryMegabytes (profile: EngineProfile, capacityShare = 1): number {
  const tokens = profile.maximumConcurrentRequests * (profile.usualPromptTokens + profile.usualAnswerTokens)
  return profile.layers * profile.layerMegabytes + capacityShare * tokens * profile.kvBytesPerToken / BYTES_PER_MEGABYTE
}

/** @returns whether some layer of a failure domain has fewer holders than the domain has chains. */
export function isUnderReplicated (cards: readonly Card[], profile: EngineProfile): boolean {
  const coverage = coverageOf(cards, profile.layers)
  return Math.min(...coverage) < currentChainCount(cards, profile)
}

function domainsOf (cards: readonly Card[]): string[] {
  return [...new Set(cards.map(card => card.failureDomain))].sort()
}
