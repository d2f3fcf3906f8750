/**
 * Tasks and results of the worker threads of the relay experiment.
 */
import type { Settings } from 'wigeonlead'

/** What a worker thread runs. */
export enum RelayRole {
  Engine = 'engine',
  Router = 'router',
  Callers = 'callers'
}

/** The load that one worker thread of callers generates. */
export interface RelayLoad {
  address: string
  /** Whether the requests go to an engine directly instead of to a router. */
  isDirect: boolean
  key: string
  /** Number of concurrent callers; each reads one stream at a time. */
  callers: number
  /** Number of streams that each caller reads, one after the other. */
  streamsPerCaller: number
  tokensPerStream: number
}

/** What one worker thread of callers measured. */
export interface RelayMeasure {
  /** Percentiles of the time from when the engine writes a token to when the caller reads it. */
  delayP50Milliseconds: number
  delayP95Milliseconds: number
  delayP99Milliseconds: number
  tokens: number
  /** Number of streams that delivered all of their tokens. */
  requests: number
  /** Number of streams that broke or delivered fewer tokens. */
  failures: number
  seconds: number
}

/** The input of a worker thread, by its role. */
export type RelayTask =
  | { role: RelayRole.Engine, intervalMilliseconds: number }
  | { role: RelayRole.Router, settings: Settings }
  | { role: RelayRole.Callers, load: RelayLoad }
