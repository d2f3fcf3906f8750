import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { MemberState, ObjectiveKind, ResourceKind, changeHead, type BurnReport } from '@wigeonlead/protocol'
import { KeyValueFault, answerJson, createKeyValueStore, createMemoryKeyValue, listen } from '@wigeonlead/stand-ins'
import { BurnState, ExitCode, mergeReports, renderReportPage, reportCommand, statusCommand } from '../src/index.js'

const TOKEN = 'a token'
const UNREACHABLE_ADDRESS = '127.0.0.1:1'

function status (vm: string, generation: number, sections: Record<string, unknown>): unknown {
  const member = { address: '127.0.0.1:7', vm, failureDomain: 'howrah', incarnation: 1, state: MemberState.Alive, generation }
  return { member, isReady: true, sections }
}

function burn (vm: string, good: number, bad: number): BurnReport {
  const counts = { good, bad }
  const objective = { resource: ResourceKind.Model, name: 'assistant', objective: ObjectiveKind.Availability, share: 0.99 }
  return { vm, failureDomain: 'howrah', atMilliseconds: 1, objectives: [{ ...objective, windows: [counts, counts, counts, counts], series: [counts] }] }
}

async function withRouter<T> (body: unknown, run: (address: string) => Promise<T>): Promise<T> {
  const server = await listen((request, response) => {
    if (request.headers.authorization === `Bearer ${TOKEN}`) answerJson(response, 200, body)
    else answerJson(response, 401, {})
  })
  try {
    return await run(server.address)
  } finally {
    await server.close()
  }
}

const routers = suite('status and report')
routers('status shows outdated generations, pending items, entry VMs that were not queried and entry VMs that can\'t be reached', async () => {
  const members = [{ vm: 'entry-2', state: 'alive' }, { vm: 'entry-3', state: 'alive' }]
  const sections = { members, reconciler: { pending: [{ target: 'engine-1', order: 'load x', reason: 'paced' }] } }
  await withRouter(status('entry-1', 4, sections), async firstAddress => await withRouter(status('entry-2', 3, {}), async secondAddress => {
    const output = await statusCommand({ addresses: [firstAddress, secondAddress, UNREACHABLE_ADDRESS], token: TOKEN })
    assert.is(output.code, ExitCode.Failed)
    const patterns = [
      /2 of 3/, /could not be reached/, /not asked: entry-3/, /entry-1 reconciler: engine-1 load x: paced/,
      /entry-2 configuration: generation 4: it still has generation 3/
    ]
    for (const pattern of patterns) {
      assert.match(output.text, pattern)
    }
  }))
})
routers('status shows a generation that is accepted and in force nowhere, and that the key-value service can\'t be reached', async () => {
  const store = createKeyValueStore()
  const nonces = { nextFloat: () => 0.5, nextNonce: () => String(store.revision()) }
  await changeHead(createMemoryKeyValue(store), nonces, head => head)
  await withRouter(status('entry-1', 0, {}), async address => {
    const output = await statusCommand({ addresses: [address], token: TOKEN }, createMemoryKeyValue(store))
    assert.match(output.text, /generation 1 was accepted last/)
    assert.match(output.text, /generation 1: it has seen no configuration yet/)
    const unreachableKeyValue = createMemoryKeyValue(store, { fault: () => KeyValueFault.Unreachable })
    assert.match((await statusCommand({ addresses: [address], token: TOKEN }, unreachableKeyValue)).text, /accepted last is not known/)
  })
})
routers('a wrong token is reported as unauthenticated', async () => {
  await withRouter(status('entry-1', 4, {}), async address => {
    const output = await statusCommand({ addresses: [address], token: 'wrong' })
    assert.is(output.code, ExitCode.Failed)
    assert.match(output.text, /unauthenticated/)
  })
})
routers('report sums the counts of all entry VMs and names those it can\'t reach, in the text and on the page', async () => {
  await withRouter(burn('entry-1', 90, 0), async firstAddress => await withRouter(burn('<entry>', 0, 10), async secondAddress => {
    const output = await reportCommand({ addresses: [firstAddress, secondAddress, UNREACHABLE_ADDRESS], token: TOKEN })
    assert.is(output.code, ExitCode.Failed)
    assert.match(output.text, /model assistant +availability +99 % +10\.00 .*10 of 100 +slow-burn/)
    const page = renderReportPage({ ...output.value, reached: ['<b>'] })
    for (const pattern of [/<svg/, /127\.0\.0\.1:1/, /&lt;b&gt;/, /slow-burn/]) assert.match(page, pattern)
    assert.not.match(page, /<script|src=|href=|<b>/)
  }))
})

const STATES: Array<{ good: number, bad: number, state: BurnState }> = [
  { good: 100, bad: 0, state: BurnState.Within },
  { good: 0, bad: 0, state: BurnState.Within },
  { good: 95, bad: 5, state: BurnState.Within },
  { good: 92, bad: 8, state: BurnState.Slow },
  { good: 80, bad: 20, state: BurnState.Fast }
]
for (const { good, bad, state } of STATES) {
  routers(`${bad} bad of ${good + bad} is ${state}`, () => assert.is(mergeReports([burn('entry-1', good, bad)])[0]!.state, state))
}
routers.run()
