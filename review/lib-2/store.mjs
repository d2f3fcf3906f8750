/**
 * A small stand-in of the platform's metadata store, after PROTOCOL.md: items, leases, transactions, watches.
 */
import { createServer } from 'node:http'

const LEASE_CHECK_MS = 100
const HISTORY_MS = 20_000

/** Opens a store on a loopback address. */
export async function openStore (host = '127.0.0.1') {
  const items = new Map()
  const leases = new Map()
  const waiting = new Set()
  const history = []
  let historyStart = 0
  let revision = 10
  let nextLease = 100

  function append (change) {
    history.push({ at: performance.now(), change })
    while (history.length > 0 && performance.now() - history[0].at > HISTORY_MS) historyStart = history.shift().change.Revision
    for (const wake of [...waiting]) wake()
  }

  function put (key, value, lease = 0) {
    revision += 1
    const item = { Key: key, Value: value, Revision: revision, Created: items.get(key)?.Created ?? revision, Lease: lease }
    items.set(key, item)
    append(item)
    return revision
  }

  function remove (key) {
    if (!items.delete(key)) return
    revision += 1
    append({ Key: key, Revision: revision, Removed: true })
  }

  function endLease (id) {
    leases.delete(id)
    for (const item of [...items.values()]) if (item.Lease === id) remove(item.Key)
  }

  const timer = setInterval(() => {
    for (const [id, { until }] of [...leases]) if (until < performance.now()) endLease(id)
  }, LEASE_CHECK_MS)

  async function watch (query) {
    const after = Number(query.get('After'))
    const prefix = query.get('Prefix') ?? ''
    const find = () => history.filter(({ change }) => change.Revision > after && change.Key.startsWith(prefix)).map(({ change }) => change)
    if (after < historyStart || after > revision) return [410, {}]
    if (find().length === 0) {
      await new Promise(resolve => {
        const end = setTimeout(wake, Number(query.get('WaitMs')))
        function wake () {
          if (find().length === 0 && performance.now() < endsAt) return
          clearTimeout(end)
          waiting.delete(wake)
          resolve()
        }
        const endsAt = performance.now() + Number(query.get('WaitMs')) - 1
        waiting.add(wake)
      })
    }
    return [200, { events: find(), AsOf: revision }]
  }

  function transact ({ Expected = [], Puts = [], Deletes = [] }) {
    const isExpected = Expected.every(({ Key, Revision }) => (items.get(Key)?.Revision ?? 0) === Revision)
    if (!isExpected) return [412, { Items: Expected.flatMap(({ Key }) => items.get(Key) ?? []) }]
    if (Puts.some(({ Lease }) => Lease !== 0 && Lease !== undefined && !leases.has(Lease))) return [404, {}]
    for (const { Key, Value, Lease } of Puts) put(Key, Value, Lease ?? 0)
    for (const key of Deletes) remove(key)
    return [200, { Revision: revision }]
  }

  function list (query) {
    const found = [...items.values()].filter(({ Key }) => Key.startsWith(query.get('Prefix') ?? '') && Key > (query.get('After') ?? ''))
    return [200, { Items: found.sort((a, b) => a.Key < b.Key ? -1 : 1), MorePages: false, AsOf: revision }]
  }

  async function answer (method, url, body) {
    const [, , call, id] = url.pathname.split('/')
    if (call === 'kv-watch') return await watch(url.searchParams)
    if (call === 'kv-range') return list(url.searchParams)
    if (call === 'kv-txn') return transact(body)
    if (call === 'kv-key') {
      const item = items.get(url.searchParams.get('Key'))
      return item === undefined ? [404, {}] : [200, { ...item, AsOf: revision }]
    }
    if (call === 'kv-lease') {
      leases.set(nextLease, { until: performance.now() + body.TtlMs, ms: body.TtlMs })
      return [200, { Lease: nextLease++, TtlMs: body.TtlMs }]
    }
    const lease = leases.get(Number(id))
    if (lease === undefined) return [404, {}]
    if (method === 'DELETE') endLease(Number(id))
    else lease.until = performance.now() + lease.ms
    return [200, { TtlMs: lease.ms }]
  }

  const server = createServer((incoming, response) => {
    const chunks = []
    incoming.on('data', chunk => chunks.push(chunk))
    incoming.on('end', async () => {
      const text = Buffer.concat(chunks).toString()
      const [status, content] = await answer(incoming.method, new URL(incoming.url, 'http://store'), text === '' ? {} : JSON.parse(text))
      response.writeHead(status, { 'Content-Type': 'application/json' })
      response.end(JSON.stringify(content))
    })
  })
  server.keepAliveTimeout = 60_000
  await new Promise(resolve => server.listen(0, host, resolve))

  return {
    address: `${host}:${server.address().port}`,
    /** Writes a JSON value, as the operator and the replicas do. */
    write: (key, value) => put(key, Buffer.from(JSON.stringify(value)).toString('base64')),
    /** Writes raw bytes. */
    writeBytes: (key, bytes) => put(key, Buffer.from(bytes).toString('base64')),
    remove,
    keys: () => [...items.keys()],
    close () {
      clearInterval(timer)
      server.close()
      server.closeAllConnections()
    }
  }
}
