/**
 * Learns at once how new the configuration is, where the running watch has not told: asks the store, and peers that may still reach it.
 */
import { describeFailure, type PollableKeyValue } from '@wigeonlead/protocol'
import { z } from 'zod'
import { pause } from 'wigeonlead'
import type { PeerLink } from '../connection/peer-link.js'
import type { Beliefs } from './beliefs.js'
import { instantBefore, presentInstant, type Instant } from './instant.js'
import type { Peers } from './peers.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** Learns how new the configuration is. */
export interface Freshness {
  /** Resolves once keys may be accepted again, or once it is known that nobody tells; never rejects. */
  learn: () => Promise<void>
}

/** Parts of the freshness. */
export interface FreshnessParts {
  self: string
  store: PollableKeyValue
  configurationKey: string
  beliefs: Beliefs
  peers: Peers
  link: PeerLink
  log: RelayLog
}

const ASK_METHOD = 'freshness-asked'
const TELL_METHOD = 'freshness-told'
/** How long callers wait for the word, milliseconds: many times a usual answer of the store, and short against their patience. */
const LEARN_LIMIT_MILLISECONDS = 250
/** After nobody could tell, the next try waits so long, milliseconds: callers are refused at once meanwhile. */
const RETRY_MILLISECONDS = 500
/** Peers that are asked at once: the store may turn some of them away too, and datagrams get lost. */
const PEERS_ASKED = 4
/** A longer text is not told by datagram; the version alone is. */
const TEXT_BYTES_LIMIT = 48_000

const askSchema = z.object({ vm: z.string(), question: z.number(), version: z.number() })
const tellSchema = z.object({
  vm: z.string(),
  question: z.number(),
  version: z.number(),
  ageMilliseconds: z.number().min(0),
  text: z.string().optional()
})

/** Starts to answer peers' questions. */
export function createFreshness (parts: FreshnessParts): Freshness {
  const { self, store, beliefs, peers, link, log } = parts
  const questions = new Map<number, { askedAt: Instant, heard: () => void }>()
  let nextQuestion = 1
  let failedAt = -Infinity
  let learning: Promise<void> | undefined

  link.on(ASK_METHOD, parameters => {
    const asked = askSchema.parse(parameters)
    const peer = peers.find(asked.vm)
    const version = beliefs.version()
    const ageMilliseconds = beliefs.age()
    if (peer === undefined || version === undefined || !Number.isFinite(ageMilliseconds)) return
    const isNewer = version.configuration.version > asked.version
    const text = isNewer && Buffer.byteLength(version.text) <= TEXT_BYTES_LIMIT ? version.text : undefined
    link.notify(peer.address, TELL_METHOD, {
      vm: self, question: asked.question, version: version.configuration.version, ageMilliseconds, text
    })
  })

  link.on(TELL_METHOD, parameters => {
    const told = tellSchema.parse(parameters)
    const question = questions.get(told.question)
    if (question === undefined) return
    if (told.text !== undefined) beliefs.take(told.text, told.vm)
    // The peer's proof was at least as new when this process asked as it was when the peer answered.
    beliefs.prove(instantBefore(question.askedAt, told.ageMilliseconds), told.version)
    if (beliefs.areKeysFresh()) question.heard()
  })

  function askPeers (): Promise<string> {
    const question = nextQuestion++
    return new Promise(resolve => {
      questions.set(question, { askedAt: presentInstant(), heard: () => resolve('peer') })
      const version = beliefs.version()?.configuration.version ?? -1
      for (const peer of peers.anyOf(PEERS_ASKED)) link.notify(peer.address, ASK_METHOD, { vm: self, question, version })
      void pause(LEARN_LIMIT_MILLISECONDS).then(() => {
        questions.delete(question)
        resolve('nobody')
      })
    })
  }

  /** Resolves only with a proof: another source may tell while the store is silent. */
  async function askStore (onFailure: (reason: string) => void): Promise<string> {
    const sentAt = presentInstant()
    const answer = await store.get(parts.configurationKey, { deadlineMilliseconds: LEARN_LIMIT_MILLISECONDS })
    if (!answer.ok) {
      onFailure(describeFailure(answer.failure))
    } else if (answer.value.entry !== undefined) {
      beliefs.take(answer.value.entry.value, 'store')
      beliefs.prove(sentAt)
      if (beliefs.areKeysFresh()) return 'store'
    }
    return await new Promise<never>(() => {})
  }

  async function learnOnce (): Promise<void> {
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
      if (performance.now() - failedAt < RETRY_MILLISECONDS) return
      learning ??= learnOnce().finally(() => { learning = undefined })
      await learning
    }
  }
}
