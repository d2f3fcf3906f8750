/**
 * Guards against more requests than a target takes: one that names a limit gets, from all VMs together, no more than the users' bound, and
 * what another target can serve is not refused.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { withFleet, type FleetAnswer } from './fleet.js'

const VMS = 3
const LIMIT = 5
/** The users' bound for the requests in four seconds. The test takes less time, so it holds for the whole of it. */
const MAXIMUM_ARRIVALS = 1.5 * 4 * LIMIT + 5
const REQUESTS_PER_VM = 60
const TEST_MILLISECONDS = 4000

const CASES: Array<{ name: string, targets: number, limited: number }> = [
  { name: 'the only target', targets: 1, limited: 1 },
  { name: 'one of two targets', targets: 2, limited: 1 },
  { name: 'both targets', targets: 2, limited: 2 }
]

const limits = suite('a target that names a limit')

for (const { name, targets, limited } of CASES) {
  limits(`gets no more requests than its bound: ${name}`, async () => {
    const arrivals = new Map<string, number>()
    const answers: FleetAnswer[] = []
    const startedAt = performance.now()
    await withFleet(VMS, targets, (incoming, response) => {
      const target = String(incoming.headers['x-target'])
      arrivals.set(target, (arrivals.get(target) ?? 0) + 1)
      const requestId = String(incoming.headers['x-request'])
      const limit = Number(target.slice(1)) < limited ? { 'X-Limit': String(LIMIT) } : {}
      response.writeHead(200, { 'X-Request': requestId, 'X-Seal': 's', 'Content-Type': 'text/event-stream', ...limit })
      response.end(`id: 1\ndata: ${requestId}\n\n`)
    }, async fleet => {
      await Promise.all(Array.from({ length: VMS }, async (_, vm) => {
        for (let request = 0; request < REQUESTS_PER_VM && performance.now() - startedAt < TEST_MILLISECONDS; request++) {
          answers.push(await fleet.call(vm, {}))
        }
      }))
    })
    for (let target = 0; target < limited; target++) {
      const count = arrivals.get(`t${target}`) ?? 0
      assert.ok(count >= 1 && count <= MAXIMUM_ARRIVALS, `${count} requests reached target ${target}`)
    }
    const isFree = limited < targets
    for (const { status, headers } of answers) {
      if (status === 200) continue
      assert.not(isFree, `status ${status} although another target has no limit`)
      assert.is(status, 503)
      assert.ok(Number(headers['retry-after']) > 0)
    }
  })
}

limits.run()
