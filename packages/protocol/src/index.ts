/**
 * Message types, port interfaces, the manifest and clients of the platform's services; shared by the router, the operators'
 * tool and the stand-ins.
 */
export {
  FailureKind, Step, describeFailure, failed, isCertainlyNotRun, success, type Failure, type Outcome
} from './failure.js'
export {
  type RandomSource
} from './random.js'
export {
  WriteResult, type KeyValueCallOptions, type KeyValueEntry, type KeyValueList, type KeyValuePort, type KeyValueRead,
  type KeyValuePage, type KeyValueWrite, type LeaseGrant, type PollableKeyValue, type WatchEvent, type WriteOutcome
} from './platform/key-value.js'
export { comparePositions, fencingTokenOf, positionOf, type StorePosition } from './platform/position.js'
export {
  VmState, vmEntrySchema, type VmEntry, type VmListPort
} from './platform/vm-list.js'
export { createEtcdKeyValue, type EtcdOptions } from './platform/etcd.js'
export { createVmListClient } from './platform/vm-list-client.js'
export { destroyOnAbort, callJson, postStream, type JsonCallOptions } from './platform/http-json.js'
export { findInvalidAnswerHead, findInvalidHeader } from './platform/invalid-head.js'
export {
  BODY_FAULT_STATUSES, GUARDED_SERVER_OPTIONS, createClientGuard, type ClientGuard, type ClientGuardOptions
} from './listener/client-guard.js'
export { ClientFault } from './listener/client-connection.js'
export { BODILESS_LIMITS, ClientPhase, chooseConnectionToClose, isOverdue, type ClientLimits, type ClientState } from './listener/connection-limits.js'
export { HoldingPhase, createMemoryBudget, type Holding, type MemoryBudget } from './listener/memory-budget.js'
export { BodyResult, receiveBody, type BodyFault, type ReceivedBody } from './listener/receive-body.js'
export { createReadingTurns, type Reader, type ReadingTurns } from './listener/reading-turns.js'
export { SLICE_BYTES, nextSliceLength } from './listener/request-slices.js'
export { paceReading } from './platform/pace-reading.js'
export { followBody, type BodyHandlers } from './platform/follow-body.js'
export { NO_MEMORY, readAnswer, readBody, type OpenHolding } from './platform/read-body.js'
export { sendRequest } from './platform/send-request.js'
export { createPendingBytes, type PendingBytes, type PendingMemory } from './platform/pending-bytes.js'
export { createLineReader, type LineReader } from './platform/line-reader.js'
export {
  CacheEventKind, EngineEventKind, EngineOrderKind, EngineRole, FinishReason, cacheExportSchema, engineOrderSchema,
  engineReportSchema, engineWireEventSchema, generationRequestSchema, modelPartSchema, layerRangeSchema, modelReferenceSchema,
  orderEnvelopeSchema, pathStageSchema, prefixDigest, receiptSchema, stageReceiptSchema, stepAnswerSchema, stepInputSchema,
  stepRequestSchema, stepResultSchema, tokenSchema, type CacheExport, type EngineEvent, type EngineOrder, type EnginePort,
  type EngineReport, type EngineWireEvent, type GenerationRequest, type ModelPart, type LayerRange, type ModelReference,
  type PathStage, type Receipt, type StepInput, type StepRequest, type StepResult, type TargetAddress, type Token
} from './targets/engine.js'
export {
  NOT_ACCEPTED_HEADER, ServiceResult, type HeaderRecord, type ServiceAnswer, type ServiceCall, type ServiceOutcome, type ServicePort
} from './targets/service.js'
export {
  OrderState, PROBLEM_TEMPLATES, ProblemType, Submission, createProblem, type Problem, type ProblemOptions
} from './callers/problem.js'
export {
  ClaimKind, DriverKind, RoutingPreference, manifestSchema, type Manifest, type ManifestLink, type ManifestModel,
  type ManifestObjectives, type ManifestOperation, type ManifestServedPart, type ManifestService, type ManifestTarget,
  type ManifestWorkspace
} from './manifest/schema.js'
export {
  CONFIGURATION_HEAD_KEY, CONFIGURATION_PART_PREFIX, StopSubject, configurationHeadSchema, plannedStopSchema,
  type ConfigurationHead, type HeadChange, type PlannedStop
} from './manifest/head.js'
export {
  MAXIMUM_PART_BYTES, digestText, joinManifest, splitManifest, type ManifestPartContent
} from './manifest/parts.js'
export {
  checkManifest, checkManifestText, type ManifestCheck, type ManifestFault
} from './manifest/check.js'
export { listCoverageFaults } from './manifest/check-coverage.js'
export {
  PublishResult, changeHead, parseHead, publishManifest, readHead, writeParts, type HeadContent, type HeadRead, type PublishOutcome
} from './manifest/publish.js'
export { isBuiltOn, mergeHeads } from './manifest/lineage.js'
export {
  MemberState, PeerMethod, type CompactReport, type DomainSummary,
  type GossipMessage, type KeyValueRelayParameters, type KeyValueRelayResult, type MemberEntry, type NodeStatus,
  type PeerHandler, type PeerHandlers, type PeerMethods, type PeerPort, type PeerTraffic, type ReportsMessage, type TargetEvent
} from './peers/messages.js'
export {
  ClaimChangeKind, ClaimChangeResult, ClaimInquiryKind, ClaimState, claimChangeSchema, claimEntrySchema, type ClaimChange,
  type ClaimChangeOutcome, type ClaimCommitParameters, type ClaimCommitResult, type ClaimEntry, type ClaimInquiryParameters,
  type ClaimInquiryResult, type Claimant, type ClaimedEntry, type FinishedEntry, type RecordedAnswer, type ReleasedEntry
} from './peers/claims.js'
export {
  CLAIM_ANSWER_BYTES, CLAIM_BUCKETS, CLAIM_CLOCK_SKEW_SECONDS, CLAIM_ENTRY_BYTES, CLAIM_SEGMENTS_PER_BUCKET, CLAIM_SEGMENT_BYTES,
  listClaimLoads, estimateClaimSize, type ClaimLoad, type ClaimSize
} from './manifest/claim-size.js'
export {
  BURN_SERIES_STEP_MINUTES, BURN_WINDOWS_MINUTES, ObjectiveKind, ResourceKind, burnRate, burnReportSchema, nodeStatusSchema,
  type BurnCounts, type BurnReport, type NodeStatusReport, type ObjectiveBurn
} from './operators/reports.js'
