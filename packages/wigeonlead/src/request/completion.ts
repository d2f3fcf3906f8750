/**
 * OpenAI-compatible completions and chat completions, streamed or whole.
 */
import { z } from 'zod'
import { ProblemType, ResourceKind, createProblem, type ModelReference, type Problem } from '@wigeonlead/protocol'
import type { BurnMeter } from '../process/burn.js'
import { refuseAdmission } from './admission.js'
import { jsonResponse, problemResponse, type CallerRequest, type CallerResponse } from './caller.js'
import { createStart, type CompletionStart } from './completion-start.js'
import type { RequestContext } from './context.js'
import { DeliveryKind, generate, type Delivery, type GenerationOrder } from './generation.js'
import { endOfRefusal, meterDeliveries } from './metered.js'

/** The two shapes of completions. */
export enum CompletionShape {
  Text = 'text',
  Chat = 'chat'
}

const commonSchema = z.object({
  model: z.string(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).optional(),
  max_completion_tokens: z.number().int().min(1).optional(),
  temperature: z.number().min(0).max(2).optional(),
  seed: z.number().int().optional(),
  /** Version of the model; the default version when absent. */
  version: z.string().optional(),
  adapter: z.string().optional()
})
const textSchema = commonSchema.extend({ prompt: z.string() })
const chatSchema = commonSchema.extend({
  messages: z.array(z.object({ role: z.enum(['system', 'user', 'assistant']), content: z.string() })).min(1)
})
const DEFAULT_MAXIMUM_TOKENS = 256

/** A completion request that was read and may be served. */
export interface ParsedCompletion {
  order: GenerationOrder
  stream: boolean
}

/** Answers a completion request. */
export async function answerCompletion (context: RequestContext, request: CallerRequest, shape: CompletionShape): Promise<CallerResponse> {
  const parsed = parseCompletion(context, request, shape)
  if ('type' in parsed) return problemResponse(parsed)
  const { name, objectives } = parsed.order.model.model
  const meter = context.parts.burn.begin({ kind: ResourceKind.Model, name, objectives })
  const start = createStart(context, parsed, () => parseCompletion(start.context, request, shape))
  const admitted = await context.parts.admission.admit({
    workspace: context.workspace,
    resource: parsed.order.reference.model,
    priority: context.priority,
    deadlineAt: context.deadlineAt,
    signal: context.signal,
    tokens: parsed.order.maximumTokens,
    start: start.tryStart
  })
  if (!admitted.ok) {
    const problem = start.problem ?? refuseAdmission(admitted.failure)
    meter.end(endOfRefusal(problem, context.signal))
    return problemResponse(problem)
  }
  return await answerAdmitted(start, meter, parsed.stream, shape, admitted.value.release)
}

async function answerAdmitted (
  start: CompletionStart, meter: BurnMeter, isStreamed: boolean, shape: CompletionShape, release: (tokens: number) => void
): Promise<CallerResponse> {
  const { context, order } = start
  const deliveries = meterDeliveries(generate(context, order), meter, context.signal)[Symbol.asyncIterator]()
  const coming = deliveries.next()
  start.release()
  const first = await coming
  if (first.done === true || first.value.kind === DeliveryKind.Refusal) {
    release(0)
    const problem = first.done === true ? createProblem(ProblemType.TargetFailed, 'no answer') : (first.value as { problem: Problem }).problem
    return problemResponse(problem)
  }
  const all = resume(context.signal, first.value, deliveries, release)
  return isStreamed ? streamAnswer(context, order, shape, all) : await wholeAnswer(context, order, shape, all)
}

function parseCompletion (context: RequestContext, request: CallerRequest, shape: CompletionShape): ParsedCompletion | Problem {
  let body: unknown
  try {
    body = JSON.parse(Buffer.from(request.body).toString())
  } catch {
    return createProblem(ProblemType.MalformedRequest, 'the body is not JSON')
  }
  const parsed = (shape === CompletionShape.Chat ? chatSchema : textSchema).safeParse(body)
  if (!parsed.success) {
    const detail = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`).join('; ')
    return createProblem(ProblemType.MalformedRequest, detail)
  }
  const input = parsed.data
  const model = context.version.models.get(input.model)
  if (model === undefined) return createProblem(ProblemType.UnknownModel, `model "${input.model}" is not served`)
  const allowed = context.workspace.models
  if (allowed !== undefined && !allowed.includes(input.model)) {
    return createProblem(ProblemType.Forbidden, `workspace ${context.workspace.name} may not use model "${input.model}"`)
  }
  const reference: ModelReference = { model: input.model, version: input.version ?? model.defaultVersion, adapter: input.adapter }
  if (!model.model.versions.includes(reference.version)) {
    return createProblem(ProblemType.UnknownVersion, `version "${reference.version}" of ${input.model} is not served`)
  }
  if (reference.adapter !== undefined && !model.model.adapters.includes(reference.adapter)) {
    return createProblem(ProblemType.UnknownAdapter, `adapter "${reference.adapter}" of ${input.model} is not served`)
  }
  const wanted = input.max_completion_tokens ?? input.max_tokens ?? DEFAULT_MAXIMUM_TOKENS
  return {
    stream: input.stream,
    order: {
      model,
      reference,
      prompt: 'messages' in input ? input.messages.map(message => `${message.role}: ${message.content}`).join('\n') : input.prompt,
      maximumTokens: Math.min(wanted, model.model.maximumTokens),
      temperature: input.temperature,
      seed: input.seed
    }
  }
}

/** A caller that hangs up may leave the answer unread: the generation is ended then all the same. */
function resume (
  signal: AbortSignal, first: Delivery, rest: AsyncIterator<Delivery>, release: (tokens: number) => void
): AsyncIterable<Delivery> {
  let tokens = 0
  const end = (): void => {
    signal.removeEventListener('abort', end)
    release(tokens)
    void rest.return?.()
  }
  signal.addEventListener('abort', end)
  if (signal.aborted) end()
  return {
    async * [Symbol.asyncIterator] () {
      try {
        for (let next: IteratorResult<Delivery> = { done: false, value: first }; next.done !== true; next = await rest.next()) {
          if (next.value.kind === DeliveryKind.Token) tokens += 1
          yield next.value
        }
      } finally {
        end()
      }
    }
  }
}

async function wholeAnswer (
  context: RequestContext, order: GenerationOrder, shape: CompletionShape, deliveries: AsyncIterable<Delivery>
): Promise<CallerResponse> {
  let text = ''
  for await (const delivery of deliveries) {
    if (delivery.kind === DeliveryKind.Token) text += delivery.token.text
    else if (delivery.kind === DeliveryKind.Refusal) return problemResponse(delivery.problem)
    else {
      const choice = shape === CompletionShape.Chat
        ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: delivery.reason }
        : { index: 0, text, finish_reason: delivery.reason }
      const usage = { completion_tokens: delivery.tokens }
      return jsonResponse(200, { ...envelope(context, order, shape, false), choices: [choice], usage })
    }
  }
  return problemResponse(createProblem(ProblemType.TargetFailed, 'the answer ended early'))
}

function streamAnswer (
  context: RequestContext, order: GenerationOrder, shape: CompletionShape, deliveries: AsyncIterable<Delivery>
): CallerResponse {
  const headers = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' }
  return { status: 200, headers, body: renderStream(envelope(context, order, shape, true), shape, deliveries) }
}

async function * renderStream (base: object, shape: CompletionShape, deliveries: AsyncIterable<Delivery>): AsyncIterable<string> {
  for await (const delivery of deliveries) {
    if (delivery.kind === DeliveryKind.Refusal) {
      yield `event: error\ndata: ${JSON.stringify({ error: delivery.problem })}\n\n`
      return
    }
    const text = delivery.kind === DeliveryKind.Token ? delivery.token.text : ''
    const reason = delivery.kind === DeliveryKind.Finish ? delivery.reason : null
    const choice = shape === CompletionShape.Chat
      ? { index: 0, delta: reason === null ? { content: text } : {}, finish_reason: reason }
      : { index: 0, text, finish_reason: reason }
    yield `data: ${JSON.stringify({ ...base, choices: [choice] })}\n\n`
  }
  yield 'data: [DONE]\n\n'
}

function envelope (context: RequestContext, order: GenerationOrder, shape: CompletionShape, isChunk: boolean): object {
  const object = shape === CompletionShape.Text ? 'text_completion' : isChunk ? 'chat.completion.chunk' : 'chat.completion'
  return { id: context.parts.random.nextNonce(), object, created: Math.floor(Date.now() / 1000), model: order.reference.model }
}
