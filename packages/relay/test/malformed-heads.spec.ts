/**
 * Guards against a target whose answer has a head that Node.js reads and refuses to write, such as spaces in the name of a header: that
 * ended the process, and with it all requests that it had in hand.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { ANSWER_HEADERS, EVENT_STREAM_HEADERS, LAST_EVENT, completeSeries, events, withRelay, type Behaviour } from './relay-fixture.js'

const OK = 'HTTP/1.1 200 OK'
const HEADS: Array<{ name: string, status?: string, header?: string }> = [
  { name: 'spaces in the name of a header', header: 'X Spoiled Name: a' },
  { name: 'a space after the name of a header', header: 'X-Spoiled : a' },
  { name: 'a header without a name', header: ': a' },
  { name: 'status 0', status: 'HTTP/1.1 000 None' },
  { name: 'status 99', status: 'HTTP/1.1 099 None' },
  { name: 'status 600', status: 'HTTP/1.1 600 None' },
  { name: 'status 999', status: 'HTTP/1.1 999 None' },
  { name: 'a change of protocol that nothing asked for', status: 'HTTP/1.1 101 Other' }
]

/** Bytes after the head, and the headers that go with them. */
const BODIES: Array<{ name: string, headers: string[], text: string }> = [
  { name: 'no body, which ends with its connection', headers: [], text: '' },
  { name: 'a body of length 0', headers: ['Content-Length: 0'], text: '' },
  { name: 'one chunk', headers: ['Transfer-Encoding: chunked'], text: 'e\r\nid: 1\ndata: a\n\r\n1\r\n\n\r\n0\r\n\r\n' }
]

/** Writes an answer byte for byte, and closes the connection. */
function writing (statusLine: string, headers: Record<string, string>, further: string[], text: string): Behaviour {
  const lines = [statusLine, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`), ...further]
  return (incoming, response) => {
    incoming.socket.end(`${lines.join('\r\n')}\r\n\r\n${text}`)
    response.destroy()
  }
}

const ok: Behaviour = (_incoming, response) => { response.writeHead(200, ANSWER_HEADERS); response.end('ok') }

const heads = suite('malformed heads of answers')

for (const { name, status = OK, header } of HEADS) {
  for (const body of BODIES) {
    const further = [...(header === undefined ? [] : [header]), ...body.headers]
    heads(`${name}, ${body.name}: another target gives the events`, async () => {
      await withRelay([writing(status, EVENT_STREAM_HEADERS, further, body.text), completeSeries], 'model', async fixture => {
        const answer = await fixture.call('POST', '/write/1', { 'X-Wait': '1500' })
        assert.is(answer.status, 200)
        assert.is(answer.body, events(1, LAST_EVENT))
        assert.ok(answer.isComplete)
      })
    })

    const spoiled = writing(status, ANSWER_HEADERS, further, body.text)
    heads(`${name}, ${body.name}: a request that may run once is reported as failed`, async () => {
      await withRelay([spoiled, ok], 'desk', async fixture => {
        assert.is((await fixture.call('POST', '/book/1', { 'X-Wait': '800' })).status, 502)
        assert.is(fixture.arrivals.length, 1)
      })
    })

    heads(`${name}, ${body.name}: a request that may be repeated is answered by another target`, async () => {
      await withRelay([spoiled, ok], 'desk', async fixture => {
        assert.is((await fixture.call('GET', '/look/1', { 'X-Wait': '800' })).status, 200)
      })
    })
  }
}

heads.run()
