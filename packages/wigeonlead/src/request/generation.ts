/**
 * Runs one generation over all its epochs. Each epoch runs along one path. After a failure, the next epoch resumes with the
 * tokens delivered so far as prefix, on a newly chosen path that avoids failed targets if possible. Each token index is delivered once.
 */
import {
  FailureKind, FinishReason, isCertainlyNotRun,
  type Failure, type GenerationRequest, type Outcome, type PathStage, type Problem, type Token
} from '@wigeonlead/protocol'
import { LogEvent } from '../process/logging.js'
import type { RequestContext } from './context.js'
import { findFailedTargets } from './generation-blame.js'
import { runEpoch, type EpochEnd } from './generation-epoch.js'
import { createGenerationMover } from './generation-move.js'
import type { GenerationOrder } from './generation-order.js'
import { refuseAfterFailure, refuseAfterDeadline } from './generation-refusal.js'
import { Interruption, createWatchdog, type Watchdog } from './generation-watch.js'

/** Kinds of deliveries to the caller. */
export enum DeliveryKind {
  Token = 'token',
  Finish = 'finish',
  Refusal = 'refusal'
}

/** What the caller receives: tokens in order, then one finish or one refusal. */
export type Delivery =
  | { kind: DeliveryKind.Token, token: Token }
  | { kind: DeliveryKind.Finish, reason: FinishReason, tokens: number }
  | { kind: DeliveryKind.Refusal, problem: Problem }

/** The generation fails once this many epochs have failed since its last token. */
const MAX_FRUITLESS_EPOCHS = 10
/**
 * A generation without a token is not sent to another target once this many connections broke under it: the prompt itself may be what
 * crashes the targets.
 */
const MAX_BROKEN_BEFORE_FIRST_TOKEN = 3
/** If more epochs than this have failed since the last token, the next one is delayed with exponential backoff. */
const EPOCHS_BEFORE_BACKOFF = 2
/** Added to the failure score of a target that is known to have failed; one that may have caused a failure gets 1. */
const BLAMED_FAILURE_SCORE = 3
const NO_TARGETS: ReadonlySet<string> = new Set()
const BASE_BACKOFF_MILLISECONDS = 25
const MAX_BACKOFF_MILLISECONDS = 1000

/** Runs a generation to its end. */
export async function * generate (context: RequestContext, order: GenerationOrder): AsyncIterable<Delivery> {
  const watchdog = createWatchdog(context.deadlineAt, context.signal)
  try {
    yield * runEpochs(context, order, watchdog)
  } finally {
    watchdog.stop()
  }
}

interface Progress {
  session: string
  /** Tokens delivered so far. */
  delivered: Token[]
  /** Failure score of each target: higher for targets known to have failed than for those that may have caused a failure. */
  failureScores: Map<string, number>
  epoch: number
  /** Failed epochs since the last delivered token. */
  fruitlessEpochs: number
  /** Connections that broke before the first token. */
  brokenBeforeFirstToken: number
  /** Whether an engine may have received the request. */
  mayHaveBeenSent: boolean
  /** Path of the next epoch after a session move. */
  nextPath?: PathStage[]
  lastFailure?: Failure
}

async function * runEpochs (context: RequestContext, order: GenerationOrder, watchdog: Watchdog): AsyncGenerator<Delivery> {
  const { dependencies } = context
  const progress: Progress = {
    session: dependencies.random.nextNonce(),
    delivered: [],
    failureScores: new Map(),
    epoch: 0,
    fruitlessEpochs: 0,
    brokenBeforeFirstToken: 0,
    mayHaveBeenSent: false
  }
  dependencies.retryBudgets.recordFirstTry(order.reference.model)
  for (; ; progress.epoch += 1) {
    const path = choosePath(context, order, progress)
    if (!path.ok && progress.epoch === 0) return yield refusal(refuseAfterFailure(path.failure, false))
    const deliveredBefore = progress.delivered.length
    const end = path.ok ? yield * deliverEpoch(context, order, progress, path.value, watchdog) : { kind: 'failed' as const, failure: path.failure }
    if (end.kind === 'whole') return yield { kind: DeliveryKind.Finish, reason: end.reason, tokens: end.tokens }
    if (end.kind === 'moved') continue
    if (end.kind === 'interrupted') return yield refusal(refuseAfterDeadline(progress.delivered.length, progress.mayHaveBeenSent))
    if (path.ok) await recordFailure(context, progress, path.value, end)
    if (progress.delivered.length >= order.maximumTokens) {
      return yield { kind: DeliveryKind.Finish, reason: FinishReason.Length, tokens: progress.delivered.length }
    }
    progress.fruitlessEpochs = progress.delivered.length > deliveredBefore ? 1 : progress.fruitlessEpochs + 1
    if (
      !mayRetry(context, order, progress)
    ) return yield refusal(refuseAfterFailure(progress.lastFailure ?? end.failure, progress.mayHaveBeenSent))
    const interruption = await backOff(progress, watchdog)
    if (interruption !== undefined) return yield refusal(refuseAfterDeadline(progress.delivered.length, progress.mayHaveBeenSent))
  }
}

function choosePath (context: RequestContext, order: GenerationOrder, progress: Progress): Outcome<PathStage[]> {
  const { nextPath } = progress
  progress.nextPath = undefined
  if (nextPath !== undefined) return { ok: true, value: nextPath }
  if (progress.epoch === 0 && order.firstPath !== undefined) return { ok: true, value: order.firstPath }
  const { model, reference, prompt } = order
  const { version, workspace } = context
  return context.dependencies.paths.choose({
    version, model, reference, prompt, workspace, excluded: NO_TARGETS, failureScores: progress.failureScores
  })
}

async function * deliverEpoch (
  context: RequestContext, order: GenerationOrder, progress: Progress, stages: PathStage[], watchdog: Watchdog
): AsyncGenerator<Delivery, EpochEnd | { kind: 'moved' }> {
  const { delivered } = progress
  const mover = createGenerationMover(context, order)
  const request = toRequest(context, order, progress, stages)
  progress.mayHaveBeenSent = true
  const tokens = runEpoch(context, { model: order.model, request, delivered, watchdog })
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

async function recordFailure (
  context: RequestContext, progress: Progress, stages: PathStage[], end: Extract<EpochEnd, { kind: 'failed' }>
): Promise<void> {
  const { targets, engines, metrics, logger } = context.dependencies
  const { failure } = end
  const blamed = end.blamed ?? await findFailedTargets(engines, stages, failure)
  for (const target of blamed) targets.recordFailure(target, failure)
  const isCauseUnknown = blamed.length === 0 || failure.kind === FailureKind.TimedOut
  for (const { target } of stages) {
    const score = blamed.includes(target) ? BLAMED_FAILURE_SCORE : isCauseUnknown ? 1 : 0
    if (score > 0) progress.failureScores.set(target, (progress.failureScores.get(target) ?? 0) + score)
  }
  progress.lastFailure = failure
  metrics.count('stage_failures_total', { kind: failure.kind })
  if (failure.kind === FailureKind.Broken && progress.delivered.length === 0) progress.brokenBeforeFirstToken += 1
  const { peer, step, kind, detail } = failure
  logger.warn(LogEvent.TargetFailed, {
    target: blamed.join(',') || peer, step, kind, detail, delivered: progress.delivered.length, epoch: progress.epoch
  })
}

/**
 * Tells whether another epoch may run: not after the caller hung up or after MAX_FRUITLESS_EPOCHS. Otherwise an answer that has begun is
 * always resumed. Without a token so far, the first failure is retried without the retry budget if a connection failed or the request may
 * have reached an engine; other retries are taken from the budget.
 */
function mayRetry (context: RequestContext, order: GenerationOrder, progress: Progress): boolean {
  if (context.signal.aborted || progress.fruitlessEpochs >= MAX_FRUITLESS_EPOCHS) return false
  if (progress.delivered.length > 0) return true
  if (progress.brokenBeforeFirstToken >= MAX_BROKEN_BEFORE_FIRST_TOKEN) return false
  const failure = progress.lastFailure
  const isConnectionFailure = failure !== undefined && (failure.kind === FailureKind.Broken || failure.kind === FailureKind.Unreachable)
  if (isConnectionFailure && progress.fruitlessEpochs === 1) return true
  if (failure !== undefined && !isCertainlyNotRun(failure) && progress.fruitlessEpochs === 1) return true
  return context.dependencies.retryBudgets.tryTake(order.reference.model)
}

async function backOff (progress: Progress, watchdog: Watchdog): Promise<Interruption | undefined> {
  const doublings = progress.fruitlessEpochs - EPOCHS_BEFORE_BACKOFF
  if (doublings <= 0) return undefined
  return await watchdog.pause(Math.min(MAX_BACKOFF_MILLISECONDS, BASE_BACKOFF_MILLISECONDS * 2 ** doublings))
}

function toRequest (context: RequestContext, order: GenerationOrder, progress: Progress, stages: PathStage[]): GenerationRequest {
  return {
    ...order.reference,
    session: progress.session,
    epoch: progress.epoch,
    attempt: context.dependencies.random.nextNonce(),
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
