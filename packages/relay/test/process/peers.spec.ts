/**
 * A growing fleet: the gossip of one process does not grow with it, and every peer still receives messages.
 */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { PollableKeyValue } from '@wigeonlead/protocol'
import { SILENT_RELAY_LOG, createDirectory, createLoad, createPeers, type Directory, type Load, type PeerLink } from '@wigeonlead/relay'
import { testTarget } from '../test-engine.js'

const SECONDS = 6

/** A store that is unreachable: the own key does not matter here. */
const UNREACHABLE_STORE = new Proxy({}, {
  get: () => async () => ({ ok: false, failure: { kind: 'unavailable', reason: 'away' } })
}) as PollableKeyValue

interface Fleet { receivers: string[], directory: Directory, load: Load, stop: () => void }

function startFleet (local: number, remote: number): Fleet {
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
    log: SILENT_RELAY_LOG,
    signal: stopped.signal,
    nextFloat: () => 0.5
  })
  for (let index = 0; index < local + remote; index++) {
    peers.put(`vm-${index}`, JSON.stringify({ address: `vm-${index}:1`, failureDomain: index < local ? 'a' : 'b' }))
  }
  peers.start()
  return { receivers, directory, load, stop: () => stopped.abort() }
}

const fleets = suite('peers')

const FLEETS: Array<{ name: string, local: number, remote: number, maxPerSecond: number }> = [
  { name: 'three VMs a failure domain', local: 2, remote: 6, maxPerSecond: 20 },
  { name: '26 VMs a failure domain', local: 25, remote: 53, maxPerSecond: 30 },
  { name: '100 VMs a failure domain', local: 99, remote: 200, maxPerSecond: 30 }
]

for (const { name, local, remote, maxPerSecond } of FLEETS) {
  fleets(`${name}: each local peer receives a message within six seconds`, () => {
    const clock = install({ toFake: ['setInterval', 'clearInterval', 'performance', 'Date'] })
    const { receivers, stop } = startFleet(local, remote)
    clock.tick(SECONDS * 1000)
    stop()
    clock.uninstall()
    const reached = new Set(receivers)
    for (let index = 0; index < local; index++) assert.ok(reached.has(`vm-${index}:1`), `vm-${index} received no message`)
    assert.ok(receivers.length <= maxPerSecond * SECONDS, `${receivers.length} datagrams`)
  })
}

const SILENT_PEERS: Array<{ name: string, sending: number, silent: number }> = [
  { name: 'no local peer sends counts', sending: 0, silent: 25 },
  { name: 'some local peers send counts', sending: 10, silent: 15 },
  { name: 'all local peers send counts', sending: 25, silent: 0 }
]
for (const { name, sending, silent } of SILENT_PEERS) {
  fleets(`${name}: ${silent} of 25 are silent`, () => {
    const clock = install({ toFake: ['setInterval', 'clearInterval', 'performance', 'Date'] })
    const { load, stop } = startFleet(25, 53)
    for (let second = 0; second < 8; second++) {
      for (let peer = 0; peer < sending; peer++) load.setPeer(`vm-${peer}`, [])
      clock.tick(1000)
    }
    load.reservePath(['card@1'], 0)
    assert.is(load.estimatedFirstStageRequests('card@1'), 1 + silent)
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
