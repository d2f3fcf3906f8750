/**
 * Confirms on demand that the configuration is current, if polling the store has not confirmed it recently. The check queries the store and
 * a few random peers at once, because a peer may reach the store when this process does not.
 */
import { describeFailure, type PollableKeyValue } from '@wigeonlead/protocol'
import { z } from 'zod'
import { pause } from 'wigeonlead'
import { COMPRESSED_FROM_CHARACTERS, compressText, expandText } from '../connection/compressed-text.js'
import { MESSAGE_BYTES_LIMIT } from '../connection/message-parts.js'
import type { PeerLink } from '../connection/peer-link.js'
import type { ConfigurationState, VersionInForce } from './configuration-state.js'
import { instantBefore, presentInstant, type Instant } from './instant.js'
import type { Peers } from './membership/peers.js'
import { RelayEvent, type RelayLog } from './relay-log.js'
import type { StoreEra } from './store-era.js'

/** Checks whether the configuration is still current. */
export interface FreshnessCheck {
  /**
   * Runs a check, or joins the one in progress. Resolves when API keys may be accepted again, when the check times out, or at once during
   * the cooldown after a failed check. Never rejects.
   */
  refresh: () => Promise<void>
}

/** Dependencies of the freshness check. */
export interface FreshnessDependencies {
  ownVm: string
  store: PollableKeyValue
  configurationKey: string
  configurationState: ConfigurationState
  peers: Peers
  link: PeerLink
  era: StoreEra
  log: RelayLog
}

const REQUEST_METHOD = 'freshness-asked'
const REPLY_METHOD = 'freshness-told'
/**
 * Timeout of one check, milliseconds: many times the usual response time of the store, and short enough for callers that wait for the
 * check.
 */
const CHECK_TIMEOUT_MILLISECONDS = 250
/** Cooldown after a failed check, milliseconds. During it no check is run, and requests that need a fresh configuration are refused. */
const RETRY_COOLDOWN_MILLISECONDS = 500
/** Number of peers that one check queries. More than one, because the store may reject the calls of some peers, and datagrams get lost. */
const PEER_FANOUT = 4
/**
 * Size limit of a configuration text in a reply to an earlier build, bytes: it must fit into a datagram. A reply leaves out a longer text,
 * and still states the version and its age.
 */
const DATAGRAM_TEXT_BYTES_LIMIT = 48_000
/** Size limit of a configuration text in any other reply, bytes. */
const TEXT_BYTES_LIMIT = 0.9 * MESSAGE_BYTES_LIMIT

const requestSchema = z.object({
  vm: z.string(),
  question: z.number(),
  version: z.number(),
  /** Whether the requester reads replies in several datagrams, and compressed texts. Earlier builds do not. */
  readsLongAnswers: z.boolean().default(false)
})
const replySchema = z.object({
  vm: z.string(),
  question: z.number(),
  version: z.number(),
  ageMilliseconds: z.number().min(0),
  text: z.string().optional(),
  compressedText: z.string().optional(),
  /** Era of the store that the peer knows, and for how long at least it has lasted, milliseconds. */
  era: z.tuple([z.number(), z.number()]).rest(z.unknown()).optional()
})

/** Creates a freshness check and starts to answer the queries of peers. */
export function createFreshnessCheck (dependencies: FreshnessDependencies): FreshnessCheck {
  const { ownVm, store, configurationState, peers, link, era, log } = dependencies
  const pendingQueries = new Map<number, { sentAt: Instant, onFresh: () => void }>()
  let nextQueryId = 1
  let lastFailedAt = -Infinity
  let checkInProgress: Promise<void> | undefined
  /** The latest version whose text was too long for a reply; one line is logged for each. */
  let tooLongVersion: number | undefined
  /** The latest version that was sent to a peer in compressed form. */
  let compressed: { version: VersionInForce, text: string } | undefined

  link.on(REQUEST_METHOD, parameters => {
    const request = requestSchema.parse(parameters)
    const peer = peers.find(request.vm)
    const current = configurationState.current()
    const ageMilliseconds = configurationState.age()
    if (peer === undefined || current === undefined || !Number.isFinite(ageMilliseconds)) return
    const isNewer = current.configuration.version > request.version
    link.notify(peer.address, REPLY_METHOD, {
      vm: ownVm,
      question: request.question,
      version: current.configuration.version,
      ageMilliseconds,
      ...isNewer ? writeText(current, request.readsLongAnswers) : {},
      era: era.current() === 0 ? undefined : [era.current(), Math.floor(era.ageMilliseconds())]
    }, { mayBeSplit: request.readsLongAnswers })
  })

  link.on(REPLY_METHOD, parameters => {
    const reply = replySchema.parse(parameters)
    const pending = pendingQueries.get(reply.question)
    if (pending === undefined) return
    if (reply.era !== undefined) era.learn(reply.era[0], reply.era[1], reply.vm)
    const text = reply.compressedText === undefined ? reply.text : expandText(reply.compressedText)
    if (text !== undefined) configurationState.adopt(text, reply.vm)
    // The peer measured the age of its confirmation after this process had sent the query. So the confirmation is at least as recent as the
    // instant that lies this age before the send.
    configurationState.confirm(instantBefore(pending.sentAt, reply.ageMilliseconds), reply.version)
    if (configurationState.areKeysFresh()) pending.onFresh()
  })

  /** @returns the text of a version as a reply carries it; nothing if it is too long. */
  function writeText (version: VersionInForce, mayBeLong: boolean): { text?: string, compressedText?: string } {
    const isCompressed = mayBeLong && version.text.length >= COMPRESSED_FROM_CHARACTERS
    const text = isCompressed ? compressOnce(version) : version.text
    const bytes = Buffer.byteLength(text)
    if (bytes <= (mayBeLong ? TEXT_BYTES_LIMIT : DATAGRAM_TEXT_BYTES_LIMIT)) return isCompressed ? { compressedText: text } : { text }
    if (tooLongVersion !== version.configuration.version) {
      tooLongVersion = version.configuration.version
      log.warn(RelayEvent.PeerReplyTooLong, { reply: REPLY_METHOD, bytes, version: tooLongVersion })
    }
    return {}
  }

  function compressOnce (version: VersionInForce): string {
    if (compressed?.version !== version) compressed = { version, text: compressText(version.text) }
    return compressed.text
  }

  function queryPeers (): Promise<string> {
    const queryId = nextQueryId++
    return new Promise(resolve => {
      pendingQueries.set(queryId, { sentAt: presentInstant(), onFresh: () => resolve('peer') })
      const version = configurationState.current()?.configuration.version ?? -1
      for (const peer of peers.sample(PEER_FANOUT)) {
        link.notify(peer.address, REQUEST_METHOD, { vm: ownVm, question: queryId, version, readsLongAnswers: true })
      }
      void pause(CHECK_TIMEOUT_MILLISECONDS).then(() => {
        pendingQueries.delete(queryId)
        resolve('none')
      })
    })
  }

  /**
   * Resolves if the answer of the store makes the keys fresh. Never settles otherwise, so that the race goes on until a peer confirms the
   * configuration or the check times out.
   */
  async function queryStore (onFailure: (reason: string) => void): Promise<string> {
    const sentAt = presentInstant()
    const answer = await store.get(dependencies.configurationKey, { deadlineMilliseconds: CHECK_TIMEOUT_MILLISECONDS })
    if (!answer.ok) {
      onFailure(describeFailure(answer.failure))
    } else if (answer.value.entry !== undefined) {
      const shownVersion = configurationState.adopt(answer.value.entry.value, 'store')
      if (era.isSettledAt(sentAt)) configurationState.confirm(sentAt, shownVersion)
      if (configurationState.areKeysFresh()) return 'store'
    }
    return await new Promise<never>(() => {})
  }

  async function checkOnce (): Promise<void> {
    const ageBeforeMilliseconds = configurationState.age()
    let storeFailure: string | undefined
    const confirmedBy = await Promise.race([queryStore(reason => { storeFailure = reason }), queryPeers()])
    if (!configurationState.areKeysFresh()) lastFailedAt = performance.now()
    log.info(RelayEvent.FreshnessChecked, {
      source: confirmedBy,
      storeFailure,
      version: configurationState.current()?.configuration.version,
      beliefAgeMilliseconds: Math.round(configurationState.age()),
      wasMilliseconds: Math.round(ageBeforeMilliseconds)
    })
  }

  return {
    async refresh () {
      if (performance.now() - lastFailedAt < RETRY_COOLDOWN_MILLISECONDS) return
      checkInProgress ??= checkOnce().finally(() => { checkInProgress = undefined })
      await checkInProgress
    }
  }
}
