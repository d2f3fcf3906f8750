import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { manifestSchema } from '@wigeonlead/protocol'
import { createEngine, createMemoryEngines, withPausedClock } from '@wigeonlead/stand-ins'
import { CompletionShape } from '../src/request/completion-input.js'
import { answerCompletion } from '../src/request/completion.js'
import { createRoutingDependencies } from './routing-dependencies.js'

const MODEL = { model: 'm', version: 'v1' }
const STEP_MILLISECONDS = 10

const CASES = [
  { name: 'during an unstreamed answer', stream: false, hangUpAtMilliseconds: 105 },
  { name: 'before the first token', stream: true, hangUpAtMilliseconds: 5 },
  { name: 'during a streamed answer that is not read', stream: true, hangUpAtMilliseconds: 105 }
]

const hangUps = suite('hang-ups')
for (const { name, stream, hangUpAtMilliseconds } of CASES) {
  hangUps(`hang-up ${name}: the engine stops and its capacity is released`, () => withPausedClock(async clock => {
    const engine = createEngine({ name: 'a', held: [{ ...MODEL, adapters: [], layers: { from: 0, to: 4 } }], stepMilliseconds: STEP_MILLISECONDS })
    const manifest = manifestSchema.parse({
      format: 1,
      failureDomains: ['here'],
      models: [{ name: MODEL.model, layers: 4, versions: [MODEL.version] }],
      targets: [{ name: 'a', address: '127.0.0.1:1', failureDomain: 'here', accelerator: 'large', serves: [{ ...MODEL, layers: [0, 4] }] }],
      workspaces: [{ name: 'w', keyDigests: ['0'.repeat(64)] }]
    })
    const dependencies = createRoutingDependencies({ engines: createMemoryEngines(new Map([['a', engine]])), manifest })
    const caller = new AbortController()
    const { context } = dependencies.request({ ...MODEL, prompt: 'p', maximumTokens: 40, signal: caller.signal, deadlineAt: Date.now() + 30_000 })
    const body = Buffer.from(JSON.stringify({ model: MODEL.model, prompt: 'p', stream }))
    void answerCompletion(context, { method: 'POST', url: '/v1/completions', headers: {}, body, signal: caller.signal }, CompletionShape.Text)
    await clock.advance(hangUpAtMilliseconds)
    assert.is(dependencies.targets.inFlight('a'), 1)
    caller.abort()
    await clock.advance(100)
    assert.is(dependencies.targets.inFlight('a'), 0)
    assert.is(engine.report().running, 0)
    const steps = engine.ledger.length
    await clock.advance(1000)
    assert.is(engine.ledger.length, steps)
  }))
}
hangUps.run()
