/**
 * Delays on the runtime's clock.
 */

/** Resolves after the given number of milliseconds. */
export function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/** Resolves after the given number of milliseconds; its timer does not keep the process alive. */
export function pauseInBackground (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds).unref() })
}
