/**
 * The slices in which the parser gets what a client sends.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SLICE_BYTES, nextSliceLength } from '@wigeonlead/protocol'

const limits = suite('limits of connections')

const HEAD = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'

const SLICES: Array<{ name: string, bytes: string, bodyBytes: number, length: number }> = [
  { name: 'a head alone', bytes: HEAD, bodyBytes: 0, length: HEAD.length },
  { name: 'the first of several heads', bytes: HEAD.repeat(9), bodyBytes: 0, length: HEAD.length },
  { name: 'the rest of a body before the next head', bytes: `abc${HEAD}`, bodyBytes: 3, length: 3 },
  { name: 'as much of a body as has arrived', bytes: 'abc', bodyBytes: 50, length: 3 },
  { name: 'no more than the size limit without a whole head', bytes: 'a'.repeat(5000), bodyBytes: 0, length: SLICE_BYTES },
  { name: 'no more than the size limit of a long head', bytes: `${'a'.repeat(2000)}${HEAD}`, bodyBytes: 0, length: SLICE_BYTES }
]

for (const { name, bytes, bodyBytes, length } of SLICES) {
  limits(`a slice for the parser: ${name}`, () => {
    assert.is(nextSliceLength(Buffer.from(bytes), bodyBytes), length)
  })
}

limits.run()
