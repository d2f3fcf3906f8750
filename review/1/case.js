/**
 * LOST: a faulty replica spoils the head of an answer and breaks it off. The process ends by itself, and with it all requests that it had
 * passed on to sound replicas.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { noteLog, runCase } from '../lib/case.js'
import { createAgent, send } from '../lib/clients.js'
import { HOST, KEY, MODEL_HEADERS, PLAIN_DEADLINE, STREAM_DEADLINE, startDeployment } from '../lib/deployment.js'
import { bodyOf } from '../lib/servers.js'
import { startAgain } from '../lib/relays.js'

const SECONDS = 40
const MODELS = 6
/** Half of the model's replicas spoil each fiftieth of their answers: the figures of `garble` by default. */
const FAULTY_SHARE = 0.5
const SPOILED_EACH = 50
const STREAM_INTERVAL = 100
const EVENTS = 5
/** Clients of the plain service at each machine, each with one kept connection, and the work of one of their requests, milliseconds. */
const PLAIN_CLIENTS = 8
const WORK = 100
const PLAIN_PAUSE = 20
/** Delay after which the platform starts a process that has ended, milliseconds. */
const RESTART = 1000
const MOST_LOST = 3
const OWN_ENDS = 3

await runCase({ recordFile: fileURLToPath(new URL('record.txt', import.meta.url)), hasTrouble: process.env.TROUBLE !== '0' }, async ({ note, hasTrouble, onEnd }) => {
  const runs = new Map()
  const deployment = await startDeployment({ models: MODELS, onRun: ({ id, server }) => { runs.set(id, server) } })
  onEnd(deployment.end)
  const { relays, modelServers, deskServers } = deployment
  for (const server of deskServers) {
    server.setTrouble((_incoming, response, { id, requestId }) => {
      setTimeout(() => {
        response.writeHead(200, { 'X-Request-Id': requestId, 'X-Response-Seal': `${id}.${requestId}` })
        response.end(bodyOf(requestId))
      }, WORK)
      return true
    })
  }
  let spoiled = 0
  for (const server of hasTrouble ? modelServers.slice(0, MODELS * FAULTY_SHARE) : []) {
    let answers = 0
    server.setTrouble((_incoming, response, { id, requestId }) => {
      answers += 1
      if (answers % SPOILED_EACH !== 0) return false
      spoiled += 1
      note(`${id} spoils the head of its answer to ${requestId} and breaks it off`)
      response.socket.end([
        'HTTP/1.1 200 OK', `X-Request-Id: ${requestId}`, `X-Response-Seal: ${id}.${requestId}`, 'Content-Type: text/event-stream',
        'X Weight Versions: 1', 'Connection: close', '', ''
      ].join('\r\n'))
      return true
    })
  }

  const play = { isOver: false }
  const ends = new Map(relays.map(({ vm }) => [vm, 0]))
  async function watch (relay) {
    for (;;) {
      const { code, signal } = await relay.exit
      if (play.isOver) return
      ends.set(relay.vm, ends.get(relay.vm) + 1)
      note(`${relay.vm} has ended by itself: exit code ${code}, signal ${signal}`)
      await pause(RESTART)
      if (play.isOver) return
      startAgain(relay)
    }
  }

  const lost = []
  let served = 0
  async function usePlain (relay, name) {
    let agent = createAgent()
    let answersBefore = 0
    while (!play.isOver) {
      const seen = await send(relay.front, {
        host: HOST, path: `/${name}/order`, method: name === 'book' ? 'POST' : 'GET', key: KEY, deadline: PLAIN_DEADLINE, agent
      })
      if (seen.status === 200 && seen.isComplete) served += 1
      const isClosed = seen.status === 0 && seen.reason !== 'left' && seen.reason !== 'ECONNREFUSED'
      if (isClosed && answersBefore > 0 && runs.has(seen.id) && !play.isOver) {
        lost.push(seen)
        note(`request ${seen.id} ${seen.path} at ${relay.vm}: passed on to ${runs.get(seen.id)}, which is sound; the kept connection ends ` +
          `without an answer (${seen.reason}) after ${Math.round(seen.milliseconds)} ms`)
      }
      answersBefore = seen.status === 0 ? 0 : answersBefore + 1
      if (seen.status === 0) {
        agent.destroy()
        agent = createAgent()
        await pause(RESTART)
      }
      await pause(PLAIN_PAUSE)
    }
    agent.destroy()
  }

  async function useModel (relay) {
    while (!play.isOver) {
      void send(relay.front, {
        host: HOST, path: `/draft/text/${EVENTS}`, method: 'POST', key: KEY, deadline: STREAM_DEADLINE, headers: MODEL_HEADERS, patience: 2000
      }).then(seen => { if (seen.status === 200 && seen.isComplete) served += 1 })
      await pause(STREAM_INTERVAL)
    }
  }

  for (const relay of relays) {
    void watch(relay)
    void useModel(relay)
    for (let client = 0; client < PLAIN_CLIENTS; client++) void usePlain(relay, client % 2 === 0 ? 'book' : 'look')
  }
  await pause(SECONDS * 1000)
  play.isOver = true
  for (const relay of relays) noteLog(note, relay, ['ERR_INVALID_HTTP_TOKEN', 'Header name must'], 1)
  const often = [...ends].filter(([, count]) => count >= OWN_ENDS).length
  note(`${served} requests were served, ${spoiled} answers were spoiled`)
  note(`processes ended by themselves: ${[...ends].map(([vm, count]) => `${vm} ${count} times`).join(', ')}`)
  note(`${lost.length} requests from kept connections were passed on to sound replicas and lost; ${often} machines ended ${OWN_ENDS} times or more`)
  if (served === 0) throw new Error('no request was served')
  return lost.length > MOST_LOST
})
