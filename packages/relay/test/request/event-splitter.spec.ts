/**
 * The event splitter returns the same events wherever the stream is cut into chunks, and never returns an incomplete event.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createEventSplitter } from '../../src/request/event-splitter.js'

const STREAM = 'id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: c\n\n'
const IDS = [1, 2, undefined, 3]

const splitter = suite('event splitter')

splitter('returns the same events for a cut at any byte', () => {
  for (let cut = 0; cut <= STREAM.length; cut++) {
    const { push, hasRemainder } = createEventSplitter()
    const events = [...push(Buffer.from(STREAM.slice(0, cut))), ...push(Buffer.from(STREAM.slice(cut)))]
    assert.equal(events.map(({ id }) => id), IDS)
    assert.is(Buffer.concat(events.map(({ bytes }) => bytes)).toString(), STREAM)
    assert.not(hasRemainder())
  }
})

splitter('buffers an incomplete event', () => {
  const { push, hasRemainder } = createEventSplitter()
  assert.equal(push(Buffer.from('id: 1\ndata: a\n')), [])
  assert.ok(hasRemainder())
})

splitter('throws if an incomplete event exceeds the size limit', () => {
  const { push } = createEventSplitter()
  assert.throws(() => push(Buffer.alloc(2_000_000, 'x')), RangeError)
})

splitter.run()
