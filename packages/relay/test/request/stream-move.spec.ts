/**
 * Moves of streams. Load patterns: a release (a stage leaves, its stand-in loads), a loss, a loss during a release.
 */
import { install, type Clock } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  SILENT_RELAY_LOG, createDirectory, createLoad, createPathFinder, lifeOf, type Directory, type EngineClient, type StageOfPath
} from '@wigeonlead/relay'
import type { AdmittedRequest, RequestParts } from '../../src/request/context.js'
import { createMover, type Mover } from '../../src/request/stream-move.js'
import { testConfiguration, testRoute } from '../test-configuration.js'
import { testTarget } from '../test-engine.js'

const FAR = { failureDomain: 'west' }
const NEAR = [testTarget('n1', { from: 0, to: 30 }), testTarget('n2', { from: 30, to: 60 }), testTarget('n3', { from: 60, to: 80 })]
const STAND_IN = testTarget('f2', { from: 30, to: 60 }, FAR)

interface World {
  clock: Clock
  directory: Directory
  mover: Mover
  /** Moves that were ordered: time and targets. */
  moves: Array<{ at: number, targets: string }>
}

async function inWorld (act: (world: World) => Promise<void>): Promise<void> {
  const clock = install({ toFake: ['performance', 'Date', 'setTimeout', 'clearTimeout'] })
  const directory = createDirectory(SILENT_RELAY_LOG, 'east')
  for (const target of [...NEAR, STAND_IN]) directory.put(target)
  const load = createLoad()
  const paths = createPathFinder(directory, load, () => 0.5)
  const moves: World['moves'] = []
  const engines = {
    async repath (_first: unknown, _id: string, stages: readonly StageOfPath[]) {
      moves.push({ at: performance.now(), targets: stages.map(({ targetId }) => targetId).join() })
      return { isTaken: true, status: 200, isUnknown: false }
    }
  } as unknown as EngineClient
  const { services } = testConfiguration(1)
  const request = {
    requestId: 'r1', terms: { promptTokens: 10, maximumAnswerTokens: 10 }, route: testRoute('write'), service: services.get('model')!, version: 1
  } as unknown as AdmittedRequest
  const parts = { paths, engines, load, directory, log: SILENT_RELAY_LOG, beliefs: { age: () => 0 } } as unknown as RequestParts
  const path = paths.find({ service: request.service, failureDomain: 'east', tokens: 10 })!
  assert.equal(path.stages.map(({ targetId }) => targetId), ['n1', 'n2', 'n3'])
  const mover = createMover(request, parts, path, () => {})
  try {
    await act({ clock, directory, mover, moves })
  } finally {
    mover.end()
    clock.uninstall()
  }
}

const moves = suite('moves of streams')

moves('a release: waits for the new card nearby, then moves there', async () => {
  await inWorld(async ({ clock, directory, mover, moves }) => {
    const leaving = { ...NEAR[1]!, isLeaving: true }
    directory.put(leaving)
    mover.onStageLost(leaving, true)
    await clock.tickAsync(900)
    assert.equal(moves, [])
    directory.put(testTarget('n4', { from: 30, to: 60 }))
    await clock.tickAsync(200)
    assert.equal(moves.map(({ targets }) => targets), ['n1,n4,n3'])
    assert.ok(mover.lives().includes(lifeOf(testTarget('n4'))))
  })
})

moves('a release whose new card does not come: crosses before the stage ends', async () => {
  await inWorld(async ({ clock, directory, mover, moves }) => {
    const leaving = { ...NEAR[1]!, isLeaving: true }
    directory.put(leaving)
    mover.onStageLost(leaving, true)
    await clock.tickAsync(1900)
    assert.equal(moves.map(({ targets }) => targets), ['n1,f2,n3'])
    assert.ok(moves[0]!.at < 2000)
  })
})

moves('a loss: crosses at once', async () => {
  await inWorld(async ({ clock, directory, mover, moves }) => {
    directory.suspect(NEAR[1]!, 4000, 'test', { isLoss: true })
    mover.onStageLost(NEAR[1]!, false)
    await clock.tickAsync(10)
    assert.equal(moves.map(({ targets }) => targets), ['n1,f2,n3'])
  })
})

moves('a loss during a release ends the patience', async () => {
  await inWorld(async ({ clock, directory, mover, moves }) => {
    const leaving = { ...NEAR[1]!, isLeaving: true }
    directory.put(leaving)
    mover.onStageLost(leaving, true)
    await clock.tickAsync(600)
    mover.onStageLost(leaving, false)
    await clock.tickAsync(100)
    assert.is(moves.length, 1)
  })
})

moves('a stream that has ended is not moved', async () => {
  await inWorld(async ({ clock, mover, moves }) => {
    mover.end()
    mover.onStageLost(NEAR[1]!, false)
    await clock.tickAsync(100)
    assert.equal(moves, [])
  })
})

moves.run()
