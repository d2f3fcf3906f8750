/**
 * A stand-in for the platform's store: items, ranges, watches, transactions and leases, as the users' protocol page describes them.
 */
import { createServer } from 'node:http'

const LEASE_CHECK_MILLISECONDS = 50

/** Opens a store on a free port of the loopback address. */
export async function openStore () {
  const items = new Map()
  const leases = new Map()
  const history = []
  const waiting = new Set()
  let revision = 10
  let nextLease = 1000

  function wake () {
    for (const resolve of waiting) resolve()
    waiting.clear()
  }

  function putItem (key, value, lease = 0) {
    revision += 1
    const item = { Key: key, Value: value, Revision: revision, Created: items.get(key)?.Created ?? revision, Lease: lease }
    items.set(key, item)
    history.push(item)
    wake()
  }

  function remove (key) {
    if (!items.delete(key)) return
    revision += 1
    history.push({ Key: key, Revision: revision, Removed: true })
    wake()
  }

  function endLease (id) {
    if (!leases.delete(id)) return false
    for (const item of [...items.values()]) if (item.Lease === id) remove(item.Key)
    return true
  }

  const timer = setInterval(() => {
    for (const [id, { until }] of leases) if (until < performance.now()) endLease(id)
  }, LEASE_CHECK_MILLISECONDS)

  async function watch (query) {
    const after = Number(query.get('After'))
    const prefix = query.get('Prefix') ?? ''
    const found = () => history.filter(change => change.Revision > after && change.Key.startsWith(prefix))
    const until = performance.now() + Number(query.get('WaitMs'))
    while (found().length === 0 && performance.now() < until) {
      await new Promise(resolve => {
        waiting.add(resolve)
        setTimeout(resolve, Math.max(1, until - performance.now()))
      })
    }
    return { status: 200, body: { events: found(), AsOf: revision } }
  }

  function transact ({ Expected = [], Puts = [], Deletes = [] }) {
    const isMet = Expected.every(({ Key, Revision }) => (items.get(Key)?.Revision ?? 0) === Revision)
    if (!isMet) return { status: 412, body: { Items: Expected.flatMap(({ Key }) => items.get(Key) ?? []) } }
    if (Puts.some(({ Lease = 0 }) => Lease !== 0 && !leases.has(Lease))) return { status: 404, body: {} }
    if ([...Puts.map(({ Key }) => Key), ...Deletes].some(key => /^(?:op|servers)\//.test(key))) return { status: 403, body: {} }
    for (const { Key, Value, Lease = 0 } of Puts) putItem(Key, Value, Lease)
    for (const key of Deletes) remove(key)
    return { status: 200, body: { Revision: revision } }
  }

  async function handle (method, name, id, query, body) {
    if (method === 'GET' && name === 'kv-key') {
      const item = items.get(query.get('Key'))
      return item === undefined ? { status: 404, body: {} } : { status: 200, body: { ...item, AsOf: revision } }
    }
    if (method === 'GET' && name === 'kv-range') {
      const found = [...items.values()].filter(({ Key }) => Key.startsWith(query.get('Prefix') ?? '') && Key > (query.get('After') ?? ''))
      return { status: 200, body: { Items: found.sort((a, b) => a.Key < b.Key ? -1 : 1), MorePages: false, AsOf: revision } }
    }
    if (method === 'GET' && name === 'kv-watch') return await watch(query)
    if (method === 'POST' && name === 'kv-txn') return transact(JSON.parse(body))
    if (method === 'POST' && name === 'kv-lease') {
      const { TtlMs } = JSON.parse(body)
      leases.set(nextLease, { milliseconds: TtlMs, until: performance.now() + TtlMs })
      return { status: 200, body: { Lease: nextLease++, TtlMs } }
    }
    if (method === 'POST' && name === 'kv-keep') {
      const lease = leases.get(Number(id))
      if (lease === undefined) return { status: 404, body: {} }
      lease.until = performance.now() + lease.milliseconds
      return { status: 200, body: { TtlMs: lease.milliseconds } }
    }
    if (method === 'DELETE' && name === 'kv-lease-end') return { status: endLease(Number(id)) ? 200 : 404, body: {} }
    return { status: 404, body: {} }
  }

  const server = createServer((incoming, response) => {
    let body = ''
    incoming.on('data', chunk => { body += chunk })
    incoming.on('end', async () => {
      const url = new URL(incoming.url, 'http://store')
      const [, , name, id] = url.pathname.split('/')
      const answer = await handle(incoming.method, name, id, url.searchParams, body)
      const text = JSON.stringify(answer.body)
      response.writeHead(answer.status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), 'Store-Era': '1' })
      response.end(text)
    })
  })
  await new Promise(resolve => { server.listen(0, '127.0.0.1', resolve) })

  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes an item as the operator or a replica does; the value is any JSON document. */
    put: (key, document) => putItem(key, Buffer.from(JSON.stringify(document)).toString('base64')),
    remove,
    close () {
      clearInterval(timer)
      server.close()
      server.closeAllConnections()
    }
  }
}
