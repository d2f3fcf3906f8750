/**
 * What every request reads: the version that it began with, its workspace, and the parts of the process that it uses.
 */
import type { EnginePort, ManifestWorkspace, RandomSource, ServicePort } from '@wigeonlead/protocol'
import type { Burn } from '../process/burn.js'
import type { Logger } from '../process/logging.js'
import type { Metrics } from '../process/metrics.js'
import type { ObservedLatency } from '../process/observed-latency.js'
import type { RetryBudget } from '../process/retry-budget.js'
import type { TargetBoard } from '../process/targets.js'
import type { CompiledVersion } from '../version/index.js'
import type { Admission } from './admission.js'
import type { Claims } from './claims/index.js'
import type { PathChooser } from './path.js'

/** Parts of the process that requests use. */
export interface RequestParts {
  engines: EnginePort
  services: ServicePort
  random: RandomSource
  targets: TargetBoard
  paths: PathChooser
  admission: Admission
  claims: Claims
  retries: RetryBudget
  /** Latencies of services' operations. */
  latencies: ObservedLatency
  metrics: Metrics
  burn: Burn
  logger: Logger
  failureDomain: string
  /** When a leaving target will be gone, where anybody says; undefined while it stays. No session is moved when absent. */
  leaveOf?: (target: string) => { untilMilliseconds?: number } | undefined
  /** Deadline of a request that names none, milliseconds. */
  defaultDeadlineMilliseconds: number
}

/** One request in the version that it began with. */
export interface RequestContext {
  parts: RequestParts
  version: CompiledVersion
  workspace: ManifestWorkspace
  /** The version in force now, which a request that waited starts under. */
  versionInForce: () => CompiledVersion | undefined
  /** Aborts when the caller hangs up. */
  signal: AbortSignal
  /** When the answer has to be whole, milliseconds since 1970. */
  deadlineAt: number
  /** 0 is the most urgent. */
  priority: number
}
