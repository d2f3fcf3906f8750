/**
 * State of one admitted request, and the components that handle requests.
 */
import type { CallerTerms, Dialect } from '../connection/dialect.js'
import type { EngineClient } from '../connection/engine-client.js'
import type { Exchange } from '../connection/callers.js'
import type { TargetClient } from '../connection/target-client.js'
import type { ConfigurationState } from '../process/configuration-state.js'
import type { FreshnessCheck } from '../process/freshness.js'
import type { Directory } from '../process/directory.js'
import type { DomainShares } from '../process/routing/domain-share.js'
import type { Load } from '../process/routing/load.js'
import type { PathFinder } from '../process/routing/path-finder.js'
import type { AnsweredRuns } from '../process/suspicion/answered-runs.js'
import type { ContentQuarantine, RequestContent } from '../process/suspicion/content-quarantine.js'
import type { PeerChoice } from '../process/membership/peer-choice.js'
import type { RelayLog } from '../process/relay-log.js'
import type { Admission, AdmissionLevel } from '../process/admission/admission.js'
import type { Repeats } from '../process/admission/repeat-loans.js'
import type { StreamWatch } from '../process/suspicion/stream-watch.js'
import type { TargetEnds } from '../process/suspicion/target-ends.js'
import type { TargetLife } from '../process/suspicion/target-life.js'
import type { TargetReach } from '../process/suspicion/target-reach.js'
import type { Metrics } from 'wigeonlead'
import type { HandOverTerms } from './ledger.js'
import type { Route, Service, Workspace } from '../version/configuration.js'

/** Components that handle requests; they exist for the lifetime of the process. */
export interface RequestDependencies {
  dialect: Dialect
  configurationState: ConfigurationState
  freshness: FreshnessCheck
  directory: Directory
  paths: PathFinder
  load: Load
  targets: TargetClient
  engines: EngineClient
  /** @returns milliseconds until this VM may send a request to a target, by the pause and the rate that it asked for; 0 for now. */
  sendWait: (incarnation: string) => number
  targetEnds: TargetEnds
  targetLife: Pick<TargetLife, 'verify'>
  reach: TargetReach
  peerChoice: PeerChoice
  /** Sends requests to peers that handle them in place of this VM. */
  peerRequests: Pick<TargetClient, 'send'>
  contentQuarantine: ContentQuarantine
  answeredRuns: AnsweredRuns
  domainShares: Pick<DomainShares, 'choose'>
  repeats: Repeats
  admission: Admission
  /** Learns how admitted requests end. */
  level: Pick<AdmissionLevel, 'recordEnd'>
  watch: StreamWatch
  log: RelayLog
  metrics: Metrics
  failureDomain: string
  nextFloat: () => number
}

/** A request that has passed the checks of route and key and may be sent to targets. */
export interface AdmittedRequest {
  exchange: Exchange
  requestId: string
  terms: CallerTerms
  route: Route
  service: Service
  workspace?: Workspace
  /** Which targets the VM that has handed the request over allows; absent if none has, or if it states no terms. */
  handOver?: HandOverTerms
  /** @returns the digest of what the caller asks for: the same for all attempts with the same path, workspace and body. */
  contentDigest: () => string
  version: number
  /** Random number from 0 to 1 that decides which failure domain serves it, the same for all its searches. */
  domainDraw: number
  /** Monotonic time at which the first VM received the request from its caller, milliseconds. */
  arrivedAt: number
  /** Monotonic time by which the caller must have its answer, milliseconds. */
  deadline: number
}

/** Part of the remaining time that is reserved for the answer's transit back to the caller, milliseconds. */
export const ANSWER_TRANSIT_MILLISECONDS = 5

/** @returns milliseconds until the deadline of a request. */
export function remainingTime (request: AdmittedRequest): number {
  return request.deadline - performance.now()
}

/** @returns what of a request may crash targets. */
export function contentOf (request: AdmittedRequest): RequestContent {
  return { service: request.service.name, parts: request.terms.sharedPromptParts ?? [], digest: request.contentDigest }
}

/** @returns the urgency sent to targets, 0 (most urgent) to 9: the workspace's priority, or else the route's. */
export function urgencyOf (request: Pick<AdmittedRequest, 'route' | 'workspace'>): number {
  return Math.max(0, Math.min(9, request.workspace?.priority ?? request.route.priority))
}
