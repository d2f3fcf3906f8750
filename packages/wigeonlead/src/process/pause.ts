/**
 * Pauses on the runtime's clock.
 */

/** Resolves after so many milliseconds. */
export function pause (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/** The same, for work that does not keep the process alive. */
export function pauseInBackground (milliseconds: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, milliseconds).unref() })
}
