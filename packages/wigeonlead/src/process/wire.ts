/**
 * Composition root: builds a router from its settings and its ports.
 */
import {
  MemberState, PeerMethod,
  type BurnReport, type EnginePort, type KeyValuePort, type NodeStatus, type PeerPort, type RandomSource, type ServicePort, type VmListPort
} from '@wigeonlead/protocol'
import {
  createAdmission, createCallerHandler, createClaims, createPathChooser, createStageCosts,
  type CallerHandler, type PathChooser, type PathChooserDependencies
} from '../request/index.js'
import { createRelayedKeyValue } from '../connection/index.js'
import { createBurnTracker } from './burn.js'
import { createConfiguration } from './configuration/index.js'
import { createFirstTokenTimes } from './first-token-times.js'
import { createInFlightRequests } from './in-flight.js'
import { createLeavingTracker } from './leaving/index.js'
import { LogEvent, SILENT_LOGGER, type Logger } from './logging.js'
import { createMembership } from './membership/index.js'
import { createMetrics } from './metrics.js'
import { createObservedLatency } from './observed-latency.js'
import { createPathTimes } from './path-times.js'
import { createPrefixCacheIndex } from './prefix-memory.js'
import { createReconciler } from './reconciler/index.js'
import { createLoadReports, type LoadReports } from './reports.js'
import { createRetryBudgets } from './retry-budget.js'
import type { Settings } from './settings.js'
import { createShutdown, type CloseListener } from './shutdown.js'
import { TargetAvailability, createTargetTracker } from './targets.js'

/** All external dependencies of a router. Time is not among them: it comes from the runtime's clock. */
export interface RouterPorts {
  keyValue: KeyValuePort
  vmList: VmListPort
  engines: EnginePort
  services: ServicePort
  peers: PeerPort
  random: RandomSource
  /** Without a logger nothing is logged. */
  logger?: Logger
}

/** A router without its listeners. */
export interface Router {
  /** Handles one request of a caller. */
  handle: CallerHandler
  start: () => void
  /** @returns whether the balancer should send requests to this node. */
  isReady: () => boolean
  renderMetrics: () => string
  status: () => NodeStatus
  /** @returns the error budget burn at this node. */
  burn: () => BurnReport
  /** Announces that this node is leaving, waits for the balancer's lag and for every request in flight, then stops. */
  shutdown: (closeListener?: CloseListener) => Promise<void>
  isLeaving: () => boolean
  /** Registers a callback that is called once, when a planned stop of this entry VM begins. */
  onPlannedStop: (callback: () => void) => void
  /** Stops immediately without a graceful shutdown, like a crash. */
  halt: () => void
}

/** What a path policy depends on: the dependencies of the path chooser, and the load reports. */
export interface PathPolicyDependencies extends PathChooserDependencies {
  reports: Pick<LoadReports, 'load'>
}

/** Replacements for components of a router. */
export interface RouterOptions {
  /** Creates the path chooser; `createPathChooser` by default. */
  createPathChooser?: (dependencies: PathPolicyDependencies) => PathChooser
}

const MINIMUM_COMPETITORS = 3

/** Builds a router that has not been started. */
export function createRouter (settings: Settings, ports: RouterPorts, options: RouterOptions = {}): Router {
  const { failureDomain, vm } = settings.node
  const logger = ports.logger ?? SILENT_LOGGER
  const metrics = createMetrics()
  const burn = createBurnTracker()
  const inFlight = createInFlightRequests(({ method, url }) => logger.warn(LogEvent.RequestCutOff, { method, path: url.split('?')[0] }))
  const membership = createMembership({
    peers: ports.peers,
    address: settings.listen.peers,
    vm,
    failureDomain,
    seeds: settings.peers.seeds,
    generation: (): number => configuration.current()?.head.generation ?? 0,
    random: ports.random,
    vmList: ports.vmList,
    logger
  })
  const configuration = createConfiguration({
    keyValue: ports.keyValue,
    peers: ports.peers,
    membership,
    vmList: ports.vmList,
    seeds: settings.peers.seeds,
    random: ports.random,
    logger
  })
  const targets = createTargetTracker({
    replicasOf: target => configuration.current()?.replicasOf(target) ?? [],
    onSuspect: target => membership.announceTarget(target, MemberState.Suspect)
  })
  const prefixes = createPrefixCacheIndex()
  const reports = createLoadReports({
    engines: ports.engines,
    peers: ports.peers,
    random: ports.random,
    failureDomain,
    self: membership.self,
    members: membership.members,
    versionInForce: configuration.current,
    inFlightAt: targets.inFlightAt,
    onReport (report) {
      prefixes.applyCacheEvents(report)
      targets.recordHeldParts(report)
    },
    onMissingParts: targets.recordMissingParts
  })
  const pathTimes = createPathTimes()
  const costs = createStageCosts({ targets, reports, times: pathTimes, prefixes, random: ports.random, countNodes: countCompetitors })
  const paths = (options.createPathChooser ?? createPathChooser)({
    targets, random: ports.random, failureDomain, costs, times: pathTimes, firstTokens: createFirstTokenTimes(), prefixes, reports
  })
  const admission = createAdmission({ shareOf: workspace => membership.demandShareOf(workspace).share })
  membership.setDemandSource(admission.demand)
  configuration.onChange(admission.retryQueued)
  membership.onTargetEvent(event => {
    if (event.state === MemberState.Suspect) targets.setState(event.target, event.state)
  })
  const reconciler = createReconciler({
    keyValue: ports.keyValue,
    engines: ports.engines,
    random: ports.random,
    logger,
    settings: settings.reconciler,
    failureDomain,
    address: settings.listen.peers,
    members: membership.members,
    versionInForce: configuration.current,
    isLeaving: target => targets.availability(target) === TargetAvailability.Leaving,
    onReport: targets.recordHeldParts
  })
  const keyValueRelay = createRelayedKeyValue({
    direct: ports.keyValue, peers: ports.peers, self: membership.self, members: membership.members
  })
  const claims = createClaims({
    keyValue: keyValueRelay.keyValue, peers: ports.peers, random: ports.random, self: membership.self, members: membership.members
  })
  const handle = createCallerHandler({
    engines: ports.engines,
    services: ports.services,
    random: ports.random,
    targets,
    paths,
    admission,
    claims,
    retryBudgets: createRetryBudgets(),
    latencies: createObservedLatency(),
    metrics,
    burn,
    logger,
    failureDomain,
    departureOf: target => leaving.departureOf(target),
    defaultDeadlineMilliseconds: settings.callers.defaultDeadlineMilliseconds
  }, configuration.current)
  const leaving = createLeavingTracker({
    vmList: ports.vmList,
    announcements: membership,
    logger,
    vm,
    failureDomain,
    address: settings.listen.peers,
    members: membership.members,
    versionInForce: configuration.current,
    setState: targets.setState
  })
  const shutdown = createShutdown({
    settings: settings.shutdown,
    inFlight,
    announceLeaving: membership.leave,
    whenOrdersFinished: claims.whenIdle,
    releaseLease: reconciler.release,
    stopBackgroundWork: halt
  })

  /**
   * Returns how many entry VMs compete for the targets of a failure domain. Entry VMs prefer the targets of their own failure domain, so
   * only the domain's entry VMs are counted. All are counted if the domain has fewer than MINIMUM_COMPETITORS or is not this node's.
   */
  function countCompetitors (domain: string): number {
    const aliveInDomain = membership.aliveMembersOfDomain().length
    return domain === failureDomain && aliveInDomain >= MINIMUM_COMPETITORS ? aliveInDomain : membership.aliveNodeCount()
  }

  function status (): NodeStatus {
    const current = configuration.current()
    const sections = {
      generation: current?.head.generation ?? 0,
      requestsInFlight: inFlight.count(),
      members: membership.members(),
      reconciler: reconciler.status(),
      leaving: leaving.status(),
      targets: [...current?.targets.keys() ?? []].map(name => ({
        name, availability: targets.availability(name), inFlight: targets.inFlight(name)
      }))
    }
    return { member: membership.self(), sections }
  }

  function halt (): void {
    reconciler.stop()
    leaving.stop()
    configuration.stop()
    membership.stop()
    reports.stop()
  }

  metrics.gauge('requests_in_flight', inFlight.count)
  metrics.gauge('requests_waiting', admission.waiting)
  metrics.gauge('orders_running', claims.running)
  metrics.gauge('configuration_generation', () => configuration.current()?.head.generation ?? 0)
  metrics.gauge('control_sent_bytes', () => ports.peers.traffic?.().sentBytes ?? 0)
  metrics.gauge('control_received_bytes', () => ports.peers.traffic?.().receivedBytes ?? 0)
  metrics.gauge('members_of_failure_domain', () => membership.membersOfDomain().length)
  ports.peers.serve({
    ...configuration.handlers,
    ...membership.handlers,
    ...reports.handlers,
    ...claims.handlers,
    ...keyValueRelay.handlers,
    [PeerMethod.Status]: async () => status()
  })

  return {
    handle: inFlight.track(handle),
    start () {
      configuration.start()
      membership.start()
      reports.start()
      reconciler.start()
      leaving.start()
    },
    isReady: () => !shutdown.isLeaving() && configuration.current() !== undefined,
    renderMetrics: () => metrics.render() + burn.renderMetrics(),
    status,
    burn: () => ({ vm, failureDomain, atMilliseconds: Date.now(), objectives: burn.report() }),
    shutdown: shutdown.begin,
    isLeaving: shutdown.isLeaving,
    onPlannedStop: leaving.onOwnStop,
    halt
  }
}
