/**
 * Messages between entry VMs: the JSON-RPC 2.0 methods with their parameters and results.
 */
import type { ConfigurationHead } from '../manifest/head.js'
import type { ManifestPartContent } from '../manifest/parts.js'
import type { Outcome } from '../failure.js'
import type { ModelPart } from '../targets/engine.js'
import type { ClaimCommitParameters, ClaimCommitResult, ClaimInquiryParameters, ClaimInquiryResult } from './claims.js'
import type { KeyValueRead, KeyValueWrite, WriteOutcome } from '../platform/key-value.js'

/** JSON-RPC methods that entry VMs call on each other. */
export enum PeerMethod {
  Gossip = 'gossip.exchange',
  ConfigurationHead = 'configuration.head',
  ConfigurationParts = 'configuration.parts',
  ClaimCommit = 'claims.commit',
  ClaimInquiry = 'claims.inquiry',
  KeyValueRelay = 'key-value.relay',
  Reports = 'reports.exchange',
  Status = 'status.read'
}

/** State of an entry VM in the membership, or of a target in its events. */
export enum MemberState {
  Alive = 'alive',
  Suspect = 'suspect',
  Leaving = 'leaving',
  Gone = 'gone'
}

/** The state of an entry VM, as one node reports it. */
export interface MemberEntry {
  /** Address of the listener for peers, `host:port`; identifies the node. */
  address: string
  vm: string
  failureDomain: string
  /** Increases with each start of a process at the same address, and whenever the node refutes a suspicion. */
  incarnation: number
  state: MemberState
  /** Generation of the configuration in force at the node. */
  generation: number
}

/** A change of the state of a target, as one node reports it. */
export interface TargetEvent {
  target: string
  state: MemberState
  /** The reporting node; `sequence` counts its events, so that its latest event wins. */
  reporter: string
  sequence: number
  /** Time since the reporter created the event, milliseconds; an age, because the nodes' clocks differ. */
  ageMilliseconds: number
}

/** Summary of a failure domain for the other failure domains. */
export interface DomainSummary {
  failureDomain: string
  /** Number of entry VMs that accept work, those in state `alive`. */
  aliveMembers: number
  /** A few of its members, through which other failure domains reach it. */
  contacts: MemberEntry[]
  /** Requests per second by workspace, for the workspaces with the highest demand in the failure domain. */
  demand: Record<string, number>
  /** Time since a node of that failure domain created the summary, milliseconds. */
  ageMilliseconds: number
}

/** Message of a gossip exchange; the answer has the same shape. */
export interface GossipMessage {
  sender: MemberEntry
  /**
   * Digest of the sender's membership table for its failure domain; a receiver in that domain whose digest differs answers with
   * its whole table.
   */
  digest: string
  /** Digest of the events of targets that are leaving or gone; a receiver whose digest differs answers with all of these events. */
  targetDigest: string
  /** Requests the complete state of the receiver; set by a node that has just started. */
  wantsAll?: boolean
  /** Recently changed entries, or the whole table. */
  members: MemberEntry[]
  domains: DomainSummary[]
  targetEvents: TargetEvent[]
  /** Requests per second by workspace, for the workspaces with the highest demand at the sender. */
  demand: Record<string, number>
}

/** A key-value call that a peer makes on behalf of the sender. */
export type KeyValueRelayParameters = { kind: 'get', key: string } | { kind: 'compare-and-swap', write: KeyValueWrite }

/** The result of a relayed call. */
export type KeyValueRelayResult = { kind: 'get', outcome: Outcome<KeyValueRead> } | { kind: 'compare-and-swap', outcome: WriteOutcome }

/** A short report of a target's load, as entry VMs forward it. */
export interface CompactReport {
  target: string
  /** When the engine created the report, milliseconds since 1970 by its own clock; the latest report wins. */
  atMilliseconds: number
  /** Age of the report when it was forwarded, milliseconds. */
  ageMilliseconds: number
  running: number
  queued: number
  tokensPerSecond: number
  /**
   * Declared parts that the target has not loaded; for a part that is loaded without all adapters, `adapters` lists the missing ones.
   * Absent if all declared parts are loaded.
   */
  missing?: ModelPart[]
}

/** Reports that the receiver may not have yet; the answer has the same shape. */
export interface ReportsMessage {
  /** Address of the sending node. */
  sender: string
  reports: CompactReport[]
}

/** The status that a node reports to operators, in named sections. */
export interface NodeStatus {
  member: MemberEntry
  sections: Record<string, unknown>
}

/** Parameters and result of each method. */
export interface PeerMethods {
  [PeerMethod.Gossip]: { parameters: GossipMessage, result: GossipMessage }
  [PeerMethod.ConfigurationHead]: { parameters: Record<string, never>, result: { head?: ConfigurationHead } }
  [PeerMethod.ConfigurationParts]: { parameters: { digests: string[] }, result: { parts: ManifestPartContent[] } }
  [PeerMethod.ClaimCommit]: { parameters: ClaimCommitParameters, result: ClaimCommitResult }
  [PeerMethod.ClaimInquiry]: { parameters: ClaimInquiryParameters, result: ClaimInquiryResult }
  [PeerMethod.KeyValueRelay]: { parameters: KeyValueRelayParameters, result: KeyValueRelayResult }
  [PeerMethod.Reports]: { parameters: ReportsMessage, result: ReportsMessage }
  [PeerMethod.Status]: { parameters: Record<string, never>, result: NodeStatus }
}

/** Handles the calls of one method. */
export type PeerHandler<M extends PeerMethod> =
  (parameters: PeerMethods[M]['parameters'], peer: string) => Promise<PeerMethods[M]['result']>

/** The handlers of a node; a call of a method without a handler is answered with "method not found". */
export type PeerHandlers = { [M in PeerMethod]?: PeerHandler<M> }

/** Number of bytes exchanged with other entry VMs. */
export interface PeerTraffic {
  sentBytes: number
  receivedBytes: number
}

/** Makes calls to other entry VMs and answers theirs. `call` never rejects. */
export interface PeerPort {
  call: <M extends PeerMethod>(
    address: string, method: M, parameters: PeerMethods[M]['parameters'], deadlineMilliseconds: number
  ) => Promise<Outcome<PeerMethods[M]['result']>>
  /** Sets the handlers for the calls of other nodes. */
  serve: (handlers: PeerHandlers) => void
  /** Returns the traffic since the start of the port; absent if it is not counted. */
  traffic?: () => PeerTraffic
}
