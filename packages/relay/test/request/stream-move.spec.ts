/**
 * Moves of streams off a stage: while it is leaving and its replacement still loads, after it was lost, and when it is lost while leaving.
 */
import { install, type Clock } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  SILENT_RELAY_LOG, createDirectory, createLoad, createPathFinder, incarnationOf, type Directory, type EngineClient, type PathStage
} from '@wigeonlead/relay'
import type { AdmittedRequest, RequestDependencies } from '../../src/request/context.js'
import { createStreamMover, type StreamMover } from '../../src/request/stream-move.js'
import { testConfiguration, testRoute } from '../test-configuration.js'
import { testTarget } from '../test-engine.js'

const REMOTE = { failureDomain: 'west' }
const LOCAL_STAGES = [testTarget('n1', { from: 0, to: 30 }), testTarget('n2', { from: 30, to: 60 }), testTarget('n3', { from: 60, to: 80 })]
const REMOTE_SPARE = testTarget('f2', { from: 30, to: 60 }, REMOTE)

interface Fixture {
  clock: Clock
  directory: Directory
  mover: StreamMover
  /** Ordered moves: the monotonic time in milliseconds, and the ids of the new path's targets, separated by commas. */
  moves: Array<{ at: number, targets: string }>
}

/** @param nextFloat position of the stream's move among those off a leaving stage, 0 to 1. */
async function withFixture (act: (fixture: Fixture) => Promise<void>, nextFloat = 0): Promise<void> {
  const clock = install({ toFake: ['performance', 'Date', 'setTimeout', 'clearTimeout'] })
  const directory = createDirectory(SILENT_RELAY_LOG, 'east')
  for (const target of [...LOCAL_STAGES, REMOTE_SPARE]) directory.put(target)
  const load = createLoad()
  const paths = createPathFinder(directory, load, () => 0.5)
  const moves: Fixture['moves'] = []
  const engines = {
    async moveRequest (_first: unknown, _id: string, stages: readonly PathStage[]) {
      moves.push({ at: performance.now(), targets: stages.map(({ targetId }) => targetId).join() })
      return { isAccepted: true, status: 200, isUnknown: false }
    }
  } as unknown as EngineClient
  const { services } = testConfiguration(1)
  const request = {
    requestId: 'r1',
    exchange: { isHandedOver: false },
    terms: { promptTokens: 10, maximumAnswerTokens: 10 },
    route: testRoute('write'),
    service: services.get('model')!,
    version: 1
  } as unknown as AdmittedRequest
  const dependencies = {
    paths, engines, load, directory, log: SILENT_RELAY_LOG, configurationState: { age: () => 0 }, nextFloat: () => nextFloat
  } as unknown as RequestDependencies
  const path = paths.find({ service: request.service, failureDomain: 'east', tokens: 10 })!
  assert.equal(path.stages.map(({ targetId }) => targetId), ['n1', 'n2', 'n3'])
  const mover = createStreamMover(request, dependencies, path, LOCAL_STAGES[0]!, () => {})
  try {
    await act({ clock, directory, mover, moves })
  } finally {
    mover.end()
    clock.uninstall()
  }
}

const streamMoves = suite('moves of streams')

streamMoves('a stage is lost after the first stage, which still runs, has left the list: the stream is moved all the same', async () => {
  await withFixture(async ({ clock, directory, mover, moves }) => {
    directory.remove('n1')
    directory.remove('n2')
    mover.onStageLost(LOCAL_STAGES[1]!, false)
    await clock.tickAsync(1000)
    assert.is(moves[0]?.targets, 'n1,f2,n3')
  })
})

streamMoves('a leaving stage: the stream waits for a replacement in the same failure domain, then moves there', async () => {
  await withFixture(async ({ clock, directory, mover, moves }) => {
    const leaving = { ...LOCAL_STAGES[1]!, isLeaving: true }
    directory.put(leaving)
    mover.onStageLost(leaving, true)
    await clock.tickAsync(900)
    assert.equal(moves, [])
    directory.put(testTarget('n4', { from: 30, to: 60 }))
    await clock.tickAsync(200)
    assert.equal(moves.map(({ targets }) => targets), ['n1,n4,n3'])
    assert.ok(mover.incarnations().includes(incarnationOf(testTarget('n4'))))
  })
})

streamMoves('a leaving stage without a local replacement: the stream moves to another failure domain before the stage ends', async () => {
  await withFixture(async ({ clock, directory, mover, moves }) => {
    const leaving = { ...LOCAL_STAGES[1]!, isLeaving: true }
    directory.put(leaving)
    mover.onStageLost(leaving, true)
    await clock.tickAsync(1900)
    assert.equal(moves.map(({ targets }) => targets), ['n1,f2,n3'])
    assert.ok(moves[0]!.at < 2000)
  })
})

streamMoves('a lost stage: the stream moves to another failure domain at once', async () => {
  await withFixture(async ({ clock, directory, mover, moves }) => {
    directory.suspect(LOCAL_STAGES[1]!, 4000, 'test', { isLoss: true })
    mover.onStageLost(LOCAL_STAGES[1]!, false)
    await clock.tickAsync(10)
    assert.equal(moves.map(({ targets }) => targets), ['n1,f2,n3'])
  })
})

streamMoves('a leaving stage that is lost: the stream moves without waiting any longer for a local replacement', async () => {
  await withFixture(async ({ clock, directory, mover, moves }) => {
    const leaving = { ...LOCAL_STAGES[1]!, isLeaving: true }
    directory.put(leaving)
    mover.onStageLost(leaving, true)
    await clock.tickAsync(600)
    mover.onStageLost(leaving, false)
    await clock.tickAsync(100)
    assert.is(moves.length, 1)
  })
})

streamMoves('reports lag: one that names the stage that the stream has just left does not move it again', async () => {
  await withFixture(async ({ clock, directory, mover, moves }) => {
    directory.suspect(LOCAL_STAGES[1]!, 4000, 'test', { isLoss: true })
    mover.onStageLost(LOCAL_STAGES[1]!, false)
    await clock.tickAsync(150)
    mover.onStageLost(LOCAL_STAGES[1]!, false)
    await clock.tickAsync(100)
    assert.is(moves.length, 1)
  })
})

streamMoves('the stage that takes over is verified while many streams move there: they stay', async () => {
  await withFixture(async ({ clock, directory, mover, moves }) => {
    directory.put(testTarget('n4', { from: 30, to: 60 }))
    directory.suspect(LOCAL_STAGES[1]!, 4000, 'test', { isLoss: true })
    mover.onStageLost(LOCAL_STAGES[1]!, false)
    directory.suspect(directory.find('n4')!, 400, 'streams stall at this target')
    await clock.tickAsync(300)
    assert.is(moves.length, 1)
  })
})

streamMoves('the stage that takes over is lost too: the stream moves on', async () => {
  await withFixture(async ({ clock, directory, mover, moves }) => {
    directory.put(testTarget('n4', { from: 30, to: 60 }))
    directory.suspect(LOCAL_STAGES[1]!, 4000, 'test', { isLoss: true })
    mover.onStageLost(LOCAL_STAGES[1]!, false)
    await clock.tickAsync(50)
    directory.suspect(directory.find('n4')!, 4000, 'test', { isLoss: true })
    mover.onStageLost(directory.find('n4')!, false)
    await clock.tickAsync(100)
    assert.equal(moves.map(({ targets }) => targets), ['n1,n4,n3', 'n1,f2,n3'])
  })
})

streamMoves('the stage that takes over, in another failure domain, is lost before the move is accepted: the stream moves on', async () => {
  await withFixture(async ({ clock, directory, mover, moves }) => {
    directory.suspect(LOCAL_STAGES[1]!, 4000, 'test', { isLoss: true })
    mover.onStageLost(LOCAL_STAGES[1]!, false)
    // Told from another failure domain than the target's, so that the target does not count as suspected lost.
    directory.suspect(REMOTE_SPARE, 4000, 'test', { isLoss: true })
    mover.onStageLost(REMOTE_SPARE, false)
    directory.put(testTarget('n4', { from: 30, to: 60 }))
    await clock.tickAsync(200)
    assert.equal(moves.map(({ targets }) => targets), ['n1,f2,n3', 'n1,n4,n3'])
  })
})

const DELAYS = [{ nextFloat: 0, earliest: 500, latest: 600 }, { nextFloat: 1, earliest: 1200, latest: 1300 }]
for (const { nextFloat, earliest, latest } of DELAYS) {
  streamMoves(`a stage with many streams leaves: the move at place ${nextFloat} comes after ${earliest} ms`, async () => {
    await withFixture(async ({ clock, directory, mover, moves }) => {
      directory.put(testTarget('n4', { from: 30, to: 60 }))
      const leaving = { ...LOCAL_STAGES[1]!, isLeaving: true }
      directory.put(leaving)
      mover.onStageLost(leaving, true)
      await clock.tickAsync(latest)
      assert.is(moves.length, 1)
      assert.ok(moves[0]!.at >= earliest)
    }, nextFloat)
  })
}

streamMoves('a leaving stage is lost before the move of a stream is due: the stream moves at once', async () => {
  await withFixture(async ({ clock, directory, mover, moves }) => {
    directory.put(testTarget('n4', { from: 30, to: 60 }))
    const leaving = { ...LOCAL_STAGES[1]!, isLeaving: true }
    directory.put(leaving)
    mover.onStageLost(leaving, true)
    await clock.tickAsync(100)
    mover.onStageLost(leaving, false)
    await clock.tickAsync(10)
    assert.is(moves.length, 1)
  }, 1)
})

streamMoves('a stream that has ended is not moved', async () => {
  await withFixture(async ({ clock, mover, moves }) => {
    mover.end()
    mover.onStageLost(LOCAL_STAGES[1]!, false)
    await clock.tickAsync(100)
    assert.equal(moves, [])
  })
})

streamMoves.run()
