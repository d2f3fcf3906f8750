import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EngineEventKind, FailureKind, Step, manifestSchema, type EngineEvent, type EnginePort, type Failure, type StepResult } from '@wigeonlead/protocol'
import { createEngine, createMemoryEngines, referenceAnswer, withPausedClock, type Engine } from '@wigeonlead/stand-ins'
import { TargetAvailability } from '../src/process/index.js'
import { DeliveryKind, generate, type Delivery } from '../src/request/index.js'
import { createRoutingDependencies, type RoutingDependencies } from './routing-dependencies.js'

const LAYERS = 9
const MODEL = { model: 'm', version: 'v1' }
const PROMPT = 'a leak in the roof'
const STEP_MILLISECONDS = 5
const EXPECTED_TEXT = referenceAnswer(MODEL, LAYERS, PROMPT, 40).map(token => token.text).join('')
const STAGES = ['a', 'b', 'c']

interface TestSetup {
  engines: Map<string, Engine>
  dependencies: RoutingDependencies
}

function createSetup (replicas: number, driver: string, wrap: (port: EnginePort) => EnginePort = port => port): TestSetup {
  const targets = STAGES.flatMap((stage, position) => Array.from({ length: replicas }, (_, replica) => ({
    name: `${stage}${replica + 1}`, layers: [position * 3, position * 3 + 3] as [number, number]
  })))
  const engines = new Map(targets.map(({ name, layers: [from, to] }) => [name, createEngine({
    name, held: [{ ...MODEL, adapters: [], layers: { from, to } }], stepMilliseconds: STEP_MILLISECONDS
  })]))
  const manifest = manifestSchema.parse({
    format: 1,
    failureDomains: ['here', 'there'],
    models: [{ name: MODEL.model, layers: LAYERS, versions: [MODEL.version], driver }],
    targets: targets.map(({ name, layers }, position) => ({
      name, address: `127.0.0.1:${9000 + position}`, failureDomain: name.endsWith('1') ? 'here' : 'there', accelerator: 'large', serves: [{ ...MODEL, layers }]
    })),
    workspaces: [{ name: 'w', keyDigests: ['0'.repeat(64)] }]
  })
  return { engines, dependencies: createRoutingDependencies({ engines: wrap(createMemoryEngines(engines)), manifest }) }
}

interface Run {
  text: string
  end?: Delivery
  /** Longest wait for a delivery after the fault, milliseconds. */
  longestPause: number
}

interface RunOptions {
  /** Index of the token after which the fault is injected. */
  atToken: number
  /** @param used the names of the engines that ran steps so far. */
  fault: (setup: TestSetup, used: string[]) => void
  deadlineMilliseconds?: number
}

async function run (setup: TestSetup, { atToken, fault, deadlineMilliseconds = 30_000 }: RunOptions): Promise<Run> {
  const { context, order } = setup.dependencies.request({
    ...MODEL, prompt: PROMPT, maximumTokens: 40, signal: new AbortController().signal, deadlineAt: Date.now() + deadlineMilliseconds
  })
  const result: Run = { text: '', longestPause: 0 }
  let previousAt = Date.now()
  let count = 0
  for await (const delivery of generate(context, order)) {
    const now = Date.now()
    if (count > atToken || delivery.kind !== DeliveryKind.Token) result.longestPause = Math.max(result.longestPause, now - previousAt)
    previousAt = now
    if (delivery.kind !== DeliveryKind.Token) {
      result.end = delivery
      continue
    }
    result.text += delivery.token.text
    if (count === atToken) fault(setup, [...setup.engines.values()].filter(engine => engine.ledger.length > 0).map(engine => engine.name))
    count += 1
  }
  return result
}

/** Corrupts the results of the second stage in use. */
const corrupt = (change: (result: StepResult) => StepResult) => (setup: TestSetup, used: string[]): void => {
  const engine = setup.engines.get(used[1] ?? '')
  if (engine !== undefined) engine.faults.corrupt = change
}
/** Applies a fault to the engines in use at these positions. */
const injectAt = (positions: number[], change: (engine: Engine) => void) => (setup: TestSetup, used: string[]): void => {
  for (const position of positions) {
    const engine = setup.engines.get(used[position] ?? '')
    if (engine !== undefined) change(engine)
  }
}
const kill = (engine: Engine): void => { engine.faults.isDead = true }
const stall = (engine: Engine): void => { engine.faults.isStalled = true }

interface FaultCase {
  name: string
  fault: RunOptions['fault']
  /** Longest pause allowed, milliseconds. */
  maximumPauseMilliseconds: number
}

const FAULT_CASES: FaultCase[] = [
  { name: 'the first stage dies', fault: injectAt([0], kill), maximumPauseMilliseconds: 500 },
  { name: 'a middle stage dies', fault: injectAt([1], kill), maximumPauseMilliseconds: 500 },
  { name: 'the last stage dies', fault: injectAt([2], kill), maximumPauseMilliseconds: 500 },
  { name: 'two stages die at once', fault: injectAt([0, 2], kill), maximumPauseMilliseconds: 500 },
  { name: 'a stage stalls', fault: injectAt([1], stall), maximumPauseMilliseconds: 1000 },
  { name: 'one stage stalls and another dies', fault: injectAt([1, 2], engine => engine.name.startsWith('b') ? stall(engine) : kill(engine)), maximumPauseMilliseconds: 1000 },
  { name: 'a stage slows tenfold', fault: injectAt([1], engine => { engine.faults.slowdown = 10 }), maximumPauseMilliseconds: 1000 },
  {
    name: 'a whole failure domain dies',
    fault: ({ engines }, used) => {
      for (const engine of engines.values()) if (engine.name.endsWith(used[0]?.at(-1) ?? '1')) kill(engine)
    },
    maximumPauseMilliseconds: 1000
  },
  { name: 'a receipt shows a layer twice', fault: corrupt(result => ({ ...result, receipt: result.receipt && { ...result.receipt, layers: { from: 2, to: 6 } } })), maximumPauseMilliseconds: 500 },
  { name: 'a receipt skips a layer', fault: corrupt(result => ({ ...result, receipt: result.receipt && { ...result.receipt, layers: { from: 4, to: 6 } } })), maximumPauseMilliseconds: 500 },
  { name: 'a receipt names another target', fault: corrupt(result => ({ ...result, receipt: result.receipt && { ...result.receipt, target: 'z' } })), maximumPauseMilliseconds: 500 },
  { name: 'a result lacks its receipt', fault: corrupt(result => ({ ...result, receipt: undefined })), maximumPauseMilliseconds: 500 }
]

const generations = suite('generations')
for (const driver of ['stream', 'step']) {
  for (const { name, fault, maximumPauseMilliseconds } of FAULT_CASES) {
    generations(`${driver} driver: the answer is complete although ${name}`, () => withPausedClock(async clock => {
      const running = run(createSetup(2, driver), { atToken: 10, fault })
      await clock.advance(30_000)
      const { text, end, longestPause } = await running
      assert.is(text, EXPECTED_TEXT)
      assert.is(end?.kind, DeliveryKind.Finish)
      assert.ok(longestPause <= maximumPauseMilliseconds, `${longestPause} ms`)
    }))
  }
}

generations('only the dead stage becomes suspect, even if the first stage fails without naming it', () => withPausedClock(async clock => {
  const setup = createSetup(3, 'stream', port => ({
    ...port,
    async * generate (target, request, signal) {
      for await (const event of port.generate(target, request, signal)) {
        const unnamed = event.kind === 'failure' && { ...event, failure: { ...event.failure, peer: target.target, kind: 'broken' as never } }
        yield unnamed === false ? event : unnamed
      }
    }
  }))
  const running = run(setup, { atToken: 5, fault: injectAt([1], kill) })
  await clock.advance(5)
  await clock.advance(295)
  const suspects = [...setup.engines.keys()].filter(name => setup.dependencies.targets.availability(name) === TargetAvailability.Suspect)
  const dead = [...setup.engines.values()].filter(engine => engine.faults.isDead).map(engine => engine.name)
  assert.equal(suspects, dead)
  await clock.advance(10_000)
  assert.is((await running).text, EXPECTED_TEXT)
}))

generations('a generation that ends each first stage before its first token is not sent to further ones', () => withPausedClock(async clock => {
  const ended: string[] = []
  const setup = createSetup(8, 'stream', port => ({
    ...port,
    async * generate (target, { attempt }): AsyncGenerator<EngineEvent> {
      ended.push(target.target)
      kill(setup.engines.get(target.target)!)
      const failure: Failure = { kind: FailureKind.Broken, step: Step.Engine, peer: target.target, detail: 'the connection was closed' }
      yield { kind: EngineEventKind.Failure, attempt, failure }
    }
  }))
  const running = run(setup, { atToken: 0, fault: () => {} })
  await clock.advance(30_000)
  assert.is((await running).end?.kind, DeliveryKind.Refusal)
  assert.ok(new Set(ended).size <= 3, `${ended.length} first stages ended`)
}))

generations('a failed target is used again if no other target serves its layers', () => withPausedClock(async clock => {
  const running = run(createSetup(1, 'stream'), {
    atToken: 8,
    fault: ({ engines }) => {
      for (const engine of engines.values()) kill(engine)
      setTimeout(() => { for (const engine of engines.values()) engine.faults.isDead = false }, 800)
    }
  })
  await clock.advance(20_000)
  const { text, end } = await running
  assert.is(text, EXPECTED_TEXT)
  assert.is(end?.kind, DeliveryKind.Finish)
}))

generations('the deadline ends the answer at once with a refusal that says the request was sent', () => withPausedClock(async clock => {
  const running = run(createSetup(1, 'stream'), { atToken: 3, fault: injectAt([1], stall), deadlineMilliseconds: 700 })
  await clock.advance(700)
  const { text, end } = await Promise.race([running, Promise.resolve({ text: '', end: undefined })])
  assert.ok(EXPECTED_TEXT.startsWith(text) && text !== '')
  assert.is(end?.kind, DeliveryKind.Refusal)
  if (end?.kind !== DeliveryKind.Refusal) return
  assert.is(end.problem.submission, 'sent')
  assert.ok((end.problem.retryAfterSeconds ?? 0) > 0)
}))

generations('when the caller hangs up, the epoch is cancelled at every stage', () => withPausedClock(async clock => {
  const cancelled: string[] = []
  const setup = createSetup(1, 'stream', port => ({
    ...port,
    cancel: async (target, session, epoch) => {
      cancelled.push(target.target)
      return await port.cancel(target, session, epoch)
    }
  }))
  const caller = new AbortController()
  const { context, order } = setup.dependencies.request({
    ...MODEL, prompt: PROMPT, maximumTokens: 40, signal: caller.signal, deadlineAt: Date.now() + 30_000
  })
  const deliveries = generate(context, order)[Symbol.asyncIterator]()
  const first = deliveries.next()
  await clock.advance(100)
  await first
  const second = deliveries.next()
  caller.abort()
  await clock.advance(100)
  await second
  assert.equal(cancelled.sort(), ['a1', 'b1', 'c1'])
}))

generations.run()
