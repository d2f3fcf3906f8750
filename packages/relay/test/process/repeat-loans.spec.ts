/**
 * The first stage of one failure domain is lost, and its VMs need more repeats at once than their shares.
 */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  SILENT_RELAY_LOG, createDirectory, createLoad, createPeers, createRepeatBudget, createRepeatLoans, type Repeats
} from '@wigeonlead/relay'
import { joinLinks } from '../joined-links.js'

const VMS = 9
const EXTRA = 202

function startFleet (lost: number): Repeats[] {
  const names = Array.from({ length: VMS }, (_, index) => `vm-${index}`)
  let sent = 0
  const links = joinLinks(names, () => lost > 0 && ++sent % lost === 0)
  return names.map(name => {
    const link = links.get(name)!
    const peers = createPeers({
      self: { vm: name, address: name, failureDomain: 'east' },
      keyPrefix: '',
      store: {} as never,
      link,
      load: createLoad(),
      directory: createDirectory(SILENT_RELAY_LOG, 'east'),
      log: SILENT_RELAY_LOG,
      signal: new AbortController().signal,
      nextFloat: () => 0.5
    })
    for (const other of names) peers.put(other, JSON.stringify({ address: other, failureDomain: 'east' }))
    const budget = createRepeatBudget({ share: 0.2, extra: EXTRA, windowMilliseconds: 10_000, vms: () => VMS })
    return createRepeatLoans({ self: name, budget, peers, link })
  })
}

const loans = suite('repeat loans')

const CASES: Array<{ name: string, wanted: number, lost: number, least: number }> = [
  { name: 'a few more than the own share', wanted: 30, lost: 0, least: 30 },
  { name: 'many at once', wanted: 80, lost: 0, least: 80 },
  { name: 'many at once, and each fifth datagram is lost', wanted: 60, lost: 5, least: 50 }
]
for (const { name, wanted, lost, least } of CASES) {
  loans(name, async () => {
    const clock = install({ toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'] })
    try {
      const fleet = startFleet(lost)
      clock.tick(10_100)
      const taken = Promise.all(Array.from({ length: wanted }, () => fleet[0]!.take('model')))
      await clock.tickAsync(40)
      const given = (await taken).filter(isTaken => isTaken).length
      assert.ok(given >= least, `${given} of ${wanted}`)
    } finally {
      clock.uninstall()
    }
  })
}

loans('no VM has repeats left: further attempts are refused without waiting', async () => {
  const clock = install({ toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'] })
  try {
    const fleet = startFleet(0)
    clock.tick(10_100)
    const attempts = fleet.flatMap(one => Array.from({ length: 60 }, () => one.take('model')))
    await clock.tickAsync(100)
    const given = (await Promise.all(attempts)).filter(isTaken => isTaken).length
    assert.ok(given <= EXTRA, `${given} repeats`)
    const startedAt = performance.now()
    assert.not(await fleet[0]!.take('model'))
    assert.is(performance.now(), startedAt)
  } finally {
    clock.uninstall()
  }
})

loans.run()
