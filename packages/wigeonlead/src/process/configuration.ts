/**
 * Keeps the configuration in force at this node: the highest generation seen from any source, never a lower one.
 */
import {
  CONFIGURATION_HEAD_KEY, CONFIGURATION_PART_PREFIX, PeerMethod, digestText, joinManifest, parseHead,
  type ConfigurationHead, type KeyValuePort, type PeerHandlers
} from '@wigeonlead/protocol'
import { compileVersion, type CompiledVersion } from '../version/index.js'
import { LogEvent, type Logger } from './logging.js'

/** The configuration at one node. */
export interface Configuration {
  current: () => CompiledVersion | undefined
  /** Calls back after each change. @returns what ends that. */
  onChange: (callback: (version: CompiledVersion) => void) => () => void
  /** Takes note of a head that was seen anywhere; a lower generation is ignored. */
  observeHead: (head: ConfigurationHead) => Promise<void>
  start: () => void
  stop: () => void
  handlers: PeerHandlers
}

/** What the configuration needs. */
export interface ConfigurationParts {
  keyValue: KeyValuePort
  logger: Logger
}

const POLL_INTERVAL_MILLISECONDS = 2000

/** Makes the configuration of a node, empty until it is started. */
export function createConfiguration ({ keyValue, logger }: ConfigurationParts): Configuration {
  const listeners = new Set<(version: CompiledVersion) => void>()
  const contents = new Map<string, string>()
  const stopped = new AbortController()
  let current: CompiledVersion | undefined

  async function poll (): Promise<void> {
    const read = await keyValue.get(CONFIGURATION_HEAD_KEY)
    if (!read.ok || read.value.entry === undefined) return
    const head = parseHead(read.value.entry)
    if (head !== undefined) await observeHead(head)
  }

  async function observeHead (head: ConfigurationHead): Promise<void> {
    if (head.generation <= (current?.head.generation ?? 0)) return
    const parts = await Promise.all(head.parts.map(readPart))
    if (parts.some(part => part === undefined) || head.generation <= (current?.head.generation ?? 0)) return
    current = compileVersion(head, joinManifest(parts as string[]))
    logger.info(LogEvent.ConfigurationInForce, { generation: head.generation })
    for (const listener of listeners) listener(current)
  }

  async function readPart (digest: string): Promise<string | undefined> {
    const known = contents.get(digest)
    if (known !== undefined) return known
    const read = await keyValue.get(CONFIGURATION_PART_PREFIX + digest)
    const content = read.ok ? read.value.entry?.value : undefined
    if (content === undefined || digestText(content) !== digest) return undefined
    contents.set(digest, content)
    return content
  }

  async function pollAgain (): Promise<void> {
    while (!stopped.signal.aborted) {
      await poll()
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MILLISECONDS).unref())
    }
  }

  async function watchAgain (): Promise<void> {
    while (!stopped.signal.aborted) {
      const read = await keyValue.get(CONFIGURATION_HEAD_KEY)
      if (read.ok) {
        for await (const events of keyValue.watch(CONFIGURATION_HEAD_KEY, read.value.revision, stopped.signal)) {
          for (const event of events) {
            const head = event.entry === undefined ? undefined : parseHead(event.entry)
            if (head !== undefined) await observeHead(head)
          }
        }
      }
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MILLISECONDS).unref())
    }
  }

  return {
    current: () => current,
    onChange (callback) {
      listeners.add(callback)
      return () => listeners.delete(callback)
    },
    observeHead,
    start () {
      void pollAgain()
      void watchAgain()
    },
    stop: () => stopped.abort(),
    handlers: {
      [PeerMethod.ConfigurationHead]: async () => ({ head: current?.head }),
      [PeerMethod.ConfigurationParts]: async ({ digests }) => ({
        parts: digests.flatMap(digest => {
          const content = contents.get(digest)
          return content === undefined ? [] : [{ digest, content }]
        })
      })
    }
  }
}
