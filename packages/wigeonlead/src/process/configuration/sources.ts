/**
 * The sources from which a node learns heads: polls of the key-value service, a watch that only a few nodes keep open, and peers
 * whose gossip carries a higher generation.
 */
import { createHash } from 'node:crypto'
import {
  CONFIGURATION_HEAD_KEY, FailureKind, PeerMethod, configurationHeadSchema, parseHead, readHead, type ConfigurationHead,
  type KeyValueEntry, type KeyValuePort, type PeerPort, type RandomSource, type VmListPort
} from '@wigeonlead/protocol'
import type { Membership } from '../membership/index.js'
import { pauseInBackground } from '../pause.js'

/** Dependencies of the sources. */
export interface SourceOptions {
  keyValue: KeyValuePort
  peers: PeerPort
  membership: Membership
  vmList: VmListPort
  seeds: string[]
  random: RandomSource
  /** Returns whether a peer's head should be fetched when the peer announces this generation. */
  isWanted: (generation: number) => boolean
  /** Called with a head from the key-value service, or from `peer` if that is given. */
  observe: (head: ConfigurationHead, peer?: string) => Promise<void>
  /** Returns whether a head read from the key-value service differs from the expected one. */
  needsRepair: (head: ConfigurationHead | undefined) => boolean
  /** Writes the expected head to the key-value service. */
  repair: (head: ConfigurationHead | undefined) => Promise<void>
  /** Called with the source of a head that can't be parsed. */
  onMalformed: (source: string) => void
}

/** The head sources of one node. */
export interface Sources {
  start: () => void
  stop: () => void
}

const MINIMUM_POLL_INTERVAL_MILLISECONDS = 2000
/** The poll interval grows with the fleet, so that all nodes together make at most about a hundred polls a second. */
const POLL_INTERVAL_MILLISECONDS_PER_NODE = 10
const POLL_JITTER_SHARE = 0.1
/** Number of polls that a node that is not a watcher waits before it makes a repair, so that a watcher can make it first. */
const NON_WATCHER_REPAIR_DELAY_POLLS = 2
const WATCHERS_PER_DOMAIN = 3
const WATCH_CHECK_MILLISECONDS = 1000
/** A watch is restarted after this time: its connection may be dead, or a restore may have reset the store below the awaited revision. */
const WATCH_LIFETIME_MILLISECONDS = 60_000
const PEERS_QUERIED_AT_START = 8
const START_TIMEOUT_MILLISECONDS = 1000
const HEAD_DEADLINE_MILLISECONDS = 1000

/** Creates the sources, not yet started. */
export function createSources (options: SourceOptions): Sources {
  const { keyValue, peers, membership, random, observe } = options
  const stopController = new AbortController()
  let isPulling = false
  let pollsNeedingRepair = 0

  async function poll (): Promise<void> {
    const read = await readHead(keyValue)
    if (!read.ok) {
      if (read.failure.kind === FailureKind.Malformed) options.onMalformed(read.failure.peer)
      return
    }
    const { head } = read.value
    if (head !== undefined) await observe(head)
    pollsNeedingRepair = options.needsRepair(head) ? pollsNeedingRepair + 1 : 0
    if (pollsNeedingRepair > (isWatcher() ? 0 : NON_WATCHER_REPAIR_DELAY_POLLS)) await options.repair(head)
  }

  async function pollRepeatedly (): Promise<void> {
    while (!stopController.signal.aborted) {
      await poll()
      const interval = Math.max(MINIMUM_POLL_INTERVAL_MILLISECONDS, membership.aliveNodeCount() * POLL_INTERVAL_MILLISECONDS_PER_NODE)
      await pauseInBackground(interval * (1 + (random.nextFloat() * 2 - 1) * POLL_JITTER_SHARE))
    }
  }

  /** Returns whether this node is one of the three watchers of its failure domain: the alive members with the highest address hashes. */
  function isWatcher (): boolean {
    const ownScore = watcherScore(membership.self().address)
    const membersWithHigherScore = membership.aliveMembersOfDomain().filter(entry => watcherScore(entry.address) > ownScore)
    return membersWithHigherScore.length < WATCHERS_PER_DOMAIN
  }

  async function watchRepeatedly (): Promise<void> {
    while (!stopController.signal.aborted) {
      if (isWatcher()) await watchWhileWatcher()
      await pauseInBackground(WATCH_CHECK_MILLISECONDS)
    }
  }

  async function watchWhileWatcher (): Promise<void> {
    const read = await keyValue.get(CONFIGURATION_HEAD_KEY)
    if (!read.ok) return
    await observeEntry(read.value.entry)
    const ended = new AbortController()
    const endsAt = performance.now() + WATCH_LIFETIME_MILLISECONDS
    const check = setInterval(() => {
      if (!isWatcher() || performance.now() >= endsAt) ended.abort()
    }, WATCH_CHECK_MILLISECONDS).unref()
    const signal = AbortSignal.any([stopController.signal, ended.signal])
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
    else if (entry !== undefined) options.onMalformed(CONFIGURATION_HEAD_KEY)
  }

  async function pullHeadFrom (address: string): Promise<void> {
    if (isPulling || stopController.signal.aborted) return
    isPulling = true
    try {
      const head = await fetchHeadFrom(address)
      if (head !== undefined) await observe(head, address)
    } finally {
      isPulling = false
    }
  }

  async function fetchHeadFrom (address: string): Promise<ConfigurationHead | undefined> {
    const outcome = await peers.call(address, PeerMethod.ConfigurationHead, {}, HEAD_DEADLINE_MILLISECONDS)
    if (!outcome.ok || outcome.value.head === undefined) return undefined
    const parsed = configurationHeadSchema.safeParse(outcome.value.head)
    if (!parsed.success) options.onMalformed(address)
    return parsed.success ? parsed.data : undefined
  }

  /** Adopts the head with the highest generation at the key-value service and the peers; called when the node starts. */
  async function adoptHighestHead (): Promise<void> {
    const found: Array<{ head: ConfigurationHead, peer?: string }> = []
    const fromKeyValue = readHead(keyValue).then(read => {
      if (read.ok && read.value.head !== undefined) found.push({ head: read.value.head })
    })
    await Promise.race([Promise.all([fromKeyValue, fetchHeadsFromPeers(found)]), pauseInBackground(START_TIMEOUT_MILLISECONDS)])
    found.sort((left, right) => right.head.generation - left.head.generation)
    for (const { head, peer } of found) await observe(head, peer)
  }

  async function fetchHeadsFromPeers (found: Array<{ head: ConfigurationHead, peer?: string }>): Promise<void> {
    const listed = await options.vmList.list()
    const fromList = listed.ok ? listed.value.flatMap(vm => vm.peerPort === undefined ? [] : [`${vm.address}:${vm.peerPort}`]) : []
    const addresses = new Set([...options.seeds, ...fromList])
    addresses.delete(membership.self().address)
    const first = Math.floor(random.nextFloat() * addresses.size)
    const chosen = [...addresses, ...addresses].slice(first, first + Math.min(PEERS_QUERIED_AT_START, addresses.size))
    await Promise.all(chosen.map(async peer => {
      const head = await fetchHeadFrom(peer)
      if (head !== undefined) found.push({ head, peer })
    }))
  }

  async function run (): Promise<void> {
    await adoptHighestHead()
    membership.onGeneration((generation, address) => { if (options.isWanted(generation)) void pullHeadFrom(address) })
    await Promise.all([pollRepeatedly(), watchRepeatedly()])
  }

  return {
    start: () => { void run() },
    stop: () => stopController.abort()
  }
}

function watcherScore (address: string): string {
  return createHash('sha256').update(`configuration ${address}`).digest('hex')
}
