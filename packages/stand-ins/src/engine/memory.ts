/**
 * An engine port that calls stand-in engines in the same process.
 */
import {
  EngineEventKind, FailureKind, Step, failed, success,
  type EngineEvent, type EnginePort, type EngineWireEvent, type Failure, type GenerationRequest, type Outcome, type TargetAddress
} from '@wigeonlead/protocol'
import { createMillisecondRounder } from '../carry.js'
import type { Engine, ForwardStep } from './core.js'

/** Options of the memory port. */
export interface MemoryEnginesOptions {
  /** Returns the one-way delay between two targets, or between the router (`undefined`) and a target, milliseconds; none by default. */
  delayMilliseconds?: (from: string | undefined, to: string | undefined) => number
}

/** Creates an engine port over a map of engines by target name. */
export function createMemoryEngines (engines: ReadonlyMap<string, Engine>, options: MemoryEnginesOptions = {}): EnginePort {
  const delayMessage = createMessageDelay(options)

  async function call<T> (target: TargetAddress, step: Step, run: (engine: Engine) => T | Promise<T>): Promise<Outcome<T>> {
    const engine = engines.get(target.target)
    if (engine === undefined || engine.faults.isDead) return failed(createUnreachableFailure(target, step))
    try {
      return success(await run(engine))
    } catch (cause) {
      return failed({ kind: FailureKind.Broken, step, peer: target.target, detail: String(cause), cause })
    }
  }

  return {
    generate: (target, request, signal) => generate(engines, delayMessage, target, request, signal),
    step: (target, request) => call(target, Step.Engine, async engine => {
      await delayMessage(undefined, target.target)
      const results = await engine.step(request)
      await delayMessage(target.target, undefined)
      return results
    }),
    cancel: (target, session, epoch) => call(target, Step.Engine, engine => engine.cancel(session, epoch)),
    report: target => call(target, Step.Engine, engine => engine.report()),
    async order (target, fencingToken, order) {
      const outcome = await call(target, Step.EngineOrder, engine => engine.order(fencingToken, order))
      if (!outcome.ok) return outcome
      if (outcome.value === undefined) return success(undefined)
      return failed({ kind: FailureKind.Refused, step: Step.EngineOrder, peer: target.target, detail: outcome.value })
    },
    async exportCache (target, session, epoch) {
      const outcome = await call(target, Step.CacheTransfer, engine => engine.exportCache(session, epoch))
      if (!outcome.ok) return outcome
      if (outcome.value !== undefined) return success(outcome.value)
      return failed({ kind: FailureKind.Refused, step: Step.CacheTransfer, peer: target.target, detail: 'no cache of this session' })
    },
    importCache: (target, cache, epoch) => call(target, Step.CacheTransfer, engine => engine.importCache(cache, epoch))
  }
}

async function * generate (
  engines: ReadonlyMap<string, Engine>, delayMessage: MessageDelay, target: TargetAddress, request: GenerationRequest, signal: AbortSignal
): AsyncIterable<EngineEvent> {
  const forward: ForwardStep = async (stage, call) => {
    const position = request.stages.findIndex(({ target }) => target === stage.target)
    await delayMessage(request.stages[position - 1]?.target, stage.target)
    return await requireLiveEngine(engines, stage.target).step(call)
  }
  await delayMessage(undefined, target.target)
  const engine = engines.get(target.target)
  if (engine === undefined || engine.faults.isDead) {
    yield { kind: EngineEventKind.Failure, attempt: request.attempt, failure: createUnreachableFailure(target, Step.Engine) }
    return
  }
  try {
    for await (const event of engine.generate(request, forward, signal)) {
      await delayMessage(request.stages.at(-1)?.target, target.target)
      if (engine.faults.isDead) break
      yield toPortEvent(event, target)
    }
  } catch {
    // A dead stage breaks the chain; the failure below reports it.
  }
  const failure: Failure = { kind: FailureKind.Broken, step: Step.Engine, peer: target.target, detail: 'the stream ended without a finish' }
  yield { kind: EngineEventKind.Failure, attempt: request.attempt, failure }
}

type MessageDelay = (from: string | undefined, to: string | undefined) => Promise<void> | undefined

function createMessageDelay ({ delayMilliseconds }: MemoryEnginesOptions): MessageDelay {
  const toWholeMilliseconds = createMillisecondRounder()
  return (from, to) => {
    const delay = toWholeMilliseconds(delayMilliseconds?.(from, to) ?? 0)
    return delay > 0 ? new Promise(resolve => setTimeout(resolve, delay)) : undefined
  }
}

function toPortEvent (event: EngineWireEvent, target: TargetAddress): EngineEvent {
  if (event.kind !== EngineEventKind.Failure) return event
  const kind = event.notAccepted === true ? FailureKind.Refused : FailureKind.Broken
  const failure: Failure = { kind, step: Step.Engine, peer: event.target ?? target.target, detail: event.detail }
  return { kind: event.kind, attempt: event.attempt, failure }
}

function requireLiveEngine (engines: ReadonlyMap<string, Engine>, name: string): Engine {
  const engine = engines.get(name)
  if (engine === undefined || engine.faults.isDead) throw new Error(`${name} can't be reached`)
  return engine
}

function createUnreachableFailure (target: TargetAddress, step: Step): Failure {
  return { kind: FailureKind.Unreachable, step, peer: target.target, detail: 'no connection' }
}
