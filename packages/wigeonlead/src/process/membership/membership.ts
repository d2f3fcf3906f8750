/**
 * Membership of entry VMs: gossip spreads which nodes are alive, suspect, leaving or gone, and carries target events, demand and
 * configuration generations.
 */
import {
  MemberState, PeerMethod, type DomainSummary, type GossipMessage, type MemberEntry, type PeerHandlers, type PeerPort,
  type RandomSource, type TargetEvent, type VmListPort
} from '@wigeonlead/protocol'
import { LogEvent, type Logger } from '../logging.js'
import { createDemand, type DemandShare } from './demand.js'
import { createOtherDomains } from './domains.js'
import { createGossip } from './gossip.js'
import { MergeResult, createMemberTable, isNewer } from './table.js'
import { createTargetEvents } from './target-events.js'

/** The membership as one node sees it. */
export interface Membership {
  self: () => MemberEntry
  /** Returns all members of this failure domain, this node included, and a few contacts of each other domain; without gone members. */
  members: () => MemberEntry[]
  /** Returns all members of this failure domain, this node included; without gone members. */
  membersOfDomain: () => MemberEntry[]
  /** Returns the members of this failure domain that are alive: neither suspect, leaving nor gone. */
  aliveMembersOfDomain: () => MemberEntry[]
  /** Returns the number of entry VMs of all failure domains that accept requests, as far as this node knows. */
  aliveNodeCount: () => number
  /** Returns the latest summary of each other failure domain. */
  otherDomains: () => DomainSummary[]
  /** Calls back with each member of this failure domain whose state or incarnation changed. @returns a function that unsubscribes. */
  onChange: (callback: (entry: MemberEntry) => void) => () => void
  /** Announces to all entry VMs that a target is suspect, leaving, gone or alive again. */
  announceTarget: (target: string, state: MemberState) => void
  /** Calls back with each new target event, including those of this node. @returns a function that unsubscribes. */
  onTargetEvent: (callback: (event: TargetEvent) => void) => () => void
  /** Returns the demand of a workspace over the fleet and this node's share of its limits. */
  demandShareOf: (workspace: string) => DemandShare
  /** Sets the function that reads this node's demand: requests per second by workspace. */
  setDemandSource: (read: () => Record<string, number>) => void
  /** Calls back with the configuration generation in each message from a peer. @returns a function that unsubscribes. */
  onGeneration: (callback: (generation: number, address: string) => void) => () => void
  /** Sends changes of this node to a few peers without waiting for the next gossip round. */
  scheduleGossip: () => void
  /** Begins to gossip, and to poll the VM list for addresses of peers. */
  start: () => void
  /** Announces that this node accepts no new requests. */
  leave: () => void
  stop: () => void
  handlers: PeerHandlers
}

/** Dependencies and settings of the membership. */
export interface MembershipOptions {
  peers: PeerPort
  /** Address at which this node listens for peers. */
  address: string
  vm: string
  failureDomain: string
  /** Addresses of other nodes, tried in addition to those in the VM list. */
  seeds: string[]
  generation: () => number
  random: RandomSource
  vmList: VmListPort
  logger: Logger
}

const RUMORS_PER_MESSAGE = 12
const TARGET_EVENTS_PER_MESSAGE = 32
const TARGET_EVENTS_PER_SNAPSHOT = 512
const SUMMARIES_PER_MESSAGE = 1
const CONTACTS_PER_SUMMARY = 3

/** Creates a membership that contains only this node. */
export function createMembership (options: MembershipOptions): Membership {
  const { address, vm, failureDomain, logger, random } = options
  const changeListeners = new Set<(entry: MemberEntry) => void>()
  const targetListeners = new Set<(event: TargetEvent) => void>()
  const generationListeners = new Set<(generation: number, address: string) => void>()
  const demandByPeer = new Map<string, Record<string, number>>()
  const otherDomains = createOtherDomains(failureDomain, random)
  const table = createMemberTable(reportChange)
  let incarnation = Date.now()
  const targetEvents = createTargetEvents(`${address}#${incarnation}`)
  let state = MemberState.Alive
  let isJoined = false
  let readDemand = (): Record<string, number> => ({})
  const demand = createDemand({
    nodeDemand: () => readDemand(),
    peerDemands: () => demandByPeer.values(),
    aliveInDomain: () => aliveMembersOfDomain().length,
    otherDomains: otherDomains.summaries
  })

  function self (): MemberEntry {
    return { address, vm, failureDomain, incarnation, state, generation: options.generation() }
  }

  function reportChange (entry: MemberEntry): void {
    if (entry.state === MemberState.Gone) demandByPeer.delete(entry.address)
    logger.info(LogEvent.MemberChanged, { peer: entry.address, state: entry.state, incarnation: entry.incarnation })
    for (const listener of changeListeners) listener(entry)
  }

  function aliveMembersOfDomain (): MemberEntry[] {
    return [self(), ...table.present()].filter(entry => entry.state === MemberState.Alive)
  }

  function merge (entry: MemberEntry): MergeResult {
    if (entry.address === address) return refute(entry)
    if (entry.failureDomain === failureDomain) return table.merge(entry)
    return MergeResult.Unchanged
  }

  /** Raises this node's incarnation above that of a newer entry about this node, such as a suspicion, so that peers discard the entry. */
  function refute (entry: MemberEntry): MergeResult {
    if (!isNewer(entry, self())) return MergeResult.Unchanged
    incarnation = entry.incarnation + 1
    gossip.schedulePush()
    return MergeResult.Stale
  }

  function summarize (): DomainSummary {
    const alive = aliveMembersOfDomain()
    const first = Math.floor(random.nextFloat() * alive.length)
    const contacts = [...alive.slice(first), ...alive.slice(0, first)].slice(0, CONTACTS_PER_SUMMARY)
    return { failureDomain, aliveMembers: alive.length, contacts, demand: demand.heaviestOfDomain(), ageMilliseconds: 0 }
  }

  function compose (receiverDomain: string | undefined, isSnapshot: boolean): GossipMessage {
    const isOwnDomain = receiverDomain === failureDomain
    const domains = otherDomains.nextSummaries(SUMMARIES_PER_MESSAGE, receiverDomain)
    return {
      sender: self(),
      digest: table.digest(self()),
      targetDigest: targetEvents.digest(),
      wantsAll: isJoined ? undefined : true,
      members: isOwnDomain ? (isSnapshot ? table.snapshot() : table.takeRumors(RUMORS_PER_MESSAGE)) : [],
      domains: isOwnDomain ? domains : [summarize(), ...domains],
      targetEvents: isSnapshot ? targetEvents.all(TARGET_EVENTS_PER_SNAPSHOT) : targetEvents.takeRumors(TARGET_EVENTS_PER_MESSAGE),
      demand: isOwnDomain || receiverDomain === undefined ? demand.heaviestOfNode() : {}
    }
  }

  function receive (message: GossipMessage): MemberEntry[] {
    const { sender } = message
    const staleEntries = [sender, ...message.members].filter(entry => merge(entry) === MergeResult.Stale)
    if (sender.failureDomain === failureDomain) demandByPeer.set(sender.address, message.demand)
    else if (sender.state === MemberState.Alive) otherDomains.observeMember(sender)
    for (const summary of message.domains) otherDomains.merge(summary)
    receiveTargetEvents(message.targetEvents)
    for (const listener of generationListeners) listener(sender.generation, sender.address)
    return staleEntries.flatMap(entry => entry.address === address ? [self()] : table.get(entry.address) ?? [])
  }

  function receiveTargetEvents (events: TargetEvent[]): void {
    const newEvents = targetEvents.merge(events)
    if (newEvents.length === 0) return
    gossip.schedulePush()
    for (const event of newEvents) notifyTarget(event)
  }

  function notifyTarget (event: TargetEvent): void {
    for (const listener of targetListeners) listener(event)
  }

  function reply (message: GossipMessage): GossipMessage {
    const corrections = receive(message)
    const isOwnDomain = message.sender.failureDomain === failureDomain
    const isSnapshot = message.wantsAll === true || (isOwnDomain && message.digest !== table.digest(self()))
    const response = compose(message.sender.failureDomain, isSnapshot)
    const missed = message.targetDigest === targetEvents.digest() ? [] : targetEvents.departures(TARGET_EVENTS_PER_SNAPSHOT)
    return { ...response, members: unique([...corrections, ...response.members]), targetEvents: [...response.targetEvents, ...missed] }
  }

  function receiveReply (message: GossipMessage): void {
    isJoined = true
    for (const correction of receive(message)) table.resend(correction.address)
    if (message.targetDigest !== targetEvents.digest()) targetEvents.resendDepartures()
    if (message.sender.failureDomain !== failureDomain || message.digest === table.digest(self())) return
    const receivedEntries = new Map(message.members.map(entry => [entry.address, entry]))
    for (const entry of table.present()) {
      const received = receivedEntries.get(entry.address)
      if (entry.address !== message.sender.address && (received === undefined || isNewer(entry, received))) table.resend(entry.address)
    }
  }

  const gossip = createGossip({
    address,
    failureDomain,
    seeds: options.seeds,
    peers: options.peers,
    vmList: options.vmList,
    random,
    table,
    otherDomains,
    isJoined: () => isJoined,
    compose: receiverDomain => compose(receiverDomain, false),
    receiveReply,
    sweep: targetEvents.sweep
  })

  return {
    self,
    members: () => [self(), ...table.present(), ...otherDomains.summaries().flatMap(summary => summary.contacts)],
    membersOfDomain: () => [self(), ...table.present()],
    aliveMembersOfDomain,
    aliveNodeCount: () => otherDomains.summaries().reduce((sum, summary) => sum + summary.aliveMembers, aliveMembersOfDomain().length),
    otherDomains: otherDomains.summaries,
    onChange: callback => subscribe(changeListeners, callback),
    announceTarget (target, targetState) {
      notifyTarget(targetEvents.announce(target, targetState))
      gossip.schedulePushToAllDomains()
    },
    onTargetEvent: callback => subscribe(targetListeners, callback),
    demandShareOf: demand.shareOf,
    setDemandSource: read => { readDemand = read },
    onGeneration: callback => subscribe(generationListeners, callback),
    scheduleGossip: gossip.schedulePush,
    start: gossip.start,
    leave () {
      state = MemberState.Leaving
      gossip.schedulePushToAllDomains()
    },
    stop: gossip.stop,
    handlers: { [PeerMethod.Gossip]: async message => reply(message) }
  }
}

function subscribe<T> (listeners: Set<T>, callback: T): () => void {
  listeners.add(callback)
  return () => { listeners.delete(callback) }
}

function unique (entries: MemberEntry[]): MemberEntry[] {
  return [...new Map(entries.map(entry => [entry.address, entry])).values()]
}
