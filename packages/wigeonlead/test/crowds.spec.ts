/**
 * Crowds of clients outside the limits, and of clients whose target sends without end, each in front of one router process: the process
 * lives, stays within the memory and descriptors of its machine, and serves an ordinary caller while the crowd stays and after it has left.
 */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { playCrowd, repeated, unfinishedRequest, type Conduct } from '@wigeonlead/stand-ins'
import { BODY_BYTES_LIMIT, Listener, WORKSPACE_KEY, startCrowdFixture } from './crowd-fixture.js'

/** The machine of the users' small deployments. */
const MEMORY_BYTES = 350_000_000
const DESCRIPTORS = 4100

interface CrowdCase extends Conduct {
  name: string
  /** By default, the crowd comes to the listener for callers. */
  listener?: Listener
  clients: number
}

const HEAD = 'POST /services/desk/orders HTTP/1.1\r\nHost: a\r\n'
const sendRequest = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${WORKSPACE_KEY}\r\n\r\n`

const CROWDS: CrowdCase[] = [
  {
    name: 'bodies in large chunks that stop just short of the size limit',
    clients: 120,
    isReading: true,
    send: () => unfinishedRequest(HEAD, BODY_BYTES_LIMIT - 1)
  },
  {
    name: 'bodies in chunks of one byte that do not end',
    clients: 60,
    isReading: true,
    send: () => unfinishedRequest(HEAD, 50_000, 1)
  },
  {
    name: 'bodies that are announced far over the size limit',
    clients: 60,
    isReading: true,
    * send () {
      yield Buffer.from(`${HEAD}Content-Length: 1000000000\r\n\r\n`)
      yield * repeated('x', 50_000_000)
    }
  },
  {
    name: 'requests without the usual headers, sent ahead, their answers unread',
    clients: 60,
    isReading: false,
    send: () => repeated('GET / HTTP/1.1\r\nHost: a\r\n\r\n', 40_000)
  },
  {
    name: 'whole sound requests, sent ahead, their answers unread',
    clients: 60,
    isReading: false,
    send: () => repeated(sendRequest('/services/desk/jobs/1'), 10_000)
  },
  {
    name: 'requests for long answers that are not read',
    clients: 120,
    isReading: false,
    send: () => repeated(sendRequest('/services/desk/jobs/long'), 2)
  },
  {
    name: 'connections without a request',
    clients: 4400,
    isReading: true,
    send: () => []
  },
  {
    name: 'requests whose target sends without end',
    clients: 400,
    isReading: true,
    send: () => [Buffer.from(sendRequest('/services/desk/jobs/endless'))]
  },
  {
    name: 'heads that do not end',
    clients: 4400,
    isReading: true,
    send: () => [Buffer.from(HEAD)]
  },
  {
    name: 'requests for the status, sent ahead, their answers unread',
    listener: Listener.Operators,
    clients: 60,
    isReading: false,
    send: () => repeated('GET /livez HTTP/1.1\r\nHost: a\r\n\r\n', 40_000)
  },
  {
    name: 'bodies in large chunks to the listener for operators',
    listener: Listener.Operators,
    clients: 120,
    isReading: true,
    send: () => unfinishedRequest(HEAD, BODY_BYTES_LIMIT - 1)
  },
  {
    name: 'bodies in large chunks to the listener for peers',
    listener: Listener.Peers,
    clients: 120,
    isReading: true,
    send: () => unfinishedRequest(HEAD, BODY_BYTES_LIMIT - 1)
  },
  {
    name: 'requests without a signature, sent ahead to the listener for peers, their answers unread',
    listener: Listener.Peers,
    clients: 60,
    isReading: false,
    send: () => repeated('GET / HTTP/1.1\r\nHost: a\r\n\r\n', 40_000)
  }
]

const crowds = suite('crowds')

// The variable CROWD plays the cases whose names contain it, for example one of them alone.
const PLAYED = CROWDS.filter(({ name }) => name.includes(process.env['CROWD'] ?? ''))

for (const { name, listener = Listener.Callers, clients, ...conduct } of PLAYED) {
  crowds(`${clients} clients: ${name}`, async () => {
    const { watched, addresses, isServed, close } = await startCrowdFixture()
    try {
      const outcome = await playCrowd(watched, addresses[listener], clients, conduct, isServed)
      const { end, isServedBeside, isServedAfter, peaks: { bytes, descriptors } } = outcome
      if (process.env['CROWD'] !== undefined) console.log(`${name}: ${Math.round(bytes / 1e6)} MB, ${descriptors} descriptors`)
      assert.is(end, undefined)
      assert.ok(isServedBeside, 'an ordinary caller is served beside the crowd')
      assert.ok(isServedAfter, 'an ordinary caller is served after the crowd has left')
      assert.ok(bytes <= MEMORY_BYTES, `memory: ${bytes} bytes`)
      assert.ok(descriptors <= DESCRIPTORS, `descriptors: ${descriptors}`)
    } finally {
      await close()
    }
  })
}

crowds.run()
