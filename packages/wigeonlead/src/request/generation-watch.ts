/**
 * Waits for a promise, but no longer than a timeout, the caller's deadline, or the caller's hanging up. One timer serves
 * a whole generation, re-armed only when it fires early.
 */

/** Why a wait ended without its value. */
export enum Interruption {
  Stalled = 'stalled',
  Deadline = 'deadline',
  HungUp = 'hung-up'
}

/** The outcome of a wait. */
export type Awaited<T> = { interruption: undefined, value: T } | { interruption: Interruption }

/** Waits of one generation, one at a time. */
export interface Watch {
  /** @param milliseconds longest wait. Never rejects, unless `promise` does. */
  wait: <T>(promise: Promise<T>, milliseconds: number) => Promise<Awaited<T>>
  /** Waits without a value; undefined when the time is over. */
  pause: (milliseconds: number) => Promise<Interruption | undefined>
  stop: () => void
}

/** Makes the waits of a generation with a deadline in milliseconds since 1970. */
export function createWatch (deadlineAt: number, signal: AbortSignal): Watch {
  let interrupt: ((interruption: Interruption) => void) | undefined
  let dueAt = Infinity
  let timer: NodeJS.Timeout | undefined
  let firesAt = Infinity

  function arm (): void {
    const at = Math.min(dueAt, deadlineAt)
    if (firesAt <= at) return
    clearTimeout(timer)
    firesAt = at
    timer = setTimeout(fire, Math.max(0, at - Date.now()))
  }

  function fire (): void {
    firesAt = Infinity
    const now = Date.now()
    if (now >= deadlineAt) interrupt?.(Interruption.Deadline)
    else if (now >= dueAt) interrupt?.(Interruption.Stalled)
    else if (interrupt !== undefined) arm()
  }

  const onHangUp = (): void => interrupt?.(Interruption.HungUp)
  signal.addEventListener('abort', onHangUp)

  function wait<T> (promise: Promise<T>, milliseconds: number): Promise<Awaited<T>> {
    if (signal.aborted) return Promise.resolve({ interruption: Interruption.HungUp })
    if (Date.now() >= deadlineAt) return Promise.resolve({ interruption: Interruption.Deadline })
    return new Promise((resolve, reject) => {
      const own = (interruption: Interruption): void => {
        interrupt = undefined
        resolve({ interruption })
      }
      interrupt = own
      dueAt = Date.now() + milliseconds
      arm()
      promise.then(value => {
        if (interrupt === own) interrupt = undefined
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
