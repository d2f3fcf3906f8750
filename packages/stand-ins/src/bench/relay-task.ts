/**
 * Messages between the relay experiment and its workers.
 */
import type { Settings } from 'wigeonlead'

/** What a worker runs. */
export enum RelayRole {
  Engine = 'engine',
  Router = 'router',
  Callers = 'callers'
}

/** The load that a worker of callers generates. */
export interface RelayLoad {
  address: string
  /** Whether the requests go to an engine directly instead of to a router. */
  isDirect: boolean
  key: string
  streams: number
  /** Number of streams that each caller reads, one after the other. */
  rounds: number
  tokens: number
}

/** What a worker of callers measured. */
export interface RelayMeasure {
  /** Time from when the engine writes a token to when the caller reads it, milliseconds. */
  delayP50: number
  delayP95: number
  delayP99: number
  tokens: number
  requests: number
  failures: number
  seconds: number
}

/** The input of a worker, by its role. */
export type RelayTask =
  | { role: RelayRole.Engine, intervalMilliseconds: number }
  | { role: RelayRole.Router, settings: Settings }
  | { role: RelayRole.Callers, load: RelayLoad }
