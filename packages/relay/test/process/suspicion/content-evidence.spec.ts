/**
 * Merging evidence is idempotent and independent of the order: repeated, reordered and relayed messages lead to the same verdict.
 */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { judge, judgeAnswered, lossKey, mergeEvidence, openLosses, type ContentEvidence, type TargetLoss } from '@wigeonlead/relay'

const NONE: ContentEvidence = { losses: new Map(), hasSucceeded: false, succeededAt: -Infinity, hasControl: false }
const PARTS = ['a', 'b', 'bad']
/** Losses start at multiples of this time, milliseconds, which is longer than the tolerance of times in messages. */
const TIME_UNIT = 1000

const INCARNATIONS = ['t1@1', 't2@1', 't3@1', 't4@1', 't5@1', 't6@1']
const LOSS = fc.record({
  incarnation: fc.constantFrom(...INCARNATIONS), sent: fc.nat(20), lasted: fc.nat(3), hasHead: fc.boolean(), companions: fc.subarray(PARTS)
})
  .map(({ sent, lasted, companions, ...loss }): TargetLoss => ({
    ...loss, sentAt: sent * TIME_UNIT, endedAt: (sent + lasted) * TIME_UNIT, companions: [...new Set([...companions, 'bad'])].sort()
  }))
const EVIDENCE = fc.record({
  losses: fc.uniqueArray(LOSS, { selector: lossKey }),
  hasSucceeded: fc.boolean(),
  began: fc.option(fc.nat(20)),
  hasControl: fc.boolean()
}).map(({ losses, hasSucceeded, began, hasControl }): ContentEvidence => ({
  losses: new Map(losses.map(loss => [lossKey(loss), loss])),
  hasSucceeded,
  succeededAt: began === null ? -Infinity : began * TIME_UNIT,
  hasControl
}))

/** @returns what decides a verdict, in a form that can be compared. */
function essence (evidence: ContentEvidence): object {
  return {
    losses: [...evidence.losses].map(([name, loss]) => ({ name, ...loss })).sort((a, b) => a.name.localeCompare(b.name)),
    hasSucceeded: evidence.hasSucceeded,
    succeededAt: evidence.succeededAt
  }
}

function mergeAll (all: readonly ContentEvidence[]): ContentEvidence {
  return all.reduce(mergeEvidence, NONE)
}

const evidence = suite('evidence against prompt parts')

evidence('any order and any repetition of messages gives the same evidence', () => {
  fc.assert(fc.property(fc.array(EVIDENCE, { maxLength: 6 }).chain(all =>
    fc.tuple(fc.constant(all), fc.shuffledSubarray([...all, ...all], { minLength: all.length * 2 }))), ([all, shuffled]) => {
    assert.equal(essence(mergeAll(shuffled)), essence(mergeAll(all)))
  }), { numRuns: 2000, seed: 27 })
})

evidence('no loss that an answer has refuted is counted', () => {
  fc.assert(fc.property(fc.array(EVIDENCE, { maxLength: 6 }), all => {
    const merged = mergeAll(all)
    for (const { endedAt } of openLosses(merged)) assert.ok(endedAt > merged.succeededAt)
    for (const judged of [judge(merged, 0), judgeAnswered(merged, 0)]) assert.ok(judged.companions.every(part => PARTS.includes(part)))
  }), { numRuns: 500, seed: 27 })
})

evidence.run()
