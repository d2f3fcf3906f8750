/**
 * A paced connection passes its bytes on unchanged and in order, its end after them, and reads no more while some wait. The load of each
 * case is one connection.
 */
import { Readable } from 'node:stream'
import { createReadingTurns, paceReading } from '@wigeonlead/protocol'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

const PART_BYTES = 4096

interface Case {
  name: string
  /** Lengths of the reads that arrive one after the other, each as soon as the connection reads. */
  reads: number[]
  /** Lengths of what is passed on. */
  passedOn: number[]
}

const CASES: Case[] = [
  { name: 'short reads', reads: [1, PART_BYTES, 10], passedOn: [1, PART_BYTES, 10] },
  { name: 'a long read', reads: [10_000], passedOn: [PART_BYTES, PART_BYTES, 1808] },
  { name: 'long reads and short ones', reads: [5000, 1, 9000], passedOn: [PART_BYTES, 904, 1, PART_BYTES, PART_BYTES, 808] }
]

const pacing = suite('paced connections')

for (const { name, reads, passedOn } of CASES) {
  pacing(name, async () => {
    const turns = createReadingTurns(begin => { setImmediate(begin) }, { partsPerTurn: 1 })
    let next = 0
    let isWaiting = false
    const bytes = reads.map((length, index) => Buffer.alloc(length, index + 1))
    const socket: Readable = new Readable({
      read () {
        assert.not(isWaiting, 'it reads while a part waits')
        const chunk = bytes[next++] ?? null
        setImmediate(() => socket.push(chunk))
      }
    })
    paceReading(socket, {
      ...turns,
      mayReadOn (reader) {
        isWaiting = true
        const readOn = (): void => { isWaiting = false; reader.readOn() }
        return turns.mayReadOn({ readOn })
      }
    })
    const received: Buffer[] = []
    socket.on('data', (chunk: Buffer) => received.push(chunk))
    await new Promise(resolve => { socket.on('end', resolve) })
    assert.equal(Buffer.concat(received), Buffer.concat(bytes))
    assert.equal(received.map(({ length }) => length), passedOn)
  })
}

pacing('a destroyed connection passes nothing more on', async () => {
  const scheduled: Array<() => void> = []
  const socket = new Readable({ read () {} })
  paceReading(socket, createReadingTurns(begin => { scheduled.push(begin) }, { partsPerTurn: 1 }))
  let received = 0
  socket.on('data', (chunk: Buffer) => { received += chunk.length })
  socket.push(Buffer.alloc(10_000))
  await new Promise(resolve => { setImmediate(resolve) })
  socket.destroy()
  for (const begin of scheduled) begin()
  assert.is(received, PART_BYTES)
})

pacing.run()
