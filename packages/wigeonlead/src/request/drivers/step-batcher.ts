/**
 * Batches the steps of many sessions at the same stage into one call. While two calls to a stage are in flight, further steps are queued,
 * so that a busy stage gets few large calls. Each prefill is sent in a separate call: it is long, and other steps need not wait.
 */
import { randomUUID } from 'node:crypto'
import {
  FailureKind, Step, failed, success,
  type EnginePort, type Outcome, type PathStage, type StepInput, type StepResult
} from '@wigeonlead/protocol'

/** Runs steps of sessions at stages, in batches. */
export interface StepBatcher {
  /** Runs one step of a session. @returns its result; a call that lacks this step's result is a failure. */
  run: (stage: PathStage, input: StepInput, signal: AbortSignal) => Promise<Outcome<StepResult>>
}

const MAX_CALLS_PER_STAGE = 2
const MAX_INPUTS_PER_CALL = 64

interface PendingStep {
  input: StepInput
  signal: AbortSignal
  resolve: (outcome: Outcome<StepResult>) => void
}

/** Steps of one stage that wait for a call. */
interface StageQueue {
  stage: PathStage
  pending: PendingStep[]
  callsInFlight: number
  isFlushing: boolean
}

const batchers = new WeakMap<EnginePort, StepBatcher>()

/** @returns the batcher of an engine port, which all its sessions share. */
export function getBatcher (engines: EnginePort): StepBatcher {
  let batcher = batchers.get(engines)
  if (batcher === undefined) {
    batcher = createStepBatcher(engines)
    batchers.set(engines, batcher)
  }
  return batcher
}

/** Creates a batcher for an engine port. */
export function createStepBatcher (engines: EnginePort): StepBatcher {
  const queues = new Map<string, StageQueue>()

  function flush (queue: StageQueue): void {
    queue.isFlushing = false
    queue.pending = queue.pending.filter(step => !resolveIfAborted(step))
    while (queue.pending.length > 0 && queue.callsInFlight < MAX_CALLS_PER_STAGE) {
      const batch = takeBatch(queue.pending)
      queue.callsInFlight += 1
      void call(queue, batch)
    }
    if (queue.pending.length === 0 && queue.callsInFlight === 0) queues.delete(queue.stage.target)
  }

  async function call (queue: StageQueue, batch: PendingStep[]): Promise<void> {
    const { signal, stop } = abortAfterAll(batch.map(step => step.signal))
    const outcome = await engines.step(queue.stage, { attempt: randomUUID(), inputs: batch.map(step => step.input) }, signal)
    stop()
    for (const step of batch) step.resolve(outcome.ok ? pickResult(queue.stage, outcome.value, step.input) : outcome)
    queue.callsInFlight -= 1
    flush(queue)
  }

  return {
    run (stage, input, signal) {
      return new Promise(resolve => {
        const queue = queues.get(stage.target) ?? { stage, pending: [], callsInFlight: 0, isFlushing: false }
        queues.set(stage.target, queue)
        queue.pending.push({ input, signal, resolve })
        if (queue.isFlushing) return
        queue.isFlushing = true
        queueMicrotask(() => flush(queue))
      })
    }
  }
}

function takeBatch (pending: PendingStep[]): PendingStep[] {
  const prefill = pending.findIndex(step => step.input.prefill !== undefined)
  if (prefill === 0) return pending.splice(0, 1)
  return pending.splice(0, Math.min(MAX_INPUTS_PER_CALL, prefill > 0 ? prefill : pending.length))
}

/** Resolves a step whose signal is aborted with a failure. @returns whether it was aborted. */
function resolveIfAborted ({ input, signal, resolve }: PendingStep): boolean {
  if (!signal.aborted) return false
  resolve(failed({ kind: FailureKind.Aborted, step: Step.Engine, peer: 'local', detail: `the step of ${input.session} was given up` }))
  return true
}

function pickResult (stage: PathStage, results: StepResult[], input: StepInput): Outcome<StepResult> {
  const result = results.find(entry => entry.session === input.session && entry.epoch === input.epoch && entry.index === input.index)
  if (result !== undefined) return success(result)
  return failed({ kind: FailureKind.Malformed, step: Step.Engine, peer: stage.target, detail: 'no result for this step' })
}

/** @returns a signal that aborts once all the given signals have. */
function abortAfterAll (signals: AbortSignal[]): { signal: AbortSignal, stop: () => void } {
  const controller = new AbortController()
  let remaining = signals.length
  const onAbort = (): void => {
    remaining -= 1
    if (remaining === 0) controller.abort()
  }
  for (const signal of signals) signal.addEventListener('abort', onAbort)
  const stop = (): void => { for (const signal of signals) signal.removeEventListener('abort', onAbort) }
  return { signal: controller.signal, stop }
}
