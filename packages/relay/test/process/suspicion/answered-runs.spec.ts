/**
 * Which parts of a prompt go on elsewhere when a target ends within an answer. Guards against a quarantine of a popular part while targets
 * end one after the other within long answers, and against a proof for a part that ends each of its targets.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createAnsweredRuns } from '@wigeonlead/relay'

const LOST = { incarnation: 't0@1', firstEventAt: 100 }

/** Runs with the part that are under way: how many, at which target each, and when their answers began. */
const CASES: Array<{ name: string, count: number, targetOf: (run: number) => string, firstEventAt: number, isOutlived: boolean }> = [
  { name: 'hundreds of longer ones elsewhere', count: 200, targetOf: run => `t${1 + run % 5}@1`, firstEventAt: 50, isOutlived: true },
  { name: 'four longer ones elsewhere', count: 4, targetOf: run => `t${run + 1}@1`, firstEventAt: 100, isOutlived: true },
  { name: 'three longer ones elsewhere', count: 3, targetOf: run => `t${run + 1}@1`, firstEventAt: 50, isOutlived: false },
  { name: 'hundreds at the target that ended', count: 200, targetOf: () => LOST.incarnation, firstEventAt: 50, isOutlived: false },
  { name: 'hundreds of shorter ones elsewhere', count: 200, targetOf: run => `t${1 + run % 5}@1`, firstEventAt: 101, isOutlived: false }
]

const runs = suite('runs that have begun to answer')

for (const { name, count, targetOf, firstEventAt, isOutlived } of CASES) {
  runs(`${name}: the part ${isOutlived ? 'goes on' : 'may have ended the target'}`, () => {
    const answeredRuns = createAnsweredRuns()
    for (let run = 0; run < count; run++) answeredRuns.add('model', ['part', `own-${run}`], { incarnation: targetOf(run), firstEventAt })
    assert.equal(answeredRuns.outlivedParts('model', ['part', 'own'], LOST), isOutlived ? ['part'] : [])
    assert.equal(answeredRuns.outlivedParts('other', ['part'], LOST), [])
  })
}

runs('runs that have ended do not count', () => {
  const answeredRuns = createAnsweredRuns()
  const removals = [1, 2, 3, 4].map(target => answeredRuns.add('model', ['part'], { incarnation: `t${target}@1`, firstEventAt: 50 }))
  removals[0]!()
  assert.equal(answeredRuns.outlivedParts('model', ['part'], LOST), [])
})

runs.run()
