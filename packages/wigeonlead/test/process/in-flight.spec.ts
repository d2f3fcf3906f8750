import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createInFlightRequests } from '../../src/process/in-flight.js'
import type { CallerResponse } from '../../src/request/index.js'

const MEASURED_CHUNKS = 100_000
const WARM_UP_CHUNKS = 500
/** A delivered chunk must not be retained until its stream ends; a closure for each chunk would take more than this. */
const MAXIMUM_RETAINED_BYTES_PER_CHUNK = 16
const REQUEST = { method: 'POST', url: '/', headers: {}, body: new Uint8Array(), signal: new AbortController().signal }

const inFlight = suite('requests in flight')

inFlight('a long stream retains no memory of the chunks that it has delivered', async () => {
  setFlagsFromString('--expose-gc')
  const collectGarbage = runInNewContext('gc') as () => void
  const requests = createInFlightRequests(() => {})
  const response = await requests.track(async () => ({ status: 200, headers: {}, body: endlessChunks() }))(REQUEST)
  const chunks = (response.body as Exclude<CallerResponse['body'], string | Uint8Array>)[Symbol.asyncIterator]()
  for (let index = 0; index < WARM_UP_CHUNKS; index += 1) await chunks.next()
  collectGarbage()
  const before = process.memoryUsage().heapUsed
  for (let index = 0; index < MEASURED_CHUNKS; index += 1) await chunks.next()
  collectGarbage()
  const retained = (process.memoryUsage().heapUsed - before) / MEASURED_CHUNKS
  assert.ok(retained < MAXIMUM_RETAINED_BYTES_PER_CHUNK, `${retained} bytes per chunk`)
  await chunks.return?.()
  assert.is(requests.count(), 0)
})

inFlight('a stream that fails is no longer counted as in flight', async () => {
  const requests = createInFlightRequests(() => {})
  const response = await requests.track(async () => ({ status: 200, headers: {}, body: brokenChunks() }))(REQUEST)
  const seen: string[] = []
  try {
    for await (const chunk of response.body as AsyncIterable<string>) seen.push(chunk)
    assert.unreachable()
  } catch (error) {
    assert.is((error as Error).message, 'broken')
  }
  assert.equal([seen, requests.count()], [['x'], 0])
})

inFlight.run()

async function * endlessChunks (): AsyncIterable<string> {
  while (true) yield 'x'
}

async function * brokenChunks (): AsyncIterable<string> {
  yield 'x'
  throw new Error('broken')
}
