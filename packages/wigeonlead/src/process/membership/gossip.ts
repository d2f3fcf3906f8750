/**
 * The rounds of gossip: whom a node talks to and when, and what it notes of who can't be reached.
 */
import {
  FailureKind, MemberState, PeerMethod, type GossipMessage, type Outcome, type PeerPort, type RandomSource, type VmListPort
} from '@wigeonlead/protocol'
import type { ListedAddress, OtherDomains } from './domains.js'
import type { MemberTable } from './table.js'
import { pauseInBackground } from '../pause.js'

/** The rounds of gossip of one node. */
export interface Gossip {
  start: () => void
  stop: () => void
  /** Talks to a few peers at once. */
  pushSoon: () => void
  /** Talks to a few peers and to one of each other failure domain at once. */
  pushEverywhere: () => void
}

/** What the rounds need. */
export interface GossipParts {
  address: string
  failureDomain: string
  seeds: string[]
  peers: PeerPort
  vmList: VmListPort
  random: RandomSource
  table: MemberTable
  others: OtherDomains
  isJoined: () => boolean
  /** @param receiverDomain failure domain of the receiver, as far as it is known. */
  compose: (receiverDomain: string | undefined) => GossipMessage
  receiveAnswer: (message: GossipMessage) => void
  /** Called once a round. */
  sweep: () => void
}

const ROUND_MILLISECONDS = 1000
const ROUND_JITTER_MILLISECONDS = 50
const PEERS_OF_A_ROUND = 2
const PEERS_OF_A_PUSH = 3
const ROUNDS_BETWEEN_DOMAINS = 2
const ROUNDS_BETWEEN_STRANGERS = 5
const PUSH_DELAY_MILLISECONDS = 20
const CALL_DEADLINE_MILLISECONDS = 500
const LIST_INTERVAL_MILLISECONDS = 30_000

/** Makes the rounds of gossip, not yet started. */
export function createGossip (parts: GossipParts): Gossip {
  const { address, failureDomain, table, others, random } = parts
  const stopped = new AbortController()
  let isStarted = false
  let queue: string[] = []
  let listed: ListedAddress[] = []
  let pushTimer: NodeJS.Timeout | undefined
  let isPushEverywhere = false
  let domainTurn = 0

  async function talkAgain (): Promise<void> {
    for (let round = 0; !stopped.signal.aborted; round += 1) {
      table.sweep()
      parts.sweep()
      runRound(round)
      await pauseInBackground(ROUND_MILLISECONDS + (random.nextFloat() * 2 - 1) * ROUND_JITTER_MILLISECONDS)
    }
  }

  function runRound (round: number): void {
    for (const peer of nextPeers(PEERS_OF_A_ROUND)) void talk(peer, failureDomain)
    if (round % ROUNDS_BETWEEN_DOMAINS === 0) talkToDomain(nextDomain())
    if (!parts.isJoined() || round % ROUNDS_BETWEEN_STRANGERS === 0) talkToStranger()
  }

  function talkToDomain (name: string | undefined): void {
    const contact = name === undefined ? undefined : others.contactOf(name)
    if (contact !== undefined && contact !== address) void talk(contact, name)
  }

  function talkToStranger (): void {
    const known = new Set([address, ...table.present().map(entry => entry.address)])
    const contacts = new Set(others.summaries().flatMap(summary => summary.contacts.map(contact => contact.address)))
    const candidates = [
      ...parts.seeds.filter(seed => !contacts.has(seed)),
      ...listed.filter(entry => entry.failureDomain === failureDomain).map(entry => entry.address),
      ...table.gone().map(entry => entry.address)
    ].filter(candidate => !known.has(candidate))
    const stranger = pick([...new Set(candidates)], random)
    const inList = listed.find(entry => entry.address === stranger)?.failureDomain
    if (stranger !== undefined) void talk(stranger, table.get(stranger)?.failureDomain ?? inList)
  }

  /** Each peer once in random order, then again: no peer goes unheard for long. */
  function nextPeers (count: number): string[] {
    const chosen: string[] = []
    const present = new Set(table.present().map(entry => entry.address))
    queue = queue.filter(peer => present.has(peer))
    while (chosen.length < Math.min(count, present.size)) {
      if (queue.length === 0) queue = shuffle([...present].filter(peer => !chosen.includes(peer)), random)
      const peer = queue.pop()
      if (peer === undefined) break
      chosen.push(peer)
    }
    return chosen
  }

  function nextDomain (): string | undefined {
    const names = others.names()
    domainTurn += 1
    return names[domainTurn % Math.max(1, names.length)]
  }

  async function talk (peer: string, domain: string | undefined): Promise<void> {
    let outcome = await call(peer, domain)
    if (!outcome.ok && outcome.failure.kind !== FailureKind.Unreachable && !stopped.signal.aborted) outcome = await call(peer, domain)
    if (stopped.signal.aborted) return
    others.noteContact(peer, outcome.ok)
    if (outcome.ok) parts.receiveAnswer(outcome.value)
    else if (table.get(peer)?.state !== MemberState.Gone) table.suspect(peer)
  }

  function call (peer: string, domain: string | undefined): Promise<Outcome<GossipMessage>> {
    return parts.peers.call(peer, PeerMethod.Gossip, parts.compose(domain), CALL_DEADLINE_MILLISECONDS)
  }

  function push (): void {
    pushTimer = undefined
    for (const peer of pickSome(aliveAddresses(), PEERS_OF_A_PUSH, random)) void talk(peer, failureDomain)
    if (isPushEverywhere) for (const name of others.names()) talkToDomain(name)
    else talkToDomain(pick(others.names(), random))
    isPushEverywhere = false
  }

  function aliveAddresses (): string[] {
    return table.present().filter(entry => entry.state === MemberState.Alive).map(entry => entry.address)
  }

  function pushSoon (): void {
    if (!isStarted || stopped.signal.aborted) return
    pushTimer ??= setTimeout(push, PUSH_DELAY_MILLISECONDS).unref()
  }

  async function readListAgain (): Promise<void> {
    while (!stopped.signal.aborted) {
      const outcome = await parts.vmList.list()
      if (outcome.ok) {
        listed = outcome.value.flatMap(entry => entry.peerPort === undefined
          ? []
          : [{ address: `${entry.address}:${entry.peerPort}`, failureDomain: entry.failureDomain }])
        others.setListed(listed)
      }
      await pauseInBackground(outcome.ok ? LIST_INTERVAL_MILLISECONDS : ROUND_MILLISECONDS * ROUNDS_BETWEEN_STRANGERS)
    }
  }

  return {
    start () {
      isStarted = true
      void readListAgain()
      void talkAgain()
    },
    stop () {
      stopped.abort()
      clearTimeout(pushTimer)
    },
    pushSoon,
    pushEverywhere () {
      isPushEverywhere = true
      pushSoon()
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
