/**
 * Moves a running stream off a later stage that is lost, leaving or stalled. The first stage, which holds the connection, stays.
 */
import { pause } from 'wigeonlead'
import type { PathStage } from '../connection/dialect.js'
import type { FoundPath } from '../process/routing/path-finder.js'
import type { Reservation } from '../process/routing/load.js'
import { RelayEvent } from '../process/relay-log.js'
import { incarnationOf, type Target } from '../version/target.js'
import type { AdmittedRequest, RequestDependencies } from './context.js'
import { estimateTokens } from './tokens.js'
import { requestLogFields } from './outcome.js'

/** Moves one stream to other stages. */
export interface StreamMover {
  /** Incarnations of the targets that currently run the stages. */
  incarnations: () => readonly string[]
  /** @param isLeaving whether the stage is draining: it continues its running streams for a while. */
  onStageLost: (target: Target, isLeaving: boolean) => void
  end: () => void
}

/** Maximum attempts of one move. Each attempt avoids the stages that rejected an earlier one. */
const MAXIMUM_ATTEMPTS = 12
/** Least delay before a stream is moved off a leaving stage, milliseconds: many end within it. */
const LEAVING_DELAY_MILLISECONDS = 500
/**
 * Time over which the moves off a leaving stage are spread, milliseconds. The stage that takes over reads the tokens of all of them: if
 * they came together, each stream would pause until the last one is read.
 */
const LEAVING_SPREAD_MILLISECONDS = 700
/** Time for which a report that was made before a move may still arrive, milliseconds, in addition to the lag of reports. */
const STALE_REPORT_MARGIN_MILLISECONDS = 150
/**
 * How long a stream on a leaving stage waits for a path that crosses no more failure domains than its present one, milliseconds. The wait
 * ends before the stage does.
 */
const AVOID_CROSSING_MILLISECONDS = 1700
/** Pause before the next attempt, milliseconds: the state of the engines has usually changed by then. */
const ATTEMPT_PAUSE_MILLISECONDS = 60

/**
 * Creates a mover for a run over a path.
 * @param firstTarget target of the first stage. It may no longer be listed when a move is due, and still runs its streams.
 * @param onFirstStageLost called where the first stage itself rejects a move as the faulty stage.
 * @param reserved work that is already counted on the path; by default it is counted now.
 */
export function createStreamMover (
  request: AdmittedRequest, dependencies: RequestDependencies, path: FoundPath, firstTarget: Target, onFirstStageLost: () => void,
  reserved?: Reservation
): StreamMover {
  const firstStage = path.stages[0]!
  let incarnations: readonly string[] = path.incarnations
  let stages: readonly PathStage[] = path.stages
  let avoidCrossingUntil = 0
  let isMoving = false
  let movedAt = -Infinity
  let endDelay = (): void => {}
  let hasEnded = false
  /** Incarnations of targets that were reported as lost during the present move. */
  const lostWhileMoving = new Set<string>()
  let reservation = reserved ?? dependencies.load.reservePath(incarnations, estimateTokens(request))

  async function move (lostTarget: Target): Promise<void> {
    const avoided = new Set([incarnationOf(lostTarget)])
    if (performance.now() < avoidCrossingUntil) await delayLeaving()
    for (let attempts = 0; attempts < MAXIMUM_ATTEMPTS; attempts++) {
      if (hasEnded) return
      const next = dependencies.paths.find({
        service: request.service,
        failureDomain: firstStage.failureDomain,
        tokens: estimateTokens(request),
        firstStage,
        avoided,
        presentStages: new Set(incarnations)
      })
      if (next === undefined) {
        avoided.clear()
        await pause(ATTEMPT_PAUSE_MILLISECONDS)
        continue
      }
      if (performance.now() < avoidCrossingUntil && countCrossings(next.stages) > countCrossings(stages)) {
        attempts -= 1
        await pause(ATTEMPT_PAUSE_MILLISECONDS)
        continue
      }
      const answer = await dependencies.engines.moveRequest(firstTarget, request.requestId, next.stages)
      if (hasEnded) return
      dependencies.log.info(RelayEvent.StreamMoved, {
        ...requestLogFields(request, dependencies),
        first: firstStage.targetId,
        lost: lostTarget.id,
        stages: next.stages.length,
        status: answer.status,
        detail: answer.detail,
        faultyAddress: answer.faultyAddress
      })
      if (answer.isAccepted) {
        movedAt = performance.now()
        incarnations = [path.incarnations[0]!, ...next.incarnations]
        stages = next.stages
        reservation.release()
        reservation = dependencies.load.reservePath(incarnations, estimateTokens(request))
        const isLost = next.stages.some(stage => isUnusable(stage.targetId)) ||
          next.incarnations.some(incarnation => lostWhileMoving.has(incarnation))
        if (!isLost) return
      }
      const faulty = answer.faultyAddress === undefined ? undefined : dependencies.directory.findByAddress(answer.faultyAddress)
      if (faulty?.id === firstStage.targetId) return onFirstStageLost()
      if (faulty !== undefined) avoided.add(incarnationOf(faulty))
      await pause(ATTEMPT_PAUSE_MILLISECONDS)
    }
  }

  /** Waits before a move off a leaving stage, unless the stage is lost meanwhile. */
  async function delayLeaving (): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, LEAVING_DELAY_MILLISECONDS + LEAVING_SPREAD_MILLISECONDS * dependencies.nextFloat())
      endDelay = () => {
        clearTimeout(timer)
        resolve()
      }
    })
  }

  /** Whether a stage has been lost or has started to leave while the stream moved there. A stage that is only verified may stay. */
  function isUnusable (targetId: string): boolean {
    const target = dependencies.directory.find(targetId)
    return targetId !== firstStage.targetId &&
      (target === undefined || target.isLeaving || dependencies.directory.isSuspectedLost(target))
  }

  /** Whether the reason for a move is older than the last move: reports lag, and may name a stage that the stream has left. */
  function isOutdated (target: Target): boolean {
    const staleMilliseconds = (request.service.engine?.reportLagMilliseconds ?? 0) + STALE_REPORT_MARGIN_MILLISECONDS
    return performance.now() - movedAt < staleMilliseconds && !incarnations.slice(1).includes(incarnationOf(target))
  }

  return {
    incarnations: () => incarnations,
    onStageLost (target, isLeaving) {
      if (isOutdated(target)) return
      if (!isLeaving) {
        avoidCrossingUntil = 0
        endDelay()
        if (isMoving) lostWhileMoving.add(incarnationOf(target))
      }
      if (isMoving || hasEnded || path.isUnsplit) return
      if (isLeaving) avoidCrossingUntil = performance.now() + AVOID_CROSSING_MILLISECONDS
      isMoving = true
      void move(target).finally(() => {
        isMoving = false
        lostWhileMoving.clear()
      })
    },
    end () {
      hasEnded = true
      endDelay()
      reservation.release()
    }
  }
}

function countCrossings (stages: readonly PathStage[]): number {
  return stages.filter((stage, index) => index > 0 && stage.failureDomain !== stages[index - 1]!.failureDomain).length
}
