/**
 * Where a node learns heads from: its own polls, a watch on some nodes, and peers that say that they have a higher generation.
 */
import { createHash } from 'node:crypto'
import {
  CONFIGURATION_HEAD_KEY, FailureKind, PeerMethod, configurationHeadSchema, parseHead, readHead, type ConfigurationHead,
  type KeyValueEntry, type KeyValuePort, type PeerPort, type RandomSource, type VmListPort
} from '@wigeonlead/protocol'
import type { Membership } from '../membership/index.js'
import { pauseInBackground } from '../pause.js'

/** What the sources need. */
export interface SourceParts {
  keyValue: KeyValuePort
  peers: PeerPort
  membership: Membership
  vmList: VmListPort
  seeds: string[]
  random: RandomSource
  /** Tells whether a generation that a peer has is worth a call. */
  isWanted: (generation: number) => boolean
  /** Takes a head from the key-value service, or from a peer where one is named. */
  observe: (head: ConfigurationHead, peer?: string) => Promise<void>
  /** Tells whether the key-value service shows another head than it should. */
  isAmiss: (head: ConfigurationHead | undefined) => boolean
  /** Writes the right head. */
  repair: (head: ConfigurationHead | undefined) => Promise<void>
  /** Called when a head can't be read as one. */
  onMalformed: (source: string) => void
}

/** The sources of one node. */
export interface Sources {
  start: () => void
  stop: () => void
}

const POLL_FLOOR_MILLISECONDS = 2000
/** With every node polling, the fleet makes a hundred polls a second. */
const POLL_MILLISECONDS_OF_A_NODE = 10
const POLL_JITTER = 0.1
/** Polls for which a node that is no watcher leaves a repair to those that are. */
const POLLS_OF_PATIENCE = 2
const WATCHERS_OF_A_DOMAIN = 3
const WATCH_CHECK_MILLISECONDS = 1000
/** A watch is made anew after this time: it may hang on a dead connection, or wait for a revision that a restore took back. */
const WATCH_LIFETIME_MILLISECONDS = 60_000
const PEERS_ASKED_AT_START = 8
const START_MILLISECONDS = 1000
const HEAD_DEADLINE_MILLISECONDS = 1000

/** Makes the sources, not yet started. */
export function createSources (parts: SourceParts): Sources {
  const { keyValue, peers, membership, random, observe } = parts
  const stopped = new AbortController()
  let isPulling = false
  let pollsAmiss = 0

  async function poll (): Promise<void> {
    const read = await readHead(keyValue)
    if (!read.ok) {
      if (read.failure.kind === FailureKind.Malformed) parts.onMalformed(read.failure.peer)
      return
    }
    const { head } = read.value
    if (head !== undefined) await observe(head)
    pollsAmiss = parts.isAmiss(head) ? pollsAmiss + 1 : 0
    if (pollsAmiss > (isWatcher() ? 0 : POLLS_OF_PATIENCE)) await parts.repair(head)
  }

  async function pollAgain (): Promise<void> {
    while (!stopped.signal.aborted) {
      await poll()
      const interval = Math.max(POLL_FLOOR_MILLISECONDS, membership.aliveNodes() * POLL_MILLISECONDS_OF_A_NODE)
      await pauseInBackground(interval * (1 + (random.nextFloat() * 2 - 1) * POLL_JITTER))
    }
  }

  /** Three nodes of each failure domain watch: the highest of a hash over those that are alive. */
  function isWatcher (): boolean {
    const own = weightOf(membership.self().address)
    const higher = membership.aliveMembersOfDomain().filter(entry => weightOf(entry.address) > own)
    return higher.length < WATCHERS_OF_A_DOMAIN
  }

  async function watchAgain (): Promise<void> {
    while (!stopped.signal.aborted) {
      if (isWatcher()) await watchWhileChosen()
      await pauseInBackground(WATCH_CHECK_MILLISECONDS)
    }
  }

  async function watchWhileChosen (): Promise<void> {
    const read = await keyValue.get(CONFIGURATION_HEAD_KEY)
    if (!read.ok) return
    await observeEntry(read.value.entry)
    const ended = new AbortController()
    const endsAt = performance.now() + WATCH_LIFETIME_MILLISECONDS
    const check = setInterval(() => {
      if (!isWatcher() || performance.now() >= endsAt) ended.abort()
    }, WATCH_CHECK_MILLISECONDS).unref()
    const signal = AbortSignal.any([stopped.signal, ended.signal])
    try {
      await readWatch(read.value.revision, signal)
    } finally {
      clearInterval(check)
      ended.abort()
    }
  }

  async function readWatch (afterRevision: number, signal: AbortSignal): Promise<void> {
    for await (const events of keyValue.watch(CONFIGURATION_HEAD_KEY, afterRevision, signal)) {
      for (const { entry } of events) await observeEntry(entry)
    }
  }

  async function observeEntry (entry: KeyValueEntry | undefined): Promise<void> {
    const head = entry === undefined ? undefined : parseHead(entry)
    if (head !== undefined) await observe(head)
    else if (entry !== undefined) parts.onMalformed(CONFIGURATION_HEAD_KEY)
  }

  async function pullFrom (address: string): Promise<void> {
    if (isPulling || stopped.signal.aborted) return
    isPulling = true
    try {
      const head = await askPeer(address)
      if (head !== undefined) await observe(head, address)
    } finally {
      isPulling = false
    }
  }

  async function askPeer (address: string): Promise<ConfigurationHead | undefined> {
    const outcome = await peers.call(address, PeerMethod.ConfigurationHead, {}, HEAD_DEADLINE_MILLISECONDS)
    if (!outcome.ok || outcome.value.head === undefined) return undefined
    const parsed = configurationHeadSchema.safeParse(outcome.value.head)
    if (!parsed.success) parts.onMalformed(address)
    return parsed.success ? parsed.data : undefined
  }

  /** A starting node takes the highest of the key-value service and its peers. */
  async function takeHighest (): Promise<void> {
    const found: Array<{ head: ConfigurationHead, peer?: string }> = []
    const fromKeyValue = readHead(keyValue).then(read => {
      if (read.ok && read.value.head !== undefined) found.push({ head: read.value.head })
    })
    await Promise.race([Promise.all([fromKeyValue, askPeers(found)]), pauseInBackground(START_MILLISECONDS)])
    found.sort((left, right) => right.head.generation - left.head.generation)
    for (const { head, peer } of found) await observe(head, peer)
  }

  async function askPeers (found: Array<{ head: ConfigurationHead, peer?: string }>): Promise<void> {
    const listed = await parts.vmList.list()
    const fromList = listed.ok ? listed.value.flatMap(vm => vm.peerPort === undefined ? [] : [`${vm.address}:${vm.peerPort}`]) : []
    const addresses = new Set([...parts.seeds, ...fromList])
    addresses.delete(membership.self().address)
    const first = Math.floor(random.nextFloat() * addresses.size)
    const chosen = [...addresses, ...addresses].slice(first, first + Math.min(PEERS_ASKED_AT_START, addresses.size))
    await Promise.all(chosen.map(async peer => {
      const head = await askPeer(peer)
      if (head !== undefined) found.push({ head, peer })
    }))
  }

  async function run (): Promise<void> {
    await takeHighest()
    membership.onGeneration((generation, address) => { if (parts.isWanted(generation)) void pullFrom(address) })
    await Promise.all([pollAgain(), watchAgain()])
  }

  return {
    start: () => { void run() },
    stop: () => stopped.abort()
  }
}

function weightOf (address: string): string {
  return createHash('sha256').update(`configuration ${address}`).digest('hex')
}
