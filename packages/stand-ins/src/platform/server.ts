/**
 * The platform stand-in over HTTP: a subset of the etcd v3 JSON gateway, and the VM list.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { VmState, type KeyValueEntry, type VmEntry, type WatchEvent } from '@wigeonlead/protocol'
import { answerJson, listen, readJson, type RunningServer } from '../http.js'
import { watchStore } from './memory.js'
import type { KeyValueStore } from './store.js'

type Handler = (body: any, store: KeyValueStore) => unknown

const HANDLERS: Record<string, Handler> = {
  '/v3/kv/range': range,
  '/v3/kv/txn': transaction,
  '/v3/lease/grant': (body, store) => ({ ID: store.grantLease(Number(body.TTL) * 1000), TTL: String(body.TTL) }),
  '/v3/lease/keepalive': (body, store) => ({ result: { ID: body.ID, TTL: String(store.renewLease(body.ID) / 1000) } }),
  '/v3/lease/revoke': (body, store) => {
    store.revokeLease(body.ID)
    return {}
  }
}

/** Faults to inject into one call of the key-value server. */
export enum ServerFault {
  /** The connection breaks before the call takes effect. */
  LostRequest = 'lost-request',
  /** The connection breaks after the call has taken effect. */
  LostReply = 'lost-reply',
  /** The server never answers. */
  Hang = 'hang',
  /** The answer is not JSON. */
  Malformed = 'malformed',
  /** The answer is JSON with an unexpected structure. */
  Misshapen = 'misshapen',
  /** The server answers that it is unavailable. */
  Unavailable = 'unavailable',
  /** The server refuses the call. */
  Refused = 'refused',
  /** The server asks for a credential. */
  Unauthenticated = 'unauthenticated'
}

/** Faults to inject into a watch of the key-value server. */
export enum WatchFault {
  /** The stream ends after the first batch of events. */
  End = 'end',
  /** Each batch is sent twice. */
  Repeat = 'repeat',
  /** The first batch is skipped. */
  SkipFirst = 'jump',
  /** Each batch is sent only when the next one is due. */
  Lag = 'lag',
  /** The server cancels the watch, as etcd does after a compaction. */
  Cancel = 'cancel',
  /** A line that is not JSON is sent instead of the first batch. */
  Malformed = 'malformed'
}

/** Options of the key-value server. */
export interface KeyValueServerOptions {
  port?: number
  /** Delay before each answer, milliseconds. */
  delayMilliseconds?: number
  /** Returns the fault of a call, or undefined for none. */
  fault?: (path: string) => ServerFault | undefined
  watchFault?: WatchFault
}

/** Starts the key-value stand-in. */
export function startKeyValueServer (store: KeyValueStore, options: KeyValueServerOptions = {}): Promise<RunningServer> {
  return listen((request, response) => {
    serveKeyValue(store, options, request, response).catch(() => response.destroy())
  }, options.port)
}

/** Starts the VM list stand-in; `list` is called for each request. */
export function startVmListServer (list: () => VmEntry[], port?: number): Promise<RunningServer> {
  return listen((_request, response) => answerJson(response, 200, { vms: list() }), port)
}

/** Returns the VM list entry of a live VM on loopback. */
export function loopbackVm (name: string, failureDomain: string, peerPort?: number): VmEntry {
  return { name, address: '127.0.0.1', failureDomain, state: VmState.Live, peerPort }
}

async function serveKeyValue (
  store: KeyValueStore, options: KeyValueServerOptions, request: IncomingMessage, response: ServerResponse
): Promise<void> {
  const body = await readJson(request)
  if (options.delayMilliseconds !== undefined) await new Promise(resolve => setTimeout(resolve, options.delayMilliseconds))
  if (request.url === '/v3/watch') return serveWatch(store, body, response, options.watchFault)
  const handler = HANDLERS[request.url ?? '']
  if (handler === undefined) return answerJson(response, 404, { error: 'unknown method' })
  const fault = options.fault?.(request.url ?? '')
  if (fault !== undefined) return FAULT_RESPONSES[fault](response, () => handler(body, store))
  answerJson(response, 200, handler(body, store))
}

const FAULT_RESPONSES: Record<ServerFault, (response: ServerResponse, run: () => unknown) => void> = {
  [ServerFault.LostRequest]: response => { response.destroy() },
  [ServerFault.LostReply] (response, run) {
    run()
    response.destroy()
  },
  [ServerFault.Hang]: () => {},
  [ServerFault.Malformed]: response => { response.end('{"header":') },
  [ServerFault.Misshapen]: response => answerJson(response, 200, { header: 'none', kvs: 7, succeeded: 'perhaps', ID: {} }),
  [ServerFault.Unavailable]: response => answerJson(response, 503, { error: 'unavailable' }),
  [ServerFault.Refused]: response => answerJson(response, 400, { error: 'refused' }),
  [ServerFault.Unauthenticated]: response => answerJson(response, 401, { error: 'unauthenticated' })
}

type Batch = WatchEvent[]

/** Computes, for each fault, what is sent instead of a batch of events: batches, or raw lines. */
const WATCH_FAULT_OUTPUTS: Record<WatchFault, (batch: Batch, index: number, previous: Batch) => Array<Batch | string>> = {
  [WatchFault.End]: (batch, index) => index === 0 ? [batch] : [],
  [WatchFault.Repeat]: batch => [batch, batch],
  [WatchFault.SkipFirst]: (batch, index) => index === 0 ? [] : [batch],
  [WatchFault.Lag]: (_batch, _index, previous) => previous.length === 0 ? [] : [previous],
  [WatchFault.Cancel]: (batch, index) => index === 0 ? ['{"result":{"canceled":true,"compact_revision":"1"}}'] : [batch],
  [WatchFault.Malformed]: (batch, index) => index === 0 ? ['{"result":'] : [batch]
}

async function serveWatch (store: KeyValueStore, body: any, response: ServerResponse, fault?: WatchFault): Promise<void> {
  const key = decode(body.create_request.key)
  const afterRevision = Number(body.create_request.start_revision ?? store.revision() + 1) - 1
  const closed = new AbortController()
  response.on('close', () => closed.abort())
  response.writeHead(200, { 'content-type': 'application/json' })
  response.write(JSON.stringify({ result: { header: header(store), created: true } }) + '\n')
  let index = 0
  let previous: Batch = []
  for await (const events of watchStore(store, key, afterRevision, closed.signal)) {
    const outputs = fault === undefined ? [events] : WATCH_FAULT_OUTPUTS[fault](events, index, previous)
    for (const output of outputs) response.write(typeof output === 'string' ? `${output}\n` : renderBatch(store, output))
    if (fault === WatchFault.End) {
      response.end()
      return
    }
    previous = events
    index += 1
  }
}

function renderBatch (store: KeyValueStore, events: Batch): string {
  const wireEvents = events.map(event => event.entry === undefined
    ? { type: 'DELETE', kv: { key: encode(event.key), mod_revision: String(event.revision) } }
    : { kv: toWire(event.entry) })
  return JSON.stringify({ result: { header: header(store), events: wireEvents } }) + '\n'
}

function range (body: any, store: KeyValueStore): unknown {
  const key = decode(body.key)
  const entry = body.range_end === undefined ? store.get(key) : undefined
  const entries = body.range_end === undefined ? (entry === undefined ? [] : [entry]) : store.list(key)
  return { header: header(store), kvs: entries.map(toWire), count: String(entries.length) }
}

function transaction (body: any, store: KeyValueStore): unknown {
  const compare = body.compare[0]
  const put = body.success[0].request_put
  const result = store.compareAndSwap({
    key: decode(compare.key),
    expectedModRevision: Number(compare.mod_revision),
    value: put === undefined ? undefined : decode(put.value),
    leaseId: put?.lease
  })
  if (result.committed) return { header: header(store), succeeded: true, responses: [{ response_put: {} }] }
  const kvs = result.current === undefined ? [] : [toWire(result.current)]
  return { header: header(store), responses: [{ response_range: { kvs } }] }
}

function header (store: KeyValueStore): unknown {
  return { revision: String(store.revision()) }
}

function toWire (entry: KeyValueEntry): unknown {
  return {
    key: encode(entry.key),
    value: encode(entry.value),
    mod_revision: String(entry.modRevision),
    create_revision: String(entry.createRevision),
    lease: entry.leaseId
  }
}

function encode (text: string): string {
  return Buffer.from(text).toString('base64')
}

function decode (text: string): string {
  return Buffer.from(text, 'base64').toString()
}
