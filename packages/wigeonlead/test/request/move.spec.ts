import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EngineEventKind, type EnginePort, type GenerationRequest, type PathStage, type Token } from '@wigeonlead/protocol'
import { createEngine, createMemoryEngines, referenceAnswer, withPausedClock, type Engine } from '@wigeonlead/stand-ins'
import { MoveKind, createSessionMover } from '../../src/request/move.js'

const MODEL = { model: 'assistant', version: 'v1' }
const LAYERS = 8
const PROMPT = 'Compare the scaling notes of two ranks'
const DELIVERED_TOKENS = 5
const STEP_MILLISECONDS = 10
const RANGES = { first: { from: 0, to: 4 }, second: { from: 4, to: 8 }, whole: { from: 0, to: 8 } }
const TARGETS: Record<string, keyof typeof RANGES> = { one: 'first', two: 'second', three: 'first', four: 'second', five: 'whole' }

interface Case {
  name: string
  /** Leaving targets, with the milliseconds until each will be gone; undefined if that is not known. */
  departures: Record<string, number | undefined>
  /** Targets that may take the session. */
  substitutes: string[]
  /** Targets whose cache exports and imports fail. */
  failingTransfers?: string[]
  /** The expected move; none if undefined. */
  expected?: { kind: MoveKind, targets: string[] }
}

const CASES: Case[] = [
  { name: 'no target leaves', departures: {}, substitutes: ['three', 'four', 'five'] },
  { name: 'the first stage leaves', departures: { one: undefined }, substitutes: ['three'], expected: { kind: MoveKind.CachesTransferred, targets: ['three', 'two'] } },
  { name: 'the last stage leaves', departures: { two: undefined }, substitutes: ['four'], expected: { kind: MoveKind.CachesTransferred, targets: ['one', 'four'] } },
  {
    name: 'both stages leave',
    departures: { one: undefined, two: 1 },
    substitutes: ['three', 'four'],
    expected: { kind: MoveKind.CachesTransferred, targets: ['three', 'four'] }
  },
  { name: 'the session ends before its target is gone', departures: { one: 60_000 }, substitutes: ['three'] },
  { name: 'the session does not end before its target is gone', departures: { one: 300 }, substitutes: ['three'], expected: { kind: MoveKind.CachesTransferred, targets: ['three', 'two'] } },
  { name: 'no other target holds the layers', departures: { one: undefined }, substitutes: ['four'] },
  { name: 'the only other target has another layer range', departures: { one: undefined }, substitutes: ['five'], expected: { kind: MoveKind.Prefilled, targets: ['five'] } },
  {
    name: 'the cache export fails',
    departures: { one: undefined },
    substitutes: ['three'],
    failingTransfers: ['one'],
    expected: { kind: MoveKind.Prefilled, targets: ['three', 'two'] }
  },
  {
    name: 'the cache import fails',
    departures: { one: undefined },
    substitutes: ['three'],
    failingTransfers: ['three'],
    expected: { kind: MoveKind.Prefilled, targets: ['three', 'two'] }
  },
  {
    name: 'the substitute is leaving too',
    departures: { one: undefined, three: undefined },
    substitutes: ['three', 'five'],
    expected: { kind: MoveKind.Prefilled, targets: ['five'] }
  }
]

const moves = suite('session moves')
for (const row of CASES) {
  moves(row.name, () => withPausedClock(async clock => {
    const engines = createEngines()
    const port = withFailingTransfers(createMemoryEngines(engines), row.failingTransfers ?? [])
    const mover = createSessionMover({
      engines: port,
      findDeparture: target => target in row.departures ? createDeparture(row.departures[target]) : undefined,
      listSubstitutes: layers => row.substitutes.map(toStage)
        .filter(stage => stage.layers.from === layers.from && stage.layers.to === layers.to),
      choosePath: excluded => row.substitutes.includes('five') && !excluded.has('five') ? [toStage('five')] : undefined
    })
    const request = toRequest(['one', 'two'], 0, [])
    const before: Token[] = []
    const reading = readTokens(port, request, DELIVERED_TOKENS, before)
    await clock.advance(2 * DELIVERED_TOKENS * STEP_MILLISECONDS)
    await reading
    assert.is(mover.consider(request, DELIVERED_TOKENS), undefined)
    await clock.advance(1)
    const move = mover.consider(request, DELIVERED_TOKENS)
    assert.equal(move && { kind: move.kind, targets: move.stages.map(stage => stage.target) }, row.expected)
    if (move === undefined) return
    const after: Token[] = []
    const rest = readTokens(port, toRequest(move.stages.map(stage => stage.target), 1, before), Infinity, after)
    await clock.advance(10_000)
    await rest
    assert.equal([...before, ...after], referenceAnswer(MODEL, LAYERS, PROMPT, 64))
    const reused = move.stages.map(stage => engines.get(stage.target)!.caches.reused)
    assert.equal(reused.every(count => count > 0), move.kind === MoveKind.CachesTransferred)
  }))
}
moves.run()

function createEngines (): Map<string, Engine> {
  return new Map(Object.entries(TARGETS).map(([name, range]) => [name, createEngine({
    name, held: [{ ...MODEL, adapters: [], layers: RANGES[range] }], stepMilliseconds: STEP_MILLISECONDS
  })]))
}

/** An engine port on which the cache exports and imports of the given targets fail. */
function withFailingTransfers (port: EnginePort, targets: string[]): EnginePort {
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

function createDeparture (milliseconds: number | undefined): { untilMilliseconds?: number } {
  return milliseconds === undefined ? {} : { untilMilliseconds: Date.now() + milliseconds }
}
