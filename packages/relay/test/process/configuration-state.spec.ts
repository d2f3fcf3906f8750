/**
 * Property test of the configuration state: whatever the clocks, the store and the peers do, no key is accepted past its bound and the
 * version never goes back.
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

/** Possible events; times are in milliseconds. */
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
  /** True milliseconds since the start. No clock of the process shows them. */
  trueTime: number
  /** True time at which each version was acknowledged. */
  published: number[]
  configurationState: ConfigurationState
  /** How much the wall clock has jumped relative to the monotonic clock since the start, milliseconds. */
  clockOffset: number
  /** `clockOffset` at the moment of the latest confirmation. */
  clockOffsetAtConfirmation: number
}

function makeConfigurationState (): ConfigurationState {
  return createConfigurationState({
    decode: text => testConfiguration(Number(text)), log: SILENT_RELAY_LOG, revokeMilliseconds: REVOKE_MILLISECONDS
  })
}

function pass (world: World, milliseconds: number): void {
  world.clock.tick(milliseconds)
  world.trueTime += milliseconds
}

/** Suspends the VM: the monotonic clock stops, the wall clock does not. */
function suspend (world: World, milliseconds: number): void {
  step(world, milliseconds)
  world.trueTime += milliseconds
}

function step (world: World, milliseconds: number): void {
  world.clock.setSystemTime(Date.now() + milliseconds)
  world.clockOffset += milliseconds
}

/** If a suspension and a backward step of the wall clock cancel each other to within this, neither clock shows them, milliseconds. */
const HIDDEN_MILLISECONDS = 50

/** @returns how long a newer version than the one in use has been acknowledged, in true milliseconds; 0 if there is none. */
function staleness (world: World): number {
  const version = world.configurationState.current()!.configuration.version
  const newer = world.published[version + 1]
  return newer === undefined ? 0 : world.trueTime - newer
}

const properties = suite('configuration state')

properties('no key is accepted for longer than the bound after a newer version was acknowledged', () => {
  fc.assert(fc.property(fc.array(EVENT, { maxLength: 40 }), events => {
    const clock = install({ toFake: ['Date', 'performance', 'setTimeout'] })
    try {
      const world: World = {
        clock, trueTime: 0, published: [0], configurationState: makeConfigurationState(), clockOffset: 0, clockOffsetAtConfirmation: 0
      }
      world.configurationState.adopt('0', 'store')
      world.configurationState.confirm(presentInstant())
      let highest = 0
      let trueTimeOfConfirmation = 0
      let monotonicTimeOfConfirmation = performance.now()
      for (const event of events) {
        if (event.kind === 'pass') pass(world, event.milliseconds)
        if (event.kind === 'suspend') suspend(world, event.milliseconds)
        if (event.kind === 'step') step(world, event.milliseconds)
        if (event.kind === 'publish') world.published.push(world.trueTime)
        if (event.kind === 'poll') {
          const sentAt: Instant = presentInstant()
          const newest = world.published.length - 1
          pass(world, event.delay)
          if (!event.isLost) {
            world.configurationState.adopt(String(newest), 'store')
            world.configurationState.confirm(sentAt)
            world.clockOffsetAtConfirmation = world.clockOffset
            trueTimeOfConfirmation = world.trueTime - event.delay
            monotonicTimeOfConfirmation = sentAt.monotonic
          }
        }
        if (event.kind === 'peer') {
          const version = Math.max(0, world.published.length - 1 - event.versionsBack)
          world.configurationState.adopt(String(version), 'peer')
        }
        const { version } = world.configurationState.current()!.configuration
        assert.ok(version >= highest)
        highest = version
        const suspended = world.trueTime - trueTimeOfConfirmation - (performance.now() - monotonicTimeOfConfirmation)
        const isHidden = suspended > 0 && Math.abs(world.clockOffset - world.clockOffsetAtConfirmation) <= HIDDEN_MILLISECONDS
        if (!isHidden && world.configurationState.areKeysFresh()) assert.ok(staleness(world) < REVOKE_MILLISECONDS)
      }
    } finally {
      clock.uninstall()
    }
  }), { numRuns: RUNS, seed: SEED })
})

/** If one clock jumps relative to the other, the elapsed time is unknown, and so is the age. */
const AGES: Array<{ name: string, act: (clock: Clock) => void, age: number }> = [
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

for (const { name, act, age } of AGES) {
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

properties('a text that is not a valid configuration is ignored', () => {
  const configurationState = createConfigurationState({
    decode: text => { if (text === 'bad') throw new Error('bad'); return testConfiguration(1) }, log: SILENT_RELAY_LOG, revokeMilliseconds: 5000
  })
  configurationState.adopt('good', 'store')
  configurationState.adopt('bad', 'store')
  assert.is(configurationState.current()?.configuration.version, 1)
})

properties.run()
