/**
 * The context of a request: the version under which it began, its workspace, and the components of the process that it uses.
 */
import type { EnginePort, ManifestWorkspace, RandomSource, ServicePort } from '@wigeonlead/protocol'
import type { BurnTracker } from '../process/burn.js'
import type { Logger } from '../process/logging.js'
import type { Metrics } from '../process/metrics.js'
import type { ObservedLatency } from '../process/observed-latency.js'
import type { RetryBudgets } from '../process/retry-budget.js'
import type { TargetTracker } from '../process/targets.js'
import type { CompiledVersion } from '../version/index.js'
import type { Admission } from './admission.js'
import type { Claims } from './claims/index.js'
import type { PathChooser } from './path.js'

/** Components of the process that requests use. */
export interface RequestDependencies {
  engines: EnginePort
  services: ServicePort
  random: RandomSource
  targets: TargetTracker
  paths: PathChooser
  admission: Admission
  claims: Claims
  retryBudgets: RetryBudgets
  /** Observed latencies of services' operations. */
  latencies: ObservedLatency
  metrics: Metrics
  burn: BurnTracker
  logger: Logger
  failureDomain: string
  /**
   * @returns the departure of a target, or undefined if the target stays. `untilMilliseconds` is the time at which a leaving target will
   * be gone, milliseconds since 1970, if that is known. If this function is absent, no session is moved.
   */
  departureOf?: (target: string) => { untilMilliseconds?: number } | undefined
  /** Time allowed for a request that states no deadline, milliseconds. */
  defaultDeadlineMilliseconds: number
}

/** One request, under the version with which it began. */
export interface RequestContext {
  dependencies: RequestDependencies
  version: CompiledVersion
  workspace: ManifestWorkspace
  /** @returns the version in force now; a request that was queued starts under it. */
  versionInForce: () => CompiledVersion | undefined
  /** Aborts when the caller hangs up. */
  signal: AbortSignal
  /** When the answer must be complete, milliseconds since 1970. */
  deadlineAt: number
  /** 0 is the most urgent. */
  priority: number
}
