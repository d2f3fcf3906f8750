/**
 * Composition root: builds one relay process from its ports. No other module connects the parts.
 */
import { setMaxListeners } from 'node:events'
import { createMemoryBudget, type KeyValueEntry, type PollableKeyValue } from '@wigeonlead/protocol'
import { createMetrics, type Metrics } from 'wigeonlead'
import type { Exchange } from '../connection/callers.js'
import type { Dialect } from '../connection/dialect.js'
import { createEngineClient, type EngineClient } from '../connection/engine-client.js'
import type { PeerLink } from '../connection/peer-link.js'
import { createTargetClient, type TargetStates } from '../connection/target-client.js'
import type { RequestDependencies } from '../request/context.js'
import { explainRoute, type RouteExplanation, type RouteFault, type RouteQuestion } from '../request/explain-route.js'
import { handleExchange } from '../request/handle.js'
import type { RelayConfiguration } from '../version/configuration.js'
import type { Target } from '../version/target.js'
import { repeatInBackground } from './background.js'
import { createConfigurationState, type ConfigurationState } from './configuration-state.js'
import { createDirectory, type Directory } from './directory.js'
import { createFreshnessCheck } from './freshness.js'
import { SHARE_INTERVAL_MILLISECONDS, createDomainShares, type DomainShares } from './routing/domain-share.js'
import { createLoad } from './routing/load.js'
import { createMirrorRelay } from './membership/mirror-relay.js'
import { createPathFinder } from './routing/path-finder.js'
import { createCoordinatorDuty } from './placement/coordinator-duty.js'
import { createCoordinatorLease } from './placement/lease.js'
import { createPlanner, isPlaced } from './placement/planner.js'
import { RelayEvent, type RelayLog } from './relay-log.js'
import { createPeerChoice } from './membership/peer-choice.js'
import { createPeers, type Peer } from './membership/peers.js'
import { createAnsweredRuns } from './suspicion/answered-runs.js'
import { SUBJECT_TRAITS } from './suspicion/content-evidence.js'
import { createContentQuarantine, type ContentQuarantine } from './suspicion/content-quarantine.js'
import { createContentRecords } from './suspicion/content-records.js'
import { createRateLimits, type Sender } from './suspicion/rate-limits.js'
import { createAdmission } from './admission/create-admission.js'
import { LEVEL_INTERVAL_MILLISECONDS, createAdmissionLevel } from './admission/level.js'
import { createDemand } from './membership/demand.js'
import { createRepeatBudget } from './admission/repeat-budget.js'
import { createRepeatLoans } from './admission/repeat-loans.js'
import { answerBytesLimit, type RelaySettings } from './settings.js'
import { createStoreEra, type StoreEra } from './store-era.js'
import { runStoreMirror, type MirrorReader } from './store-mirror.js'
import { createStreamWatch } from './suspicion/stream-watch.js'
import { createTargetStates } from './suspicion/target-answers.js'
import { createTargetLife } from './suspicion/target-life.js'
import { createTargetEnds } from './suspicion/target-ends.js'
import { createTargetReach, type TargetReach } from './suspicion/target-reach.js'

/** Dependencies of a process on its environment. */
export interface RelayPorts {
  store: PollableKeyValue
  /** Era that the answers of `store` state; absent for a store that states none. */
  era?: StoreEra
  dialect: Dialect
  link: PeerLink
  /** Store keys that the deployment uses. */
  keys: { configuration: string, targetPrefix: string }
  decodeConfiguration: (text: string) => RelayConfiguration
  decodeTarget: (id: string, text: string) => Target
  /** Calls to engines; over the network by default. */
  engines?: EngineClient
  log: RelayLog
  metrics?: Metrics
  nextFloat: () => number
}

/** A relay process without its listeners. */
export interface Relay {
  configurationState: ConfigurationState
  directory: Directory
  metrics: Metrics
  contentQuarantine: ContentQuarantine
  domainShares: DomainShares
  /** Explains where a request would go now, without any effect. */
  explainRoute: (question: RouteQuestion) => RouteExplanation | RouteFault
  handle: (exchange: Exchange) => Promise<void>
  /** Whether the balancer should send connections to this VM. */
  isReady: () => boolean
  /** Follows the store, registers with the peers, and competes for the coordinator lease, under which it plans placements. */
  start: () => void
  /** Only follows the store. */
  startFollowingStore: () => void
  /** Releases the coordinator lease and removes this VM's key from the store. Requests in flight continue. */
  leave: () => Promise<void>
  /** Ends the background tasks and closes the pooled connections and the peer link. */
  stop: () => void
}

/** Prefix of the keys that the relay itself writes to the store. */
const KEY_PREFIX = 'wigeonlead/'
const PEER_PREFIX = `${KEY_PREFIX}vms/`
/** Named when only parts of prompts were quarantined; processes of earlier builds read it. */
const QUARANTINE_PREFIX = `${KEY_PREFIX}prompt-parts/`
const COORDINATOR_KEY = `${KEY_PREFIX}coordinator`
/**
 * How long one poll of the store waits, as a share of the time within which revoked keys must be refused: a poll confirms the keys only
 * when it ends.
 */
const POLL_WAIT_SHARE = 0.3
const MAX_POLL_WAIT_MILLISECONDS = 1500
/** Time to live of the coordinator lease, milliseconds: about the time until a lost stage disappears from the target list. */
const COORDINATOR_LEASE_MILLISECONDS = 3000
/** Interval at which the lease is renewed, or acquired if it is free, milliseconds. */
const COORDINATOR_INTERVAL_MILLISECONDS = 700
const PLAN_INTERVAL_MILLISECONDS = 200
/** Probability with which a VM that does not follow the store tries to acquire a free lease in one step, in case all followers are gone. */
const NON_FOLLOWER_ATTEMPT_PROBABILITY = 0.05
/** Assumed number of running VMs per listed VM: a process whose calls the store rejects may not have listed new VMs yet. */
const RUNNING_VMS_PER_LISTED_VM = 4 / 3

/** Peers name no pauses and no limits for the requests that are handed over to them. */
const STATELESS: TargetStates = { pauseRemaining: () => 0, onSlowConnect () {}, onSend () {}, onAnswer () {} }
const QUARANTINE_GAUGES = { prompt_parts_quarantined: true, requests_quarantined: false }

/** Builds a relay process. */
export function createRelay (settings: RelaySettings, ports: RelayPorts): Relay {
  const { log, dialect, store } = ports
  const { bounds } = settings
  const stopped = new AbortController()
  // Each background task listens to it, which is no leak.
  setMaxListeners(0, stopped.signal)
  const metrics = ports.metrics ?? createMetrics()
  const configurationState = createConfigurationState({
    decode: ports.decodeConfiguration, log, revokeMilliseconds: bounds.revokeMilliseconds, applyMilliseconds: bounds.applyMilliseconds
  })
  const era = ports.era ?? createStoreEra(log)
  const directory = createDirectory(log, settings.node.failureDomain)
  const load = createLoad()
  const self: Peer = { vm: settings.node.vm, address: settings.listen.peers, failureDomain: settings.node.failureDomain }
  const limits = createRateLimits({ ownVm: self.vm, sendersTo, log })
  const sendWait = (incarnation: string): number => Math.max(directory.pauseRemaining(incarnation), limits.waitFor(incarnation))
  const paths = createPathFinder(directory, load, ports.nextFloat, sendWait)
  const answerMemory = createMemoryBudget(() => answerBytesLimit(settings))
  const states = createTargetStates(directory, limits, log, target => { void reach.check(target) })
  const targets = createTargetClient(dialect, states, answerMemory)
  const engines = ports.engines ?? createEngineClient(dialect, targets)
  const peerRequests = createTargetClient(dialect, STATELESS, answerMemory)
  const reach: TargetReach = createTargetReach({
    ownFailureDomain: settings.node.failureDomain, directory, engines, log, signal: stopped.signal, nextFloat: ports.nextFloat
  })
  const watch = createStreamWatch(directory, engines, paths, log, stopped.signal, reach)
  const demand = createDemand({ failureDomain: self.failureDomain, listedVms })
  const level = createAdmissionLevel({
    failureDomain: self.failureDomain, settings: settings.admission, demand, log, metrics, nextFloat: ports.nextFloat
  })
  const peers = createPeers({
    self,
    keyPrefix: PEER_PREFIX,
    store,
    link: ports.link,
    load,
    demand,
    directory,
    limits,
    reach,
    verify: watch.verify,
    era,
    configurationState,
    log,
    signal: stopped.signal,
    nextFloat: ports.nextFloat
  })
  const budget = createRepeatBudget({
    share: bounds.repeatShare,
    extra: bounds.repeatExtra,
    windowMilliseconds: bounds.repeatWindowSeconds * 1000,
    vms: () => Math.ceil(peers.peakFleetSize() * RUNNING_VMS_PER_LISTED_VM)
  })
  const repeats = createRepeatLoans({ ownVm: settings.node.vm, budget, peers, link: ports.link })
  const mirrorRelay = createMirrorRelay({
    ownVm: settings.node.vm, failureDomain: settings.node.failureDomain, peers, link: ports.link, log
  })
  const freshness = createFreshnessCheck({
    ownVm: settings.node.vm,
    store,
    configurationKey: ports.keys.configuration,
    configurationState,
    peers,
    link: ports.link,
    era,
    log
  })
  const contentQuarantine = createContentQuarantine(log)
  const answeredRuns = createAnsweredRuns()
  const contentRecords = createContentRecords({
    quarantine: contentQuarantine,
    keyPrefix: QUARANTINE_PREFIX,
    store,
    peers,
    link: ports.link,
    log,
    signal: stopped.signal,
    nextFloat: ports.nextFloat
  })
  const placedServices = (): string[] => [...configurationState.current()?.configuration.services.values() ?? []].filter(isPlaced)
    .map(({ name }) => name).filter(name => directory.listed(name).length > 0)
  const duty = createCoordinatorDuty({ placedServices, isCutOff: reach.isCutOff })
  const lease = createCoordinatorLease({
    store,
    key: COORDINATOR_KEY,
    vm: settings.node.vm,
    era,
    log,
    mayAcquire: freeMilliseconds => duty.mayAcquire(freeMilliseconds) &&
      (mirrorRelay.followsStore() || ports.nextFloat() < NON_FOLLOWER_ATTEMPT_PROBABILITY),
    timeToLiveMilliseconds: Math.max(COORDINATOR_LEASE_MILLISECONDS, settings.store.leastLeaseMilliseconds)
  })
  const planner = createPlanner({ configurationState, directory, engines, lease, log })
  const domainShares = createDomainShares({
    failureDomain: settings.node.failureDomain,
    terms: settings.domains,
    services: () => configurationState.current()?.configuration.services.values() ?? [],
    directory,
    load,
    demand,
    slownessOf: paths.slownessOf,
    isCutOff: reach.isCutOff,
    log,
    onPair: (service, failureDomain) => metrics.gauge(
      `domain_share{service=${JSON.stringify(service)},from=${JSON.stringify(settings.node.failureDomain)},to=${JSON.stringify(failureDomain)}}`,
      () => domainShares.current(service).get(failureDomain) ?? 0
    )
  })
  const targetLife = createTargetLife({ directory, engines, reach, log, metrics })
  const requestDependencies: RequestDependencies = {
    dialect,
    configurationState,
    freshness,
    directory,
    paths,
    load,
    targets,
    engines,
    sendWait,
    targetEnds: createTargetEnds(directory, engines),
    targetLife,
    reach,
    level,
    peerChoice: createPeerChoice(peers, settings.node.failureDomain, ports.nextFloat),
    peerRequests,
    contentQuarantine,
    answeredRuns,
    domainShares,
    repeats,
    admission: createAdmission({
      log,
      metrics,
      nextFloat: ports.nextFloat,
      queueLimit: settings.admission.queueLimit,
      offServices: settings.admission.offServices,
      level
    }),
    watch,
    log,
    metrics,
    failureDomain: settings.node.failureDomain,
    nextFloat: ports.nextFloat
  }
  let isLeaving = false
  let wasReady = false
  /** Configuration version that this process's copy of the store contains; undefined if it contains no valid one. */
  let shownVersion: number | undefined
  registerGauges()
  reach.onChange((service, isCutOff) => {
    if (!isCutOff) return
    if (duty.mustRelease(service)) void lease.release()
    else checkPlacedTargets()
    targets.abandonConnects(incarnation => directory.findIncarnation(incarnation)?.service === service)
  })
  era.onRise(() => directory.startRestore())
  configurationState.onBehind(() => { void freshness.refresh() })

  const reader: MirrorReader = {
    onEntry: applyEntry,
    onRemoved (key) {
      if (key === COORDINATOR_KEY) lease.setKey(undefined)
      if (key === ports.keys.configuration) shownVersion = undefined
      if (key.startsWith(PEER_PREFIX)) peers.remove(key.slice(PEER_PREFIX.length))
      if (key.startsWith(QUARANTINE_PREFIX)) contentRecords.remove(key)
      if (key.startsWith(ports.keys.targetPrefix)) directory.remove(key.slice(ports.keys.targetPrefix.length))
    },
    onListed (keys) {
      const prefix = ports.keys.targetPrefix
      directory.removeUnlisted(new Set([...keys].filter(key => key.startsWith(prefix)).map(key => key.slice(prefix.length))))
      if (!keys.has(COORDINATOR_KEY)) lease.setKey(undefined)
      if (!keys.has(ports.keys.configuration)) shownVersion = undefined
      contentRecords.keepListed(keys)
      for (const { vm } of peers.known()) if (!keys.has(PEER_PREFIX + vm)) peers.remove(vm)
    },
    onConfirmed (confirmedAt) {
      targetLife.recordConfirmation(confirmedAt.monotonic)
      if (era.isSettledAt(confirmedAt)) configurationState.confirm(confirmedAt, shownVersion)
    },
    onRecovered: agoMilliseconds => directory.startOutageGracePeriod(agoMilliseconds)
  }

  function applyEntry (entry: KeyValueEntry, isFromRestoredCopy: boolean): void {
    if (entry.key === ports.keys.configuration) shownVersion = configurationState.adopt(entry.value, 'store')
    if (entry.key === COORDINATOR_KEY) lease.setKey(entry)
    if (entry.key.startsWith(PEER_PREFIX)) peers.put(entry.key.slice(PEER_PREFIX.length), entry.value)
    if (entry.key.startsWith(QUARANTINE_PREFIX)) contentRecords.put(entry)
    if (!entry.key.startsWith(ports.keys.targetPrefix)) return
    const id = entry.key.slice(ports.keys.targetPrefix.length)
    try {
      const target = ports.decodeTarget(id, entry.value)
      directory.put(target, isFromRestoredCopy)
      if (!isFromRestoredCopy) targetLife.recordEntry(target)
    } catch (error) {
      log.warn(RelayEvent.TargetSkipped, { target: id, reason: (error as Error).message.slice(0, 200) })
      directory.remove(id)
    }
  }

  /** Tries targets of all services that are placed: where this VM is cut off from other targets, it may be cut off from these too. */
  function checkPlacedTargets (): void {
    for (const service of placedServices()) void reach.check(directory.listed(service)[0]!)
  }

  function sendersTo (incarnation: string): Sender[] {
    const failureDomain = directory.findIncarnation(incarnation)?.failureDomain
    return [self, ...peers.known()].map(peer => ({ vm: peer.vm, isLocal: peer.failureDomain === failureDomain }))
  }

  function listedVms (failureDomain: string): number {
    return [self, ...peers.known()].filter(peer => peer.failureDomain === failureDomain).length
  }

  function startFollowingStore (): void {
    const waitMilliseconds = Math.min(MAX_POLL_WAIT_MILLISECONDS, POLL_WAIT_SHARE * bounds.revokeMilliseconds)
    void runStoreMirror(store, reader, log, { waitMilliseconds, signal: stopped.signal, relay: mirrorRelay, era })
  }

  function stepLevel (): void {
    for (const service of configurationState.current()?.configuration.services.keys() ?? []) {
      demand.setWaiting(service, requestDependencies.admission.waiting(service))
    }
    if (settings.admission.isLevelOn) level.step()
  }

  function isReady (): boolean {
    const ready = !isLeaving && configurationState.current() !== undefined && configurationState.areKeysFresh()
    if (!isLeaving && !configurationState.areKeysFresh()) void freshness.refresh()
    if (ready !== wasReady) {
      log.info(ready ? RelayEvent.Ready : RelayEvent.NotReady, { beliefAgeMilliseconds: Math.round(configurationState.age()), isLeaving })
    }
    wasReady = ready
    return ready
  }

  function registerGauges (): void {
    metrics.gauge('belief_age_seconds', () => configurationState.age() / 1000)
    metrics.gauge('configuration_version', () => configurationState.current()?.configuration.version ?? 0)
    metrics.gauge('answers_held_bytes', answerMemory.heldBytes)
    metrics.gauge('streams_under_way', () => watch.size())
    for (const [name, isPart] of Object.entries(QUARANTINE_GAUGES)) {
      metrics.gauge(name, () => new Set(contentQuarantine.quarantined().filter(({ kind }) => SUBJECT_TRAITS[kind].isPart === isPart)
        .map(({ service, subject }) => `${service} ${subject}`)).size)
    }
    metrics.gauge('services_cut_off', () => reach.cutOffServices().length)
    metrics.gauge('store_era', era.current)
    metrics.gauge('follows_store', () => Number(mirrorRelay.followsStore()))
    metrics.gauge('is_coordinator', () => Number(lease.isHeld()))
  }

  return {
    configurationState,
    directory,
    metrics,
    contentQuarantine,
    domainShares,
    explainRoute: question => explainRoute(question, {
      ...requestDependencies, domainShares, level, peerVms: () => peers.known().map(({ vm }) => vm)
    }),
    handle: exchange => handleExchange(exchange, requestDependencies),
    isReady,
    startFollowingStore,
    start () {
      startFollowingStore()
      peers.start()
      contentRecords.start()
      repeatInBackground(COORDINATOR_INTERVAL_MILLISECONDS, stopped.signal, () => { if (!isLeaving) void lease.step() })
      repeatInBackground(LEVEL_INTERVAL_MILLISECONDS, stopped.signal, stepLevel)
      repeatInBackground(SHARE_INTERVAL_MILLISECONDS, stopped.signal, domainShares.step)
      repeatInBackground(PLAN_INTERVAL_MILLISECONDS, stopped.signal, () => { void planner.step() })
    },
    async leave () {
      isLeaving = true
      await Promise.all([lease.release(), peers.leave()])
    },
    stop () {
      stopped.abort()
      targets.close()
      peerRequests.close()
      ports.link.close()
    }
  }
}
