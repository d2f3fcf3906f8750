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
  /** Maximum number of parts that the change may write. */
  maximumWrites: number
}

const CASES: Case[] = [
  { name: 'no change', change: workspaces => workspaces, maximumWrites: 0 },
  { name: 'workspaces in another order', change: workspaces => [...workspaces].reverse(), maximumWrites: 0 },
  { name: 'one workspace removed', change: workspaces => workspaces.slice(1), maximumWrites: 1 },
  { name: 'one workspace added', change: workspaces => [{ name: 'new', keyDigests: [digestText('n')] }, ...workspaces], maximumWrites: 2 },
  { name: 'one workspace changed', change: ([first, ...rest]) => [{ ...first as object, weight: 7 }, ...rest], maximumWrites: 1 }
]

const parts = suite('manifest parts')
for (const { name, change, maximumWrites } of CASES) {
  parts(`${name}: at most ${maximumWrites} parts are written`, () => {
    const before = new Set(splitManifest(largeManifest()).map(part => part.digest))
    const written = splitManifest(largeManifest(change)).filter(part => !before.has(part.digest))
    assert.ok(written.length <= maximumWrites, `${written.length} parts`)
  })
}
parts('every part of a manifest over a megabyte is within the size limit, and joining the parts restores the manifest', () => {
  const manifest = largeManifest()
  const split = splitManifest(manifest)
  assert.ok(JSON.stringify(manifest).length > 1_000_000)
  assert.ok(split.every(part => Buffer.byteLength(part.content) <= MAXIMUM_PART_BYTES))
  assert.equal(joinManifest(split.map(part => part.content)), manifest)
})
parts.run()
