/**
 * The stream driver: engines forward activations between the stages themselves, and the first stage streams the tokens back.
 */
import { EngineEventKind, FailureKind, Step, type EngineEvent } from '@wigeonlead/protocol'
import type { PipelineDriver } from './driver.js'

/** Runs an epoch by one call to the first stage. */
export const driveStream: PipelineDriver = (engines, request, signal) => {
  const first = request.stages[0]
  if (first === undefined) return emptyPath(request.attempt)
  return engines.generate({ target: first.target, address: first.address }, request, signal)
}

async function * emptyPath (attempt: string): AsyncIterable<EngineEvent> {
  const failure = { kind: FailureKind.Refused, step: Step.PathChoice, peer: 'local', detail: 'the path is empty' } as const
  yield { kind: EngineEventKind.Failure, attempt, failure }
}
