/**
 * Worker thread of the relay experiment: runs an engine that sends tokens at a fixed interval, a router, or callers.
 */
import { createServer, request, Agent, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { parentPort, workerData } from 'node:worker_threads'
import { build } from 'hdr-histogram-js'
import { EngineEventKind, EngineRole, FinishReason, generationRequestSchema, type EngineReport, type GenerationRequest } from '@wigeonlead/protocol'
import { SILENT_LOGGER, serveRouter, type Settings } from 'wigeonlead'
import { RelayRole, type RelayLoad, type RelayMeasure, type RelayTask } from './relay-task.js'

const task = workerData as RelayTask
const STARTERS: { [R in RelayRole]: (task: Extract<RelayTask, { role: R }>) => Promise<unknown> } = {
  [RelayRole.Engine]: ({ intervalMilliseconds }) => startEngine(intervalMilliseconds),
  [RelayRole.Router]: ({ settings }) => startRouter(settings),
  [RelayRole.Callers]: ({ load }) => runCallers(load)
}
parentPort?.postMessage(await (STARTERS[task.role] as (task: RelayTask) => Promise<unknown>)(task))

async function startRouter (settings: Settings): Promise<void> {
  const { router } = await serveRouter(settings, SILENT_LOGGER)
  while (!router.isReady()) await new Promise(resolve => setTimeout(resolve, 10))
  parentPort?.on('message', () => {
    const { user, system } = process.cpuUsage()
    parentPort?.postMessage({ cpuSeconds: (user + system) / 1e6 })
  })
}

function startEngine (intervalMilliseconds: number): Promise<string> {
  const server = createServer({ keepAliveTimeout: 60_000, noDelay: true }, (incoming, response) => {
    if (incoming.url === '/v1/report') {
      response.end(JSON.stringify(createReport()))
      return
    }
    const chunks: Buffer[] = []
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
    incoming.on('end', () => {
      if (incoming.url === '/v1/generate') streamPacedTokens(response, Buffer.concat(chunks).toString(), intervalMilliseconds)
      else response.end('{}')
    })
  })
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', 4096, () => resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`))
  })
}

/** Streams tokens at a fixed interval. The text of each token is the time when it is written, from which callers compute its delay. */
function streamPacedTokens (response: ServerResponse, body: string, intervalMilliseconds: number): void {
  const { attempt, session, epoch, stages, maximumTokens } = generationRequestSchema.parse(JSON.parse(body))
  const executedStages = stages.map(({ target, layers }) => ({ target, layers }))
  let index = 0
  response.writeHead(200, { 'content-type': 'application/x-ndjson' })
  const writeNext = (): void => {
    if (response.destroyed) return
    if (index === maximumTokens) {
      response.end(JSON.stringify({ kind: EngineEventKind.Finish, attempt, reason: FinishReason.Length, tokens: index }) + '\n')
      return
    }
    const token = { index, text: now().toFixed(3) }
    const receipt = { session, epoch, index, stages: executedStages }
    response.write(JSON.stringify({ kind: EngineEventKind.Token, attempt, token, receipt }) + '\n')
    index += 1
    setTimeout(writeNext, intervalMilliseconds)
  }
  setTimeout(writeNext, Math.random() * intervalMilliseconds)
}

function createReport (): EngineReport {
  return {
    target: 'engine',
    incarnation: '1',
    atMilliseconds: Date.now(),
    running: 0,
    queued: 0,
    tokensPerSecond: 0,
    role: EngineRole.Both,
    held: [{ model: 'relay', version: 'v1', adapters: [], layers: { from: 0, to: 8 } }],
    cacheEvents: []
  }
}

async function runCallers (load: RelayLoad): Promise<RelayMeasure> {
  const histogram = build({ bitBucketSize: 32, numberOfSignificantValueDigits: 3 })
  const agent = new Agent({ keepAlive: true, maxSockets: Infinity })
  const counts = { tokens: 0, requests: 0, failures: 0 }
  const startedAt = now()
  await Promise.all(Array.from({ length: load.callers }, async () => {
    for (let stream = 0; stream < load.streamsPerCaller; stream += 1) {
      const tokens = await readStream(agent, load, delay => histogram.recordValue(Math.max(0, Math.round(delay * 1000))))
      counts.tokens += tokens
      if (tokens === load.tokensPerStream) counts.requests += 1
      else counts.failures += 1
    }
  }))
  const percentile = (value: number): number => histogram.getValueAtPercentile(value) / 1000
  return {
    delayP50Milliseconds: percentile(50),
    delayP95Milliseconds: percentile(95),
    delayP99Milliseconds: percentile(99),
    ...counts,
    seconds: (now() - startedAt) / 1000
  }
}

/** Reads one stream and records the delay of each token. @returns the number of tokens, or -1 after an error. */
function readStream (agent: Agent, load: RelayLoad, recordDelay: (delay: number) => void): Promise<number> {
  const body = JSON.stringify(load.isDirect ? directRequest(load) : { model: 'relay', prompt: 'a', stream: true, max_tokens: load.tokensPerStream })
  const path = load.isDirect ? '/v1/generate' : '/v1/completions'
  const headers = { authorization: `Bearer ${load.key}`, 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
  return new Promise(resolve => {
    let tokens = 0
    const outgoing = request(`http://${load.address}${path}`, { method: 'POST', agent, headers }, response => {
      response.setEncoding('utf8')
      response.on('data', (chunk: string) => {
        const readAt = now()
        for (const [, writtenAt] of chunk.matchAll(/"text":"(\d+\.\d+)"/g)) {
          recordDelay(readAt - Number(writtenAt))
          tokens += 1
        }
      })
      response.on('end', () => resolve(tokens))
      response.on('error', () => resolve(-1))
    })
    outgoing.on('error', () => resolve(-1))
    outgoing.end(body)
  })
}

function directRequest (load: RelayLoad): GenerationRequest {
  const stages = [{ target: 'engine', address: load.address, layers: { from: 0, to: 8 } }]
  return {
    model: 'relay', version: 'v1', session: 's', epoch: 0, attempt: 'a', stages, prompt: 'a', prefix: [], maximumTokens: load.tokensPerStream, priority: 1
  }
}

/** @returns the time on a clock that all threads share, milliseconds. */
function now (): number {
  return performance.timeOrigin + performance.now()
}
