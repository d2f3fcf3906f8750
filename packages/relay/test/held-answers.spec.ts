/**
 * Guards against a target whose answers never end, many at once, that takes the memory from the answers of others: what is held of answers
 * stays within its bound, sound ones are whole, and what was held comes back. The crowds of platform/ measure the memory of a process.
 */
import type { ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ANSWER_HEADERS, EVENT_STREAM_HEADERS, withRelay, type Behaviour, type Fixture } from './relay-fixture.js'

/** Load: callers at once, and what the faulty target sends to each in the time that they wait. */
const CROWD = 160
const ENDLESS_BYTES = 900_000
const PIECE_BYTES = 30_000
const WAIT_MILLISECONDS = 2500
const SOUND_EVENT = `id: 1\ndata: ${'a'.repeat(300_000)}\n\n`
const SOUND_REQUESTS = 10
const MEGABYTE = 1_048_576
/** The budget of a process with the default memory, 35 MB. */
const MAXIMUM_HELD_BYTES = 35 * MEGABYTE

/** Writes a head and a part of a body that never ends, piece by piece. */
function endless (status: number, headers: Record<string, string>, start: string): Behaviour {
  return (_incoming, response: ServerResponse) => {
    response.writeHead(status, headers)
    response.write(start)
    let bytes = 0
    const timer = setInterval(() => {
      if (response.destroyed || bytes >= ENDLESS_BYTES) return clearInterval(timer)
      bytes += PIECE_BYTES
      response.write('a'.repeat(PIECE_BYTES))
    }, 20)
  }
}

const CASES: Array<{ name: string, path: string, service: string, faulty: Behaviour, soundBody: string }> = [
  { name: 'events', path: '/write/1', service: 'model', faulty: endless(200, EVENT_STREAM_HEADERS, 'id: 1\ndata: '), soundBody: SOUND_EVENT },
  { name: 'comments', path: '/write/1', service: 'model', faulty: endless(200, EVENT_STREAM_HEADERS, ': '), soundBody: SOUND_EVENT },
  { name: 'errors of streams', path: '/write/1', service: 'model', faulty: endless(500, ANSWER_HEADERS, ''), soundBody: SOUND_EVENT },
  { name: 'plain answers', path: '/look/1', service: 'desk', faulty: endless(200, ANSWER_HEADERS, ''), soundBody: 'a'.repeat(300_000) }
]

function heldBytes ({ relay }: Fixture): number {
  const line = relay.metrics.render().split('\n').find(text => text.includes('answers_held_bytes') && !text.startsWith('#'))
  return Number(line?.split(' ').at(-1) ?? 0)
}

const held = suite('answers that are held')

for (const { name, path, service, faulty, soundBody } of CASES) {
  held(`${CROWD} ${name} without end at once: what is held stays within its bound, and sound answers are whole`, async () => {
    const sound: Behaviour = (_incoming, response) => {
      response.writeHead(200, service === 'model' ? EVENT_STREAM_HEADERS : ANSWER_HEADERS)
      response.write(soundBody.slice(0, 150_000))
      setTimeout(() => response.end(soundBody.slice(150_000)), 100)
    }
    let isFaulty = true
    const target: Behaviour = (incoming, response) => {
      const behaviour = isFaulty && incoming.headers['x-sound'] === undefined ? faulty : sound
      behaviour(incoming, response)
    }
    await withRelay([target, sound], service, async fixture => {
      let mostHeld = 0
      const timer = setInterval(() => {
        mostHeld = Math.max(mostHeld, heldBytes(fixture))
      }, 20)
      const method = service === 'model' ? 'POST' : 'GET'
      const crowd = Array.from({ length: CROWD }, () => fixture.call(method, path, { 'X-Wait': String(WAIT_MILLISECONDS) }))
      const answers: Array<{ status: number, body: string, isComplete: boolean }> = []
      for (let request = 0; request < SOUND_REQUESTS; request++) {
        answers.push(await fixture.call(method, path, { 'X-Wait': String(WAIT_MILLISECONDS), 'X-Sound': '1' }))
      }
      const crowded = await Promise.all(crowd)
      clearInterval(timer)
      isFaulty = false
      for (const { status, body, isComplete } of answers) assert.ok(status === 200 && isComplete && body === soundBody, `a sound answer: ${status}`)
      for (const { status, body, isComplete } of crowded) assert.ok(status !== 200 || !isComplete || body === soundBody, 'a wrong answer')
      assert.ok(mostHeld <= MAXIMUM_HELD_BYTES, `${mostHeld} bytes counted`)
      assert.is(heldBytes(fixture), 0)
    })
  })
}

held.run()
