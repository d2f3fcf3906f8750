import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { answerJson, listen, loopbackVm, startVmListServer } from '@wigeonlead/stand-ins'
import type { RequestListener } from 'node:http'
import { FailureKind, VmState, createVmListClient } from '../../src/index.js'

const SHORT_MILLISECONDS = 60
const LIVE = loopbackVm('entry-1', 'howrah', 7000)
const LEAVING = { ...loopbackVm('entry-2', 'howrah'), state: VmState.Leaving }

interface Case {
  name: string
  listener: RequestListener
  deadlineMilliseconds?: number
  failure: FailureKind
}

const CASES: Case[] = [
  { name: 'a list that never arrives times out', listener: () => {}, deadlineMilliseconds: SHORT_MILLISECONDS, failure: FailureKind.TimedOut },
  { name: 'a connection that breaks is reported as broken', listener: (_request, response) => { response.destroy() }, failure: FailureKind.Broken },
  { name: 'an answer that is not JSON is malformed', listener: (_request, response) => { response.end('vms') }, failure: FailureKind.Malformed },
  { name: 'an answer without a list is malformed', listener: (_request, response) => answerJson(response, 200, {}), failure: FailureKind.Malformed },
  {
    name: 'a list with an unknown VM state is malformed',
    listener: (_request, response) => answerJson(response, 200, { vms: [{ ...LIVE, state: 'asleep' }] }),
    failure: FailureKind.Malformed
  },
  { name: 'an unavailable service is reported as broken', listener: (_request, response) => answerJson(response, 503, {}), failure: FailureKind.Broken },
  { name: 'a status that is none is reported as broken', listener: (_request, response) => answerJson(response, 600, { vms: [] }), failure: FailureKind.Broken },
  { name: 'a rejected request is refused', listener: (_request, response) => answerJson(response, 404, {}), failure: FailureKind.Refused }
]

const contract = suite('VM list')
for (const { name, listener, deadlineMilliseconds, failure } of CASES) {
  contract(name, async () => {
    const server = await listen(listener)
    const outcome = await createVmListClient(`http://${server.address}`, deadlineMilliseconds).list()
    await server.close()
    assert.is(!outcome.ok && outcome.failure.kind, failure)
  })
}
contract('an absent service is unreachable', async () => {
  const outcome = await createVmListClient('http://127.0.0.1:9').list()
  assert.is(!outcome.ok && outcome.failure.kind, FailureKind.Unreachable)
})
contract('live and leaving VMs are distinguished, and each call reads the list again', async () => {
  let list = [LIVE]
  const server = await startVmListServer(() => list)
  const client = createVmListClient(`http://${server.address}`)
  assert.equal(await client.list(), { ok: true, value: [LIVE] })
  list = [LIVE, LEAVING]
  const outcome = await client.list()
  await server.close()
  assert.equal(outcome.ok && outcome.value.map(vm => vm.state), [VmState.Live, VmState.Leaving])
})
contract.run()
