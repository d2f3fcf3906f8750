/**
 * The reconciler of a failure domain: while this node holds the domain's lease, it sends orders to the engines until their
 * observed state matches the declared one. It is level-triggered: each pass starts from the manifest in force and the engines'
 * reports. Without the key-value service there is no lease and no order is sent; the engines continue to serve requests.
 */
import type { EnginePort, EngineReport, KeyValuePort, ManifestTarget, MemberEntry, RandomSource } from '@wigeonlead/protocol'
import type { CompiledVersion } from '../../version/index.js'
import { LogEvent, type Logger } from '../logging.js'
import type { Settings } from '../settings.js'
import { Duty, candidateRank, leasePollIntervalMilliseconds } from './candidates.js'
import { createOrderDispatch, type OrderDispatch } from './dispatch.js'
import { LeaseAttempt, createFencingLease } from './lease.js'
import { createObservation } from './observe.js'
import { PendingReason, describeOrder, planOrders, type Difference } from './plan.js'

/** A declared state that a target has not reached yet. */
export interface PendingState {
  target: string
  order?: string
  reason: PendingReason
  detail?: string
}

/** Status of the reconciler as shown to operators. */
export interface ReconcilerStatus {
  failureDomain: string
  isHolder: boolean
  /** Address of the node that held the lease when this node last read the key. */
  holder?: string
  fencingToken?: number
  leaseRemainingMilliseconds?: number
  /** Declared states that are not reached yet; only complete at the lease holder. */
  pending: PendingState[]
}

/** The reconciler at one node. */
export interface Reconciler {
  start: () => void
  /** Stops sending orders at once. The lease is left to expire. */
  stop: () => void
  /** Stops, waits for the orders in flight and revokes the lease. */
  release: () => Promise<void>
  status: () => ReconcilerStatus
}

/** Dependencies and settings of the reconciler. */
export interface ReconcilerOptions {
  keyValue: KeyValuePort
  engines: EnginePort
  random: RandomSource
  logger: Logger
  settings: Settings['reconciler']
  failureDomain: string
  /** Address at which this node listens for peers. */
  address: string
  members: () => MemberEntry[]
  current: () => CompiledVersion | undefined
  /** Returns whether a target is leaving; a leaving target gets no orders and doesn't count as a replica. */
  isLeaving: (target: string) => boolean
  /** Called with each report that was read. */
  onReport: (report: EngineReport) => void
}

/** State of one continuous holding of the lease. */
interface Tenure {
  token: number
  dispatch: OrderDispatch
  /** Names of targets with pending differences. */
  unsettledTargets: Set<string>
}

const RECONCILE_INTERVAL_MILLISECONDS = 1000
const RENEWALS_PER_LEASE = 3
const JITTER_SHARE = 0.2

/** Creates a node's reconciler for its failure domain. */
export function createReconciler (options: ReconcilerOptions): Reconciler {
  const { settings, failureDomain } = options
  const lease = createFencingLease({ ...options, timeToLiveMilliseconds: settings.leaseMilliseconds })
  const observation = createObservation(options.engines, options.onReport)
  /** Time after which an order of an earlier lease holder can no longer take effect. */
  const orderLifetimeMilliseconds = settings.leaseMilliseconds + settings.orderDeadlineMilliseconds
  let tenure: Tenure | undefined
  let pending: PendingState[] = []
  const stopped = new AbortController()
  let lastAttempt = LeaseAttempt.Unavailable
  let vacantReads = 0
  let versionInForce: { generation: number, since: number } | undefined
  let loopEnd: Promise<void> = Promise.resolve()

  async function runLoop (): Promise<void> {
    while (!stopped.signal.aborted) {
      if (lease.current() === undefined) await campaignForLease()
      else await reconcileOnce()
      await pauseUnlessAborted(stopped.signal, lease.current() === undefined ? pickPollInterval() : RECONCILE_INTERVAL_MILLISECONDS)
    }
  }

  async function campaignForLease (): Promise<void> {
    if (tenure !== undefined) handleLeaseLoss()
    const version = options.current()
    if (version === undefined) return
    const rank = candidateRank(Duty.EngineOrders, failureDomain, options.address, options.members())
    const attempt = await lease.acquire({ readOnly: rank > 0 && vacantReads === 0 })
    lastAttempt = attempt
    vacantReads = attempt === LeaseAttempt.Vacant ? vacantReads + 1 : 0
    const heldLease = lease.current()
    if (attempt !== LeaseAttempt.Acquired || heldLease === undefined) return
    if (stopped.signal.aborted) return await lease.release()
    options.logger.info(LogEvent.LeaseAcquired, { failureDomain, fencingToken: heldLease.token })
    tenure = { token: heldLease.token, unsettledTargets: new Set(), dispatch: createDispatch(heldLease.token) }
    observation.clear()
    void renewLeaseRepeatedly(heldLease.token)
  }

  function createDispatch (token: number): OrderDispatch {
    return createOrderDispatch({
      engines: options.engines,
      lease,
      logger: options.logger,
      token,
      orderDeadlineMilliseconds: settings.orderDeadlineMilliseconds,
      orderExpiryMilliseconds: orderLifetimeMilliseconds,
      loadRate: { loadsPerMinute: settings.loadsPerMinute, burstLoads: settings.loadBurst }
    })
  }

  function handleLeaseLoss (): void {
    options.logger.warn(LogEvent.LeaseLost, { failureDomain, fencingToken: tenure?.token })
    tenure = undefined
    lastAttempt = LeaseAttempt.Unavailable
    pending = []
    observation.clear()
  }

  async function renewLeaseRepeatedly (token: number): Promise<void> {
    while (!stopped.signal.aborted && lease.current()?.token === token) {
      await pauseUnlessAborted(stopped.signal, settings.leaseMilliseconds / RENEWALS_PER_LEASE)
      if (!stopped.signal.aborted) await lease.renew()
    }
  }

  async function reconcileOnce (): Promise<void> {
    const version = options.current()
    const activeTenure = tenure
    if (version === undefined || activeTenure === undefined) return
    trackVersionInForce(version)
    await observation.refresh(ownTargets(version), activeTenure.unsettledTargets)
    let differences = plan(version, activeTenure)
    if (differences.some(isRemoval)) {
      const isAboutToRemove = differences.some(difference => isRemoval(difference) && difference.blockedBy === undefined)
      await observation.refresh(replicaTargets(version, differences), isAboutToRemove ? new Set(version.targets.keys()) : new Set())
      differences = plan(version, activeTenure)
    }
    const pendingStates = await sendAll(activeTenure, differences)
    if (tenure === activeTenure) pending = pendingStates
    activeTenure.unsettledTargets = new Set(pendingStates.map(({ target }) => target))
  }

  function plan (version: CompiledVersion, active: Tenure): Difference[] {
    const current = lease.current()
    return planOrders({
      version,
      failureDomain,
      reports: observation.reports(),
      token: active.token,
      haveEarlierOrdersExpired: current !== undefined && current.heldForMilliseconds >= orderLifetimeMilliseconds,
      inForceForMilliseconds: performance.now() - (versionInForce?.since ?? Infinity),
      drainMilliseconds: settings.drainMilliseconds,
      isLeaving: options.isLeaving,
      mayStillChange: active.dispatch.mayStillChange
    })
  }

  async function sendAll (active: Tenure, differences: Difference[]): Promise<PendingState[]> {
    const byTarget = new Map<string, Difference[]>()
    for (const difference of differences) byTarget.set(difference.target.name, [...byTarget.get(difference.target.name) ?? [], difference])
    const states = await Promise.all([...byTarget.values()].map(list => sendSequentially(active, list)))
    return states.flat()
  }

  async function sendSequentially (active: Tenure, differences: Difference[]): Promise<PendingState[]> {
    const states: PendingState[] = []
    for (const difference of differences) {
      const { target, order } = difference
      const incarnation = observation.reports().get(target.name)?.incarnation ?? ''
      const state = stopped.signal.aborted ? { reason: PendingReason.WaitingForLease } : await active.dispatch.send(difference, incarnation)
      states.push({ target: target.name, order: order === undefined ? undefined : describeOrder(order), ...state })
    }
    return states
  }

  function trackVersionInForce (version: CompiledVersion): void {
    if (versionInForce?.generation === version.head.generation) return
    versionInForce = { generation: version.head.generation, since: performance.now() }
  }

  function ownTargets (version: CompiledVersion): ManifestTarget[] {
    return version.manifest.targets.filter(target => target.failureDomain === failureDomain)
  }

  function replicaTargets (version: CompiledVersion, differences: Difference[]): ManifestTarget[] {
    const models = new Set(differences.filter(isRemoval).map(modelVersionOf))
    return version.manifest.targets.filter(target =>
      target.failureDomain === failureDomain || target.serves.some(part => models.has(`${part.model} ${part.version}`)))
  }

  function pickPollInterval (): number {
    const rank = candidateRank(Duty.EngineOrders, failureDomain, options.address, options.members())
    return leasePollIntervalMilliseconds(rank) * (1 + JITTER_SHARE * (options.random.nextFloat() - 0.5))
  }

  return {
    start: () => { loopEnd = runLoop() },
    stop: () => stopped.abort(),
    async release () {
      stopped.abort()
      await loopEnd
      await lease.release()
    },
    status () {
      const heldLease = lease.current()
      const isHolder = heldLease !== undefined
      const isPendingKnown = isHolder || lastAttempt === LeaseAttempt.Held
      return {
        failureDomain,
        isHolder,
        holder: lease.holder(),
        fencingToken: heldLease?.token,
        leaseRemainingMilliseconds: heldLease?.remainingMilliseconds,
        pending: isPendingKnown ? pending : [{ target: '*', reason: PendingReason.WaitingForLease }]
      }
    }
  }
}

function isRemoval ({ order, readsWeights, blockedBy }: Difference): boolean {
  const isBlockedForOtherReason = blockedBy !== undefined && blockedBy !== PendingReason.LastReplica && blockedBy !== PendingReason.InUse
  return order !== undefined && 'part' in order && !readsWeights && !isBlockedForOtherReason
}

function modelVersionOf ({ order }: Difference): string {
  return order !== undefined && 'part' in order ? `${order.part.model} ${order.part.version}` : ''
}

function pauseUnlessAborted (signal: AbortSignal, milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    if (signal.aborted) return resolve()
    const timer = setTimeout(finish, milliseconds)
    timer.unref()
    signal.addEventListener('abort', finish, { once: true })
    function finish (): void {
      clearTimeout(timer)
      signal.removeEventListener('abort', finish)
      resolve()
    }
  })
}
