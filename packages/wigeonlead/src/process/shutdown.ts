/**
 * Graceful shutdown of a router: announces that it is leaving, accepts requests until the balancer has noticed, waits for every
 * request in flight, releases the reconciler's lease and stops. Requests that exceed the limit in the settings are cut off.
 */
import type { Settings } from './settings.js'
import type { InFlightRequests } from './in-flight.js'

/** Stops accepting connections; resolves when the last connection has ended. */
export type CloseListener = () => Promise<void>

/** The shutdown of a router. */
export interface Shutdown {
  isLeaving: () => boolean
  /**
   * Begins the shutdown; a second call changes nothing and returns the same promise.
   * @param closeListener is called after the balancer's lag.
   * @returns a promise that resolves once everything has stopped.
   */
  begin: (closeListener?: CloseListener) => Promise<void>
}

/** What the shutdown depends on. */
export interface ShutdownDependencies {
  settings: Settings['shutdown']
  inFlight: InFlightRequests
  /** Announces to the other entry VMs that this one takes no more work. */
  announceLeaving: () => void
  /** Resolves once no order is running any more; an order may run longer than its caller's request. */
  whenOrdersFinished: () => Promise<void>
  /** Releases the reconciler's lease on this node's failure domain, if this node has it. */
  releaseLease: () => Promise<void>
  /** Stops everything that runs in the background. */
  stopBackgroundWork: () => void
}

/** Creates a shutdown that has not begun. */
export function createShutdown (dependencies: ShutdownDependencies): Shutdown {
  const { settings, inFlight } = dependencies
  let completion: Promise<void> | undefined

  async function run (closeListener: CloseListener): Promise<void> {
    dependencies.announceLeaving()
    const cutOffTimer = startCutOffTimer()
    await new Promise(resolve => setTimeout(resolve, settings.balancerLagMilliseconds))
    await closeListener()
    await inFlight.whenIdle()
    await Promise.race([dependencies.whenOrdersFinished(), cutOffTimer.expired])
    cutOffTimer.cancel()
    await dependencies.releaseLease()
    dependencies.stopBackgroundWork()
  }

  function startCutOffTimer (): { expired: Promise<void>, cancel: () => void } {
    const { cutOffMilliseconds } = settings
    if (cutOffMilliseconds === undefined) return { expired: new Promise(() => {}), cancel: () => {} }
    let timer: NodeJS.Timeout | undefined
    const expired = new Promise<void>(resolve => { timer = setTimeout(resolve, cutOffMilliseconds) })
    void expired.then(inFlight.cutOff)
    return { expired, cancel: () => clearTimeout(timer) }
  }

  return {
    isLeaving: () => completion !== undefined,
    begin (closeListener = async () => {}) {
      completion ??= run(closeListener)
      return completion
    }
  }
}
