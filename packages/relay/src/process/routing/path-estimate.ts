/**
 * Predicts when a request would begin and how evenly it would run on a path of stages, from the load of the stages.
 */
import type { AcceleratorKind, EngineProfile } from '../../version/configuration.js'

/** Size of one request, tokens. */
export interface RequestSize {
  promptTokens: number
  /** Expected length of the answer: the caller's estimate, or else the usual length. */
  answerTokens: number
}

/** What the caller of a request expects, from its route. */
export interface LatencyObjectives {
  firstEventMilliseconds: number
  /** Longest pause between two events. */
  pauseMilliseconds: number
}

/** Prediction for one request on one path. */
export interface PathEstimate {
  /** From the send to the first event. */
  firstEventMilliseconds: number
  /** Between two events, with this request on the path. */
  eventIntervalMilliseconds: number
}

/** One stage of a path, and the work that it has without the request in question. */
export interface StageLoad {
  kind: AcceleratorKind
  /** Number of layers that the path runs on the stage. */
  layerCount: number
  /** Factor by which the target is slower than usual for its kind. */
  slowness: number
  /** Requests whose path includes the target. */
  requests: number
  /** Tokens of these requests: prompts and expected answers. */
  tokens: number
  failureDomain: string
}

/** Fixed cost of each stage, milliseconds per token: the hand-over on one link. */
export const STAGE_MILLISECONDS_PER_TOKEN = 0.1
/** Delay of a crossing between failure domains, milliseconds per token. */
export const CROSSING_MILLISECONDS_PER_TOKEN = 0.6
/** Share of the pause objective that a predicted interval may take. The rest is for intervals longer than the mean. */
export const PAUSE_OBJECTIVE_SHARE = 0.9
/** Maximum number of prompt tokens that an engine reads between two events of the other requests. */
const CHUNK_TOKENS = 512
const MILLISECONDS_PER_SECOND = 1000
const TOKENS_PER_CONTEXT_UNIT = 1000

/** Times of one stage, milliseconds. */
interface StageTimes {
  /** One pass, which advances each request by one event. */
  pass: number
  /** Reading of prompts of the other requests, in one interval between two events. */
  steadyReading: number
  /** Reading of the longest chunk of the request in question. */
  ownChunk: number
  /** Time from the arrival of the request in question at the stage to the end of its prompt. */
  ownReading: number
}

/** @returns the size of a usual request. */
export function usualSize (profile: EngineProfile): RequestSize {
  return { promptTokens: profile.usualPromptTokens, answerTokens: profile.usualAnswerTokens }
}

/**
 * Predicts how a request would run.
 * @param stages the stages of the path, in order.
 * @param size size of the request; absent for a prediction of the requests that are already on the path.
 * @param pace ratio of observed to predicted intervals on the path.
 */
export function estimatePath (stages: readonly StageLoad[], profile: EngineProfile, size: RequestSize | undefined, pace = 1): PathEstimate {
  const times = stages.map(stage => stageTimes(stage, profile, size))
  const passes = sum(times, ({ pass }) => pass)
  const reading = sum(times, ({ steadyReading, ownChunk }) => steadyReading + ownChunk)
  const links = linkMilliseconds(stages, profile)
  const eventIntervalMilliseconds = pace * (passes + passWait(stages, times, passes) + reading + links)
  const ownReading = sum(times, time => time.ownReading + time.steadyReading)
  return { eventIntervalMilliseconds, firstEventMilliseconds: pace * ownReading + eventIntervalMilliseconds }
}

/**
 * Whether a path has room for one more request under the pause objective. A path without requests has room always, so that each request
 * starts in the end. The objective sets no limit where a path without load at its usual speed breaks it.
 * @param estimate prediction with the request on the path.
 */
export function isWithinPause (
  stages: readonly StageLoad[], profile: EngineProfile, estimate: PathEstimate, objectives: LatencyObjectives
): boolean {
  const limit = objectives.pauseMilliseconds * PAUSE_OBJECTIVE_SHARE
  if (estimate.eventIntervalMilliseconds <= limit || stages.every(({ requests }) => requests === 0)) return true
  const unloaded = stages.map(stage => ({ ...stage, slowness: 1, requests: 0, tokens: 0 }))
  return estimatePath(unloaded, profile, usualSize(profile)).eventIntervalMilliseconds > limit
}

function stageTimes (stage: StageLoad, profile: EngineProfile, size: RequestSize | undefined): StageTimes {
  const speed = stage.slowness * stage.layerCount / profile.layers
  const usualAnswerTokens = Math.max(1, profile.usualAnswerTokens)
  // What exceeds usual answers are prompts: a long expected answer is rare, and the counts do not tell the two apart.
  const promptTokens = Math.max(0, stage.tokens - stage.requests * usualAnswerTokens)
  // A request is half-way through its answer on average.
  const ownContext = size === undefined ? 0 : size.promptTokens + size.answerTokens / 2
  const contextTokens = promptTokens + stage.requests * usualAnswerTokens / 2 + ownContext
  const writers = stage.requests + (size === undefined ? 0 : 1)
  const step = profile.stepMilliseconds + profile.stepPerRequestMilliseconds * writers +
    (profile.contextStepMilliseconds ?? 0) * contextTokens / TOKENS_PER_CONTEXT_UNIT
  const pass = step * profile.tokensPerEvent * stage.kind.stepFactor * speed
  const perPromptToken = MILLISECONDS_PER_SECOND / profile.prefillTokensPerSecond * stage.kind.prefillFactor * speed
  const ownPromptTokens = size?.promptTokens ?? 0
  const chunks = Math.ceil(ownPromptTokens / CHUNK_TOKENS)
  return {
    pass,
    // Each prompt is read once in the time of its answer.
    steadyReading: promptTokens * profile.tokensPerEvent / usualAnswerTokens * perPromptToken,
    ownChunk: Math.min(CHUNK_TOKENS, ownPromptTokens) * perPromptToken,
    ownReading: ownPromptTokens * perPromptToken + (stage.requests === 0 ? 0 : chunks * pass)
  }
}

/** @returns the mean wait for passes in progress, milliseconds: half a pass where a stage is busy, weighted with its share of the time. */
function passWait (stages: readonly StageLoad[], times: readonly StageTimes[], passes: number): number {
  return passes === 0 ? 0 : sum(times, ({ pass }, index) => stages[index]!.requests === 0 ? 0 : pass * pass / (2 * passes))
}

function linkMilliseconds (stages: readonly StageLoad[], profile: EngineProfile): number {
  const crossings = stages.filter(({ failureDomain }, index) => index > 0 && failureDomain !== stages[index - 1]!.failureDomain).length
  return (stages.length * STAGE_MILLISECONDS_PER_TOKEN + crossings * CROSSING_MILLISECONDS_PER_TOKEN) * profile.tokensPerEvent
}

function sum<Item> (items: readonly Item[], read: (item: Item, index: number) => number): number {
  return items.reduce((total, item, index) => total + read(item, index), 0)
}
