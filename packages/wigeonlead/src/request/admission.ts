/**
 * Admission: whether a request may start now, waits for room, or is refused. Queues are bounded; deficit round robin over
 * workspaces by weight, priority within one.
 */
import {
  FailureKind, ProblemType, Step, createProblem, failed, success, type Failure, type ManifestWorkspace, type Outcome, type Problem
} from '@wigeonlead/protocol'
import { createFairQueue, type FairQueue, type QueuedItem } from './admission-queue.js'
import { createLimits } from './admission-limits.js'
import { createShares } from './admission-shares.js'

/** What is asked for at admission. */
export interface AdmissionRequest {
  workspace: ManifestWorkspace
  /** Model or service. */
  resource: string
  priority: number
  /** Milliseconds since 1970. */
  deadlineAt: number
  signal: AbortSignal
  /** Tokens that the answer may have; 1 by default. */
  tokens?: number
  /**
   * Starts the request if it may run and there is room, under the version that is in force now.
   * @param isOverShare the workspace already runs more than its share while others run too.
   * @returns `false` where there is no room yet, or the failure that ends the request. Without it there always is room.
   */
  start?: (isOverShare: boolean) => Outcome<boolean>
}

/** A request that was let in. */
export interface AdmissionTicket {
  /** The workspace runs more than its share while others run too: its work yields to theirs. */
  isOverShare: boolean
  /** Ends the request. @param tokens that it really took. */
  release: (tokens?: number) => void
}

/** Lets requests in. */
export interface Admission {
  admit: (request: AdmissionRequest) => Promise<Outcome<AdmissionTicket>>
  /** Requests a second that each workspace asked for lately. */
  demand: () => Record<string, number>
  /** Requests that wait. */
  waiting: () => number
  /** Tries the waiting requests again, for example when another version is in force. */
  wake: () => void
}

/** What admission needs. */
export interface AdmissionParts {
  /** Share of a workspace's limits that this node may give out; 1 by default. */
  shareOf?: (workspace: string) => number
}

const MOST_WAITING_A_RESOURCE = 4096
const MOST_WAITING_A_WORKSPACE = 1024
const RETRY_INTERVAL_MILLISECONDS = 50
const RATE_GAIN = 0.05
/** Longest usual run over the mean one: what can't end in time isn't begun. */
const RUN_MARGIN = 1.25
const FULL_STATUS = 503
const LIMIT_STATUS = 429

interface ResourceState {
  queue: FairQueue<Waiting>
  running: number
  /** Time a token of a whole answer takes, milliseconds, exponentially weighted. */
  millisecondsPerToken?: number
  /** Tokens that answers took of those that they might have, exponentially weighted. */
  usedShare: number
}

interface Waiting extends QueuedItem {
  request: AdmissionRequest
  settle: (outcome: Outcome<AdmissionTicket>) => void
}

/** Makes an admission with empty queues. */
export function createAdmission (parts: AdmissionParts = {}): Admission {
  const resources = new Map<string, ResourceState>()
  const shares = createShares()
  const limits = createLimits(parts.shareOf ?? (() => 1))
  let timer: NodeJS.Timeout | undefined

  function stateOf (resource: string): ResourceState {
    let state = resources.get(resource)
    if (state === undefined) {
      state = { queue: createFairQueue(MOST_WAITING_A_RESOURCE, MOST_WAITING_A_WORKSPACE), running: 0, usedShare: 1 }
      resources.set(resource, state)
    }
    return state
  }

  function ticketOf (state: ResourceState, request: AdmissionRequest): AdmissionTicket {
    const startedAt = Date.now()
    const expected = request.tokens ?? 1
    let isOpen = true
    state.running += 1
    shares.begin(request.workspace)
    return {
      isOverShare: shares.isOver(request.workspace),
      release (tokens = expected) {
        if (!isOpen) return
        isOpen = false
        state.running -= 1
        shares.end(request.workspace)
        limits.settle(request.workspace, expected, tokens)
        recordEnd(state, expected, tokens, Date.now() - startedAt)
        wake()
      }
    }
  }

  function wake (): void {
    for (const state of resources.values()) dispatch(state)
    const isWaiting = [...resources.values()].some(state => state.queue.size() > 0)
    if (isWaiting && timer === undefined) {
      timer = setTimeout(() => {
        timer = undefined
        wake()
      }, RETRY_INTERVAL_MILLISECONDS)
    }
  }

  function dispatch (state: ResourceState): void {
    state.queue.drain(waiting => {
      const { request } = waiting
      if (Date.now() + expectedRun(state, request) > request.deadlineAt) {
        waiting.settle(failed(tooLate(state, 'the time left is too short for an answer')))
        return true
      }
      const started = request.start?.(shares.isOver(request.workspace)) ?? success(true)
      if (started.ok && !started.value) return false
      waiting.settle(started.ok ? success(ticketOf(state, request)) : started)
      return true
    })
  }

  async function admit (request: AdmissionRequest): Promise<Outcome<AdmissionTicket>> {
    const over = limits.take(request.workspace, request.tokens ?? 1)
    if (over !== undefined) return failed(limited(over.detail, over.retryAfterMilliseconds))
    const outcome = await enter(stateOf(request.resource), request)
    if (!outcome.ok) limits.settle(request.workspace, request.tokens ?? 1, 0)
    return outcome
  }

  async function enter (state: ResourceState, request: AdmissionRequest): Promise<Outcome<AdmissionTicket>> {
    if (state.queue.size() === 0) {
      const started = request.start?.(shares.isOver(request.workspace)) ?? success(true)
      if (!started.ok) return started
      if (started.value) return success(ticketOf(state, request))
    }
    const wait = expectedWait(state, request)
    if (Date.now() + wait + expectedRun(state, request) > request.deadlineAt) {
      return failed(tooLate(state, `an answer is expected after ${Math.round(wait)} ms of waiting, past the deadline`))
    }
    return await queueUp(state, request)
  }

  function queueUp (state: ResourceState, request: AdmissionRequest): Promise<Outcome<AdmissionTicket>> {
    return new Promise(resolve => {
      const { workspace, priority, signal, deadlineAt } = request
      const settle = (outcome: Outcome<AdmissionTicket>): void => {
        signal.removeEventListener('abort', leave)
        clearTimeout(late)
        resolve(outcome)
      }
      const waiting: Waiting = {
        workspace: workspace.name,
        weight: workspace.weight,
        priority,
        cost: request.tokens ?? 1,
        isWithinShare: !shares.isOver(workspace),
        request,
        settle
      }
      const leave = (): void => {
        state.queue.remove(waiting)
        settle(failed({ kind: FailureKind.Aborted, step: Step.Admission, peer: 'local', detail: 'the caller hung up' }))
      }
      const late = setTimeout(() => {
        state.queue.remove(waiting)
        settle(failed(tooLate(state, 'the deadline passed in the queue')))
      }, Math.max(0, deadlineAt - Date.now()))
      if (!state.queue.add(waiting)) {
        settle(failed(full(expectedWait(state, request))))
        return
      }
      signal.addEventListener('abort', leave)
      wake()
    })
  }

  return {
    admit,
    demand: limits.demand,
    waiting: () => [...resources.values()].reduce((sum, state) => sum + state.queue.size(), 0),
    wake
  }
}

/** @returns the refusal that a failure of admission stands for. */
export function refuseAdmission (failure: Failure): Problem {
  const wait = failure.kind === FailureKind.Refused ? failure.retryAfterMilliseconds : undefined
  const options = { retryAfterSeconds: Math.max(1, Math.ceil((wait ?? 1000) / 1000)) }
  if (failure.kind === FailureKind.TimedOut) {
    const retryAfterSeconds = Math.max(1, Math.ceil(failure.afterMilliseconds / 1000))
    return createProblem(ProblemType.DeadlineUnreachable, failure.detail, { retryAfterSeconds })
  }
  if (failure.step === Step.PathChoice) return createProblem(ProblemType.NoPath, failure.detail, options)
  const isLimit = failure.kind === FailureKind.Refused && failure.status === LIMIT_STATUS
  return createProblem(isLimit ? ProblemType.LimitReached : ProblemType.Overloaded, failure.detail, options)
}

function recordEnd (state: ResourceState, expected: number, tokens: number, milliseconds: number): void {
  if (tokens <= 0) return
  state.usedShare += RATE_GAIN * (Math.min(1, tokens / expected) - state.usedShare)
  const value = milliseconds / tokens
  state.millisecondsPerToken = state.millisecondsPerToken === undefined
    ? value
    : state.millisecondsPerToken + RATE_GAIN * (value - state.millisecondsPerToken)
}

/** With as many running as now, the tokens that are ahead leave at the rate of the running answers. */
function expectedWait (state: ResourceState, request: AdmissionRequest): number {
  if (state.millisecondsPerToken === undefined) return 0
  const ahead = state.queue.costAhead(request.workspace.name, request.workspace.weight, request.priority)
  return ahead * state.usedShare * state.millisecondsPerToken / Math.max(1, state.running)
}

function expectedRun (state: ResourceState, request: AdmissionRequest): number {
  return RUN_MARGIN * (request.tokens ?? 1) * state.usedShare * (state.millisecondsPerToken ?? 0)
}

function tooLate (state: ResourceState, detail: string): Failure {
  const afterMilliseconds = state.queue.size() * (state.millisecondsPerToken ?? 0) / Math.max(1, state.running)
  return { kind: FailureKind.TimedOut, step: Step.Admission, peer: 'local', detail, afterMilliseconds }
}

function full (retryAfterMilliseconds: number): Failure {
  return { kind: FailureKind.Refused, step: Step.Admission, peer: 'local', detail: 'the queue is full', status: FULL_STATUS, retryAfterMilliseconds }
}

function limited (detail: string, retryAfterMilliseconds: number): Failure {
  return { kind: FailureKind.Refused, step: Step.Admission, peer: 'local', detail, status: LIMIT_STATUS, retryAfterMilliseconds }
}
