/**
 * Graceful shutdown of a router: it says that it is leaving, goes on accepting for the balancer's lag, finishes every
 * request, hands the reconciler's lease back and stops.
 */
import type { Settings } from './settings.js'
import type { InFlight } from './in-flight.js'

/** Stops accepting; resolves when the last connection has ended. */
export type CloseListener = () => Promise<void>

/** The shutdown of a router. */
export interface Shutdown {
  isLeaving: () => boolean
  /**
   * Begins the shutdown; a second call changes nothing and gets the same promise.
   * @param closeListener is called once the balancer's lag is over.
   * @returns a promise that resolves once everything has stopped.
   */
  begin: (closeListener?: CloseListener) => Promise<void>
}

/** What the shutdown needs. */
export interface ShutdownParts {
  settings: Settings['shutdown']
  inFlight: InFlight
  /** Tells the other entry VMs that this one takes no more work. */
  leave: () => void
  /** Resolves once no order goes on without its caller. */
  finishOrders: () => Promise<void>
  /** Hands back what this node holds for its failure domain. */
  release: () => Promise<void>
  /** Stops everything that runs by itself. */
  halt: () => void
}

/** Makes the shutdown, not begun. */
export function createShutdown (parts: ShutdownParts): Shutdown {
  const { settings, inFlight } = parts
  let begun: Promise<void> | undefined

  async function run (closeListener: CloseListener): Promise<void> {
    parts.leave()
    const limit = startLimit()
    await new Promise(resolve => setTimeout(resolve, settings.balancerLagMilliseconds))
    await closeListener()
    await inFlight.whenIdle()
    await Promise.race([parts.finishOrders(), limit.reached])
    limit.cancel()
    await parts.release()
    parts.halt()
  }

  function startLimit (): { reached: Promise<void>, cancel: () => void } {
    const { cutOffMilliseconds } = settings
    if (cutOffMilliseconds === undefined) return { reached: new Promise(() => {}), cancel: () => {} }
    let timer: NodeJS.Timeout | undefined
    const reached = new Promise<void>(resolve => { timer = setTimeout(resolve, cutOffMilliseconds) })
    void reached.then(inFlight.cutOff)
    return { reached, cancel: () => clearTimeout(timer) }
  }

  return {
    isLeaving: () => begun !== undefined,
    begin (closeListener = async () => {}) {
      begun ??= run(closeListener)
      return begun
    }
  }
}
