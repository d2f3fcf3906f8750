import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  CONFIGURATION_HEAD_KEY, StopSubject, VmState, changeHead, checkManifest, publishManifest, readHead, success,
  type KeyValuePort, type VmEntry
} from '@wigeonlead/protocol'
import { KeyValueFault, createKeyValueStore, createMemoryKeyValue } from '@wigeonlead/stand-ins'
import { ExitCode, cancelStopCommand, listStopsCommand, planStopCommand, type StopArguments, type ToolPorts } from '../src/index.js'

let nonces = 0
const RANDOM = { nextFloat: () => 0.5, nextNonce: () => `${++nonces}`.padStart(8, '0') }
const DIGEST = 'a'.repeat(64)

function stage (name: string, layers: [number, number], port: number): unknown {
  return { name, address: `10.0.0.1:${port}`, failureDomain: 'howrah', accelerator: 'large', serves: [{ model: 'assistant', version: 'v1', layers }] }
}

const MANIFEST = {
  format: 1,
  failureDomains: ['howrah'],
  models: [{ name: 'assistant', layers: 8, versions: ['v1'] }],
  targets: [stage('one', [0, 8], 1), stage('two', [0, 8], 2)],
  services: [{
    name: 'orders',
    targets: [{ name: 'orders-1', address: '10.0.0.2:3', failureDomain: 'howrah' }],
    operations: [{ method: 'POST', path: '/orders', idempotent: false }]
  }],
  workspaces: [{ name: 'desk', keyDigests: [DIGEST] }]
}
const VMS: VmEntry[] = [
  { name: 'vm-1', address: '10.0.0.1', failureDomain: 'howrah', state: VmState.Live },
  { name: 'entry-1', address: '10.0.0.7', failureDomain: 'howrah', state: VmState.Live, peerPort: 7003 },
  { name: 'entry-2', address: '10.0.0.8', failureDomain: 'howrah', state: VmState.Leaving, peerPort: 7003 }
]

type ChooseFault = (operation: string, key: string) => KeyValueFault | undefined

async function publishedPorts (fault?: ChooseFault): Promise<ToolPorts & { plain: KeyValuePort }> {
  const store = createKeyValueStore()
  const plain = createMemoryKeyValue(store)
  const check = checkManifest(MANIFEST)
  if (!check.ok) throw new Error(JSON.stringify(check.faults))
  await publishManifest(plain, RANDOM, check.manifest)
  return { plain, keyValue: createMemoryKeyValue(store, { fault }), random: RANDOM, vmList: { list: async () => success(VMS) } }
}

interface Case {
  name: string
  given: StopArguments
  code: ExitCode
  text: RegExp
  fault?: ChooseFault
  stops: number
}

const faultOnSwap = (fault: KeyValueFault) => (operation: string) => operation === 'compareAndSwap' ? fault : undefined
const CASES: Case[] = [
  { name: 'a target', given: { target: 'one', from: '+5m', until: '+20m' }, code: ExitCode.Success, text: /generation 2 is accepted\nplanned stop-\w+: target one/, stops: 1 },
  { name: 'a service\'s last target', given: { target: 'orders-1', until: '+20m' }, code: ExitCode.Success, text: /warning: takes the last replica away: no target of service "orders"/, stops: 1 },
  { name: 'a VM with all replicas', given: { vm: 'vm-1', until: '+20m' }, code: ExitCode.Success, text: /warning: takes the last replica away: no path covers version "v1"/, stops: 1 },
  { name: 'the last live entry VM of a failure domain', given: { vm: 'entry-1', until: '+20m' }, code: ExitCode.Success, text: /warning: .*no entry VM of failure domain "howrah"/, stops: 1 },
  { name: 'an entry VM while another one is live', given: { vm: 'entry-2', until: '+20m' }, code: ExitCode.Success, text: /vm entry-2, [^\n]*$/, stops: 1 },
  { name: 'an unknown target', given: { target: 'three', until: '+20m' }, code: ExitCode.Invalid, text: /"three"/, stops: 0 },
  { name: 'an unknown VM', given: { vm: 'vm-9', until: '+20m' }, code: ExitCode.Invalid, text: /"vm-9"/, stops: 0 },
  { name: 'both', given: { vm: 'vm-1', target: 'one', until: '+20m' }, code: ExitCode.Invalid, text: /exactly one/, stops: 0 },
  { name: 'no end time', given: { target: 'one' }, code: ExitCode.Invalid, text: /--until: found nothing/, stops: 0 },
  { name: 'an end before the start', given: { target: 'one', from: '+20m', until: '+5m' }, code: ExitCode.Invalid, text: /after --from/, stops: 0 },
  { name: 'an end in the past', given: { target: 'one', from: '2001-01-01', until: '2001-01-02' }, code: ExitCode.Invalid, text: /a time in the future/, stops: 0 },
  { name: 'an invalid time', given: { target: 'one', until: 'soon' }, code: ExitCode.Invalid, text: /found "soon"/, stops: 0 },
  { name: 'a lost reply', given: { target: 'one', until: '+20m' }, fault: faultOnSwap(KeyValueFault.LostReply), code: ExitCode.Success, text: /accepted/, stops: 1 },
  { name: 'a lost request', given: { target: 'one', until: '+20m' }, fault: faultOnSwap(KeyValueFault.LostRequest), code: ExitCode.Unknown, text: /not known/, stops: 0 },
  { name: 'an unreachable key-value service', given: { target: 'one', until: '+20m' }, fault: () => KeyValueFault.Unreachable, code: ExitCode.Failed, text: /nothing was changed/, stops: 0 }
]

const planning = suite('stop plan')
for (const { name, given, code, text, fault, stops } of CASES) {
  planning(name, async () => {
    const ports = await publishedPorts(fault)
    const output = await planStopCommand(ports, given)
    assert.is(output.code, code, output.text)
    assert.match(output.text, text)
    const read = await readHead(ports.plain)
    assert.is(read.ok && read.value.head?.stops.length, stops)
  })
}
planning('a stop that would leave no path together with another one gives a warning, an overlapping stop of the same target is refused', async () => {
  const ports = await publishedPorts()
  const first = await planStopCommand(ports, { target: 'one', from: '+5m', until: '+20m' })
  assert.not.match(first.text, /warning/)
  const second = await planStopCommand(ports, { target: 'two', from: '+10m', until: '+30m' })
  assert.match(second.text, /warning: takes the last replica away/)
  const third = await planStopCommand(ports, { target: 'one', from: '+19m', until: '+30m' })
  assert.is(third.code, ExitCode.Invalid)
  const later = await planStopCommand(ports, { target: 'one', from: '+40m', until: '+50m' })
  assert.is(later.code, ExitCode.Success)
  assert.not.match(later.text, /warning/)
})
planning('a stop is superseded when another operator changes the head in the meantime', async () => {
  const ports = await publishedPorts()
  let reads = 0
  const racing: KeyValuePort = {
    ...ports.keyValue,
    async get (key, options) {
      const read = await ports.plain.get(key, options)
      if (key === CONFIGURATION_HEAD_KEY && ++reads === 2) await changeHead(ports.plain, RANDOM, head => head)
      return read
    }
  }
  const output = await planStopCommand({ ...ports, keyValue: racing }, { target: 'one', until: '+20m' })
  assert.is(output.code, ExitCode.Superseded, output.text)
})
planning('cancel removes a stop and refuses an unknown one, list shows the remaining stops', async () => {
  const ports = await publishedPorts()
  await planStopCommand(ports, { target: 'one', from: '+5m', until: '+20m' })
  const listed = await listStopsCommand(ports)
  assert.match(listed.text, /planned {4}target one/)
  const id = (listed.value as { stops: Array<{ id: string, subject: StopSubject }> }).stops[0]!.id
  assert.is((await cancelStopCommand(ports, 'stop-x')).code, ExitCode.Invalid)
  assert.is((await cancelStopCommand(ports, id)).code, ExitCode.Success)
  assert.match((await listStopsCommand(ports)).text, /no stop is planned/)
})
planning.run()
