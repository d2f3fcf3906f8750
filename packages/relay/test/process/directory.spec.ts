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
  { name: 'its answer states that it leaves', act: directory => directory.markLeaving('t1@1', 'its answer'), usable: ['t2'] },
  {
    name: 'it has left, and its entry is written as ready by a store that lost the leaving',
    act: directory => { directory.markLeaving('t1@1', 'its answer'); directory.startRestore(); directory.put(testTarget('t1'), true); directory.put(testTarget('t1')) },
    usable: ['t2']
  },
  {
    name: 'it has left and was removed, and a restored copy contains its entry',
    act: (directory, clock) => {
      directory.put(testTarget('t1', undefined, { isLeaving: true }))
      directory.remove('t1')
      directory.startRestore()
      directory.put(testTarget('t1'), true)
      clock.tick(10_000)
    },
    usable: ['t2']
  },
  {
    // Guards against an entry of another writer that takes a target away for good.
    name: 'an entry of an earlier incarnation has stood in the place of its own',
    act: directory => { directory.put(testTarget('t1', undefined, { bornAtMilliseconds: 0 })); directory.put(testTarget('t1')) },
    usable: ['t1', 't2']
  },
  {
    name: 'an entry of a later incarnation has stood in the place of its own, which is written again',
    act: directory => { directory.put(testTarget('t1', undefined, { bornAtMilliseconds: 2 })); directory.put(testTarget('t1')) },
    usable: ['t2']
  },
  {
    name: 'its entry could not be read for a while',
    act: directory => { directory.remove('t1'); directory.put(testTarget('t1')) },
    usable: ['t1', 't2']
  },
  {
    name: 'a peer says of a target that is not listed yet that it leaves',
    act: directory => { directory.markLeaving('t3@1', 'peer'); directory.put(testTarget('t3')) },
    usable: ['t1', 't2']
  },
  {
    name: 'its earlier incarnation has left',
    act: directory => { directory.markLeaving('t1@1', 'its answer'); directory.put(testTarget('t1', undefined, { bornAtMilliseconds: 2 })) },
    usable: ['t1', 't2']
  },
  {
    name: 'removed, and a restored copy contains its entry, which is not written again and is removed',
    act: (directory, clock) => {
      directory.remove('t1')
      directory.startRestore()
      directory.put(testTarget('t1'), true)
      clock.tick(3600)
      directory.remove('t1')
      clock.tick(10_000)
    },
    usable: ['t2']
  },
  {
    name: 'removed, and the restored copy that contains its entry is three seconds old',
    act: (directory, clock) => { directory.remove('t1'); directory.startRestore(); directory.put(testTarget('t1'), true); clock.tick(3000) },
    usable: ['t2']
  },
  {
    name: 'removed, and written again after a restore',
    act: directory => { directory.remove('t1'); directory.startRestore(); directory.put(testTarget('t1'), true); directory.put(testTarget('t1')) },
    usable: ['t1', 't2']
  },
  {
    name: 'removed, in a restored copy, and still listed when the store would have removed it',
    act: (directory, clock) => { directory.remove('t1'); directory.startRestore(); directory.put(testTarget('t1'), true); clock.tick(6001) },
    usable: ['t1', 't2']
  },
  {
    name: 'all are missing from a restored copy',
    act: (directory, clock) => { directory.startRestore(); directory.removeUnlisted(new Set()); clock.tick(1900) },
    usable: ['t1', 't2']
  },
  {
    name: 'all are missing from a restored copy and one writes its entry again',
    act: (directory, clock) => {
      directory.startRestore()
      directory.removeUnlisted(new Set())
      clock.tick(1900)
      directory.put(testTarget('t2'))
      clock.tick(200)
    },
    usable: ['t2']
  },
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

const RESTORED_LAYERS: Array<{ name: string, entry: Parameters<typeof testTarget>, isFromRestoredCopy: boolean, from: number }> = [
  { name: 'an older entry of a restored copy', entry: ['t3', { from: 0, to: 10 }, { ordersAccepted: 1 }], isFromRestoredCopy: true, from: 10 },
  { name: 'the same entry of a restored copy', entry: ['t3', { from: 10, to: 20 }, { ordersAccepted: 2 }], isFromRestoredCopy: true, from: 10 },
  { name: 'a newer entry of a restored copy', entry: ['t3', { from: 20, to: 30 }, { ordersAccepted: 3 }], isFromRestoredCopy: true, from: 20 },
  { name: 'an earlier incarnation in a restored copy', entry: ['t3', { from: 0, to: 10 }, { bornAtMilliseconds: 4 }], isFromRestoredCopy: true, from: 10 },
  { name: 'a later incarnation in a restored copy', entry: ['t3', { from: 0, to: 10 }, { bornAtMilliseconds: 6 }], isFromRestoredCopy: true, from: 0 },
  { name: 'an entry that the target has written', entry: ['t3', { from: 0, to: 10 }, { ordersAccepted: 1 }], isFromRestoredCopy: false, from: 0 }
]
for (const { name, entry: [id, layers, options], isFromRestoredCopy, from } of RESTORED_LAYERS) {
  directories(`${name}: the layers in use begin at ${from}`, () => {
    const directory = createFilledDirectory()
    directory.put(testTarget('t3', { from: 10, to: 20 }, { bornAtMilliseconds: 5, ordersAccepted: 2 }))
    directory.put(testTarget(id, layers, { bornAtMilliseconds: 5, ...options }), isFromRestoredCopy)
    assert.is(directory.find('t3')?.layers?.from, from)
  })
}

directories('after a restore peers hear of targets that have left, although they are no longer listed', () => {
  const clock = install({ toFake: ['Date', 'performance', 'setTimeout'] })
  const directory = createFilledDirectory()
  directory.put(testTarget('t1', undefined, { isLeaving: true }))
  directory.remove('t1')
  assert.equal(directory.leavingIncarnations(), [])
  directory.startRestore()
  assert.equal(directory.leavingIncarnations(), ['t1@1'])
  clock.tick(16_000)
  assert.equal(directory.leavingIncarnations(), [])
  clock.uninstall()
})

directories('a target that asked for a pause stays usable as a later stage, and its restart ends the pause', () => {
  const clock = install({ toFake: ['Date', 'performance', 'setTimeout'] })
  const directory = createFilledDirectory()
  directory.pause('t1@1', 1000)
  directory.pause('t1@1', 300)
  clock.tick(400)
  assert.is(directory.pauseRemaining('t1@1'), 600)
  assert.equal(directory.usable('model').map(({ id }) => id), ['t1', 't2'])
  directory.put(testTarget('t1', undefined, { bornAtMilliseconds: 2 }))
  assert.is(directory.pauseRemaining('t1@2'), 0)
  clock.uninstall()
})

/** Guards against requests that reach a target within its pause, because its entry was away for a moment. */
const PAUSE_CASES: Array<{ name: string, happens: (directory: Directory) => void, isPaused: boolean }> = [
  {
    name: 'its entry lapses and is back',
    happens (directory) {
      directory.remove('t1')
      directory.put(testTarget('t1'))
    },
    isPaused: true
  },
  { name: 'its entry lapses, and it serves on', happens: directory => directory.remove('t1'), isPaused: true },
  {
    name: 'its entry is missing in a listing and back in the next one',
    happens (directory) {
      directory.removeUnlisted(new Set(['t2']))
      directory.put(testTarget('t1'))
    },
    isPaused: true
  },
  {
    name: 'the store returns from an older copy',
    happens (directory) {
      directory.startRestore()
      directory.put(testTarget('t1'), true)
    },
    isPaused: true
  },
  {
    name: 'an entry of an earlier incarnation is listed for a moment',
    happens (directory) {
      directory.put(testTarget('t1', undefined, { bornAtMilliseconds: 0 }))
      directory.put(testTarget('t1'))
    },
    isPaused: true
  },
  { name: 'a later incarnation is listed', happens: directory => directory.put(testTarget('t1', undefined, { bornAtMilliseconds: 2 })), isPaused: false }
]
for (const { name, happens, isPaused } of PAUSE_CASES) {
  directories(`a target has asked for a pause, and ${name}: the pause ${isPaused ? 'holds' : 'has ended'}`, () => {
    const clock = install({ toFake: ['Date', 'performance', 'setTimeout'] })
    try {
      const directory = createFilledDirectory()
      directory.pause('t1@1', 40_000)
      clock.tick(1000)
      happens(directory)
      assert.is(directory.pauseRemaining('t1@1'), isPaused ? 39_000 : 0)
      clock.tick(39_000)
      assert.is(directory.pauseRemaining('t1@1'), 0)
    } finally {
      clock.uninstall()
    }
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
