/**
 * Runs an experiment on a fake clock that jumps from one timer to the next, so that runs are fast and deterministic.
 */
import { install } from '@sinonjs/fake-timers'

const START_MILLISECONDS = 1_700_000_000_000

/** Runs a function on a fake clock, which advances only when all pending work waits for timers. @returns the function's result. */
export async function runOnFakeClock<T> (run: () => Promise<T>): Promise<T> {
  const realSetImmediate = setImmediate
  const clock = install({ now: START_MILLISECONDS, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
  const progress = { isDone: false }
  const result = run().finally(() => { progress.isDone = true })
  result.catch(() => {})
  try {
    while (!progress.isDone) {
      await new Promise<void>(resolve => realSetImmediate(resolve))
      if (!progress.isDone) clock.next()
    }
    return await result
  } finally {
    clock.uninstall()
  }
}

/** Waits on the current clock, which is the fake one inside `runOnFakeClock`. */
export function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
