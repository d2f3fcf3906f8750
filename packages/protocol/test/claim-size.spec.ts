import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { claimSize } from '../src/index.js'

const DAY_SECONDS = 86_400

const CASES = [
  { name: 'nothing is expected', loads: [], fits: true },
  { name: 'a repair order every ten seconds for a day', loads: [{ ordersPerSecond: 0.1, retentionSeconds: DAY_SECONDS }], fits: true },
  { name: 'three services of them', loads: Array.from({ length: 3 }, () => ({ ordersPerSecond: 0.1, retentionSeconds: DAY_SECONDS })), fits: true },
  { name: 'five hundred a second for a day', loads: [{ ordersPerSecond: 500, retentionSeconds: DAY_SECONDS }], fits: false },
  { name: 'two a second for a day', loads: [{ ordersPerSecond: 2, retentionSeconds: DAY_SECONDS }], fits: false }
]

const sizes = suite('size of the claims')
for (const { name, loads, fits } of CASES) {
  sizes(name, () => { assert.is(claimSize(loads).fits, fits) })
}
sizes('the longest retention that is told fits, and a minute more does not', () => {
  const { longestRetentionSeconds } = claimSize([{ ordersPerSecond: 20, retentionSeconds: DAY_SECONDS }])
  assert.ok(claimSize([{ ordersPerSecond: 20, retentionSeconds: longestRetentionSeconds }]).fits)
  assert.not(claimSize([{ ordersPerSecond: 20, retentionSeconds: longestRetentionSeconds + 60 }]).fits)
})
sizes.run()
