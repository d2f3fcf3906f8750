/**
 * Messages between the relay experiment and its workers.
 */
import type { Settings } from 'wigeonlead'

/** What a worker is. */
export enum RelayRole {
  Engine = 'engine',
  Router = 'router',
  Callers = 'callers'
}

/** What the callers' worker is asked for. */
export interface RelayLoad {
  address: string
  /** Asks the engine itself instead of a router. */
  isDirect: boolean
  key: string
  streams: number
  /** Streams that each caller reads one after the other. */
  rounds: number
  tokens: number
}

/** What the callers' worker measured. */
export interface RelayMeasure {
  /** Time from the engine's writing of a token to the caller's reading of it, milliseconds. */
  delayP50: number
  delayP95: number
  delayP99: number
  tokens: number
  requests: number
  failures: number
  seconds: number
}

/** What a worker of each role is given. */
export type RelayTask =
  | { role: RelayRole.Engine, intervalMilliseconds: number }
  | { role: RelayRole.Router, settings: Settings }
  | { role: RelayRole.Callers, load: RelayLoad }
