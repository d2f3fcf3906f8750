/**
 * Times of clients, and which connection closes where there are too many. The load of the second table is a full table of connections.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ClientPhase, SLICE_BYTES, chooseConnectionToClose, isOverdue, nextSliceLength, type ClientLimits } from '@wigeonlead/protocol'

const LIMITS: ClientLimits = { headBytes: 16_384, headTimeoutMilliseconds: 3000, idleTimeoutMilliseconds: 15_000, connections: 3 }

const TIMES: Array<{ phase: ClientPhase, elapsed: number, isEnded: boolean }> = [
  { phase: ClientPhase.Head, elapsed: 3000, isEnded: false },
  { phase: ClientPhase.Head, elapsed: 4001, isEnded: true },
  { phase: ClientPhase.Idle, elapsed: 15_000, isEnded: false },
  { phase: ClientPhase.Idle, elapsed: 16_001, isEnded: true },
  { phase: ClientPhase.Body, elapsed: 15_000, isEnded: false },
  { phase: ClientPhase.Body, elapsed: 16_001, isEnded: true },
  { phase: ClientPhase.Waiting, elapsed: 600_000, isEnded: false }
]

const limits = suite('limits of connections')

for (const { phase, elapsed, isEnded } of TIMES) {
  limits(`a client in the phase "${phase}" for ${elapsed} ms is ${isEnded ? 'overdue' : 'in time'}`, () => {
    assert.is(isOverdue({ phase, since: 1000 }, LIMITS, 1000 + elapsed), isEnded)
  })
}

/** Connections by phase, with the start of the phase. */
const FULL_TABLES: Array<{ name: string, connections: Array<[ClientPhase, number]>, closed: number | undefined }> = [
  { name: 'the longest idle one', connections: [[ClientPhase.Body, 1], [ClientPhase.Idle, 9], [ClientPhase.Idle, 5]], closed: 2 },
  { name: 'the slowest head where none is idle', connections: [[ClientPhase.Body, 1], [ClientPhase.Head, 4], [ClientPhase.Head, 7]], closed: 1 },
  { name: 'a body without progress', connections: [[ClientPhase.Waiting, 1], [ClientPhase.Body, 8], [ClientPhase.Body, 3]], closed: 2 },
  { name: 'an unread answer', connections: [[ClientPhase.Waiting, 1], [ClientPhase.Unread, 8]], closed: 1 },
  { name: 'none whose request is handled', connections: [[ClientPhase.Waiting, 1], [ClientPhase.Waiting, 2]], closed: undefined }
]

for (const { name, connections, closed } of FULL_TABLES) {
  limits(`closes for a new connection: ${name}`, () => {
    const table = connections.map(([phase, since], index) => ({ phase, since, index }))
    assert.is(chooseConnectionToClose(table)?.index, closed)
  })
}

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
