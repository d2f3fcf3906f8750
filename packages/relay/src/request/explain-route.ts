/**
 * Explains where a request would go now and why, with the functions that decide about real requests. It sends nothing, reserves nothing,
 * counts nothing and promises nothing.
 */
import type { Admission, SteppedAdmissionLevel } from '../process/admission/admission.js'
import { OPEN_LEVEL } from '../process/membership/demand.js'
import type { DomainShares } from '../process/routing/domain-share.js'
import type { Load } from '../process/routing/load.js'
import { PathStanding, type RankedPath } from '../process/routing/path-finder.js'
import { AnswerForm, type RelayConfiguration, type Route, type Service, type Workspace } from '../version/configuration.js'
import { incarnationOf } from '../version/target.js'
import { urgencyOf, type RequestDependencies } from './context.js'
import { rankPathsByShare, type DrawnRequest } from './domain-choice.js'
import { pathQueryOf } from './events.js'
import { drawService, findRoute } from './find-route.js'
import { Refusal } from './refusal.js'
import type { SizedRequest } from './tokens.js'
import { findCandidates, hasCapacity, rankTargets } from './whole.js'

/** What is known of the request in question. */
export interface RouteQuestion {
  host: string
  path: string
  /** Name of the workspace. Without one, the request has the rank of its route. */
  workspace?: string
  /** The usual size of the service's prompts if absent. */
  promptTokens?: number
  /** The usual length of the service's answers if absent. */
  answerTokens?: number
}

/** Why a question has no answer. */
export interface RouteFault {
  status: number
  detail: string
}

/** A path that competes for the request. */
export interface ExplainedPath {
  stages: Array<{ target: string, failureDomain: string, from: number, to: number }>
  standing: PathStanding
  /** Cost by which paths are compared: milliseconds, or the rank where one target serves the whole model. */
  cost: number
  isUnsplit: boolean
  firstEventMilliseconds?: number
  eventIntervalMilliseconds?: number
}

/** A target of a plain service that competes for the request. */
export interface ExplainedTarget {
  target: string
  failureDomain: string
  requestsPerSlot: number
  /** Rank by which targets are compared; the target with the lowest one that has capacity is chosen. */
  rank: number
  hasCapacity: boolean
}

/** Where a request would go now, and why. Times and ages are in milliseconds; Infinity stands for an unknown age. */
export interface RouteExplanation {
  route: string
  form: AnswerForm
  version: number
  /** Time since the configuration was last confirmed to be the newest one. */
  versionAge: number
  /** Time since this process adopted the version. */
  adoptedAge: number
  service: string
  /** Services of the route, among which one is drawn by weight. */
  services: Array<{ name: string, weight: number }>
  workspace?: string
  rank: number
  admission: {
    /** Absent where everything is admitted. */
    level?: number
    /** Share of the rank's requests that is admitted, over all workspaces. */
    share: number
    waiting: number
    /** When a caller that is refused now would be told to return. */
    returnMilliseconds: number
  }
  failureDomain: {
    own: string
    /** Shares that leave, by failure domain; the rest stays. */
    shares: Record<string, number>
    drawn: string
    /** Whether this VM is cut off from the targets, so that a peer handles the request. */
    isCutOff: boolean
  }
  /** For services with engines: the chosen path first, if one has capacity. */
  paths: ExplainedPath[]
  /** For plain services: the chosen target first, if one has capacity; those without capacity last. */
  targets: ExplainedTarget[]
  /** Usable targets to which this VM may not send now, and for how long. */
  paused: Array<{ target: string, waitMilliseconds: number }>
  /** Why nothing with capacity was found. */
  obstacle?: string
  ages: {
    /** Time since each peer sent its counts of requests. */
    counts: Record<string, number>
    /** Ages of the states of the failure domains, when the shares were last updated. */
    demand: Record<string, number>
  }
}

/** What an explanation reads. */
export interface ExplainDependencies extends Pick<
  RequestDependencies, 'configurationState' | 'directory' | 'paths' | 'sendWait' | 'reach' | 'failureDomain' | 'nextFloat'
> {
  load: Pick<Load, 'requests' | 'millisecondsSinceCounts'>
  admission: Pick<Admission, 'waiting' | 'expectedReturnMilliseconds'>
  level: Pick<SteppedAdmissionLevel, 'levelOf' | 'shareFor'>
  domainShares: Pick<DomainShares, 'choose' | 'current' | 'report' | 'isInformed'>
  /** @returns names of the peers. */
  peerVms: () => string[]
}

const WRONG_ARGUMENT_STATUS = 400
const NOT_NOW_STATUS = 503
/** The chosen path and the next two. */
const EXPLAINED_PATHS = 3
const WHOLE_NUMBER = /^\d{1,9}$/

const REFUSAL_FAULTS: Partial<Record<Refusal, RouteFault>> = {
  [Refusal.NoConfiguration]: { status: NOT_NOW_STATUS, detail: 'the relay has no configuration' },
  [Refusal.ConfigurationTooOld]: {
    status: NOT_NOW_STATUS, detail: 'the configuration was last confirmed too long ago to tell the route or to accept keys'
  }
}

/** Reads a question from the query of an operators' call. */
export function readRouteQuestion (query: URLSearchParams): RouteQuestion | RouteFault {
  const [host, path] = [query.get('host') ?? '', query.get('path') ?? '']
  if (host === '') return wrong('found no host')
  if (!path.startsWith('/')) return wrong(`found path "${path}", wanted one that begins with a slash`)
  for (const name of ['promptTokens', 'answerTokens']) {
    const text = query.get(name)
    if (text !== null && !WHOLE_NUMBER.test(text)) return wrong(`found ${name} "${text}", wanted a whole number of tokens`)
  }
  return {
    host,
    path,
    workspace: query.get('workspace') ?? undefined,
    promptTokens: readNumber(query.get('promptTokens')),
    answerTokens: readNumber(query.get('answerTokens'))
  }
}

/** Explains where a request would go now. A content under which targets have ended is not known to it, so it is taken to be unsuspected. */
export function explainRoute (question: RouteQuestion, dependencies: ExplainDependencies): RouteExplanation | RouteFault {
  const { configurationState, domainShares, failureDomain } = dependencies
  const found = findRoute(configurationState, question.host, question.path)
  if ('refusal' in found) {
    return REFUSAL_FAULTS[found.refusal] ?? wrong(`no route takes ${question.path} of host ${question.host}`)
  }
  const { version, configuration, route } = found
  const workspace = question.workspace === undefined ? undefined : findWorkspace(configuration, question.workspace)
  if (question.workspace !== undefined && workspace === undefined) return wrong(`there is no workspace "${question.workspace}"`)
  const service = configuration.services.get(drawService(route, dependencies.nextFloat()) ?? '')
  if (service === undefined) return wrong(`route ${route.name} has no service`)
  const domainDraw = dependencies.nextFloat()
  const rank = urgencyOf({ route, workspace })
  const states = domainShares.report().filter(report => report.service === service.name).flatMap(report => report.states)
  const request = { route, service, domainDraw, terms: termsOf(question, service) }
  const isEvents = route.form === AnswerForm.Events
  return {
    route: route.name,
    form: route.form,
    version: configuration.version,
    versionAge: configurationState.age(),
    adoptedAge: performance.now() - version.adoptedAt,
    service: service.name,
    services: route.services.map(({ name, weight }) => ({ name, weight })),
    workspace: workspace?.name,
    rank,
    admission: explainAdmission(service.name, rank, route, dependencies),
    failureDomain: {
      own: failureDomain,
      shares: Object.fromEntries(domainShares.current(service.name)),
      drawn: domainShares.choose(service.name, domainDraw),
      isCutOff: dependencies.reach.isCutOff(service.name)
    },
    ...(isEvents ? explainPaths(request, dependencies) : explainTargets(request, dependencies)),
    paused: pausedTargets(service.name, dependencies),
    ages: {
      counts: Object.fromEntries(dependencies.peerVms().map(vm => [vm, dependencies.load.millisecondsSinceCounts(vm) ?? Infinity])),
      demand: Object.fromEntries(states.map(state => [state.failureDomain, state.ageMilliseconds]))
    }
  }
}

function explainAdmission (
  service: string, rank: number, route: Route, { admission, level }: ExplainDependencies
): RouteExplanation['admission'] {
  const present = level.levelOf(service)
  return {
    level: present >= OPEN_LEVEL ? undefined : present,
    share: level.shareFor(service, rank),
    waiting: admission.waiting(service),
    returnMilliseconds: admission.expectedReturnMilliseconds(service, rank, performance.now() + route.timeoutMilliseconds)
  }
}

type Choice = Pick<RouteExplanation, 'paths' | 'targets' | 'obstacle'>

function explainPaths (request: SizedRequest & DrawnRequest & { route: Route }, dependencies: ExplainDependencies): Choice {
  const query = pathQueryOf(request, dependencies.failureDomain)
  const ranked = rankPathsByShare(request, dependencies, query, EXPLAINED_PATHS)
  return {
    paths: ranked.map(explainPath),
    targets: [],
    obstacle: ranked[0]?.path.hasCapacity === true ? undefined : dependencies.paths.explain(query)
  }
}

function explainPath ({ path, cost, standing }: RankedPath): ExplainedPath {
  return {
    stages: path.stages.map(({ targetId, failureDomain, from, to }) => ({ target: targetId, failureDomain, from, to })),
    standing,
    cost,
    isUnsplit: path.isUnsplit,
    ...path.estimate
  }
}

function explainTargets (request: DrawnRequest, dependencies: ExplainDependencies): Choice {
  const candidates = findCandidates(request, dependencies, new Set())
  const isFree = (target: typeof candidates[number]): boolean => hasCapacity(target, dependencies)
  const free = rankTargets(request, dependencies, candidates.filter(isFree))
  const full = rankTargets(request, dependencies, candidates.filter(target => !isFree(target)))
  const explained = (hasRoom: boolean) => ({ target, rank, requestsPerSlot }: typeof free[number]): ExplainedTarget =>
    ({ target: target.id, failureDomain: target.failureDomain, requestsPerSlot, rank, hasCapacity: hasRoom })
  return {
    paths: [],
    targets: [...free.map(explained(true)), ...full.map(explained(false))],
    obstacle: free.length > 0 ? undefined : candidates.length > 0 ? 'no target has capacity' : 'no usable target takes requests of this VM now'
  }
}

function pausedTargets (service: string, { directory, sendWait }: ExplainDependencies): RouteExplanation['paused'] {
  return directory.usable(service).map(target => ({ target: target.id, waitMilliseconds: sendWait(incarnationOf(target)) }))
    .filter(({ waitMilliseconds }) => waitMilliseconds > 0)
}

function termsOf ({ promptTokens, answerTokens }: RouteQuestion, { engine }: Service): SizedRequest['terms'] {
  return { promptTokens: promptTokens ?? engine?.usualPromptTokens ?? 0, maximumAnswerTokens: 0, answerTokensEstimate: answerTokens }
}

function findWorkspace ({ workspacesByKeyDigest }: RelayConfiguration, name: string): Workspace | undefined {
  return [...workspacesByKeyDigest?.values() ?? []].find(workspace => workspace.name === name)
}

function readNumber (text: string | null): number | undefined {
  return text === null ? undefined : Number(text)
}

function wrong (detail: string): RouteFault {
  return { status: WRONG_ARGUMENT_STATUS, detail }
}
