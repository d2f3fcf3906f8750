/**
 * One relay over real sockets to callers and targets, with a store in memory that never changes.
 */
import { createServer, request, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { success, type KeyValueEntry, type PollableKeyValue } from '@wigeonlead/protocol'
import {
  SILENT_RELAY_LOG, checkRelaySettings, createCallerListener, createRelay, type CallerListener, type EngineClient, type Relay,
  type RelayConfiguration, type Target
} from '@wigeonlead/relay'
import { PLAIN_DIALECT } from './plain-dialect.js'
import { testConfiguration } from './test-configuration.js'
import { testTarget } from './test-engine.js'

/** What a target does with a request. */
export type Behaviour = (incoming: IncomingMessage, response: ServerResponse) => void

/** A caller's view of an answer. */
export interface CallerAnswer {
  status: number
  headers: IncomingMessage['headers']
  body: string
  isComplete: boolean
}

/** The relay and its controls. */
export interface Fixture {
  relay: Relay
  listener: CallerListener
  /** Address of the listener for callers. */
  address: string
  call: (method: string, path: string, headers?: Record<string, string>) => Promise<CallerAnswer>
  /** Headers of the requests that reached the targets, in order of arrival. */
  arrivals: Array<IncomingMessage['headers']>
}

/**
 * Creates a store whose entries keep their values.
 * @param isRenewed whether an entry is written again with each poll.
 */
function fixedStore (entries: KeyValueEntry[], isRenewed: (key: string) => boolean): PollableKeyValue {
  const pause = (milliseconds: number): Promise<void> => new Promise(resolve => { setTimeout(resolve, milliseconds).unref() })
  return {
    get: async (key: string) => success({ entry: entries.find(entry => entry.key === key), revision: 1 }),
    list: async () => success({ entries, revision: 1 }),
    poll: async (_prefix: string, after: number) => {
      await pause(100)
      const renewed = entries.filter(({ key }) => isRenewed(key))
      const changes = renewed.map(entry => ({ key: entry.key, entry: { ...entry, modRevision: after + 1 }, revision: after + 1 }))
      return success({ changes, revision: changes.length > 0 ? after + 1 : after })
    }
  } as unknown as PollableKeyValue
}

async function listen (server: Server): Promise<string> {
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

const writeReport: Behaviour = (_incoming, response) => { response.end('{"stalled":[],"slowness":1}') }

/** What differs from the usual fixture. */
export interface FixtureOptions {
  /** Calls to engines; over the network by default. */
  engines?: EngineClient
  /** The configuration; by default, that of the tests. */
  configuration?: RelayConfiguration
  /** How targets answer requests for their report; by default at once, without naming an incarnation. */
  report?: Behaviour
  /** Whether a target renews its entry in the store, by its id; by default none does. */
  isRenewed?: (id: string) => boolean
}

/** Runs a test against a relay before targets with the given behaviours. */
export async function withRelay (
  behaviours: Behaviour[], service: string, use: (fixture: Fixture) => Promise<void>, options: FixtureOptions = {}
): Promise<void> {
  const arrivals: Fixture['arrivals'] = []
  const servers = behaviours.map(behaviour => createServer((incoming, response) => {
    incoming.resume()
    incoming.on('end', () => {
      if (incoming.url === '/report') return (options.report ?? writeReport)(incoming, response)
      arrivals.push(incoming.headers)
      behaviour(incoming, response)
    })
  }))
  const targets: Target[] = []
  for (const [index, server] of servers.entries()) {
    targets.push(testTarget(`t${index}`, service === 'model' ? { from: 0, to: 80 } : undefined, {
      service, address: await listen(server), acceleratorKind: undefined
    }))
  }
  const checked = checkRelaySettings({
    node: { vm: 'vm-1', failureDomain: 'east', ip: '127.0.0.1' },
    listen: { callers: '127.0.0.1:1', readiness: '127.0.0.1:1', peers: '127.0.0.1:1', metrics: '127.0.0.1:1' },
    store: { address: '127.0.0.1:1' },
    failureDomains: ['east']
  }, 'test')
  if (!checked.ok) throw new Error(checked.faults.join())
  const entry = (key: string, value: string): KeyValueEntry => ({ key, value, modRevision: 1, createRevision: 1 })
  const relay = createRelay(checked.settings, {
    store: fixedStore(
      [entry('configuration', '1'), ...targets.map((_, index) => entry(`targets/t${index}`, String(index)))],
      key => key.startsWith('targets/') && options.isRenewed?.(key.slice('targets/'.length)) === true
    ),
    dialect: PLAIN_DIALECT,
    link: { notify: () => {}, on: () => {}, open: async () => {}, close: () => {} },
    keys: { configuration: 'configuration', targetPrefix: 'targets/' },
    decodeConfiguration: text => options.configuration ?? testConfiguration(Number(text)),
    engines: options.engines,
    decodeTarget: (_id, text) => targets[Number(text)]!,
    log: SILENT_RELAY_LOG,
    nextFloat: () => 0
  })
  const callers = createCallerListener(relay.handle, error => { throw error })
  relay.configurationState.onChange(({ configuration }) => callers.setLimits(configuration.limits))
  const address = await listen(callers.server)
  relay.startFollowingStore()
  while (!relay.isReady()) await new Promise(resolve => { setTimeout(resolve, 5) })
  const call: Fixture['call'] = (method, path, headers = {}) => new Promise((resolve, reject) => {
    const outgoing = request(`http://${address}${path}`, {
      method, agent: false, headers: { Host: 'a.example', 'X-Request': 'r-1', Authorization: 'key-1', ...headers }
    }, incoming => {
      let body = ''
      incoming.on('data', chunk => { body += String(chunk) })
      const finish = (): void => resolve({ status: incoming.statusCode!, headers: incoming.headers, body, isComplete: incoming.complete })
      incoming.on('error', () => {})
      incoming.on('close', finish)
    })
    outgoing.on('error', reject)
    outgoing.end()
  })
  try {
    await use({ relay, listener: callers, address, call, arrivals })
  } finally {
    relay.stop()
    for (const server of [callers.server, ...servers]) {
      server.closeAllConnections()
      server.close()
    }
  }
}

/** Headers of an answer to a caller's request. */
export const ANSWER_HEADERS = { 'X-Request': 'r-1', 'X-Seal': 's' }
/** Headers of an answer that is a series of events. */
export const EVENT_STREAM_HEADERS = { ...ANSWER_HEADERS, 'Content-Type': 'text/event-stream' }

/** @returns the text of consecutive events. */
export function events (from: number, to: number): string {
  return Array.from({ length: to - from + 1 }, (_, index) => `id: ${from + index}\ndata: piece ${from + index}\n\n`).join('')
}

/** Creates a behaviour that writes the events after the last one that the caller has received, up to `to`, and then calls `end`. */
export function eventsThen (to: number, end: (response: ServerResponse) => void): Behaviour {
  return (incoming, response) => {
    response.writeHead(200, EVENT_STREAM_HEADERS)
    response.write(events(Number(incoming.headers['x-last'] ?? 0) + 1, to))
    setTimeout(() => end(response), 30)
  }
}

/** Last event of each series. */
export const LAST_EVENT = 6
/** Writes what the caller lacks of the series. */
export const completeSeries = eventsThen(LAST_EVENT, response => response.end())
