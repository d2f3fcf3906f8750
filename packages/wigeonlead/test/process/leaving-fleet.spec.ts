/**
 * Leaving targets while the key-value service is unreachable, with nine in-memory routers in three failure domains.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  FailureKind, Step, StopSubject, VmState, changeHead, digestText, failed, manifestSchema, publishManifest, success,
  type KeyValuePort, type ServicePort, type VmEntry
} from '@wigeonlead/protocol'
import {
  KeyValueFault, createEngine, createKeyValueStore, createMemoryEngines, createMemoryKeyValue, createMemoryPeerNetwork, withPausedClock,
  type PausedClock
} from '@wigeonlead/stand-ins'
import { createRouter, createSeededRandom, settingsSchema, type Router } from 'wigeonlead'

const DOMAINS = ['kingston-shop', 'spanish-town', 'mandeville-loft']
const NODES = 9
const PROPAGATION_MILLISECONDS = 3000
const JOINING_MILLISECONDS = 20_000

interface Fleet {
  routers: Router[]
  keyValue: KeyValuePort
  vms: VmEntry[]
  outage: { keyValue: boolean, vmListDomains: string[] }
}

interface Case {
  name: string
  /** Failure domains that still reach the VM list during the outage. */
  domainsReachingVmList: string[]
  /** Whether a stop is planned before the outage that begins during it. */
  isStopPlanned: boolean
}

const CASES: Case[] = [
  { name: 'the VM list shows a leaving VM to all failure domains', domainsReachingVmList: DOMAINS, isStopPlanned: false },
  { name: 'the VM list shows a leaving VM to one failure domain', domainsReachingVmList: DOMAINS.slice(1, 2), isStopPlanned: false },
  { name: 'a planned stop of a VM begins', domainsReachingVmList: [], isStopPlanned: true }
]

const fleetTests = suite('leaving targets in a fleet')
for (const row of CASES) {
  fleetTests(`${row.name}: every entry VM knows the leaving target within 3 s without the key-value service`, () => withPausedClock(async clock => {
    const fleet = await startFleet(clock)
    if (row.isStopPlanned) await planStop(fleet.keyValue)
    await clock.advance(JOINING_MILLISECONDS)
    fleet.outage = { keyValue: true, vmListDomains: row.domainsReachingVmList }
    await clock.advance(JOINING_MILLISECONDS)
    assert.equal(fleet.routers.map(leavingAt), Array(NODES).fill([]))
    if (row.isStopPlanned) await clock.advance(JOINING_MILLISECONDS)
    else fleet.vms[0]!.state = VmState.Leaving
    await clock.advance(PROPAGATION_MILLISECONDS)
    assert.equal(fleet.routers.map(leavingAt), Array(NODES).fill(['one']))
    for (const router of fleet.routers) router.halt()
  }))
}
fleetTests.run()

async function startFleet (clock: PausedClock): Promise<Fleet> {
  const store = createKeyValueStore()
  const fleet: Fleet = {
    routers: [],
    keyValue: createMemoryKeyValue(store, { fault: () => fleet.outage.keyValue ? KeyValueFault.Unreachable : undefined }),
    vms: [{ name: 'vm-1', address: '10.0.0.1', failureDomain: DOMAINS[0]!, state: VmState.Live }],
    outage: { keyValue: false, vmListDomains: DOMAINS }
  }
  const publishing = publish(fleet.keyValue)
  await clock.advance(100)
  assert.is((await publishing).kind, 'accepted')
  const network = createMemoryPeerNetwork({ delayMilliseconds: () => 1 })
  const engines = createMemoryEngines(new Map([['one', createEngine({ name: 'one', held: [] })]]))
  for (let index = 0; index < NODES; index += 1) {
    const failureDomain = DOMAINS[index % DOMAINS.length]!
    const settings = toSettings(index, failureDomain)
    const router = createRouter(settings, {
      keyValue: fleet.keyValue,
      vmList: {
        list: async () => fleet.outage.vmListDomains.includes(failureDomain)
          ? success(structuredClone(fleet.vms))
          : failed({ kind: FailureKind.Unreachable, step: Step.VmList, peer: 'list', detail: 'no connection' })
      },
      engines,
      services: {} as ServicePort,
      peers: network.port(settings.listen.peers),
      random: createSeededRandom(index + 1)
    })
    router.start()
    fleet.routers.push(router)
  }
  return fleet
}

function publish (keyValue: KeyValuePort): ReturnType<typeof publishManifest> {
  return publishManifest(keyValue, createSeededRandom(100), manifestSchema.parse({
    format: 1,
    failureDomains: DOMAINS,
    targets: [{ name: 'one', address: '10.0.0.1:80', failureDomain: DOMAINS[0], accelerator: 'large', serves: [] }],
    workspaces: [{ name: 'voicers', keyDigests: [digestText('key')] }]
  }))
}

async function planStop (keyValue: KeyValuePort): Promise<void> {
  const fromMilliseconds = Date.now() + 3 * JOINING_MILLISECONDS
  const stop = { id: 'stop-1', subject: StopSubject.Vm, name: 'vm-1', fromMilliseconds, untilMilliseconds: fromMilliseconds + 60_000 }
  const changed = await changeHead(keyValue, createSeededRandom(101), head => ({ ...head, stops: [stop] }))
  assert.is(changed.kind, 'accepted')
}

function toSettings (index: number, failureDomain: string) {
  return settingsSchema.parse({
    node: { vm: `entry-${index}`, failureDomain },
    listen: { callers: `10.0.1.${index}:80`, operators: `10.0.1.${index}:81`, peers: `10.0.1.${index}:82` },
    platform: { keyValue: ['http://unused'], vmList: 'http://unused' },
    peers: { seeds: ['10.0.1.0:82', '10.0.1.1:82', '10.0.1.2:82'], secrets: [{ id: 'first', value: 'a secret of this test only' }] },
    operators: { tokenDigests: [digestText('operator')] }
  })
}

function leavingAt (router: Router): string[] {
  return (router.status().sections.leaving as Array<{ target: string }>).map(({ target }) => target)
}
