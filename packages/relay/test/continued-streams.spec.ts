/**
 * Streams that break off and are continued by another target, which does not send what it should.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ANSWER_HEADERS, EVENT_STREAM_HEADERS, LAST_EVENT, completeSeries, events, eventsThen, withRelay, type Behaviour } from './relay-fixture.js'

/** Resets its first answer after event 3, and completes the series otherwise. */
const resettingFirst: Behaviour = (incoming, response) => {
  if (incoming.headers['x-last'] === undefined) eventsThen(3, () => response.destroy())(incoming, response)
  else completeSeries(incoming, response)
}

/** Answers with a status that ends no answer, and with an event that would continue the series. */
function withStatus (status: string): Behaviour {
  return (incoming, response) => {
    const head = Object.entries(EVENT_STREAM_HEADERS).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    incoming.socket.end(`HTTP/1.1 ${status} None\r\n${head}\r\nid: ${Number(incoming.headers['x-last']) + 1}\ndata: fault\n\n`)
    response.destroy()
  }
}

const FAULTS: Record<string, Behaviour> = {
  'an error with text': (_incoming, response) => { response.writeHead(500, ANSWER_HEADERS); response.end('fault') },
  'an error as events': (_incoming, response) => { response.writeHead(500, EVENT_STREAM_HEADERS); response.end('data: fault\n\n') },
  'events without identifiers': (_incoming, response) => { response.writeHead(200, EVENT_STREAM_HEADERS); response.end('data: fault\n\n') },
  'the head of an error as an event': (_incoming, response) => {
    response.writeHead(200, EVENT_STREAM_HEADERS)
    response.end('HTTP/1.1 500 Fault\r\nContent-Type: text/plain\r\n\r\n')
  },
  'the head of an error after an event': (incoming, response) => {
    response.writeHead(200, EVENT_STREAM_HEADERS)
    response.end(`${events(Number(incoming.headers['x-last']) + 1, 4)}HTTP/1.1 500 Fault\r\nContent-Type: text/plain\r\n\r\n`)
  },
  'status 000 and events': withStatus('000'),
  'status 099 and events': withStatus('099'),
  'status 600 and events': withStatus('600'),
  'status 999 and events': withStatus('999'),
  'no event at all': (_incoming, response) => { response.writeHead(200, EVENT_STREAM_HEADERS); response.end() }
}

const streams = suite('continued streams')

// Guards against what is no part of a stream in its middle, and against a stream that looks complete before its last event.
for (const [name, fault] of Object.entries(FAULTS)) {
  streams(`the next target answers once with ${name}: nothing foreign is forwarded, and the stream is completed`, async () => {
    let faults = 0
    const faultyOnce: Behaviour = (incoming, response) => {
      if (incoming.headers['x-last'] === undefined) return eventsThen(3, () => response.destroy())(incoming, response)
      faults += 1
      if (faults === 1) fault(incoming, response)
      else completeSeries(incoming, response)
    }
    await withRelay([faultyOnce], 'model', async fixture => {
      const answer = await fixture.call('POST', '/write/1', { 'X-Wait': '3000' })
      assert.is(answer.body, events(1, LAST_EVENT))
      assert.ok(answer.isComplete)
      assert.is(faults, 2)
    })
  })

  if (name === 'no event at all') continue
  streams(`each continuation is ${name}: the stream does not look complete`, async () => {
    const alwaysFaulty: Behaviour = (incoming, response) =>
      incoming.headers['x-last'] === undefined ? resettingFirst(incoming, response) : fault(incoming, response)
    await withRelay([alwaysFaulty], 'model', async fixture => {
      const answer = await fixture.call('POST', '/write/1', { 'X-Wait': '1500' })
      assert.not(answer.body.includes('fault'))
      assert.not(answer.body.includes('HTTP'))
      assert.not(answer.isComplete)
    })
  })
}

streams('the stream broke off after its last event, and two continuations have no more: it is complete', async () => {
  const endless: Behaviour = (incoming, response) => {
    if (incoming.headers['x-last'] === undefined) return eventsThen(LAST_EVENT, () => response.destroy())(incoming, response)
    response.writeHead(200, EVENT_STREAM_HEADERS)
    response.end()
  }
  await withRelay([endless], 'model', async fixture => {
    const answer = await fixture.call('POST', '/write/1', { 'X-Wait': '3000' })
    assert.is(answer.body, events(1, LAST_EVENT))
    assert.ok(answer.isComplete)
  })
})

streams('comments between events are forwarded', async () => {
  const commenting = eventsThen(3, response => response.end(`: still here\n\n${events(4, LAST_EVENT)}`))
  await withRelay([commenting], 'model', async fixture => {
    const answer = await fixture.call('POST', '/write/1', { 'X-Wait': '1500' })
    assert.is(answer.body, `${events(1, 3)}: still here\n\n${events(4, LAST_EVENT)}`)
    assert.ok(answer.isComplete)
  })
})

streams.run()
