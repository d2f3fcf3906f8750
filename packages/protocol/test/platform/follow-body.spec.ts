/**
 * Guards against readers that wait without end for a body that was over before they began to listen: the caller of such a request was
 * never answered, and what was reserved for it was never given back.
 */
import { IncomingMessage } from 'node:http'
import { Socket } from 'node:net'
import { createLineReader, followBody, receiveBody } from '@wigeonlead/protocol'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

const WHOLE = 'whole'
const BROKEN = 'broken'
const FAULT = new Error('the parser met a fault')

interface Case {
  name: string
  /** What happens to the message before or after it is followed. */
  change: (message: IncomingMessage) => void
  expected: typeof WHOLE | typeof BROKEN
}

function complete (message: IncomingMessage): void {
  message.complete = true
  message.push('text\n')
  message.push(null)
}

const CASES: Case[] = [
  { name: 'a complete body', change: complete, expected: WHOLE },
  { name: 'a complete body without bytes', change: message => { message.complete = true; message.push(null) }, expected: WHOLE },
  { name: 'an end before the body is complete', change: message => { message.push('te'); message.push(null) }, expected: BROKEN },
  { name: 'a fault', change: message => { message.destroy(FAULT) }, expected: BROKEN },
  { name: 'a fault after some bytes', change: message => { message.push('te'); message.destroy(FAULT) }, expected: BROKEN },
  { name: 'a close without a fault', change: message => { message.destroy() }, expected: BROKEN },
  { name: 'a complete body that is given up with a fault', change: message => { complete(message); message.destroy(FAULT) }, expected: BROKEN }
]

const READERS: Record<string, (message: IncomingMessage) => Promise<string>> = {
  followBody: message => new Promise(resolve => {
    let isEnded = false
    followBody(message, {
      onData () {},
      onEnd (error) {
        assert.not(isEnded, 'the end was told twice')
        isEnded = true
        setImmediate(() => resolve(error === undefined ? WHOLE : BROKEN))
      }
    })
  }),
  receiveBody: message => receiveBody(message, 100).then(() => WHOLE, () => BROKEN),
  createLineReader: async message => {
    const reader = createLineReader(message, 100)
    try {
      while (await reader.next() !== undefined);
      return WHOLE
    } catch {
      return BROKEN
    }
  }
}

const MOMENTS: Record<string, (change: () => void, follow: () => void) => void> = {
  'before it is followed': (change, follow) => { change(); setImmediate(follow) },
  'in the turn before it is followed': (change, follow) => { change(); process.nextTick(() => process.nextTick(follow)) },
  'while it is followed': (change, follow) => { follow(); setImmediate(change) }
}

async function inTime (result: Promise<string>): Promise<string> {
  let timer: NodeJS.Timeout | undefined
  const silence = new Promise<string>(resolve => { timer = setTimeout(resolve, 500, 'the end was never told') })
  return await Promise.race([result, silence]).finally(() => clearTimeout(timer))
}

const ends = suite('ends of bodies')

for (const [reader, read] of Object.entries(READERS)) {
  for (const [moment, order] of Object.entries(MOMENTS)) {
    for (const { name, change, expected } of CASES) {
      ends(`${reader}: ${name}, ${moment}`, async () => {
        const message = new IncomingMessage(new Socket())
        const result = new Promise<string>((resolve, reject) => {
          order(() => change(message), () => { read(message).then(resolve, reject) })
        })
        assert.is(await inTime(result), expected)
      })
    }
  }

  ends(`${reader}: a body that someone else has read`, async () => {
    const message = new IncomingMessage(new Socket())
    message.resume()
    complete(message)
    await new Promise(resolve => { setImmediate(resolve) })
    assert.is(await inTime(read(message)), BROKEN)
  })
}

ends.run()
