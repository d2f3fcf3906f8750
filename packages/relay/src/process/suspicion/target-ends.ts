/**
 * Finds out whether a target has ended, once one of its connections broke: a connection may also be reset for other reasons.
 */
import type { EngineClient } from '../../connection/engine-client.js'
import { incarnationOf, type Target } from '../../version/target.js'
import type { Directory } from '../directory.js'

/** Checks whether targets have ended. */
export interface TargetEnds {
  /** Checks a target by a new connection, once for all requests whose connections break at the same time. */
  hasEnded: (target: Target) => Promise<boolean>
}

/** How long the result of a check is used, milliseconds: all connections to a target that has ended break within this time. */
const RESULT_MILLISECONDS = 100
/** How long a target that has ended stays suspected, milliseconds: until its store entry expires. */
const ENDED_SUSPICION_MILLISECONDS = 2500

/** Creates a check. A target that has ended is suspected as lost at once. */
export function createTargetEnds (directory: Directory, engines: EngineClient): TargetEnds {
  const checks = new Map<string, Promise<boolean>>()

  async function check (target: Target): Promise<boolean> {
    if (!await engines.hasEnded(target)) return false
    const listed = directory.find(target.id)
    if (listed !== undefined && incarnationOf(listed) === incarnationOf(target)) {
      directory.suspect(listed, ENDED_SUSPICION_MILLISECONDS, 'a connection broke, and no new one is accepted', { isLoss: true })
    }
    return true
  }

  return {
    hasEnded (target) {
      const incarnation = incarnationOf(target)
      const listed = directory.find(target.id)
      if (listed === undefined || incarnationOf(listed) !== incarnation) return Promise.resolve(true)
      const running = checks.get(incarnation)
      if (running !== undefined) return running
      const started = check(target)
      checks.set(incarnation, started)
      setTimeout(() => checks.delete(incarnation), RESULT_MILLISECONDS).unref()
      return started
    }
  }
}
