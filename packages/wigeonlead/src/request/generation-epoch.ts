/**
 * Runs one epoch of a generation along one path: checks each token and its receipt, detects stalls, and cancels the work of the stages
 * unless the answer is complete.
 */
import {
  EngineEventKind, FailureKind, FinishReason, Step,
  type EngineEvent, type Failure, type GenerationRequest, type PathStage, type Receipt, type Token
} from '@wigeonlead/protocol'
import type { TargetTracker } from '../process/targets.js'
import type { CompiledModel } from '../version/index.js'
import type { RequestContext } from './context.js'
import { DRIVERS } from './drivers/index.js'
import { PROBE_TIMEOUT_MILLISECONDS, probeStages } from './generation-blame.js'
import { Interruption, type WaitOutcome, type Watchdog } from './generation-watch.js'
import type { PathRun } from './path-run.js'
import { findReceiptFault, type ReceiptFault } from './receipt.js'

/** How an epoch ended. */
export type EpochEnd =
  | { kind: 'whole', reason: FinishReason, tokens: number }
  /** `blamed` lists the targets known to have failed; absent if the stages were not examined yet. */
  | { kind: 'failed', failure: Failure, blamed?: string[] }
  | { kind: 'interrupted', interruption: Interruption.Deadline | Interruption.HungUp }

/** The request of an epoch, and what it shares with the other epochs. */
export interface EpochOptions {
  model: CompiledModel
  request: GenerationRequest
  /** Tokens delivered so far; the epoch appends to them. */
  delivered: Token[]
  watchdog: Watchdog
}

/** Runs one epoch. Yields each token once, after appending it to the delivered tokens. */
export async function * runEpoch (context: RequestContext, options: EpochOptions): AsyncGenerator<Token, EpochEnd> {
  const { model, request, delivered, watchdog } = options
  const { engines, targets, paths } = context.dependencies
  const epochEnd = new AbortController()
  const releases = request.stages.map(stage => targets.begin(stage.target))
  const characters = request.prompt.length + request.prefix.reduce((sum, token) => sum + token.text.length, 0)
  const run = paths.beginRun({ version: context.version, model, prompt: request.prompt }, request.stages, characters)
  const events = DRIVERS[model.model.driver](engines, request, epochEnd.signal)[Symbol.asyncIterator]()
  let isComplete = false
  try {
    while (true) {
      const startedAt = performance.now()
      const next = await nextEvent(context, events, request, run, watchdog)
      if ('kind' in next) {
        if (next.kind === 'failed' && next.blamed?.length === 0) run.recordStall(performance.now() - startedAt)
        return next
      }
      const { event } = next
      if (event.attempt !== request.attempt) return receiptFailure({ detail: 'the event belongs to another attempt' })
      if (event.kind === EngineEventKind.Failure) return { kind: 'failed', failure: event.failure }
      if (event.kind === EngineEventKind.Finish) {
        const detail = findFinishFault(event.reason, event.tokens, request, delivered.length)
        if (detail !== undefined) return receiptFailure({ detail })
        isComplete = true
        for (const stage of request.stages) targets.recordSuccess(stage.target)
        return { kind: 'whole', reason: event.reason, tokens: event.tokens }
      }
      const tokenFault = findTokenFault(event.token, event.receipt, request, delivered.length)
      if (tokenFault !== undefined) return receiptFailure(tokenFault)
      run.recordToken(performance.now() - startedAt)
      delivered.push(event.token)
      yield event.token
    }
  } finally {
    epochEnd.abort()
    for (const release of releases) release()
    run.end()
    void Promise.resolve(events.return?.()).catch(() => {})
    if (!isComplete) cancelStages(context, request)
  }
}

async function nextEvent (
  context: RequestContext, events: AsyncIterator<EngineEvent>, request: GenerationRequest, run: PathRun, watchdog: Watchdog
): Promise<{ event: EngineEvent } | EpochEnd> {
  const next = events.next()
  next.catch(() => {})
  const timeout = run.stallTimeout()
  const awaited = await watchdog.wait(next, timeout)
  if (awaited.interruption === Interruption.Stalled) return await handleStall(context, next, request, timeout, watchdog)
  return toEvent(awaited, request)
}

const STALLED = { interruption: Interruption.Stalled } as const

/**
 * Decides whether a path that sent no token before the stall timeout has failed. A stage is not at fault if tokens of other requests have
 * passed it in the meantime. If this rules out all stages but one, that stage has failed; otherwise all stages are probed. If the probes
 * find no fault, the first epoch waits for half the timeout longer. After that, the epoch ends if tokens have passed some of the stages but
 * not all, or if the retry budget allows another attempt. Otherwise it keeps waiting, since under overload the path may only be slow.
 */
async function handleStall (
  context: RequestContext, next: Promise<IteratorResult<EngineEvent>>, request: GenerationRequest, timeout: number, watchdog: Watchdog
): Promise<{ event: EngineEvent } | EpochEnd> {
  const { engines, retryBudgets, targets } = context.dependencies
  let stalledTargets = findTargetsWithoutProgress(targets, request.stages, timeout)
  if (stalledTargets.length === 1) return stallFailure(request, timeout, stalledTargets)
  const probing = probeStages(engines, request.stages).then(blamed => ({ blamed }))
  const probed = await watchdog.wait(Promise.race([next, probing]), timeout + PROBE_TIMEOUT_MILLISECONDS)
  if (probed.interruption === undefined) {
    if (!('blamed' in probed.value)) return toEvent({ interruption: undefined, value: probed.value }, request)
    if (probed.value.blamed.length > 0) return stallFailure(request, timeout, probed.value.blamed)
  }
  let awaited: WaitOutcome<IteratorResult<EngineEvent>> = request.epoch > 0 ? STALLED : await watchdog.wait(next, timeout / 2)
  for (let waitMilliseconds = timeout; awaited.interruption === Interruption.Stalled; waitMilliseconds *= 2) {
    stalledTargets = findTargetsWithoutProgress(targets, request.stages, timeout)
    if (stalledTargets.length > 0) return stallFailure(request, timeout, stalledTargets.length === 1 ? stalledTargets : [])
    if (retryBudgets.tryTake(request.model)) return stallFailure(request, timeout, [])
    awaited = await watchdog.wait(next, waitMilliseconds)
  }
  return toEvent(awaited, request)
}

/** @returns the targets that no token has passed for the given time; empty if no token has passed any target of the path. */
function findTargetsWithoutProgress (targets: TargetTracker, stages: PathStage[], milliseconds: number): string[] {
  const withoutProgress = stages.filter(stage => targets.lastProgressAt(stage.target) <= Date.now() - milliseconds)
  return withoutProgress.length < stages.length ? withoutProgress.map(stage => stage.target) : []
}

function toEvent (awaited: WaitOutcome<IteratorResult<EngineEvent>>, request: GenerationRequest): { event: EngineEvent } | EpochEnd {
  if (awaited.interruption === Interruption.Stalled) return stallFailure(request, 0, [])
  if (awaited.interruption !== undefined) return { kind: 'interrupted', interruption: awaited.interruption }
  return awaited.value.done === true ? earlyEndFailure(request) : { event: awaited.value.value }
}

function findTokenFault (token: Token, receipt: Receipt, request: GenerationRequest, index: number): ReceiptFault | undefined {
  if (token.index !== index) return { detail: `token ${token.index} came, not ${index}` }
  return findReceiptFault(receipt, { session: request.session, epoch: request.epoch, index, stages: request.stages })
}

function findFinishFault (reason: FinishReason, tokens: number, request: GenerationRequest, delivered: number): string | undefined {
  if (tokens !== delivered) return `the answer ends after ${tokens} tokens, not ${delivered}`
  if (reason === FinishReason.Length && tokens < request.maximumTokens) return `the answer is cut at ${tokens} of ${request.maximumTokens} tokens`
  return undefined
}

function stallFailure (request: GenerationRequest, afterMilliseconds: number, blamed: string[]): EpochEnd {
  const peer = blamed[0] ?? request.stages[0]?.target ?? 'local'
  const failure: Failure = { kind: FailureKind.TimedOut, step: Step.Engine, peer, detail: 'no token in time', afterMilliseconds }
  return { kind: 'failed', failure, blamed }
}

function receiptFailure ({ detail, target }: ReceiptFault): EpochEnd {
  const peer = target ?? 'path'
  return { kind: 'failed', failure: { kind: FailureKind.Malformed, step: Step.Receipt, peer, detail }, blamed: target === undefined ? [] : [target] }
}

function earlyEndFailure (request: GenerationRequest): EpochEnd {
  const peer = request.stages[0]?.target ?? 'local'
  return { kind: 'failed', failure: { kind: FailureKind.Broken, step: Step.Engine, peer, detail: 'the stream ended early' } }
}

function cancelStages (context: RequestContext, request: GenerationRequest): void {
  for (const stage of request.stages) void context.dependencies.engines.cancel(stage, request.session, request.epoch)
}
