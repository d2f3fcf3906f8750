/**
 * A replica asks each machine for a pause (503 with Retry-After), and then loses its way to the store for five seconds. Its entry lapses
 * and comes back, with the same id and start; the machines have forgotten the pause.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { ask } from '../lib-3/clients.mjs'
import { ZONES, startMachine, untilReady } from '../lib-3/machines.mjs'
import { runCase } from '../lib-3/record.mjs'
import { openReplica } from '../lib-3/replicas.mjs'
import { openStore } from '../lib-3/store.mjs'

const REPLICAS = 5
const RETRY_AFTER_SECONDS = 40
/** How long the replica turns requests away, milliseconds. */
const TURNING_AWAY_MILLISECONDS = 2000
const CUT_MILLISECONDS = 5000
const REQUESTS_PER_SECOND = 10
const PLAY_MILLISECONDS = 34_000
const WORK_MILLISECONDS = 15

const CONFIGURATION = {
  Version: 7,
  Routes: [{
    Name: 'job-lookup',
    Host: 'ficu95.example',
    Prefix: '/cufi504/',
    Kind: 'safe',
    TimeoutMs: 600,
    TargetLatencyMs: 100,
    Priority: 2,
    Service: 'wuno96b',
    MaxAttempts: 2,
    Anonymous: true
  }],
  Services: [{ Name: 'wuno96b', HealthPath: '/health', MaxConnections: 110, Protocol: 'h1', Tls: false }],
  Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 }
}

await runCase(new URL('record.txt', import.meta.url), async ({ record, hasTrouble, atEnd }) => {
  const store = await openStore()
  atEnd(() => store.close())
  store.put('op/config', CONFIGURATION)

  /** Which machine sent each request, by its id. */
  const senders = new Map()
  /** When the replica answered each machine 503 with Retry-After last, and what reached it from there since half a second after. */
  const pauses = new Map()
  let turnsAwayUntil = 0

  function run ({ incoming, response, body, id, replica }) {
    const machine = senders.get(id)
    if (replica === replicas[0]) {
      record.add(`${incoming.method} ${incoming.url} ${id} reaches ${replica.id()} from ${machine}`)
      const asked = pauses.get(machine)
      const now = record.now()
      if (asked !== undefined && now > asked.at + 500 && now < asked.at + RETRY_AFTER_SECONDS * 1000) asked.reached.push(id)
      if (record.now() < turnsAwayUntil) {
        record.add(`${replica.id()} answers ${id} 503 with Retry-After: ${RETRY_AFTER_SECONDS}`)
        pauses.set(machine, { at: record.now(), reached: asked?.reached ?? [] })
        return replica.turnAway(incoming, response, { 'Retry-After': String(RETRY_AFTER_SECONDS) })
      }
    }
    setTimeout(() => {
      const text = `${replica.id()} ran ${id} ${body}`
      response.writeHead(200, { ...replica.answerHeaders(incoming), 'Content-Length': Buffer.byteLength(text) })
      response.end(text)
    }, WORK_MILLISECONDS)
  }

  const replicas = []
  for (let index = 0; index < REPLICAS; index++) {
    const replica = await openReplica({ store, service: 'wuno96b', zone: ZONES[index % ZONES.length], slots: 6, run })
    replicas.push(replica)
    atEnd(() => replica.close())
  }
  const machines = []
  for (const zone of ZONES) {
    const machine = await startMachine(`front-${zone}-1`, zone, store.address)
    machines.push(machine)
    atEnd(() => machine.end())
  }
  await untilReady(machines)
  await pause(2000)

  const startedAt = record.now()
  turnsAwayUntil = startedAt + TURNING_AWAY_MILLISECONDS
  let counter = 0
  const asking = []
  const timer = setInterval(() => {
    const machine = machines[counter++ % machines.length]
    const path = `/cufi504/job-${counter}`
    asking.push((async () => {
      const id = counter.toString(16).padStart(16, '0')
      senders.set(id, machine.name)
      const answer = await ask({ machine, path, id, deadline: 600 })
      record.add(`${machine.name} answers ${id} ${answer.status}${answer.error === undefined ? '' : `, ${answer.error}`}`)
    })())
  }, 1000 / (REQUESTS_PER_SECOND * machines.length))
  atEnd(() => clearInterval(timer))

  await pause(TURNING_AWAY_MILLISECONDS + 500)
  if (hasTrouble) {
    record.add(`${replicas[0].id()} is cut from the store`)
    replicas[0].cutFromStore()
    await pause(CUT_MILLISECONDS)
    replicas[0].healCut()
    record.add(`${replicas[0].id()} reaches the store again`)
  }
  await pause(Math.max(0, startedAt + PLAY_MILLISECONDS - record.now()))
  clearInterval(timer)
  await Promise.all(asking)
  let isBroken = false
  for (const [machine, { at, reached }] of pauses) {
    record.add(`${machine}: answered 503 with Retry-After last at ${(at / 1000).toFixed(3)} s, reached by ${reached.length} requests within the pause`)
    if (reached.length > 2) isBroken = true
  }
  if (pauses.size === 0) throw new Error('the replica turned nothing away')
  return isBroken
})
