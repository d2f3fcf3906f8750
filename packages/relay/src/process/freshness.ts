/**
 * Confirms on demand that the configuration is current, for times when polling the store has not confirmed it recently. It asks the store
 * and peers that may still reach the store.
 */
import { describeFailure, type PollableKeyValue } from '@wigeonlead/protocol'
import { z } from 'zod'
import { pause } from 'wigeonlead'
import type { PeerLink } from '../connection/peer-link.js'
import type { ConfigurationState } from './configuration-state.js'
import { instantBefore, presentInstant, type Instant } from './instant.js'
import type { Peers } from './peers.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** Renews the confirmation that the configuration is current. */
export interface Freshness {
  /** Resolves once keys may be accepted again, or once neither the store nor a peer confirmed the configuration in time; never rejects. */
  refresh: () => Promise<void>
}

/** Dependencies of the freshness check. */
export interface FreshnessDependencies {
  self: string
  store: PollableKeyValue
  configurationKey: string
  configurationState: ConfigurationState
  peers: Peers
  link: PeerLink
  log: RelayLog
}

const REQUEST_METHOD = 'freshness-asked'
const REPLY_METHOD = 'freshness-told'
/** Timeout of one check, milliseconds: many times the usual response time of the store, and short for the callers that wait for it. */
const CHECK_TIMEOUT_MILLISECONDS = 250
/** Cooldown after a failed check, milliseconds. During it, callers are refused without another check. */
const RETRY_COOLDOWN_MILLISECONDS = 500
/** Number of peers that one check asks: the store may reject some of them too, and datagrams get lost. */
const PEER_FANOUT = 4
/** Size limit of a configuration text in a datagram, bytes. If the text is longer, only the version number is sent. */
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
export function createFreshness (dependencies: FreshnessDependencies): Freshness {
  const { self, store, configurationState, peers, link, log } = dependencies
  const pendingChecks = new Map<number, { sentAt: Instant, onFresh: () => void }>()
  let nextQuestion = 1
  let failedAt = -Infinity
  let checkInProgress: Promise<void> | undefined

  link.on(REQUEST_METHOD, parameters => {
    const request = requestSchema.parse(parameters)
    const peer = peers.find(request.vm)
    const current = configurationState.current()
    const ageMilliseconds = configurationState.age()
    if (peer === undefined || current === undefined || !Number.isFinite(ageMilliseconds)) return
    const isNewer = current.configuration.version > request.version
    const text = isNewer && Buffer.byteLength(current.text) <= TEXT_BYTES_LIMIT ? current.text : undefined
    link.notify(peer.address, REPLY_METHOD, {
      vm: self, question: request.question, version: current.configuration.version, ageMilliseconds, text
    })
  })

  link.on(REPLY_METHOD, parameters => {
    const reply = replySchema.parse(parameters)
    const pending = pendingChecks.get(reply.question)
    if (pending === undefined) return
    if (reply.text !== undefined) configurationState.adopt(reply.text, reply.vm)
    // The peer stated the age of its confirmation after the request was sent, so the confirmation is at least as recent as this instant.
    configurationState.confirm(instantBefore(pending.sentAt, reply.ageMilliseconds), reply.version)
    if (configurationState.areKeysFresh()) pending.onFresh()
  })

  function queryPeers (): Promise<string> {
    const question = nextQuestion++
    return new Promise(resolve => {
      pendingChecks.set(question, { sentAt: presentInstant(), onFresh: () => resolve('peer') })
      const version = configurationState.current()?.configuration.version ?? -1
      for (const peer of peers.sample(PEER_FANOUT)) link.notify(peer.address, REQUEST_METHOD, { vm: self, question, version })
      void pause(CHECK_TIMEOUT_MILLISECONDS).then(() => {
        pendingChecks.delete(question)
        resolve('none')
      })
    })
  }

  /** Resolves only if the store confirms the configuration; otherwise stays pending, because a peer may still confirm it. */
  async function queryStore (onFailure: (reason: string) => void): Promise<string> {
    const sentAt = presentInstant()
    const answer = await store.get(dependencies.configurationKey, { deadlineMilliseconds: CHECK_TIMEOUT_MILLISECONDS })
    if (!answer.ok) {
      onFailure(describeFailure(answer.failure))
    } else if (answer.value.entry !== undefined) {
      configurationState.adopt(answer.value.entry.value, 'store')
      configurationState.confirm(sentAt)
      if (configurationState.areKeysFresh()) return 'store'
    }
    return await new Promise<never>(() => {})
  }

  async function checkOnce (): Promise<void> {
    const staleMilliseconds = configurationState.age()
    let storeFailure: string | undefined
    const source = await Promise.race([queryStore(reason => { storeFailure = reason }), queryPeers()])
    if (!configurationState.areKeysFresh()) failedAt = performance.now()
    log.info(RelayEvent.FreshnessChecked, {
      source,
      storeFailure,
      version: configurationState.current()?.configuration.version,
      beliefAgeMilliseconds: Math.round(configurationState.age()),
      wasMilliseconds: Math.round(staleMilliseconds)
    })
  }

  return {
    async refresh () {
      if (performance.now() - failedAt < RETRY_COOLDOWN_MILLISECONDS) return
      checkInProgress ??= checkOnce().finally(() => { checkInProgress = undefined })
      await checkInProgress
    }
  }
}
