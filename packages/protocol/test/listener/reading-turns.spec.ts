/**
 * Who reads on in which turn. The load of each case is a number of readers whose input has many parts each, beside one that has a few.
 */
import { install } from '@sinonjs/fake-timers'
import { createReadingTurns, type Reader } from '@wigeonlead/protocol'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

/** Parts of readers whose input does not end soon. */
const FORTY: number[] = Array(40).fill(100)

interface Case {
  name: string
  /** Time that one part takes. */
  partMilliseconds: number
  /** Parts that each greedy reader has. */
  greedy: number[]
  soundParts: number
  /** Turn in which the sound reader, which comes last, has read all. */
  soundTurn: number
  /** Most parts that are parsed in any turn but the first: those of 4 ms, and of the reader whose turn it is then. */
  mostParts: number
}

const CASES: Case[] = [
  { name: 'a reader with few parts', greedy: [], partMilliseconds: 1, soundParts: 7, soundTurn: 0, mostParts: 0 },
  { name: 'a reader with many parts goes on in the next turn', greedy: [], partMilliseconds: 1, soundParts: 12, soundTurn: 1, mostParts: 4 },
  { name: 'forty greedy readers beside one with few parts', greedy: FORTY, partMilliseconds: 0.5, soundParts: 5, soundTurn: 0, mostParts: 8 },
  { name: 'forty greedy readers of costly parts beside one', greedy: FORTY, partMilliseconds: 0.5, soundParts: 12, soundTurn: 41, mostParts: 12 },
  { name: 'forty greedy readers of cheap parts beside one', greedy: FORTY, partMilliseconds: 0.05, soundParts: 12, soundTurn: 5, mostParts: 84 }
]

const readingTurns = suite('reading turns')

for (const { name, greedy, partMilliseconds, soundParts, soundTurn, mostParts } of CASES) {
  readingTurns(name, () => {
    const clock = install()
    const scheduled: Array<() => void> = []
    const turns = createReadingTurns(begin => { scheduled.push(begin) })
    const left = [...greedy, soundParts]
    let turn = 0
    let readInTurn = 0
    let highest = 0
    let endedIn: number | undefined
    const readers = left.map((_, index): Reader => ({ readOn: () => read(index) }))

    function read (index: number): void {
      while (left[index]! > 0) {
        left[index]! -= 1
        readInTurn += 1
        clock.tick(partMilliseconds)
        if (!turns.mayReadOn(readers[index]!)) break
      }
      if (index === left.length - 1 && left[index] === 0) endedIn ??= turn
    }

    for (const index of left.keys()) read(index)
    while (scheduled.length > 0) {
      turn += 1
      readInTurn = 0
      scheduled.shift()!()
      highest = Math.max(highest, readInTurn)
    }
    clock.uninstall()
    assert.is(endedIn, soundTurn)
    assert.is(highest, mostParts)
    assert.equal(left, left.map(() => 0))
    assert.is(turns.waiting(), 0)
  })
}

readingTurns.run()
