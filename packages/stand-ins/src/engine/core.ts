/**
 * A stand-in model engine without sockets. It runs steps, runs generations along a chain of stages, carries out orders, creates reports,
 * and exports and imports caches.
 */
import {
  EngineEventKind, EngineOrderKind, EngineRole, FinishReason,
  type CacheExport, type EngineOrder, type EngineReport, type EngineWireEvent, type GenerationRequest, type ModelPart, type LayerRange,
  type PathStage, type StepInput, type StepRequest, type StepResult
} from '@wigeonlead/protocol'
import { createAccelerator, type AcceleratorTiming } from './accelerator.js'
import type { EngineFaults } from './faults.js'
import { answerLength, initialState, runLayers, tokenText } from './model.js'

/** A ledger entry: one run of a range of layers. */
export interface LedgerEntry {
  session: string
  epoch: number
  index: number
  from: number
  to: number
}

/** An entry of the ledger of orders: one order and its result. */
export interface OrderLedgerEntry {
  fencingToken: number
  order: EngineOrder
  atMilliseconds: number
  /** Why the engine refused the order; absent if the order was carried out. */
  refused?: string
}

/** Options of an engine. */
export interface EngineOptions {
  name: string
  held: ModelPart[]
  /** Duration of one step, milliseconds; 0 by default. */
  stepMilliseconds?: number
  /** Simulates an accelerator that batches steps, instead of `stepMilliseconds`. */
  accelerator?: AcceleratorTiming
  /** Whether the engine refuses orders with an outdated fencing token. */
  checksFencing?: boolean
  /** Number of parts that fit into the engine's memory; unlimited by default. */
  maximumParts?: number
}

/** Runs a step at another stage of the chain. */
export type ForwardStep = (stage: PathStage, request: StepRequest, signal: AbortSignal) => Promise<StepResult[]>

/** A stand-in engine. */
export interface Engine {
  name: string
  faults: EngineFaults
  ledger: LedgerEntry[]
  orders: OrderLedgerEntry[]
  /** Counts of session caches exported, imported and reused; a reused cache saves the prefill of its tokens. */
  caches: { exported: number, imported: number, reused: number }
  step: (request: StepRequest) => Promise<StepResult[]>
  generate: (request: GenerationRequest, forward: ForwardStep, signal: AbortSignal) => AsyncIterable<EngineWireEvent>
  cancel: (session: string, epoch: number) => void
  /** Carries out an order; returns the reason if the order was refused. */
  order: (fencingToken: number, order: EngineOrder) => string | undefined
  report: () => EngineReport
  /** Returns the number of running sessions, without the lag of a report; for measurements. */
  sessions: () => number
  exportCache: (session: string, epoch: number) => CacheExport | undefined
  importCache: (cache: CacheExport, epoch: number) => void
  /** Restarts the engine: it holds no parts and no caches, has a new incarnation, and is neither dead nor stalled. */
  restart: () => void
}

interface SessionCache {
  epoch: number
  prompt: string
  texts: string[]
  layers: LayerRange
}

/** Creates a stand-in engine. */
export function createEngine (options: EngineOptions): Engine {
  const faults: EngineFaults = { isDead: false, isStalled: false, slowdown: 1 }
  const ledger: LedgerEntry[] = []
  const orders: OrderLedgerEntry[] = []
  const caches = { exported: 0, imported: 0, reused: 0 }
  const sessions = new Map<string, SessionCache>()
  const cancelled = new Map<string, number>()
  let held = [...options.held]
  let role = EngineRole.Both
  let highestFencingToken = 0
  let incarnation = 1
  let running = 0
  const accelerator = options.accelerator === undefined ? undefined : createAccelerator(options.accelerator, faults)

  async function step (request: StepRequest): Promise<StepResult[]> {
    countDownToDeath(faults)
    if (accelerator !== undefined) await accelerator.run(request.inputs)
    else await pause((options.stepMilliseconds ?? 0) * faults.slowdown)
    while (faults.isStalled) await pause(20)
    if (faults.isDead) throw new Error('the engine is dead')
    return request.inputs.map(input => {
      const result = runStep(input)
      return faults.corrupt === undefined ? result : faults.corrupt(result)
    })
  }

  function runStep (input: StepInput): StepResult {
    const base = { session: input.session, epoch: input.epoch, index: input.index }
    const refused = findRefusal(input)
    if (refused !== undefined) return { ...base, refused }
    const cache = updateCache(input)
    if (cache === undefined) return { ...base, refused: 'no cache of this session' }
    const stateBefore = input.activation === undefined ? initialState(input, cache.prompt, cache.texts) : readActivation(input.activation)
    const state = runLayers(stateBefore, input.layers)
    ledger.push({ ...base, ...input.layers })
    const receipt = { target: options.name, layers: input.layers }
    if (input.index + 1 >= answerLength(cache.prompt)) accelerator?.endSession(input.session)
    if (!input.isLast) return { ...base, receipt, activation: writeActivation(state) }
    if (input.index >= answerLength(cache.prompt)) return { ...base, receipt, finish: FinishReason.Stop }
    const finish = input.index + 1 >= answerLength(cache.prompt) ? FinishReason.Stop : undefined
    return { ...base, receipt, token: tokenText(state), finish }
  }

  function findRefusal (input: StepInput): string | undefined {
    if ((cancelled.get(input.session) ?? -1) >= input.epoch) return 'the epoch was cancelled'
    const part = held.find(part => part.model === input.model && part.version === input.version &&
      part.layers.from <= input.layers.from && part.layers.to >= input.layers.to)
    if (part === undefined) return 'the layers are not held'
    if (input.adapter !== undefined && !part.adapters.includes(input.adapter)) return 'the adapter is not held'
    return undefined
  }

  function updateCache (input: StepInput): SessionCache | undefined {
    if (input.prefill !== undefined) {
      const texts = input.prefill.prefix.map(token => token.text)
      if (isReusable(sessions.get(cacheKey(input.session, input.epoch)), input, texts)) caches.reused += 1
      sessions.set(cacheKey(input.session, input.epoch), { epoch: input.epoch, prompt: input.prefill.prompt, texts, layers: input.layers })
    }
    const cache = sessions.get(cacheKey(input.session, input.epoch))
    if (cache === undefined || cache.epoch !== input.epoch) return undefined
    if (input.previousToken !== undefined) cache.texts.push(input.previousToken)
    return cache.texts.length === input.index ? cache : undefined
  }

  async function * generate (request: GenerationRequest, forward: ForwardStep, signal: AbortSignal): AsyncIterable<EngineWireEvent> {
    running += 1
    try {
      yield * generateTokens(request, forward, signal)
    } finally {
      running -= 1
    }
  }

  async function * generateTokens (request: GenerationRequest, forward: ForwardStep, signal: AbortSignal): AsyncIterable<EngineWireEvent> {
    const { attempt, session, epoch, stages } = request
    let previousToken: string | undefined
    for (let index = request.prefix.length; index < request.maximumTokens && !signal.aborted; index += 1) {
      let activation: string | undefined
      let result: StepResult | undefined
      const receipts = []
      for (const stage of stages) {
        const input: StepInput = {
          ...pickReference(request),
          session,
          epoch,
          index,
          layers: stage.layers,
          prefill: previousToken === undefined ? { prompt: request.prompt, prefix: request.prefix } : undefined,
          activation,
          previousToken,
          isLast: stage === stages.at(-1),
          priority: request.priority
        }
        const call = { attempt, inputs: [input] }
        result = stage.target === options.name ? (await step(call))[0] : await callStage(forward, stage, call, signal)
        if (result?.receipt === undefined) {
          yield { kind: EngineEventKind.Failure, attempt, detail: result?.refused ?? 'no result', target: stage.target, notAccepted: index === request.prefix.length }
          return
        }
        receipts.push(result.receipt)
        activation = result.activation
      }
      if (result?.token === undefined) {
        yield { kind: EngineEventKind.Finish, attempt, reason: result?.finish ?? FinishReason.Stop, tokens: index }
        return
      }
      const token = { index, text: result.token }
      yield { kind: EngineEventKind.Token, attempt, token, receipt: { session, epoch, index, stages: receipts } }
      previousToken = token.text
      if (result?.finish !== undefined) {
        yield { kind: EngineEventKind.Finish, attempt, reason: result.finish, tokens: index + 1 }
        return
      }
    }
    yield { kind: EngineEventKind.Finish, attempt, reason: FinishReason.Length, tokens: request.maximumTokens }
  }

  function order (fencingToken: number, change: EngineOrder): string | undefined {
    const refused = findOrderRefusal(fencingToken, change)
    orders.push({ fencingToken, order: change, atMilliseconds: Date.now(), refused })
    if (refused !== undefined) return refused
    highestFencingToken = Math.max(highestFencingToken, fencingToken)
    if (change.kind === EngineOrderKind.SetRole) role = change.role
    else held = held.filter(part => !isSamePart(part, change.part))
    if (change.kind === EngineOrderKind.Load) held.push(change.part)
    return undefined
  }

  function findOrderRefusal (fencingToken: number, change: EngineOrder): string | undefined {
    if (options.checksFencing === true && fencingToken < highestFencingToken) return 'the fencing token is old'
    if (change.kind !== EngineOrderKind.Load || held.some(part => isSamePart(part, change.part))) return undefined
    return held.length >= (options.maximumParts ?? Infinity) ? 'no room for the part' : undefined
  }

  return {
    name: options.name,
    faults,
    ledger,
    orders,
    caches,
    step,
    generate,
    cancel (session, epoch) {
      accelerator?.endSession(session)
      cancelled.set(session, Math.max(epoch, cancelled.get(session) ?? -1))
    },
    order,
    sessions: () => accelerator?.sessions() ?? running,
    report: () => ({
      target: options.name,
      incarnation: `${options.name}-${incarnation}`,
      atMilliseconds: Date.now(),
      running,
      queued: 0,
      tokensPerSecond: 0,
      role,
      held,
      fencingToken: options.checksFencing === true ? highestFencingToken : undefined,
      cacheEvents: [],
      ...accelerator?.report()
    }),
    exportCache (session, epoch) {
      const cache = sessions.get(cacheKey(session, epoch))
      if (cache === undefined || cache.epoch !== epoch) return undefined
      caches.exported += 1
      return { session, epoch, tokens: cache.texts.length, layers: cache.layers, content: JSON.stringify(cache) }
    },
    importCache (cache, epoch) {
      if (sessions.has(cacheKey(cache.session, epoch))) return
      caches.imported += 1
      sessions.set(cacheKey(cache.session, epoch), { ...JSON.parse(cache.content) as SessionCache, epoch })
    },
    restart () {
      incarnation += 1
      held = []
      sessions.clear()
      cancelled.clear()
      Object.assign(faults, { isDead: false, isStalled: false, dieAfterSteps: undefined })
    }
  }
}

async function callStage (forward: ForwardStep, stage: PathStage, call: StepRequest, signal: AbortSignal): Promise<StepResult | undefined> {
  try {
    return (await forward(stage, call, signal))[0]
  } catch {
    return undefined
  }
}

function countDownToDeath (faults: EngineFaults): void {
  if (faults.dieAfterSteps !== undefined && --faults.dieAfterSteps < 0) faults.isDead = true
}

function cacheKey (session: string, epoch: number): string {
  return `${session}/${epoch}`
}

function isReusable (cache: SessionCache | undefined, input: StepInput, texts: string[]): boolean {
  return cache !== undefined && cache.epoch === input.epoch && cache.prompt === input.prefill?.prompt &&
    cache.layers.from === input.layers.from && cache.layers.to === input.layers.to &&
    cache.texts.slice(0, texts.length).every((text, index) => text === texts[index])
}

function isSamePart (left: ModelPart, right: ModelPart): boolean {
  return left.model === right.model && left.version === right.version &&
    left.layers.from === right.layers.from && left.layers.to === right.layers.to
}

function pickReference (request: GenerationRequest): Pick<StepInput, 'model' | 'version' | 'adapter'> {
  return { model: request.model, version: request.version, adapter: request.adapter }
}

function writeActivation (state: number): string {
  return Buffer.from(state.toString(16)).toString('base64')
}

function readActivation (activation: string): number {
  return parseInt(Buffer.from(activation, 'base64').toString(), 16)
}

function pause (milliseconds: number): Promise<void> {
  return milliseconds > 0 ? new Promise(resolve => setTimeout(resolve, milliseconds)) : Promise.resolve()
}
