/**
 * One epoch of a generation along one path: checks each token and its receipt, notices stalls, and cancels what it leaves behind.
 */
import {
  EngineEventKind, FailureKind, FinishReason, Step,
  type EngineEvent, type Failure, type GenerationRequest, type PathStage, type Receipt, type Token
} from '@wigeonlead/protocol'
import type { TargetBoard } from '../process/targets.js'
import type { CompiledModel } from '../version/index.js'
import type { RequestContext } from './context.js'
import { DRIVERS } from './drivers/index.js'
import { PROBE_TIMEOUT_MILLISECONDS, probeStages } from './generation-blame.js'
import { Interruption, type Awaited, type Watch } from './generation-watch.js'
import type { PathRun } from './path-run.js'
import { findReceiptFault, type ReceiptFault } from './receipt.js'

/** How an epoch ended. */
export type EpochEnd =
  | { kind: 'whole', reason: FinishReason, tokens: number }
  /** `blamed` are the targets known to have failed, where that was found out already. */
  | { kind: 'failed', failure: Failure, blamed?: string[] }
  | { kind: 'interrupted', interruption: Interruption.Deadline | Interruption.HungUp }

/** What an epoch runs. */
export interface EpochOptions {
  model: CompiledModel
  request: GenerationRequest
  /** Tokens delivered so far; the epoch appends to them. */
  delivered: Token[]
  watch: Watch
}

/** Runs one epoch; yields each token once, right before it counts as delivered to the caller. */
export async function * runEpoch (context: RequestContext, options: EpochOptions): AsyncGenerator<Token, EpochEnd> {
  const { model, request, delivered, watch } = options
  const { engines, targets, paths } = context.parts
  const ended = new AbortController()
  const releases = request.stages.map(stage => targets.begin(stage.target))
  const characters = request.prompt.length + request.prefix.reduce((sum, token) => sum + token.text.length, 0)
  const run = paths.follow({ version: context.version, model, prompt: request.prompt }, request.stages, characters)
  const events = DRIVERS[model.model.driver](engines, request, ended.signal)[Symbol.asyncIterator]()
  let isWhole = false
  try {
    while (true) {
      const startedAt = performance.now()
      const next = await nextEvent(context, events, request, run, watch)
      if ('kind' in next) {
        if (next.kind === 'failed' && next.blamed?.length === 0) run.recordStall(performance.now() - startedAt)
        return next
      }
      const { event } = next
      if (event.attempt !== request.attempt) return fault({ detail: 'the event belongs to another attempt' })
      if (event.kind === EngineEventKind.Failure) return { kind: 'failed', failure: event.failure }
      if (event.kind === EngineEventKind.Finish) {
        const detail = findFinishFault(event.reason, event.tokens, request, delivered.length)
        if (detail !== undefined) return fault({ detail })
        isWhole = true
        for (const stage of request.stages) targets.recordSuccess(stage.target)
        return { kind: 'whole', reason: event.reason, tokens: event.tokens }
      }
      const wrong = findTokenFault(event.token, event.receipt, request, delivered.length)
      if (wrong !== undefined) return fault(wrong)
      run.recordToken(performance.now() - startedAt)
      delivered.push(event.token)
      yield event.token
    }
  } finally {
    ended.abort()
    for (const release of releases) release()
    run.end()
    void Promise.resolve(events.return?.()).catch(() => {})
    if (!isWhole) cancelStages(context, request)
  }
}

async function nextEvent (
  context: RequestContext, events: AsyncIterator<EngineEvent>, request: GenerationRequest, run: PathRun, watch: Watch
): Promise<{ event: EngineEvent } | EpochEnd> {
  const next = events.next()
  next.catch(() => {})
  const timeout = run.stallTimeout()
  const awaited = await watch.wait(next, timeout)
  if (awaited.interruption === Interruption.Stalled) return await waitOutStall(context, next, request, timeout, watch)
  return toEvent(awaited, request)
}

const STALLED = { interruption: Interruption.Stalled } as const

/**
 * A stage that other requests' tokens went on to pass is not the stalled one: where that leaves one stage, it is to blame. Without
 * such evidence, a second try is taken from the retry budget: a slow path in an overload is waited for instead.
 */
async function waitOutStall (
  context: RequestContext, next: Promise<IteratorResult<EngineEvent>>, request: GenerationRequest, timeout: number, watch: Watch
): Promise<{ event: EngineEvent } | EpochEnd> {
  const { engines, retries, targets } = context.parts
  let quiet = findQuietStages(targets, request.stages, timeout)
  if (quiet.length === 1) return stalled(request, timeout, quiet)
  const probing = probeStages(engines, request.stages).then(blamed => ({ blamed }))
  const probed = await watch.wait(Promise.race([next, probing]), timeout + PROBE_TIMEOUT_MILLISECONDS)
  if (probed.interruption === undefined) {
    if (!('blamed' in probed.value)) return toEvent({ interruption: undefined, value: probed.value }, request)
    if (probed.value.blamed.length > 0) return stalled(request, timeout, probed.value.blamed)
  }
  let awaited: Awaited<IteratorResult<EngineEvent>> = request.epoch > 0 ? STALLED : await watch.wait(next, timeout / 2)
  for (let longer = timeout; awaited.interruption === Interruption.Stalled; longer *= 2) {
    quiet = findQuietStages(targets, request.stages, timeout)
    if (quiet.length > 0) return stalled(request, timeout, quiet.length === 1 ? quiet : [])
    if (retries.take(request.model)) return stalled(request, timeout, [])
    awaited = await watch.wait(next, longer)
  }
  return toEvent(awaited, request)
}

/** @returns the stages that no token passed for a time, where tokens passed others of the path. */
function findQuietStages (targets: TargetBoard, stages: PathStage[], milliseconds: number): string[] {
  const quiet = stages.filter(stage => targets.lastProgressAt(stage.target) <= Date.now() - milliseconds)
  return quiet.length < stages.length ? quiet.map(stage => stage.target) : []
}

function toEvent (awaited: Awaited<IteratorResult<EngineEvent>>, request: GenerationRequest): { event: EngineEvent } | EpochEnd {
  if (awaited.interruption === Interruption.Stalled) return stalled(request, 0, [])
  if (awaited.interruption !== undefined) return { kind: 'interrupted', interruption: awaited.interruption }
  return awaited.value.done === true ? endedEarly(request) : { event: awaited.value.value }
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

function stalled (request: GenerationRequest, afterMilliseconds: number, blamed: string[]): EpochEnd {
  const peer = blamed[0] ?? request.stages[0]?.target ?? 'local'
  const failure: Failure = { kind: FailureKind.TimedOut, step: Step.Engine, peer, detail: 'no token in time', afterMilliseconds }
  return { kind: 'failed', failure, blamed }
}

function fault ({ detail, target }: ReceiptFault): EpochEnd {
  const peer = target ?? 'path'
  return { kind: 'failed', failure: { kind: FailureKind.Malformed, step: Step.Receipt, peer, detail }, blamed: target === undefined ? [] : [target] }
}

function endedEarly (request: GenerationRequest): EpochEnd {
  const peer = request.stages[0]?.target ?? 'local'
  return { kind: 'failed', failure: { kind: FailureKind.Broken, step: Step.Engine, peer, detail: 'the stream ended early' } }
}

function cancelStages (context: RequestContext, request: GenerationRequest): void {
  for (const stage of request.stages) void context.parts.engines.cancel(stage, request.session, request.epoch)
}
