/**
 * Three of five machines are killed, and their clients go to the other two. Clients send bodies as long as the operator allows. Do the
 * processes there stay below the memory of their machines, and are the requests that they passed on answered?
 */
import { Agent, request } from 'node:http'
import { readFileSync } from 'node:fs'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { runCase } from '../lib/case.js'
import { newId } from '../lib/clients.js'
import { HOST, KEY, MODEL_HEADERS, PLAIN_DEADLINE, STREAM_DEADLINE, startDeployment } from '../lib/deployment.js'
import { startAgain } from '../lib/relays.js'

/** As many as the site has. */
const CLIENTS = 107
/** MaxBodyBytes is 4,194,304. */
const BODY_BYTES = 4_000_000
/** What the clients send together, bytes a second: 0.6 of the link of one machine (1,000 Mbit/s). */
const BYTES_PER_SECOND = 75_000_000
const PIECE = Buffer.alloc(32_768, 'a')
/** Clients pause between two requests, and before they connect again, at most; each at its own time. */
const CLIENT_PAUSE = 1000
const RECONNECT_PAUSE = 2000
const START_INTERVAL = 70
/** The model reads a prompt and then writes events; the site's streams have 200 at most. */
const FIRST_EVENT_AFTER = 1500
const EVENTS = 120
const EVENT_INTERVAL = 30
/** MemoryMb of a machine: the platform kills a process that exceeds it. */
const MEMORY_KB = 350 * 1024
const MEMORY_CHECK_INTERVAL = 50
const CALM_SECONDS = 12
/** A process that is killed starts again after a short delay, and gets new connections once it has been found ready. */
const RESTART_SECONDS = 1
const READY_AFTER = 2000
const MACHINES = 5
/** Share of `herd_kill`. */
const KILLED_SHARE = 0.6
const AFTER_SECONDS = 20

function stream (incoming, response, { id, requestId }) {
  if (!incoming.url.startsWith('/draft/photo')) return false
  response.writeHead(200, { 'X-Request-Id': requestId, 'X-Response-Seal': `${id}.${requestId}`, 'Content-Type': 'text/event-stream' })
  let next = 1
  let timer
  const start = setTimeout(() => {
    timer = setInterval(() => {
      response.write(`id: ${next}\ndata: ${requestId} ${next}\n\n`)
      if (next++ < EVENTS) return
      clearInterval(timer)
      response.end()
    }, EVENT_INTERVAL)
  }, FIRST_EVENT_AFTER)
  response.on('close', () => {
    clearTimeout(start)
    clearInterval(timer)
  })
  return true
}

/** Sends a request over the client's connection. @returns what the client has seen. */
function ask (address, agent, { path, method, headers = {}, bodyBytes = 0, deadline }) {
  const seen = { id: newId(), path, status: 0, isComplete: false, error: undefined }
  return new Promise(resolve => {
    const outgoing = request(`http://${address}${path}`, {
      method,
      agent,
      headers: {
        Host: HOST,
        'X-Request-Id': seen.id,
        'X-Deadline-Ms': String(deadline),
        Authorization: `Bearer ${KEY}`,
        ...(bodyBytes > 0 ? { 'Content-Length': bodyBytes } : {}),
        ...headers
      }
    }, incoming => {
      seen.status = incoming.statusCode
      incoming.resume()
      incoming.on('error', error => { seen.error = error.code })
      incoming.on('close', () => {
        seen.isComplete = incoming.complete
        end()
      })
    })
    let left = bodyBytes
    const timer = bodyBytes === 0
      ? undefined
      : setInterval(() => {
        outgoing.write(PIECE.subarray(0, Math.min(left, PIECE.length)))
        left -= PIECE.length
        if (left > 0) return
        clearInterval(timer)
        outgoing.end()
      }, 1000 * PIECE.length / (BYTES_PER_SECOND / CLIENTS))
    const limit = setTimeout(() => outgoing.destroy(), deadline + 2000)
    function end () {
      clearInterval(timer)
      clearTimeout(limit)
      resolve(seen)
    }
    outgoing.on('error', error => {
      seen.error = error.code
      if (seen.status === 0) end()
    })
    if (bodyBytes === 0) outgoing.end()
  })
}

const recordFile = fileURLToPath(new URL('record.txt', import.meta.url))
const hasTrouble = process.env.TROUBLE !== '0'

await runCase({ recordFile, hasTrouble }, async ({ note, onEnd }) => {
  const runs = new Set()
  const deployment = await startDeployment({ relays: MACHINES, onRun: run => runs.add(run.id) })
  onEnd(deployment.end)
  const { relays } = deployment
  for (const server of deployment.modelServers) server.setTrouble(stream)
  const up = new Set(relays)
  const memory = new Map(relays.map(relay => [relay, 0]))
  const overLimit = []
  const traffic = { isOver: false }
  const unanswered = []
  const counts = new Map()

  /** The platform: a process that exceeds its memory is killed. */
  const platform = setInterval(() => {
    for (const relay of relays) {
      if (relay.ended !== undefined) continue
      const text = readFileSync(`/proc/${relay.child.pid}/status`, 'utf8')
      const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0)
      memory.set(relay, Math.max(memory.get(relay), kilobytes))
      if (kilobytes <= MEMORY_KB) continue
      note(`${relay.vm} uses ${Math.round(kilobytes / 1024)} MB: the platform kills it`)
      overLimit.push(relay)
      up.delete(relay)
      relay.child.kill('SIGKILL')
    }
  }, MEMORY_CHECK_INTERVAL)
  onEnd(async () => clearInterval(platform))

  /** A client asks for a job and sends a complaint with a photo, in turn, over one connection as long as it is open. */
  async function runClient (home) {
    let relay = home
    while (!traffic.isOver) {
      const agent = new Agent({ keepAlive: true, maxSockets: 1 })
      for (let number = 0; !traffic.isOver; number++) {
        const seen = number % 2 === 0
          ? await ask(relay.front, agent, { path: '/look/job', method: 'GET', deadline: PLAIN_DEADLINE })
          : await ask(relay.front, agent, {
            path: '/draft/photo', method: 'POST', headers: MODEL_HEADERS, bodyBytes: BODY_BYTES, deadline: STREAM_DEADLINE
          })
        const outcome = `${seen.path} ${seen.status} ${seen.isComplete ? 'complete' : seen.error ?? 'cut'}`
        counts.set(outcome, (counts.get(outcome) ?? 0) + 1)
        const isKept = number > 0
        if (!seen.isComplete && isKept) unanswered.push({ ...seen, relay, at: performance.now() })
        if (!seen.isComplete) break
        await pause(CLIENT_PAUSE * Math.random())
      }
      agent.destroy()
      // The platform sends a new connection to a machine that is up.
      const others = [...up]
      relay = others[Math.floor(Math.random() * others.length)] ?? relay
      await pause(RECONNECT_PAUSE * Math.random())
    }
  }

  note(`${CLIENTS} clients at ${relays.length} machines`)
  const clients = []
  for (let index = 0; index < CLIENTS; index++) {
    clients.push(runClient(relays[index % relays.length]))
    await pause(START_INTERVAL)
  }
  await pause(CALM_SECONDS * 1000)
  for (const relay of relays) note(`${relay.vm}: at most ${Math.round(memory.get(relay) / 1024)} MB so far`)
  if (overLimit.length > 0) throw new Error('a process exceeded its memory before the disruption')
  const lost = relays.slice(MACHINES * (1 - KILLED_SHARE))
  const left = relays.filter(relay => !lost.includes(relay))
  if (hasTrouble) {
    note(`killed: ${lost.map(({ vm }) => vm).join(', ')}`)
    for (const relay of lost) {
      up.delete(relay)
      relay.child.kill('SIGKILL')
    }
    await pause(RESTART_SECONDS * 1000)
    for (const relay of lost) startAgain(relay)
    note('they are started again; clients stay with the connections that they have')
    // New connections go to them once they have been ready again.
    setTimeout(() => { for (const relay of lost) up.add(relay) }, READY_AFTER)
  }
  await pause(AFTER_SECONDS * 1000)
  traffic.isOver = true
  for (const relay of relays) note(`${relay.vm}: at most ${Math.round(memory.get(relay) / 1024)} MB`)
  for (const [outcome, count] of [...counts].sort()) note(`${count} times ${outcome}`)
  // The rule: a machine in touch passes a request from a kept connection on and closes that connection without an answer, over three times.
  const broken = unanswered.filter(({ relay, id, status }) => left.includes(relay) && status === 0 && runs.has(id))
  for (const { id, path, error, relay } of broken) {
    note(`${relay.vm}: ${path} ${id} has run; its kept connection was closed without an answer (${error})`)
  }
  const counted = left.map(relay => broken.filter(request => request.relay === relay).length)
  const cut = unanswered.filter(({ relay, status }) => left.includes(relay) && status !== 0)
  note(`${left.map(({ vm }, index) => `${vm}: ${counted[index]}`).join(', ')} requests passed on and not answered; ${cut.length} streams cut off; ` +
    `killed for their memory: ${overLimit.filter(relay => left.includes(relay)).length} of ${left.length}`)
  return counted.some(count => count > 3)
})
