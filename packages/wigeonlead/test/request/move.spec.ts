import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EngineEventKind, type EnginePort, type GenerationRequest, type PathStage, type Token } from '@wigeonlead/protocol'
import { createEngine, createMemoryEngines, referenceAnswer, withPausedClock, type Engine } from '@wigeonlead/stand-ins'
import { MoveKind, createSessionMover } from '../../src/request/move.js'

const MODEL = { model: 'assistant', version: 'v1' }
const LAYERS = 8
const PROMPT = 'Compare the scaling notes of two ranks'
const DELIVERED = 5
const STEP_MILLISECONDS = 10
const RANGES = { first: { from: 0, to: 4 }, second: { from: 4, to: 8 }, whole: { from: 0, to: 8 } }
const TARGETS: Record<string, keyof typeof RANGES> = { one: 'first', two: 'second', three: 'first', four: 'second', five: 'whole' }

interface Case {
  name: string
  /** Leaving targets with the time from now at which they will be gone, milliseconds; absent where nobody says. */
  leaving: Record<string, number | undefined>
  /** Targets that may get the session. */
  free: string[]
  /** Targets that can hand no cache over, or can't take one. */
  broken?: string[]
  expected?: { kind: MoveKind, targets: string[] }
}

const CASES: Case[] = [
  { name: 'nothing leaves', leaving: {}, free: ['three', 'four', 'five'] },
  { name: 'the first stage leaves', leaving: { one: undefined }, free: ['three'], expected: { kind: MoveKind.Carried, targets: ['three', 'two'] } },
  { name: 'the last stage leaves', leaving: { two: undefined }, free: ['four'], expected: { kind: MoveKind.Carried, targets: ['one', 'four'] } },
  {
    name: 'both stages leave',
    leaving: { one: undefined, two: 1 },
    free: ['three', 'four'],
    expected: { kind: MoveKind.Carried, targets: ['three', 'four'] }
  },
  { name: 'it ends before the stop', leaving: { one: 60_000 }, free: ['three'] },
  { name: 'it outlasts the stop', leaving: { one: 300 }, free: ['three'], expected: { kind: MoveKind.Carried, targets: ['three', 'two'] } },
  { name: 'nothing else serves', leaving: { one: undefined }, free: ['four'] },
  { name: 'another division of the layers', leaving: { one: undefined }, free: ['five'], expected: { kind: MoveKind.Prefilled, targets: ['five'] } },
  {
    name: 'no export',
    leaving: { one: undefined },
    free: ['three'],
    broken: ['one'],
    expected: { kind: MoveKind.Prefilled, targets: ['three', 'two'] }
  },
  {
    name: 'no import',
    leaving: { one: undefined },
    free: ['three'],
    broken: ['three'],
    expected: { kind: MoveKind.Prefilled, targets: ['three', 'two'] }
  },
  {
    name: 'the substitute leaves too',
    leaving: { one: undefined, three: undefined },
    free: ['three', 'five'],
    expected: { kind: MoveKind.Prefilled, targets: ['five'] }
  }
]

const moves = suite('session moves')
for (const row of CASES) {
  moves(row.name, () => withPausedClock(async clock => {
    const engines = createEngines()
    const port = breaking(createMemoryEngines(engines), row.broken ?? [])
    const mover = createSessionMover({
      engines: port,
      leaveOf: target => target in row.leaving ? leaveAfter(row.leaving[target]) : undefined,
      substitutes: layers => row.free.map(toStage).filter(stage => stage.layers.from === layers.from && stage.layers.to === layers.to),
      choosePath: excluded => row.free.includes('five') && !excluded.has('five') ? [toStage('five')] : undefined
    })
    const request = toRequest(['one', 'two'], 0, [])
    const before: Token[] = []
    const reading = readTokens(port, request, DELIVERED, before)
    await clock.advance(2 * DELIVERED * STEP_MILLISECONDS)
    await reading
    assert.is(mover.consider(request, DELIVERED), undefined)
    await clock.advance(1)
    const move = mover.consider(request, DELIVERED)
    assert.equal(move && { kind: move.kind, targets: move.stages.map(stage => stage.target) }, row.expected)
    if (move === undefined) return
    const after: Token[] = []
    const rest = readTokens(port, toRequest(move.stages.map(stage => stage.target), 1, before), Infinity, after)
    await clock.advance(10_000)
    await rest
    assert.equal([...before, ...after], referenceAnswer(MODEL, LAYERS, PROMPT, 64))
    const reused = move.stages.map(stage => engines.get(stage.target)!.caches.reused)
    assert.equal(reused.every(count => count > 0), move.kind === MoveKind.Carried)
  }))
}
moves.run()

function createEngines (): Map<string, Engine> {
  return new Map(Object.entries(TARGETS).map(([name, range]) => [name, createEngine({
    name, held: [{ ...MODEL, adapters: [], layers: RANGES[range] }], stepMilliseconds: STEP_MILLISECONDS
  })]))
}

function breaking (port: EnginePort, targets: string[]): EnginePort {
  return {
    ...port,
    exportCache: (target, ...call) => port.exportCache(targets.includes(target.target) ? { ...target, target: 'gone' } : target, ...call),
    importCache: (target, ...call) => port.importCache(targets.includes(target.target) ? { ...target, target: 'gone' } : target, ...call)
  }
}

async function readTokens (port: EnginePort, request: GenerationRequest, count: number, tokens: Token[]): Promise<void> {
  for await (const event of port.generate(request.stages[0]!, request, new AbortController().signal)) {
    if (event.kind !== EngineEventKind.Token) return assert.is(event.kind, EngineEventKind.Finish)
    tokens.push(event.token)
    if (tokens.length === count) return
  }
}

function toRequest (targets: string[], epoch: number, prefix: Token[]): GenerationRequest {
  return {
    ...MODEL, session: 'session', epoch, attempt: `attempt-${epoch}`, stages: targets.map(toStage), prompt: PROMPT, prefix, maximumTokens: 64, priority: 1
  }
}

function toStage (target: string): PathStage {
  return { target, address: '127.0.0.1:1', layers: RANGES[TARGETS[target] ?? 'whole'] }
}

function leaveAfter (milliseconds: number | undefined): { untilMilliseconds?: number } {
  return milliseconds === undefined ? {} : { untilMilliseconds: Date.now() + milliseconds }
}
