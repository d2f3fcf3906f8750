/**
 * Checks on demand how fresh the configuration is when the running watch has no recent proof. It asks the store, and peers that may still
 * reach the store.
 */
import { describeFailure, type PollableKeyValue } from '@wigeonlead/protocol'
import { z } from 'zod'
import { pause } from 'wigeonlead'
import type { PeerLink } from '../connection/peer-link.js'
import type { Beliefs } from './beliefs.js'
import { instantBefore, presentInstant, type Instant } from './instant.js'
import type { Peers } from './peers.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** Refreshes the proof that the configuration is current. */
export interface Freshness {
  /** Resolves once keys may be accepted again, or once neither the store nor a peer gave a proof in time; never rejects. */
  learn: () => Promise<void>
}

/** Dependencies of the freshness check. */
export interface FreshnessParts {
  self: string
  store: PollableKeyValue
  configurationKey: string
  beliefs: Beliefs
  peers: Peers
  link: PeerLink
  log: RelayLog
}

const REQUEST_METHOD = 'freshness-asked'
const REPLY_METHOD = 'freshness-told'
/**
 * Time limit of one check, for which callers wait, milliseconds: many times the usual response time of the store, and short for callers.
 */
const CHECK_TIMEOUT_MILLISECONDS = 250
/** Cooldown after a failed check, milliseconds: callers are refused at once during this time. */
const RETRY_COOLDOWN_MILLISECONDS = 500
/** Fan-out of a check: the store may reject some of these peers too, and datagrams get lost. */
const PEER_FANOUT = 4
/** Size limit of a configuration in a datagram, bytes. For a longer one only the version is sent. */
const TEXT_BYTES_LIMIT = 48_000

const requestSchema = z.object({ vm: z.string(), question: z.number(), version: z.number() })
const replySchema = z.object({
  vm: z.string(),
  question: z.number(),
  version: z.number(),
  ageMilliseconds: z.number().min(0),
  text: z.string().optional()
})

/** Creates a freshness check and starts to answer the checks of peers. */
export function createFreshness (parts: FreshnessParts): Freshness {
  const { self, store, beliefs, peers, link, log } = parts
  const pendingChecks = new Map<number, { sentAt: Instant, onFresh: () => void }>()
  let nextQuestion = 1
  let failedAt = -Infinity
  let checkInProgress: Promise<void> | undefined

  link.on(REQUEST_METHOD, parameters => {
    const request = requestSchema.parse(parameters)
    const peer = peers.find(request.vm)
    const version = beliefs.version()
    const ageMilliseconds = beliefs.age()
    if (peer === undefined || version === undefined || !Number.isFinite(ageMilliseconds)) return
    const isNewer = version.configuration.version > request.version
    const text = isNewer && Buffer.byteLength(version.text) <= TEXT_BYTES_LIMIT ? version.text : undefined
    link.notify(peer.address, REPLY_METHOD, {
      vm: self, question: request.question, version: version.configuration.version, ageMilliseconds, text
    })
  })

  link.on(REPLY_METHOD, parameters => {
    const reply = replySchema.parse(parameters)
    const pending = pendingChecks.get(reply.question)
    if (pending === undefined) return
    if (reply.text !== undefined) beliefs.take(reply.text, reply.vm)
    // The peer's proof was at least as recent when this process sent its request as it was when the peer answered.
    beliefs.prove(instantBefore(pending.sentAt, reply.ageMilliseconds), reply.version)
    if (beliefs.areKeysFresh()) pending.onFresh()
  })

  function askPeers (): Promise<string> {
    const question = nextQuestion++
    return new Promise(resolve => {
      pendingChecks.set(question, { sentAt: presentInstant(), onFresh: () => resolve('peer') })
      const version = beliefs.version()?.configuration.version ?? -1
      for (const peer of peers.sample(PEER_FANOUT)) link.notify(peer.address, REQUEST_METHOD, { vm: self, question, version })
      void pause(CHECK_TIMEOUT_MILLISECONDS).then(() => {
        pendingChecks.delete(question)
        resolve('none')
      })
    })
  }

  /** Resolves only with a proof: a peer may give one while the store does not answer. */
  async function askStore (onFailure: (reason: string) => void): Promise<string> {
    const sentAt = presentInstant()
    const answer = await store.get(parts.configurationKey, { deadlineMilliseconds: CHECK_TIMEOUT_MILLISECONDS })
    if (!answer.ok) {
      onFailure(describeFailure(answer.failure))
    } else if (answer.value.entry !== undefined) {
      beliefs.take(answer.value.entry.value, 'store')
      beliefs.prove(sentAt)
      if (beliefs.areKeysFresh()) return 'store'
    }
    return await new Promise<never>(() => {})
  }

  async function checkOnce (): Promise<void> {
    const staleMilliseconds = beliefs.age()
    let storeFailure: string | undefined
    const source = await Promise.race([askStore(reason => { storeFailure = reason }), askPeers()])
    if (!beliefs.areKeysFresh()) failedAt = performance.now()
    log.note(RelayEvent.FreshnessLearnt, {
      source,
      storeFailure,
      version: beliefs.version()?.configuration.version,
      beliefAgeMilliseconds: Math.round(beliefs.age()),
      wasMilliseconds: Math.round(staleMilliseconds)
    })
  }

  return {
    async learn () {
      if (performance.now() - failedAt < RETRY_COOLDOWN_MILLISECONDS) return
      checkInProgress ??= checkOnce().finally(() => { checkInProgress = undefined })
      await checkInProgress
    }
  }
}
