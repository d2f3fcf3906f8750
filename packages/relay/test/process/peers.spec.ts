/**
 * Gossip in fleets of different sizes: the number of messages that a process sends stays bounded, and every local peer still receives some.
 */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { PollableKeyValue } from '@wigeonlead/protocol'
import { SILENT_RELAY_LOG, createDirectory, createLoad, createPeers, createStoreEra, type Directory, type Load, type PeerLink } from '@wigeonlead/relay'
import { testRateLimits } from '../test-rate-limits.js'
import { testConfigurationState } from '../test-configuration.js'
import { testTarget } from '../test-engine.js'

const WINDOW_SECONDS = 6

/** A store that is unreachable: these tests do not need the key that the process writes about itself. */
const UNREACHABLE_STORE = new Proxy({}, {
  get: () => async () => ({ ok: false, failure: { kind: 'unavailable', reason: 'away' } })
}) as PollableKeyValue

/** One process, with the addresses to which it has sent datagrams. */
interface Fleet { receivers: string[], directory: Directory, load: Load, stop: () => void }

function startFleet (localCount: number, remoteCount: number): Fleet {
  const receivers: string[] = []
  const load = createLoad()
  const link: PeerLink = { notify: address => { receivers.push(address) }, on () {}, async open () {}, close () {} }
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
  return { receivers, directory, load, stop: () => stopped.abort() }
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

fleets('a loss is gossiped at once', () => {
  const clock = install({ toFake: ['setInterval', 'clearInterval', 'performance', 'Date'] })
  const { receivers, directory, stop } = startFleet(25, 53)
  const target = testTarget('card-1', { from: 0, to: 10 }, { failureDomain: 'a' })
  directory.put(target)
  directory.suspect(target, 1000, 'unreachable', { isLoss: true })
  assert.is(receivers.length, 24)
  stop()
  clock.uninstall()
})

fleets.run()
