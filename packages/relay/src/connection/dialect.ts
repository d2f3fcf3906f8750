/**
 * The interface that maps a deployment's headers, paths and bodies to the relay's types. The deployment's adapter implements it.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { HandOverTerms, ReachReport } from '../request/ledger.js'
import type { LoadedLayers } from '../version/target.js'

/** Terms that a caller states in the headers of its request. */
export interface CallerTerms {
  /** Identifier that the caller gave to this attempt. */
  requestId?: string
  /** How long the caller waits for its answer, milliseconds from the arrival of the request. */
  waitMilliseconds?: number
  /** The caller's API key in plain text. */
  key?: string
  /** Last event that the caller has received; the answer continues after it. */
  lastEvent?: number
  model?: string
  promptTokens: number
  maximumAnswerTokens: number
  /** The caller's estimate of the answer's length, tokens. */
  answerTokensEstimate?: number
  /** Identifiers of the prompt's parts that other requests may contain too; absent where the caller states none. */
  sharedPromptParts?: readonly string[]
  /** Terms of the VM that hands the request over. Callers can state them too, so they count only in what peers send. */
  handOver?: HandOverTerms
  /** How long ago the VM that hands the request over, or one before it, received it from its caller, milliseconds; as for `handOver`. */
  waitedMilliseconds?: number
  /** Configuration version by which the VM that hands the request over has admitted it; as for `handOver`. */
  configurationVersion?: number
}

/** What a VM states when it hands a request over. */
export interface HandOverHeaders extends HandOverTerms, Pick<RelayTerms, 'waitMilliseconds' | 'lastEvent'> {
  /** Time since the caller's request was received, milliseconds. */
  waitedMilliseconds: number
  /** Configuration version by which the request was admitted. */
  configurationVersion: number
}

/** One stage of a path: a target that runs the layers from `from` up to, but not including, `to`. */
export interface PathStage {
  targetId: string
  address: string
  failureDomain: string
  from: number
  to: number
}

/** Terms that the relay adds to a request for a target. */
export interface RelayTerms {
  /** Time that the target has to answer, milliseconds. */
  waitMilliseconds: number
  /** The target that must answer; another target at the same address refuses the request. */
  targetId: string
  workspace?: string
  /** 0 is the most urgent, 9 the least. */
  urgency?: number
  /** Absent where one target serves the request alone. */
  stages?: PathStage[]
  /** The answer continues after this event. */
  lastEvent?: number
}

/** Terms read from the headers of a target's answer. */
export interface AnswerTerms {
  requestId?: string
  /** Whether the answer has the seal header, without which a successful answer is invalid. Only its presence is checked. */
  isSealed: boolean
  /** Whether the target reports that it did not run the request. */
  isNotRun: boolean
  /** Address of the stage that caused a refusal. */
  faultyAddress?: string
  isEventStream: boolean
  /** Whether the target states that it is leaving. */
  isLeaving: boolean
  /** How long the target wants nothing more from this VM, seconds; NaN if what it states is not a number. */
  pauseSeconds?: number
  /**
   * How many requests a second the target takes from all VMs together, as long as its answers state it; NaN if what it states is not a
   * positive number or zero.
   */
  requestsPerSecond?: number
  /** Idle time after which the target closes the connection, milliseconds. */
  idleMilliseconds?: number
  /** What a peer tells of the targets that it has reached; counts only in the answers of peers. */
  reachReport?: ReachReport
}

/** State that a target reports about itself. */
export interface TargetReport {
  /** Orders that it has accepted in this incarnation. */
  ordersAccepted: number
  isBusyWithOrder: boolean
  layers?: LoadedLayers
  /** Factor on the time of its work; above 1 it is slower than its kind of accelerator should be. */
  slowness: number
  /** Requests without progress, each with the address of the stage that it waits for. */
  stalled: Array<{ requestId: string, address: string }>
  bornAtMilliseconds: number
  tokensUsed: number
  tokensTotal: number
}

/** An order to load a range of layers. */
export interface PlaceOrder {
  from: number
  to: number
  /** Number of orders that the target must have accepted so far; it rejects the order otherwise. */
  expectedOrders?: number
  /** Fencing token of the coordinator that gives the order. */
  fence?: number
}

/** Possible results of an order. */
export enum OrderResult {
  /** The target has begun to carry out the order, or already had its result. */
  Accepted = 'taken',
  /** The target's state differs from the expected one. */
  Conflict = 'conflict',
  /** Another target now has the address. */
  Misdirected = 'misdirected',
  /** The target has accepted orders from a newer coordinator. */
  Fenced = 'fenced',
  Rejected = 'rejected',
  /** No answer arrived: the target may carry out the order now or later. */
  Unknown = 'unknown'
}

/** Header names, paths and codecs of one deployment. */
export interface Dialect {
  readCaller: (headers: IncomingHttpHeaders) => CallerTerms
  /**
   * @param hidesKey whether all credentials of the caller are removed. A header that may hold a key is removed in any case.
   * @returns headers for the target as flat name-value pairs: the caller's, without those meant only for the relay, plus the relay's own.
   */
  writeHeaders: (rawHeaders: readonly string[], terms: RelayTerms, hidesKey: boolean) => string[]
  /**
   * @returns headers for a peer that handles the request, as flat name-value pairs: the caller's, with the given terms.
   */
  writeHandOverHeaders: (rawHeaders: readonly string[], terms: HandOverHeaders) => string[]
  /** @returns headers for the VM that has handed a request over. */
  writeReachReport: (report: ReachReport) => Record<string, string>
  readAnswer: (headers: IncomingHttpHeaders) => AnswerTerms
  /** @returns the answer's headers as flat name-value pairs, without the hop-by-hop headers and without a reach report. */
  answerHeaders: (rawHeaders: readonly string[]) => string[]
  reportPath: string
  /** @throws an error where the text is not a valid report. */
  readReport: (text: string) => TargetReport
  orderPath: string
  writePlaceOrder: (order: PlaceOrder) => string
  /** @returns the result of an order that a status code stands for. */
  readOrderStatus: (status: number) => OrderResult
  repathPath: string
  writeRepathOrder: (requestId: string, stages: readonly PathStage[]) => string
  /** @returns the address of the stage that rejected its part of a moved request. */
  readFaultyAddress: (text: string) => string | undefined
  /** @returns headers for a call by the relay itself that only the given target may answer. */
  ownCallHeaders: (targetId: string) => Record<string, string>
  /** Path at which the load balancer checks whether this vm accepts connections. */
  readinessPath: string
}
