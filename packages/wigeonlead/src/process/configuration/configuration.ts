/**
 * Holds the configuration in force at this node: the highest generation seen from any source whose manifest could be fetched and
 * compiled. The generation never goes down.
 */
import {
  PeerMethod, joinManifest, mergeHeads, type ConfigurationHead, type KeyValuePort, type PeerHandlers, type PeerPort, type RandomSource,
  type VmListPort
} from '@wigeonlead/protocol'
import { compileVersion, type CompiledVersion } from '../../version/index.js'
import { LogEvent, type LogFields, type Logger } from '../logging.js'
import type { Membership } from '../membership/index.js'
import { createPartStore } from './part-store.js'
import { createRepair } from './repair.js'
import { createSources } from './sources.js'

/** The configuration of one node. */
export interface Configuration {
  current: () => CompiledVersion | undefined
  /** Calls back after each change. @returns a function that unsubscribes. */
  onChange: (callback: (version: CompiledVersion) => void) => () => void
  /** Adopts a head seen at any source if its generation is higher than the one in force and it was not refused just before. */
  observeHead: (head: ConfigurationHead, peer?: string) => Promise<void>
  start: () => void
  stop: () => void
  handlers: PeerHandlers
}

/** Dependencies of the configuration. */
export interface ConfigurationOptions {
  keyValue: KeyValuePort
  peers: PeerPort
  membership: Membership
  vmList: VmListPort
  /** Addresses of other nodes, queried at the start in addition to those in the VM list. */
  seeds: string[]
  random: RandomSource
  logger: Logger
}

const PEERS_TRIED_FOR_PARTS = 2
const MAXIMUM_DISPLACED_HEADS = 4
const MAXIMUM_REPORTED_FAULTS = 256
/** A refused head is not retried for this time: every peer that has it offers it several times a second. */
const REFUSED_RETRY_MILLISECONDS = 2000

/** Creates the configuration of a node, empty until it is started. */
export function createConfiguration ({ keyValue, peers, membership, vmList, seeds, random, logger }: ConfigurationOptions): Configuration {
  const listeners = new Set<(version: CompiledVersion) => void>()
  const partStore = createPartStore(keyValue, peers)
  const pendingAdoptions = new Map<string, Promise<void>>()
  const reportedFaults = new Set<string>()
  /** Heads replaced by one that was not built on them; kept until the head in force contains their changes. */
  let displacedHeads: ConfigurationHead[] = []
  let previousHead: ConfigurationHead | undefined
  /** The head that was refused last, and until when it is not retried. */
  let lastRefused: { head: ConfigurationHead, untilMilliseconds: number } | undefined
  let current: CompiledVersion | undefined

  function generation (): number {
    return current?.head.generation ?? 0
  }

  async function observeHead (head: ConfigurationHead, peer?: string): Promise<void> {
    if (head.generation === generation() && head.nonce !== current?.head.nonce) reportOnce(head, 'another head has the same generation')
    if (head.generation <= generation() || currentlyRefusedHead()?.nonce === head.nonce) return
    const pending = pendingAdoptions.get(head.nonce)
    if (pending !== undefined) return await pending
    const adoption = adopt(head, peer).finally(() => pendingAdoptions.delete(head.nonce))
    pendingAdoptions.set(head.nonce, adoption)
    await adoption
  }

  async function adopt (head: ConfigurationHead, peer: string | undefined): Promise<void> {
    const fetched = await partStore.fetch(head, peer, pickMembers())
    if ('missing' in fetched) return refuse(head, `part ${fetched.missing} could not be fetched`)
    if (head.generation <= generation()) return
    const version = compile(head, fetched.contents)
    if (version !== undefined) putInForce(version)
  }

  function compile (head: ConfigurationHead, contents: string[]): CompiledVersion | undefined {
    try {
      return compileVersion(head, joinManifest(contents))
    } catch (error) {
      refuse(head, error instanceof Error ? error.message : String(error))
      return undefined
    }
  }

  function refuse (head: ConfigurationHead, reason: string): void {
    lastRefused = { head, untilMilliseconds: performance.now() + REFUSED_RETRY_MILLISECONDS }
    reportOnce(head, reason)
  }

  function currentlyRefusedHead (): ConfigurationHead | undefined {
    return lastRefused !== undefined && performance.now() < lastRefused.untilMilliseconds ? lastRefused.head : undefined
  }

  function putInForce (version: CompiledVersion): void {
    const replaced = current?.head
    current = version
    if (replaced !== undefined) displacedHeads = [...displacedHeads, replaced].slice(-MAXIMUM_DISPLACED_HEADS)
    displacedHeads = displacedHeads.filter(head => mergeHeads(head, version.head, '') !== undefined)
    previousHead = replaced
    partStore.retain([version.head, ...displacedHeads, ...(previousHead === undefined ? [] : [previousHead])])
    logger.info(LogEvent.ConfigurationInForce, { generation: version.head.generation })
    membership.scheduleGossip()
    for (const listener of listeners) listener(version)
  }

  function reportOnce (head: ConfigurationHead, reason: string): void {
    warnOnce(`${head.nonce} ${reason}`, { generation: head.generation, reason })
  }

  function warnOnce (key: string, fields: LogFields): void {
    if (reportedFaults.has(key)) return
    if (reportedFaults.size >= MAXIMUM_REPORTED_FAULTS) reportedFaults.clear()
    reportedFaults.add(key)
    logger.warn(LogEvent.ConfigurationRefused, fields)
  }

  function pickMembers (): string[] {
    const others = membership.aliveMembersOfDomain().map(entry => entry.address).filter(address => address !== membership.self().address)
    const first = Math.floor(random.nextFloat() * others.length)
    return [...others.slice(first), ...others.slice(0, first)].slice(0, PEERS_TRIED_FOR_PARTS)
  }

  const repair = createRepair({
    keyValue,
    random,
    logger,
    partStore,
    acceptedHeads: () => [...(current === undefined ? [] : [current.head]), ...displacedHeads],
    observe: head => observeHead(head)
  })

  const sources = createSources({
    keyValue,
    peers,
    membership,
    vmList,
    seeds,
    random,
    isWanted: offered => offered > Math.max(generation(), currentlyRefusedHead()?.generation ?? 0),
    observe: observeHead,
    needsRepair: repair.needsRepair,
    repair: repair.run,
    onMalformed: source => warnOnce(source, { peer: source, reason: 'not a valid configuration head' })
  })

  return {
    current: () => current,
    onChange (callback) {
      listeners.add(callback)
      return () => { listeners.delete(callback) }
    },
    observeHead,
    start: sources.start,
    stop: sources.stop,
    handlers: {
      [PeerMethod.ConfigurationHead]: async () => ({ head: current?.head }),
      [PeerMethod.ConfigurationParts]: async ({ digests }) => ({ parts: partStore.find(digests) })
    }
  }
}
