import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { MAXIMUM_PART_BYTES, digestText, joinManifest, manifestSchema, splitManifest, type Manifest } from '../../src/index.js'

const WORKSPACES = 5000

function largeManifest (change: (workspaces: unknown[]) => unknown[] = workspaces => workspaces): Manifest {
  const workspaces = Array.from({ length: WORKSPACES }, (_, index) => ({
    name: `workspace-${String(index).padStart(5, '0')}`, keyDigests: [digestText(`a${index}`), digestText(`b${index}`), digestText(`c${index}`)]
  }))
  return manifestSchema.parse({ format: 1, failureDomains: ['howrah', 'salt-lake'], workspaces: change(workspaces) })
}

interface Case {
  name: string
  change: (workspaces: unknown[]) => unknown[]
  /** Most parts that the change may write. */
  writes: number
}

const CASES: Case[] = [
  { name: 'nothing changed', change: workspaces => workspaces, writes: 0 },
  { name: 'another order', change: workspaces => [...workspaces].reverse(), writes: 0 },
  { name: 'one workspace taken out', change: workspaces => workspaces.slice(1), writes: 1 },
  { name: 'one workspace added', change: workspaces => [{ name: 'new', keyDigests: [digestText('n')] }, ...workspaces], writes: 2 },
  { name: 'one workspace changed', change: ([first, ...rest]) => [{ ...first as object, weight: 7 }, ...rest], writes: 1 }
]

const parts = suite('manifest parts')
for (const { name, change, writes } of CASES) {
  parts(`${name}: at most ${writes} parts are written`, () => {
    const before = new Set(splitManifest(largeManifest()).map(part => part.digest))
    const written = splitManifest(largeManifest(change)).filter(part => !before.has(part.digest))
    assert.ok(written.length <= writes, `${written.length} parts`)
  })
}
parts('a manifest of over a megabyte keeps each part small and comes back whole', () => {
  const manifest = largeManifest()
  const split = splitManifest(manifest)
  assert.ok(JSON.stringify(manifest).length > 1_000_000)
  assert.ok(split.every(part => Buffer.byteLength(part.content) <= MAXIMUM_PART_BYTES))
  assert.equal(joinManifest(split.map(part => part.content)), manifest)
})
parts.run()
