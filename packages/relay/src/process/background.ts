/**
 * Periodic tasks that do not keep the process alive.
 */

/** Calls a function at an interval until the signal aborts. */
export function repeatInBackground (milliseconds: number, signal: AbortSignal, task: () => void): void {
  const timer = setInterval(task, milliseconds)
  timer.unref()
  signal.addEventListener('abort', () => clearInterval(timer), { once: true })
}
