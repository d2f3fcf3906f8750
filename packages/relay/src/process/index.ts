/**
 * State and services that live as long as the process.
 */
export { createConfigurationState, type ConfigurationState, type ConfigurationStateDependencies, type VersionInForce } from './configuration-state.js'
export { createDirectory, type Directory } from './directory.js'
export { createFreshnessCheck, type FreshnessCheck, type FreshnessDependencies } from './freshness.js'
export { ageOf, presentInstant, type Instant } from './instant.js'
export {
  SHARE_INTERVAL_MILLISECONDS, createDomainShares, nextShares, type DomainShareReport, type DomainShares, type DomainSharesDependencies
} from './routing/domain-share.js'
export {
  crossingCost, domainStates, predictWait, type DomainCapacity, type DomainState, type LeavingTerms
} from './routing/domain-state.js'
export { createLoad, type Load, type Reservation } from './routing/load.js'
export { createMirrorRelay, type MirrorRelay, type RelayedPage } from './membership/mirror-relay.js'
export { createPace, type Pace } from './routing/pace.js'
export {
  PAUSE_OBJECTIVE_SHARE, estimatePath, isWithinPause, type LatencyObjectives, type PathEstimate, type RequestSize, type StageLoad
} from './routing/path-estimate.js'
export { assignChains } from './routing/chains.js'
export { PathStanding, createPathFinder, type FoundPath, type PathFinder, type PathQuery, type RankedPath } from './routing/path-finder.js'
export { createCoordinatorDuty, type CoordinatorDuty, type CoordinatorDutyTerms } from './placement/coordinator-duty.js'
export { createCoordinatorLease, type CoordinatorLease } from './placement/lease.js'
export { createPlanner, type Planner } from './placement/planner.js'
export { createServiceCards, type ServiceCards } from './placement/service-cards.js'
export { gapsOf, planChain, type Card, type LayerSpan, type Placement } from './placement/cards.js'
export { isUnderReplicated, planInitial, planRepair, type LayoutStability } from './placement/plan.js'
export { RelayEvent, SILENT_RELAY_LOG, createRelayLog, type RelayLog, type RelayLogFields } from './relay-log.js'
export { createRateLimits, type RateLimits, type RateLimitsDependencies, type RateStatement, type Sender } from './suspicion/rate-limits.js'
export {
  AdmissionResult, RefusalReason, type Admission, type AdmissionLevel, type AdmissionOutcome, type AdmissionTicket, type Rank,
  type SteppedAdmissionLevel
} from './admission/admission.js'
export { createAdmission, type AdmissionDependencies } from './admission/create-admission.js'
export { createReturnTimes, type ReturnTimes } from './admission/return-times.js'
export { createWaitingQueue, type WaitingEntry, type WaitingQueue } from './admission/waiting-queue.js'
export { createAdmissionLevel, floorAt, levelFor, nextLevel, shareOf, type LevelDependencies, type LevelSettings, type LevelSignals, type LevelState } from './admission/level.js'
export { createWorkspaceShares, type WorkspaceShares } from './admission/workspace-shares.js'
export { OPEN_LEVEL, createDemand, type Demand, type DemandDependencies, type DomainDemand, type RankDemand, type ServiceDemand } from './membership/demand.js'
export { LOAN_EXPIRY_MILLISECONDS, createRepeatBudget, type RepeatBudget, type RepeatBudgetBounds } from './admission/repeat-budget.js'
export { createRepeatLoans, type Repeats, type RepeatLoansDependencies } from './admission/repeat-loans.js'
export { serveRelay, type RunningRelay } from './serve.js'
export { createStreamWatch, type StreamWatch, type WatchedRun } from './suspicion/stream-watch.js'
export { checkRelaySettings, relaySettingsSchema, type RelaySettings, type RelaySettingsCheck } from './settings.js'
export { createPeerChoice, type PeerChoice } from './membership/peer-choice.js'
export { createPeers, type Peer, type Peers, type PeersDependencies } from './membership/peers.js'
export {
  SubjectKind, Verdict, judge, judgeAnswered, judgeRequest, lossKey, mergeEvidence, openLosses, type ContentEvidence, type TargetLoss
} from './suspicion/content-evidence.js'
export { createAnsweredRuns, type AnsweredRun, type AnsweredRuns } from './suspicion/answered-runs.js'
export { createOperatorsListener, type OperatorsView } from './operators-listener.js'
export {
  explainRoute, type ExplainDependencies, type ExplainedPath, type ExplainedTarget, type RouteExplanation, type RouteFault,
  type RouteQuestion
} from '../request/explain-route.js'
export { findRoute } from '../request/find-route.js'
export {
  createContentQuarantine, type ContentQuarantine, type LostTarget, type QuarantinedContent, type RequestContent, type ToldEvidence
} from './suspicion/content-quarantine.js'
export { createContentRecords, type ContentRecords } from './suspicion/content-records.js'
export { createStoreEra, type StoreEra } from './store-era.js'
export { runStoreMirror, type MirrorOptions, type MirrorReader } from './store-mirror.js'
export { createTargetEnds, type TargetEnds } from './suspicion/target-ends.js'
export {
  TargetState, createTargetLife, type TargetLife, type TargetLifeDependencies, type VerificationOptions
} from './suspicion/target-life.js'
export { createTargetReach, type TargetReach } from './suspicion/target-reach.js'
export { createTargetStates } from './suspicion/target-answers.js'
export { createRelay, type Relay, type RelayPorts } from './wire.js'
