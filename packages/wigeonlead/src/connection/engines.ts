/**
 * Adapter of the engine port to HTTP and JSON lines. docs/INTERFACES.md describes the interface.
 */
import { Agent, request, type IncomingMessage } from 'node:http'
import { z } from 'zod'
import {
  EngineEventKind, FailureKind, Step, cacheExportSchema, callJson, createLineReader, createMemoryBudget, destroyOnAbort, engineReportSchema,
  engineWireEventSchema, failed, sendRequest, stepAnswerSchema, success,
  type EngineEvent, type EnginePort, type EngineWireEvent, type Failure, type GenerationRequest, type JsonCallOptions, type MemoryBudget,
  type OpenHolding, type Outcome, type TargetAddress
} from '@wigeonlead/protocol'

const CONTROL_DEADLINE_MILLISECONDS = 2000
const STEP_DEADLINE_MILLISECONDS = 30_000
const CACHE_DEADLINE_MILLISECONDS = 10_000
const MAXIMUM_LINE_BYTES = 1_048_576
const DRAIN_TIMEOUT_MILLISECONDS = 1000
const EMPTY_SCHEMA = z.object({})

/**
 * Creates an engine port over HTTP.
 * @param memory the memory for incomplete lines; by default, it is not bounded.
 */
export function createHttpEngines (memory: MemoryBudget = createMemoryBudget(() => Infinity)): EnginePort {
  const agent = new Agent({ keepAlive: true, maxFreeSockets: 256 })

  async function call<T> (
    target: TargetAddress, path: string, body: unknown, schema: z.ZodType<T>, step: Step, deadlineMilliseconds: number,
    options: JsonCallOptions = {}
  ): Promise<Outcome<T>> {
    const openHolding: OpenHolding = onEvicted => memory.open(onEvicted, target.target)
    const url = `http://${target.address}${path}`
    return nameTarget(target, await callJson(url, body, schema, step, deadlineMilliseconds, { ...options, openHolding }))
  }

  async function post (
    target: TargetAddress, path: string, body: unknown, step: Step, deadlineMilliseconds: number
  ): Promise<Outcome<undefined>> {
    const outcome = await call(target, path, body, EMPTY_SCHEMA, step, deadlineMilliseconds)
    return outcome.ok ? success(undefined) : outcome
  }

  return {
    generate: (target, generation, signal) => generate(agent, memory, target, generation, signal),
    async step (target, stepRequest) {
      const outcome = await call(target, '/v1/step', stepRequest, stepAnswerSchema, Step.Engine, STEP_DEADLINE_MILLISECONDS)
      if (!outcome.ok) return outcome
      if (outcome.value.attempt === stepRequest.attempt) return success(outcome.value.results)
      return failed(malformed(target, 'the answer belongs to another attempt'))
    },
    async cancel (target, session, epoch) {
      return await post(target, '/v1/cancel', { session, epoch }, Step.Engine, CONTROL_DEADLINE_MILLISECONDS)
    },
    report: (target, deadlineMilliseconds) =>
      call(target, '/v1/report', undefined, engineReportSchema, Step.Engine, deadlineMilliseconds, { method: 'GET' }),
    order: (target, fencingToken, order, deadlineMilliseconds) =>
      post(target, '/v1/orders', { fencingToken, order }, Step.EngineOrder, deadlineMilliseconds),
    exportCache: (target, session, epoch) =>
      call(target, '/v1/cache/export', { session, epoch }, cacheExportSchema, Step.CacheTransfer, CACHE_DEADLINE_MILLISECONDS),
    importCache: (target, cache, epoch) => post(target, '/v1/cache/import', { cache, epoch }, Step.CacheTransfer, CACHE_DEADLINE_MILLISECONDS)
  }
}

/** Sets the target's name as the peer of a failure, in place of the address that the HTTP client sets. */
function nameTarget<T> (target: TargetAddress, outcome: Outcome<T>): Outcome<T> {
  return outcome.ok ? outcome : failed({ ...outcome.failure, peer: target.target })
}

async function * generate (
  agent: Agent, memory: MemoryBudget, target: TargetAddress, generation: GenerationRequest, signal: AbortSignal
): AsyncIterable<EngineEvent> {
  const connection = { isConnected: false }
  const aborter = new AbortController()
  const onAbort = (): void => aborter.abort()
  signal.addEventListener('abort', onAbort)
  if (signal.aborted) aborter.abort()
  let isFinished = false
  try {
    const response = await open(agent, target, generation, aborter.signal, connection)
    if (response.statusCode !== 200) {
      response.resume()
      const status = response.statusCode ?? 0
      yield failure(generation, { ...origin(target), kind: FailureKind.Refused, detail: `status ${status}`, status })
      return
    }
    const reader = createLineReader(response, MAXIMUM_LINE_BYTES, onEvicted => memory.open(onEvicted, target.target))
    for (let lines = await reader.next(); lines !== undefined; lines = await reader.next()) {
      for (const line of lines) {
        const event = readEvent(line, target, generation)
        if (event.kind === EngineEventKind.Finish) {
          isFinished = true
          signal.removeEventListener('abort', onAbort)
          drain(response)
        }
        yield event
        if (event.kind !== EngineEventKind.Token) return
      }
    }
    yield failure(generation, { ...origin(target), kind: FailureKind.Broken, detail: 'the stream ended without a finish' })
  } catch (cause) {
    const kind = signal.aborted ? FailureKind.Aborted : connection.isConnected ? FailureKind.Broken : FailureKind.Unreachable
    yield failure(generation, { ...origin(target), kind, detail: cause instanceof Error ? cause.message : String(cause), cause })
  } finally {
    signal.removeEventListener('abort', onAbort)
    if (!isFinished) aborter.abort()
  }
}

/** Reads an answer to its end after its last event, so that its connection can be reused. */
function drain (response: IncomingMessage): void {
  if (response.complete) return
  const timer = setTimeout(() => response.destroy(), DRAIN_TIMEOUT_MILLISECONDS)
  response.once('close', () => clearTimeout(timer))
  response.resume()
}

function open (
  agent: Agent, target: TargetAddress, generation: GenerationRequest, signal: AbortSignal, connection: { isConnected: boolean }
): Promise<IncomingMessage> {
  const outgoing = request(`http://${target.address}/v1/generate`, {
    method: 'POST', agent, headers: { 'content-type': 'application/json' }
  })
  destroyOnAbort(outgoing, signal)
  outgoing.setNoDelay(true)
  return sendRequest(outgoing, JSON.stringify(generation), () => { connection.isConnected = true })
}

function readEvent (line: string, target: TargetAddress, generation: GenerationRequest): EngineEvent {
  let event: EngineWireEvent
  try {
    const value: unknown = JSON.parse(line)
    event = isTokenEvent(value) ? value : engineWireEventSchema.parse(value)
  } catch (cause) {
    return failure(generation, { ...malformed(target, 'not an event'), cause })
  }
  if (event.attempt !== generation.attempt) return failure(generation, malformed(target, 'the event belongs to another attempt'))
  if (event.kind !== EngineEventKind.Failure) return event
  const kind = event.notAccepted === true ? FailureKind.Refused : FailureKind.Broken
  return failure(generation, { step: Step.Engine, peer: event.target ?? target.target, kind, detail: event.detail })
}

/** Checks the same conditions as the schema of a token event. It is handwritten for speed, because it runs for every token. */
function isTokenEvent (value: unknown): value is Extract<EngineWireEvent, { kind: EngineEventKind.Token }> {
  if (!isRecord(value) || value.kind !== EngineEventKind.Token || !isRecord(value.token) || !isRecord(value.receipt)) return false
  const { token, receipt } = value
  return typeof value.attempt === 'string' && Number.isInteger(token.index) && typeof token.text === 'string' &&
    typeof receipt.session === 'string' && Number.isInteger(receipt.epoch) && Number.isInteger(receipt.index) &&
    Array.isArray(receipt.stages) && receipt.stages.every(isStageReceipt)
}

function isStageReceipt (value: unknown): boolean {
  return isRecord(value) && typeof value.target === 'string' && isRecord(value.layers) &&
    Number.isInteger(value.layers.from) && Number.isInteger(value.layers.to)
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}

function failure (generation: GenerationRequest, failure: Failure): EngineEvent {
  return { kind: EngineEventKind.Failure, attempt: generation.attempt, failure }
}

function malformed (target: TargetAddress, detail: string): Failure {
  return { ...origin(target), kind: FailureKind.Malformed, detail }
}

function origin (target: TargetAddress): { step: Step, peer: string } {
  return { step: Step.Engine, peer: target.target }
}
