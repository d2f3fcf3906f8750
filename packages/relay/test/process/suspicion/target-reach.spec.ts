/**
 * Guards against a VM that takes its own loss of the network for the loss of targets, and against one that takes the loss of some targets
 * for its own. Each case is a pattern of targets that answer, on a paused clock.
 */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SILENT_RELAY_LOG, createDirectory, createTargetReach, incarnationOf, type Directory, type Target, type TargetReach } from '@wigeonlead/relay'
import { createSeededRandom } from 'wigeonlead'
import { testTarget } from '../../test-engine.js'

interface Vm {
  reach: TargetReach
  directory: Directory
  targets: Target[]
  /** Ids of the targets that answer this VM. */
  answering: Set<string>
  /** Number of targets that were tried. */
  tries: () => number
  changes: boolean[]
}

const DOMAINS = ['east', 'north', 'west']

/** Creates a VM in the failure domain `east`, and targets in all three. */
function createVm (targetCount: number, seed: number, signal: AbortSignal): Vm {
  const directory = createDirectory(SILENT_RELAY_LOG, 'east')
  const targets = Array.from({ length: targetCount }, (_, index) => testTarget(`t${index}`, { from: 0, to: 80 }, {
    failureDomain: DOMAINS[index % DOMAINS.length]!
  }))
  for (const target of targets) directory.put(target)
  const answering = new Set(targets.map(({ id }) => id))
  const random = createSeededRandom(seed)
  const changes: boolean[] = []
  let tries = 0
  const engines = {
    async isAnswering (target: Target) {
      assert.is(directory.pauseRemaining(incarnationOf(target)), 0, 'a paused target is not tried')
      tries += 1
      return answering.has(target.id)
    }
  }
  const reach = createTargetReach({
    ownFailureDomain: 'east', directory, engines, log: SILENT_RELAY_LOG, signal, nextFloat: () => random.nextFloat()
  })
  reach.onChange((_service, isCutOff) => { changes.push(isCutOff) })
  return { reach, directory, targets, answering, tries: () => tries, changes }
}

/** A pattern of targets that do not answer. */
interface Case {
  name: string
  targets: number
  /** Whether the target of this number and failure domain answers. */
  answers: (index: number, failureDomain: string) => boolean
  isCutOff: boolean
  /** Of a hundred VMs with other random choices, how many at most may decide otherwise. */
  maximumErrors?: number
}

const CASES: Case[] = [
  { name: 'one target of 33 has ended', targets: 33, answers: index => index > 0, isCutOff: false },
  { name: 'its own failure domain has ended', targets: 33, answers: (_, domain) => domain !== 'east', isCutOff: false },
  { name: 'another failure domain has ended', targets: 33, answers: (_, domain) => domain !== 'west', isCutOff: false },
  { name: 'its failure domain is cut off from the others', targets: 33, answers: (_, domain) => domain === 'east', isCutOff: false },
  { name: 'every third target has ended', targets: 33, answers: index => index % 9 > 2, isCutOff: false, maximumErrors: 5 },
  { name: 'no target of 33 answers', targets: 33, answers: () => false, isCutOff: true },
  { name: 'one target of 33 still answers', targets: 33, answers: index => index === 7, isCutOff: true, maximumErrors: 15 },
  { name: 'two of three targets have ended', targets: 3, answers: index => index === 2, isCutOff: false },
  { name: 'no target of three answers', targets: 3, answers: () => false, isCutOff: true },
  { name: 'the only target has ended', targets: 1, answers: () => false, isCutOff: false }
]

const reaches = suite('reach of targets')

for (const { name, targets: count, answers, isCutOff, maximumErrors = 0 } of CASES) {
  reaches(`${name}: the VM is ${isCutOff ? '' : 'not '}cut off`, async () => {
    let errors = 0
    for (let seed = 0; seed < 100; seed++) {
      const stopped = new AbortController()
      const { reach, targets, answering } = createVm(count, seed, stopped.signal)
      for (const [index, { id, failureDomain }] of targets.entries()) if (!answers(index, failureDomain)) answering.delete(id)
      const unreachable = targets.find(({ id }) => !answering.has(id))!
      if (await reach.check(unreachable) !== isCutOff) errors += 1
      stopped.abort()
    }
    assert.ok(errors <= maximumErrors, `${errors} of 100 decided otherwise`)
  })
}

/** Guards against a VM that is cut off and takes targets for reached that had asked for a pause before. */
for (const { name, paused, isCutOff } of [
  { name: 'half of its targets', paused: (index: number) => index % 2 === 1, isCutOff: true },
  { name: 'all but three of its targets', paused: (index: number) => index > 2, isCutOff: true },
  // Nothing can be tried, so nothing is learnt.
  { name: 'all others', paused: (index: number) => index > 0, isCutOff: false }
]) {
  reaches(`no target of 33 answers, and ${name} had asked for a pause: the VM is ${isCutOff ? '' : 'not '}cut off`, async () => {
    const stopped = new AbortController()
    const { reach, directory, targets, answering } = createVm(33, 1, stopped.signal)
    answering.clear()
    for (const [index, target] of targets.entries()) if (paused(index)) directory.pause(incarnationOf(target), 60_000)
    assert.is(await reach.check(targets[0]!), isCutOff)
    stopped.abort()
  })
}

/** Guards against a service that stays cut off for good, because it has no target left to try. */
reaches('the entries of all lost targets lapse: the VM is not cut off from a service without targets', async () => {
  const clock = install({ toFake: ['performance', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'] })
  const stopped = new AbortController()
  try {
    const { reach, directory, targets, answering } = createVm(3, 1, stopped.signal)
    answering.clear()
    assert.ok(await reach.check(targets[0]!))
    for (const { id } of targets) directory.remove(id)
    await clock.tickAsync(2000)
    assert.equal(reach.cutOffServices(), [])
  } finally {
    stopped.abort()
    clock.uninstall()
  }
})

reaches('a VM loses all targets but one, one after the other: whatever the first check found, it reports none', async () => {
  const clock = install({ toFake: ['setInterval', 'clearInterval', 'setTimeout', 'clearTimeout', 'performance', 'Date'] })
  for (let seed = 0; seed < 100; seed++) {
    const stopped = new AbortController()
    const { reach, directory, targets, answering } = createVm(33, seed, stopped.signal)
    answering.clear()
    answering.add('t32')
    for (const target of targets.slice(0, 20)) {
      directory.suspect(target, 60_000, 'unreachable', { isLoss: true })
      await clock.tickAsync(1)
    }
    assert.ok(!reach.mayReport('model'), `seed ${seed}`)
    stopped.abort()
  }
  clock.uninstall()
})

reaches('a VM whose failure domain is cut off from the others tells its peers there of the losses', async () => {
  const clock = install({ toFake: ['setInterval', 'clearInterval', 'setTimeout', 'clearTimeout', 'performance', 'Date'] })
  const stopped = new AbortController()
  const { reach, directory, targets, answering } = createVm(33, 1, stopped.signal)
  for (const { id, failureDomain } of targets) if (failureDomain !== 'east') answering.delete(id)
  for (const target of targets.filter(({ id }) => !answering.has(id))) directory.suspect(target, 60_000, 'unreachable', { isLoss: true })
  await clock.tickAsync(10)
  assert.not(reach.isCutOff('model'))
  assert.ok(reach.mayReport('model'))
  stopped.abort()
  clock.uninstall()
})

reaches('a loss where others answer costs one try, and several losses at once share it', async () => {
  const stopped = new AbortController()
  const { reach, targets, tries } = createVm(33, 1, stopped.signal)
  const checks = targets.slice(0, 5).map(async target => await reach.check(target))
  assert.not(reach.mayReport('model'))
  assert.equal(await Promise.all(checks), [false, false, false, false, false])
  assert.ok(reach.mayReport('model'))
  assert.is(tries(), 1)
  stopped.abort()
})

reaches('a VM that is cut off tries one target now and then, reaches them again within a second, and drops its own suspicions', async () => {
  const clock = install({ toFake: ['setInterval', 'clearInterval', 'setTimeout', 'clearTimeout', 'performance', 'Date'] })
  const stopped = new AbortController()
  const { reach, directory, targets, answering, tries, changes } = createVm(33, 1, stopped.signal)
  answering.clear()
  directory.suspect(targets[0]!, 60_000, 'unreachable', { isLoss: true })
  await clock.tickAsync(10)
  assert.ok(reach.isCutOff('model'))
  assert.not(reach.mayReport('model'))
  const triesBefore = tries()
  await clock.tickAsync(3000)
  assert.ok(tries() - triesBefore <= 10, `${tries() - triesBefore} tries in 3 s`)
  for (const { id } of targets) answering.add(id)
  await clock.tickAsync(1000)
  assert.not(reach.isCutOff('model'))
  assert.ok(directory.isUsable(targets[0]!))
  assert.equal(changes, [true, false])
  stopped.abort()
  clock.uninstall()
})

reaches.run()
