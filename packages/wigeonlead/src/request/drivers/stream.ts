/**
 * The driver for engines that forward between stages and stream tokens back through the first stage.
 */
import { EngineEventKind, FailureKind, Step, type EngineEvent } from '@wigeonlead/protocol'
import type { PipelineDriver } from './driver.js'

/** Runs an epoch on engines that forward by themselves. */
export const driveStream: PipelineDriver = (engines, request, signal) => {
  const first = request.stages[0]
  if (first === undefined) return emptyPath(request.attempt)
  return engines.generate({ target: first.target, address: first.address }, request, signal)
}

async function * emptyPath (attempt: string): AsyncIterable<EngineEvent> {
  const failure = { kind: FailureKind.Refused, step: Step.PathChoice, peer: 'local', detail: 'the path is empty' } as const
  yield { kind: EngineEventKind.Failure, attempt, failure }
}
