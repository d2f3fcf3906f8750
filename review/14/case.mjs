/**
 * A version of the configuration adds a second model service, with its replicas, and a route to it. The replicas never get orders, and the
 * route is never served. Without the disruption, the route that is added goes to the first model service.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { ask, newId } from '../lib-3/clients.mjs'
import { GENERATION_HEADERS, KEY, cardService, engineConfiguration, routeTo } from '../lib-3/engine-configuration.mjs'
import { ZONES, startMachine, untilReady } from '../lib-3/machines.mjs'
import { runCase } from '../lib-3/record.mjs'
import { openReplica } from '../lib-3/replicas.mjs'
import { openStore } from '../lib-3/store.mjs'

const EVENTS = 10
const EVENT_INTERVAL_MILLISECONDS = 40
const DEADLINE_MILLISECONDS = 20_000
const PATIENCE_MILLISECONDS = 2000
/** After the last change of the configuration, the new replicas load their layers. */
const SETTLING_MILLISECONDS = 15_000
const JUDGED_MILLISECONDS = 15_000
const CARD = { kind: 'l40s', layers: 8, maximumLayers: 24, loadMilliseconds: 2000 }

const hasTrouble = process.env.TROUBLE !== '0'

await runCase(new URL('record.txt', import.meta.url), hasTrouble, async ({ record, atEnd }) => {
  const store = await openStore()
  atEnd(() => store.close())
  const base = engineConfiguration()
  const firstRoute = routeTo('huvo11a', '/lohu930/', { Name: 'leak-triage' })
  const laterRoute = routeTo(hasTrouble ? 'zipa22c' : 'huvo11a', '/meko771/', { Name: 'tenant-letter' })
  const first = { ...base, Version: 7, Routes: [firstRoute], Services: [cardService('huvo11a')] }
  const laterServices = hasTrouble ? [cardService('zipa22c')] : []
  const second = { ...first, Version: 9, Routes: [firstRoute, laterRoute], Services: [...first.Services, ...laterServices] }

  function runStream ({ incoming, response, id, replica }) {
    let event = 1
    response.writeHead(200, replica.answerHeaders(incoming, 'text/event-stream'))
    const timer = setInterval(() => {
      if (response.destroyed) return clearInterval(timer)
      response.write(`id: ${event}\ndata: ${id}:${event}\n\n`)
      event += 1
      if (event <= EVENTS) return
      clearInterval(timer)
      response.end()
    }, EVENT_INTERVAL_MILLISECONDS)
  }

  function onOrder ({ replica, Operation, From, To }) {
    record.add(`${replica.id()} is ordered: ${Operation} ${From}-${To}`)
  }

  async function openReplicas (service, terms) {
    const replicas = []
    for (const zone of ZONES) {
      const replica = await openReplica({ store, service, zone, ...terms })
      record.add(`${replica.id()} of ${service} starts in ${zone}`)
      replicas.push(replica)
      atEnd(() => replica.close())
    }
    return replicas
  }

  const modelTerms = { slots: 134, isEngine: true, card: CARD, onOrder, run: runStream }
  store.put('op/config', first)
  await openReplicas('huvo11a', modelTerms)
  const machines = []
  for (const zone of ZONES) {
    const machine = await startMachine(`front-${zone}-1`, zone, store.address)
    machines.push(machine)
    atEnd(() => machine.end())
  }
  await untilReady(machines)
  await pause(8000)

  const outcomes = []
  async function send (machine, path) {
    const id = newId()
    const at = record.now()
    const answer = await ask({
      machine,
      method: 'POST',
      path,
      id,
      body: 'prompt',
      key: KEY,
      headers: GENERATION_HEADERS,
      deadline: DEADLINE_MILLISECONDS,
      patience: PATIENCE_MILLISECONDS
    })
    const isServed = answer.status === 200 && answer.isComplete
    record.add(`${machine.name} answers ${id} ${path} ${answer.status}${isServed ? '' : `, ${answer.error ?? answer.text}`}`)
    outcomes.push({ at, path, isServed })
  }

  let counter = 0
  let paths = ['/lohu930/a']
  const asking = []
  const timer = setInterval(() => {
    counter += 1
    for (const path of paths) asking.push(send(machines[counter % machines.length], path))
  }, 150)
  atEnd(() => clearInterval(timer))
  await pause(3000)
  record.add(`version 9: a route is added${hasTrouble ? ', to a model service that is added too' : ''}`)
  if (hasTrouble) await openReplicas('zipa22c', modelTerms)
  store.put('op/config', second)
  await pause(SETTLING_MILLISECONDS)
  const judgedFrom = record.now()
  paths = ['/lohu930/a', '/meko771/a']
  await pause(JUDGED_MILLISECONDS)
  clearInterval(timer)
  await Promise.all(asking)

  const shareServed = prefix => {
    const judged = outcomes.filter(({ at, path }) => at >= judgedFrom && path.startsWith(prefix))
    const served = judged.filter(({ isServed }) => isServed).length
    record.add(`${prefix}: ${served} of ${judged.length} requests served in steady state`)
    return served / judged.length
  }
  return shareServed('/meko771/') < shareServed('/lohu930/') / 4
})
