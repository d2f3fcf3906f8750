/**
 * Handles callers' requests: finds the workspace, the route and the deadline of a request, and answers it.
 */
import { ProblemType, Submission, createProblem, digestText, type Problem } from '@wigeonlead/protocol'
import type { CompiledVersion } from '../version/index.js'
import { LogEvent } from '../process/logging.js'
import { jsonResponse, problemResponse, type CallerHandler, type CallerRequest, type CallerResponse } from './caller.js'
import { answerCompletion } from './completion.js'
import { CompletionShape } from './completion-input.js'
import type { RequestContext, RequestDependencies } from './context.js'
import { answerServiceCall, unsentOrderState } from './services/index.js'

type Route = (context: RequestContext, request: CallerRequest) => Promise<CallerResponse>

const ROUTES: Record<string, { method: string, answer: Route }> = {
  '/v1/chat/completions': { method: 'POST', answer: (context, request) => answerCompletion(context, request, CompletionShape.Chat) },
  '/v1/completions': { method: 'POST', answer: (context, request) => answerCompletion(context, request, CompletionShape.Text) },
  '/v1/models': { method: 'GET', answer: async context => listModels(context) }
}
const SERVICE_PATTERN = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/
const DEADLINE_HEADER = 'wigeonlead-deadline-milliseconds'
const PRIORITY_HEADER = 'wigeonlead-priority'
const DEFAULT_PRIORITY = 1
const LOWEST_PRIORITY = 3

/**
 * Creates the handler of callers' requests.
 * @param versionInForce returns the version in force; a request keeps the version with which it starts.
 */
export function createCallerHandler (dependencies: RequestDependencies, versionInForce: () => CompiledVersion | undefined): CallerHandler {
  return async request => {
    const startedAt = performance.now()
    const response = await answer(dependencies, versionInForce, request)
    const route = ROUTES[pathOf(request)] === undefined ? 'service' : pathOf(request)
    dependencies.metrics.count('requests_total', { route, status: String(response.status) })
    const milliseconds = performance.now() - startedAt
    dependencies.metrics.observe('answer_started', milliseconds, { route })
    dependencies.logger.info(LogEvent.RequestAnswered, { route, status: response.status, milliseconds: Math.round(milliseconds) })
    return response
  }
}

async function answer (
  dependencies: RequestDependencies, versionInForce: () => CompiledVersion | undefined, request: CallerRequest
): Promise<CallerResponse> {
  const version = versionInForce()
  if (version === undefined) {
    const options = { retryAfterSeconds: 2, order: unsentOrderState({ request }) }
    return problemResponse(createProblem(ProblemType.NotReady, 'no manifest was seen yet', options))
  }
  const context = createContext(dependencies, version, versionInForce, request)
  if ('type' in context) return problemResponse({ ...context, order: unsentOrderState({ request }) })
  try {
    return await dispatch(context, request)
  } catch (error) {
    dependencies.logger.warn(LogEvent.InternalFault, { detail: error instanceof Error ? error.stack : String(error) })
    const detail = 'a fault of the router; what was sent is not known'
    return problemResponse(createProblem(ProblemType.InternalFault, detail, { submission: Submission.Sent }))
  }
}

async function dispatch (context: RequestContext, request: CallerRequest): Promise<CallerResponse> {
  const route = ROUTES[pathOf(request)]
  if (route !== undefined) {
    if (route.method === request.method) return await route.answer(context, request)
    return problemResponse(createProblem(ProblemType.MethodNotAllowed, `${pathOf(request)} takes ${route.method}`))
  }
  const service = SERVICE_PATTERN.exec(request.url)
  if (service === null) return problemResponse(createProblem(ProblemType.UnknownPath, `nothing is served at ${pathOf(request)}`))
  return await answerServiceCall(context, request, service[1] ?? '', `${service[2] ?? '/'}${service[3] ?? ''}`)
}

function createContext (
  dependencies: RequestDependencies, version: CompiledVersion, versionInForce: () => CompiledVersion | undefined, request: CallerRequest
): RequestContext | Problem {
  const key = /^Bearer (.+)$/i.exec(request.headers.authorization ?? '')?.[1]
  const workspace = key === undefined ? undefined : version.workspacesByKeyDigest.get(digestText(key))
  if (workspace === undefined) return createProblem(ProblemType.Unauthenticated, 'a bearer key of a workspace is wanted')
  const deadline = readNumber(request, DEADLINE_HEADER, dependencies.defaultDeadlineMilliseconds, 1, 86_400_000)
  if (deadline === undefined) return createProblem(ProblemType.MalformedRequest, `${DEADLINE_HEADER} is not a number of milliseconds`)
  const priority = readNumber(request, PRIORITY_HEADER, DEFAULT_PRIORITY, 0, LOWEST_PRIORITY)
  if (priority === undefined) return createProblem(ProblemType.MalformedRequest, `${PRIORITY_HEADER} is not a number from 0 to ${LOWEST_PRIORITY}`)
  return { dependencies, version, versionInForce, workspace, signal: request.signal, deadlineAt: Date.now() + deadline, priority }
}

function readNumber (request: CallerRequest, header: string, fallback: number, minimum: number, maximum: number): number | undefined {
  const text = request.headers[header]
  if (text === undefined) return fallback
  const value = Number(text)
  return Number.isInteger(value) && value >= minimum && value <= maximum ? value : undefined
}

function listModels (context: RequestContext): CallerResponse {
  const allowed = context.workspace.models
  const names = [...context.version.models.keys()].filter(name => allowed === undefined || allowed.includes(name))
  return jsonResponse(200, { object: 'list', data: names.map(id => ({ id, object: 'model', owned_by: 'wigeonlead' })) })
}

function pathOf (request: CallerRequest): string {
  return request.url.split('?')[0] ?? '/'
}
