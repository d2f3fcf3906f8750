/**
 * The platform stand-in: the etcd v3 JSON gateway subset and the VM list over HTTP.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { VmState, type KeyValueEntry, type VmEntry } from '@wigeonlead/protocol'
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

/** Options of the key-value server. */
export interface KeyValueServerOptions {
  port?: number
  /** Delay before each answer, milliseconds. */
  delayMilliseconds?: number
}

/** Starts the key-value stand-in. */
export function startKeyValueServer (store: KeyValueStore, options: KeyValueServerOptions = {}): Promise<RunningServer> {
  return listen((request, response) => {
    serveKeyValue(store, options, request, response).catch(() => response.destroy())
  }, options.port)
}

/** Starts the VM list stand-in; the list is read anew for each call. */
export function startVmListServer (list: () => VmEntry[], port?: number): Promise<RunningServer> {
  return listen((_request, response) => answerJson(response, 200, { vms: list() }), port)
}

/** @returns the list entry of a live VM on loopback. */
export function loopbackVm (name: string, failureDomain: string, peerPort?: number): VmEntry {
  return { name, address: '127.0.0.1', failureDomain, state: VmState.Live, peerPort }
}

async function serveKeyValue (
  store: KeyValueStore, options: KeyValueServerOptions, request: IncomingMessage, response: ServerResponse
): Promise<void> {
  const body = await readJson(request)
  if (options.delayMilliseconds !== undefined) await new Promise(resolve => setTimeout(resolve, options.delayMilliseconds))
  if (request.url === '/v3/watch') return serveWatch(store, body, response)
  const handler = HANDLERS[request.url ?? '']
  if (handler === undefined) return answerJson(response, 404, { error: 'unknown method' })
  answerJson(response, 200, handler(body, store))
}

async function serveWatch (store: KeyValueStore, body: any, response: ServerResponse): Promise<void> {
  const key = decode(body.create_request.key)
  const afterRevision = Number(body.create_request.start_revision ?? store.revision() + 1) - 1
  const closed = new AbortController()
  response.on('close', () => closed.abort())
  response.writeHead(200, { 'content-type': 'application/json' })
  response.write(JSON.stringify({ result: { header: header(store), created: true } }) + '\n')
  for await (const events of watchStore(store, key, afterRevision, closed.signal)) {
    const wire = events.map(event => event.entry === undefined
      ? { type: 'DELETE', kv: { key: encode(event.key), mod_revision: String(event.revision) } }
      : { kv: toWire(event.entry) })
    response.write(JSON.stringify({ result: { header: header(store), events: wire } }) + '\n')
  }
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
