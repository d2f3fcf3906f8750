/**
 * Error budget burn: counts good and bad events for each service-level objective of the manifest, over sliding windows of bounded size.
 */
import {
  BURN_WINDOWS_MINUTES, ObjectiveKind, ResourceKind, burnRate, type ManifestObjectives, type ObjectiveBurn
} from '@wigeonlead/protocol'
import { createBurnCounter, type BurnCounter } from './burn-counter.js'

/** How a request ended, with regard to the objectives. */
export enum RequestEnd {
  /** Answered in full. */
  Answered = 'answered',
  /** Refused or aborted because of the router or a target. */
  Failed = 'failed',
  /** Caused by the caller: a faulty request, a reached limit or a disconnect. Only the times of its delivered tokens are counted. */
  NotCounted = 'not-counted'
}

/** Measures one request until it ends. */
export interface BurnMeter {
  /** Records that a token was delivered. */
  recordToken: () => void
  /** Ends the request; later calls do nothing. */
  end: (end: RequestEnd) => void
}

/** The model or service that a request uses. */
export interface BurnResource {
  kind: ResourceKind
  name: string
  /** Without objectives nothing is counted. */
  objectives?: ManifestObjectives
}

/** Tracks the burn of all objectives at one node. */
export interface BurnTracker {
  /** Starts to measure a request that begins now. */
  begin: (resource: BurnResource) => BurnMeter
  /** @returns the objectives that have events within the longest window. */
  report: () => ObjectiveBurn[]
  /** Renders burn rates in the Prometheus text format. */
  renderMetrics: () => string
}

const NO_OP_METER: BurnMeter = { recordToken: () => {}, end: () => {} }
/** Maximum number of counters; beyond it the least recently updated one is dropped. */
const MAXIMUM_COUNTERS = 1024

/** Creates a tracker without counts. */
export function createBurnTracker (): BurnTracker {
  const counters = new Map<string, { counter: BurnCounter, burn: Omit<ObjectiveBurn, 'windows' | 'series'> }>()

  function counterOf (resource: BurnResource, objective: ObjectiveKind, share: number, limitMilliseconds?: number): BurnCounter {
    const key = `${resource.kind} ${resource.name} ${objective}`
    const existing = counters.get(key)
    const counter = existing?.counter ?? createBurnCounter()
    counters.delete(key)
    counters.set(key, { counter, burn: { resource: resource.kind, name: resource.name, objective, share, limitMilliseconds } })
    const oldest = counters.keys().next().value
    if (counters.size > MAXIMUM_COUNTERS && oldest !== undefined) counters.delete(oldest)
    return counter
  }

  function begin (resource: BurnResource): BurnMeter {
    const objectives = resource.objectives
    if (objectives === undefined) return NO_OP_METER
    return createMeter(objectives, (objective, limit, good, bad) => {
      const share = objective === ObjectiveKind.Availability ? objectives.availability : objectives.latencyShare
      counterOf(resource, objective, share, limit).record(good, bad)
    })
  }

  function report (): ObjectiveBurn[] {
    const burns = [...counters.values()].map(({ counter, burn }) => ({ ...burn, windows: counter.windows(), series: counter.series() }))
    return burns.filter(({ windows }) => windows.some(({ good, bad }) => good + bad > 0))
  }

  return { begin, report, renderMetrics: () => renderRates(report()) }
}

type RecordCounts = (objective: ObjectiveKind, limitMilliseconds: number | undefined, good: number, bad: number) => void

function createMeter (objectives: ManifestObjectives, record: RecordCounts): BurnMeter {
  const { firstTokenMilliseconds, betweenTokensMilliseconds, answerMilliseconds } = objectives
  const startedAt = performance.now()
  let lastTokenAt: number | undefined
  let firstTokenElapsed: number | undefined
  let goodGaps = 0
  let badGaps = 0
  let isEnded = false

  function recordTime (objective: ObjectiveKind, limit: number | undefined, elapsed: number | undefined): void {
    if (limit === undefined || elapsed === undefined) return
    record(objective, limit, elapsed <= limit ? 1 : 0, elapsed <= limit ? 0 : 1)
  }

  return {
    recordToken () {
      const now = performance.now()
      if (lastTokenAt === undefined) firstTokenElapsed = now - startedAt
      else if (betweenTokensMilliseconds === undefined || now - lastTokenAt <= betweenTokensMilliseconds) goodGaps += 1
      else badGaps += 1
      lastTokenAt = now
    },
    end (end) {
      if (isEnded) return
      isEnded = true
      recordTime(ObjectiveKind.FirstToken, firstTokenMilliseconds, firstTokenElapsed)
      if (betweenTokensMilliseconds !== undefined && goodGaps + badGaps > 0) {
        record(ObjectiveKind.BetweenTokens, betweenTokensMilliseconds, goodGaps, badGaps)
      }
      if (end === RequestEnd.NotCounted) return
      const isAnswered = end === RequestEnd.Answered
      record(ObjectiveKind.Availability, undefined, isAnswered ? 1 : 0, isAnswered ? 0 : 1)
      if (isAnswered) recordTime(ObjectiveKind.Answer, answerMilliseconds, performance.now() - startedAt)
    }
  }
}

function renderRates (burns: ObjectiveBurn[]): string {
  return burns.flatMap(({ resource, name, objective, share, windows }) => windows.map((counts, index) => {
    const labels = `${resource}=${JSON.stringify(name)},objective="${objective}",window="${BURN_WINDOWS_MINUTES[index]}m"`
    return `wigeonlead_burn_rate{${labels}} ${burnRate(counts, share)}\n`
  })).join('')
}
