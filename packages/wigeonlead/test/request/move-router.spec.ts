/**
 * Tests planned stops with a whole router in memory: a target stops while it generates an answer.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  FailureKind, Step, StopSubject, changeHead, digestText, failed, manifestSchema, publishManifest, success,
  type KeyValuePort, type PeerPort, type ServicePort
} from '@wigeonlead/protocol'
import {
  createEngine, createKeyValueStore, createMemoryEngines, createMemoryKeyValue, referenceAnswer, withPausedClock,
  type Engine, type PausedClock
} from '@wigeonlead/stand-ins'
import { createRouter, createSeededRandom, settingsSchema, type Router } from 'wigeonlead'

const KEY = 'key-of-the-voicers'
const MODEL = { model: 'assistant', version: 'v1' }
const LAYERS = 8
const PROMPT = 'Draft a rank description for a stopped diapason'
const STEP_MILLISECONDS = 200
const CAPACITY = 16
const STOP_AFTER_MILLISECONDS = 2000
const STOP_IN_FORCE_MILLISECONDS = 3000
const ANSWER_MILLISECONDS = 120_000

interface Case {
  name: string
  /** Duration of the stop, milliseconds. */
  stopMilliseconds: number
  /** Layers of each engine, by the engine's name. */
  engines: Record<string, [number, number]>
  /** Expected number of session moves of each kind. */
  expectedMoves: Record<string, number>
}

const HALF_MODEL_ENGINES: Case['engines'] = { one: [0, 4], two: [4, 8] }
const CASES: Case[] = [
  {
    name: 'is moved with its caches if it would not end before the stop does',
    stopMilliseconds: 1000,
    engines: { ...HALF_MODEL_ENGINES, three: [0, 4] },
    expectedMoves: { carried: 1 }
  },
  {
    name: 'is resumed by prefill if the replacement has another layer range',
    stopMilliseconds: 1000,
    engines: { ...HALF_MODEL_ENGINES, whole: [0, 8] },
    expectedMoves: { prefilled: 1 }
  },
  { name: 'stays if it ends in time', stopMilliseconds: 3_600_000, engines: { ...HALF_MODEL_ENGINES, three: [0, 4] }, expectedMoves: {} },
  { name: 'stays if no other target serves the layers', stopMilliseconds: 1000, engines: HALF_MODEL_ENGINES, expectedMoves: {} }
]

const stops = suite('an answer during a planned stop')
for (const row of CASES) {
  stops(row.name, () => withPausedClock(async clock => {
    const engines = createEngines(row)
    const keyValue = createMemoryKeyValue(createKeyValueStore())
    const router = await startRouter(clock, engines, keyValue)
    const answer = ask(router)
    await clock.advance(STOP_AFTER_MILLISECONDS)
    const leaving = engines.get('one')!
    assert.is(countSessions(leaving), 1)
    await planStop(keyValue, 'one', row.stopMilliseconds)
    await clock.advance(STOP_IN_FORCE_MILLISECONDS)
    const later = ask(router)
    await clock.advance(ANSWER_MILLISECONDS)
    assert.is(await answer, expectedText())
    assert.is(countSessions(leaving), 1, 'a leaving target must not get new sessions')
    assert.ok((await later) === expectedText() || row.engines === HALF_MODEL_ENGINES)
    for (const kind of ['carried', 'prefilled']) {
      const counted = new RegExp(`sessions_moved_total\\{kind="${kind}"\\} (\\d+)`).exec(router.renderMetrics())?.[1]
      assert.is(Number(counted ?? 0), row.expectedMoves[kind] ?? 0)
    }
    router.halt()
  }))
}
stops.run()

function createEngines (row: Case): Map<string, Engine> {
  return new Map(Object.entries(row.engines).map(([name, [from, to]]) => [name, createEngine({
    name, held: [{ ...MODEL, adapters: [], layers: { from, to } }], stepMilliseconds: STEP_MILLISECONDS
  })]))
}

async function startRouter (clock: PausedClock, engines: Map<string, Engine>, keyValue: KeyValuePort): Promise<Router> {
  const publishing = publishManifest(keyValue, createSeededRandom(1), manifestSchema.parse({
    format: 1,
    failureDomains: ['kingston-shop'],
    models: [{ name: MODEL.model, layers: LAYERS, versions: [MODEL.version] }],
    targets: [...engines.values()].map((engine, index) => ({
      name: engine.name,
      address: `10.0.0.${index + 1}:80`,
      failureDomain: 'kingston-shop',
      accelerator: 'large',
      capacity: CAPACITY,
      tokensPerSecond: (engine.name in HALF_MODEL_ENGINES ? 1 : 0.5) * CAPACITY * 1000 / STEP_MILLISECONDS,
      serves: engine.report().held.map(part => ({ ...MODEL, layers: [part.layers.from, part.layers.to] }))
    })),
    workspaces: [{ name: 'voicers', keyDigests: [digestText(KEY)] }]
  }))
  await clock.advance(100)
  assert.is((await publishing).kind, 'accepted')
  const router = createRouter(settingsSchema.parse({
    node: { vm: 'entry-1', failureDomain: 'kingston-shop' },
    listen: { callers: '10.0.1.1:80', operators: '10.0.1.1:81', peers: '10.0.1.1:82' },
    platform: { keyValue: ['http://unused'], vmList: 'http://unused' },
    peers: { secrets: [{ id: 'first', value: 'a secret of this test only' }] },
    operators: { tokenDigests: [digestText('operator')] }
  }), {
    keyValue,
    vmList: { list: async () => success([]) },
    engines: createMemoryEngines(engines),
    services: {} as ServicePort,
    peers: createUnreachablePeers(),
    random: createSeededRandom(2)
  })
  router.start()
  await clock.advance(1000)
  return router
}

async function planStop (keyValue: KeyValuePort, target: string, milliseconds: number): Promise<void> {
  const now = Date.now()
  const stop = { id: 'stop-1', subject: StopSubject.Target, name: target, fromMilliseconds: now, untilMilliseconds: now + milliseconds }
  const changed = await changeHead(keyValue, createSeededRandom(3), head => ({ ...head, stops: [stop] }))
  assert.is(changed.kind, 'accepted')
}

async function ask (router: Router): Promise<string> {
  const body = new TextEncoder().encode(JSON.stringify({ model: MODEL.model, prompt: PROMPT, stream: true }))
  const headers = { authorization: `Bearer ${KEY}`, 'content-type': 'application/json' }
  const response = await router.handle({ method: 'POST', url: '/v1/completions', headers, body, signal: new AbortController().signal })
  if (typeof response.body === 'string' || response.body instanceof Uint8Array) return String(response.body)
  let text = ''
  for await (const piece of response.body) text += piece
  assert.ok(text.endsWith('data: [DONE]\n\n'), text)
  return [...text.matchAll(/^data: (\{.*)$/gm)].map(([, json]) => JSON.parse(json ?? '').choices[0].text).join('')
}

function countSessions (engine: Engine): number {
  return new Set(engine.ledger.map(entry => entry.session)).size
}

function createUnreachablePeers (): PeerPort {
  return {
    call: async address => failed({ kind: FailureKind.Unreachable, step: Step.Peer, peer: address, detail: 'no connection' }),
    serve: () => {}
  }
}

function expectedText (): string {
  return referenceAnswer(MODEL, LAYERS, PROMPT, 256).map(token => token.text).join('')
}
