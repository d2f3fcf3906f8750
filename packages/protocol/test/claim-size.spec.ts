import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { estimateClaimSize } from '../src/index.js'

const DAY_SECONDS = 86_400

const CASES = [
  { name: 'fits: no orders', loads: [], fits: true },
  { name: 'fits: one order every ten seconds, retained for a day', loads: [{ ordersPerSecond: 0.1, retentionSeconds: DAY_SECONDS }], fits: true },
  { name: 'fits: three services with this rate and retention', loads: Array.from({ length: 3 }, () => ({ ordersPerSecond: 0.1, retentionSeconds: DAY_SECONDS })), fits: true },
  { name: 'does not fit: five hundred orders per second, retained for a day', loads: [{ ordersPerSecond: 500, retentionSeconds: DAY_SECONDS }], fits: false },
  { name: 'does not fit: two orders per second, retained for a day', loads: [{ ordersPerSecond: 2, retentionSeconds: DAY_SECONDS }], fits: false }
]

const sizes = suite('claim size')
for (const { name, loads, fits } of CASES) {
  sizes(name, () => { assert.is(estimateClaimSize(loads).fits, fits) })
}
sizes('the reported longest retention fits, and one that is a minute longer does not', () => {
  const { longestRetentionSeconds } = estimateClaimSize([{ ordersPerSecond: 20, retentionSeconds: DAY_SECONDS }])
  assert.ok(estimateClaimSize([{ ordersPerSecond: 20, retentionSeconds: longestRetentionSeconds }]).fits)
  assert.not(estimateClaimSize([{ ordersPerSecond: 20, retentionSeconds: longestRetentionSeconds + 60 }]).fits)
})
sizes.run()
