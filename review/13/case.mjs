/**
 * Streams without a length run at a replica that turns another request away with 503 and Retry-After. Their machine is stopped by SIGTERM.
 * The streams end regularly within the grace period; the machine can't ask the replica any more whether it lives, and cuts them off.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { ask, newId } from '../lib-3/clients.mjs'
import { GENERATION_HEADERS, KEY, engineConfiguration } from '../lib-3/engine-configuration.mjs'
import { GRACE_SECONDS, ZONES, startMachine, untilReady } from '../lib-3/machines.mjs'
import { runCase } from '../lib-3/record.mjs'
import { openReplica } from '../lib-3/replicas.mjs'
import { openStore } from '../lib-3/store.mjs'

const STREAMS = 8
const EVENTS = 40
const EVENT_INTERVAL_MILLISECONDS = 100
const RETRY_AFTER_SECONDS = 10
const DEADLINE_MILLISECONDS = 20_000
const TURNED_AWAY_PATH = '/lohu930/large'

const hasTrouble = process.env.TROUBLE !== '0'

await runCase(new URL('record.txt', import.meta.url), hasTrouble, async ({ record, atEnd }) => {
  const store = await openStore()
  atEnd(() => store.close())
  store.put('op/config', engineConfiguration({ Resumable: false }))
  /** When the replica had sent all of each stream, by id. */
  const ended = new Map()

  function run ({ incoming, response, id, replica }) {
    record.add(`${incoming.url} ${id} reaches ${replica.id()}`)
    if (hasTrouble && incoming.url === TURNED_AWAY_PATH) {
      record.add(`${replica.id()} has no room for ${id}: 503 with Retry-After: ${RETRY_AFTER_SECONDS}`)
      return replica.turnAway(incoming, response, { 'Retry-After': String(RETRY_AFTER_SECONDS) })
    }
    // The answer has neither a length nor chunks, and ends with its connection.
    response.useChunkedEncodingByDefault = false
    response.writeHead(200, { ...replica.answerHeaders(incoming, 'text/event-stream'), Connection: 'close' })
    let event = 1
    const timer = setInterval(() => {
      if (response.destroyed) return clearInterval(timer)
      response.write(`id: ${event}\ndata: ${id}:${event}\n\n`)
      event += 1
      if (event <= EVENTS) return
      clearInterval(timer)
      response.end()
      ended.set(id, record.now())
      record.add(`${replica.id()} ends ${id} after event ${EVENTS}`)
    }, EVENT_INTERVAL_MILLISECONDS)
  }

  for (const zone of ZONES) {
    const replica = await openReplica({ store, service: 'huvo11a', zone, slots: 134, isEngine: true, run })
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

  async function stream (machine, path) {
    const id = newId()
    const answer = await ask({ machine, method: 'POST', path, id, body: 'prompt', key: KEY, headers: GENERATION_HEADERS, deadline: DEADLINE_MILLISECONDS })
    const events = answer.text.split('\n\n').length - 1
    record.add(`${machine.name} answers ${id} ${path} ${answer.status}, ${events} events, ${answer.isComplete ? 'complete' : `cut off: ${answer.error}`}`)
    return { id, ...answer, events }
  }

  const machine = machines[0]
  const streams = Array.from({ length: STREAMS }, () => stream(machine, '/lohu930/usual'))
  await pause(500)
  const stoppedAt = record.now()
  record.add(`SIGTERM for ${machine.name}`)
  const stopped = machine.stop()
  await pause(500)
  const turnedAway = stream(machine, TURNED_AWAY_PATH)
  const answers = await Promise.all(streams)
  await turnedAway
  await stopped
  record.add(`${machine.name} has ended`)
  // The rule excuses answers at which the replica was still at work in the last sixth of the grace period.
  const bound = stoppedAt + GRACE_SECONDS * 1000 * 5 / 6
  const lost = answers.filter(({ id, isComplete }) => !isComplete && ended.has(id) && ended.get(id) < bound)
  record.add(`${lost.length} of ${STREAMS} streams that their replicas had ended were cut off by the machine`)
  return lost.length > 0
})
