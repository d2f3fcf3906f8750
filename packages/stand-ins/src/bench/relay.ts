/**
 * What the router adds to a streamed token, and how many streams one router process carries, against a direct call to
 * the same engine stand-in in the same run.
 */
import { Worker } from 'node:worker_threads'
import { checkManifestText, createEtcdKeyValue, digestText, publishManifest } from '@wigeonlead/protocol'
import { createSystemRandom, settingsSchema, type Settings } from 'wigeonlead'
import { startKeyValueServer, startVmListServer } from '../platform/server.js'
import { createKeyValueStore } from '../platform/store.js'
import type { Cell, Experiment, ExperimentOptions, ExperimentResult } from './experiment.js'
import { RelayRole, type RelayLoad, type RelayMeasure, type RelayTask } from './relay-task.js'

const ENGINES = 3
const CALLER_THREADS = 3
const KEY = 'key-of-the-relay-experiment'
const TOKENS = 64
const PORT = 7390

interface Case {
  streams: number
  intervalMilliseconds: number
}

const CASES: Case[] = [
  { streams: 100, intervalMilliseconds: 26 },
  { streams: 300, intervalMilliseconds: 26 },
  { streams: 600, intervalMilliseconds: 26 },
  { streams: 1000, intervalMilliseconds: 100 },
  { streams: 2000, intervalMilliseconds: 200 },
  { streams: 2000, intervalMilliseconds: 100 }
]
const SATURATION: Case = { streams: 60, intervalMilliseconds: 0 }
const WARM_UP: Case = { streams: 60, intervalMilliseconds: 5 }

/** The relay experiment. */
export const relay: Experiment = {
  summary: 'time added to a streamed token and streams carried by one router process, against a direct call',
  run
}

async function run ({ quick }: ExperimentOptions): Promise<ExperimentResult> {
  const rows: Cell[][] = []
  for (const each of quick ? CASES.slice(0, 2) : CASES) {
    rows.push(await measureCase(each))
  }
  rows.push(await measureCase(SATURATION))
  return {
    columns: [
      'streams', 'interval_ms', 'direct_tokens_per_s', 'routed_tokens_per_s', 'ratio', 'direct_p95_ms', 'routed_p50_ms', 'routed_p95_ms',
      'routed_p99_ms', 'added_p95_ms', 'routed_requests_per_s', 'failures', 'router_active_us_per_token'
    ],
    rows,
    notes: ['goal: added_p95_ms at most 1 with 2000 streams on one router process; interval 0 is saturation']
  }
}

async function measureCase ({ streams, intervalMilliseconds }: Case): Promise<Cell[]> {
  const engines = await Promise.all(Array.from({ length: ENGINES }, () =>
    startWorker<string>({ role: RelayRole.Engine, intervalMilliseconds })))
  const addresses = engines.map(engine => engine.answer)
  const store = createKeyValueStore()
  const platform = await startKeyValueServer(store)
  const vmList = await startVmListServer(() => [])
  const settings = createSettings(`http://${platform.address}`, `http://${vmList.address}`)
  const check = checkManifestText(renderManifest(addresses))
  if (!check.ok) throw new Error(JSON.stringify(check.faults))
  await publishManifest(createEtcdKeyValue({ endpoints: settings.platform.keyValue }), createSystemRandom(), check.manifest)
  const router = await startWorker({ role: RelayRole.Router, settings })
  const load = { key: KEY, streams: Math.ceil(streams / CALLER_THREADS), tokens: TOKENS, rounds: 2 }
  const routedTo = settings.listen.callers
  await measure({ ...load, streams: WARM_UP.streams / CALLER_THREADS, isDirect: false }, [routedTo])
  const direct = await measure({ ...load, isDirect: true }, addresses)
  const cpuBefore = router.worker.performance.eventLoopUtilization()
  const routed = await measure({ ...load, isDirect: false }, [routedTo])
  const busy = router.worker.performance.eventLoopUtilization(cpuBefore)
  for (const { worker } of [...engines, router]) await worker.terminate()
  await platform.close()
  await vmList.close()
  return [
    streams, intervalMilliseconds, direct.tokens / direct.seconds, routed.tokens / routed.seconds,
    (routed.tokens / routed.seconds) / (direct.tokens / direct.seconds), direct.delayP95,
    routed.delayP50, routed.delayP95, routed.delayP99, routed.delayP95 - direct.delayP95,
    routed.requests / routed.seconds, direct.failures + routed.failures, busy.active * 1000 / routed.tokens
  ]
}

async function measure (load: Omit<RelayLoad, 'address'>, addresses: string[]): Promise<RelayMeasure> {
  const threads = await Promise.all(Array.from({ length: CALLER_THREADS }, (_, index) =>
    startWorker<RelayMeasure>({ role: RelayRole.Callers, load: { ...load, address: addresses[index % addresses.length] ?? '' } })))
  const measures = threads.map(thread => thread.answer)
  for (const { worker } of threads) await worker.terminate()
  const sum = (read: (measure: RelayMeasure) => number): number => measures.reduce((total, each) => total + read(each), 0)
  const worst = (read: (measure: RelayMeasure) => number): number => Math.max(...measures.map(read))
  return {
    delayP50: worst(each => each.delayP50),
    delayP95: worst(each => each.delayP95),
    delayP99: worst(each => each.delayP99),
    tokens: sum(each => each.tokens),
    requests: sum(each => each.requests),
    failures: sum(each => each.failures),
    seconds: worst(each => each.seconds)
  }
}

function startWorker<T> (task: RelayTask): Promise<{ worker: Worker, answer: T }> {
  const worker = new Worker(new URL('./relay-worker.js', import.meta.url), { workerData: task })
  return new Promise((resolve, reject) => {
    worker.once('message', (answer: T) => resolve({ worker, answer }))
    worker.once('error', reject)
  })
}

function createSettings (keyValue: string, vmList: string): Settings {
  return settingsSchema.parse({
    node: { vm: 'entry-1', failureDomain: 'howrah' },
    listen: { callers: `127.0.0.1:${PORT}`, operators: `127.0.0.1:${PORT + 1}`, peers: `127.0.0.1:${PORT + 2}` },
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
keyDigests = ["${digestText(KEY)}"]
`
}
