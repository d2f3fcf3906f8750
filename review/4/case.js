/**
 * CONFIG (time-outs): a replica in trouble answers with blank lines without end. The process that reads them does nothing else any more:
 * requests for other replicas get no answer at the time-out of their route.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { runCase } from '../lib/case.js'
import { askReady, send } from '../lib/clients.js'
import { HOST, KEY, MODEL_HEADERS, PLAIN_DEADLINE, STREAM_DEADLINE, startDeployment } from '../lib/deployment.js'
import { bodyOf } from '../lib/servers.js'

const SECONDS = 20
/** One of eight replicas is in trouble and spoils 45 in 100 of its answers: the share and `x` of `srv_grey` in the site file. */
const MODELS = 8
const SPOILED_SHARE = 0.45
/** Blank lines that the replica writes every 20 ms to each caller that reads on. */
const BLANK_LINES = Buffer.from('\n'.repeat(16_384))
const WRITE_INTERVAL = 20
const MOST_UNREAD = 262_144
const STREAM_INTERVAL = 100
const EVENTS = 57
/** Clients leave a stream in which no event has come for two seconds. */
const STREAM_PATIENCE = 2000
/** Clients of the plain service wait longer than the time-out of its routes; the work of every fourth request takes longer than that. */
const TIMEOUT = PLAIN_DEADLINE
const PLAIN_CLIENTS = 6
const PLAIN_PATIENCE = 5000
const WORK = { usual: 15, long: 2000 }
const PLAIN_PAUSE = 100
const MOST_LATE = 500
const LEAST_UNANSWERED = 8
/** The play counts only if its own process was never as late as this, milliseconds. */
const MOST_OWN_DELAY = 200

/** Writes blank lines to a caller until it closes. */
function writeWithoutEnd (response, { id, requestId }) {
  response.writeHead(200, { 'X-Request-Id': requestId, 'X-Response-Seal': `${id}.${requestId}`, 'Content-Type': 'text/event-stream' })
  const timer = setInterval(() => { if (response.writableLength < MOST_UNREAD) response.write(BLANK_LINES) }, WRITE_INTERVAL)
  response.on('close', () => clearInterval(timer))
}

/** Watches how late the timers of this process are. */
function watchDelay () {
  const seen = { most: 0 }
  let last = performance.now()
  setInterval(() => {
    const now = performance.now()
    seen.most = Math.max(seen.most, now - last - 20)
    last = now
  }, 20).unref()
  return seen
}

await runCase({ recordFile: fileURLToPath(new URL('record.txt', import.meta.url)), hasTrouble: process.env.TROUBLE !== '0' }, async ({ note, hasTrouble, onEnd }) => {
  const deployment = await startDeployment({ models: MODELS })
  onEnd(deployment.end)
  const { relays, modelServers, deskServers } = deployment
  for (const server of deskServers) {
    server.setTrouble((incoming, response, { id, requestId }) => {
      setTimeout(() => {
        response.writeHead(200, { 'X-Request-Id': requestId, 'X-Response-Seal': `${id}.${requestId}` })
        response.end(bodyOf(requestId))
      }, incoming.url.endsWith('/long') ? WORK.long : WORK.usual)
      return true
    })
  }
  let spoiled = 0
  let answers = 0
  if (hasTrouble) {
    modelServers[0].setTrouble((_incoming, response, ids) => {
      answers += 1
      if (spoiled >= answers * SPOILED_SHARE) return false
      spoiled += 1
      note(`${ids.id} answers ${ids.requestId} with blank lines until its caller closes`)
      writeWithoutEnd(response, ids)
      return true
    })
  }
  const play = { isOver: false }
  const ends = []
  let served = 0
  async function usePlain (relay, client) {
    for (let index = client; !play.isOver; index++) {
      const work = index % 4 === 0 ? 'long' : 'usual'
      const seen = await send(relay.front, {
        host: HOST, path: `/book/${work}`, method: 'POST', key: KEY, deadline: PLAIN_PATIENCE, patience: PLAIN_PATIENCE
      })
      if (seen.status === 200) served += 1
      ends.push({ ...seen, relay, work })
      await pause(PLAIN_PAUSE)
    }
  }
  async function useModel (relay) {
    for (let index = 0; !play.isOver; index++) {
      void send(relay.front, {
        host: HOST, path: `/draft/${index}/${EVENTS}`, method: 'POST', key: KEY, deadline: STREAM_DEADLINE, headers: MODEL_HEADERS, patience: STREAM_PATIENCE
      })
      await pause(STREAM_INTERVAL)
    }
  }
  const delay = watchDelay()
  const tasks = relays.flatMap(relay => [useModel(relay), ...Array.from({ length: PLAIN_CLIENTS }, (_, client) => usePlain(relay, client))])
  for (let second = 0; second < SECONDS; second++) {
    await pause(1000)
    const statuses = await Promise.all(relays.map(({ readiness }) => askReady(readiness)))
    if (statuses.some(status => status !== 200)) note(`readiness: ${relays.map(({ vm }, index) => `${vm} ${statuses[index]}`).join(', ')}`)
  }
  play.isOver = true
  await Promise.all(tasks)
  let isBroken = false
  for (const relay of relays) {
    const own = ends.filter(end => end.relay === relay)
    const unanswered = own.filter(({ milliseconds }) => milliseconds > TIMEOUT)
    const late = unanswered.filter(({ milliseconds }) => milliseconds > TIMEOUT + MOST_LATE)
    for (const { id, work, status, reason, milliseconds } of late.slice(0, 8)) {
      note(`request ${id} (${work} work) at ${relay.vm}: status ${status}, ${reason} after ${Math.round(milliseconds)} ms; time-out ${TIMEOUT} ms`)
    }
    note(`${relay.vm}: of ${own.length} plain requests ${unanswered.length} were unanswered at the time-out, ${late.length} half a second later; ` +
      `the longest took ${Math.round(Math.max(...own.map(({ milliseconds }) => milliseconds)))} ms`)
    if (unanswered.length >= LEAST_UNANSWERED && late.length > unanswered.length / 2) isBroken = true
  }
  note(`${spoiled} of ${answers} answers were spoiled, ${served} plain requests were served; this process was ${Math.round(delay.most)} ms late at most`)
  if (delay.most > MOST_OWN_DELAY) throw new Error('this process was too late to judge')
  return isBroken
})
