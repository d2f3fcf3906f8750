/**
 * Membership between entry VMs: who is alive, suspect, leaving or gone, learnt by gossip, and the news that rides it.
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
  /** The own failure domain in full, this node included, and a few contacts of each other one; without the gone. */
  members: () => MemberEntry[]
  /** The own failure domain in full, this node included, without the gone. */
  membersOfDomain: () => MemberEntry[]
  /** Those of the own failure domain that are alive and neither suspect nor leaving. */
  aliveMembersOfDomain: () => MemberEntry[]
  /** Entry VMs of all failure domains that take work, as far as it is known. */
  aliveNodes: () => number
  /** The last word of each other failure domain. */
  otherDomains: () => DomainSummary[]
  /** Calls back with each entry of the own failure domain whose state or incarnation changed. @returns what ends that. */
  onChange: (callback: (entry: MemberEntry) => void) => () => void
  /** Tells every entry VM that a target is suspect, leaving, gone or alive again. */
  announceTarget: (target: string, state: MemberState) => void
  /** Calls back with each new event of a target, own ones included. @returns what ends that. */
  onTargetEvent: (callback: (event: TargetEvent) => void) => () => void
  /** Demand for a workspace over the fleet and this node's share of its limits. */
  demandOf: (workspace: string) => DemandShare
  /** Sets what reads this node's demand, requests a second of each workspace. */
  setDemandSource: (read: () => Record<string, number>) => void
  /** Calls back when a peer says that it has a generation. @returns what ends that. */
  onGeneration: (callback: (generation: number, address: string) => void) => () => void
  /** Tells some peers at once what changed here, before the next round of gossip. */
  pushSoon: () => void
  /** Learns seeds from the VM list and begins to gossip. */
  start: () => void
  /** Tells others that this node takes no more work. */
  leave: () => void
  stop: () => void
  handlers: PeerHandlers
}

/** What the membership needs. */
export interface MembershipParts {
  peers: PeerPort
  /** Address of this node's peers' listener. */
  address: string
  vm: string
  failureDomain: string
  /** Addresses of other nodes, tried beside the VM list. */
  seeds: string[]
  generation: () => number
  random: RandomSource
  vmList: VmListPort
  logger: Logger
}

const RUMORS_OF_A_MESSAGE = 12
const TARGET_EVENTS_OF_A_MESSAGE = 32
const TARGET_EVENTS_OF_A_START = 512
const SUMMARIES_OF_A_MESSAGE = 1
const CONTACTS_OF_A_SUMMARY = 3

/** Makes a membership that knows only this node. */
export function createMembership (parts: MembershipParts): Membership {
  const { address, vm, failureDomain, logger, random } = parts
  const changeListeners = new Set<(entry: MemberEntry) => void>()
  const targetListeners = new Set<(event: TargetEvent) => void>()
  const generationListeners = new Set<(generation: number, address: string) => void>()
  const demands = new Map<string, Record<string, number>>()
  const others = createOtherDomains(failureDomain, random)
  const table = createMemberTable(reportChange)
  let incarnation = Date.now()
  const targetEvents = createTargetEvents(`${address}#${incarnation}`)
  let state = MemberState.Alive
  let isJoined = false
  let readDemand = (): Record<string, number> => ({})
  const demand = createDemand({
    own: () => readDemand(),
    ownDomain: () => demands.values(),
    aliveInDomain: () => aliveMembersOfDomain().length,
    others: others.summaries
  })

  function self (): MemberEntry {
    return { address, vm, failureDomain, incarnation, state, generation: parts.generation() }
  }

  function reportChange (entry: MemberEntry): void {
    if (entry.state === MemberState.Gone) demands.delete(entry.address)
    logger.info(LogEvent.MemberChanged, { peer: entry.address, state: entry.state, incarnation: entry.incarnation })
    for (const listener of changeListeners) listener(entry)
  }

  function aliveMembersOfDomain (): MemberEntry[] {
    return [self(), ...table.present()].filter(entry => entry.state === MemberState.Alive)
  }

  function merge (entry: MemberEntry): MergeResult {
    if (entry.address === address) return refute(entry)
    if (entry.failureDomain === failureDomain) return table.merge(entry)
    return MergeResult.Known
  }

  function refute (entry: MemberEntry): MergeResult {
    if (!isNewer(entry, self())) return MergeResult.Known
    incarnation = entry.incarnation + 1
    gossip.pushSoon()
    return MergeResult.Outdated
  }

  function summarize (): DomainSummary {
    const alive = aliveMembersOfDomain()
    const first = Math.floor(random.nextFloat() * alive.length)
    const contacts = [...alive.slice(first), ...alive.slice(0, first)].slice(0, CONTACTS_OF_A_SUMMARY)
    return { failureDomain, aliveMembers: alive.length, contacts, demand: demand.domainHeaviest(), ageMilliseconds: 0 }
  }

  function compose (receiverDomain: string | undefined, isWhole: boolean): GossipMessage {
    const isOwnDomain = receiverDomain === failureDomain
    const domains = others.takeSummaries(SUMMARIES_OF_A_MESSAGE, receiverDomain)
    return {
      sender: self(),
      digest: table.digest(self()),
      targetDigest: targetEvents.digest(),
      wantsAll: isJoined ? undefined : true,
      members: isOwnDomain ? (isWhole ? table.whole() : table.takeRumors(RUMORS_OF_A_MESSAGE)) : [],
      domains: isOwnDomain ? domains : [summarize(), ...domains],
      targetEvents: isWhole ? targetEvents.all(TARGET_EVENTS_OF_A_START) : targetEvents.takeRumors(TARGET_EVENTS_OF_A_MESSAGE),
      demand: isOwnDomain || receiverDomain === undefined ? demand.ownHeaviest() : {}
    }
  }

  function receive (message: GossipMessage): MemberEntry[] {
    const { sender } = message
    const outdated = [sender, ...message.members].filter(entry => merge(entry) === MergeResult.Outdated)
    if (sender.failureDomain === failureDomain) demands.set(sender.address, message.demand)
    else if (sender.state === MemberState.Alive) others.observe(sender)
    for (const summary of message.domains) others.merge(summary)
    receiveTargetEvents(message.targetEvents)
    for (const listener of generationListeners) listener(sender.generation, sender.address)
    return outdated.flatMap(entry => entry.address === address ? [self()] : table.get(entry.address) ?? [])
  }

  function receiveTargetEvents (events: TargetEvent[]): void {
    const news = targetEvents.merge(events)
    if (news.length === 0) return
    gossip.pushSoon()
    for (const event of news) notifyTarget(event)
  }

  function notifyTarget (event: TargetEvent): void {
    for (const listener of targetListeners) listener(event)
  }

  function answer (message: GossipMessage): GossipMessage {
    const corrections = receive(message)
    const isOwnDomain = message.sender.failureDomain === failureDomain
    const isWhole = message.wantsAll === true || (isOwnDomain && message.digest !== table.digest(self()))
    const reply = compose(message.sender.failureDomain, isWhole)
    const missed = message.targetDigest === targetEvents.digest() ? [] : targetEvents.lasting(TARGET_EVENTS_OF_A_START)
    return { ...reply, members: unique([...corrections, ...reply.members]), targetEvents: [...reply.targetEvents, ...missed] }
  }

  function receiveAnswer (message: GossipMessage): void {
    isJoined = true
    for (const correction of receive(message)) table.repeat(correction.address)
    if (message.targetDigest !== targetEvents.digest()) targetEvents.repeat()
    if (message.sender.failureDomain !== failureDomain || message.digest === table.digest(self())) return
    const told = new Map(message.members.map(entry => [entry.address, entry]))
    for (const entry of table.present()) {
      const known = told.get(entry.address)
      if (entry.address !== message.sender.address && (known === undefined || isNewer(entry, known))) table.repeat(entry.address)
    }
  }

  const gossip = createGossip({
    address,
    failureDomain,
    seeds: parts.seeds,
    peers: parts.peers,
    vmList: parts.vmList,
    random,
    table,
    others,
    isJoined: () => isJoined,
    compose: receiverDomain => compose(receiverDomain, false),
    receiveAnswer,
    sweep: targetEvents.sweep
  })

  return {
    self,
    members: () => [self(), ...table.present(), ...others.summaries().flatMap(summary => summary.contacts)],
    membersOfDomain: () => [self(), ...table.present()],
    aliveMembersOfDomain,
    aliveNodes: () => others.summaries().reduce((sum, summary) => sum + summary.aliveMembers, aliveMembersOfDomain().length),
    otherDomains: others.summaries,
    onChange: callback => subscribe(changeListeners, callback),
    announceTarget (target, targetState) {
      notifyTarget(targetEvents.announce(target, targetState))
      gossip.pushEverywhere()
    },
    onTargetEvent: callback => subscribe(targetListeners, callback),
    demandOf: demand.shareOf,
    setDemandSource: read => { readDemand = read },
    onGeneration: callback => subscribe(generationListeners, callback),
    pushSoon: gossip.pushSoon,
    start: gossip.start,
    leave () {
      state = MemberState.Leaving
      gossip.pushEverywhere()
    },
    stop: gossip.stop,
    handlers: { [PeerMethod.Gossip]: async message => answer(message) }
  }
}

function subscribe<T> (listeners: Set<T>, callback: T): () => void {
  listeners.add(callback)
  return () => { listeners.delete(callback) }
}

function unique (entries: MemberEntry[]): MemberEntry[] {
  return [...new Map(entries.map(entry => [entry.address, entry])).values()]
}
