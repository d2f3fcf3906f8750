/**
 * Parses completion requests in the OpenAI-compatible format. Parameters that the engines don't support are refused, not ignored.
 */
import { z } from 'zod'
import { ProblemType, createProblem, type ModelReference, type Problem } from '@wigeonlead/protocol'
import type { CallerRequest } from './caller.js'
import type { RequestContext } from './context.js'
import type { GenerationOrder } from './generation-order.js'

/** Formats of completion requests. */
export enum CompletionShape {
  Text = 'text',
  Chat = 'chat'
}

/** A parsed completion request. */
export interface CompletionInput {
  order: GenerationOrder
  isStreamed: boolean
  /** Whether a streamed answer ends with a chunk that contains the token usage. */
  isUsageIncluded: boolean
}

const DEFAULT_MAXIMUM_TOKENS = 256
const UNSUPPORTED_PARAMETERS = [
  'tools', 'tool_choice', 'functions', 'function_call', 'logprobs', 'top_logprobs', 'logit_bias', 'stop', 'suffix', 'echo', 'best_of',
  'audio', 'modalities', 'prediction', 'top_p', 'presence_penalty', 'frequency_penalty'
]

const commonSchema = z.object({
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  stream_options: z.object({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.number().int().min(1).nullish(),
  max_completion_tokens: z.number().int().min(1).nullish(),
  temperature: z.number().min(0).max(2).nullish(),
  seed: z.number().int().nullish(),
  n: z.literal(1, 'only one choice is made').nullish(),
  response_format: z.object({ type: z.literal('text', 'only "text" is made') }).nullish(),
  /** Version of the model; its default version if absent. */
  version: z.string().nullish(),
  adapter: z.string().nullish()
})
const textPartSchema = z.object({ type: z.literal('text', 'only text parts are taken'), text: z.string() })
const messageSchema = z.object({
  role: z.enum(['system', 'developer', 'user', 'assistant']),
  content: z.union([z.string(), z.array(textPartSchema).min(1).transform(parts => parts.map(part => part.text).join(''))])
})
const SCHEMAS = {
  [CompletionShape.Text]: commonSchema.extend({ prompt: z.string().min(1) }),
  [CompletionShape.Chat]: commonSchema.extend({ messages: z.array(messageSchema).min(1) })
}

/** @returns the parsed completion request, or the problem for which it is refused. */
export function readCompletion (
  context: RequestContext, request: CallerRequest, shape: CompletionShape
): CompletionInput | Problem {
  const body = parseBody(request)
  if (body === undefined) return createProblem(ProblemType.MalformedRequest, 'the body is not a JSON object in UTF-8')
  const unsupported = UNSUPPORTED_PARAMETERS.filter(name => body[name] !== undefined && body[name] !== null)
  if (unsupported.length > 0) return createProblem(ProblemType.MalformedRequest, `not supported: ${unsupported.join(', ')}`)
  const parsed = SCHEMAS[shape].safeParse(body)
  if (!parsed.success) {
    const faults = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`)
    return createProblem(ProblemType.MalformedRequest, faults.join('; '))
  }
  const input = parsed.data
  const resolved = resolveModel(context, input.model, input.version ?? undefined, input.adapter ?? undefined)
  if ('type' in resolved) return resolved
  const requestedTokens = input.max_completion_tokens ?? input.max_tokens ?? DEFAULT_MAXIMUM_TOKENS
  return {
    isStreamed: input.stream === true,
    isUsageIncluded: input.stream_options?.include_usage === true,
    order: {
      ...resolved,
      prompt: 'messages' in input ? input.messages.map(message => `${message.role}: ${message.content}`).join('\n') : input.prompt,
      maximumTokens: Math.min(requestedTokens, resolved.model.model.maximumTokens),
      temperature: input.temperature ?? undefined,
      seed: input.seed ?? undefined
    }
  }
}

function parseBody (request: CallerRequest): Record<string, unknown> | undefined {
  try {
    const body: unknown = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(request.body))
    return typeof body === 'object' && body !== null && !Array.isArray(body) ? body as Record<string, unknown> : undefined
  } catch {
    return undefined
  }
}

function resolveModel (
  context: RequestContext, name: string, requestedVersion: string | undefined, adapter: string | undefined
): Pick<GenerationOrder, 'model' | 'reference'> | Problem {
  const model = context.version.models.get(name)
  if (model === undefined) return createProblem(ProblemType.UnknownModel, `model "${name}" is not served`)
  const allowed = context.workspace.models
  if (allowed !== undefined && !allowed.includes(name)) {
    return createProblem(ProblemType.Forbidden, `workspace "${context.workspace.name}" may not use model "${name}"`)
  }
  const reference: ModelReference = { model: name, version: requestedVersion ?? model.defaultVersion, adapter }
  if (!model.model.versions.includes(reference.version)) {
    return createProblem(ProblemType.UnknownVersion, `version "${reference.version}" of "${name}" is not served`)
  }
  if (adapter !== undefined && !model.model.adapters.includes(adapter)) {
    return createProblem(ProblemType.UnknownAdapter, `adapter "${adapter}" of "${name}" is not served`)
  }
  return { model, reference }
}
