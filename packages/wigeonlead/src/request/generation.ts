/**
 * One generation over all its epochs: chooses a path, drives it, and after a failure goes on along another
 * with the tokens already delivered as prefix. Each token index is delivered once.
 */
import {
  FailureKind, FinishReason, isCertainlyNotSent,
  type Failure, type GenerationRequest, type Outcome, type PathStage, type Problem, type Token
} from '@wigeonlead/protocol'
import { LogEvent } from '../process/logging.js'
import type { RequestContext } from './context.js'
import { findFailedTargets } from './generation-blame.js'
import { runEpoch, type EpochEnd } from './generation-epoch.js'
import { createGenerationMover } from './generation-move.js'
import type { GenerationOrder } from './generation-order.js'
import { refuseFailed, refuseLate } from './generation-refusal.js'
import { Interruption, createWatch, type Watch } from './generation-watch.js'

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

/** Epochs in a row that may fail without a token before the generation is given up. */
const MOST_FRUITLESS_EPOCHS = 10
/** Fruitless epochs before the next one is held back. */
const EPOCHS_AT_ONCE = 2
/** A target that is known to have failed counts as much as so many failures that it may have caused. */
const BLAMED_STRIKES = 3
const NONE: ReadonlySet<string> = new Set()
const FIRST_PAUSE_MILLISECONDS = 25
const LONGEST_PAUSE_MILLISECONDS = 1000

/** Runs a generation to its end. */
export async function * generate (context: RequestContext, order: GenerationOrder): AsyncIterable<Delivery> {
  const watch = createWatch(context.deadlineAt, context.signal)
  try {
    yield * runEpochs(context, order, watch)
  } finally {
    watch.stop()
  }
}

interface Progress {
  session: string
  delivered: Token[]
  /** How often each target was part of a failure. */
  strikes: Map<string, number>
  epoch: number
  /** Epochs in a row without a token. */
  fruitless: number
  wasSent: boolean
  /** Where the next epoch runs after a move. */
  nextPath?: PathStage[]
  lastFailure?: Failure
}

async function * runEpochs (context: RequestContext, order: GenerationOrder, watch: Watch): AsyncGenerator<Delivery> {
  const { parts } = context
  const progress: Progress = {
    session: parts.random.nextNonce(), delivered: [], strikes: new Map(), epoch: 0, fruitless: 0, wasSent: false
  }
  parts.retries.recordFirstTry(order.reference.model)
  for (; ; progress.epoch += 1) {
    const path = choosePath(context, order, progress)
    if (!path.ok && progress.epoch === 0) return yield refusal(refuseFailed(path.failure, false))
    const before = progress.delivered.length
    const end = path.ok ? yield * deliverEpoch(context, order, progress, path.value, watch) : { kind: 'failed' as const, failure: path.failure }
    if (end.kind === 'whole') return yield { kind: DeliveryKind.Finish, reason: end.reason, tokens: end.tokens }
    if (end.kind === 'moved') continue
    if (end.kind === 'interrupted') return yield refusal(refuseLate(progress.delivered.length, progress.wasSent))
    if (path.ok) await takeFailure(context, progress, path.value, end)
    if (progress.delivered.length >= order.maximumTokens) {
      return yield { kind: DeliveryKind.Finish, reason: FinishReason.Length, tokens: progress.delivered.length }
    }
    progress.fruitless = progress.delivered.length > before ? 1 : progress.fruitless + 1
    if (!mayGoOn(context, order, progress)) return yield refusal(refuseFailed(progress.lastFailure ?? end.failure, progress.wasSent))
    const interruption = await holdBack(progress, watch)
    if (interruption !== undefined) return yield refusal(refuseLate(progress.delivered.length, progress.wasSent))
  }
}

function choosePath (context: RequestContext, order: GenerationOrder, progress: Progress): Outcome<PathStage[]> {
  const { nextPath } = progress
  progress.nextPath = undefined
  if (nextPath !== undefined) return { ok: true, value: nextPath }
  if (progress.epoch === 0 && order.firstPath !== undefined) return { ok: true, value: order.firstPath }
  const { model, reference, prompt } = order
  const { version, workspace } = context
  return context.parts.paths.choose({ version, model, reference, prompt, workspace, excluded: NONE, strikes: progress.strikes })
}

async function * deliverEpoch (
  context: RequestContext, order: GenerationOrder, progress: Progress, stages: PathStage[], watch: Watch
): AsyncGenerator<Delivery, EpochEnd | { kind: 'moved' }> {
  const { delivered } = progress
  const mover = createGenerationMover(context, order)
  const request = toRequest(context, order, progress, stages)
  progress.wasSent = true
  const tokens = runEpoch(context, { model: order.model, request, delivered, watch })
  try {
    for (let next = await tokens.next(); ; next = await tokens.next()) {
      if (next.done === true) return next.value
      yield { kind: DeliveryKind.Token, token: next.value }
      progress.nextPath = mover.consider(request, delivered.length)
      if (progress.nextPath !== undefined) return { kind: 'moved' }
    }
  } finally {
    await tokens.return({ kind: 'interrupted', interruption: Interruption.HungUp })
  }
}

async function takeFailure (
  context: RequestContext, progress: Progress, stages: PathStage[], end: Extract<EpochEnd, { kind: 'failed' }>
): Promise<void> {
  const { targets, engines, metrics, logger } = context.parts
  const { failure } = end
  const blamed = end.blamed ?? await findFailedTargets(engines, stages, failure)
  for (const target of blamed) targets.recordFailure(target, failure)
  const isUnclear = blamed.length === 0 || failure.kind === FailureKind.TimedOut
  for (const { target } of stages) {
    const strikes = blamed.includes(target) ? BLAMED_STRIKES : isUnclear ? 1 : 0
    if (strikes > 0) progress.strikes.set(target, (progress.strikes.get(target) ?? 0) + strikes)
  }
  progress.lastFailure = failure
  metrics.count('stage_failures_total', { kind: failure.kind })
  const { peer, step, kind, detail } = failure
  logger.warn(LogEvent.TargetFailed, {
    target: blamed.join(',') || peer, step, kind, detail, delivered: progress.delivered.length, epoch: progress.epoch
  })
}

/** A first try that nothing came of is tried again within the retry budget only; a begun answer goes on. */
function mayGoOn (context: RequestContext, order: GenerationOrder, progress: Progress): boolean {
  if (context.signal.aborted || progress.fruitless >= MOST_FRUITLESS_EPOCHS) return false
  if (progress.delivered.length > 0) return true
  const failure = progress.lastFailure
  const isDeath = failure !== undefined && (failure.kind === FailureKind.Broken || failure.kind === FailureKind.Unreachable)
  if (isDeath && progress.fruitless === 1) return true
  if (failure !== undefined && !isCertainlyNotSent(failure) && progress.fruitless === 1) return true
  return context.parts.retries.take(order.reference.model)
}

async function holdBack (progress: Progress, watch: Watch): Promise<Interruption | undefined> {
  const held = progress.fruitless - EPOCHS_AT_ONCE
  if (held <= 0) return undefined
  return await watch.pause(Math.min(LONGEST_PAUSE_MILLISECONDS, FIRST_PAUSE_MILLISECONDS * 2 ** held))
}

function toRequest (context: RequestContext, order: GenerationOrder, progress: Progress, stages: PathStage[]): GenerationRequest {
  return {
    ...order.reference,
    session: progress.session,
    epoch: progress.epoch,
    attempt: context.parts.random.nextNonce(),
    stages,
    prompt: order.prompt,
    prefix: [...progress.delivered],
    maximumTokens: order.maximumTokens,
    temperature: order.temperature,
    seed: order.seed,
    priority: context.priority
  }
}

function refusal (problem: Problem): Delivery {
  return { kind: DeliveryKind.Refusal, problem }
}
