/**
 * Answers OpenAI-compatible completions and chat completions, streamed or as one response.
 */
import { OrderState, ProblemType, ResourceKind, Submission, createProblem, type Problem } from '@wigeonlead/protocol'
import type { BurnMeter } from '../process/burn.js'
import { refuseAdmission } from './admission.js'
import { jsonResponse, problemResponse, type CallerRequest, type CallerResponse } from './caller.js'
import { CompletionShape, readCompletion, type CompletionInput } from './completion-input.js'
import { createCompletionStart, type CompletionStart } from './completion-start.js'
import type { RequestContext } from './context.js'
import { DeliveryKind, generate, type Delivery } from './generation.js'
import { classifyRefusal, meterDeliveries } from './metered.js'

/** Added to the priority of requests whose workspace is over its share, so that engines serve other workspaces first. */
const OVER_SHARE_PRIORITY_OFFSET = 4
const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-store' }
const STREAM_END = 'data: [DONE]\n\n'

/** Answers a completion request. */
export async function answerCompletion (
  context: RequestContext, request: CallerRequest, shape: CompletionShape
): Promise<CallerResponse> {
  const input = readCompletion(context, request, shape)
  if ('type' in input) return refusal(input)
  const { name, objectives } = input.order.model.model
  const meter = context.dependencies.burn.begin({ kind: ResourceKind.Model, name, objectives })
  const start = createCompletionStart(context, input, () => readCompletion(start.context, request, shape))
  const admitted = await context.dependencies.admission.admit({
    workspace: context.workspace,
    resource: input.order.reference.model,
    priority: context.priority,
    deadlineAt: context.deadlineAt,
    signal: context.signal,
    tokens: input.order.maximumTokens,
    start: start.tryStart
  })
  if (!admitted.ok) {
    const problem = start.problem ?? refuseAdmission(admitted.failure)
    meter.end(classifyRefusal(problem, context.signal))
    return refusal(problem)
  }
  if (admitted.value.isOverShare) start.context = { ...start.context, priority: start.context.priority + OVER_SHARE_PRIORITY_OFFSET }
  return await answerAdmitted(start, meter, input, shape, admitted.value.release)
}

async function answerAdmitted (
  start: CompletionStart, meter: BurnMeter, input: CompletionInput, shape: CompletionShape, release: (tokens: number) => void
): Promise<CallerResponse> {
  const { context, order } = start
  const deliveries = meterDeliveries(generate(context, order), meter, context.signal)[Symbol.asyncIterator]()
  const firstResult = deliveries.next()
  start.release()
  const first = await firstResult
  if (first.done === true || first.value.kind === DeliveryKind.Refusal) {
    release(0)
    return refusal(first.done === true ? earlyEndProblem() : (first.value as { problem: Problem }).problem)
  }
  const allDeliveries = withReleaseAtEnd(context.signal, first.value, deliveries, release)
  const answer = createAnswer(start, input.isStreamed, shape)
  if (!input.isStreamed) return await renderWholeAnswer(answer, allDeliveries)
  return { status: 200, headers: STREAM_HEADERS, body: renderStream(answer, input.isUsageIncluded, allDeliveries) }
}

/** @returns the response for a problem. If nothing of the completion was sent, the response says that it has not run. */
function refusal (problem: Problem): CallerResponse {
  return problemResponse(problem.submission === Submission.NotSent ? { ...problem, order: OrderState.NotRun } : problem)
}

/**
 * Passes on the first and the remaining deliveries, and releases the admission when they end. Also ends the generation when the caller
 * hangs up, since its answer may then never be read to the end.
 */
function withReleaseAtEnd (
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

/** What is needed to render an answer. */
interface CompletionAnswer {
  shape: CompletionShape
  /** Fields of each chunk of a stream, or of an unstreamed answer. */
  envelope: { id: string, object: string, created: number, model: string }
}

const OBJECT_NAMES: Record<CompletionShape, { chunk: string, whole: string }> = {
  [CompletionShape.Text]: { chunk: 'text_completion', whole: 'text_completion' },
  [CompletionShape.Chat]: { chunk: 'chat.completion.chunk', whole: 'chat.completion' }
}

function createAnswer ({ context, order }: CompletionStart, isStreamed: boolean, shape: CompletionShape): CompletionAnswer {
  const object = OBJECT_NAMES[shape][isStreamed ? 'chunk' : 'whole']
  const created = Math.floor(Date.now() / 1000)
  return { shape, envelope: { id: context.dependencies.random.nextNonce(), object, created, model: order.reference.model } }
}

async function renderWholeAnswer ({ shape, envelope }: CompletionAnswer, deliveries: AsyncIterable<Delivery>): Promise<CallerResponse> {
  let text = ''
  for await (const delivery of deliveries) {
    if (delivery.kind === DeliveryKind.Token) text += delivery.token.text
    else if (delivery.kind === DeliveryKind.Refusal) return refusal(delivery.problem)
    else {
      const content = shape === CompletionShape.Chat ? { message: { role: 'assistant', content: text } } : { text }
      const choices = [{ index: 0, ...content, finish_reason: delivery.reason }]
      return jsonResponse(200, { ...envelope, choices, usage: { completion_tokens: delivery.tokens } })
    }
  }
  return refusal(earlyEndProblem())
}

async function * renderStream (
  { shape, envelope }: CompletionAnswer, isUsageIncluded: boolean, deliveries: AsyncIterable<Delivery>
): AsyncIterable<string> {
  const chunkStart = `data: ${JSON.stringify(envelope).slice(0, -1)},"choices":[{"index":0,`
  const renderToken = shape === CompletionShape.Chat
    ? (text: string) => `${chunkStart}"delta":{"content":${JSON.stringify(text)}},"finish_reason":null}]}\n\n`
    : (text: string) => `${chunkStart}"text":${JSON.stringify(text)},"finish_reason":null}]}\n\n`
  const emptyContent = shape === CompletionShape.Chat ? '"delta":{}' : '"text":""'
  for await (const delivery of deliveries) {
    if (delivery.kind === DeliveryKind.Token) yield renderToken(delivery.token.text)
    else if (delivery.kind === DeliveryKind.Refusal) {
      yield `event: error\ndata: ${JSON.stringify({ error: delivery.problem })}\n\n`
      return
    } else {
      const usage = isUsageIncluded
        ? `data: ${JSON.stringify({ ...envelope, choices: [], usage: { completion_tokens: delivery.tokens } })}\n\n`
        : ''
      yield `${chunkStart}${emptyContent},"finish_reason":"${delivery.reason}"}]}\n\n${usage}${STREAM_END}`
      return
    }
  }
  yield `event: error\ndata: ${JSON.stringify({ error: earlyEndProblem() })}\n\n`
}

function earlyEndProblem (): Problem {
  return createProblem(ProblemType.TargetFailed, 'the answer ended early', { submission: Submission.Sent })
}
