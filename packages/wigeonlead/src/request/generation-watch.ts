/**
 * Waits for a promise, and stops waiting at a timeout, at the caller's deadline or when the caller hangs up. One timer serves a whole
 * generation and is re-armed only if it fires early.
 */

/** Why a wait ended without its value. */
export enum Interruption {
  Stalled = 'stalled',
  Deadline = 'deadline',
  HungUp = 'hung-up'
}

/** The outcome of a wait. */
export type WaitOutcome<T> = { interruption: undefined, value: T } | { interruption: Interruption }

/** Limits the waits of one generation. Only one wait may be in progress at a time. */
export interface Watchdog {
  /** Waits for a promise. Rejects only if `promise` rejects. @param milliseconds longest wait. */
  wait: <T>(promise: Promise<T>, milliseconds: number) => Promise<WaitOutcome<T>>
  /** Pauses for a time. @returns undefined after the full time, or why the pause ended early. */
  pause: (milliseconds: number) => Promise<Interruption | undefined>
  /** Stops the timer, and stops listening for the caller's hang-up. */
  stop: () => void
}

/**
 * Creates the watchdog of a generation.
 * @param deadlineAt milliseconds since 1970.
 * @param signal aborts when the caller hangs up.
 */
export function createWatchdog (deadlineAt: number, signal: AbortSignal): Watchdog {
  let interrupt: ((interruption: Interruption) => void) | undefined
  let stallsAt = Infinity
  let timer: NodeJS.Timeout | undefined
  let timerFiresAt = Infinity

  function arm (): void {
    const at = Math.min(stallsAt, deadlineAt)
    if (timerFiresAt <= at) return
    clearTimeout(timer)
    timerFiresAt = at
    timer = setTimeout(fire, Math.max(0, at - Date.now()))
  }

  function fire (): void {
    timerFiresAt = Infinity
    const now = Date.now()
    if (now >= deadlineAt) interrupt?.(Interruption.Deadline)
    else if (now >= stallsAt) interrupt?.(Interruption.Stalled)
    else if (interrupt !== undefined) arm()
  }

  const onHangUp = (): void => interrupt?.(Interruption.HungUp)
  signal.addEventListener('abort', onHangUp)

  function wait<T> (promise: Promise<T>, milliseconds: number): Promise<WaitOutcome<T>> {
    if (signal.aborted) return Promise.resolve({ interruption: Interruption.HungUp })
    if (Date.now() >= deadlineAt) return Promise.resolve({ interruption: Interruption.Deadline })
    return new Promise((resolve, reject) => {
      const interruptWait = (interruption: Interruption): void => {
        interrupt = undefined
        resolve({ interruption })
      }
      interrupt = interruptWait
      stallsAt = Date.now() + milliseconds
      arm()
      promise.then(value => {
        if (interrupt === interruptWait) interrupt = undefined
        resolve({ interruption: undefined, value })
      }, reject)
    })
  }

  return {
    wait,
    async pause (milliseconds) {
      const outcome = await wait(new Promise<never>(() => {}), milliseconds)
      return outcome.interruption === Interruption.Stalled ? undefined : outcome.interruption
    },
    stop () {
      clearTimeout(timer)
      signal.removeEventListener('abort', onHangUp)
    }
  }
}
