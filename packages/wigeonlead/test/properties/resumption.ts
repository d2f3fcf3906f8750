/**
 * Property: stages may die, stall, slow down, corrupt receipts, repeat events or send events of another session. Even so, the caller
 * receives the tokens of the correct answer, none lost, duplicated or reordered, and the stream ends with one finish or one refusal.
 */
import * as fc from 'fast-check'
import {
  EngineEventKind, FailureKind, FinishReason, Step, manifestSchema,
  type EngineEvent, type EnginePort, type GenerationRequest, type StepResult
} from '@wigeonlead/protocol'
import { createEngine, createMemoryEngines, referenceAnswer, withPausedClock, type Engine, type PausedClock } from '@wigeonlead/stand-ins'
import { DeliveryKind, generate, type Delivery } from '../../src/request/index.js'
import { createRoutingDependencies, type RoutingDependencies } from '../routing-dependencies.js'
import type { ProtocolProperty } from './property.js'

const LAYERS = 8
const MODEL = { model: 'm', version: 'v1' }
const DEADLINE_MILLISECONDS = 20_000
const LONGEST_RUN_MILLISECONDS = DEADLINE_MILLISECONDS + 2000
const STEP_MILLISECONDS = 10
const TARGETS = ['a1', 'a2', 'a3', 'b1', 'b2', 'b3']

/** Faults that are injected into a run. */
enum FaultKind {
  Death = 'death',
  Stall = 'stall',
  Recovery = 'recovery',
  Slow = 'slow',
  WrongLayers = 'wrong-layers',
  WrongTarget = 'wrong-target',
  WrongIndex = 'wrong-index',
  WrongEpoch = 'wrong-epoch',
  Duplicated = 'doubled',
  WrongSession = 'crossed',
  EarlyFinish = 'early-finish',
  HangUp = 'hang-up'
}

const faultArbitrary = fc.record({
  atMilliseconds: fc.integer({ min: 0, max: 600 }),
  kind: fc.constantFrom(...Object.values(FaultKind)),
  target: fc.constantFrom(...TARGETS)
})
const runArbitrary = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  prompt: fc.string({ minLength: 1, maxLength: 12 }),
  replicas: fc.integer({ min: 2, max: 3 }),
  driver: fc.constantFrom('stream', 'step'),
  maximumTokens: fc.integer({ min: 1, max: 40 }),
  faults: fc.array(faultArbitrary, { maxLength: 8 })
})

type Run = typeof runArbitrary extends fc.Arbitrary<infer T> ? T : never
type Fault = Run['faults'][number]

/** The property, for the property runner. */
export const resumptionProperty: ProtocolProperty = {
  name: 'resumption',
  async check ({ seed, runs }) {
    await fc.assert(fc.asyncProperty(runArbitrary, checkRun), { seed, numRuns: runs, includeErrorInReport: true })
  }
}

async function checkRun (run: Run): Promise<void> {
  await withPausedClock(async clock => {
    const engines = new Map(TARGETS.filter(name => Number(name[1]) <= run.replicas).map(name => [name, createTargetEngine(name)]))
    const pendingAnswerFaults = new Set<FaultKind>()
    const caller = new AbortController()
    const port = injectAnswerFaults(createMemoryEngines(engines), pendingAnswerFaults)
    const dependencies = createRoutingDependencies({ engines: port, manifest: createManifest(run), seed: run.seed })
    const deliveries: Delivery[] = []
    let isEnded = false
    const reading = read(dependencies, run, caller.signal, deliveries).then(() => { isEnded = true })
    for (const fault of run.faults) setTimeout(() => applyFault(engines, pendingAnswerFaults, caller, fault), fault.atMilliseconds)
    await advanceUntil(clock, () => isEnded)
    if (!isEnded) throw new Error(`the stream did not end within ${LONGEST_RUN_MILLISECONDS} ms: ${describe(deliveries)}`)
    await reading
    checkDeliveries(run, deliveries)
    await checkCancelled(clock, engines)
  })
}

async function read (dependencies: RoutingDependencies, run: Run, signal: AbortSignal, deliveries: Delivery[]): Promise<void> {
  const { context, order } = dependencies.request({
    ...MODEL, prompt: run.prompt, maximumTokens: run.maximumTokens, signal, deadlineAt: Date.now() + DEADLINE_MILLISECONDS
  })
  for await (const delivery of generate(context, order)) {
    deliveries.push(delivery)
    if (signal.aborted) return
  }
}

async function advanceUntil (clock: PausedClock, isDone: () => boolean): Promise<void> {
  const endsAt = clock.now() + LONGEST_RUN_MILLISECONDS
  while (clock.now() < endsAt && !isDone()) await clock.advance(CLOCK_STEP_MILLISECONDS)
}

const CLOCK_STEP_MILLISECONDS = 100

function checkDeliveries (run: Run, deliveries: Delivery[]): void {
  const expected = referenceAnswer(MODEL, LAYERS, run.prompt, run.maximumTokens)
  const tokens = deliveries.flatMap(delivery => delivery.kind === DeliveryKind.Token ? [delivery.token] : [])
  for (const [index, token] of tokens.entries()) {
    if (token.index !== index || token.text !== expected[index]?.text) throw new Error(`token ${index} is wrong: ${describe(deliveries)}`)
  }
  const hungUp = run.faults.some(fault => fault.kind === FaultKind.HangUp)
  const ends = deliveries.filter(delivery => delivery.kind !== DeliveryKind.Token)
  if (ends.length > 1 || (ends.length === 0 && !hungUp)) throw new Error(`${ends.length} finishes or refusals: ${describe(deliveries)}`)
  if (ends.length === 1 && deliveries.at(-1) !== ends[0]) throw new Error(`a token follows the finish or refusal: ${describe(deliveries)}`)
  if (ends[0]?.kind === DeliveryKind.Finish && tokens.length !== expected.length) throw new Error(`the answer is incomplete: ${describe(deliveries)}`)
}

/** Checks that no engine runs steps after the caller's stream has ended, and that every step ran at most once in an epoch. */
async function checkCancelled (clock: PausedClock, engines: Map<string, Engine>): Promise<void> {
  for (const engine of engines.values()) Object.assign(engine.faults, { isStalled: false, slowdown: 1 })
  await clock.advance(SETTLE_MILLISECONDS)
  const before = [...engines.values()].map(engine => engine.ledger.length)
  await clock.advance(SETTLE_MILLISECONDS)
  for (const [position, engine] of [...engines.values()].entries()) {
    if (engine.ledger.length !== before[position]) throw new Error(`${engine.name} ran steps after the stream had ended`)
    const steps = engine.ledger.map(({ epoch, index, from }) => `${epoch}/${index}/${from}`)
    if (new Set(steps).size !== steps.length) throw new Error(`${engine.name} ran a step twice in an epoch`)
  }
}

const SETTLE_MILLISECONDS = 500

function applyFault (
  engines: Map<string, Engine>, pendingAnswerFaults: Set<FaultKind>, caller: AbortController, { kind, target }: Fault
): void {
  const faults = engines.get(target)?.faults
  if (kind === FaultKind.HangUp) caller.abort()
  if (kind === FaultKind.Duplicated || kind === FaultKind.WrongSession || kind === FaultKind.EarlyFinish) pendingAnswerFaults.add(kind)
  if (faults === undefined) return
  if (kind === FaultKind.Death) faults.isDead = true
  if (kind === FaultKind.Stall) faults.isStalled = true
  if (kind === FaultKind.Slow) faults.slowdown = 10
  if (kind === FaultKind.Recovery) Object.assign(faults, { isDead: false, isStalled: false, slowdown: 1, corrupt: undefined })
  const corrupt = CORRUPTIONS[kind]
  if (corrupt !== undefined) faults.corrupt = corrupt
}

const CORRUPTIONS: Partial<Record<FaultKind, (result: StepResult) => StepResult>> = {
  [FaultKind.WrongLayers]: result => ({ ...result, receipt: result.receipt && { ...result.receipt, layers: { from: 0, to: LAYERS } } }),
  [FaultKind.WrongTarget]: result => ({ ...result, receipt: result.receipt && { ...result.receipt, target: 'other' } }),
  [FaultKind.WrongIndex]: result => ({ ...result, index: result.index + 1 }),
  [FaultKind.WrongEpoch]: result => ({ ...result, epoch: result.epoch - 1 })
}

/** An engine port that applies each pending fault once: it repeats an event, sends an event of another session, or finishes early. */
function injectAnswerFaults (engines: EnginePort, pendingAnswerFaults: Set<FaultKind>): EnginePort {
  return {
    ...engines,
    async * generate (target, request, signal) {
      for await (const event of engines.generate(target, request, signal)) {
        if (event.kind === EngineEventKind.Token && pendingAnswerFaults.delete(FaultKind.WrongSession)) yield toWrongSession(request, event)
        if (event.kind === EngineEventKind.Token && pendingAnswerFaults.delete(FaultKind.EarlyFinish)) {
          yield { kind: EngineEventKind.Finish, attempt: request.attempt, reason: FinishReason.Stop, tokens: event.token.index + 1 }
        }
        yield event
        if (pendingAnswerFaults.delete(FaultKind.Duplicated)) yield event
      }
      const failure = { kind: FailureKind.Broken, step: Step.Engine, peer: target.target, detail: 'ended' } as const
      yield { kind: EngineEventKind.Failure, attempt: request.attempt, failure }
    }
  }
}

function toWrongSession (request: GenerationRequest, event: Extract<EngineEvent, { kind: EngineEventKind.Token }>): EngineEvent {
  const receipt = { ...event.receipt, session: `${request.session}-other` }
  return { ...event, token: { ...event.token, text: ' crossed' }, receipt }
}

function createTargetEngine (name: string): Engine {
  const layers = name.startsWith('a') ? { from: 0, to: LAYERS / 2 } : { from: LAYERS / 2, to: LAYERS }
  return createEngine({ name, held: [{ ...MODEL, adapters: [], layers }], stepMilliseconds: STEP_MILLISECONDS })
}

function createManifest (run: Run) {
  return manifestSchema.parse({
    format: 1,
    failureDomains: ['here'],
    models: [{ name: MODEL.model, layers: LAYERS, versions: [MODEL.version], driver: run.driver }],
    targets: TARGETS.filter(name => Number(name[1]) <= run.replicas).map((name, position) => ({
      name,
      address: `127.0.0.1:${9000 + position}`,
      failureDomain: 'here',
      accelerator: 'large',
      serves: [{ ...MODEL, layers: name.startsWith('a') ? [0, LAYERS / 2] : [LAYERS / 2, LAYERS] }]
    })),
    workspaces: [{ name: 'w', keyDigests: ['0'.repeat(64)] }]
  })
}

function describe (deliveries: Delivery[]): string {
  return deliveries.map(delivery => delivery.kind === DeliveryKind.Token ? delivery.token.text : JSON.stringify(delivery)).join('')
}
