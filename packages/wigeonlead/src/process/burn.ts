/**
 * Service-level burn: counts what was good and bad for each objective of the manifest in bounded windows.
 */
import {
  BURN_WINDOWS_MINUTES, ObjectiveKind, ResourceKind, burnRate, type ManifestObjectives, type ObjectiveBurn
} from '@wigeonlead/protocol'
import { createBurnCounter, type BurnCounter } from './burn-counter.js'

/** How a request ended, as the objectives see it. */
export enum RequestEnd {
  /** Answered in full. */
  Answered = 'answered',
  /** Refused or broken off on the router's or a target's account. */
  Failed = 'failed',
  /** The caller's own doing: a faulty request, a reached limit, a caller that hung up. */
  NotCounted = 'not-counted'
}

/** Follows one request to its end. */
export interface BurnMeter {
  /** Notes that a token was delivered. */
  token: () => void
  /** Ends the request; later calls do nothing. */
  end: (end: RequestEnd) => void
}

/** What a request is for. */
export interface BurnResource {
  kind: ResourceKind
  name: string
  /** Nothing is counted when absent. */
  objectives?: ManifestObjectives
}

/** The burn at one node. */
export interface Burn {
  /** Follows a request that begins now. */
  begin: (resource: BurnResource) => BurnMeter
  /** @returns the objectives that something was counted for within the longest window. */
  report: () => ObjectiveBurn[]
  /** Renders burn rates in the Prometheus text format. */
  renderMetrics: () => string
}

const SILENT_METER: BurnMeter = { token: () => {}, end: () => {} }
/** Objectives that are kept at most; those that were silent longest go first. */
const MAXIMUM_COUNTERS = 1024

/** Makes an empty burn. */
export function createBurn (): Burn {
  const counters = new Map<string, { counter: BurnCounter, burn: Omit<ObjectiveBurn, 'windows' | 'series'> }>()

  function counterOf (resource: BurnResource, objective: ObjectiveKind, share: number, limitMilliseconds?: number): BurnCounter {
    const key = `${resource.kind} ${resource.name} ${objective}`
    const known = counters.get(key)
    const counter = known?.counter ?? createBurnCounter()
    counters.delete(key)
    counters.set(key, { counter, burn: { resource: resource.kind, name: resource.name, objective, share, limitMilliseconds } })
    const oldest = counters.keys().next().value
    if (counters.size > MAXIMUM_COUNTERS && oldest !== undefined) counters.delete(oldest)
    return counter
  }

  function begin (resource: BurnResource): BurnMeter {
    const objectives = resource.objectives
    if (objectives === undefined) return SILENT_METER
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
  let firstTokenAfter: number | undefined
  let goodGaps = 0
  let badGaps = 0
  let isEnded = false

  function recordTime (objective: ObjectiveKind, limit: number | undefined, after: number | undefined): void {
    if (limit === undefined || after === undefined) return
    record(objective, limit, after <= limit ? 1 : 0, after <= limit ? 0 : 1)
  }

  return {
    token () {
      const now = performance.now()
      if (lastTokenAt === undefined) firstTokenAfter = now - startedAt
      else if (betweenTokensMilliseconds === undefined || now - lastTokenAt <= betweenTokensMilliseconds) goodGaps += 1
      else badGaps += 1
      lastTokenAt = now
    },
    end (end) {
      if (isEnded) return
      isEnded = true
      recordTime(ObjectiveKind.FirstToken, firstTokenMilliseconds, firstTokenAfter)
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
