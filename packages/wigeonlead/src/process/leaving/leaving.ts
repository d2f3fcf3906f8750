/**
 * Targets that are leaving get no new work: from planned stops, from the VM list and from what other entry VMs say.
 */
import { MemberState, type MemberEntry, type TargetEvent, type VmListPort } from '@wigeonlead/protocol'
import type { CompiledVersion } from '../../version/index.js'
import { LogEvent, type Logger } from '../logging.js'
import { Duty, candidateRank } from '../reconciler/index.js'
import { listLeaving, ownStopAt, type Leave } from './sources.js'
import { createVmListView, type PollTurn } from './vm-list.js'

/** Carries word of targets between entry VMs. */
export interface TargetAnnouncements {
  announceTarget: (target: string, state: MemberState) => void
  /** Calls back with each new event, own ones included. @returns what ends that. */
  onTargetEvent: (callback: (event: TargetEvent) => void) => () => void
}

/** What is known of leaving targets at one node. */
export interface Leaving {
  /** @returns the leave of a target, or undefined while it stays. */
  leaveOf: (target: string) => Leave | undefined
  /** Calls back once when the planned stop of this entry VM begins. */
  onOwnStop: (callback: () => void) => void
  start: () => void
  stop: () => void
  status: () => Array<{ target: string, untilMilliseconds?: number }>
}

/** What it needs. */
export interface LeavingParts {
  vmList: VmListPort
  announcements: TargetAnnouncements
  logger: Logger
  vm: string
  failureDomain: string
  /** Address of this node's peers' listener. */
  address: string
  members: () => MemberEntry[]
  current: () => CompiledVersion | undefined
  /** Is told of each change of a target. */
  setState: (target: string, state: MemberState) => void
}

const TICK_MILLISECONDS = 500
const POLLERS_PER_DOMAIN = 2
const REPEAT_MILLISECONDS = 60_000
/** An event that isn't repeated for so long no longer counts: its reporter is gone. */
const EVENT_LIFE_MILLISECONDS = 150_000

/** Makes the knowledge of leaving targets, empty until it is started. */
export function createLeaving (parts: LeavingParts): Leaving {
  const view = createVmListView(parts.vmList)
  const heard = new Map<string, Map<string, number>>()
  const announcedAt = new Map<string, number>()
  const ownStops = new Set<() => void>()
  let local = new Map<string, Leave>()
  let effective = new Map<string, Leave>()
  let timer: NodeJS.Timeout | undefined
  let unsubscribe = (): void => {}

  async function tick (): Promise<void> {
    const rank = candidateRank(Duty.VmList, parts.failureDomain, parts.address, parts.members())
    evaluate()
    if (rank < POLLERS_PER_DOMAIN) {
      if (await view.refresh(turnOf(rank))) evaluate()
      announce()
    }
    announceOwnStop()
  }

  function turnOf (rank: number): PollTurn {
    const domains = parts.current()?.manifest.failureDomains ?? [parts.failureDomain]
    const position = Math.max(0, domains.indexOf(parts.failureDomain)) * POLLERS_PER_DOMAIN + rank
    return { position, pollers: domains.length * POLLERS_PER_DOMAIN }
  }

  function evaluate (): void {
    local = listLeaving(parts.current(), view.vms(), Date.now())
    const next = new Map([...heardLeaving().map((target): [string, Leave] => [target, {}]), ...local])
    for (const target of next.keys()) {
      if (!effective.has(target)) report(target, MemberState.Leaving, LogEvent.TargetLeaving)
    }
    for (const target of effective.keys()) {
      if (!next.has(target)) report(target, MemberState.Alive, LogEvent.TargetServing)
    }
    effective = next
  }

  function report (target: string, state: MemberState, event: LogEvent): void {
    parts.setState(target, state)
    parts.logger.info(event, { target })
  }

  function announce (): void {
    const now = performance.now()
    for (const target of local.keys()) {
      if (now - (announcedAt.get(target) ?? -Infinity) < REPEAT_MILLISECONDS) continue
      announcedAt.set(target, now)
      parts.announcements.announceTarget(target, MemberState.Leaving)
    }
    for (const target of [...announcedAt.keys()].filter(target => !local.has(target))) {
      announcedAt.delete(target)
      parts.announcements.announceTarget(target, MemberState.Alive)
    }
  }

  function hear (event: TargetEvent): void {
    if (event.state === MemberState.Suspect) {
      if (effective.has(event.target)) parts.setState(event.target, MemberState.Leaving)
      return
    }
    const reporters = heard.get(event.target) ?? new Map<string, number>()
    heard.set(event.target, reporters)
    if (event.state === MemberState.Alive) reporters.delete(event.reporter)
    else reporters.set(event.reporter, performance.now())
    if (reporters.size === 0) heard.delete(event.target)
    evaluate()
  }

  function heardLeaving (): string[] {
    const now = performance.now()
    for (const [target, reporters] of heard) {
      for (const [reporter, at] of reporters) {
        if (now - at > EVENT_LIFE_MILLISECONDS) reporters.delete(reporter)
      }
      if (reporters.size === 0) heard.delete(target)
    }
    return [...heard.keys()]
  }

  function announceOwnStop (): void {
    const stopAt = ownStopAt(parts.current(), parts.vm)
    if (stopAt === undefined || stopAt > Date.now()) return
    for (const callback of ownStops) callback()
    ownStops.clear()
  }

  return {
    leaveOf: target => effective.get(target),
    onOwnStop: callback => { ownStops.add(callback) },
    start () {
      unsubscribe = parts.announcements.onTargetEvent(hear)
      timer = setInterval(() => { void tick() }, TICK_MILLISECONDS)
      timer.unref()
    },
    stop () {
      clearInterval(timer)
      unsubscribe()
    },
    status: () => [...effective].map(([target, leave]) => ({ target, ...leave }))
  }
}
