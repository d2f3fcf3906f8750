/**
 * Keeps the configuration in force at this node: the highest generation seen from any source, never a lower one.
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

/** The configuration at one node. */
export interface Configuration {
  current: () => CompiledVersion | undefined
  /** Calls back after each change. @returns what ends that. */
  onChange: (callback: (version: CompiledVersion) => void) => () => void
  /** Takes note of a head that was seen anywhere; a lower generation is ignored. */
  observeHead: (head: ConfigurationHead, peer?: string) => Promise<void>
  start: () => void
  stop: () => void
  handlers: PeerHandlers
}

/** What the configuration needs. */
export interface ConfigurationParts {
  keyValue: KeyValuePort
  peers: PeerPort
  membership: Membership
  vmList: VmListPort
  /** Addresses of other nodes, asked at the start beside those of the VM list. */
  seeds: string[]
  random: RandomSource
  logger: Logger
}

const PEERS_ASKED_FOR_PARTS = 2
const MAXIMUM_DISPLACED = 4
const MAXIMUM_REPORTED = 256
/** Every peer that has a refused head offers it several times a second. */
const REFUSED_MILLISECONDS = 2000

/** Makes the configuration of a node, empty until it is started. */
export function createConfiguration ({ keyValue, peers, membership, vmList, seeds, random, logger }: ConfigurationParts): Configuration {
  const listeners = new Set<(version: CompiledVersion) => void>()
  const parts = createPartStore(keyValue, peers)
  const underWay = new Map<string, Promise<void>>()
  const reported = new Set<string>()
  /** Heads that one of another line took over from; kept until the one in force holds what they brought. */
  let displaced: ConfigurationHead[] = []
  let previous: ConfigurationHead | undefined
  /** The head that was refused last, and until when it isn't tried again. */
  let refused: { head: ConfigurationHead, untilMilliseconds: number } | undefined
  let current: CompiledVersion | undefined

  function generation (): number {
    return current?.head.generation ?? 0
  }

  async function observeHead (head: ConfigurationHead, peer?: string): Promise<void> {
    if (head.generation === generation() && head.nonce !== current?.head.nonce) reportOnce(head, 'another head has the same generation')
    if (head.generation <= generation() || refusedHead()?.nonce === head.nonce) return
    const running = underWay.get(head.nonce)
    if (running !== undefined) return await running
    const work = adopt(head, peer).finally(() => underWay.delete(head.nonce))
    underWay.set(head.nonce, work)
    await work
  }

  async function adopt (head: ConfigurationHead, peer: string | undefined): Promise<void> {
    const fetched = await parts.fetch(head, peer, someMembers())
    if ('missing' in fetched) return refuse(head, `part ${fetched.missing} could not be had`)
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
    refused = { head, untilMilliseconds: performance.now() + REFUSED_MILLISECONDS }
    reportOnce(head, reason)
  }

  function refusedHead (): ConfigurationHead | undefined {
    return refused !== undefined && performance.now() < refused.untilMilliseconds ? refused.head : undefined
  }

  function putInForce (version: CompiledVersion): void {
    const before = current?.head
    current = version
    if (before !== undefined) displaced = [...displaced, before].slice(-MAXIMUM_DISPLACED)
    displaced = displaced.filter(head => mergeHeads(head, version.head, '') !== undefined)
    previous = before
    parts.retain([version.head, ...displaced, ...(previous === undefined ? [] : [previous])])
    logger.info(LogEvent.ConfigurationInForce, { generation: version.head.generation })
    membership.pushSoon()
    for (const listener of listeners) listener(version)
  }

  function reportOnce (head: ConfigurationHead, reason: string): void {
    warnOnce(`${head.nonce} ${reason}`, { generation: head.generation, reason })
  }

  function warnOnce (key: string, fields: LogFields): void {
    if (reported.has(key)) return
    if (reported.size >= MAXIMUM_REPORTED) reported.clear()
    reported.add(key)
    logger.warn(LogEvent.ConfigurationRefused, fields)
  }

  function someMembers (): string[] {
    const others = membership.aliveMembersOfDomain().map(entry => entry.address).filter(address => address !== membership.self().address)
    const first = Math.floor(random.nextFloat() * others.length)
    return [...others.slice(first), ...others.slice(0, first)].slice(0, PEERS_ASKED_FOR_PARTS)
  }

  const repair = createRepair({
    keyValue,
    random,
    logger,
    parts,
    accepted: () => [...(current === undefined ? [] : [current.head]), ...displaced],
    observe: head => observeHead(head)
  })

  const sources = createSources({
    keyValue,
    peers,
    membership,
    vmList,
    seeds,
    random,
    isWanted: offered => offered > Math.max(generation(), refusedHead()?.generation ?? 0),
    observe: observeHead,
    isAmiss: repair.isAmiss,
    repair: repair.run,
    onMalformed: source => warnOnce(source, { peer: source, reason: 'not a head' })
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
      [PeerMethod.ConfigurationParts]: async ({ digests }) => ({ parts: parts.find(digests) })
    }
  }
}
