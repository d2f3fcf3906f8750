/**
 * Confirms on demand that the configuration is current, if polling the store has not confirmed it recently. The check queries the store and
 * a few random peers at once, because a peer may reach the store when this process does not.
 */
import { describeFailure, type PollableKeyValue } from '@wigeonlead/protocol'
import { z } from 'zod'
import { pause } from 'wigeonlead'
import type { PeerLink } from '../connection/peer-link.js'
import type { ConfigurationState } from './configuration-state.js'
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
/** Size limit of a configuration text in a datagram, bytes. A reply leaves out a longer text; it still states the version and its age. */
const TEXT_BYTES_LIMIT = 48_000

const requestSchema = z.object({ vm: z.string(), question: z.number(), version: z.number() })
const replySchema = z.object({
  vm: z.string(),
  question: z.number(),
  version: z.number(),
  ageMilliseconds: z.number().min(0),
  text: z.string().optional(),
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

  link.on(REQUEST_METHOD, parameters => {
    const request = requestSchema.parse(parameters)
    const peer = peers.find(request.vm)
    const current = configurationState.current()
    const ageMilliseconds = configurationState.age()
    if (peer === undefined || current === undefined || !Number.isFinite(ageMilliseconds)) return
    const isNewer = current.configuration.version > request.version
    const fits = Buffer.byteLength(current.text) <= TEXT_BYTES_LIMIT
    if (isNewer && !fits && tooLongVersion !== current.configuration.version) {
      tooLongVersion = current.configuration.version
      log.warn(RelayEvent.PeerReplyTooLong, { reply: REPLY_METHOD, bytes: Buffer.byteLength(current.text), version: tooLongVersion })
    }
    const text = isNewer && fits ? current.text : undefined
    link.notify(peer.address, REPLY_METHOD, {
      vm: ownVm,
      question: request.question,
      version: current.configuration.version,
      ageMilliseconds,
      text,
      era: era.current() === 0 ? undefined : [era.current(), Math.floor(era.ageMilliseconds())]
    })
  })

  link.on(REPLY_METHOD, parameters => {
    const reply = replySchema.parse(parameters)
    const pending = pendingQueries.get(reply.question)
    if (pending === undefined) return
    if (reply.era !== undefined) era.learn(reply.era[0], reply.era[1], reply.vm)
    if (reply.text !== undefined) configurationState.adopt(reply.text, reply.vm)
    // The peer measured the age of its confirmation after this process had sent the query. So the confirmation is at least as recent as the
    // instant that lies this age before the send.
    configurationState.confirm(instantBefore(pending.sentAt, reply.ageMilliseconds), reply.version)
    if (configurationState.areKeysFresh()) pending.onFresh()
  })

  function queryPeers (): Promise<string> {
    const queryId = nextQueryId++
    return new Promise(resolve => {
      pendingQueries.set(queryId, { sentAt: presentInstant(), onFresh: () => resolve('peer') })
      const version = configurationState.current()?.configuration.version ?? -1
      for (const peer of peers.sample(PEER_FANOUT)) link.notify(peer.address, REQUEST_METHOD, { vm: ownVm, question: queryId, version })
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
