/**
 * Runs an experiment under a paused clock that jumps from timer to timer, so that a run is quick and repeats exactly.
 */
import { install } from '@sinonjs/fake-timers'

const START_MILLISECONDS = 1_700_000_000_000

/** Runs to the end of `run`; time passes only while everything waits for timers. */
export async function runAccelerated<T> (run: () => Promise<T>): Promise<T> {
  const immediate = setImmediate
  const clock = install({ now: START_MILLISECONDS, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
  const progress = { isDone: false }
  const result = run().finally(() => { progress.isDone = true })
  result.catch(() => {})
  try {
    while (!progress.isDone) {
      await new Promise<void>(resolve => immediate(resolve))
      if (!progress.isDone) clock.next()
    }
    return await result
  } finally {
    clock.uninstall()
  }
}

/** Waits on the accelerated clock. */
export function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
