/**
 * Gossip in fleets of different sizes: the number of messages that a process sends stays bounded, and every local peer still receives some.
 */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { PollableKeyValue } from '@wigeonlead/protocol'
import {
  SILENT_RELAY_LOG, createDirectory, createLoad, createPeers, createStoreEra, incarnationOf, type Directory, type Load, type PeerLink,
  type Target
} from '@wigeonlead/relay'
import { FULL_REACH } from '../../test-target-reach.js'
import { testRateLimits } from '../../test-rate-limits.js'
import { testConfigurationState } from '../../test-configuration.js'
import { testTarget } from '../../test-engine.js'

const WINDOW_SECONDS = 6

/** A store that is unreachable: these tests do not need the key that the process writes about itself. */
const UNREACHABLE_STORE = new Proxy({}, {
  get: () => async () => ({ ok: false, failure: { kind: 'unavailable', reason: 'away' } })
}) as PollableKeyValue

/** One process, with the datagrams that it has sent, their addresses, and the targets that it has verified. */
interface Fleet {
  receivers: string[]
  sent: unknown[]
  verified: Target[]
  directory: Directory
  load: Load
  /** Delivers a peer's message with suspicions: incarnation, remaining milliseconds, whether it is a loss. */
  report: (vm: string, suspected: Array<[string, number, boolean]>) => void
  /** Addresses to which messages may be sent in parts. */
  splitFor: Set<string>
  /** Delivers a message. */
  hear: (parameters: object) => void
  stop: () => void
}

function startFleet (localCount: number, remoteCount: number, reach = FULL_REACH): Fleet {
  const receivers: string[] = []
  const sent: unknown[] = []
  const splitFor = new Set<string>()
  const verified: Target[] = []
  const handlers = new Map<string, (parameters: unknown) => void>()
  const load = createLoad()
  const link: PeerLink = {
    notify (address, _method, parameters, options) {
      receivers.push(address)
      sent.push(parameters)
      if (options?.mayBeSplit === true) splitFor.add(address)
    },
    on: (method, handler) => { handlers.set(method, handler) },
    async open () {},
    close () {}
  }
  const directory = createDirectory(SILENT_RELAY_LOG, 'a')
  const stopped = new AbortController()
  const peers = createPeers({
    self: { vm: 'self', address: 'self:1', failureDomain: 'a' },
    keyPrefix: '',
    store: UNREACHABLE_STORE,
    link,
    load,
    directory,
    limits: testRateLimits('self'),
    reach,
    verify: target => { verified.push(target) },
    era: createStoreEra(SILENT_RELAY_LOG),
    configurationState: testConfigurationState(),
    log: SILENT_RELAY_LOG,
    signal: stopped.signal,
    nextFloat: () => 0.5
  })
  for (let index = 0; index < localCount + remoteCount; index++) {
    peers.put(`vm-${index}`, JSON.stringify({ address: `vm-${index}:1`, failureDomain: index < localCount ? 'a' : 'b' }))
  }
  peers.start()
  return {
    receivers,
    sent,
    splitFor,
    hear: parameters => handlers.get('load')!(parameters),
    verified,
    directory,
    load,
    report: (vm, suspected) => handlers.get('load')!({ vm, counts: [], suspected, leaving: [] }),
    stop: () => stopped.abort()
  }
}

const fleets = suite('peers')

const FLEETS: Array<{ name: string, localCount: number, remoteCount: number, maxPerSecond: number }> = [
  { name: 'three VMs per failure domain', localCount: 2, remoteCount: 6, maxPerSecond: 20 },
  { name: '26 VMs per failure domain', localCount: 25, remoteCount: 53, maxPerSecond: 30 },
  { name: '100 VMs per failure domain', localCount: 99, remoteCount: 200, maxPerSecond: 30 }
]

for (const { name, localCount, remoteCount, maxPerSecond } of FLEETS) {
  fleets(`${name}: each local peer receives a message within six seconds`, () => {
    const clock = install({ toFake: ['setInterval', 'clearInterval', 'performance', 'Date'] })
    const { receivers, stop } = startFleet(localCount, remoteCount)
    clock.tick(WINDOW_SECONDS * 1000)
    stop()
    clock.uninstall()
    const reached = new Set(receivers)
    for (let index = 0; index < localCount; index++) assert.ok(reached.has(`vm-${index}:1`), `vm-${index} received no message`)
    assert.ok(receivers.length <= maxPerSecond * WINDOW_SECONDS, `${receivers.length} datagrams`)
  })
}

// Guards against gossip that ends where a fleet has so many targets that a message exceeds a datagram.
fleets('long messages go in parts to the peers that join them, and to no other', () => {
  const clock = install({ toFake: ['setInterval', 'clearInterval', 'performance', 'Date'] })
  const { splitFor, hear, stop } = startFleet(3, 0)
  const message = { counts: [], suspected: [], leaving: [] }
  hear({ ...message, vm: 'vm-0', joinsParts: true })
  hear({ ...message, vm: 'vm-1' })
  hear({ ...message, vm: 'vm-2', joinsParts: true })
  hear({ ...message, vm: 'vm-2' })
  clock.tick(WINDOW_SECONDS * 1000)
  stop()
  clock.uninstall()
  assert.equal([...splitFor], ['vm-0:1'])
})

const SILENT_PEERS: Array<{ name: string, sendingCount: number, silentCount: number }> = [
  { name: 'no local peer sends counts', sendingCount: 0, silentCount: 25 },
  { name: 'some local peers send counts', sendingCount: 10, silentCount: 15 },
  { name: 'all local peers send counts', sendingCount: 25, silentCount: 0 }
]
for (const { name, sendingCount, silentCount } of SILENT_PEERS) {
  fleets(`${name}: ${silentCount} of 25 count as silent`, () => {
    const clock = install({ toFake: ['setInterval', 'clearInterval', 'performance', 'Date'] })
    const { load, stop } = startFleet(25, 53)
    for (let second = 0; second < 8; second++) {
      for (let peer = 0; peer < sendingCount; peer++) load.setPeer(`vm-${peer}`, [])
      clock.tick(1000)
    }
    load.reservePath(['card@1'], 0)
    assert.is(load.estimatedFirstStageRequests('card@1'), 1 + silentCount)
    stop()
    clock.uninstall()
  })
}

fleets('a loss is gossiped at once', async () => {
  const clock = install({ toFake: ['setInterval', 'clearInterval', 'performance', 'Date'] })
  const { receivers, directory, stop } = startFleet(25, 53)
  const target = testTarget('card-1', { from: 0, to: 10 }, { failureDomain: 'a' })
  directory.put(target)
  directory.suspect(target, 1000, 'unreachable', { isLoss: true })
  // The clock stands still: only the answer of the check, which is at hand, is awaited.
  await new Promise(resolve => { setImmediate(resolve) })
  assert.is(receivers.length, 24)
  const local = Array.from({ length: 25 }, (_, index) => `vm-${index}:1`)
  assert.ok(receivers.every(address => local.includes(address)), 'peers of the failure domain of the target are told first')
  stop()
  clock.uninstall()
})

const REPORTS: Array<{ name: string, contactAgo?: number, isLoss: boolean, isVerified: boolean, isUsable: boolean }> = [
  { name: 'of a target that this VM has not heard from: believed', isLoss: true, isVerified: false, isUsable: false },
  { name: 'of a target that fell silent a while ago: believed', contactAgo: 300, isLoss: true, isVerified: false, isUsable: false },
  { name: 'of a target that this VM has just heard from: verified first', contactAgo: 20, isLoss: true, isVerified: true, isUsable: true },
  { name: 'that a target refuses work, although it answers: believed', contactAgo: 20, isLoss: false, isVerified: false, isUsable: false }
]
for (const { name, contactAgo, isLoss, isVerified, isUsable } of REPORTS) {
  fleets(`a peer's report ${name}`, () => {
    const clock = install({ toFake: ['setInterval', 'clearInterval', 'performance', 'Date'] })
    const { directory, verified, report, stop } = startFleet(25, 53)
    const target = testTarget('card-1', { from: 0, to: 10 }, { failureDomain: 'a' })
    directory.put(target)
    if (contactAgo !== undefined) directory.recordContact(incarnationOf(target))
    clock.tick(contactAgo ?? 0)
    report('vm-0', [[incarnationOf(target), 2500, isLoss]])
    assert.is(verified.length, isVerified ? 1 : 0)
    assert.is(directory.isUsable(target), isUsable)
    stop()
    clock.uninstall()
  })
}

for (const { name, mayReport, suspicions } of [
  { name: 'reaches other targets: tells of it', mayReport: true, suspicions: 1 },
  { name: 'is cut off from all targets: tells of none', mayReport: false, suspicions: 0 }
]) {
  fleets(`a VM that has lost a target and ${name}`, () => {
    const clock = install({ toFake: ['setInterval', 'clearInterval', 'performance', 'Date'] })
    const { directory, sent, stop } = startFleet(25, 53, { ...FULL_REACH, mayReport: () => mayReport, check: async () => !mayReport })
    const target = testTarget('card-1', { from: 0, to: 10 }, { failureDomain: 'a' })
    directory.put(target)
    directory.suspect(target, 2000, 'unreachable', { isLoss: true })
    clock.tick(200)
    assert.is((sent.at(-1) as { suspected: unknown[] }).suspected.length, suspicions)
    stop()
    clock.uninstall()
  })
}

fleets.run()
