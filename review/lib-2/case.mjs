/**
 * What all cases share: a small deployment of the project's program with stand-ins, the record, and the exit status.
 */
import { writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createCaller } from './client.mjs'
import { makeConfiguration } from './configuration.mjs'
import { pause, startRelay, waitFor } from './fleet.mjs'
import { openReplica } from './replica.mjs'
import { openStore } from './store.mjs'

export const HAS_TROUBLE = process.env.TROUBLE !== '0'
const ZONES = ['howrah', 'salt-lake', 'dum-dum']
const EXIT_HELD = 0
const EXIT_BROKEN = 1
const EXIT_NOT_RUN = 2
/** A script may take 120 s. */
const TIME_LIMIT_MS = 112_000
const START_LIMIT_MS = 25_000

/**
 * Starts a small deployment.
 * @param options.run how the replica with the given index runs a request; see `openReplica`.
 * @param options.openModel opens a replica of the model in another way.
 */
export async function startDeployment (
  note, { relays = 3, desks = 3, models = 6, run, config, version = 7, deskOptions, modelOptions, proxyStore, openModel } = {}
) {
  const store = await openStore()
  store.write('op/config', makeConfiguration(version, config))
  const storeProxy = await proxyStore?.(store.address)
  const runs = new Map()
  const record = {
    run ({ requestId, id, method, path, headers, body }) {
      const known = runs.get(requestId) ?? []
      runs.set(requestId, [...known, { replica: id, at: performance.now(), method, path, headers, body }])
    }
  }
  const open = (service, index, options) => openReplica({
    service, zone: ZONES[index % ZONES.length], store, record, run: run?.bind(undefined, index), ...options
  })
  const replicas = []
  for (let index = 0; index < models; index++) {
    const zone = ZONES[index % ZONES.length]
    replicas.push(openModel === undefined ? await open('model', index, modelOptions) : await openModel({ index, zone, store, record }))
  }
  for (let index = 0; index < desks; index++) replicas.push(await open('desk', index, deskOptions))
  const machines = []
  for (let index = 0; index < relays; index++) {
    machines.push(await startRelay({
      name: `front-${index + 1}`, zone: ZONES[index % ZONES.length], zones: ZONES, storeAddress: (storeProxy ?? store).address
    }))
  }
  const callers = machines.map(machine => createCaller(machine.address))
  const deployment = {
    store,
    storeProxy,
    replicas,
    machines,
    callers,
    runs,
    zones: ZONES,
    async end () {
      for (const caller of callers) caller.close()
      for (const machine of machines) await machine.end()
      for (const replica of replicas) replica.close()
      storeProxy?.close()
      store.close()
    }
  }
  const isReady = await waitFor(async () => (await Promise.all(machines.map(machine => machine.isReady()))).every(Boolean), START_LIMIT_MS)
  const hasLayers = await waitFor(() => replicas.every(({ service, layers }) => service !== 'model' || layers() !== undefined), START_LIMIT_MS)
  if (!isReady || !hasLayers) {
    await deployment.end()
    throw new Error(isReady ? 'the model was not placed' : 'the machines did not become ready')
  }
  // Machines are in touch once they have run undisturbed for `ContactMs`.
  await pause(3500)
  note(`started ${relays} machines, ${models} model replicas, ${desks} desk replicas`)
  return deployment
}

/** @returns one of a machine's own metrics. */
export function readMetric (machine, name) {
  const [host, port] = machine.metrics.split(':')
  return new Promise(resolve => {
    const outgoing = request({ host, port, path: '/metrics', agent: false, timeout: 1000 }, incoming => {
      let text = ''
      incoming.on('data', chunk => { text += chunk })
      incoming.on('end', () => resolve(new RegExp(`^\\w*${name} (\\S+)`, 'm').exec(text)?.[1]))
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => resolve(undefined))
    outgoing.end()
  })
}

/**
 * Runs a case: writes its record and ends the process with the status of the verdict.
 * @param recordFile file that takes the record: `record.txt` in the folder of the case.
 * @param body called with a function that notes a line; returns whether the rule held.
 */
export async function runCase (recordFile, body) {
  const lines = []
  const startedAt = performance.now()
  const write = () => writeFileSync(recordFile, `${lines.join('\n')}\n`)
  const note = line => { lines.push(`${String(Math.round(performance.now() - startedAt)).padStart(6)} ms  ${line}`) }
  note(HAS_TROUBLE ? 'with the disruption' : 'TROUBLE=0: without the disruption')
  const guard = setTimeout(() => {
    note('not run to its end in time')
    write()
    process.exit(EXIT_NOT_RUN)
  }, TIME_LIMIT_MS)
  // The processes that were started are ended as this one exits, by a listener each.
  process.setMaxListeners(0)
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => process.exit(EXIT_NOT_RUN))
  let status = EXIT_NOT_RUN
  const started = { deployment: undefined }
  try {
    const hasHeld = await body(note, async options => {
      started.deployment = await startDeployment(note, options)
      return started.deployment
    })
    status = hasHeld ? EXIT_HELD : EXIT_BROKEN
    note(hasHeld ? 'the rule held' : 'the rule was broken')
  } catch (error) {
    note(`could not run: ${error.stack}`)
  }
  await started.deployment?.end()
  clearTimeout(guard)
  write()
  process.stdout.write(`${lines.slice(-6).join('\n')}\n`)
  process.exit(status)
}
