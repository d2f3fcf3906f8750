/**
 * Applies what targets state about themselves in their answers: that they leave, that they want nothing more for a time, or how many
 * requests a second they take.
 */
import type { TargetStates } from '../../connection/target-client.js'
import type { Target } from '../../version/target.js'
import type { Directory } from '../directory.js'
import type { RateLimits } from './rate-limits.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'

/** Status with which a target turns a request away; only then does a stated pause apply. */
const UNAVAILABLE_STATUS = 503
/** Upper bound of a pause, seconds: a target that states more is asked again after this time. */
const MAX_PAUSE_SECONDS = 600
const MILLISECONDS_PER_SECOND = 1000

/**
 * Creates the states that the target client reads before each send and updates with each answer.
 * @param onSlowConnect called with a target to which a connection is slow to be established.
 */
export function createTargetStates (
  directory: Directory, limits: RateLimits, log: RelayLog, onSlowConnect: (target: Target) => void = () => {}
): TargetStates {
  function pause (incarnation: string, statedSeconds: number): void {
    if (!(statedSeconds >= 0) || statedSeconds > MAX_PAUSE_SECONDS) {
      log.warn(RelayEvent.TargetPauseFaulty, { incarnation, statedSeconds, maximumSeconds: MAX_PAUSE_SECONDS })
    }
    if (!(statedSeconds > 0)) return
    const milliseconds = Math.min(statedSeconds, MAX_PAUSE_SECONDS) * MILLISECONDS_PER_SECOND
    directory.pause(incarnation, milliseconds)
    log.info(RelayEvent.TargetPaused, { incarnation, milliseconds })
  }

  return {
    pauseRemaining: directory.pauseRemaining,
    onSlowConnect (incarnation) {
      const target = directory.findIncarnation(incarnation)
      if (target !== undefined) onSlowConnect(target)
    },
    onSend: limits.recordSend,
    onAnswer (incarnation, status, terms) {
      directory.recordContact(incarnation)
      limits.recordAnswer(incarnation, terms.requestsPerSecond)
      if (terms.isLeaving) directory.markLeaving(incarnation, 'its answer')
      if (status === UNAVAILABLE_STATUS && terms.pauseSeconds !== undefined) pause(incarnation, terms.pauseSeconds)
    }
  }
}
