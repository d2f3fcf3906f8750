/**
 * Which targets are usable after entries were written or removed, after store outages and after suspicions.
 */
import { install, type Clock } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SILENT_RELAY_LOG, createDirectory, incarnationOf, type Directory } from '@wigeonlead/relay'
import { testTarget } from '../test-engine.js'

interface Case {
  name: string
  act: (directory: Directory, clock: Clock) => void
  /** Ids of the targets that are usable afterwards. */
  usable: string[]
}

const CASES: Case[] = [
  { name: 'listed', act: () => {}, usable: ['t1', 't2'] },
  { name: 'leaving', act: directory => directory.put(testTarget('t1', undefined, { isLeaving: true })), usable: ['t2'] },
  { name: 'removed without a store outage', act: directory => directory.remove('t1'), usable: ['t2'] },
  { name: 'expired in an outage that ended more than two seconds ago', act: directory => { directory.startOutageGracePeriod(2001); directory.remove('t1') }, usable: ['t2'] },
  { name: 'expired in an outage that has just ended', act: directory => { directory.startOutageGracePeriod(); directory.remove('t1') }, usable: ['t1', 't2'] },
  {
    name: 'expired in an outage and not back two seconds after its end',
    act: (directory, clock) => { directory.startOutageGracePeriod(); directory.remove('t1'); clock.tick(2001) },
    usable: ['t2']
  },
  {
    name: 'expired in an outage and back within two seconds of its end',
    act: (directory, clock) => {
      directory.startOutageGracePeriod()
      directory.removeUnlisted(new Set(['t2']))
      clock.tick(1500)
      directory.put(testTarget('t1'))
      clock.tick(2000)
    },
    usable: ['t1', 't2']
  },
  { name: 'suspected', act: directory => directory.suspect(testTarget('t1'), 500, 'test'), usable: ['t2'] },
  { name: 'suspected, and the suspicion has just expired', act: (directory, clock) => { directory.suspect(testTarget('t1'), 500, 'test'); clock.tick(501) }, usable: ['t1', 't2'] },
  {
    name: 'suspected, then restarted under the same id',
    act: directory => {
      directory.suspect(testTarget('t1'), 5000, 'test')
      directory.put(testTarget('t1', undefined, { bornAtMilliseconds: 2 }))
    },
    usable: ['t1', 't2']
  }
]

const directories = suite('directory')

function createFilledDirectory (): Directory {
  const directory = createDirectory(SILENT_RELAY_LOG, 'east')
  directory.put(testTarget('t1'))
  directory.put(testTarget('t2'))
  return directory
}

for (const { name, act, usable } of CASES) {
  directories(name, () => {
    const clock = install({ toFake: ['Date', 'performance', 'setTimeout'] })
    const directory = createFilledDirectory()
    act(directory, clock)
    assert.equal(directory.usable('model').map(({ id }) => id).sort(), usable)
    clock.uninstall()
  })
}

directories('a refusal does not notify the listeners for losses; a loss notifies them once', () => {
  const directory = createFilledDirectory()
  const lost: string[] = []
  directory.onLost(target => lost.push(target.id))
  directory.suspect(testTarget('t1'), 500, 'full')
  assert.equal(lost, [])
  directory.suspect(testTarget('t1'), 500, 'silent', { isLoss: true })
  directory.suspect(testTarget('t1'), 500, 'silent', { isLoss: true })
  assert.equal(lost, ['t1'])
})

const SUSPICIONS: Array<{ peerDomain?: string, targetDomain: string, isSuspectedLost: boolean }> = [
  { targetDomain: 'east', isSuspectedLost: true },
  { targetDomain: 'west', isSuspectedLost: false },
  { peerDomain: 'west', targetDomain: 'west', isSuspectedLost: true },
  { peerDomain: 'west', targetDomain: 'east', isSuspectedLost: false }
]

for (const { peerDomain, targetDomain, isSuspectedLost } of SUSPICIONS) {
  directories(`suspicion raised in ${peerDomain ?? 'this process'}: a target in ${targetDomain} is ${isSuspectedLost ? '' : 'not '}suspected lost`, () => {
    const directory = createDirectory(SILENT_RELAY_LOG, 'east')
    const target = testTarget('t3', undefined, { failureDomain: targetDomain })
    directory.put(target)
    directory.suspect(target, 500, 'silent', { isLoss: true, peerFailureDomain: peerDomain })
    assert.is(directory.isSuspectedLost(target), isSuspectedLost)
    assert.ok(incarnationOf(target).startsWith('t3@'))
  })
}

directories.run()
