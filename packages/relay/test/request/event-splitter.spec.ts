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

splitter('an empty line after a line with another end, and a number that is no number of an event', () => {
  const { push } = createEventSplitter()
  const events = push(Buffer.from(`id: 1\n\r\nid: ${'1'.repeat(100)}\ndata: a\n\n`))
  assert.equal(events.map(({ id, isComment }) => ({ id, isComment })), [{ id: 1, isComment: false }, { id: undefined, isComment: false }])
})

splitter('empty lines and comments in a row are one event', () => {
  const { push } = createEventSplitter()
  const text = '\n\r\n: a\n\n\n'
  assert.equal(push(Buffer.from(text)), [{ bytes: Buffer.from(text), id: undefined, isComment: true }])
})

splitter('throws if comments without an event exceed the size limit', () => {
  const { push } = createEventSplitter()
  assert.throws(() => { for (let chunk = 0; chunk < 64; chunk++) push(Buffer.alloc(65_536, '\n')) }, RangeError)
})

/** The load of each case is one stream, in chunks of the given size. Guards against incomplete events that count in no budget. */
const KEPT: Array<{ name: string, text: string, chunkBytes: number, most: number, last: number }> = [
  { name: 'whole events', text: 'id: 1\ndata: abcd\n\n'.repeat(1000), chunkBytes: 18, most: 0, last: 0 },
  { name: 'an event in two chunks', text: `id: 1\ndata: ${'a'.repeat(4986)}\n\n`, chunkBytes: 2500, most: 10_000, last: 0 },
  { name: 'an event that never ends', text: 'a'.repeat(300_000), chunkBytes: 50_000, most: 500_000, last: 500_000 },
  { name: 'an event up to the size limit', text: 'a'.repeat(1_048_576), chunkBytes: 65_536, most: 1_048_576, last: 1_048_576 },
  { name: 'one byte of a long read', text: 'id: 1\ndata: a\n\na', chunkBytes: 16, most: 1, last: 1 }
]

for (const { name, text, chunkBytes, most, last } of KEPT) {
  splitter(`holds what it keeps between chunks: ${name}`, () => {
    let held = 0
    let highest = 0
    const { push } = createEventSplitter({
      add (bytes) { held += bytes; highest = Math.max(highest, held); return true },
      clear () { held = 0 }
    })
    const bytes = Buffer.from(text)
    for (let start = 0; start < bytes.length; start += chunkBytes) push(bytes.subarray(start, start + chunkBytes))
    assert.equal({ most: highest, last: held }, { most, last })
  })
}

splitter('throws if the memory for an incomplete event does not suffice', () => {
  const { push } = createEventSplitter({ add: bytes => bytes < 1000, clear () {} })
  push(Buffer.alloc(999, 'x'))
  assert.throws(() => push(Buffer.alloc(999, 'x')), /no memory/)
})

const STREAM_BYTES = 524_288

function chunksOf (text: string, chunkBytes: number): Buffer[] {
  const bytes = Buffer.alloc(STREAM_BYTES, text)
  return Array.from({ length: STREAM_BYTES / chunkBytes }, (_, index) => bytes.subarray(index * chunkBytes, (index + 1) * chunkBytes))
}

/** @returns the processor time for a stream, microseconds; the least of three rounds, since other work on the machine adds to it. */
function costOf (chunks: readonly Buffer[]): number {
  const rounds = [1, 2, 3].map(() => {
    const { push } = createEventSplitter()
    const before = process.cpuUsage().user
    for (const chunk of chunks) push(chunk)
    return process.cpuUsage().user - before
  })
  return Math.min(...rounds)
}

const USUAL_CHUNK = 65_536
const SMALL_CHUNK = 16
/** Maximum cost of a stream, as a multiple of that of as many bytes in usual events. Work that grows faster costs hundreds. */
const MAXIMUM_COST_RATIO = 30
const HOSTILE: Array<{ name: string, text: string, chunkBytes?: number }> = [
  { name: 'empty lines', text: '\n' },
  { name: 'empty lines with returns', text: '\r\n' },
  { name: 'comments', text: ':\n' },
  { name: 'comments, each an event', text: ':\n\n' },
  { name: 'events of one letter', text: 'a\n\n' },
  { name: 'returns without a line feed', text: '\r' },
  { name: 'an event of `id` lines', text: 'id: 1\n' },
  { name: 'an `id` line without end', text: 'id: 1111111' },
  { name: 'an event without end in small chunks', text: 'data: a', chunkBytes: SMALL_CHUNK },
  { name: 'an event of many lines in small chunks', text: 'data: a\n', chunkBytes: SMALL_CHUNK },
  { name: 'empty lines in small chunks', text: '\n', chunkBytes: SMALL_CHUNK }
]

// Guards against bytes from one target that take the process away from all other requests, since the work grew with events times bytes.
for (const { name, text, chunkBytes = USUAL_CHUNK } of HOSTILE) {
  splitter(`the work grows with the bytes only: ${name}`, () => {
    const chunks = chunksOf(text, chunkBytes)
    const usual = Math.max(1000, costOf(chunksOf(`id: 1\ndata: ${'a'.repeat(100)}\n\n`, USUAL_CHUNK)))
    const ratio = costOf(chunks) / usual
    assert.ok(ratio < MAXIMUM_COST_RATIO, `${ratio} times the cost of usual events`)
  })
}

splitter.run()
