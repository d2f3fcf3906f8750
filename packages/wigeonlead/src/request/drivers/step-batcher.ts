/**
 * Joins the steps that many sessions want of the same stage into one call. While calls to a stage are under way, the steps for
 * it gather, so that a busy stage gets few and large calls. Prefills go by themselves: they are long and nothing should wait for them.
 */
import { randomUUID } from 'node:crypto'
import {
  FailureKind, Step, failed, success,
  type EnginePort, type Outcome, type PathStage, type StepInput, type StepResult
} from '@wigeonlead/protocol'

/** Steps of sessions at stages. */
export interface StepBatcher {
  /** @returns the result of one session's step; a missing result is a failure. */
  run: (stage: PathStage, input: StepInput, signal: AbortSignal) => Promise<Outcome<StepResult>>
}

const MOST_CALLS_A_STAGE = 2
const MOST_INPUTS_A_CALL = 64

interface Waiting {
  input: StepInput
  signal: AbortSignal
  resolve: (outcome: Outcome<StepResult>) => void
}

interface StageQueue {
  stage: PathStage
  waiting: Waiting[]
  calls: number
  isFlushing: boolean
}

const batchers = new WeakMap<EnginePort, StepBatcher>()

/** @returns the one batcher of an engine port. */
export function batcherOf (engines: EnginePort): StepBatcher {
  let batcher = batchers.get(engines)
  if (batcher === undefined) {
    batcher = createStepBatcher(engines)
    batchers.set(engines, batcher)
  }
  return batcher
}

/** Makes a batcher for an engine port. */
export function createStepBatcher (engines: EnginePort): StepBatcher {
  const queues = new Map<string, StageQueue>()

  function flush (queue: StageQueue): void {
    queue.isFlushing = false
    queue.waiting = queue.waiting.filter(each => !isGivenUp(each))
    while (queue.waiting.length > 0 && queue.calls < MOST_CALLS_A_STAGE) {
      const batch = takeBatch(queue.waiting)
      queue.calls += 1
      void call(queue, batch)
    }
    if (queue.waiting.length === 0 && queue.calls === 0) queues.delete(queue.stage.target)
  }

  async function call (queue: StageQueue, batch: Waiting[]): Promise<void> {
    const { signal, stop } = abortWhenAll(batch.map(each => each.signal))
    const outcome = await engines.step(queue.stage, { attempt: randomUUID(), inputs: batch.map(each => each.input) }, signal)
    stop()
    for (const each of batch) each.resolve(outcome.ok ? pickResult(queue.stage, outcome.value, each.input) : outcome)
    queue.calls -= 1
    flush(queue)
  }

  return {
    run (stage, input, signal) {
      return new Promise(resolve => {
        const queue = queues.get(stage.target) ?? { stage, waiting: [], calls: 0, isFlushing: false }
        queues.set(stage.target, queue)
        queue.waiting.push({ input, signal, resolve })
        if (queue.isFlushing) return
        queue.isFlushing = true
        queueMicrotask(() => flush(queue))
      })
    }
  }
}

function takeBatch (waiting: Waiting[]): Waiting[] {
  const prefill = waiting.findIndex(each => each.input.prefill !== undefined)
  if (prefill === 0) return waiting.splice(0, 1)
  return waiting.splice(0, Math.min(MOST_INPUTS_A_CALL, prefill > 0 ? prefill : waiting.length))
}

function isGivenUp ({ input, signal, resolve }: Waiting): boolean {
  if (!signal.aborted) return false
  resolve(failed({ kind: FailureKind.Aborted, step: Step.Engine, peer: 'local', detail: `the step of ${input.session} was given up` }))
  return true
}

function pickResult (stage: PathStage, results: StepResult[], input: StepInput): Outcome<StepResult> {
  const result = results.find(each => each.session === input.session && each.epoch === input.epoch && each.index === input.index)
  if (result !== undefined) return success(result)
  return failed({ kind: FailureKind.Malformed, step: Step.Engine, peer: stage.target, detail: 'no result for this step' })
}

function abortWhenAll (signals: AbortSignal[]): { signal: AbortSignal, stop: () => void } {
  const controller = new AbortController()
  let left = signals.length
  const onAbort = (): void => {
    left -= 1
    if (left === 0) controller.abort()
  }
  for (const signal of signals) signal.addEventListener('abort', onAbort)
  const stop = (): void => { for (const signal of signals) signal.removeEventListener('abort', onAbort) }
  return { signal: controller.signal, stop }
}
