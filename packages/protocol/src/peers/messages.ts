/**
 * Messages between entry VMs: the JSON-RPC 2.0 methods with their parameters and results.
 */
import type { ConfigurationHead } from '../manifest/head.js'
import type { ManifestPartContent } from '../manifest/parts.js'
import type { Outcome } from '../failure.js'
import type { HeldPart } from '../targets/engine.js'
import type { ClaimCommitParameters, ClaimCommitResult, ClaimInquiryParameters, ClaimInquiryResult } from './claims.js'
import type { KeyValueRead, KeyValueWrite, WriteOutcome } from '../platform/key-value.js'

/** The methods between entry VMs. */
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

/** State of an entry VM in the membership. */
export enum MemberState {
  Alive = 'alive',
  Suspect = 'suspect',
  Leaving = 'leaving',
  Gone = 'gone'
}

/** What a node says of an entry VM. */
export interface MemberEntry {
  /** Address of the peers' listener, `host:port`; names the node. */
  address: string
  vm: string
  failureDomain: string
  /** Greater for a later start of a process at the same address; raised also to refute a suspicion. */
  incarnation: number
  state: MemberState
  /** Generation of the configuration in force at the node. */
  generation: number
}

/** What a node says of a target. */
export interface TargetEvent {
  target: string
  state: MemberState
  /** Node that says so and its count of events, so that the latest word of a node wins. */
  reporter: string
  sequence: number
  /** Time since the reporter said so, milliseconds; an age, since the nodes' clocks differ. */
  ageMilliseconds: number
}

/** What a failure domain tells the others of itself. */
export interface DomainSummary {
  failureDomain: string
  /** Entry VMs that take work. */
  aliveMembers: number
  /** A few of its members, through which it is reached. */
  contacts: MemberEntry[]
  /** Requests a second of its heaviest workspaces. */
  demand: Record<string, number>
  /** Time since a node of that failure domain said so, milliseconds. */
  ageMilliseconds: number
}

/** One gossip exchange; the answer has the same shape. */
export interface GossipMessage {
  sender: MemberEntry
  /** Digest of the sender's table of its failure domain; a receiver with another one answers with its whole table. */
  digest: string
  /** Digest of the events of targets that are leaving or gone; a receiver with another one answers with all of them. */
  targetDigest: string
  /** Asks for everything that the receiver keeps: said by a node that has just started. */
  wantsAll?: boolean
  /** Entries that changed lately, or the whole table. */
  members: MemberEntry[]
  domains: DomainSummary[]
  targetEvents: TargetEvent[]
  /** Requests a second of heavy workspaces at the sender. */
  demand: Record<string, number>
}

/** A key-value call carried through a peer. */
export type KeyValueRelayParameters = { kind: 'get', key: string } | { kind: 'compare-and-swap', write: KeyValueWrite }

/** The result of a relayed call. */
export type KeyValueRelayResult = { kind: 'get', outcome: Outcome<KeyValueRead> } | { kind: 'compare-and-swap', outcome: WriteOutcome }

/** A target's load in short, as entry VMs pass it on. */
export interface CompactReport {
  target: string
  /** When the engine made the report, milliseconds since 1970 by its own clock; a later one wins. */
  atMilliseconds: number
  /** Age of the report when it was passed on, milliseconds. */
  ageMilliseconds: number
  running: number
  queued: number
  tokensPerSecond: number
  /** Declared parts that the target doesn't hold; `adapters` names what a held part lacks. Absent where it holds all. */
  missing?: HeldPart[]
}

/** Reports that the sender has and the receiver may lack; the answer has the same shape. */
export interface ReportsMessage {
  sender: string
  reports: CompactReport[]
}

/** What a node tells operators of itself, as named sections. */
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

/** Answers one method. */
export type PeerHandler<M extends PeerMethod> =
  (parameters: PeerMethods[M]['parameters'], peer: string) => Promise<PeerMethods[M]['result']>

/** The handlers of a node; a missing one answers "method not found". */
export type PeerHandlers = { [M in PeerMethod]?: PeerHandler<M> }

/** Bytes between entry VMs. */
export interface PeerTraffic {
  sentBytes: number
  receivedBytes: number
}

/** Calls to other entry VMs. `call` never rejects. */
export interface PeerPort {
  call: <M extends PeerMethod>(
    address: string, method: M, parameters: PeerMethods[M]['parameters'], deadlineMilliseconds: number
  ) => Promise<Outcome<PeerMethods[M]['result']>>
  /** Sets what this node answers. */
  serve: (handlers: PeerHandlers) => void
  /** What the port carried since its start; absent where it isn't counted. */
  traffic?: () => PeerTraffic
}
