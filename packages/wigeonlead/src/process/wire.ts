/**
 * The one construction module: makes a router of its settings and its ports.
 */
import {
  MemberState, PeerMethod,
  type EnginePort, type KeyValuePort, type NodeStatus, type PeerPort, type RandomSource, type ServicePort, type VmListPort
} from '@wigeonlead/protocol'
import {
  createAdmission, createCallerHandler, createClaims, createPathChooser, createStageCosts,
  type CallerHandler, type PathChooser, type PathChooserParts
} from '../request/index.js'
import { createConfiguration } from './configuration.js'
import { createFirstTokenTimes } from './first-token-times.js'
import { createInFlight } from './in-flight.js'
import { SILENT_LOGGER, type Logger } from './logging.js'
import { createMembership } from './membership.js'
import { createMetrics } from './metrics.js'
import { createPathTimes } from './path-times.js'
import { createPrefixMemory } from './prefix-memory.js'
import { createReports, type Reports } from './reports.js'
import { createRetryBudget } from './retry-budget.js'
import type { Settings } from './settings.js'
import { createTargetBoard } from './targets.js'

/** Every outside contact of a router. Time comes from the runtime's clock. */
export interface RouterPorts {
  keyValue: KeyValuePort
  vmList: VmListPort
  engines: EnginePort
  services: ServicePort
  peers: PeerPort
  random: RandomSource
  /** Nothing is logged when absent. */
  logger?: Logger
}

/** A router, apart from its listeners. */
export interface Router {
  /** Answers one request of a caller. */
  handle: CallerHandler
  start: () => void
  /** Whether the balancer should send requests here. */
  isReady: () => boolean
  renderMetrics: () => string
  status: () => NodeStatus
  /** Says that this node is leaving, waits for the balancer's lag and for every request in flight, then stops. */
  shutdown: () => Promise<void>
  /** Stops at once, as a death would. */
  halt: () => void
}

/** What a path policy is made of. */
export interface PathPolicyParts extends PathChooserParts {
  reports: Pick<Reports, 'load'>
}

/** Parts of a router that another one may take the place of. */
export interface RouterOptions {
  /** Makes the path chooser; the router's own by default. */
  createPaths?: (parts: PathPolicyParts) => PathChooser
}

/** Makes a router. */
export function createRouter (settings: Settings, ports: RouterPorts, options: RouterOptions = {}): Router {
  const { failureDomain, vm } = settings.node
  const logger = ports.logger ?? SILENT_LOGGER
  const metrics = createMetrics()
  const inFlight = createInFlight()
  const configuration = createConfiguration({ keyValue: ports.keyValue, logger })
  const targets = createTargetBoard({ groupOf: target => configuration.current()?.groupOf(target) ?? [] })
  const membership = createMembership({
    peers: ports.peers,
    address: settings.listen.peers,
    vm,
    failureDomain,
    seeds: settings.peers.seeds,
    generation: () => configuration.current()?.head.generation ?? 0
  })
  const prefixes = createPrefixMemory()
  const reports = createReports({
    engines: ports.engines,
    peers: ports.peers,
    random: ports.random,
    failureDomain,
    self: membership.self,
    members: membership.members,
    current: configuration.current,
    inFlightAt: targets.inFlightAt,
    onReport: prefixes.learn
  })
  const times = createPathTimes()
  const costs = createStageCosts({ targets, reports, times, prefixes, random: ports.random, nodes: countNodes })
  const paths = (options.createPaths ?? createPathChooser)({
    targets, random: ports.random, failureDomain, costs, times, firstTokens: createFirstTokenTimes(), prefixes, reports
  })
  const admission = createAdmission()
  const handle = createCallerHandler({
    engines: ports.engines,
    services: ports.services,
    random: ports.random,
    targets,
    paths,
    admission,
    claims: createClaims({ keyValue: ports.keyValue, random: ports.random }),
    retries: createRetryBudget(),
    metrics,
    logger,
    failureDomain,
    defaultDeadlineMilliseconds: settings.callers.defaultDeadlineMilliseconds
  }, configuration.current)
  let isLeaving = false

  function countNodes (): number {
    return Math.max(1, membership.members().filter(member => member.state === MemberState.Alive).length)
  }

  function status (): NodeStatus {
    const current = configuration.current()
    const sections = {
      generation: current?.head.generation ?? 0,
      requestsInFlight: inFlight.count(),
      members: membership.members(),
      targets: [...current?.targets.keys() ?? []].map(name => ({
        name, availability: targets.availability(name), inFlight: targets.inFlight(name)
      }))
    }
    return { member: membership.self(), sections }
  }

  function halt (): void {
    configuration.stop()
    membership.stop()
    reports.stop()
  }

  metrics.gauge('requests_in_flight', inFlight.count)
  metrics.gauge('requests_waiting', admission.waiting)
  metrics.gauge('configuration_generation', () => configuration.current()?.head.generation ?? 0)
  ports.peers.serve({ ...configuration.handlers, ...membership.handlers, ...reports.handlers, [PeerMethod.Status]: async () => status() })

  return {
    handle: inFlight.track(handle),
    start () {
      configuration.start()
      membership.start()
      reports.start()
    },
    isReady: () => !isLeaving && configuration.current() !== undefined,
    renderMetrics: metrics.render,
    status,
    async shutdown () {
      isLeaving = true
      membership.leave()
      await new Promise(resolve => setTimeout(resolve, settings.shutdown.balancerLagMilliseconds))
      await inFlight.whenIdle()
      halt()
    },
    halt
  }
}
