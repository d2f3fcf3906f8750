import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EngineRole, type EngineReport, type HeldPart, type LayerRange, type ModelReference } from '@wigeonlead/protocol'
import { createHeldParts, listMissing } from '../../src/process/held-parts.js'
import { toManifest } from '../properties/reconciler-world.js'

const DECLARED = toManifest({ versions: ['v1', 'v2'], serves: [[['v1', 0, 4, ['letters']], ['v2', 0, 2]]] }).targets[0]!
const V1 = part('v1', 0, 4, ['letters'])
const V2 = part('v2', 0, 2)

interface Case {
  name: string
  held: HeldPart[]
  missing: HeldPart[] | undefined
  /** Whether it holds v1, v1 with letters, v2. */
  holds: [boolean, boolean, boolean]
}

const CASES: Case[] = [
  { name: 'all', held: [V1, V2], missing: undefined, holds: [true, true, true] },
  { name: 'nothing, as after a restart', held: [], missing: [part('v1', 0, 4), V2], holds: [false, false, false] },
  { name: 'a part', held: [V1], missing: [V2], holds: [true, true, false] },
  { name: 'no adapter', held: [part('v1', 0, 4), V2], missing: [V1], holds: [true, false, true] },
  { name: 'a part over more layers', held: [V1, part('v2', 0, 4)], missing: undefined, holds: [true, true, true] },
  { name: 'a part over fewer layers', held: [part('v1', 0, 2, ['letters']), V2], missing: [part('v1', 0, 4)], holds: [false, false, true] }
]
const ASKED: Array<[ModelReference, LayerRange]> = [
  [{ model: 'assistant', version: 'v1' }, V1.layers], [{ model: 'assistant', version: 'v1', adapter: 'letters' }, V1.layers],
  [{ model: 'assistant', version: 'v2' }, V2.layers]
]

const parts = suite('held parts')
for (const { name, held, missing, holds } of CASES) {
  parts(`a target that holds ${name}`, () => {
    const known = createHeldParts()
    assert.equal(ASKED.map(([reference, layers]) => known.holds('one', reference, layers)), [undefined, undefined, undefined])
    known.noteHeld(toReport(held))
    assert.equal(ASKED.map(([reference, layers]) => known.holds('one', reference, layers)), holds)
    assert.equal(listMissing(DECLARED, toReport(held)), missing)
    known.noteMissing('one', missing ?? [])
    assert.equal(ASKED.map(([reference, layers]) => known.holds('one', reference, layers)), holds)
  })
}
parts.run()

function part (version: string, from: number, to: number, adapters: string[] = []): HeldPart {
  return { model: 'assistant', version, adapters, layers: { from, to } }
}

function toReport (held: HeldPart[]): EngineReport {
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
