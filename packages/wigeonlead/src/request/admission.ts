/**
 * Admission: decides whether a request starts now, waits for capacity or is refused. Each resource has a bounded queue, which is served
 * by deficit round robin over workspaces by weight, and by priority within a workspace.
 */
import {
  FailureKind, ProblemType, Step, createProblem, failed, success, type Failure, type ManifestWorkspace, type Outcome, type Problem
} from '@wigeonlead/protocol'
import { createFairQueue, type FairQueue, type QueuedItem } from './admission-queue.js'
import { createLimits } from './admission-limits.js'
import { createShares } from './admission-shares.js'

/** A request for admission. */
export interface AdmissionRequest {
  workspace: ManifestWorkspace
  /** Name of the model or service. */
  resource: string
  priority: number
  /** By when the request must have ended, milliseconds since 1970. */
  deadlineAt: number
  signal: AbortSignal
  /** Maximum number of tokens of the answer; 1 by default. */
  tokens?: number
  /**
   * Starts the request under the version in force now, if it may run and there is capacity. If absent, capacity is unlimited.
   * @param isOverShare whether the workspace already runs more than its share while other workspaces are active.
   * @returns `false` if there is no capacity yet, or the failure that ends the request.
   */
  start?: (isOverShare: boolean) => Outcome<boolean>
}

/** An admitted request. */
export interface AdmissionTicket {
  /** Whether the workspace runs more than its share while other workspaces are active. Its request then gets a lower priority. */
  isOverShare: boolean
  /** Ends the request. @param tokens tokens that it actually used. */
  release: (tokens?: number) => void
}

/** Admits requests. */
export interface Admission {
  /** Waits until the request starts or is refused. */
  admit: (request: AdmissionRequest) => Promise<Outcome<AdmissionTicket>>
  /** @returns the recent requests a second of each workspace, admitted or not. */
  demand: () => Record<string, number>
  /** @returns the number of queued requests. */
  waiting: () => number
  /** Tries the queued requests again, for example after another version came into force. */
  retryQueued: () => void
}

/** Dependencies of admission. */
export interface AdmissionDependencies {
  /** @returns the share of a workspace's limits that this node may use; 1 by default. */
  shareOf?: (workspace: string) => number
}

const MAX_WAITING_PER_RESOURCE = 4096
const MAX_WAITING_PER_WORKSPACE = 1024
/** Interval at which queued requests are tried again. */
const RETRY_INTERVAL_MILLISECONDS = 50
/** Weight of a new sample in the exponentially weighted averages. */
const SMOOTHING_FACTOR = 0.05
/** Safety factor on the mean run time, for slower runs. A request is not started if it could miss its deadline by this estimate. */
const RUN_TIME_MARGIN = 1.25
const QUEUE_FULL_STATUS = 503
const LIMIT_REACHED_STATUS = 429

interface ResourceState {
  queue: FairQueue<QueuedRequest>
  running: number
  /** Run time of a request divided by its tokens, milliseconds, exponentially weighted. */
  millisecondsPerToken?: number
  /** Share of their maximum number of tokens that answers used, exponentially weighted. */
  usedTokenShare: number
}

interface QueuedRequest extends QueuedItem {
  request: AdmissionRequest
  settle: (outcome: Outcome<AdmissionTicket>) => void
}

/** Creates an admission with empty queues. */
export function createAdmission (dependencies: AdmissionDependencies = {}): Admission {
  const resources = new Map<string, ResourceState>()
  const shares = createShares()
  const limits = createLimits(dependencies.shareOf ?? (() => 1))
  let timer: NodeJS.Timeout | undefined

  function stateOf (resource: string): ResourceState {
    let state = resources.get(resource)
    if (state === undefined) {
      state = { queue: createFairQueue(MAX_WAITING_PER_RESOURCE, MAX_WAITING_PER_WORKSPACE), running: 0, usedTokenShare: 1 }
      resources.set(resource, state)
    }
    return state
  }

  function issueTicket (state: ResourceState, request: AdmissionRequest): AdmissionTicket {
    const startedAt = Date.now()
    const expected = request.tokens ?? 1
    let isActive = true
    state.running += 1
    shares.begin(request.workspace)
    return {
      isOverShare: shares.isOver(request.workspace),
      release (tokens = expected) {
        if (!isActive) return
        isActive = false
        state.running -= 1
        shares.end(request.workspace)
        limits.settle(request.workspace, expected, tokens)
        recordEnd(state, expected, tokens, Date.now() - startedAt)
        retryQueued()
      }
    }
  }

  function retryQueued (): void {
    for (const state of resources.values()) dispatch(state)
    const isWaiting = [...resources.values()].some(state => state.queue.size() > 0)
    if (isWaiting && timer === undefined) {
      timer = setTimeout(() => {
        timer = undefined
        retryQueued()
      }, RETRY_INTERVAL_MILLISECONDS)
    }
  }

  function dispatch (state: ResourceState): void {
    state.queue.drain(queued => {
      const { request } = queued
      if (Date.now() + expectedRunMilliseconds(state, request) > request.deadlineAt) {
        queued.settle(failed(deadlineUnreachable(state, 'the time left is too short for an answer')))
        return true
      }
      const started = request.start?.(shares.isOver(request.workspace)) ?? success(true)
      if (started.ok && !started.value) return false
      queued.settle(started.ok ? success(issueTicket(state, request)) : started)
      return true
    })
  }

  async function admit (request: AdmissionRequest): Promise<Outcome<AdmissionTicket>> {
    const reached = limits.charge(request.workspace, request.tokens ?? 1)
    if (reached !== undefined) return failed(limitReached(reached.detail, reached.retryAfterMilliseconds))
    const outcome = await startOrQueue(stateOf(request.resource), request)
    if (!outcome.ok) limits.settle(request.workspace, request.tokens ?? 1, 0)
    return outcome
  }

  async function startOrQueue (state: ResourceState, request: AdmissionRequest): Promise<Outcome<AdmissionTicket>> {
    if (state.queue.size() === 0) {
      const started = request.start?.(shares.isOver(request.workspace)) ?? success(true)
      if (!started.ok) return started
      if (started.value) return success(issueTicket(state, request))
    }
    const wait = expectedWaitMilliseconds(state, request)
    if (Date.now() + wait + expectedRunMilliseconds(state, request) > request.deadlineAt) {
      return failed(deadlineUnreachable(state, `an answer is expected after ${Math.round(wait)} ms of waiting, past the deadline`))
    }
    return await enqueue(state, request)
  }

  function enqueue (state: ResourceState, request: AdmissionRequest): Promise<Outcome<AdmissionTicket>> {
    return new Promise(resolve => {
      const { workspace, priority, signal, deadlineAt } = request
      const settle = (outcome: Outcome<AdmissionTicket>): void => {
        signal.removeEventListener('abort', onAbort)
        clearTimeout(deadlineTimer)
        resolve(outcome)
      }
      const queued: QueuedRequest = {
        workspace: workspace.name,
        weight: workspace.weight,
        priority,
        cost: request.tokens ?? 1,
        isWithinShare: !shares.isOver(workspace),
        request,
        settle
      }
      const onAbort = (): void => {
        state.queue.remove(queued)
        settle(failed({ kind: FailureKind.Aborted, step: Step.Admission, peer: 'local', detail: 'the caller hung up' }))
      }
      const deadlineTimer = setTimeout(() => {
        state.queue.remove(queued)
        settle(failed(deadlineUnreachable(state, 'the deadline passed in the queue')))
      }, Math.max(0, deadlineAt - Date.now()))
      if (!state.queue.add(queued)) {
        settle(failed(queueFull(expectedWaitMilliseconds(state, request))))
        return
      }
      signal.addEventListener('abort', onAbort)
      retryQueued()
    })
  }

  return {
    admit,
    demand: limits.demand,
    waiting: () => [...resources.values()].reduce((sum, state) => sum + state.queue.size(), 0),
    retryQueued
  }
}

/** @returns the problem with which a request that was not admitted is refused. */
export function refuseAdmission (failure: Failure): Problem {
  const wait = failure.kind === FailureKind.Refused ? failure.retryAfterMilliseconds : undefined
  const options = { retryAfterSeconds: Math.max(1, Math.ceil((wait ?? 1000) / 1000)) }
  if (failure.kind === FailureKind.TimedOut) {
    const retryAfterSeconds = Math.max(1, Math.ceil(failure.afterMilliseconds / 1000))
    return createProblem(ProblemType.DeadlineUnreachable, failure.detail, { retryAfterSeconds })
  }
  if (failure.step === Step.PathChoice) return createProblem(ProblemType.NoPath, failure.detail, options)
  const isLimit = failure.kind === FailureKind.Refused && failure.status === LIMIT_REACHED_STATUS
  return createProblem(isLimit ? ProblemType.LimitReached : ProblemType.Overloaded, failure.detail, options)
}

function recordEnd (state: ResourceState, expected: number, tokens: number, milliseconds: number): void {
  if (tokens <= 0) return
  state.usedTokenShare += SMOOTHING_FACTOR * (Math.min(1, tokens / expected) - state.usedTokenShare)
  const value = milliseconds / tokens
  state.millisecondsPerToken = state.millisecondsPerToken === undefined
    ? value
    : state.millisecondsPerToken + SMOOTHING_FACTOR * (value - state.millisecondsPerToken)
}

/** Estimates the wait of a request, assuming that the tokens queued ahead of it are generated as fast as those of running requests. */
function expectedWaitMilliseconds (state: ResourceState, request: AdmissionRequest): number {
  if (state.millisecondsPerToken === undefined) return 0
  const ahead = state.queue.costAhead(request.workspace.name, request.workspace.weight, request.priority)
  return ahead * state.usedTokenShare * state.millisecondsPerToken / Math.max(1, state.running)
}

function expectedRunMilliseconds (state: ResourceState, request: AdmissionRequest): number {
  return RUN_TIME_MARGIN * (request.tokens ?? 1) * state.usedTokenShare * (state.millisecondsPerToken ?? 0)
}

function deadlineUnreachable (state: ResourceState, detail: string): Failure {
  const afterMilliseconds = state.queue.size() * (state.millisecondsPerToken ?? 0) / Math.max(1, state.running)
  return { kind: FailureKind.TimedOut, step: Step.Admission, peer: 'local', detail, afterMilliseconds }
}

function queueFull (retryAfterMilliseconds: number): Failure {
  return { kind: FailureKind.Refused, step: Step.Admission, peer: 'local', detail: 'the queue is full', status: QUEUE_FULL_STATUS, retryAfterMilliseconds }
}

function limitReached (detail: string, retryAfterMilliseconds: number): Failure {
  return { kind: FailureKind.Refused, step: Step.Admission, peer: 'local', detail, status: LIMIT_REACHED_STATUS, retryAfterMilliseconds }
}
