/**
 * Stand-ins of replicas: a plain service, and model servers that take layers by order and answer in events. They run what they are sent,
 * at once, and write down each run.
 */
import { createServer } from 'node:http'

export const LAYERS = 8
export const LAYER_MB = 1000
/** A card holds the whole model. */
export const CARD = { Name: 'a100', Mb: 72_000, pace: 1, ReadX: 1 }
export const SLOTS = { model: 134, desk: 6 }
const HEARTBEAT_MILLISECONDS = 1200
const LOAD_MILLISECONDS = 300
const WORK_MILLISECONDS = 15
const EVENT_MILLISECONDS = 20
/** Time after which an idle connection is closed; the answers state it. */
const IDLE_MILLISECONDS = 15_000

let nextServer = 1

/**
 * Starts a server and registers it.
 * @param options.trouble called with each request that would run now; what it returns true for, it answers itself.
 * @param options.backlog length of the queue of new connections.
 * @param options.onRun called with each request that the server begins to run.
 */
export async function openServer ({
  store, service, kind, zone, onRun = () => {}, trouble = () => false, backlog = 511, id = newServerId()
}) {
  const born = Date.now()
  let layers
  let accepted = 0
  let busyUntil = 0
  let sequence = 0

  const server = createServer({ keepAliveTimeout: IDLE_MILLISECONDS }, (incoming, response) => {
    let body = ''
    // Only orders are read; the rest of what clients send may be large.
    incoming.on('data', bytes => { if (incoming.url === '/api/order') body += bytes })
    incoming.on('end', () => serve(incoming, response, body))
    incoming.on('error', () => {})
    response.on('error', () => {})
  })
  await new Promise(resolve => { server.listen({ port: 0, host: '127.0.0.1', backlog }, resolve) })
  const address = `127.0.0.1:${server.address().port}`

  function publish () {
    sequence += 1
    store.put(`servers/${id}`, {
      Service: service,
      Address: address,
      Zone: zone,
      Version: 'v1',
      Slots: SLOTS[kind],
      State: 'ready',
      ColdRemainingMs: 0,
      Sequence: accepted,
      Beat: sequence,
      born,
      ...(kind === 'model' ? { Kind: CARD.Name, Stage: 'both', Models: [{ Name: 'm', Version: 1, Adapters: [] }], Layers: layers } : {})
    })
  }

  function serve (incoming, response, body) {
    const requestId = incoming.headers['x-request-id']
    const answer = (status, headers, content = '') => {
      response.writeHead(status, { ...(requestId === undefined ? {} : { 'X-Request-Id': requestId }), ...headers })
      response.end(content)
    }
    if ((incoming.headers['x-expect-replica'] ?? id) !== id) return answer(421, { 'X-Replica-Id': id })
    if (incoming.url === '/health') return answer(200, { 'X-Replica-Id': id })
    if (incoming.url === '/api/report') return answer(200, { 'Content-Type': 'application/json' }, JSON.stringify(report()))
    if (incoming.url === '/api/order') return order(answer, JSON.parse(body))
    if (requestId === undefined) return answer(400, { 'X-Not-Executed': '1' })
    if (kind === 'model' && layers === undefined) return answer(503, { 'X-Not-Executed': '1', 'At-Server': address })
    onRun({ id: requestId, server: id, at: performance.now(), deadline: Number(incoming.headers['x-deadline-ms']) })
    if (trouble(incoming, response, { id, requestId })) return
    const head = { 'X-Request-Id': requestId, 'X-Response-Seal': `${id}.${requestId}` }
    if (kind === 'model') return stream(incoming, response, head)
    setTimeout(() => {
      response.writeHead(200, head)
      response.end(bodyOf(requestId))
    }, WORK_MILLISECONDS)
  }

  function report () {
    return {
      Stage: 'both',
      Models: [],
      Busy: performance.now() < busyUntil,
      Sequence: accepted,
      Queued: 0,
      InFlight: 0,
      KvUsed: 0,
      KvTotal: 90_000,
      Handles: 0,
      pace: 1,
      born,
      Layers: layers,
      Stalled: []
    }
  }

  function order (answer, { Operation, From, To, Expected }) {
    if (Operation !== 'place') return answer(400, {})
    if (Expected !== undefined && Expected !== accepted) return answer(409, {})
    accepted += 1
    busyUntil = performance.now() + LOAD_MILLISECONDS
    setTimeout(() => {
      layers = { From, To, Version: 1 }
      publish()
    }, LOAD_MILLISECONDS)
    answer(202, {})
  }

  /** Sends events; their number stands at the end of the path. */
  function stream (incoming, response, head) {
    const count = Number(/(\d+)$/.exec(incoming.url)?.[1] ?? 5)
    let next = Number(incoming.headers['last-event-id'] ?? 0) + 1
    response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' })
    const timer = setInterval(() => {
      if (next <= count) response.write(`id: ${next}\ndata: ${head['X-Request-Id']} ${next}\n\n`)
      next += 1
      if (next > count) {
        clearInterval(timer)
        response.end()
      }
    }, EVENT_MILLISECONDS)
    response.on('close', () => clearInterval(timer))
  }

  publish()
  const beat = setInterval(publish, HEARTBEAT_MILLISECONDS)
  return {
    id,
    address,
    hasLayers: () => layers !== undefined,
    setTrouble (next) { trouble = next },
    close () {
      clearInterval(beat)
      server.close()
      server.closeAllConnections()
    }
  }
}

export function newServerId () {
  return `i-${(nextServer++).toString(16).padStart(8, '0')}`
}

/** @returns the body with which a plain server answers a request. */
export function bodyOf (requestId) {
  return `${requestId} `.repeat(47)
}
