/**
 * The driver in which the router carries activations between the stages, one call a stage and token.
 */
import {
  EngineEventKind, FailureKind, FinishReason, Step,
  type EngineEvent, type Failure, type GenerationRequest, type PathStage, type StepInput, type StepResult
} from '@wigeonlead/protocol'
import type { PipelineDriver } from './driver.js'

/** Runs an epoch by stepping each stage in turn. */
export const driveSteps: PipelineDriver = async function * (engines, request, signal) {
  const { attempt, session, epoch } = request
  let previousToken: string | undefined
  for (let index = request.prefix.length; index < request.maximumTokens; index += 1) {
    const receipts = []
    let result: StepResult | undefined
    for (const stage of request.stages) {
      const input = toInput(request, stage, index, result?.activation, previousToken)
      const outcome = await engines.step(stage, { attempt: `${attempt}/${index}`, inputs: [input] }, signal)
      if (!outcome.ok) return yield failureEvent(attempt, outcome.failure)
      result = outcome.value.find(candidate => isResultOf(candidate, input))
      if (result?.receipt === undefined) return yield failureEvent(attempt, refusal(stage, result))
      receipts.push(result.receipt)
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

function isResultOf (result: StepResult, input: StepInput): boolean {
  return result.session === input.session && result.epoch === input.epoch && result.index === input.index
}

function refusal (stage: PathStage | undefined, result: StepResult | undefined): Failure {
  const detail = result?.refused ?? 'no result for this step'
  return { kind: FailureKind.Malformed, step: Step.Engine, peer: stage?.target ?? 'local', detail }
}

function failureEvent (attempt: string, failure: Failure): EngineEvent {
  return { kind: EngineEventKind.Failure, attempt, failure }
}
