/**
 * Experiment: the latency that the router adds to each streamed token, and how many concurrent streams one router can carry, compared with
 * direct calls to the same stand-in engines in the same run. The router, each engine and each group of callers run in a worker thread of
 * their own.
 */
import { Worker } from 'node:worker_threads'
import { checkManifestText, createEtcdKeyValue, digestText, publishManifest } from '@wigeonlead/protocol'
import { createSystemRandom, settingsSchema, type Settings } from 'wigeonlead'
import { startKeyValueServer, startVmListServer } from '../platform/server.js'
import { createKeyValueStore } from '../platform/store.js'
import type { Cell, Experiment, ExperimentOptions, ExperimentResult } from './experiment.js'
import { RelayRole, type RelayLoad, type RelayMeasure, type RelayTask } from './relay-task.js'

const ENGINE_COUNT = 3
const CALLER_THREADS = 3
const WORKSPACE_KEY = 'key-of-the-relay-experiment'
const TOKENS_PER_STREAM = 64
const FIRST_PORT = 7390

interface LoadCase {
  /** Number of concurrent streams. */
  streams: number
  /** Time between two tokens of a stream. Engines pass it to `setTimeout`, whose shortest delay is about 1 ms, so 0 means about 1 ms. */
  intervalMilliseconds: number
}

const LOAD_CASES: LoadCase[] = [
  { streams: 100, intervalMilliseconds: 26 },
  { streams: 300, intervalMilliseconds: 26 },
  { streams: 600, intervalMilliseconds: 26 },
  { streams: 1000, intervalMilliseconds: 100 },
  { streams: 2000, intervalMilliseconds: 200 },
  { streams: 2000, intervalMilliseconds: 100 }
]
/** The shortest possible token interval, to measure the highest token rate. */
const SATURATION_CASE: LoadCase = { streams: 60, intervalMilliseconds: 0 }
/** Load before the measurement. Only its number of streams is used; the token interval is the one of the measured case. */
const WARM_UP_CASE: LoadCase = { streams: 60, intervalMilliseconds: 5 }

/** Streams tokens through a router and directly from the engines, for several numbers of concurrent streams and token intervals. */
export const relayExperiment: Experiment = {
  summary: 'latency added to a streamed token and streams carried by one router, compared with direct calls',
  run: runRelay
}

async function runRelay ({ quick }: ExperimentOptions): Promise<ExperimentResult> {
  const rows: Cell[][] = []
  for (const loadCase of quick ? LOAD_CASES.slice(0, 2) : LOAD_CASES) {
    rows.push(await measureCase(loadCase))
  }
  rows.push(await measureCase(SATURATION_CASE))
  return {
    columns: [
      'streams', 'interval_ms', 'direct_tokens_per_s', 'routed_tokens_per_s', 'ratio', 'direct_p95_ms', 'routed_p50_ms', 'routed_p95_ms',
      'routed_p99_ms', 'added_p95_ms', 'routed_requests_per_s', 'failures', 'router_active_us_per_token'
    ],
    rows,
    notes: ['goal: added_p95_ms at most 1 with 2000 streams on one router process; interval 0 is saturation']
  }
}

async function measureCase ({ streams, intervalMilliseconds }: LoadCase): Promise<Cell[]> {
  const engines = await Promise.all(Array.from({ length: ENGINE_COUNT }, () =>
    startWorker<string>({ role: RelayRole.Engine, intervalMilliseconds })))
  const addresses = engines.map(engine => engine.firstMessage)
  const store = createKeyValueStore()
  const keyValueServer = await startKeyValueServer(store)
  const vmListServer = await startVmListServer(() => [])
  const settings = createSettings(`http://${keyValueServer.address}`, `http://${vmListServer.address}`)
  const checked = checkManifestText(renderManifest(addresses))
  if (!checked.ok) throw new Error(JSON.stringify(checked.faults))
  await publishManifest(createEtcdKeyValue({ endpoints: settings.platform.keyValue }), createSystemRandom(), checked.manifest)
  const router = await startWorker({ role: RelayRole.Router, settings })
  const load = { key: WORKSPACE_KEY, callers: Math.ceil(streams / CALLER_THREADS), tokensPerStream: TOKENS_PER_STREAM, streamsPerCaller: 2 }
  const routerAddress = settings.listen.callers
  await measureLoad({ ...load, callers: WARM_UP_CASE.streams / CALLER_THREADS, isDirect: false }, [routerAddress])
  const direct = await measureLoad({ ...load, isDirect: true }, addresses)
  const utilizationBefore = router.worker.performance.eventLoopUtilization()
  const routed = await measureLoad({ ...load, isDirect: false }, [routerAddress])
  const utilization = router.worker.performance.eventLoopUtilization(utilizationBefore)
  for (const { worker } of [...engines, router]) await worker.terminate()
  await keyValueServer.close()
  await vmListServer.close()
  return [
    streams, intervalMilliseconds, direct.tokens / direct.seconds, routed.tokens / routed.seconds,
    (routed.tokens / routed.seconds) / (direct.tokens / direct.seconds), direct.delayP95Milliseconds,
    routed.delayP50Milliseconds, routed.delayP95Milliseconds, routed.delayP99Milliseconds,
    routed.delayP95Milliseconds - direct.delayP95Milliseconds,
    routed.requests / routed.seconds, direct.failures + routed.failures, utilization.active * 1000 / routed.tokens
  ]
}

/**
 * Runs a load in each of the caller threads at the same time. Counts are summed over the threads; each percentile, and the duration, is the
 * highest among the threads.
 */
async function measureLoad (load: Omit<RelayLoad, 'address'>, addresses: string[]): Promise<RelayMeasure> {
  const threads = await Promise.all(Array.from({ length: CALLER_THREADS }, (_, index) =>
    startWorker<RelayMeasure>({ role: RelayRole.Callers, load: { ...load, address: addresses[index % addresses.length] ?? '' } })))
  const measures = threads.map(thread => thread.firstMessage)
  for (const { worker } of threads) await worker.terminate()
  const sum = (read: (measure: RelayMeasure) => number): number => measures.reduce((total, measure) => total + read(measure), 0)
  const highest = (read: (measure: RelayMeasure) => number): number => Math.max(...measures.map(read))
  return {
    delayP50Milliseconds: highest(measure => measure.delayP50Milliseconds),
    delayP95Milliseconds: highest(measure => measure.delayP95Milliseconds),
    delayP99Milliseconds: highest(measure => measure.delayP99Milliseconds),
    tokens: sum(measure => measure.tokens),
    requests: sum(measure => measure.requests),
    failures: sum(measure => measure.failures),
    seconds: highest(measure => measure.seconds)
  }
}

/** Starts a worker thread and waits for its first message, which says that it is ready, or what it measured. */
function startWorker<T> (task: RelayTask): Promise<{ worker: Worker, firstMessage: T }> {
  const worker = new Worker(new URL('./relay-worker.js', import.meta.url), { workerData: task })
  return new Promise((resolve, reject) => {
    worker.once('message', (firstMessage: T) => resolve({ worker, firstMessage }))
    worker.once('error', reject)
  })
}

function createSettings (keyValue: string, vmList: string): Settings {
  return settingsSchema.parse({
    node: { vm: 'entry-1', failureDomain: 'howrah' },
    listen: { callers: `127.0.0.1:${FIRST_PORT}`, operators: `127.0.0.1:${FIRST_PORT + 1}`, peers: `127.0.0.1:${FIRST_PORT + 2}` },
    platform: { keyValue: [keyValue], vmList },
    peers: { secrets: [{ id: 'first', value: 'a secret of this experiment' }] },
    operators: { tokenDigests: [digestText('token')] }
  })
}

function renderManifest (addresses: string[]): string {
  const targets = addresses.map((address, index) => `
[[targets]]
name = "engine-${index + 1}"
address = "${address}"
failureDomain = "howrah"
accelerator = "large"
capacity = 4000
tokensPerSecond = 200000
serves = [{ model = "relay", version = "v1", layers = [0, 8] }]`)
  return `format = 1
failureDomains = ["howrah"]

[[models]]
name = "relay"
layers = 8
versions = ["v1"]
${targets.join('\n')}

[[workspaces]]
name = "bench"
keyDigests = ["${digestText(WORKSPACE_KEY)}"]
`
}
