import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { manifestSchema, type EnginePort, type StepResult } from '@wigeonlead/protocol'
import { createEngine, createMemoryEngines, referenceAnswer, withPausedClock, type Engine } from '@wigeonlead/stand-ins'
import { TargetAvailability } from '../src/process/index.js'
import { DeliveryKind, generate, type Delivery } from '../src/request/index.js'
import { createRoutingParts, type RoutingParts } from './routing-parts.js'

const LAYERS = 9
const MODEL = { model: 'm', version: 'v1' }
const PROMPT = 'a leak in the roof'
const STEP_MILLISECONDS = 5
const RIGHT = referenceAnswer(MODEL, LAYERS, PROMPT, 40).map(token => token.text).join('')
const STAGES = ['a', 'b', 'c']

interface Bench {
  engines: Map<string, Engine>
  parts: RoutingParts
}

function createBench (replicas: number, driver: string, wrap: (port: EnginePort) => EnginePort = port => port): Bench {
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
  return { engines, parts: createRoutingParts({ engines: wrap(createMemoryEngines(engines)), manifest }) }
}

interface Run {
  text: string
  end?: Delivery
  /** Longest wait for a token after the fault, milliseconds. */
  pause: number
}

interface RunOptions {
  atToken: number
  fault: (bench: Bench, used: string[]) => void
  deadlineMilliseconds?: number
}

async function run (bench: Bench, { atToken, fault, deadlineMilliseconds = 30_000 }: RunOptions): Promise<Run> {
  const { context, order } = bench.parts.request({
    ...MODEL, prompt: PROMPT, maximumTokens: 40, signal: new AbortController().signal, deadlineAt: Date.now() + deadlineMilliseconds
  })
  const result: Run = { text: '', pause: 0 }
  let before = Date.now()
  let count = 0
  for await (const delivery of generate(context, order)) {
    const now = Date.now()
    if (count > atToken || delivery.kind !== DeliveryKind.Token) result.pause = Math.max(result.pause, now - before)
    before = now
    if (delivery.kind !== DeliveryKind.Token) {
      result.end = delivery
      continue
    }
    result.text += delivery.token.text
    if (count === atToken) fault(bench, [...bench.engines.values()].filter(engine => engine.ledger.length > 0).map(engine => engine.name))
    count += 1
  }
  return result
}

const corrupt = (change: (result: StepResult) => StepResult) => (bench: Bench, used: string[]): void => {
  const engine = bench.engines.get(used[1] ?? '')
  if (engine !== undefined) engine.faults.corrupt = change
}
const breakAt = (positions: number[], change: (engine: Engine) => void) => (bench: Bench, used: string[]): void => {
  for (const position of positions) {
    const engine = bench.engines.get(used[position] ?? '')
    if (engine !== undefined) change(engine)
  }
}
const die = (engine: Engine): void => { engine.faults.isDead = true }
const stall = (engine: Engine): void => { engine.faults.isStalled = true }

interface FaultCase {
  name: string
  fault: RunOptions['fault']
  /** Longest pause allowed, milliseconds. */
  within: number
}

const WHOLE: FaultCase[] = [
  { name: 'the first stage dies', fault: breakAt([0], die), within: 500 },
  { name: 'a middle stage dies', fault: breakAt([1], die), within: 500 },
  { name: 'the last stage dies', fault: breakAt([2], die), within: 500 },
  { name: 'two stages die at once', fault: breakAt([0, 2], die), within: 500 },
  { name: 'a stage stalls', fault: breakAt([1], stall), within: 1000 },
  { name: 'one stage stalls and another dies', fault: breakAt([1, 2], engine => engine.name.startsWith('b') ? stall(engine) : die(engine)), within: 1000 },
  { name: 'a stage slows tenfold', fault: breakAt([1], engine => { engine.faults.slowdown = 10 }), within: 1000 },
  {
    name: 'a whole failure domain dies',
    fault: ({ engines }, used) => {
      for (const engine of engines.values()) if (engine.name.endsWith(used[0]?.at(-1) ?? '1')) die(engine)
    },
    within: 1000
  },
  { name: 'a receipt shows a layer twice', fault: corrupt(result => ({ ...result, receipt: result.receipt && { ...result.receipt, layers: { from: 2, to: 6 } } })), within: 500 },
  { name: 'a receipt skips a layer', fault: corrupt(result => ({ ...result, receipt: result.receipt && { ...result.receipt, layers: { from: 4, to: 6 } } })), within: 500 },
  { name: 'a receipt names another target', fault: corrupt(result => ({ ...result, receipt: result.receipt && { ...result.receipt, target: 'z' } })), within: 500 },
  { name: 'a result lacks its receipt', fault: corrupt(result => ({ ...result, receipt: undefined })), within: 500 }
]

const generations = suite('generations')
for (const driver of ['stream', 'step']) {
  for (const { name, fault, within } of WHOLE) {
    generations(`${driver}: ${name}, and the answer is whole`, () => withPausedClock(async clock => {
      const running = run(createBench(2, driver), { atToken: 10, fault })
      await clock.advance(30_000)
      const { text, end, pause } = await running
      assert.is(text, RIGHT)
      assert.is(end?.kind, DeliveryKind.Finish)
      assert.ok(pause <= within, `${pause} ms`)
    }))
  }
}

generations('only the stage that died is suspected, also when the first one breaks without naming it', () => withPausedClock(async clock => {
  const bench = createBench(3, 'stream', port => ({
    ...port,
    async * generate (target, request, signal) {
      for await (const event of port.generate(target, request, signal)) {
        const unnamed = event.kind === 'failure' && { ...event, failure: { ...event.failure, peer: target.target, kind: 'broken' as never } }
        yield unnamed === false ? event : unnamed
      }
    }
  }))
  const running = run(bench, { atToken: 5, fault: breakAt([1], die) })
  await clock.advance(5)
  await clock.advance(295)
  const suspects = [...bench.engines.keys()].filter(name => bench.parts.targets.availability(name) === TargetAvailability.Suspect)
  const dead = [...bench.engines.values()].filter(engine => engine.faults.isDead).map(engine => engine.name)
  assert.equal(suspects, dead)
  await clock.advance(10_000)
  assert.is((await running).text, RIGHT)
}))

generations('an excluded target comes back when nothing else serves', () => withPausedClock(async clock => {
  const running = run(createBench(1, 'stream'), {
    atToken: 8,
    fault: ({ engines }) => {
      for (const engine of engines.values()) die(engine)
      setTimeout(() => { for (const engine of engines.values()) engine.faults.isDead = false }, 800)
    }
  })
  await clock.advance(20_000)
  const { text, end } = await running
  assert.is(text, RIGHT)
  assert.is(end?.kind, DeliveryKind.Finish)
}))

generations('the deadline ends the answer at once, truthfully', () => withPausedClock(async clock => {
  const running = run(createBench(1, 'stream'), { atToken: 3, fault: breakAt([1], stall), deadlineMilliseconds: 700 })
  await clock.advance(700)
  const { text, end } = await Promise.race([running, Promise.resolve({ text: '', end: undefined })])
  assert.ok(RIGHT.startsWith(text) && text !== '')
  assert.is(end?.kind, DeliveryKind.Refusal)
  if (end?.kind !== DeliveryKind.Refusal) return
  assert.is(end.problem.submission, 'sent')
  assert.ok((end.problem.retryAfterSeconds ?? 0) > 0)
}))

generations('a caller that hangs up has its epoch cancelled at every stage', () => withPausedClock(async clock => {
  const cancelled: string[] = []
  const bench = createBench(1, 'stream', port => ({
    ...port,
    cancel: async (target, session, epoch) => {
      cancelled.push(target.target)
      return await port.cancel(target, session, epoch)
    }
  }))
  const caller = new AbortController()
  const { context, order } = bench.parts.request({
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
