/**
 * Placement of layers on cards: the first placement, repairs after cards were lost or have joined, and the invariants that hold while one
 * layout changes into another.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { gapsOf, isUnderReplicated, planChain, planInitial, planRepair, type Card, type LayerSpan, type Placement } from '@wigeonlead/relay'
import { createSeededRandom } from 'wigeonlead'
import { LARGE, MEDIUM, SMALL, testEngine } from '../test-engine.js'

const ENGINE = testEngine()
const STABLE = { isSettled: () => true, mayExtend: () => true, mayBalance: () => true, mayReinforce: () => true, mayShare: () => true }
const UNSTABLE = {
  isSettled: () => false, mayExtend: () => false, mayBalance: () => false, mayReinforce: () => false, mayShare: () => false
}
/** Shortly after a loss: a gap may be closed at once, unless another chain holds its layers. */
const RECENT_LOSS = { ...STABLE, mayBalance: () => false, mayReinforce: () => false }

function createCard (id: string, kind = SMALL, options: Partial<Card> = {}): Card {
  return { id, failureDomain: 'east', kind, isBusy: false, isSettled: false, ...options }
}

function emptyDomainCards (failureDomain = 'east'): Card[] {
  return [LARGE, LARGE, MEDIUM, MEDIUM, SMALL, SMALL, SMALL, SMALL, SMALL]
    .map((kind, index) => createCard(`${failureDomain}-${index}`, kind, { failureDomain }))
}

function applyPlacements (cards: readonly Card[], placements: readonly Placement[]): Card[] {
  return cards.map(card => {
    const placement = placements.find(({ id }) => id === card.id)
    return placement === undefined ? card : { ...card, held: { from: placement.from, to: placement.to } }
  })
}

function maxLayersOf (card: Card): number {
  return Math.floor(card.kind.memoryMegabytes / ENGINE.layerMegabytes)
}

function assertWithinMemory (cards: readonly Card[], placements: readonly Placement[]): void {
  for (const placement of placements) {
    const card = cards.find(({ id }) => id === placement.id)!
    assert.ok(placement.to - placement.from <= maxLayersOf(card), `${card.id} is given ${placement.from}-${placement.to}`)
    assert.ok(placement.from >= 0 && placement.to <= ENGINE.layers && placement.from < placement.to)
  }
}

const firstPlacement = suite('first placement')

firstPlacement('each failure domain holds every layer once', () => {
  const cards = [...emptyDomainCards('east'), ...emptyDomainCards('west')]
  const placements = planInitial(cards, ENGINE)
  assertWithinMemory(cards, placements)
  for (const domain of ['east', 'west']) {
    const placed = applyPlacements(cards, placements).filter(card => card.failureDomain === domain)
    assert.equal(gapsOf(placed, ENGINE.layers), [])
    assert.is(placed.reduce((sum, { held: span }) => sum + (span === undefined ? 0 : span.to - span.from), 0), ENGINE.layers)
  }
})

firstPlacement('cards that cannot hold the model get no placement', () => {
  assert.equal(planChain([createCard('a'), createCard('b')], ENGINE), [])
  assert.equal(planInitial([createCard('a'), createCard('b')], ENGINE), [])
})

firstPlacement('failure domains that are each too small for the model share a chain', () => {
  const cards = [...emptyDomainCards('east').slice(0, 2), ...emptyDomainCards('west').slice(0, 3)]
  assert.equal(gapsOf(applyPlacements(cards, planInitial(cards, ENGINE)), ENGINE.layers), [])
})

firstPlacement('layers are distributed in proportion to memory', () => {
  const placements = planChain(emptyDomainCards(), ENGINE)
  const sizes = placements.map(({ from, to }) => to - from)
  assert.ok(sizes[0]! > sizes[2]! && sizes[2]! > sizes[8]!)
})

firstPlacement.run()

const repair = suite('repair')

/** Applies repairs until the layout no longer changes. All loads of one step end at the same time. */
function repairUntilStable (cards: Card[], check: (cards: readonly Card[]) => void): Card[] {
  let current = cards
  for (let step = 0; step < 30; step++) {
    const placements = planRepair(current, ENGINE, STABLE)
    if (placements.length === 0) return current
    assertWithinMemory(current, placements)
    current = applyPlacements(current, placements)
    check(current)
  }
  throw new Error('the layout does not converge')
}

function placedDomainCards (): Card[] {
  const cards = emptyDomainCards()
  return applyPlacements(cards, planInitial(cards, ENGINE))
}

const LOSSES: Array<{ name: string, lost: number[] }> = [
  { name: 'a small stage', lost: [4] },
  { name: 'a large stage', lost: [0] },
  { name: 'a medium stage', lost: [2] },
  { name: 'two small stages', lost: [5, 6] },
  { name: 'a large and a small stage', lost: [1, 8] }
]

for (const { name, lost } of LOSSES) {
  repair(`${name} is lost: the remaining cards hold every layer again, and each still has free memory`, () => {
    const cards = placedDomainCards().filter((_, index) => !lost.includes(index))
    const after = repairUntilStable(cards, () => {})
    assert.equal(gapsOf(after, ENGINE.layers), [])
    for (const card of after) assert.ok(card.held!.to - card.held!.from < maxLayersOf(card) * 0.85)
  })
}

repair('no layer loses its last holder during a repair', () => {
  const cards = placedDomainCards().filter((_, index) => index !== 3)
  let uncovered = gapsOf(cards, ENGINE.layers).reduce((sum, { from, to }) => sum + to - from, 0)
  repairUntilStable(cards, current => {
    const uncoveredNow = gapsOf(current, ENGINE.layers).reduce((sum, { from, to }) => sum + to - from, 0)
    assert.ok(uncoveredNow <= uncovered, `${uncoveredNow} layers without a holder after ${uncovered}`)
    uncovered = uncoveredNow
  })
  assert.is(uncovered, 0)
})

repair('two neighbours never give up the same layer at the same time', () => {
  const spans: LayerSpan[] = [{ from: 0, to: 30 }, { from: 20, to: 50 }, { from: 45, to: 80 }]
  const cards = spans.map((held, index) => createCard(`c${index}`, LARGE, { held }))
  assert.equal(gapsOf(applyPlacements(cards, planRepair(cards, ENGINE, STABLE)), ENGINE.layers), [])
})

repair('a release: the new empty card takes exactly the layers of the leaving card', () => {
  const cards = placedDomainCards()
  const leavingCard = cards[4]!
  const placements = planRepair([...cards.filter(card => card !== leavingCard), createCard('new')], ENGINE, UNSTABLE)
  assert.equal(placements, [{ id: 'new', ...leavingCard.held! }])
})

repair('a large card that fills a small gap takes layers of the card beside it that had grown, without a new layout of the chain', () => {
  const cards = placedDomainCards()
  const first = cards.find(({ held }) => held!.from === 0)!
  const second = cards.find(({ held }) => held!.from === first.held!.to)!
  const rest = cards.filter(card => card !== first && card !== second)
  const grown = { ...second, held: { from: 2, to: second.held!.to } }
  const returned = createCard('returned', first.kind, { held: { from: 0, to: 2 } })
  const placements = planRepair([...rest, grown, returned], ENGINE, RECENT_LOSS)
  assert.equal(placements.map(({ id }) => id), ['returned'])
  assert.ok(placements[0]!.to > 5, `grows to ${placements[0]!.to}`)
})

repair('an empty card that has settled gets layers', () => {
  const placements = planRepair([...placedDomainCards(), createCard('new', SMALL, { isSettled: true })], ENGINE, STABLE)
  assert.ok(placements.some(({ id }) => id === 'new'))
})

/**
 * Guards against giving a gap to a card that is too small for it. This happened in a day-long run (seed 907336362971) after a whole failure
 * domain had crashed and come back empty except for a few cards.
 */
const SURVIVORS: Array<{ name: string, survivors: number[] }> = [
  { name: 'one small card', survivors: [4] },
  { name: 'one large card', survivors: [0] },
  { name: 'two small cards', survivors: [5, 8] },
  { name: 'the medium cards', survivors: [2, 3] }
]
for (const { name, survivors } of SURVIVORS) {
  repair(`only ${name} kept layers: no gap is given to a card that is too small for it`, () => {
    let cards = placedDomainCards().map((card, index) => survivors.includes(index) ? card : { ...card, held: undefined, isSettled: true })
    for (let round = 0; round < 12; round++) {
      const placements = planRepair(cards, ENGINE, STABLE)
      assertWithinMemory(cards, placements)
      cards = applyPlacements(cards, placements)
    }
    assert.equal(gapsOf(cards, ENGINE.layers), [])
  })
}

const NO_ORDERS: Array<{ name: string, cards: () => Card[], stability: typeof STABLE }> = [
  { name: 'a complete chain', cards: placedDomainCards, stability: STABLE },
  { name: 'cards that come back one by one after a network cut', cards: () => placedDomainCards().slice(0, 4), stability: UNSTABLE },
  { name: 'a gap that may close by itself', cards: () => placedDomainCards().slice(1), stability: UNSTABLE },
  { name: 'a gap between cards that are all loading', cards: () => placedDomainCards().slice(1).map(card => ({ ...card, isBusy: true })), stability: STABLE },
  { name: 'empty cards that are still joining', cards: emptyDomainCards, stability: UNSTABLE }
]

for (const { name, cards, stability } of NO_ORDERS) {
  repair(`nothing is ordered for ${name}`, () => {
    assert.equal(planRepair(cards(), ENGINE, stability), [])
  })
}

/** @returns the empty cards of a failure domain of 26 cards; in the enlarged deployments, a failure domain has 16 to 29. */
function emptyLargeDomainCards (): Card[] {
  return [LARGE, ...Array.from({ length: 8 }, () => MEDIUM), ...Array.from({ length: 17 }, () => SMALL)]
    .map((kind, index) => createCard(`large-${String(index).padStart(2, '0')}`, kind))
}
const LARGE_DOMAIN_ENGINE = { ...ENGINE, kvBytesPerToken: 845_373, usualAnswerTokens: 223 }

function placedLargeDomainCards (): Card[] {
  const cards = emptyLargeDomainCards()
  return applyPlacements(cards, planInitial(cards, LARGE_DOMAIN_ENGINE))
}

repair('a failure domain has as many chains as have memory for the concurrent requests of their first stages', () => {
  assert.is(placedLargeDomainCards().filter(card => card.held!.from === 0).length, 3)
  assert.is(placedDomainCards().filter(card => card.held!.from === 0).length, 1)
})

/** @returns the cards of the chain that begins with the given first stage, in order. */
function chainFrom (cards: readonly Card[], firstStage: Card): Card[] {
  const chain = [firstStage]
  for (let next: Card | undefined = firstStage; next !== undefined;) {
    next = cards.find(card => card.held!.from === chain.at(-1)!.held!.to && !chain.includes(card))
    if (next !== undefined) chain.push(next)
  }
  return chain
}

function thirdToFifthStageIds (): string[] {
  const cards = placedLargeDomainCards()
  return chainFrom(cards, cards.find(({ held }) => held!.from === 0)!).slice(2, 5).map(({ id }) => id)
}

function holderCounts (cards: readonly Card[]): number[] {
  return Array.from({ length: LARGE_DOMAIN_ENGINE.layers }, (_, layer) =>
    cards.filter(({ held }) => held !== undefined && held.from <= layer && layer < held.to).length)
}

const LARGE_DOMAIN_LOSSES: Array<{ name: string, isLost: (card: Card, index: number) => boolean }> = [
  { name: 'one medium card', isLost: (_, index) => index === 3 },
  { name: 'a first stage', isLost: card => card.id === placedLargeDomainCards().find(({ held }) => held!.from === 0)!.id },
  { name: 'three consecutive stages of one chain', isLost: card => thirdToFifthStageIds().includes(card.id) }
]
for (const { name, isLost } of LARGE_DOMAIN_LOSSES) {
  repair(`${name} is lost where other chains hold the layers: nothing changes until it is certain that no card comes back`, () => {
    const cards = placedLargeDomainCards().filter((card, index) => !isLost(card, index))
    assert.equal(gapsOf(cards, LARGE_DOMAIN_ENGINE.layers), [])
    assert.ok(isUnderReplicated(cards, LARGE_DOMAIN_ENGINE))
    assert.equal(planRepair(cards, LARGE_DOMAIN_ENGINE, RECENT_LOSS), [])
  })

  repair(`${name} comes back empty: it takes the gap, and no other card changes`, () => {
    const cards = placedLargeDomainCards().map((card, index) => isLost(card, index) ? { ...card, held: undefined, isSettled: true } : card)
    const placements = planRepair(cards, LARGE_DOMAIN_ENGINE, RECENT_LOSS)
    assert.ok(placements.length > 0)
    for (const { id } of placements) assert.is(cards.find(card => card.id === id)!.held, undefined, `${id} had layers`)
  })

  repair(`${name} is lost for good: cards beside the gap grow, and none gives layers up`, () => {
    let cards = placedLargeDomainCards().filter((card, index) => !isLost(card, index))
    for (let round = 0; round < 4; round++) {
      const placements = planRepair(cards, LARGE_DOMAIN_ENGINE, STABLE)
      assertWithinMemory(cards, placements)
      for (const { id, from, to } of placements) {
        const { held } = cards.find(card => card.id === id)!
        assert.ok(from <= held!.from && held!.to <= to, `${id} gives layers up`)
      }
      cards = applyPlacements(cards, placements)
    }
    assert.equal(gapsOf(cards, LARGE_DOMAIN_ENGINE.layers), [])
  })
}

repair('a spare card duplicates the card with the least token capacity', () => {
  const cards = [...placedLargeDomainCards(), createCard('new', MEDIUM, { isSettled: true })]
  const placements = planRepair(cards, LARGE_DOMAIN_ENGINE, STABLE)
  assert.equal(placements.map(({ id }) => id), ['new'])
  assert.ok(cards.some(({ held }) => held?.from === placements[0]!.from && held.to === placements[0]!.to))
})

/**
 * Guards against layers without a holder and against repeated orders to a card during a release. As in a day-long run of the enlarged
 * deployment, two old cards leave per second and new empty cards join.
 */
for (const seed of [1, 2, 3, 4, 5]) {
  repair(`a release of half of a large failure domain, seed ${seed}: every layer keeps a holder, and each card gets one order`, () => {
    const random = createSeededRandom(seed).nextFloat
    let cards = placedLargeDomainCards()
    const leaving = cards.filter(() => random() < 0.5)
    let orders = 0
    while (leaving.length > 0) {
      const replaced = leaving.splice(0, 2)
      cards = cards.concat(replaced.map(({ id, kind }) => createCard(`${id}-new`, kind)))
        .filter(({ id }) => !replaced.some(card => card.id === id))
      const placements = planRepair(cards, LARGE_DOMAIN_ENGINE, RECENT_LOSS)
      assertWithinMemory(cards, placements)
      orders += placements.length
      cards = applyPlacements(cards, placements)
      assert.equal(gapsOf(cards, LARGE_DOMAIN_ENGINE.layers), [])
    }
    for (let round = 0; round < 5; round++) {
      cards = cards.map(card => ({ ...card, isSettled: true }))
      const placements = planRepair(cards, LARGE_DOMAIN_ENGINE, STABLE)
      orders += placements.length
      cards = applyPlacements(cards, placements)
    }
    assert.ok(orders <= 26, `${orders} orders`)
    assert.is(Math.min(...holderCounts(cards)), 3, holderCounts(cards).join())
  })
}

repair('a large failure domain that comes back mostly empty is laid out like a new one', () => {
  const cards = placedLargeDomainCards().map((card, index) => index < 4 ? card : { ...card, held: undefined, isSettled: true })
  let current = cards
  for (let step = 0; step < 12; step++) current = applyPlacements(current, planRepair(current, LARGE_DOMAIN_ENGINE, STABLE))
  assert.equal(gapsOf(current, LARGE_DOMAIN_ENGINE.layers), [])
  assert.ok(current.every(card => card.held !== undefined), current.filter(card => card.held === undefined).map(card => card.id).join())
  assert.ok(current.filter(card => card.held!.from === 0).length >= 3)
})

repair.run()
