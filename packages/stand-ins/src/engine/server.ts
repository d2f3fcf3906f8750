/**
 * The stand-in engine over HTTP, as docs/INTERFACES.md describes it.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  Step, cacheExportSchema, generationRequestSchema, orderEnvelopeSchema, callJson, stepAnswerSchema, stepRequestSchema,
  type PathStage, type StepRequest, type StepResult
} from '@wigeonlead/protocol'
import { answerJson, listen, readJson, type RunningServer } from '../http.js'
import type { Engine } from './core.js'

const FORWARD_DEADLINE_MILLISECONDS = 60_000

type Handler = (engine: Engine, body: any, response: ServerResponse, path: URL) => Promise<void> | void

const HANDLERS: Record<string, Handler> = {
  'POST /v1/generate': generate,
  'POST /v1/step': step,
  'POST /v1/cancel': (engine, body, response) => {
    engine.cancel(body.session, body.epoch)
    answerJson(response, 200, {})
  },
  'GET /v1/report': (engine, _body, response) => answerJson(response, 200, engine.report()),
  'POST /v1/orders': order,
  'POST /v1/cache/export': (engine, body, response) => {
    const cache = engine.exportCache(body.session, body.epoch)
    if (cache === undefined) answerJson(response, 404, { detail: 'no cache of this session' })
    else answerJson(response, 200, cache)
  },
  'POST /v1/cache/import': (engine, body, response) => {
    engine.importCache(cacheExportSchema.parse(body.cache), body.epoch)
    answerJson(response, 200, {})
  }
}

/** Serves an engine on loopback. */
export function startEngineServer (engine: Engine, port?: number): Promise<RunningServer> {
  return listen((request, response) => {
    serve(engine, request, response).catch(() => response.destroy())
  }, port)
}

async function serve (engine: Engine, request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (engine.faults.isDead) {
    response.destroy()
    return
  }
  const url = new URL(request.url ?? '/', 'http://engine')
  const handler = HANDLERS[`${request.method} ${url.pathname}`]
  const body = await readJson(request)
  if (handler === undefined) answerJson(response, 404, { detail: 'unknown method' })
  else await handler(engine, body, response, url)
}

async function generate (engine: Engine, body: unknown, response: ServerResponse): Promise<void> {
  const request = generationRequestSchema.parse(body)
  const closed = new AbortController()
  response.on('close', () => closed.abort())
  response.writeHead(200, { 'content-type': 'application/x-ndjson' })
  for await (const event of engine.generate(request, forwardStep, closed.signal)) {
    if (engine.faults.isDead) {
      response.destroy()
      return
    }
    response.write(JSON.stringify(event) + '\n')
  }
  response.end()
}

async function step (engine: Engine, body: unknown, response: ServerResponse): Promise<void> {
  const request = stepRequestSchema.parse(body)
  const results = await engine.step(request)
  answerJson(response, 200, { attempt: request.attempt, results })
}

function order (engine: Engine, body: unknown, response: ServerResponse): void {
  const envelope = orderEnvelopeSchema.parse(body)
  const refused = engine.order(envelope.fencingToken, envelope.order)
  if (refused === undefined) answerJson(response, 200, {})
  else answerJson(response, 409, { detail: refused })
}

async function forwardStep (stage: PathStage, request: StepRequest): Promise<StepResult[]> {
  const outcome = await callJson(`http://${stage.address}/v1/step`, request, stepAnswerSchema, Step.Engine, FORWARD_DEADLINE_MILLISECONDS)
  if (!outcome.ok) throw new Error(`stage ${stage.target} failed: ${outcome.failure.detail}`)
  return outcome.value.results
}
