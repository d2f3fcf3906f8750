/**
 * The reconciler of a failure domain: while this node holds the domain's lease, it orders engines until the observed
 * state is the declared one. Level-triggered: each pass starts from the manifest in force and the engines' reports.
 * Without the key-value service there is no lease and hence no order; serving goes on.
 */
import type { EnginePort, EngineReport, KeyValuePort, ManifestTarget, MemberEntry, RandomSource } from '@wigeonlead/protocol'
import type { CompiledVersion } from '../../version/index.js'
import { LogEvent, type Logger } from '../logging.js'
import type { Settings } from '../settings.js'
import { Duty, candidateRank, lookIntervalMilliseconds } from './candidates.js'
import { createOrderDispatch, type OrderDispatch } from './dispatch.js'
import { LeaseAttempt, createFencingLease } from './lease.js'
import { createObservation } from './observe.js'
import { PendingReason, describeOrder, planOrders, type Difference } from './plan.js'

/** A declared state that is not in force yet. */
export interface PendingState {
  target: string
  order?: string
  reason: PendingReason
  detail?: string
}

/** What operators see of the reconciler. */
export interface ReconcilerStatus {
  failureDomain: string
  isHolder: boolean
  /** Address of the node that held the lease when this one last looked. */
  holder?: string
  fencingToken?: number
  leaseRemainingMilliseconds?: number
  /** What is declared but not in force; complete at the holder only. */
  pending: PendingState[]
}

/** The reconciler at one node. */
export interface Reconciler {
  start: () => void
  /** Stops sending orders at once. The lease lapses by itself. */
  stop: () => void
  /** Stops, waits for the orders on their way and gives the lease back. */
  release: () => Promise<void>
  status: () => ReconcilerStatus
}

/** What the reconciler needs. */
export interface ReconcilerParts {
  keyValue: KeyValuePort
  engines: EnginePort
  random: RandomSource
  logger: Logger
  settings: Settings['reconciler']
  failureDomain: string
  /** Address of this node's peers' listener. */
  address: string
  members: () => MemberEntry[]
  current: () => CompiledVersion | undefined
  /** Tells whether a target is leaving, so that it gets no orders and doesn't count as a replica. */
  isLeaving: (target: string) => boolean
  /** Is told of each report that was read. */
  onReport: (report: EngineReport) => void
}

interface Tenure {
  token: number
  dispatch: OrderDispatch
  /** Names of targets with something left to order. */
  unsettled: Set<string>
}

const PASS_INTERVAL_MILLISECONDS = 1000
const RENEWALS_PER_LEASE = 3
const JITTER_SHARE = 0.2

/** Makes the reconciler of a failure domain at one node. */
export function createReconciler (parts: ReconcilerParts): Reconciler {
  const { settings, failureDomain } = parts
  const lease = createFencingLease({ ...parts, timeToLiveMilliseconds: settings.leaseMilliseconds })
  const observation = createObservation(parts.engines, parts.onReport)
  const waitOutMilliseconds = settings.leaseMilliseconds + settings.orderDeadlineMilliseconds
  let tenure: Tenure | undefined
  let pending: PendingState[] = []
  const stopped = new AbortController()
  let lastAttempt = LeaseAttempt.Unavailable
  let absentLooks = 0
  let inForce: { generation: number, since: number } | undefined
  let running: Promise<void> = Promise.resolve()

  async function run (): Promise<void> {
    while (!stopped.signal.aborted) {
      if (lease.current() === undefined) await campaign()
      else await pass()
      await pauseUntil(stopped.signal, lease.current() === undefined ? lookInterval() : PASS_INTERVAL_MILLISECONDS)
    }
  }

  async function campaign (): Promise<void> {
    if (tenure !== undefined) lose()
    const version = parts.current()
    if (version === undefined) return
    const rank = candidateRank(Duty.EngineOrders, failureDomain, parts.address, parts.members())
    const attempt = await lease.acquire({ onlyLook: rank > 0 && absentLooks === 0 })
    lastAttempt = attempt
    absentLooks = attempt === LeaseAttempt.Vacant ? absentLooks + 1 : 0
    const held = lease.current()
    if (attempt !== LeaseAttempt.Acquired || held === undefined) return
    if (stopped.signal.aborted) return await lease.release()
    parts.logger.info(LogEvent.LeaseAcquired, { failureDomain, fencingToken: held.token })
    tenure = { token: held.token, unsettled: new Set(), dispatch: createDispatch(held.token) }
    observation.clear()
    void keepLease(held.token)
  }

  function createDispatch (token: number): OrderDispatch {
    return createOrderDispatch({
      engines: parts.engines,
      lease,
      logger: parts.logger,
      token,
      orderDeadlineMilliseconds: settings.orderDeadlineMilliseconds,
      doubtMilliseconds: waitOutMilliseconds,
      pace: { loadsPerMinute: settings.loadsPerMinute, burst: settings.loadBurst }
    })
  }

  function lose (): void {
    parts.logger.warn(LogEvent.LeaseLost, { failureDomain, fencingToken: tenure?.token })
    tenure = undefined
    lastAttempt = LeaseAttempt.Unavailable
    pending = []
    observation.clear()
  }

  async function keepLease (token: number): Promise<void> {
    while (!stopped.signal.aborted && lease.current()?.token === token) {
      await pauseUntil(stopped.signal, settings.leaseMilliseconds / RENEWALS_PER_LEASE)
      if (!stopped.signal.aborted) await lease.renew()
    }
  }

  async function pass (): Promise<void> {
    const version = parts.current()
    const held = tenure
    if (version === undefined || held === undefined) return
    noteInForce(version)
    await observation.refresh(ownTargets(version), held.unsettled)
    let differences = plan(version, held)
    if (differences.some(isRemoval)) {
      const isAboutToRemove = differences.some(difference => isRemoval(difference) && difference.blockedBy === undefined)
      await observation.refresh(replicaTargets(version, differences), isAboutToRemove ? new Set(version.targets.keys()) : new Set())
      differences = plan(version, held)
    }
    const next = await sendAll(held, differences)
    if (tenure === held) pending = next
    held.unsettled = new Set(next.map(({ target }) => target))
  }

  function plan (version: CompiledVersion, held: Tenure): Difference[] {
    const current = lease.current()
    return planOrders({
      version,
      failureDomain,
      reports: observation.reports(),
      token: held.token,
      isWaitedOut: current !== undefined && current.heldForMilliseconds >= waitOutMilliseconds,
      inForceForMilliseconds: performance.now() - (inForce?.since ?? Infinity),
      drainMilliseconds: settings.drainMilliseconds,
      isLeaving: parts.isLeaving,
      isDoubtful: held.dispatch.isDoubtful
    })
  }

  async function sendAll (held: Tenure, differences: Difference[]): Promise<PendingState[]> {
    const byTarget = new Map<string, Difference[]>()
    for (const difference of differences) byTarget.set(difference.target.name, [...byTarget.get(difference.target.name) ?? [], difference])
    const states = await Promise.all([...byTarget.values()].map(list => sendInTurn(held, list)))
    return states.flat()
  }

  async function sendInTurn (held: Tenure, differences: Difference[]): Promise<PendingState[]> {
    const states: PendingState[] = []
    for (const difference of differences) {
      const { target, order } = difference
      const incarnation = observation.reports().get(target.name)?.incarnation ?? ''
      const state = stopped.signal.aborted ? { reason: PendingReason.WaitingForLease } : await held.dispatch.send(difference, incarnation)
      states.push({ target: target.name, order: order === undefined ? undefined : describeOrder(order), ...state })
    }
    return states
  }

  function noteInForce (version: CompiledVersion): void {
    if (inForce?.generation === version.head.generation) return
    inForce = { generation: version.head.generation, since: performance.now() }
  }

  function ownTargets (version: CompiledVersion): ManifestTarget[] {
    return version.manifest.targets.filter(target => target.failureDomain === failureDomain)
  }

  function replicaTargets (version: CompiledVersion, differences: Difference[]): ManifestTarget[] {
    const models = new Set(differences.filter(isRemoval).map(modelOf))
    return version.manifest.targets.filter(target =>
      target.failureDomain === failureDomain || target.serves.some(part => models.has(`${part.model} ${part.version}`)))
  }

  function lookInterval (): number {
    const rank = candidateRank(Duty.EngineOrders, failureDomain, parts.address, parts.members())
    return lookIntervalMilliseconds(rank) * (1 + JITTER_SHARE * (parts.random.nextFloat() - 0.5))
  }

  return {
    start: () => { running = run() },
    stop: () => stopped.abort(),
    async release () {
      stopped.abort()
      await running
      await lease.release()
    },
    status () {
      const held = lease.current()
      const isHolder = held !== undefined
      const isKnown = isHolder || lastAttempt === LeaseAttempt.Held
      return {
        failureDomain,
        isHolder,
        holder: lease.holder(),
        fencingToken: held?.token,
        leaseRemainingMilliseconds: held?.remainingMilliseconds,
        pending: isKnown ? pending : [{ target: '*', reason: PendingReason.WaitingForLease }]
      }
    }
  }
}

function isRemoval ({ order, readsWeights, blockedBy }: Difference): boolean {
  const isHeldBack = blockedBy !== undefined && blockedBy !== PendingReason.LastReplica && blockedBy !== PendingReason.InUse
  return order !== undefined && 'part' in order && !readsWeights && !isHeldBack
}

function modelOf ({ order }: Difference): string {
  return order !== undefined && 'part' in order ? `${order.part.model} ${order.part.version}` : ''
}

function pauseUntil (signal: AbortSignal, milliseconds: number): Promise<void> {
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
