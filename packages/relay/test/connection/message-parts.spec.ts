/**
 * Messages that exceed a datagram: their parts arrive in any order, more than once or not at all.
 */
import { install } from '@sinonjs/fake-timers'
import { createMessageAssembly, splitMessage, type MessagePart } from '@wigeonlead/relay'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

const message = Buffer.from(Array.from({ length: 150_000 }, (_, index) => index % 251))

const ARRIVALS: Array<{ name: string, arrange: (parts: MessagePart[]) => MessagePart[], isComplete: boolean }> = [
  { name: 'in order', arrange: parts => parts, isComplete: true },
  { name: 'in reverse order', arrange: parts => [...parts].reverse(), isComplete: true },
  { name: 'one of them twice', arrange: ([first, ...others]) => [first!, first!, ...others], isComplete: true },
  { name: 'one of them never', arrange: parts => parts.slice(1), isComplete: false },
  { name: 'one of them for another', arrange: ([first, ...others]) => [first!, ...others.slice(1), first!], isComplete: false },
  { name: 'one of them in another message', arrange: ([first, ...others]) => [{ ...first!, message: 8 }, ...others], isComplete: false }
]

const parts = suite('message parts')

for (const { name, arrange, isComplete } of ARRIVALS) {
  parts(`the parts arrive ${name}: the message ${isComplete ? 'is joined once' : 'is not joined'}`, () => {
    const assembly = createMessageAssembly()
    const joined = arrange(splitMessage(message, 7)).map(part => assembly.add('vm-1', part)).filter(bytes => bytes !== undefined)
    assert.is(joined.length, isComplete ? 1 : 0)
    if (isComplete) assert.ok(joined[0]!.equals(message))
  })
}

parts('parts of two senders with the same numbers are kept apart', () => {
  const assembly = createMessageAssembly()
  const [first, ...others] = splitMessage(message, 7)
  assert.is(assembly.add('vm-1', first!), undefined)
  for (const part of others) assert.is(assembly.add('vm-2', part), undefined)
})

parts('a part that comes seconds after the others completes nothing', () => {
  const clock = install({ toFake: ['performance'] })
  try {
    const assembly = createMessageAssembly()
    const [first, ...others] = splitMessage(message, 7)
    for (const part of others) assembly.add('vm-1', part)
    clock.tick(3000)
    assembly.add('vm-1', { ...first!, message: 8 })
    assert.is(assembly.add('vm-1', first!), undefined)
  } finally {
    clock.uninstall()
  }
})

for (const fault of [{ count: 0 }, { count: 1_000_000_000 }, { index: -1 }, { index: 4 }]) {
  parts(`a part with ${JSON.stringify(fault)} is refused`, () => {
    const [first] = splitMessage(message, 7)
    assert.throws(() => createMessageAssembly().add('vm-1', { ...first!, ...fault }), /part/)
  })
}

parts.run()
