/**
 * The reconciler of a failure domain: while this node holds the domain's lease, it sends orders to the engines until their
 * observed state matches the declared one. It is level-triggered: each pass starts from the manifest in force and the engines'
 * reports. Without the key-value service the lease can't be acquired or extended; a lease that is held lasts until it expires.
 * Without a lease no order is sent, and the engines continue to serve requests.
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
  /** Name of the target, or `*` for all targets of the failure domain. */
  target: string
  /** Description of the order that is still needed; undefined if the target's report could not be read. */
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
  /**
   * At the lease holder: the declared states that were not reached at its last pass. At other nodes: empty if another holder was found
   * at the last read of the key, otherwise one entry with the target `*`.
   */
  pending: PendingState[]
}

/** The reconciler at one node. */
export interface Reconciler {
  start: () => void
  /** Stops sending further orders at once, without cancelling those in flight. The lease is left to expire. */
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
  versionInForce: () => CompiledVersion | undefined
  /** Returns whether a target is leaving; a leaving target gets no orders and doesn't count as a replica. */
  isLeaving: (target: string) => boolean
  /** Called with each report that was read. */
  onReport: (report: EngineReport) => void
}

/** State of one tenure, the time from acquiring the lease to losing it. */
interface Tenure {
  /** Fencing token of the lease. */
  token: number
  dispatch: OrderDispatch
  /** Names of the targets that had not reached their declared state at the last pass; the next pass reads their reports again. */
  pendingTargets: Set<string>
}

const RECONCILE_INTERVAL_MILLISECONDS = 1000
const RENEWALS_PER_LEASE = 3
/** Width of the random part of a poll interval, as a share of the interval: 0.2 varies it by up to 10 % in both directions. */
const POLL_JITTER_WIDTH = 0.2

/** Creates a node's reconciler for its failure domain. */
export function createReconciler (options: ReconcilerOptions): Reconciler {
  const { settings, failureDomain } = options
  const lease = createFencingLease({ ...options, timeToLiveMilliseconds: settings.leaseMilliseconds })
  const observation = createObservation(options.engines, options.onReport)
  /**
   * Time after which an order can no longer take effect. It is counted from sending for this node's orders, and from acquiring the
   * lease for orders of earlier lease holders.
   */
  const orderLifetimeMilliseconds = settings.leaseMilliseconds + settings.orderDeadlineMilliseconds
  let tenure: Tenure | undefined
  let pending: PendingState[] = []
  const stopController = new AbortController()
  let lastAttempt = LeaseAttempt.Unavailable
  let consecutiveVacantReads = 0
  /** When this node's first pass with the manifest of a generation began, on the monotonic clock. */
  let firstPass: { generation: number, startedAt: number } | undefined
  let loopEnd: Promise<void> = Promise.resolve()

  async function runLoop (): Promise<void> {
    while (!stopController.signal.aborted) {
      if (lease.current() === undefined) await tryToAcquireLease()
      else await reconcileOnce()
      await pauseUnlessAborted(
        stopController.signal, lease.current() === undefined ? pickPollIntervalMilliseconds() : RECONCILE_INTERVAL_MILLISECONDS
      )
    }
  }

  async function tryToAcquireLease (): Promise<void> {
    if (tenure !== undefined) handleLeaseLoss()
    const version = options.versionInForce()
    if (version === undefined) return
    const rank = candidateRank(Duty.EngineOrders, failureDomain, options.address, options.members())
    // The first candidate acquires a vacant lease at once, the others only if it was also vacant at their previous attempt.
    const attempt = await lease.acquire({ readOnly: rank > 0 && consecutiveVacantReads === 0 })
    lastAttempt = attempt
    consecutiveVacantReads = attempt === LeaseAttempt.Vacant ? consecutiveVacantReads + 1 : 0
    const heldLease = lease.current()
    if (attempt !== LeaseAttempt.Acquired || heldLease === undefined) return
    if (stopController.signal.aborted) return await lease.release()
    options.logger.info(LogEvent.LeaseAcquired, { failureDomain, fencingToken: heldLease.token })
    tenure = { token: heldLease.token, pendingTargets: new Set(), dispatch: createDispatch(heldLease.token) }
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
      orderLifetimeMilliseconds,
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
    while (!stopController.signal.aborted && lease.current()?.token === token) {
      await pauseUnlessAborted(stopController.signal, settings.leaseMilliseconds / RENEWALS_PER_LEASE)
      if (!stopController.signal.aborted) await lease.renew()
    }
  }

  async function reconcileOnce (): Promise<void> {
    const version = options.versionInForce()
    const activeTenure = tenure
    if (version === undefined || activeTenure === undefined) return
    recordFirstPass(version)
    await observation.refresh(domainTargets(version), activeTenure.pendingTargets)
    let differences = plan(version, activeTenure)
    // Replicas in other failure domains matter only to removals, so their reports are read only once a removal is planned. If one is
    // about to be sent, all reports that it depends on are read again. The second plan takes the new reports into account.
    if (differences.some(needsReplicaReports)) {
      const isAboutToRemove = differences.some(difference => needsReplicaReports(difference) && difference.blockedBy === undefined)
      await observation.refresh(
        domainAndReplicaTargets(version, differences), isAboutToRemove ? new Set(version.targets.keys()) : new Set()
      )
      differences = plan(version, activeTenure)
    }
    const pendingStates = await sendAll(activeTenure, differences)
    if (tenure === activeTenure) pending = pendingStates
    activeTenure.pendingTargets = new Set(pendingStates.map(({ target }) => target))
  }

  function plan (version: CompiledVersion, activeTenure: Tenure): Difference[] {
    const heldLease = lease.current()
    return planOrders({
      version,
      failureDomain,
      reports: observation.reports(),
      token: activeTenure.token,
      haveEarlierOrdersExpired: heldLease !== undefined && heldLease.heldForMilliseconds >= orderLifetimeMilliseconds,
      sinceFirstPassMilliseconds: performance.now() - (firstPass?.startedAt ?? Infinity),
      drainMilliseconds: settings.drainMilliseconds,
      isLeaving: options.isLeaving,
      mayStillChange: activeTenure.dispatch.mayStillChange
    })
  }

  async function sendAll (activeTenure: Tenure, differences: Difference[]): Promise<PendingState[]> {
    const byTarget = new Map<string, Difference[]>()
    for (const difference of differences) byTarget.set(difference.target.name, [...byTarget.get(difference.target.name) ?? [], difference])
    const states = await Promise.all([...byTarget.values()].map(list => sendSequentially(activeTenure, list)))
    return states.flat()
  }

  async function sendSequentially (activeTenure: Tenure, differences: Difference[]): Promise<PendingState[]> {
    const states: PendingState[] = []
    for (const difference of differences) {
      const { target, order } = difference
      const incarnation = observation.reports().get(target.name)?.incarnation ?? ''
      const orderResult = stopController.signal.aborted
        ? { reason: PendingReason.WaitingForLease }
        : await activeTenure.dispatch.send(difference, incarnation)
      states.push({ target: target.name, order: order === undefined ? undefined : describeOrder(order), ...orderResult })
    }
    return states
  }

  function recordFirstPass (version: CompiledVersion): void {
    if (firstPass?.generation === version.head.generation) return
    firstPass = { generation: version.head.generation, startedAt: performance.now() }
  }

  function domainTargets (version: CompiledVersion): ManifestTarget[] {
    return version.manifest.targets.filter(target => target.failureDomain === failureDomain)
  }

  /** Returns the targets of the failure domain, and those of other failure domains that serve a model version with planned removals. */
  function domainAndReplicaTargets (version: CompiledVersion, differences: Difference[]): ManifestTarget[] {
    const modelVersionKeys = new Set(differences.filter(needsReplicaReports).map(modelVersionKeyOf))
    return version.manifest.targets.filter(target =>
      target.failureDomain === failureDomain || target.serves.some(part => modelVersionKeys.has(`${part.model} ${part.version}`)))
  }

  function pickPollIntervalMilliseconds (): number {
    const rank = candidateRank(Duty.EngineOrders, failureDomain, options.address, options.members())
    return leasePollIntervalMilliseconds(rank) * (1 + POLL_JITTER_WIDTH * (options.random.nextFloat() - 0.5))
  }

  return {
    start: () => { loopEnd = runLoop() },
    stop: () => stopController.abort(),
    async release () {
      stopController.abort()
      await loopEnd
      await lease.release()
    },
    status () {
      const heldLease = lease.current()
      const isHolder = heldLease !== undefined
      const isLeaseHeld = isHolder || lastAttempt === LeaseAttempt.Held
      return {
        failureDomain,
        isHolder,
        holder: lease.holder(),
        fencingToken: heldLease?.token,
        leaseRemainingMilliseconds: heldLease?.remainingMilliseconds,
        pending: isLeaseHeld ? pending : [{ target: '*', reason: PendingReason.WaitingForLease }]
      }
    }
  }
}

/** Returns whether a difference is a removal that is not blocked, or blocked only until replicas serve the part or it is unused. */
function needsReplicaReports ({ order, readsWeights, blockedBy }: Difference): boolean {
  const isBlockedRegardlessOfReplicas = blockedBy !== undefined &&
    blockedBy !== PendingReason.LastReplica && blockedBy !== PendingReason.InUse
  return order !== undefined && 'part' in order && !readsWeights && !isBlockedRegardlessOfReplicas
}

function modelVersionKeyOf ({ order }: Difference): string {
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
