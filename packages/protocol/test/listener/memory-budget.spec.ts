/**
 * The memory budget for clients: whose request ends where the memory does not suffice. The load of each case is 100 bytes of memory.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { HoldingPhase, createMemoryBudget } from '@wigeonlead/protocol'
import { withPausedClock } from '@wigeonlead/stand-ins'

const LIMIT_BYTES = 100

/** What holds memory when one more request asks for it, in the order of arrival, a second apart. */
interface BudgetCase {
  name: string
  held: Array<{ name: string, bytes: number, phase: HoldingPhase, owner?: string }>
  asked: number
  isGiven: boolean
  evicted: string[]
}

const { Receiving, Handling, Sending } = HoldingPhase

const CASES: BudgetCase[] = [
  { name: 'there is room', held: [{ name: 'a', bytes: 90, phase: Receiving }], asked: 10, isGiven: true, evicted: [] },
  {
    name: 'an unfinished body that has been held for long gives way',
    held: [{ name: 'old', bytes: 50, phase: Receiving }, { name: 'new', bytes: 50, phase: Receiving }],
    asked: 10,
    isGiven: true,
    evicted: ['old']
  },
  {
    name: 'a short body does not give way in place of a long one',
    held: [{ name: 'short', bytes: 5, phase: Receiving }, { name: 'long', bytes: 95, phase: Receiving }],
    asked: 10,
    isGiven: true,
    evicted: ['long']
  },
  {
    name: 'an unread answer gives way',
    held: [{ name: 'handled', bytes: 60, phase: Handling }, { name: 'unread', bytes: 40, phase: Sending }],
    asked: 10,
    isGiven: true,
    evicted: ['unread']
  },
  {
    name: 'as many give way as needed',
    held: ['a', 'b', 'c', 'd'].map(name => ({ name, bytes: 25, phase: Receiving })),
    asked: 60,
    isGiven: true,
    evicted: ['a', 'b', 'c']
  },
  {
    name: 'requests that are handled do not give way: the new one is refused',
    held: [{ name: 'a', bytes: 50, phase: Handling }, { name: 'b', bytes: 50, phase: Handling }],
    asked: 10,
    isGiven: false,
    evicted: []
  },
  {
    name: 'many holdings of one sender cost more than one of another that is older and longer',
    held: [
      { name: 'sound', bytes: 16, phase: Receiving, owner: 'other' },
      ...['a', 'b', 'c', 'd', 'e', 'f'].map(name => ({ name, bytes: 14, phase: Receiving, owner: 'faulty' }))
    ],
    asked: 25,
    isGiven: true,
    evicted: ['a', 'b']
  },
  { name: 'more is asked for than there is: nothing gives way that does not help', held: [], asked: 101, isGiven: false, evicted: [] }
]

const memoryBudget = suite('memory budget')

for (const { name, held, asked, isGiven, evicted } of CASES) {
  memoryBudget(name, () => withPausedClock(async clock => {
    const budget = createMemoryBudget(() => LIMIT_BYTES)
    const ended: string[] = []
    for (const { name: holder, bytes, phase, owner } of held) {
      const holding = budget.open(() => { ended.push(holder) }, owner)
      assert.ok(holding.add(bytes))
      holding.enter(phase)
      await clock.advance(1000)
    }
    assert.is(budget.open(() => {}).add(asked), isGiven)
    assert.equal(ended, evicted)
    const evictedBytes = held.filter(({ name }) => evicted.includes(name)).reduce((sum, { bytes }) => sum + bytes, 0)
    assert.is(budget.heldBytes(), held.reduce((sum, { bytes }) => sum + bytes, 0) - evictedBytes + (isGiven ? asked : 0))
  }))
}

memoryBudget('a holding that costs the most itself is refused, and keeps its bytes until it is cleared', () => withPausedClock(async clock => {
  const budget = createMemoryBudget(() => LIMIT_BYTES)
  const holding = budget.open(() => { throw new Error('evicted') })
  assert.ok(holding.add(90))
  await clock.advance(1000)
  assert.not(holding.add(20))
  assert.is(budget.heldBytes(), 90)
  holding.clear()
  assert.is(budget.heldBytes(), 0)
}))

memoryBudget.run()
