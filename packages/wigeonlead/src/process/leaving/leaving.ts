/**
 * Tracks leaving targets, which get no new requests. The sources are planned stops, the VM list and announcements of other entry
 * VMs.
 */
import { MemberState, type MemberEntry, type TargetEvent, type VmListPort } from '@wigeonlead/protocol'
import type { CompiledVersion } from '../../version/index.js'
import { LogEvent, type Logger } from '../logging.js'
import { Duty, candidateRank } from '../reconciler/index.js'
import { listLeaving, findOwnStopStart, type Departure } from './sources.js'
import { createVmListView, type PollSlot } from './vm-list.js'

/** Exchanges target events between entry VMs. */
export interface TargetAnnouncements {
  announceTarget: (target: string, state: MemberState) => void
  /** Calls back with each new event, including those of this node. @returns a function that unsubscribes. */
  onTargetEvent: (callback: (event: TargetEvent) => void) => () => void
}

/** The leaving targets as known to one node. */
export interface LeavingTracker {
  /** @returns the departure of a leaving target, or undefined when the target isn't leaving. */
  departureOf: (target: string) => Departure | undefined
  /** Calls back once when the planned stop of this entry VM begins. */
  onOwnStop: (callback: () => void) => void
  start: () => void
  stop: () => void
  status: () => Array<{ target: string, untilMilliseconds?: number }>
}

/** Dependencies and settings of the tracking. */
export interface LeavingTrackerOptions {
  vmList: VmListPort
  announcements: TargetAnnouncements
  logger: Logger
  vm: string
  failureDomain: string
  /** Address at which this node listens for peers. */
  address: string
  members: () => MemberEntry[]
  versionInForce: () => CompiledVersion | undefined
  /** Sets the state of a target: leaving, or alive once it is no longer leaving. */
  setState: (target: string, state: MemberState) => void
}

const UPDATE_INTERVAL_MILLISECONDS = 500
const POLLERS_PER_DOMAIN = 2
const REANNOUNCEMENT_INTERVAL_MILLISECONDS = 60_000
/** An announcement that was not repeated for this time is dropped, since its reporter is gone. */
const EVENT_EXPIRY_MILLISECONDS = 150_000

/** Creates the tracking of leaving targets, empty until it is started. */
export function createLeavingTracker (options: LeavingTrackerOptions): LeavingTracker {
  const vmListView = createVmListView(options.vmList)
  const reportersByTarget = new Map<string, Map<string, number>>()
  const announcedAt = new Map<string, number>()
  const ownStopListeners = new Set<() => void>()
  let locallyLeaving = new Map<string, Departure>()
  let leavingTargets = new Map<string, Departure>()
  let timer: NodeJS.Timeout | undefined
  let unsubscribe = (): void => {}

  async function updateAndAnnounce (): Promise<void> {
    const rank = candidateRank(Duty.VmList, options.failureDomain, options.address, options.members())
    updateLeavingTargets()
    if (rank < POLLERS_PER_DOMAIN) {
      if (await vmListView.refresh(pollSlotOf(rank))) updateLeavingTargets()
      announce()
    }
    notifyOwnStop()
  }

  function pollSlotOf (rank: number): PollSlot {
    const domains = options.versionInForce()?.manifest.failureDomains ?? [options.failureDomain]
    const position = Math.max(0, domains.indexOf(options.failureDomain)) * POLLERS_PER_DOMAIN + rank
    return { position, pollers: domains.length * POLLERS_PER_DOMAIN }
  }

  function updateLeavingTargets (): void {
    locallyLeaving = listLeaving(options.versionInForce(), vmListView.vms(), Date.now())
    const next = new Map([...listAnnouncedTargets().map((target): [string, Departure] => [target, {}]), ...locallyLeaving])
    for (const target of next.keys()) {
      if (!leavingTargets.has(target)) applyState(target, MemberState.Leaving, LogEvent.TargetLeaving)
    }
    for (const target of leavingTargets.keys()) {
      if (!next.has(target)) applyState(target, MemberState.Alive, LogEvent.TargetServing)
    }
    leavingTargets = next
  }

  function applyState (target: string, state: MemberState, event: LogEvent): void {
    options.setState(target, state)
    options.logger.info(event, { target })
  }

  function announce (): void {
    const now = performance.now()
    for (const target of locallyLeaving.keys()) {
      if (now - (announcedAt.get(target) ?? -Infinity) < REANNOUNCEMENT_INTERVAL_MILLISECONDS) continue
      announcedAt.set(target, now)
      options.announcements.announceTarget(target, MemberState.Leaving)
    }
    for (const target of [...announcedAt.keys()].filter(target => !locallyLeaving.has(target))) {
      announcedAt.delete(target)
      options.announcements.announceTarget(target, MemberState.Alive)
    }
  }

  function receiveEvent (event: TargetEvent): void {
    if (event.state === MemberState.Suspect) {
      if (leavingTargets.has(event.target)) options.setState(event.target, MemberState.Leaving)
      return
    }
    const reporters = reportersByTarget.get(event.target) ?? new Map<string, number>()
    reportersByTarget.set(event.target, reporters)
    if (event.state === MemberState.Alive) reporters.delete(event.reporter)
    else reporters.set(event.reporter, performance.now())
    if (reporters.size === 0) reportersByTarget.delete(event.target)
    updateLeavingTargets()
  }

  function listAnnouncedTargets (): string[] {
    const now = performance.now()
    for (const [target, reporters] of reportersByTarget) {
      for (const [reporter, at] of reporters) {
        if (now - at > EVENT_EXPIRY_MILLISECONDS) reporters.delete(reporter)
      }
      if (reporters.size === 0) reportersByTarget.delete(target)
    }
    return [...reportersByTarget.keys()]
  }

  function notifyOwnStop (): void {
    const stopAt = findOwnStopStart(options.versionInForce(), options.vm)
    if (stopAt === undefined || stopAt > Date.now()) return
    for (const callback of ownStopListeners) callback()
    ownStopListeners.clear()
  }

  return {
    departureOf: target => leavingTargets.get(target),
    onOwnStop: callback => { ownStopListeners.add(callback) },
    start () {
      unsubscribe = options.announcements.onTargetEvent(receiveEvent)
      timer = setInterval(() => { void updateAndAnnounce() }, UPDATE_INTERVAL_MILLISECONDS)
      timer.unref()
    },
    stop () {
      clearInterval(timer)
      unsubscribe()
    },
    status: () => [...leavingTargets].map(([target, departure]) => ({ target, ...departure }))
  }
}
