import type { ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import {
  EngineEventKind, EngineOrderKind, EngineRole, FailureKind, FinishReason,
  type EngineEvent, type EngineWireEvent, type Failure, type GenerationRequest, type Outcome, type TargetAddress
} from '@wigeonlead/protocol'
import { listen, readJson, type RunningServer } from '@wigeonlead/stand-ins'
import { createHttpEngines } from '../../src/connection/index.js'

const ATTEMPT = 'attempt-1'
const STAGES = [{ target: 'first', address: '127.0.0.1:1', layers: { from: 0, to: 8 } }]
const GENERATION: GenerationRequest = {
  model: 'm', version: 'v1', session: 's', epoch: 0, attempt: ATTEMPT, stages: STAGES, prompt: 'p', prefix: [], maximumTokens: 4, priority: 1
}
const MAXIMUM_LINE_CHARACTERS = 1_048_576
const REPETITIONS = 10

function token (index: number, changes: object = {}): string {
  const receipt = { session: 's', epoch: 0, index, stages: [{ target: 'first', layers: { from: 0, to: 8 } }] }
  return JSON.stringify({ kind: EngineEventKind.Token, attempt: ATTEMPT, token: { index, text: `t${index}` }, receipt, ...changes })
}

function finish (tokens: number): string {
  const event: EngineWireEvent = { kind: EngineEventKind.Finish, attempt: ATTEMPT, reason: FinishReason.Stop, tokens }
  return JSON.stringify(event)
}

function fail (changes: object): string {
  return JSON.stringify({ kind: EngineEventKind.Failure, attempt: ATTEMPT, detail: 'no', ...changes })
}

interface GenerationCase {
  name: string
  status?: number
  /** Written one after the other, each as a separate chunk. */
  chunks: string[]
  /** Breaks the connection after the chunks. */
  isBroken?: boolean
  /** What the port yields: token indices, `finish`, or a failure's kind and peer. */
  events: Array<number | string>
}

const GENERATIONS: GenerationCase[] = [
  { name: 'a complete answer', chunks: [`${token(0)}\n`, `${token(1)}\n`, `${finish(2)}\n`], events: [0, 1, 'finish'] },
  { name: 'several lines in one chunk', chunks: [`${token(0)}\n${token(1)}\n${finish(2)}\n`], events: [0, 1, 'finish'] },
  { name: 'lines split over two chunks', chunks: [token(0).slice(0, 30), `${token(0).slice(30)}\n${finish(1).slice(0, 9)}`, `${finish(1).slice(9)}\n`], events: [0, 'finish'] },
  { name: 'a last line without a newline', chunks: [`${token(0)}\n`, finish(1)], events: [0, 'finish'] },
  { name: 'an event after the finish is ignored', chunks: [`${finish(0)}\n${token(0)}\n`], events: ['finish'] },
  { name: 'a stream that ends without a finish', chunks: [`${token(0)}\n`], events: [0, 'broken first'] },
  { name: 'a broken connection', chunks: [`${token(0)}\n`], isBroken: true, events: [0, 'broken first'] },
  { name: 'a refusal with a status', status: 503, chunks: ['full'], events: ['refused first'] },
  // Guards against a refusal, which promises that nothing has run, by a status that promises nothing.
  { name: 'a status that is none', status: 600, chunks: [`${token(0)}\n`], events: ['broken first'] },
  { name: 'a line that is not JSON', chunks: ['{\n'], events: ['malformed first'] },
  { name: 'an event of an unknown kind', chunks: ['{"kind":"other"}\n'], events: ['malformed first'] },
  { name: 'a token without a receipt', chunks: [`${token(0, { receipt: undefined })}\n`], events: ['malformed first'] },
  { name: 'a receipt without layers', chunks: [`${token(0, { receipt: { session: 's', epoch: 0, index: 0, stages: [null] } })}\n`], events: ['malformed first'] },
  { name: 'an index that is not a number', chunks: [`${token(0, { token: { index: '0', text: 't' } })}\n`], events: ['malformed first'] },
  { name: 'an event of another attempt', chunks: [`${token(0, { attempt: 'attempt-0' })}\n`], events: ['malformed first'] },
  { name: 'a failure that names the target of its stage', chunks: [`${token(0)}\n${fail({ target: 'second' })}\n`], events: [0, 'broken second'] },
  { name: 'a failure of a request that was not accepted', chunks: [`${fail({ notAccepted: true })}\n`], events: ['refused first'] },
  { name: 'a line over the limit', chunks: ['x'.repeat(MAXIMUM_LINE_CHARACTERS + 1)], events: ['broken first'] }
]

const engines = suite('engine port over HTTP')

for (const row of GENERATIONS) {
  engines(`generate: ${row.name}`, async () => {
    const server = await listen((_request, response) => { void writeChunks(response, row) })
    const events = await collect(toTarget(server.address), new AbortController().signal)
    await server.close()
    assert.equal(events, row.events)
  })
}

engines('generate: no connection', async () => {
  const server = await listen(() => {})
  await server.close()
  assert.equal(await collect(toTarget(server.address), new AbortController().signal), ['unreachable first'])
})

engines('generate: aborted by its caller', async () => {
  const aborter = new AbortController()
  const server = await listen((_request, response) => {
    response.write(`${token(0)}\n`)
    response.on('close', () => aborter.abort())
  })
  const events = createHttpEngines().generate(toTarget(server.address), GENERATION, aborter.signal)[Symbol.asyncIterator]()
  await events.next()
  aborter.abort()
  assert.equal(describe((await events.next()).value), 'aborted first')
  await server.close()
})

engines('generate: a connection is reused after a finish', async () => {
  const sockets = new Set<unknown>()
  const server = await listen((request, response) => {
    sockets.add(request.socket)
    void writeChunks(response, GENERATIONS[0]!)
  })
  const port = createHttpEngines()
  for (let repetition = 0; repetition < REPETITIONS; repetition += 1) {
    for await (const event of port.generate(toTarget(server.address), GENERATION, new AbortController().signal)) assert.ok(event)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
  await server.close()
  assert.ok(sockets.size < REPETITIONS, `${sockets.size} connections`)
})

interface CallCase {
  name: string
  call: (target: TargetAddress) => Promise<Outcome<unknown>>
  status?: number
  answer: string
  /** Kind of the failure, or `ok`. */
  outcome: string
}

const port = createHttpEngines()
const step = (target: TargetAddress): Promise<Outcome<unknown>> =>
  port.step(target, { attempt: ATTEMPT, inputs: [] }, new AbortController().signal)
const order = (target: TargetAddress): Promise<Outcome<unknown>> =>
  port.order(target, 1, { kind: EngineOrderKind.SetRole, role: EngineRole.Both }, 1000)
const CALLS: CallCase[] = [
  { name: 'step: an answer', call: step, answer: JSON.stringify({ attempt: ATTEMPT, results: [] }), outcome: 'ok' },
  { name: 'step: an answer of another attempt', call: step, answer: JSON.stringify({ attempt: 'other', results: [] }), outcome: FailureKind.Malformed },
  { name: 'step: an internal error of the engine', call: step, status: 500, answer: '', outcome: FailureKind.Broken },
  { name: 'step: a refusal', call: step, status: 429, answer: '', outcome: FailureKind.Refused },
  { name: 'order: accepted', call: order, answer: '{}', outcome: 'ok' },
  { name: 'order: a stale fencing token', call: order, status: 409, answer: '{}', outcome: FailureKind.Refused },
  { name: 'report: not a report', call: target => port.report(target, 1000), answer: '{"running":"many"}', outcome: FailureKind.Malformed },
  { name: 'report: not JSON', call: target => port.report(target, 1000), answer: 'hello', outcome: FailureKind.Malformed },
  { name: 'export: no such session', call: target => port.exportCache(target, 's', 0), status: 404, answer: '{}', outcome: FailureKind.Refused },
  { name: 'cancel', call: target => port.cancel(target, 's', 0), answer: '{}', outcome: 'ok' }
]
for (const { name, call, status = 200, answer, outcome } of CALLS) {
  engines(name, async () => {
    const server: RunningServer = await listen((request, response) => {
      void readJson(request).then(() => response.writeHead(status).end(answer))
    })
    const found = await call(toTarget(server.address))
    await server.close()
    assert.is(found.ok ? 'ok' : found.failure.kind, outcome)
    if (!found.ok) assert.is(found.failure.peer, 'first')
  })
}

engines.run()

async function writeChunks (response: ServerResponse, { status = 200, chunks, isBroken }: GenerationCase): Promise<void> {
  response.writeHead(status)
  for (const chunk of chunks) {
    response.write(chunk)
    await new Promise(resolve => setImmediate(resolve))
  }
  if (isBroken === true) response.destroy()
  else response.end()
}

async function collect (target: TargetAddress, signal: AbortSignal): Promise<Array<number | string>> {
  const events: Array<number | string> = []
  for await (const event of createHttpEngines().generate(target, GENERATION, signal)) events.push(describe(event))
  return events
}

function describe (event: EngineEvent): number | string {
  if (event.kind === EngineEventKind.Token) return event.token.index
  return event.kind === EngineEventKind.Finish ? 'finish' : describeFailure(event.failure)
}

function describeFailure ({ kind, peer }: Failure): string {
  return `${kind} ${peer}`
}

function toTarget (address: string): TargetAddress {
  return { target: 'first', address }
}
