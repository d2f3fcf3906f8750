/**
 * Stand-ins of replicas: they register in the store, answer reports and health checks, and hand each request to the case.
 */
import { createServer } from 'node:http'
import { freePort } from './ports.mjs'

export const HEARTBEAT_MILLISECONDS = 1200
/** The platform removes an entry after three heartbeat intervals of silence. */
export const LAPSE_MILLISECONDS = 3 * HEARTBEAT_MILLISECONDS

let nextNumber = 1

/**
 * Opens a replica.
 * @param terms `store`, `service`, `zone`, `slots`, `isEngine`, and `run`, which is called with each request of a client that the replica
 * takes: `{ incoming, response, body, id, replica }`. `card` makes it a replica that holds a part of a model's layers, and none at first:
 * `{ kind, layers, maximumLayers, loadMilliseconds }`; `onOrder` is called with each order. `stated` gives headers of all its
 * answers.
 */
export async function openReplica ({ store, service, zone, slots, isEngine = false, card, onOrder, stated = () => ({}), run }) {
  const sockets = new Set()
  let isUp = false
  let isCutFromStore = false
  let id = ''
  let born = 0
  let server
  let port = await freePort()
  let beatTimer
  let lapseTimer
  let inFlight = 0
  let sequence = 0
  let held
  let busyUntil = 0

  const replica = {
    id: () => id,
    zone,
    address: () => `127.0.0.1:${port}`,
    isUp: () => isUp,
    /** Headers of an answer to a request. */
    answerHeaders: (incoming, type = 'text/plain') => ({
      'X-Request-Id': incoming.headers['x-request-id'], 'X-Response-Seal': `${id}.${incoming.headers['x-request-id']}`, 'Content-Type': type
    }),
    /** Turns a request away, which has not run. */
    turnAway (incoming, response, headers = {}) {
      response.writeHead(503, { 'X-Request-Id': incoming.headers['x-request-id'], 'X-Not-Executed': '1', 'Content-Length': 0, ...headers })
      response.end()
    },
    /** The replica no longer reaches the store, which removes its entry after three heartbeat intervals. */
    cutFromStore () {
      isCutFromStore = true
      lapse(id)
    },
    healCut () {
      isCutFromStore = false
      clearTimeout(lapseTimer)
      beat()
    },
    /** Crashes, and comes back as a new incarnation after a time; never if that is Infinity. */
    crash (milliseconds) {
      if (!isUp) return
      isUp = false
      clearInterval(beatTimer)
      lapse(id)
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
      if (milliseconds < Infinity) setTimeout(() => { void start() }, milliseconds)
    },
    close () {
      isUp = false
      clearInterval(beatTimer)
      clearTimeout(lapseTimer)
      server.close()
      server.closeAllConnections()
    }
  }

  function lapse (lapsing) {
    lapseTimer = setTimeout(() => store.remove(`servers/${lapsing}`), LAPSE_MILLISECONDS)
  }

  function beat () {
    if (!isUp || isCutFromStore) return
    store.put(`servers/${id}`, {
      Service: service,
      Address: replica.address(),
      Zone: zone,
      Version: 'v1',
      Slots: slots,
      State: 'ready',
      ColdRemainingMs: 0,
      Sequence: sequence,
      born,
      ...(card === undefined ? {} : { Kind: card.kind, Layers: held }),
      ...(isEngine ? { Stage: 'both', Models: [{ Name: 'daka510000', Version: 1, Adapters: [] }] } : {})
    })
  }

  function answer (response, status, document, headers = {}) {
    const text = JSON.stringify(document)
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), ...headers })
    response.end(text)
  }

  function serve (incoming, response, body) {
    const expected = incoming.headers['x-expect-replica']
    if (expected !== undefined && expected !== id) return answer(response, 421, {}, { 'X-Replica-Id': id })
    for (const [name, value] of Object.entries(stated())) response.setHeader(name, value)
    if (incoming.url === '/health') return answer(response, 200, {}, { 'X-Replica-Id': id })
    if (incoming.url === '/api/report') {
      const models = isEngine ? [{ Name: 'daka510000', Version: 1, Adapters: [] }] : []
      return answer(response, 200, {
        Stage: 'both',
        Models: models,
        Busy: performance.now() < busyUntil,
        Sequence: sequence,
        Queued: 0,
        InFlight: inFlight,
        KvUsed: 0,
        KvTotal: 69791,
        Handles: 0,
        pace: 1,
        born,
        Layers: held,
        Kind: card?.kind
      })
    }
    if (incoming.url === '/api/order') return takeOrder(response, JSON.parse(body))
    const requestId = incoming.headers['x-request-id']
    if (requestId === undefined) return answer(response, 400, {}, { 'X-Not-Executed': '1' })
    if (card !== undefined && !holdsPart(incoming)) return answer(response, 421, {}, { 'At-Server': replica.address() })
    inFlight += 1
    response.on('close', () => { inFlight -= 1 })
    run({ incoming, response, body, id: requestId, replica })
  }

  /** Whether the replica holds its part of a request's path; without a path, that is all layers. */
  function holdsPart (incoming) {
    const [, from, to] = /^[^=]+=(\d+)-(\d+)/.exec(incoming.headers['x-hop-count'] ?? '') ?? [undefined, 0, card.layers]
    return held !== undefined && held.From <= Number(from) && held.To >= Number(to)
  }

  function takeOrder (response, { Operation, From, To, Expected }) {
    onOrder?.({ replica, Operation, From, To })
    if (card === undefined || Operation !== 'place') return answer(response, 400, {})
    if (performance.now() < busyUntil || (Expected !== undefined && Expected !== sequence)) return answer(response, 409, {})
    if (To - From > card.maximumLayers) throw new Error(`${id} is ordered to hold ${To - From} layers`)
    sequence += 1
    const loadMilliseconds = card.loadMilliseconds * (To - From) / card.layers
    busyUntil = performance.now() + loadMilliseconds
    const ordered = id
    setTimeout(() => {
      if (ordered !== id || !isUp) return
      held = { From, To, Version: 1 }
      beat()
    }, loadMilliseconds)
    answer(response, 202, {})
  }

  /** @returns whether the port was free. */
  function listen () {
    return new Promise(resolve => {
      server.once('error', () => resolve(false))
      server.listen(port, '127.0.0.1', () => resolve(true))
    })
  }

  async function start () {
    sequence = 0
    held = undefined
    busyUntil = 0
    id = `i-${(nextNumber++).toString(16).padStart(4, '0')}${Math.floor(Math.random() * 65536).toString(16)}`
    born = Date.now()
    server = createServer({ keepAliveTimeout: 5000 }, (incoming, response) => {
      let body = ''
      incoming.on('data', chunk => { body += chunk })
      incoming.on('end', () => serve(incoming, response, body))
    })
    server.on('connection', socket => {
      socket.setNoDelay(true)
      sockets.add(socket)
      socket.on('close', () => { sockets.delete(socket) })
      socket.on('error', () => {})
    })
    // Another process may have taken the port of a replica that was down: the new incarnation then has another address.
    while (!await listen()) port = await freePort()
    isUp = true
    beat()
    beatTimer = setInterval(beat, HEARTBEAT_MILLISECONDS)
  }

  await start()
  return replica
}
