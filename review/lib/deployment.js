/**
 * A small deployment on the loopback address: the store, servers of a model and of a plain service, and processes of the program.
 */
import { readFileSync } from 'node:fs'
import { setTimeout as pause } from 'node:timers/promises'
import { askReady, send, until } from './clients.js'
import { endRelay, makeFolder, removeFolder, startRelay } from './relays.js'
import { CARD, LAYERS, LAYER_MB, SLOTS, openServer } from './servers.js'
import { openStore } from './store.js'

export const HOST = 'review.example'
export const KEY = 'n2ctnfzs989anu6wsjnb'
const ZONES = ['howrah', 'salt-lake', 'dum-dum']
/** Deadlines, timeouts and objectives of the sites of the small deployments, milliseconds. */
export const STREAM_DEADLINE = 20_000
export const PLAIN_DEADLINE = 600
/** Traffic starts this time after the machines do, milliseconds. */
const LEAD_MILLISECONDS = 12_000

function configuration (version, fields, further) {
  const route = (Name, Kind, Service, fields) => ({
    Name, Host: HOST, Prefix: `/${Name}/`, Kind, Service, Priority: 1, Anonymous: false, ...fields
  })
  return {
    Version: version,
    Routes: [
      route('draft', 'streaming', 'model', {
        TimeoutMs: STREAM_DEADLINE, TargetLatencyMs: 500, MaxAttempts: 2, Sticky: true, Resumable: true, TargetGapMs: 200, ...fields
      }),
      route('book', 'unsafe', 'desk', { TimeoutMs: PLAIN_DEADLINE, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 1 }),
      route('look', 'safe', 'desk', { TimeoutMs: PLAIN_DEADLINE, TargetLatencyMs: 100, Priority: 2, MaxAttempts: 2 }),
      ...further.map(({ Name, Kind, Service, ...rest }) => route(Name, Kind, Service, rest))
    ],
    Services: [
      {
        Name: 'model',
        HealthPath: '/health',
        MaxConnections: 1078,
        Engine: {
          Slots: SLOTS.model,
          KvCapacityTokens: 69_791,
          KvTokenBytes: 131_534,
          Stride: 3,
          Models: [{ Name: 'm', pace: 1, LoadS: 0.3, WarmupS: 0 }],
          step_ms: 1.02,
          per_seq_ms: 0.0102,
          context_per_k: 0.0137,
          read_per_s: 105_000,
          pairs_per_m: 0.309,
          chunk: 512,
          report_lag_ms: 0,
          loads_at_once: 5,
          usual: { prompt: 774, answer: 204 },
          Layers: LAYERS,
          LayerMb: LAYER_MB,
          ActivationBytes: 65_767,
          PipeMbps: 22_000,
          Kinds: [CARD]
        }
      },
      { Name: 'desk', HealthPath: '/health', MaxConnections: 110 }
    ],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
    Tenants: [{ Name: 'hule930', ApiKeys: [KEY] }]
  }
}

/**
 * Starts a deployment and waits until it serves.
 * @param options.relays number of processes; by default one in each zone.
 * @param options.draft fields of the route of the model that differ from the usual ones.
 * @param options.routes routes beside the usual ones.
 * @param options.openModel opens a server of the model; by default one of this process.
 * @param options.onRun called with each request that a server begins to run.
 * @throws an error if it does not serve in time.
 */
export async function startDeployment ({
  relays: count = 3, models = 3, desks = 3, onRun, draft = {}, routes = [], openModel
} = {}) {
  const folder = makeFolder()
  const store = await openStore()
  store.put('op/config', configuration(7, draft, routes))
  const open = (service, kind) => index => openServer({ store, service, kind, zone: ZONES[index % 3], onRun })
  const modelServers = await Promise.all(Array.from({ length: models }, (_, index) =>
    openModel === undefined ? open('model', 'model')(index) : openModel({ store, zone: ZONES[index % 3], onRun })))
  const deskServers = await Promise.all(Array.from({ length: desks }, (_, index) => open('desk', 'desk')(index)))
  const relays = []
  const startedAt = performance.now()
  for (let index = 0; index < count; index++) {
    const zone = ZONES[index % 3]
    relays.push(await startRelay({ vm: `front-${zone}-${index + 1}`, zone, zones: ZONES, folder, storeAddress: store.address }))
  }
  const end = async () => {
    await Promise.all(relays.map(endRelay))
    for (const server of [...modelServers, ...deskServers]) server.close()
    store.close()
    removeFolder(folder)
  }
  const isServing = async relay => await askReady(relay.readiness) === 200 &&
    (await send(relay.front, { host: HOST, path: '/draft/warm/2', method: 'POST', key: KEY, deadline: 1000, headers: MODEL_HEADERS })).isComplete &&
    (await send(relay.front, { host: HOST, path: '/look/warm', method: 'GET', key: KEY, deadline: 600 })).status === 200
  for (const relay of relays) {
    if (await until(() => isServing(relay), 30_000)) continue
    const log = readFileSync(relay.logFile, 'utf8').trimEnd().split('\n').slice(-5).join('\n')
    await end()
    throw new Error(`${relay.vm} does not serve; its log ends with\n${log}`)
  }
  await pause(Math.max(0, startedAt + LEAD_MILLISECONDS - performance.now()))
  return { store, folder, relays, modelServers, deskServers, end }
}

/** Headers of a request for the model. */
export const MODEL_HEADERS = { 'X-Model': 'm', 'X-Token-Counts': '760,200', 'X-Prompt-Prefix': '5c1e07a2:40,91bd3f06:720' }
