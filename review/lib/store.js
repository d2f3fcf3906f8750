/**
 * A stand-in of the platform's store, over HTTP on the loopback address: items, watches, transactions and leases, as PROTOCOL.md says.
 */
import { createServer } from 'node:http'

const LEASE_CHECK_MILLISECONDS = 50

/** Opens a store. @returns its address and its controls. */
export async function openStore () {
  const items = new Map()
  const leases = new Map()
  const waiting = new Set()
  const history = []
  let revision = 1
  let nextLease = 100

  function append (change) {
    history.push(change)
    for (const wake of [...waiting]) wake()
  }

  function put (key, value, lease = 0) {
    revision += 1
    const item = { Key: key, Value: value, Revision: revision, Created: items.get(key)?.Created ?? revision, Lease: lease }
    items.set(key, item)
    append(item)
  }

  function remove (key) {
    if (!items.delete(key)) return
    revision += 1
    append({ Key: key, Revision: revision, Removed: true })
  }

  function endLease (id) {
    leases.delete(id)
    for (const { Key, Lease } of [...items.values()]) if (String(Lease) === id) remove(Key)
  }

  const timer = setInterval(() => {
    for (const [id, { until }] of leases) if (until < performance.now()) endLease(id)
  }, LEASE_CHECK_MILLISECONDS)

  function transact ({ Expected = [], Puts = [], Deletes = [] }) {
    const isAsExpected = Expected.every(({ Key, Revision }) => (items.get(Key)?.Revision ?? 0) === Revision)
    if (!isAsExpected) return [412, { Items: Expected.map(({ Key }) => items.get(Key)).filter(item => item !== undefined) }]
    if (Puts.some(({ Lease = 0 }) => Lease !== 0 && !leases.has(String(Lease)))) return [404]
    for (const { Key, Value, Lease } of Puts) put(Key, Value, Lease)
    for (const key of Deletes) remove(key)
    return [200, { Revision: revision }]
  }

  async function watch (query) {
    const after = Number(query.get('After'))
    const prefix = query.get('Prefix')
    const found = () => history.filter(change => change.Revision > after && change.Key.startsWith(prefix))
    if (after > revision) return [410]
    if (found().length === 0) {
      await new Promise(resolve => {
        const wake = () => {
          if (found().length > 0) end()
        }
        const end = () => {
          waiting.delete(wake)
          resolve()
        }
        waiting.add(wake)
        setTimeout(end, Number(query.get('WaitMs')))
      })
    }
    return [200, { events: found(), AsOf: revision }]
  }

  const handlers = {
    'GET kv-key': query => {
      const item = items.get(query.get('Key'))
      return item === undefined ? [404] : [200, { ...item, AsOf: revision }]
    },
    'GET kv-range': query => {
      const found = [...items.values()].filter(({ Key }) => Key.startsWith(query.get('Prefix')))
      return [200, { Items: found, MorePages: false, AsOf: revision }]
    },
    'GET kv-watch': watch,
    'POST kv-txn': (_query, body) => transact(body),
    'POST kv-lease': (_query, { TtlMs }) => {
      const id = nextLease++
      leases.set(String(id), { until: performance.now() + TtlMs, milliseconds: TtlMs })
      return [200, { Lease: id, TtlMs }]
    },
    'POST kv-keep': (_query, _body, id) => {
      const lease = leases.get(id)
      if (lease === undefined) return [404]
      lease.until = performance.now() + lease.milliseconds
      return [200, { TtlMs: lease.milliseconds }]
    },
    'DELETE kv-lease-end': (_query, _body, id) => {
      endLease(id)
      return [200, {}]
    }
  }

  const server = createServer((incoming, response) => {
    let text = ''
    incoming.on('data', chunk => { text += chunk })
    incoming.on('end', async () => {
      const url = new URL(incoming.url, 'http://store')
      const [, , name, id] = url.pathname.split('/')
      const handler = handlers[`${incoming.method} ${name}`]
      const body = text === '' ? {} : JSON.parse(text)
      const [status, content = {}] = handler === undefined ? [404] : await handler(url.searchParams, body, id)
      response.writeHead(status, { 'Content-Type': 'application/json' })
      response.end(JSON.stringify(content))
    })
  })
  await new Promise(resolve => { server.listen(0, '127.0.0.1', resolve) })

  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes a value as the operator or a server does. */
    put: (key, value) => put(key, Buffer.from(JSON.stringify(value)).toString('base64')),
    remove,
    /** @returns the text of an item; undefined if there is none. */
    read: key => items.has(key) ? Buffer.from(items.get(key).Value, 'base64').toString() : undefined,
    close () {
      clearInterval(timer)
      server.close()
      server.closeAllConnections()
    }
  }
}
