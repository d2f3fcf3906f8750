/**
 * Guards against a stream that waits for its caller when its run is given up, and then ends as complete without its last events.
 */
import { Writable } from 'node:stream'
import type { ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Exchange } from '@wigeonlead/relay'
import { EVENT_STREAM_HEADERS, LAST_EVENT, events, withRelay, type Behaviour } from './relay-fixture.js'

const WAIT_MILLISECONDS = 400
const EVENT_INTERVAL_MILLISECONDS = 10

/** A response whose connection takes nothing until it is told to. */
class ChokedResponse extends Writable {
  headersSent = false
  received = ''
  isChoked = true
  private takeOn: (() => void) | undefined

  constructor () {
    super({ highWaterMark: 1 })
  }

  override _write (chunk: Buffer, _encoding: string, callback: () => void): void {
    this.received += chunk.toString()
    if (this.isChoked) this.takeOn = callback
    else callback()
  }

  takeRest (): void {
    this.isChoked = false
    this.takeOn?.()
  }

  hasHeader (): boolean { return false }
  setHeader (): void {}
  writeHead (): void { this.headersSent = true }
}

/** Writes the events one by one, and then calls `end`. */
function writeEvents (end: (response: ServerResponse) => void): Behaviour {
  return (incoming, response) => {
    response.writeHead(200, EVENT_STREAM_HEADERS)
    let next = Number(incoming.headers['x-last'] ?? 0) + 1
    const timer = setInterval(() => {
      if (next <= LAST_EVENT) response.write(events(next, next))
      else end(response)
      if (next++ > LAST_EVENT) clearInterval(timer)
    }, EVENT_INTERVAL_MILLISECONDS)
  }
}

interface Case {
  name: string
  target: Behaviour
  /** Gives the run up; by default, its deadline does. */
  giveUp?: (callerLeft: AbortController) => void
  isWhole: boolean
}

const CASES: Case[] = [
  { name: 'the whole answer has arrived at the deadline', target: writeEvents(response => response.end()), isWhole: true },
  { name: 'the answer lacks its end at the deadline', target: writeEvents(() => {}), isWhole: false },
  {
    name: 'the listener ends the request after the whole answer has arrived',
    target: writeEvents(response => response.end()),
    giveUp: callerLeft => callerLeft.abort(),
    isWhole: false
  }
]

const unread = suite('streams that are not read')

for (const { name, target, giveUp, isWhole } of CASES) {
  unread(`${name}: it ${isWhole ? 'is whole' : 'does not look complete'}`, async () => {
    await withRelay([target], 'model', async ({ relay }) => {
      const response = new ChokedResponse()
      response.on('error', () => {})
      const callerLeft = new AbortController()
      const headers = { host: 'a.example', 'x-request': 'r-1', authorization: 'key-1', 'x-wait': String(WAIT_MILLISECONDS) }
      const handled = relay.handle({
        method: 'POST',
        path: '/write/1',
        host: 'a.example',
        headers,
        rawHeaders: Object.entries(headers).flat(),
        body: Buffer.alloc(0),
        arrivedAt: { monotonic: performance.now(), wallClock: Date.now() },
        isHandedOver: false,
        callerLeft: callerLeft.signal,
        response: response as unknown as ServerResponse
      } as Exchange)
      if (giveUp !== undefined) setTimeout(() => giveUp(callerLeft), WAIT_MILLISECONDS / 2)
      await new Promise(resolve => { setTimeout(resolve, 1.5 * WAIT_MILLISECONDS) })
      response.takeRest()
      await handled
      await new Promise(resolve => { setTimeout(resolve, 20) })
      assert.is(response.received.startsWith('id: 1\n'), true, 'the answer has begun')
      assert.is(response.writableFinished, isWhole)
      if (isWhole) assert.is(response.received, events(1, LAST_EVENT))
    })
  })
}

unread.run()
