/**
 * The line reader returns the same lines wherever the answer is cut into chunks, and holds what it keeps of an incomplete line. The load of
 * each case is one answer.
 */
import { IncomingMessage } from 'node:http'
import { Socket } from 'node:net'
import { createLineReader, type Holding } from '@wigeonlead/protocol'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

const LIMIT_BYTES = 1000
const TEXT = '{"a":1}\n\n  \n{"b":"\u00fc"}\r\nlast'
const LINES = ['{"a":1}', '{"b":"\u00fc"}\r', 'last']

async function readLines (chunks: readonly Buffer[], memory: Partial<Holding> = {}): Promise<string[]> {
  const message = new IncomingMessage(new Socket())
  const reader = createLineReader(message, LIMIT_BYTES, () => ({ add: () => true, remove () {}, enter () {}, clear () {}, ...memory }))
  for (const chunk of chunks) message.push(chunk)
  message.complete = true
  message.push(null)
  const lines: string[] = []
  for (let next = await reader.next(); next !== undefined; next = await reader.next()) lines.push(...next)
  return lines
}

const lineReader = suite('line reader')

lineReader('returns the same lines for a cut at any byte', async () => {
  const bytes = Buffer.from(TEXT)
  for (let cut = 1; cut < bytes.length; cut++) assert.equal(await readLines([bytes.subarray(0, cut), bytes.subarray(cut)]), LINES)
})

const KEPT: Array<{ name: string, chunks: string[], most: number }> = [
  { name: 'whole lines', chunks: ['a\n', 'b\nc\n'], most: 0 },
  { name: 'a line in two chunks', chunks: ['a'.repeat(100), 'b\n'], most: 204 },
  { name: 'a line without an end', chunks: ['a'.repeat(600), 'b'.repeat(400)], most: 1000 }
]

// Guards against incomplete lines that count in no budget.
for (const { name, chunks, most } of KEPT) {
  lineReader(`holds what it keeps between chunks: ${name}`, async () => {
    let held = 0
    let highest = 0
    await readLines(chunks.map(text => Buffer.from(text)), {
      add (bytes) { held += bytes; highest = Math.max(highest, held); return true },
      clear () { held = 0 }
    })
    assert.equal({ highest, held }, { highest: most, held: 0 })
  })
}

lineReader('a line over the limit, and one that there is no memory for, break the answer', async () => {
  const chunks = [Buffer.alloc(LIMIT_BYTES, 'a'), Buffer.from('a')]
  for (const memory of [{}, { add: () => false }]) {
    assert.instance(await readLines(chunks, memory).catch((error: Error) => error), Error)
  }
})

lineReader.run()
