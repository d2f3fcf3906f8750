/**
 * How long a request waits for capacity before it is refused.
 */
import { remainingTime, type AdmittedRequest } from './context.js'

/**
 * Share of the latency objective that may be spent waiting; the rest is for the answer, or for its first event. A request that waits longer
 * would be late, and would take the capacity of one that can still be in time.
 */
const WAIT_SHARE = 0.6
/** Share of the remaining time that may be spent waiting: the caller can use the rest for a return. */
const REMAINING_SHARE = 0.5
/** Callers leave an answer without a first event after this many latency objectives, and not before `LEAST_PATIENCE_MILLISECONDS`. */
const PATIENCE_OBJECTIVES = 4
const LEAST_PATIENCE_MILLISECONDS = 2000

/**
 * @param mayHaveRun whether this VM may have begun a run of the request at a target. After such a run, also one by a VM that has handed the
 * request over, a refusal would be a failure for the caller, so the request waits as long as its caller does, even if its answer will be
 * late. Any other request is refused once its answer cannot be in time: the caller then returns while its time lasts, and may meet another
 * VM or free capacity.
 * @returns monotonic time at which a request stops waiting for capacity, milliseconds; it may have passed.
 */
export function waitEndOf (request: AdmittedRequest, mayHaveRun: boolean): number {
  const { arrivedAt } = request
  const objective = request.route.latencyObjectiveMilliseconds
  const halfway = performance.now() + remainingTime(request) * REMAINING_SHARE
  if (mayHaveRun || (request.handOver?.reachedTargets.length ?? 0) > 0) {
    return Math.min(halfway, arrivedAt + Math.max(LEAST_PATIENCE_MILLISECONDS, objective * PATIENCE_OBJECTIVES))
  }
  return Math.min(halfway, arrivedAt + objective * WAIT_SHARE)
}
