import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createInFlight } from '../../src/process/in-flight.js'
import type { CallerResponse } from '../../src/request/index.js'

const PIECES = 100_000
const ROUNDS_OF_PIECES = 500
/** A piece that was handed out must not be held on to until its stream ends; any closure takes more than this. */
const MOST_RETAINED_BYTES_A_PIECE = 16
const REQUEST = { method: 'POST', url: '/', headers: {}, body: new Uint8Array(), signal: new AbortController().signal }

const inFlight = suite('requests in flight')

inFlight('a long stream holds nothing of the pieces that it handed out', async () => {
  setFlagsFromString('--expose-gc')
  const collect = runInNewContext('gc') as () => void
  const count = createInFlight(() => {})
  const response = await count.track(async () => ({ status: 200, headers: {}, body: manyPieces() }))(REQUEST)
  const pieces = (response.body as Exclude<CallerResponse['body'], string | Uint8Array>)[Symbol.asyncIterator]()
  for (let index = 0; index < ROUNDS_OF_PIECES; index += 1) await pieces.next()
  collect()
  const before = process.memoryUsage().heapUsed
  for (let index = 0; index < PIECES; index += 1) await pieces.next()
  collect()
  const retained = (process.memoryUsage().heapUsed - before) / PIECES
  assert.ok(retained < MOST_RETAINED_BYTES_A_PIECE, `${retained} bytes a piece`)
  await pieces.return?.()
  assert.is(count.count(), 0)
})

inFlight('a stream that breaks is counted as ended', async () => {
  const count = createInFlight(() => {})
  const response = await count.track(async () => ({ status: 200, headers: {}, body: brokenPieces() }))(REQUEST)
  const seen: string[] = []
  try {
    for await (const piece of response.body as AsyncIterable<string>) seen.push(piece)
    assert.unreachable()
  } catch (error) {
    assert.is((error as Error).message, 'broken')
  }
  assert.equal([seen, count.count()], [['x'], 0])
})

inFlight.run()

async function * manyPieces (): AsyncIterable<string> {
  while (true) yield 'x'
}

async function * brokenPieces (): AsyncIterable<string> {
  yield 'x'
  throw new Error('broken')
}
