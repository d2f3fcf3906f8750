/**
 * The step driver: the router carries the activations from stage to stage. Steps of many sessions share calls.
 */
import {
  EngineEventKind, FailureKind, FinishReason, Step,
  type EngineEvent, type Failure, type GenerationRequest, type PathStage, type StepInput, type StepResult
} from '@wigeonlead/protocol'
import type { PipelineDriver } from './driver.js'
import { getBatcher } from './step-batcher.js'

/** Runs an epoch by calling each stage in turn for each token. A step is never sent twice. */
export const driveSteps: PipelineDriver = async function * (engines, request, signal) {
  const { attempt, session, epoch } = request
  const batcher = getBatcher(engines)
  let previousToken: string | undefined
  for (let index = request.prefix.length; index < request.maximumTokens; index += 1) {
    const receipts = []
    let result: StepResult | undefined
    for (const stage of request.stages) {
      const input = toInput(request, stage, index, result?.activation, previousToken)
      const outcome = await batcher.run(stage, input, signal)
      if (!outcome.ok) return yield failureEvent(attempt, outcome.failure)
      result = outcome.value
      if (result.receipt === undefined) return yield failureEvent(attempt, refusal(stage, result))
      receipts.push(result.receipt)
    }
    if (result?.token === undefined && result?.finish !== undefined) {
      return yield { kind: EngineEventKind.Finish, attempt, reason: result.finish, tokens: index }
    }
    if (result?.token === undefined) return yield failureEvent(attempt, refusal(request.stages.at(-1), result))
    const token = { index, text: result.token }
    yield { kind: EngineEventKind.Token, attempt, token, receipt: { session, epoch, index, stages: receipts } }
    previousToken = token.text
    if (result.finish !== undefined) return yield { kind: EngineEventKind.Finish, attempt, reason: result.finish, tokens: index + 1 }
  }
  yield { kind: EngineEventKind.Finish, attempt, reason: FinishReason.Length, tokens: request.maximumTokens }
}

function toInput (
  request: GenerationRequest, stage: PathStage, index: number, activation: string | undefined, previousToken: string | undefined
): StepInput {
  return {
    model: request.model,
    version: request.version,
    adapter: request.adapter,
    session: request.session,
    epoch: request.epoch,
    index,
    layers: stage.layers,
    prefill: previousToken === undefined ? { prompt: request.prompt, prefix: request.prefix } : undefined,
    activation,
    previousToken,
    isLast: stage === request.stages.at(-1),
    priority: request.priority
  }
}

function refusal (stage: PathStage | undefined, result: StepResult | undefined): Failure {
  const peer = stage?.target ?? 'local'
  if (result?.refused === undefined) return { kind: FailureKind.Malformed, step: Step.Engine, peer, detail: 'the result lacks its receipt' }
  return { kind: FailureKind.Refused, step: Step.Engine, peer, detail: result.refused }
}

function failureEvent (attempt: string, failure: Failure): EngineEvent {
  return { kind: EngineEventKind.Failure, attempt, failure }
}
