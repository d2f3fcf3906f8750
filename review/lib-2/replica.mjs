/**
 * A small stand-in of a replica, after PROTOCOL.md. Its entry is written as it changes; beats that change nothing but `Sequence` are left
 * out, since they don't change the entry.
 */
import { createServer } from 'node:http'
import { LAYERS } from './configuration.mjs'

let nextNumber = 1

/**
 * Opens a replica and registers it.
 * @param options.run overrides how a request is run: called with the request's terms and the response, after it was counted as run.
 */
export async function openReplica ({
  service, zone, store, record, host = '127.0.0.1', workMs = 30, eventMs = 20, run, slots, number = nextNumber++, backlog
}) {
  const born = Date.now()
  const id = `i-${number}`
  const isModel = service === 'model'
  const slotCount = slots ?? (isModel ? 134 : 6)
  let layers
  let state = 'ready'
  let sequence = 0
  let isOpen = true
  const running = new Map()

  function entry () {
    return {
      Service: service,
      Address: address,
      Zone: zone,
      Version: 1,
      Slots: slotCount,
      State: state,
      ColdRemainingMs: 0,
      Sequence: sequence,
      born,
      Kind: isModel ? 'card' : undefined,
      Models: isModel ? [{ Name: 'm', Version: 1, Adapters: [] }] : [],
      Layers: layers
    }
  }

  const publish = () => { if (isOpen) store.write(`servers/${id}`, entry()) }

  function answerHead (requestId, type) {
    return { 'X-Request-Id': requestId, 'X-Response-Seal': `seal.${id}.${requestId}`, 'Content-Type': type }
  }

  function refuse (response, status, requestId, headers = {}) {
    response.writeHead(status, { 'X-Not-Executed': '1', 'X-Request-Id': requestId ?? '', 'Content-Length': 0, ...headers })
    response.end()
  }

  function sendJson (response, status, value) {
    const text = JSON.stringify(value)
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) })
    response.end(text)
  }

  function report (response) {
    sendJson(response, 200, {
      Stage: 'both',
      Models: [],
      Busy: false,
      Sequence: sequence,
      Queued: 0,
      InFlight: running.size,
      KvUsed: 0,
      KvTotal: 69_791 * LAYERS,
      Handles: 0,
      pace: 1,
      born,
      Layers: layers
    })
  }

  function order (response, body) {
    if (body.Operation !== 'place') return sendJson(response, 404, {})
    if (body.Expected !== undefined && body.Expected !== sequence) return sendJson(response, 409, {})
    if (layers?.From === body.From && layers?.To === body.To) return sendJson(response, 200, {})
    sequence += 1
    setTimeout(() => {
      layers = { From: body.From, To: body.To, Version: 1 }
      publish()
    }, 50)
    sendJson(response, 202, {})
  }

  function runPlain (terms, response) {
    setTimeout(() => {
      const text = `${id} ran ${terms.method} ${terms.path} for ${terms.requestId}`
      response.writeHead(200, { ...answerHead(terms.requestId, 'text/plain'), 'Content-Length': Buffer.byteLength(text) })
      response.end(text)
    }, workMs)
  }

  function runStream (terms, response) {
    const events = Number(/(\d+)$/.exec(terms.path)?.[1] ?? 20)
    let next = Number(terms.headers['last-event-id'] ?? 0) + 1
    response.writeHead(200, answerHead(terms.requestId, 'text/event-stream'))
    const timer = setInterval(() => {
      if (response.destroyed) return clearInterval(timer)
      if (next <= events) response.write(`id: ${next}\ndata: ${terms.requestId}:${next}\n\n`)
      next += 1
      if (next <= events) return
      clearInterval(timer)
      response.end()
    }, eventMs)
  }

  const server = createServer((incoming, response) => {
    const chunks = []
    incoming.on('data', chunk => chunks.push(chunk))
    incoming.on('end', () => {
      const requestId = incoming.headers['x-request-id']
      const expected = incoming.headers['x-expect-replica']
      if (expected !== undefined && expected !== id) return refuse(response, 421, requestId, { 'At-Server': address })
      if (incoming.url === '/api/report') return report(response)
      if (incoming.url === '/api/order') return order(response, JSON.parse(Buffer.concat(chunks).toString()))
      if (incoming.url === '/health') return refuse(response, state === 'ready' ? 200 : 503, requestId, { 'X-Replica-Id': id })
      if (requestId === undefined) return refuse(response, 400, undefined)
      if (running.size >= slotCount + 24) return refuse(response, 503, requestId)
      const terms = {
        requestId, method: incoming.method, path: incoming.url, headers: incoming.headers, body: Buffer.concat(chunks), id, address
      }
      record?.run(terms)
      running.set(response, terms)
      response.on('close', () => running.delete(response))
      if (run?.(terms, response, incoming.socket, answerHead) === true) return
      if (isModel) runStream(terms, response)
      else runPlain(terms, response)
    })
  })
  server.keepAliveTimeout = 10_000
  await new Promise(resolve => server.listen({ port: 0, host, backlog }, resolve))
  const address = `${host}:${server.address().port}`
  publish()

  return {
    id,
    address,
    service,
    running,
    layers: () => layers,
    publish,
    entry,
    setState (next) {
      state = next
      publish()
    },
    close () {
      isOpen = false
      server.close()
      server.closeAllConnections()
    }
  }
}
