/**
 * A paused clock for tests: the runtime's timers, `Date` and `performance` stand still until the test advances them.
 */
import { install, type Clock } from '@sinonjs/fake-timers'

/** A paused clock. */
export interface PausedClock {
  /** Advances the clock timer by timer, and lets promises settle in between. */
  advance: (milliseconds: number) => Promise<void>
  now: () => number
}

const START_MILLISECONDS = 1_700_000_000_000

/** Runs a test under a paused clock and restores the real one afterwards. */
export async function withPausedClock<T> (test: (clock: PausedClock) => Promise<T>): Promise<T> {
  const clock = install({ now: START_MILLISECONDS, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
  try {
    return await test({ advance: milliseconds => advance(clock, milliseconds), now: () => Date.now() })
  } finally {
    clock.uninstall()
  }
}

async function advance (clock: Clock, milliseconds: number): Promise<void> {
  const reached = new AbortController()
  clock.setTimeout(() => reached.abort(), milliseconds)
  while (!reached.signal.aborted) {
    await settlePromises()
    clock.next()
  }
  await settlePromises()
  clock.tick(0)
  await settlePromises()
}

function settlePromises (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
