/**
 * Empty cards for layers that nobody holds: the cheapest repair, since no other card changes.
 */
import type { EngineProfile } from '../../version/configuration.js'
import { mostLayers } from '../stage-cost.js'
import { memoryOf, planChain, roomOf, type Card, type LayerSpan, type Placement } from './cards.js'

/** Room of a card that fills a gap, as a share of what the chain would have if it were laid anew. */
const FILLING_ROOM_SHARE = 0.6

/** What is asked of cards that fill a gap. */
export interface FillingTerms {
  /** Room that each card of the chain would have if it were laid anew, tokens. */
  roomTokens: number
  /** Memory that the chain lacks beside others, megabytes. */
  lackingMegabytes: number
}

/** @returns empty cards for each gap, or nothing where they do not suffice: the cheapest way, since no other card changes. */
export function fillGaps (
  gaps: readonly LayerSpan[], empty: Card[], engine: EngineProfile, { roomTokens, lackingMegabytes }: FillingTerms
): Placement[] | undefined {
  if (gaps.length === 0) return undefined
  const left = [...empty].sort((one, other) => one.kind.memoryMegabytes - other.kind.memoryMegabytes)
  const wanted = FILLING_ROOM_SHARE * roomTokens
  const fillings: Placement[] = []
  for (const gap of gaps) {
    const layers = gap.to - gap.from
    const index = left.findIndex(({ kind }) => layers <= mostLayers(kind, engine) && roomOf(kind, layers, engine) >= wanted)
    if (index !== -1) {
      fillings.push({ id: left.splice(index, 1)[0]!.id, ...gap })
      continue
    }
    const parts = splitGap(gap, left, engine, wanted, lackingMegabytes)
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
