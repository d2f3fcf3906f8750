/**
 * Detection of stages that stall streams. Load patterns: a stage dies under many streams, one slow stream on a path with low load, a
 * network cut between failure domains, a leaving stage.
 */
import { install, type Clock } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  SILENT_RELAY_LOG, createDirectory, createLoad, createPathFinder, createStreamWatch, incarnationOf, type Directory, type EngineClient,
  type Target, type TargetReport, type WatchedRun
} from '@wigeonlead/relay'
import { testTarget } from '../test-engine.js'

const TARGETS = [testTarget('t1', { from: 0, to: 30 }), testTarget('t2', { from: 30, to: 60 }), testTarget('t3', { from: 60, to: 80 })]

interface World {
  clock: Clock
  directory: Directory
  /** Ids of targets that send no report. */
  unresponsive: Set<string>
  /** Ids of targets that accept connections but send their reports too late. */
  slow: Set<string>
  stalled: TargetReport['stalled']
  usualEventInterval: number
  polled: string[]
  calls: string[]
  add: (count: number, lastProgress: (index: number) => number, first?: Target) => void
}

function report (stalled: TargetReport['stalled']): TargetReport {
  return { ordersAccepted: 0, isBusyWithOrder: false, slowness: 1, stalled, bornAtMilliseconds: 1, tokensUsed: 0, tokensTotal: 1 }
}

async function inWorld (act: (world: World) => Promise<void>): Promise<void> {
  const clock = install({ toFake: ['performance', 'Date', 'setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'] })
  const stop = new AbortController()
  const directory = createDirectory(SILENT_RELAY_LOG, 'east')
  for (const target of TARGETS) directory.put(target)
  const world: World = {
    clock,
    directory,
    unresponsive: new Set(),
    slow: new Set(),
    stalled: [],
    usualEventInterval: 25,
    polled: [],
    calls: [],
    add: () => {}
  }
  const engines = {
    async report (target: Target, limit: number) {
      world.polled.push(target.id)
      if (!world.unresponsive.has(target.id)) return report(world.stalled)
      await new Promise(resolve => { setTimeout(resolve, limit) })
    },
    isReachable: async (target: Target) => world.slow.has(target.id)
  } as unknown as EngineClient
  const watch = createStreamWatch(directory, engines, createPathFinder(directory, createLoad(), () => 0.5), SILENT_RELAY_LOG, stop.signal)
  world.add = (count, lastProgress, first = TARGETS[0]!) => {
    for (let index = 0; index < count; index++) {
      const run: WatchedRun = {
        requestId: `r${index}`,
        first,
        incarnations: () => TARGETS.map(incarnationOf),
        lastProgressAt: () => lastProgress(index),
        expectedSilence: () => 120,
        usualEventInterval: () => world.usualEventInterval,
        hasStarted: () => true,
        onStageLost: (target, isLeaving) => world.calls.push(`r${index} off ${target.id}${isLeaving ? ' leaving' : ''}`),
        onFirstStageLost: () => world.calls.push(`r${index} off its first`)
      }
      watch.add(run)
    }
  }
  try {
    await act(world)
  } finally {
    stop.abort()
    clock.uninstall()
  }
}

const watch = suite('stream watch')

watch('a stage dies under many streams: all are moved within 160 ms', async () => {
  await inWorld(async world => {
    world.unresponsive.add('t2')
    world.add(5, () => 0)
    await world.clock.tickAsync(160)
    assert.equal(world.calls.sort(), ['r0 off t2', 'r1 off t2', 'r2 off t2', 'r3 off t2', 'r4 off t2'])
    assert.ok(world.directory.isSuspectedLost(TARGETS[1]!))
  })
})

watch('a first stage dies under many streams: all continue on another first stage', async () => {
  await inWorld(async world => {
    world.unresponsive.add('t1')
    world.add(4, () => 0)
    await world.clock.tickAsync(300)
    assert.ok(['r0', 'r1', 'r2', 'r3'].every(id => world.calls.includes(`${id} off its first`)))
  })
})

watch('overload: no stream leaves stages that answer late but are reachable', async () => {
  await inWorld(async world => {
    for (const { id } of TARGETS) {
      world.unresponsive.add(id)
      world.slow.add(id)
    }
    world.add(6, () => 0)
    await world.clock.tickAsync(1500)
    assert.equal(world.calls, [])
    assert.not(world.directory.isSuspectedLost(TARGETS[0]!))
  })
})

watch('a release: a leaving first stage that refuses connections keeps its streams', async () => {
  await inWorld(async world => {
    world.unresponsive.add('t1')
    world.directory.put({ ...TARGETS[0]!, isLeaving: true })
    world.add(6, () => 0)
    await world.clock.tickAsync(1500)
    assert.not(world.calls.some(line => line.includes('its first')))
  })
})

watch('low load: one stream pauses while the others advance; only its first stage is polled', async () => {
  await inWorld(async world => {
    world.add(5, index => index === 0 ? 0 : performance.now())
    await world.clock.tickAsync(400)
    assert.ok(world.polled.every(id => id === 't1'))
    assert.equal(world.calls, [])
  })
})

watch('a burst: all streams of a busy path are silent at the same time, which is usual there; no stage is polled', async () => {
  await inWorld(async world => {
    world.usualEventInterval = 45
    world.add(8, () => Math.floor(performance.now() / 100) * 100)
    await world.clock.tickAsync(2000)
    assert.equal(world.polled, [])
  })
})

watch('overload: a busy path is silent for seconds; its stages are healthy and are polled less and less often', async () => {
  await inWorld(async world => {
    world.add(6, () => 0)
    await world.clock.tickAsync(5000)
    const pollCount = (id: string): number => world.polled.filter(one => one === id).length
    assert.ok(pollCount('t1') <= 18, `the first stage was polled ${pollCount('t1')} times`)
    assert.ok(pollCount('t2') <= 5, `a stage was polled ${pollCount('t2')} times`)
    assert.equal(world.calls, [])
  })
})

watch('overload: a stage that dies after seconds of silence is detected within a second', async () => {
  await inWorld(async world => {
    world.add(6, () => 0)
    await world.clock.tickAsync(5000)
    world.stalled = [{ requestId: 'r1', address: TARGETS[1]!.address }]
    world.unresponsive.add('t2')
    await world.clock.tickAsync(1000)
    assert.ok(world.calls.includes('r1 off t2'))
    assert.ok(world.directory.isSuspectedLost(TARGETS[1]!))
  })
})

const CUTS: Array<{ name: string, firstDomain: string, isUnresponsive: boolean, isUsable: boolean }> = [
  { name: 'a local stage that a first stage in another failure domain cannot reach', firstDomain: 'west', isUnresponsive: false, isUsable: true },
  { name: 'a stage that a first stage in its own failure domain cannot reach', firstDomain: 'east', isUnresponsive: false, isUsable: false },
  { name: 'a stage that is gone, reported from another failure domain', firstDomain: 'west', isUnresponsive: true, isUsable: false }
]
for (const { name, firstDomain, isUnresponsive, isUsable } of CUTS) {
  watch(`a network cut between failure domains: ${name} ${isUsable ? 'takes' : 'takes no'} new work`, async () => {
    await inWorld(async world => {
      if (isUnresponsive) world.unresponsive.add('t2')
      world.stalled = [{ requestId: 'r0', address: TARGETS[1]!.address }]
      world.add(1, () => 0, { ...TARGETS[0]!, failureDomain: firstDomain })
      await world.clock.tickAsync(400)
      assert.ok(world.calls.includes('r0 off t2'))
      assert.is(world.directory.isUsable(TARGETS[1]!), isUsable)
    })
  })
}

watch('low load: streams that advance cause no poll', async () => {
  await inWorld(async world => {
    world.add(20, () => performance.now() - 30)
    await world.clock.tickAsync(2000)
    assert.equal(world.polled, [])
  })
})

watch('a network cut: the stage that the report names answers directly, so it is not suspected lost; its stream moves', async () => {
  await inWorld(async world => {
    world.stalled = [{ requestId: 'r0', address: TARGETS[2]!.address }]
    world.add(1, () => 0)
    await world.clock.tickAsync(200)
    assert.ok(world.calls.includes('r0 off t3'))
    assert.not(world.directory.isSuspectedLost(TARGETS[2]!))
    await world.clock.tickAsync(10)
    assert.not(world.directory.isUsable(TARGETS[2]!), 'it takes no new work for a moment')
  })
})

watch('a leaving stage: its streams are notified that it still completes its requests', async () => {
  await inWorld(async world => {
    world.add(2, () => performance.now())
    world.directory.put({ ...TARGETS[1]!, isLeaving: true })
    await world.clock.tickAsync(10)
    assert.equal(world.calls, ['r0 off t2 leaving', 'r1 off t2 leaving'])
  })
})

watch.run()
