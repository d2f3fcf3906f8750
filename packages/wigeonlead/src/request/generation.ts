/**
 * One generation over all its epochs: chooses a path, drives it, and after a failure goes on along another
 * with the tokens already delivered as prefix. Each token index is delivered once.
 */
import {
  EngineEventKind, FailureKind, FinishReason, OrderState, ProblemType, Step, Submission, createProblem, describeFailure,
  type EngineEvent, type Failure, type GenerationRequest, type ModelReference, type PathStage, type Problem, type Token
} from '@wigeonlead/protocol'
import type { CompiledModel } from '../version/index.js'
import { LogEvent } from '../process/logging.js'
import type { RequestContext } from './context.js'
import { DRIVERS } from './drivers/index.js'
import { findReceiptFault } from './receipt.js'

/** What is to be generated. */
export interface GenerationOrder {
  model: CompiledModel
  reference: ModelReference
  prompt: string
  maximumTokens: number
  temperature?: number
  seed?: number
}

/** Kinds of deliveries. */
export enum DeliveryKind {
  Token = 'token',
  Finish = 'finish',
  Refusal = 'refusal'
}

/** What reaches the caller: tokens in order, then one finish or one refusal. */
export type Delivery =
  | { kind: DeliveryKind.Token, token: Token }
  | { kind: DeliveryKind.Finish, reason: FinishReason, tokens: number }
  | { kind: DeliveryKind.Refusal, problem: Problem }

const MAXIMUM_EPOCHS = 8
const STALL_TIMEOUT_MILLISECONDS = 5000

/** Runs a generation to its end. */
export async function * generate (context: RequestContext, order: GenerationOrder): AsyncIterable<Delivery> {
  const { parts } = context
  const session = parts.random.nextNonce()
  const delivered: Token[] = []
  const excluded = new Set<string>()
  let lastFailure: Failure | undefined
  for (let epoch = 0; epoch < MAXIMUM_EPOCHS; epoch += 1) {
    const { model, reference, prompt } = order
    const path = parts.paths.choose({ version: context.version, model, reference, prompt, excluded })
    if (!path.ok) {
      yield { kind: DeliveryKind.Refusal, problem: refusalOf(lastFailure ?? path.failure, epoch > 0) }
      return
    }
    const request = toRequest(context, order, session, epoch, path.value, delivered)
    const end = yield * runEpoch(context, order, request, delivered)
    if (end === undefined) return
    lastFailure = end
    parts.targets.recordFailure(end.peer, end)
    parts.metrics.count('stage_failures_total', { kind: end.kind })
    const { peer, step, kind, detail } = end
    parts.logger.warn(LogEvent.TargetFailed, { target: peer, step, kind, detail, delivered: delivered.length })
    excluded.add(end.peer)
    if (context.signal.aborted || Date.now() >= context.deadlineAt) break
  }
  yield { kind: DeliveryKind.Refusal, problem: refusalOf(lastFailure, true) }
}

async function * runEpoch (
  context: RequestContext, order: GenerationOrder, request: GenerationRequest, delivered: Token[]
): AsyncGenerator<Delivery, Failure | undefined> {
  const { engines, targets } = context.parts
  const ended = new AbortController()
  const signal = AbortSignal.any([context.signal, ended.signal])
  const releases = request.stages.map(stage => targets.begin(stage.target))
  const events = DRIVERS[order.model.model.driver](engines, request, signal)[Symbol.asyncIterator]()
  let isWhole = false
  try {
    while (true) {
      const event = await nextEvent(events, request)
      if (event.kind === EngineEventKind.Failure) return event.failure
      if (event.kind === EngineEventKind.Finish) {
        if (event.tokens !== delivered.length) {
          return faultOf(request, `the answer ends after ${event.tokens} tokens, not ${delivered.length}`)
        }
        isWhole = true
        for (const stage of request.stages) targets.recordSuccess(stage.target)
        yield { kind: DeliveryKind.Finish, reason: event.reason, tokens: event.tokens }
        return undefined
      }
      const fault = event.token.index === delivered.length
        ? findReceiptFault(event.receipt, { ...request, index: delivered.length })
        : `token ${event.token.index} came, not ${delivered.length}`
      if (fault !== undefined) return faultOf(request, fault)
      delivered.push(event.token)
      yield { kind: DeliveryKind.Token, token: event.token }
    }
  } finally {
    ended.abort()
    for (const release of releases) release()
    if (!isWhole) cancelEverywhere(context, request)
  }
}

async function nextEvent (events: AsyncIterator<EngineEvent>, request: GenerationRequest): Promise<EngineEvent> {
  const stalled = deferred<EngineEvent>()
  const timer = setTimeout(() => stalled.resolve({
    kind: EngineEventKind.Failure,
    attempt: request.attempt,
    failure: {
      kind: FailureKind.TimedOut,
      step: Step.Engine,
      peer: request.stages[0]?.target ?? 'local',
      detail: 'no token in time',
      afterMilliseconds: STALL_TIMEOUT_MILLISECONDS
    }
  }), STALL_TIMEOUT_MILLISECONDS)
  try {
    const next = await Promise.race([events.next(), stalled.promise])
    if ('kind' in next) return next
    return next.done === true ? endedEarly(request) : next.value
  } finally {
    clearTimeout(timer)
  }
}

function cancelEverywhere (context: RequestContext, request: GenerationRequest): void {
  for (const stage of request.stages) void context.parts.engines.cancel(stage, request.session, request.epoch)
}

function toRequest (
  context: RequestContext, order: GenerationOrder, session: string, epoch: number, stages: PathStage[], delivered: Token[]
): GenerationRequest {
  return {
    ...order.reference,
    session,
    epoch,
    attempt: context.parts.random.nextNonce(),
    stages,
    prompt: order.prompt,
    prefix: [...delivered],
    maximumTokens: order.maximumTokens,
    temperature: order.temperature,
    seed: order.seed,
    priority: context.priority
  }
}

function refusalOf (failure: Failure | undefined, wasSent: boolean): Problem {
  const detail = failure === undefined ? 'every path failed' : describeFailure(failure)
  if (!wasSent) return createProblem(ProblemType.NoPath, detail, { retryAfterSeconds: 1 })
  return createProblem(ProblemType.TargetFailed, detail, { submission: Submission.Sent, order: OrderState.Unknown, retryAfterSeconds: 1 })
}

function faultOf (request: GenerationRequest, detail: string): Failure {
  return { kind: FailureKind.Malformed, step: Step.Receipt, peer: request.stages[0]?.target ?? 'local', detail }
}

function endedEarly (request: GenerationRequest): EngineEvent {
  const failure: Failure = { kind: FailureKind.Broken, step: Step.Engine, peer: request.stages[0]?.target ?? 'local', detail: 'the stream ended early' }
  return { kind: EngineEventKind.Failure, attempt: request.attempt, failure }
}

function deferred<T> (): { promise: Promise<T>, resolve: (value: T) => void } {
  let resolve: (value: T) => void = () => {}
  const promise = new Promise<T>(_resolve => { resolve = _resolve })
  return { promise, resolve }
}
