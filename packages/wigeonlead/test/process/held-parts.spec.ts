import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EngineRole, type EngineReport, type ModelPart, type LayerRange, type ModelReference } from '@wigeonlead/protocol'
import { createHeldPartIndex, listMissingParts } from '../../src/process/held-parts.js'
import { toManifest } from '../properties/reconciler-world.js'

const DECLARED = toManifest({ versions: ['v1', 'v2'], serves: [[['v1', 0, 4, ['letters']], ['v2', 0, 2]]] }).targets[0]!
const V1 = part('v1', 0, 4, ['letters'])
const V2 = part('v2', 0, 2)

interface Case {
  name: string
  held: ModelPart[]
  missing: ModelPart[] | undefined
  /** Expected results of the queries for v1, v1 with the adapter `letters`, and v2. */
  holds: [boolean, boolean, boolean]
}

const CASES: Case[] = [
  { name: 'all declared parts', held: [V1, V2], missing: undefined, holds: [true, true, true] },
  { name: 'nothing, as after a restart', held: [], missing: [part('v1', 0, 4), V2], holds: [false, false, false] },
  { name: 'one of two declared parts', held: [V1], missing: [V2], holds: [true, true, false] },
  { name: 'both parts without the adapter', held: [part('v1', 0, 4), V2], missing: [V1], holds: [true, false, true] },
  { name: 'a part with more layers than declared', held: [V1, part('v2', 0, 4)], missing: undefined, holds: [true, true, true] },
  { name: 'a part with fewer layers than declared', held: [part('v1', 0, 2, ['letters']), V2], missing: [part('v1', 0, 4)], holds: [false, false, true] }
]
const QUERIES: Array<[ModelReference, LayerRange]> = [
  [{ model: 'assistant', version: 'v1' }, V1.layers], [{ model: 'assistant', version: 'v1', adapter: 'letters' }, V1.layers],
  [{ model: 'assistant', version: 'v2' }, V2.layers]
]

const heldParts = suite('held parts')
for (const { name, held, missing, holds } of CASES) {
  heldParts(`a target that holds ${name}`, () => {
    const index = createHeldPartIndex()
    assert.equal(QUERIES.map(([reference, layers]) => index.holds('one', reference, layers)), [undefined, undefined, undefined])
    index.recordHeldParts(toReport(held))
    assert.equal(QUERIES.map(([reference, layers]) => index.holds('one', reference, layers)), holds)
    assert.equal(listMissingParts(DECLARED, toReport(held)), missing)
    index.recordMissingParts('one', missing ?? [])
    assert.equal(QUERIES.map(([reference, layers]) => index.holds('one', reference, layers)), holds)
  })
}
heldParts.run()

function part (version: string, from: number, to: number, adapters: string[] = []): ModelPart {
  return { model: 'assistant', version, adapters, layers: { from, to } }
}

function toReport (held: ModelPart[]): EngineReport {
  return {
    target: 'one',
    incarnation: '1',
    atMilliseconds: 0,
    running: 0,
    queued: 0,
    tokensPerSecond: 0,
    role: EngineRole.Both,
    held,
    cacheEvents: []
  }
}
