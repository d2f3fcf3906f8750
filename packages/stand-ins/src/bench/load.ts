/**
 * Generates callers' load, closed or open loop, and records what the callers observe.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { CallerResponse } from 'wigeonlead'
import { createMillisecondRounder } from '../carry.js'
import { referenceAnswer } from '../engine/model.js'
import { pause } from './clock.js'
import { MODEL, type Fleet } from './fleet.js'
import { LAYERS, PROMPT_CHARACTERS } from './hardware.js'

/** Options of a load. */
export interface LoadOptions {
  seed: number
  workspace: string
  durationMilliseconds: number
  /** Time at the start of the run that is left out of the results. */
  warmUpMilliseconds: number
  /** Closed loop: number of callers that each send the next request as soon as the previous one has ended. */
  callers?: number
  /** Open loop: mean rate of requests, which are sent at random times. */
  requestsPerSecond?: number
  /** Deadline that callers set for each answer. */
  deadlineMilliseconds?: number
  /** How often a refused request is retried. Open-loop callers retry at once; closed-loop callers pause first. */
  retries?: number
}

/** What the callers observed. */
export interface LoadResult {
  sent: number
  /** Answers that ended within the measured time and were not refused. */
  completed: number
  /** Requests that were refused, and answers that ended with an error event. */
  refused: number
  /** Answers that differ from the model's, or that ended early without an error event. */
  wrong: number
  tokens: number
  completedPerSecond: number
  /** Time from the request to the first token, milliseconds. */
  firstToken: Histogram
  /** Time between two tokens, milliseconds. */
  betweenTokens: Histogram
  /** Time from the request to the end of the answer, milliseconds. */
  answer: Histogram
  /** Longest pause between two tokens of each answer that was not refused, milliseconds. */
  longestGaps: number[]
}

/** Number of different prefixes of the prompts of a workspace. */
const PREFIX_COUNT = 40
const PREFIX_CHARACTERS = 400

/** Runs a load and waits for the last answers. */
export async function runLoad (fleet: Fleet, options: LoadOptions): Promise<LoadResult> {
  const generator = xoroshiro128plus(options.seed)
  const random = (): number => uniformFloat64(generator)
  const result = createEmptyResult()
  const startedAt = Date.now()
  const endsAt = startedAt + options.durationMilliseconds
  const measuredFrom = startedAt + options.warmUpMilliseconds
  let sequence = 0

  async function sendRequest (): Promise<void> {
    const router = fleet.routers[sequence % fleet.routers.length]
    const prompt = createPrompt(random, options.workspace, sequence++)
    for (let attempt = 0; attempt <= (options.retries ?? 0) && Date.now() < endsAt; attempt += 1) {
      const isMeasured = Date.now() >= measuredFrom
      const observed = await sendPrompt(router, options, prompt)
      if (isMeasured) recordAnswer(result, observed, prompt)
      if (!observed.isRefused && observed.endedAt >= measuredFrom && observed.endedAt <= endsAt) result.completed += 1
      if (!observed.isRefused) return
      if (options.callers !== undefined) await pause(RETRY_PAUSE_MILLISECONDS)
    }
  }

  async function runCaller (): Promise<void> {
    await pause(random() * START_JITTER_MILLISECONDS)
    while (Date.now() < endsAt) await sendRequest()
  }

  if (options.callers !== undefined) await Promise.all(Array.from({ length: options.callers }, runCaller))
  else await runOpenLoop(sendRequest, options.requestsPerSecond ?? 1, endsAt, random)
  result.completedPerSecond = result.completed / ((options.durationMilliseconds - options.warmUpMilliseconds) / 1000)
  return result
}

const START_JITTER_MILLISECONDS = 500
const RETRY_PAUSE_MILLISECONDS = 100

async function runOpenLoop (sendRequest: () => Promise<void>, rate: number, endsAt: number, random: () => number): Promise<void> {
  const running: Array<Promise<void>> = []
  const roundMilliseconds = createMillisecondRounder()
  while (Date.now() < endsAt) {
    running.push(sendRequest())
    await pause(roundMilliseconds(-Math.log(1 - random()) * 1000 / rate))
  }
  await Promise.all(running)
}

interface ObservedAnswer {
  texts: string[]
  isFinished: boolean
  isRefused: boolean
  firstTokenMilliseconds: number
  gaps: number[]
  durationMilliseconds: number
  endedAt: number
}

async function sendPrompt (router: Fleet['routers'][number] | undefined, options: LoadOptions, prompt: string): Promise<ObservedAnswer> {
  const startedAt = Date.now()
  const observed: ObservedAnswer = {
    texts: [], isFinished: false, isRefused: false, firstTokenMilliseconds: 0, gaps: [], durationMilliseconds: 0, endedAt: 0
  }
  const response = await router?.handle({
    method: 'POST',
    url: '/v1/completions',
    headers: {
      authorization: `Bearer ${options.workspace}`,
      'wigeonlead-deadline-milliseconds': String(options.deadlineMilliseconds ?? DEADLINE_MILLISECONDS)
    },
    body: Buffer.from(JSON.stringify({ model: MODEL.model, prompt, stream: true, max_tokens: MAXIMUM_TOKENS })),
    signal: new AbortController().signal
  })
  if (response === undefined || response.status !== 200) observed.isRefused = true
  else await readAnswer(response, observed, startedAt)
  observed.endedAt = Date.now()
  observed.durationMilliseconds = observed.endedAt - startedAt
  return observed
}

const DEADLINE_MILLISECONDS = 10_000
const MAXIMUM_TOKENS = 64

async function readAnswer (response: CallerResponse, observed: ObservedAnswer, startedAt: number): Promise<void> {
  let previousAt = startedAt
  for await (const chunk of response.body as AsyncIterable<string>) {
    if (chunk.includes('event: error')) observed.isRefused = true
    if (chunk.includes('data: [DONE]')) observed.isFinished = true
    const text = /"text":"([^"]+)"/.exec(chunk)?.[1]
    if (text === undefined) continue
    const arrivedAt = Date.now()
    if (observed.texts.length === 0) observed.firstTokenMilliseconds = arrivedAt - startedAt
    else observed.gaps.push(arrivedAt - previousAt)
    observed.texts.push(text)
    previousAt = arrivedAt
  }
}

function recordAnswer (result: LoadResult, observed: ObservedAnswer, prompt: string): void {
  result.sent += 1
  const expected = referenceAnswer(MODEL, LAYERS, prompt, MAXIMUM_TOKENS).map(token => token.text)
  const isPrefixOfExpected = observed.texts.every((text, index) => text === expected[index])
  if (!isPrefixOfExpected || (!observed.isRefused && (!observed.isFinished || observed.texts.length !== expected.length))) result.wrong += 1
  if (observed.isRefused) {
    result.refused += 1
    return
  }
  result.tokens += observed.texts.length
  result.firstToken.recordValue(Math.max(0, observed.firstTokenMilliseconds))
  for (const gap of observed.gaps) result.betweenTokens.recordValue(Math.max(0, gap))
  result.answer.recordValue(Math.max(0, observed.durationMilliseconds))
  result.longestGaps.push(Math.max(0, ...observed.gaps))
}

function createEmptyResult (): LoadResult {
  const histogram = (): Histogram => build({ bitBucketSize: 32, numberOfSignificantValueDigits: 3, highestTrackableValue: 3_600_000 })
  return {
    sent: 0,
    completed: 0,
    refused: 0,
    wrong: 0,
    tokens: 0,
    completedPerSecond: 0,
    firstToken: histogram(),
    betweenTokens: histogram(),
    answer: histogram(),
    longestGaps: []
  }
}

/** @returns a prompt that begins with one of the workspace's shared prefixes; prefixes with low numbers are more frequent. */
function createPrompt (random: () => number, workspace: string, sequence: number): string {
  const prefix = Math.floor(random() ** 2 * PREFIX_COUNT)
  const unique = `${workspace} ${sequence} ${Math.floor(random() * 1e9)}`
  return `letter ${prefix} of ${workspace}. `.padEnd(PREFIX_CHARACTERS, 'Tenants report damp. ') +
    unique.padEnd(PROMPT_CHARACTERS - PREFIX_CHARACTERS, '.')
}
