/**
 * The era of the store's history. The store may return from a copy that is some seconds old: it then states a higher era, and everything
 * that it acknowledged after that copy is gone, leases too. Answers of earlier eras may still be in flight at that time.
 */
import { ageOf, instantBefore, presentInstant, type Instant } from './instant.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** The highest era that this process knows. It never falls. */
export interface StoreEra {
  /** @returns 0 before the first answer, and where the store states no era. */
  current: () => number
  /**
   * Takes note of the era that an answer of the store states.
   * @param stated undefined if the answer states none; NaN if what it states is not a number.
   * @returns the era under which the answer counts; undefined if a later era is known, so that the answer must not be used.
   */
  admit: (stated: number | undefined) => number | undefined
  /** Takes note of what a peer knows: an era, and how long ago at least it began. */
  learn: (era: number, ageMilliseconds: number, peer: string) => void
  /** @returns milliseconds for which the era has lasted at least. */
  ageMilliseconds: () => number
  /**
   * Whether the operators and the targets have written again what the era's copy lacked, at a moment. Until then the store may show a
   * configuration that is older than one it had acknowledged.
   */
  isSettledAt: (instant: Instant) => boolean
  /** Registers a listener that is called each time the era rises above one that this process knew. */
  onRise: (listener: () => void) => void
}

/** Time within which everything that the copy lacks is written again, milliseconds. The platform's documentation states it for targets. */
const SETTLE_MILLISECONDS = 2000
/** Era of a store that has never been restored, or that states no era. */
const FIRST_ERA = 0

/** Creates the state of a process that knows no era. */
export function createStoreEra (log: RelayLog): StoreEra {
  const listeners: Array<() => void> = []
  let known: { era: number, beganBefore: Instant } | undefined
  let hasLoggedAbsence = false

  function raise (era: number, beganBefore: Instant, source: string): void {
    const previous = known?.era
    known = { era, beganBefore }
    if (previous === undefined) return
    log.warn(RelayEvent.StoreRestored, { era, previousEra: previous, source })
    for (const listener of listeners) listener()
  }

  function logAbsence (): void {
    if (hasLoggedAbsence || known === undefined || known.era === FIRST_ERA) return
    hasLoggedAbsence = true
    log.warn(RelayEvent.StoreEraFaulty, { reason: 'an answer states no era', era: known.era })
  }

  return {
    current: () => known?.era ?? FIRST_ERA,
    admit (stated) {
      if (stated === undefined) {
        logAbsence()
        return known?.era ?? FIRST_ERA
      }
      if (!Number.isSafeInteger(stated) || stated < 0) {
        log.warn(RelayEvent.StoreEraFaulty, { reason: 'the stated era is not a whole number', era: known?.era })
        return known?.era ?? FIRST_ERA
      }
      if (known === undefined || stated > known.era) raise(stated, presentInstant(), 'store')
      if (stated === known!.era) return stated
      log.info(RelayEvent.StoreAnswerDropped, { stated, era: known!.era })
      return undefined
    },
    learn (era, ageMilliseconds, peer) {
      const beganBefore = instantBefore(presentInstant(), ageMilliseconds)
      if (known === undefined || era > known.era) raise(era, beganBefore, peer)
      else if (era === known.era && beganBefore.monotonic < known.beganBefore.monotonic) known.beganBefore = beganBefore
    },
    // The monotonic clock stops while the VM is suspended, so the era may have lasted for longer, but not for less.
    ageMilliseconds: () => known === undefined ? 0 : performance.now() - known.beganBefore.monotonic,
    isSettledAt: instant => known === undefined || known.era === FIRST_ERA ||
      (instant.monotonic - known.beganBefore.monotonic >= SETTLE_MILLISECONDS && Number.isFinite(ageOf(instant))),
    onRise: listener => { listeners.push(listener) }
  }
}
