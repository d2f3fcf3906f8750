/**
 * A replica of the model as a process of its own, which can crash. It starts again at its address, under the id that it had, and knows
 * nothing of before.
 */
import { fork } from 'node:child_process'
import { createServer } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { freeAddresses } from './relays.js'
import { CARD, SLOTS, newServerId } from './servers.js'

const FILE = fileURLToPath(import.meta.url)
const HEARTBEAT_MILLISECONDS = 1200
const LOAD_MILLISECONDS = 300
const EVENT_MILLISECONDS = 20
/** Time from the first event of an answer on a part that crashes replicas to the crash, milliseconds. */
const CRASH_MILLISECONDS = 5

/**
 * Starts a replica and registers it.
 * @param options.isFramed whether its answers are sent in chunks; if not, they end with their connections.
 * @param options.badPart part of a prompt that crashes the replica once it has written the first event of an answer on it.
 * @param options.backMilliseconds time after which it is back when it has crashed by itself.
 * @param options.onCrash called when it has crashed by itself.
 */
export async function openModel ({ store, zone, onRun, isFramed = true, badPart, backMilliseconds = 3000, onCrash = () => {} }) {
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
    child = fork(FILE, [JSON.stringify({ id, born, address, isFramed, badPart })])
    child.on('message', ({ run, change }) => {
      if (run !== undefined) onRun(run)
      if (change === undefined || entry?.born !== born) return
      Object.assign(entry, change)
      publish()
    })
    child.on('exit', () => {
      if (isClosed || entry?.born !== born) return
      onCrash(id)
      void startAfter(backMilliseconds)
    })
    publish()
  }

  async function startAfter (milliseconds) {
    entry = undefined
    await pause(milliseconds)
    if (!isClosed) start()
  }

  start()
  const timer = setInterval(publish, HEARTBEAT_MILLISECONDS)
  return {
    id,
    address,
    /** The replica crashes, and starts again after a time. */
    async crash (milliseconds) {
      const ended = new Promise(resolve => { child.on('exit', resolve) })
      entry = undefined
      child.kill('SIGKILL')
      await ended
      await startAfter(milliseconds)
    },
    close () {
      isClosed = true
      clearInterval(timer)
      child.kill('SIGKILL')
    }
  }
}

/** Runs the replica in its own process. */
function runReplica ({ id, born, address, isFramed, badPart }) {
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
    const parts = (incoming.headers['x-prompt-prefix'] ?? '').split(',').map(part => part.split(':')[0])
    let next = Number(incoming.headers['last-event-id'] ?? 0) + 1
    process.send({ run: { id: requestId, server: id, from: next } })
    if (!isFramed) response.useChunkedEncodingByDefault = false
    response.writeHead(200, {
      'X-Request-Id': requestId,
      'X-Response-Seal': `${id}.${requestId}`,
      'Content-Type': 'text/event-stream',
      ...(isFramed ? {} : { Connection: 'close' })
    })
    const timer = setInterval(() => {
      if (next <= count) response.write(`id: ${next}\ndata: ${requestId} ${next}\n\n`)
      if (parts.includes(badPart)) setTimeout(() => process.kill(process.pid, 'SIGKILL'), CRASH_MILLISECONDS)
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
