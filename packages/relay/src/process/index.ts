/**
 * State and services that live as long as the process.
 */
export { createConfigurationState, type ConfigurationState, type ConfigurationStateDependencies, type VersionInForce } from './configuration-state.js'
export { createDirectory, type Directory } from './directory.js'
export { createFreshnessCheck, type FreshnessCheck, type FreshnessDependencies } from './freshness.js'
export { ageOf, presentInstant, type Instant } from './instant.js'
export { createLoad, type Load, type Reservation } from './load.js'
export { createMirrorRelay, type MirrorRelay, type RelayedPage } from './mirror-relay.js'
export { createPathFinder, type FoundPath, type PathFinder, type PathQuery } from './path-finder.js'
export { createCoordinatorLease, type CoordinatorLease } from './placement/lease.js'
export { createPlanner, type Planner } from './placement/planner.js'
export { gapsOf, planChain, type Card, type LayerSpan, type Placement } from './placement/cards.js'
export { isUnderReplicated, planInitial, planRepair, type LayoutStability } from './placement/plan.js'
export { RelayEvent, SILENT_RELAY_LOG, createRelayLog, type RelayLog, type RelayLogFields } from './relay-log.js'
export { createRateLimits, type RateLimits, type RateLimitsDependencies, type RateStatement, type Sender } from './rate-limits.js'
export { LOAN_EXPIRY_MILLISECONDS, createRepeatBudget, type RepeatBudget, type RepeatBudgetBounds } from './repeat-budget.js'
export { createRepeatLoans, type Repeats, type RepeatLoansDependencies } from './repeat-loans.js'
export { serveRelay, type RunningRelay } from './serve.js'
export { createStreamWatch, type StreamWatch, type WatchedRun } from './stream-watch.js'
export { checkRelaySettings, relaySettingsSchema, type RelaySettings, type RelaySettingsCheck } from './settings.js'
export { createPeerChoice, type PeerChoice } from './peer-choice.js'
export { createPeers, type Peer, type Peers, type PeersDependencies } from './peers.js'
export {
  SubjectKind, Verdict, judge, judgeRequest, lossKey, mergeEvidence, openLosses, type ContentEvidence, type TargetLoss
} from './content-evidence.js'
export { createOperatorsListener, type OperatorsView } from './operators-listener.js'
export {
  createContentQuarantine, type ContentQuarantine, type LostTarget, type QuarantinedContent, type RequestContent, type ToldEvidence
} from './content-quarantine.js'
export { createContentRecords, type ContentRecords } from './content-records.js'
export { createStoreEra, type StoreEra } from './store-era.js'
export { runStoreMirror, type MirrorOptions, type MirrorReader } from './store-mirror.js'
export { createTargetEnds, type TargetEnds } from './target-ends.js'
export { createTargetReach, type TargetReach } from './target-reach.js'
export { createTargetStates } from './target-answers.js'
export { createRelay, type Relay, type RelayPorts } from './wire.js'
