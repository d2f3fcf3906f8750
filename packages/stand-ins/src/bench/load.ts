/**
 * Callers' load, closed or open loop, and what the callers saw.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { CallerResponse } from 'wigeonlead'
import { createCarry } from '../carry.js'
import { referenceAnswer } from '../engine/model.js'
import { pause } from './clock.js'
import { MODEL, type Fleet } from './fleet.js'
import { LAYERS, PROMPT_CHARACTERS } from './hardware.js'

/** Options of a load. */
export interface LoadOptions {
  seed: number
  workspace: string
  durationMilliseconds: number
  /** What is left out of the figures at the beginning, milliseconds. */
  warmUpMilliseconds: number
  /** Callers that each send the next request at once; for a closed loop. */
  callers?: number
  /** Requests a second at random times; for an open loop. */
  requestsPerSecond?: number
  /** How long a caller waits for an answer, milliseconds. */
  deadlineMilliseconds?: number
  /** Sends a refused request again so often, at once, as a careless caller does. */
  repeats?: number
}

/** What the callers saw. */
export interface LoadResult {
  sent: number
  /** Answers that were whole within the measured time. */
  whole: number
  refused: number
  /** Answers that are not the model's, or that ended by silence: broken promises. */
  wrong: number
  tokens: number
  wholePerSecond: number
  firstToken: Histogram
  betweenTokens: Histogram
  answer: Histogram
  /** Longest pause between two tokens of each answer that went on. */
  longestGaps: number[]
}

const PREFIXES = 40
const PREFIX_LENGTH = 400

/** Runs a load to its end, the last answers included. */
export async function runLoad (fleet: Fleet, options: LoadOptions): Promise<LoadResult> {
  const generator = xoroshiro128plus(options.seed)
  const random = (): number => uniformFloat64(generator)
  const result = emptyResult()
  const startedAt = Date.now()
  const endsAt = startedAt + options.durationMilliseconds
  const measuredFrom = startedAt + options.warmUpMilliseconds
  let sequence = 0

  async function once (): Promise<void> {
    const router = fleet.routers[sequence % fleet.routers.length]
    const prompt = createPrompt(random, options.workspace, sequence++)
    for (let tries = 0; tries <= (options.repeats ?? 0) && Date.now() < endsAt; tries += 1) {
      const isMeasured = Date.now() >= measuredFrom
      const seen = await ask(router, options, prompt)
      if (isMeasured) record(result, seen, prompt)
      if (!seen.isRefused && seen.endedAt >= measuredFrom && seen.endedAt <= endsAt) result.whole += 1
      if (!seen.isRefused) return
      if (options.callers !== undefined) await pause(REFUSED_PAUSE_MILLISECONDS)
    }
  }

  async function loop (): Promise<void> {
    await pause(random() * SPREAD_MILLISECONDS)
    while (Date.now() < endsAt) await once()
  }

  if (options.callers !== undefined) await Promise.all(Array.from({ length: options.callers }, loop))
  else await openLoop(once, options.requestsPerSecond ?? 1, endsAt, random)
  result.wholePerSecond = result.whole / ((options.durationMilliseconds - options.warmUpMilliseconds) / 1000)
  return result
}

const SPREAD_MILLISECONDS = 500
const REFUSED_PAUSE_MILLISECONDS = 100

async function openLoop (once: () => Promise<void>, rate: number, endsAt: number, random: () => number): Promise<void> {
  const running: Array<Promise<void>> = []
  const carry = createCarry()
  while (Date.now() < endsAt) {
    running.push(once())
    await pause(carry(-Math.log(1 - random()) * 1000 / rate))
  }
  await Promise.all(running)
}

interface Seen {
  texts: string[]
  isFinished: boolean
  isRefused: boolean
  firstTokenMilliseconds: number
  gaps: number[]
  milliseconds: number
  endedAt: number
}

async function ask (router: Fleet['routers'][number] | undefined, options: LoadOptions, prompt: string): Promise<Seen> {
  const startedAt = Date.now()
  const seen: Seen = { texts: [], isFinished: false, isRefused: false, firstTokenMilliseconds: 0, gaps: [], milliseconds: 0, endedAt: 0 }
  const response = await router?.handle({
    method: 'POST',
    url: '/v1/completions',
    headers: {
      authorization: `Bearer ${options.workspace}`,
      'wigeonlead-deadline-milliseconds': String(options.deadlineMilliseconds ?? DEADLINE_MILLISECONDS)
    },
    body: Buffer.from(JSON.stringify({ model: MODEL.model, prompt, stream: true, max_tokens: MOST_TOKENS })),
    signal: new AbortController().signal
  })
  if (response === undefined || response.status !== 200) seen.isRefused = true
  else await readAnswer(response, seen, startedAt)
  seen.endedAt = Date.now()
  seen.milliseconds = seen.endedAt - startedAt
  return seen
}

const DEADLINE_MILLISECONDS = 10_000
const MOST_TOKENS = 64

async function readAnswer (response: CallerResponse, seen: Seen, startedAt: number): Promise<void> {
  let before = startedAt
  for await (const piece of response.body as AsyncIterable<string>) {
    if (piece.includes('event: error')) seen.isRefused = true
    if (piece.includes('data: [DONE]')) seen.isFinished = true
    const text = /"text":"([^"]+)"/.exec(piece)?.[1]
    if (text === undefined) continue
    const at = Date.now()
    if (seen.texts.length === 0) seen.firstTokenMilliseconds = at - startedAt
    else seen.gaps.push(at - before)
    seen.texts.push(text)
    before = at
  }
}

function record (result: LoadResult, seen: Seen, prompt: string): void {
  result.sent += 1
  const right = referenceAnswer(MODEL, LAYERS, prompt, MOST_TOKENS).map(token => token.text)
  const isPrefix = seen.texts.every((text, index) => text === right[index])
  if (!isPrefix || (!seen.isRefused && (!seen.isFinished || seen.texts.length !== right.length))) result.wrong += 1
  if (seen.isRefused) {
    result.refused += 1
    return
  }
  result.tokens += seen.texts.length
  result.firstToken.recordValue(Math.max(0, seen.firstTokenMilliseconds))
  for (const gap of seen.gaps) result.betweenTokens.recordValue(Math.max(0, gap))
  result.answer.recordValue(Math.max(0, seen.milliseconds))
  result.longestGaps.push(Math.max(0, ...seen.gaps))
}

function emptyResult (): LoadResult {
  const histogram = (): Histogram => build({ bitBucketSize: 32, numberOfSignificantValueDigits: 3, highestTrackableValue: 3_600_000 })
  return {
    sent: 0,
    whole: 0,
    refused: 0,
    wrong: 0,
    tokens: 0,
    wholePerSecond: 0,
    firstToken: histogram(),
    betweenTokens: histogram(),
    answer: histogram(),
    longestGaps: []
  }
}

function createPrompt (random: () => number, workspace: string, sequence: number): string {
  const prefix = Math.floor(random() ** 2 * PREFIXES)
  const unique = `${workspace} ${sequence} ${Math.floor(random() * 1e9)}`
  return `letter ${prefix} of ${workspace}. `.padEnd(PREFIX_LENGTH, 'Tenants report damp. ') + unique.padEnd(PROMPT_CHARACTERS - PREFIX_LENGTH, '.')
}
