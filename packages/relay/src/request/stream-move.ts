/**
 * Moves a stream that is under way off a stage that is lost, leaves or holds it up, behind the same first stage.
 */
import { pause } from 'wigeonlead'
import type { StageOfPath } from '../connection/dialect.js'
import type { FoundPath } from '../process/path-finder.js'
import { RelayEvent } from '../process/relay-log.js'
import { lifeOf, type Target } from '../version/target.js'
import type { AdmittedRequest, RequestParts } from './context.js'
import { tokensOf } from './tokens.js'
import { requestFields } from './outcome.js'

/** Moves one stream. */
export interface Mover {
  /** Lives of the stages' targets as of now. */
  lives: () => readonly string[]
  /** @param isLeaving the stage still goes on with what it has for a while. */
  onStageLost: (target: Target, isLeaving: boolean) => void
  end: () => void
}

/** Tries of one move: each leaves out the stage that could not take its part. */
const MAXIMUM_TRIES = 12
/** A leaving stage has its streams left alone for so long, milliseconds: many are over by then. */
const LEAVING_PAUSE_MILLISECONDS = 500
/** A stream on a leaving stage waits so long for a path without more crossings, milliseconds: short of the stage's end. */
const LEAVING_PATIENCE_MILLISECONDS = 1700
/** Pause before the next try, milliseconds: the engine's state has then changed. */
const TRY_PAUSE_MILLISECONDS = 60

/** Makes a mover for a run over a path. */
export function createMover (request: AdmittedRequest, parts: RequestParts, path: FoundPath, onFirstLost: () => void): Mover {
  const first = path.stages[0]!
  let lives: readonly string[] = path.lives
  let stages: readonly StageOfPath[] = path.stages
  let patientUntil = 0
  let isMoving = false
  let hasEnded = false
  let reservation = parts.load.reservePath(lives, tokensOf(request))

  async function move (lost: Target): Promise<void> {
    const avoided = new Set([lifeOf(lost)])
    if (performance.now() < patientUntil) await pause(LEAVING_PAUSE_MILLISECONDS)
    for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
      if (hasEnded) return
      const next = parts.paths.find({
        service: request.service, failureDomain: first.failureDomain, tokens: tokensOf(request), firstStage: first, avoided
      })
      if (next === undefined) {
        avoided.clear()
        await pause(TRY_PAUSE_MILLISECONDS)
        continue
      }
      if (performance.now() < patientUntil && crossingsOf(next.stages) > crossingsOf(stages)) {
        tries -= 1
        await pause(TRY_PAUSE_MILLISECONDS)
        continue
      }
      const answer = await parts.engines.repath(first, request.requestId, next.stages)
      if (hasEnded) return
      parts.log.note(RelayEvent.StreamMoved, {
        ...requestFields(request, parts),
        first: first.targetId,
        lost: lost.id,
        stages: next.stages.length,
        status: answer.status,
        detail: answer.detail,
        faultyAddress: answer.faultyAddress
      })
      if (answer.isTaken) {
        lives = [path.lives[0]!, ...next.lives]
        stages = next.stages
        reservation.release()
        reservation = parts.load.reservePath(lives, tokensOf(request))
        if (!next.stages.some(stage => isUnusable(stage.targetId))) return
      }
      const faulty = answer.faultyAddress === undefined ? undefined : parts.directory.at(answer.faultyAddress)
      if (faulty?.id === first.targetId) return onFirstLost()
      if (faulty !== undefined) avoided.add(lifeOf(faulty))
      await pause(TRY_PAUSE_MILLISECONDS)
    }
  }

  function isUnusable (targetId: string): boolean {
    const target = parts.directory.find(targetId)
    return targetId !== first.targetId && (target === undefined || !parts.directory.isUsable(target))
  }

  return {
    lives: () => lives,
    onStageLost (target, isLeaving) {
      if (!isLeaving) patientUntil = 0
      if (isMoving || hasEnded || path.isSingle) return
      if (isLeaving) patientUntil = performance.now() + LEAVING_PATIENCE_MILLISECONDS
      isMoving = true
      void move(target).finally(() => { isMoving = false })
    },
    end () {
      hasEnded = true
      reservation.release()
    }
  }
}

function crossingsOf (stages: readonly StageOfPath[]): number {
  return stages.filter((stage, index) => index > 0 && stage.failureDomain !== stages[index - 1]!.failureDomain).length
}
