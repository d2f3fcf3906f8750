/**
 * Pattern: a fleet that grows. What a process tells does not grow with it, and every peer is still told.
 */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { PollableKeyValue } from '@wigeonlead/protocol'
import { SILENT_RELAY_LOG, createDirectory, createLoad, createPeers, type Directory, type Load, type PeerLink } from '@wigeonlead/relay'
import { testTarget } from '../test-engine.js'

const SECONDS = 6

/** A store that is out of reach: the own key does not matter here. */
const AWAY = new Proxy({}, {
  get: () => async () => ({ ok: false, failure: { kind: 'unavailable', reason: 'away' } })
}) as PollableKeyValue

interface Fleet { told: string[], directory: Directory, load: Load, stop: () => void }

function startFleet (near: number, far: number): Fleet {
  const told: string[] = []
  const load = createLoad()
  const link: PeerLink = { notify: address => { told.push(address) }, on () {}, async open () {}, close () {} }
  const directory = createDirectory(SILENT_RELAY_LOG, 'a')
  const stopped = new AbortController()
  const peers = createPeers({
    self: { vm: 'self', address: 'self:1', failureDomain: 'a' },
    keyPrefix: '',
    store: AWAY,
    link,
    load,
    directory,
    log: SILENT_RELAY_LOG,
    signal: stopped.signal,
    nextFloat: () => 0.5
  })
  for (let index = 0; index < near + far; index++) {
    peers.put(`vm-${index}`, JSON.stringify({ address: `vm-${index}:1`, failureDomain: index < near ? 'a' : 'b' }))
  }
  peers.start()
  return { told, directory, load, stop: () => stopped.abort() }
}

const fleets = suite('peers')

const FLEETS: Array<{ name: string, near: number, far: number, mostASecond: number }> = [
  { name: 'three VMs a failure domain', near: 2, far: 6, mostASecond: 20 },
  { name: '26 VMs a failure domain', near: 25, far: 53, mostASecond: 30 },
  { name: '100 VMs a failure domain', near: 99, far: 200, mostASecond: 30 }
]

for (const { name, near, far, mostASecond } of FLEETS) {
  fleets(`${name}: each near peer hears within six seconds`, () => {
    const clock = install({ toFake: ['setInterval', 'clearInterval', 'performance', 'Date'] })
    const { told, stop } = startFleet(near, far)
    clock.tick(SECONDS * 1000)
    stop()
    clock.uninstall()
    const heard = new Set(told)
    for (let index = 0; index < near; index++) assert.ok(heard.has(`vm-${index}:1`), `vm-${index} was not told`)
    assert.ok(told.length <= mostASecond * SECONDS, `${told.length} datagrams`)
  })
}

const HEARD: Array<{ name: string, toldBy: number, unheard: number }> = [
  { name: 'no near peer tells', toldBy: 0, unheard: 25 },
  { name: 'some near peers tell', toldBy: 10, unheard: 15 },
  { name: 'all near peers tell', toldBy: 25, unheard: 0 }
]
for (const { name, toldBy, unheard } of HEARD) {
  fleets(`${name}: ${unheard} of 25 are not heard`, () => {
    const clock = install({ toFake: ['setInterval', 'clearInterval', 'performance', 'Date'] })
    const { load, stop } = startFleet(25, 53)
    for (let second = 0; second < 8; second++) {
      for (let peer = 0; peer < toldBy; peer++) load.setPeer(`vm-${peer}`, [])
      clock.tick(1000)
    }
    load.reservePath(['card@1'], 0)
    assert.is(load.estimatedEntering('card@1'), 1 + unheard)
    stop()
    clock.uninstall()
  })
}

fleets('a loss is told at once', () => {
  const clock = install({ toFake: ['setInterval', 'clearInterval', 'performance', 'Date'] })
  const { told, directory, stop } = startFleet(25, 53)
  const target = testTarget('card-1', { from: 0, to: 10 }, { failureDomain: 'a' })
  directory.put(target)
  directory.suspect(target, 1000, 'out of reach', { isLoss: true })
  assert.is(told.length, 24)
  stop()
  clock.uninstall()
})

fleets.run()
