/**
 * Property test of the configuration state: whatever the clocks, the store and the peers do, no API key is accepted for longer than the
 * revocation bound, and the version never decreases.
 */
import fc from 'fast-check'
import { install, type Clock } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SILENT_RELAY_LOG, ageOf, createConfigurationState, presentInstant, type ConfigurationState, type Instant } from '@wigeonlead/relay'
import { testConfiguration } from '../test-configuration.js'

const REVOKE_MILLISECONDS = 5000
const RUNS = 1000
const SEED = 20261204

/** Events of the simulation; times are in milliseconds. */
const EVENT = fc.oneof(
  fc.record({ kind: fc.constant('pass' as const), milliseconds: fc.integer({ min: 1, max: 3000 }) }),
  fc.record({ kind: fc.constant('suspend' as const), milliseconds: fc.integer({ min: 1, max: 9000 }) }),
  fc.record({ kind: fc.constant('step' as const), milliseconds: fc.integer({ min: -4000, max: 4000 }) }),
  fc.record({ kind: fc.constant('publish' as const) }),
  fc.record({ kind: fc.constant('poll' as const), delay: fc.integer({ min: 0, max: 2500 }), isLost: fc.boolean() }),
  fc.record({ kind: fc.constant('peer' as const), versionsBack: fc.integer({ min: 0, max: 3 }), age: fc.integer({ min: 0, max: 6000 }) })
)

interface World {
  clock: Clock
  /** True time since the start, milliseconds. No clock of the process shows it. */
  trueTime: number
  /** True time at which the store acknowledged each version, by version number, milliseconds. */
  acknowledgedAt: number[]
  configurationState: ConfigurationState
  /** Sum of all jumps of the wall clock relative to the monotonic clock since the start, milliseconds. */
  clockOffset: number
  /** `clockOffset` at the moment of the latest confirmation. */
  clockOffsetAtConfirmation: number
}

function makeConfigurationState (): ConfigurationState {
  return createConfigurationState({
    decode: text => testConfiguration(Number(text)), log: SILENT_RELAY_LOG, revokeMilliseconds: REVOKE_MILLISECONDS
  })
}

function advanceTime (world: World, milliseconds: number): void {
  world.clock.tick(milliseconds)
  world.trueTime += milliseconds
}

/** Suspends the VM: the monotonic clock stops, while the wall clock runs on. */
function suspend (world: World, milliseconds: number): void {
  stepWallClock(world, milliseconds)
  world.trueTime += milliseconds
}

function stepWallClock (world: World, milliseconds: number): void {
  world.clock.setSystemTime(Date.now() + milliseconds)
  world.clockOffset += milliseconds
}

/** If a suspension and a backward step of the wall clock differ by at most this, milliseconds, neither clock shows the suspension. */
const MAX_HIDDEN_MILLISECONDS = 50

/** @returns how long ago the next newer version than the one in use was acknowledged, in true milliseconds; 0 if there is none. */
function staleness (world: World): number {
  const version = world.configurationState.current()!.configuration.version
  const newerAcknowledgedAt = world.acknowledgedAt[version + 1]
  return newerAcknowledgedAt === undefined ? 0 : world.trueTime - newerAcknowledgedAt
}

const properties = suite('configuration state')

properties('no API key is accepted for longer than the bound after a newer version was acknowledged', () => {
  fc.assert(fc.property(fc.array(EVENT, { maxLength: 40 }), events => {
    const clock = install({ toFake: ['Date', 'performance', 'setTimeout'] })
    try {
      const world: World = {
        clock, trueTime: 0, acknowledgedAt: [0], configurationState: makeConfigurationState(), clockOffset: 0, clockOffsetAtConfirmation: 0
      }
      world.configurationState.adopt('0', 'store')
      world.configurationState.confirm(presentInstant(), 0)
      let highestVersion = 0
      let trueTimeOfConfirmation = 0
      let monotonicTimeOfConfirmation = performance.now()
      for (const event of events) {
        if (event.kind === 'pass') advanceTime(world, event.milliseconds)
        if (event.kind === 'suspend') suspend(world, event.milliseconds)
        if (event.kind === 'step') stepWallClock(world, event.milliseconds)
        if (event.kind === 'publish') world.acknowledgedAt.push(world.trueTime)
        if (event.kind === 'poll') {
          const sentAt: Instant = presentInstant()
          const newest = world.acknowledgedAt.length - 1
          advanceTime(world, event.delay)
          if (!event.isLost) {
            world.configurationState.adopt(String(newest), 'store')
            world.configurationState.confirm(sentAt, newest)
            world.clockOffsetAtConfirmation = world.clockOffset
            trueTimeOfConfirmation = world.trueTime - event.delay
            monotonicTimeOfConfirmation = sentAt.monotonic
          }
        }
        if (event.kind === 'peer') {
          const version = Math.max(0, world.acknowledgedAt.length - 1 - event.versionsBack)
          world.configurationState.adopt(String(version), 'peer')
        }
        const { version } = world.configurationState.current()!.configuration
        assert.ok(version >= highestVersion)
        highestVersion = version
        const suspended = world.trueTime - trueTimeOfConfirmation - (performance.now() - monotonicTimeOfConfirmation)
        const isHidden = suspended > 0 && Math.abs(world.clockOffset - world.clockOffsetAtConfirmation) <= MAX_HIDDEN_MILLISECONDS
        if (!isHidden && world.configurationState.areKeysFresh()) assert.ok(staleness(world) < REVOKE_MILLISECONDS)
      }
    } finally {
      clock.uninstall()
    }
  }), { numRuns: RUNS, seed: SEED })
})

/** If one clock jumps relative to the other, the elapsed time is unknown, and the age is infinite. */
const AGE_CASES: Array<{ name: string, act: (clock: Clock) => void, age: number }> = [
  { name: 'time passes', act: clock => { clock.tick(700) }, age: 700 },
  { name: 'the wall clock is slewed forward', act: clock => { clock.tick(700); clock.setSystemTime(Date.now() + 20) }, age: 720 },
  { name: 'the wall clock is slewed back', act: clock => { clock.tick(700); clock.setSystemTime(Date.now() - 20) }, age: 700 },
  { name: 'the VM is suspended', act: clock => { clock.setSystemTime(Date.now() + 4000) }, age: Infinity },
  { name: 'the wall clock steps back', act: clock => { clock.tick(700); clock.setSystemTime(Date.now() - 5000) }, age: Infinity },
  { name: 'the wall clock steps forward', act: clock => { clock.setSystemTime(Date.now() + 2400); clock.tick(100) }, age: Infinity },
  {
    name: 'the VM is suspended and the wall clock steps back by less',
    act: clock => { clock.setSystemTime(Date.now() + 6000 - 2000) },
    age: Infinity
  }
]

for (const { name, act, age } of AGE_CASES) {
  properties(`age when ${name}`, () => {
    const clock = install({ toFake: ['Date', 'performance', 'setTimeout'] })
    const instant = presentInstant()
    act(clock)
    assert.is(Math.round(ageOf(instant)), age)
    clock.uninstall()
  })
}

properties('a confirmation of another version is ignored', () => {
  const configurationState = makeConfigurationState()
  configurationState.adopt('4', 'store')
  configurationState.confirm(presentInstant(), 5)
  assert.is(configurationState.age(), Infinity)
  configurationState.confirm(presentInstant(), 4)
  assert.ok(configurationState.areKeysFresh())
})

/**
 * A store that returned from an older copy shows an older version than it had acknowledged. Times are milliseconds before the end.
 */
const RESTORE_CASES: Array<{ name: string, confirmed: number, heldByPeer: number, areFresh: boolean }> = [
  { name: 'the peer has had the newer version since before the confirmation', confirmed: 500, heldByPeer: 800, areFresh: false },
  { name: 'the peer adopted the newer version after the confirmation', confirmed: 500, heldByPeer: 200, areFresh: true }
]
for (const { name, confirmed, heldByPeer, areFresh } of RESTORE_CASES) {
  properties(`${name}: keys are ${areFresh ? 'still' : 'no longer'} accepted`, () => {
    const clock = install({ toFake: ['Date', 'performance', 'setTimeout'] })
    const configurationState = makeConfigurationState()
    let behind = 0
    configurationState.onBehind(() => { behind += 1 })
    clock.tick(10_000)
    configurationState.adopt('4', 'store')
    configurationState.confirm(presentInstant(), 4)
    clock.tick(confirmed)
    configurationState.learn(5, heldByPeer, 'peer')
    assert.is(configurationState.areKeysFresh(), areFresh)
    assert.is(behind, areFresh ? 0 : 1)
    configurationState.confirm(presentInstant(), 4)
    clock.tick(5000 - confirmed)
    assert.not(configurationState.areKeysFresh(), 'a version that a peer has replaced is confirmed no more')
    configurationState.adopt('5', 'peer')
    configurationState.confirm(presentInstant(), 5)
    assert.ok(configurationState.areKeysFresh())
    clock.uninstall()
  })
}

/**
 * Guards against routes and keys that are handled by an old version although peers have told a newer one. Each step is a version of a peer
 * and for how long the peer has had it, or a version that arrives, in milliseconds after the start.
 */
const SUPERSEDED_CASES: Array<{
  name: string
  learnt: Array<{ at: number, version: number, held: number }>
  adopted?: { at: number, version: number }
  checkedAt: number
  isSuperseded: boolean
}> = [
  { name: 'peers have had a newer version for a second', learnt: [{ at: 500, version: 5, held: 300 }], checkedAt: 1200, isSuperseded: false },
  { name: 'peers have had a newer version for two seconds', learnt: [{ at: 500, version: 5, held: 300 }], checkedAt: 2300, isSuperseded: true },
  { name: 'the newer version was two seconds old when a peer told it', learnt: [{ at: 100, version: 5, held: 2000 }], checkedAt: 100, isSuperseded: true },
  { name: 'peers had the same version', learnt: [{ at: 100, version: 4, held: 9000 }], checkedAt: 3000, isSuperseded: false },
  { name: 'the newer version has arrived', learnt: [{ at: 500, version: 5, held: 300 }], adopted: { at: 1000, version: 5 }, checkedAt: 4000, isSuperseded: false },
  {
    name: 'versions follow each other, and the present one is the last but one, which has just been replaced',
    learnt: [{ at: 200, version: 5, held: 0 }, { at: 2800, version: 6, held: 0 }],
    adopted: { at: 2500, version: 5 },
    checkedAt: 3000,
    isSuperseded: false
  },
  {
    name: 'versions follow each other, and the first that is lacking is old',
    learnt: [{ at: 200, version: 5, held: 0 }, { at: 600, version: 6, held: 0 }, { at: 2900, version: 7, held: 0 }],
    adopted: { at: 700, version: 5 },
    checkedAt: 3000,
    isSuperseded: true
  }
]
for (const { name, learnt, adopted, checkedAt, isSuperseded } of SUPERSEDED_CASES) {
  properties(`${name}: requests are ${isSuperseded ? 'no longer' : 'still'} handled`, () => {
    const clock = install({ toFake: ['Date', 'performance', 'setTimeout'] })
    const configurationState = makeConfigurationState()
    configurationState.adopt('4', 'store')
    for (const { at, version, held } of learnt) setTimeout(() => configurationState.learn(version, held, 'peer'), at)
    if (adopted !== undefined) setTimeout(() => configurationState.adopt(String(adopted.version), 'store'), adopted.at)
    clock.tick(checkedAt - 1)
    configurationState.confirm(presentInstant(), configurationState.current()!.configuration.version)
    clock.tick(1)
    assert.is(configurationState.isSuperseded(), isSuperseded)
    if (isSuperseded) assert.not(configurationState.areKeysFresh())
    clock.uninstall()
  })
}

properties('a store that shows no valid configuration confirms nothing', () => {
  const configurationState = makeConfigurationState()
  configurationState.adopt('4', 'store')
  configurationState.confirm(presentInstant(), undefined)
  assert.is(configurationState.age(), Infinity)
})

properties('a text that is not a valid configuration is ignored', () => {
  const configurationState = createConfigurationState({
    decode: text => { if (text === 'bad') throw new Error('bad'); return testConfiguration(1) }, log: SILENT_RELAY_LOG, revokeMilliseconds: 5000
  })
  configurationState.adopt('good', 'store')
  configurationState.adopt('bad', 'store')
  assert.is(configurationState.current()?.configuration.version, 1)
})

properties.run()
