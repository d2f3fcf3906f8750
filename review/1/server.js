/**
 * A replica of the model as a process of its own. Its answers have neither a length nor chunks and end with their connections. When it has
 * crashed, it starts again at its address, under the id that it had, and knows nothing of before.
 */
import { fork } from 'node:child_process'
import { createServer } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { freeAddresses } from '../lib/relays.js'
import { CARD, SLOTS, newServerId } from '../lib/servers.js'

const FILE = fileURLToPath(import.meta.url)
const HEARTBEAT_MILLISECONDS = 1200
const LOAD_MILLISECONDS = 300
const EVENT_MILLISECONDS = 20

/** Starts a replica and registers it. */
export async function openModel ({ store, zone, onRun }) {
  const id = newServerId()
  const [address] = await freeAddresses(1)
  let child
  let entry
  let isClosed = false

  function publish () {
    if (entry === undefined) return
    entry.Beat += 1
    store.put(`servers/${id}`, entry)
  }

  function start () {
    const born = Date.now()
    entry = {
      Service: 'model',
      Address: address,
      Zone: zone,
      Version: 'v1',
      Slots: SLOTS.model,
      State: 'ready',
      ColdRemainingMs: 0,
      Sequence: 0,
      Beat: 0,
      born,
      Kind: CARD.Name,
      Stage: 'both',
      Models: [{ Name: 'm', Version: 1, Adapters: [] }]
    }
    child = fork(FILE, [JSON.stringify({ id, born, address })])
    child.on('message', ({ run, change }) => {
      if (run !== undefined) onRun(run)
      if (change === undefined) return
      Object.assign(entry, change)
      publish()
    })
  }

  start()
  publish()
  const timer = setInterval(publish, HEARTBEAT_MILLISECONDS)
  return {
    id,
    address,
    /** The replica crashes, and starts again after a time. */
    async crash (milliseconds) {
      const dead = child
      const ended = new Promise(resolve => { dead.on('exit', resolve) })
      dead.kill('SIGKILL')
      entry = undefined
      await ended
      await pause(milliseconds)
      if (isClosed) return
      start()
      publish()
    },
    close () {
      isClosed = true
      clearInterval(timer)
      child.kill('SIGKILL')
    }
  }
}

/** Runs the replica in its own process. */
function runReplica ({ id, born, address }) {
  let layers
  let accepted = 0
  let busyUntil = 0

  function order (answer, { Operation, From, To, Expected }) {
    if (Operation !== 'place') return answer(400, {})
    if (Expected !== undefined && Expected !== accepted) return answer(409, {})
    accepted += 1
    busyUntil = performance.now() + LOAD_MILLISECONDS
    setTimeout(() => {
      layers = { From, To, Version: 1 }
      process.send({ change: { Layers: layers, Sequence: accepted } })
    }, LOAD_MILLISECONDS)
    answer(202, {})
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

  /** Sends events; their number stands at the end of the path. */
  function stream (incoming, response, requestId) {
    const count = Number(/(\d+)$/.exec(incoming.url)[1])
    let next = Number(incoming.headers['last-event-id'] ?? 0) + 1
    process.send({ run: { id: requestId, server: id, from: next } })
    response.useChunkedEncodingByDefault = false
    response.writeHead(200, {
      'X-Request-Id': requestId, 'X-Response-Seal': `${id}.${requestId}`, 'Content-Type': 'text/event-stream', Connection: 'close'
    })
    const timer = setInterval(() => {
      if (next <= count) response.write(`id: ${next}\ndata: ${requestId} ${next}\n\n`)
      next += 1
      if (next > count) {
        clearInterval(timer)
        response.end()
      }
    }, EVENT_MILLISECONDS)
    response.on('close', () => clearInterval(timer))
  }

  const server = createServer((incoming, response) => {
    let body = ''
    incoming.on('data', bytes => { body += bytes })
    response.on('error', () => {})
    incoming.on('end', () => {
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
      if (layers === undefined) return answer(503, { 'X-Not-Executed': '1', 'At-Server': address })
      stream(incoming, response, requestId)
    })
  })
  const [host, port] = address.split(':')
  server.listen(Number(port), host)
  process.on('disconnect', () => process.exit(0))
}

if (process.argv[1] === FILE && process.send !== undefined) runReplica(JSON.parse(process.argv[2]))
