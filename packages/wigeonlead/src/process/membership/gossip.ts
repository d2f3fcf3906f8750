/**
 * The gossip rounds: which peers a node exchanges messages with and when, and how it records peers that can't be reached.
 */
import {
  FailureKind, MemberState, PeerMethod, type GossipMessage, type Outcome, type PeerPort, type RandomSource, type VmListPort
} from '@wigeonlead/protocol'
import type { ListedAddress, OtherDomains } from './domains.js'
import type { MemberTable } from './table.js'
import { pauseInBackground } from '../pause.js'

/** The gossip rounds of one node. */
export interface Gossip {
  start: () => void
  stop: () => void
  /** Sends a message to a few peers after a short delay, without waiting for the next round. */
  schedulePush: () => void
  /** Sends a message to a few peers and to a contact in each other failure domain after a short delay. */
  schedulePushToAllDomains: () => void
}

/** Dependencies and settings of the gossip rounds. */
export interface GossipOptions {
  address: string
  failureDomain: string
  seeds: string[]
  peers: PeerPort
  vmList: VmListPort
  random: RandomSource
  table: MemberTable
  otherDomains: OtherDomains
  /** Whether a peer has already replied to this node. */
  isJoined: () => boolean
  /**
   * Composes the message to send.
   * @param receiverDomain failure domain of the receiver, undefined when unknown.
   */
  compose: (receiverDomain: string | undefined) => GossipMessage
  receiveReply: (message: GossipMessage) => void
  /** Called once per round. */
  sweep: () => void
}

const ROUND_MILLISECONDS = 1000
const ROUND_JITTER_MILLISECONDS = 50
const PEERS_PER_ROUND = 2
const PEERS_PER_PUSH = 3
const ROUNDS_PER_DOMAIN_EXCHANGE = 2
const ROUNDS_PER_UNKNOWN_PEER_EXCHANGE = 5
const PUSH_DELAY_MILLISECONDS = 20
const CALL_DEADLINE_MILLISECONDS = 500
const VM_LIST_INTERVAL_MILLISECONDS = 30_000

/** Creates the gossip rounds, not yet started. */
export function createGossip (options: GossipOptions): Gossip {
  const { address, failureDomain, table, otherDomains, random } = options
  const stopController = new AbortController()
  let isStarted = false
  let shuffledPeers: string[] = []
  let listed: ListedAddress[] = []
  let pushTimer: NodeJS.Timeout | undefined
  let isPushToAllDomains = false
  let domainIndex = 0

  async function runRounds (): Promise<void> {
    for (let round = 0; !stopController.signal.aborted; round += 1) {
      table.sweep()
      options.sweep()
      runRound(round)
      await pauseInBackground(ROUND_MILLISECONDS + (random.nextFloat() * 2 - 1) * ROUND_JITTER_MILLISECONDS)
    }
  }

  function runRound (round: number): void {
    for (const peer of nextPeers(PEERS_PER_ROUND)) void exchangeWith(peer, failureDomain)
    if (round % ROUNDS_PER_DOMAIN_EXCHANGE === 0) exchangeWithDomain(nextDomain())
    if (!options.isJoined() || round % ROUNDS_PER_UNKNOWN_PEER_EXCHANGE === 0) exchangeWithUnknownPeer()
  }

  function exchangeWithDomain (name: string | undefined): void {
    const contact = name === undefined ? undefined : otherDomains.contactOf(name)
    if (contact !== undefined && contact !== address) void exchangeWith(contact, name)
  }

  /** Exchanges messages with an address that is not among the present members: a seed, a listed VM or a gone member. */
  function exchangeWithUnknownPeer (): void {
    const presentAddresses = new Set([address, ...table.present().map(entry => entry.address)])
    const contacts = new Set(otherDomains.summaries().flatMap(summary => summary.contacts.map(contact => contact.address)))
    const candidates = [
      ...options.seeds.filter(seed => !contacts.has(seed)),
      ...listed.filter(entry => entry.failureDomain === failureDomain).map(entry => entry.address),
      ...table.gone().map(entry => entry.address)
    ].filter(candidate => !presentAddresses.has(candidate))
    const unknownPeer = pick([...new Set(candidates)], random)
    const listedDomain = listed.find(entry => entry.address === unknownPeer)?.failureDomain
    if (unknownPeer !== undefined) void exchangeWith(unknownPeer, table.get(unknownPeer)?.failureDomain ?? listedDomain)
  }

  /** Visits all peers in random order before visiting any of them again, so that no peer is left out for long. */
  function nextPeers (count: number): string[] {
    const chosen: string[] = []
    const present = new Set(table.present().map(entry => entry.address))
    shuffledPeers = shuffledPeers.filter(peer => present.has(peer))
    while (chosen.length < Math.min(count, present.size)) {
      if (shuffledPeers.length === 0) shuffledPeers = shuffle([...present].filter(peer => !chosen.includes(peer)), random)
      const peer = shuffledPeers.pop()
      if (peer === undefined) break
      chosen.push(peer)
    }
    return chosen
  }

  function nextDomain (): string | undefined {
    const names = otherDomains.names()
    domainIndex += 1
    return names[domainIndex % Math.max(1, names.length)]
  }

  async function exchangeWith (peer: string, domain: string | undefined): Promise<void> {
    let outcome = await call(peer, domain)
    if (
      !outcome.ok && outcome.failure.kind !== FailureKind.Unreachable && !stopController.signal.aborted
    ) outcome = await call(peer, domain)
    if (stopController.signal.aborted) return
    otherDomains.recordContactResult(peer, outcome.ok)
    if (outcome.ok) options.receiveReply(outcome.value)
    else if (table.get(peer)?.state !== MemberState.Gone) table.suspect(peer)
  }

  function call (peer: string, domain: string | undefined): Promise<Outcome<GossipMessage>> {
    return options.peers.call(peer, PeerMethod.Gossip, options.compose(domain), CALL_DEADLINE_MILLISECONDS)
  }

  function push (): void {
    pushTimer = undefined
    for (const peer of pickSome(aliveAddresses(), PEERS_PER_PUSH, random)) void exchangeWith(peer, failureDomain)
    if (isPushToAllDomains) for (const name of otherDomains.names()) exchangeWithDomain(name)
    else exchangeWithDomain(pick(otherDomains.names(), random))
    isPushToAllDomains = false
  }

  function aliveAddresses (): string[] {
    return table.present().filter(entry => entry.state === MemberState.Alive).map(entry => entry.address)
  }

  function schedulePush (): void {
    if (!isStarted || stopController.signal.aborted) return
    pushTimer ??= setTimeout(push, PUSH_DELAY_MILLISECONDS).unref()
  }

  async function pollVmList (): Promise<void> {
    while (!stopController.signal.aborted) {
      const outcome = await options.vmList.list()
      if (outcome.ok) {
        listed = outcome.value.flatMap(entry => entry.peerPort === undefined
          ? []
          : [{ address: `${entry.address}:${entry.peerPort}`, failureDomain: entry.failureDomain }])
        otherDomains.setListed(listed)
      }
      await pauseInBackground(outcome.ok ? VM_LIST_INTERVAL_MILLISECONDS : ROUND_MILLISECONDS * ROUNDS_PER_UNKNOWN_PEER_EXCHANGE)
    }
  }

  return {
    start () {
      isStarted = true
      void pollVmList()
      void runRounds()
    },
    stop () {
      stopController.abort()
      clearTimeout(pushTimer)
    },
    schedulePush,
    schedulePushToAllDomains () {
      isPushToAllDomains = true
      schedulePush()
    }
  }
}

function pick<T> (items: T[], random: RandomSource): T | undefined {
  return items[Math.floor(random.nextFloat() * items.length)]
}

function pickSome<T> (items: T[], count: number, random: RandomSource): T[] {
  return shuffle([...items], random).slice(0, count)
}

function shuffle<T> (items: T[], random: RandomSource): T[] {
  for (let index = items.length - 1; index > 0; index -= 1) {
    const other = Math.floor(random.nextFloat() * (index + 1))
    const item = items[index] as T
    items[index] = items[other] as T
    items[other] = item
  }
  return items
}
