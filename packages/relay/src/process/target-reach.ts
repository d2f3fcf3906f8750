/**
 * Finds out whether this VM is cut off from the targets of a service. A target that it cannot reach may have ended; if it hardly reaches
 * any, the network between is the likelier cause, and what it observes says nothing about the targets.
 */
import type { EngineClient } from '../connection/engine-client.js'
import type { Target } from '../version/target.js'
import { repeatInBackground } from './background.js'
import type { Directory } from './directory.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** Which services' targets this VM reaches. */
export interface TargetReach {
  /** Whether this VM is cut off from the targets of a service, as far as the last check found. */
  isCutOff: (service: string) => boolean
  /**
   * Tries other targets of the same service, after this VM could not reach one.
   * @returns whether this VM is cut off.
   */
  check: (unreachable: Target) => Promise<boolean>
  /** Whether what this VM observes of a target may be told to peers: it is not cut off, and no check is running. */
  mayReport: (service: string) => boolean
  /** @returns the services whose targets this VM is cut off from. */
  cutOffServices: () => string[]
  /** Registers a listener that is called when a service becomes cut off or is reached again. */
  onChange: (listener: (service: string, isCutOff: boolean) => void) => void
}

/** Numbers of targets that are tried together, one step after the other. A check ends with the first target that answers. */
const SAMPLE_STEPS = [1, 2, 3]
/** Size of a full sample. */
const SAMPLE_SIZE = 6
/** Number of targets of a full sample that may answer although this VM is cut off from the others. */
const MAXIMUM_ANSWERS_IN_FULL_SAMPLE = 1
/** How long the result of a check is used, milliseconds: losses of several targets are often noticed together. */
const RESULT_MILLISECONDS = 100
/** A try that takes longer, milliseconds, did not end by its own timeout in time: the process itself is late. */
const MAXIMUM_TRY_MILLISECONDS = 200
/** Interval at which a VM that is cut off tries one target, milliseconds. */
const RETRY_INTERVAL_MILLISECONDS = 300

/** Dependencies of the reach. */
export interface TargetReachDependencies {
  ownFailureDomain: string
  directory: Directory
  engines: Pick<EngineClient, 'isAnswering'>
  log: RelayLog
  signal: AbortSignal
  nextFloat: () => number
}

/** Creates the state of a VM that reaches all targets. */
export function createTargetReach (
  { ownFailureDomain, directory, engines, log, signal, nextFloat }: TargetReachDependencies
): TargetReach {
  const cutOff = new Set<string>()
  const checks = new Map<string, { result: Promise<boolean>, isRunning: boolean }>()
  const listeners: Array<(service: string, isCutOff: boolean) => void> = []

  /**
   * @returns targets in random order, one of each failure domain in turn, the own one first: where a failure domain is lost, or all others
   * are, the first few still include one that answers.
   */
  function drawTargets (service: string, excluded?: Target): Target[] {
    const counts = new Map<string, number>()
    return directory.listed(service).filter(target => !target.isLeaving && target.id !== excluded?.id)
      .map(target => ({ target, rank: nextFloat() })).sort((a, b) => a.rank - b.rank)
      .map(({ target, rank }) => {
        const round = counts.get(target.failureDomain) ?? 0
        counts.set(target.failureDomain, round + 1)
        return { target, rank: round + (target.failureDomain === ownFailureDomain ? 0 : rank) }
      }).sort((a, b) => a.rank - b.rank).map(({ target }) => target)
  }

  /** Whether a target answers, or this process was too busy to tell. */
  async function mayAnswer (target: Target): Promise<boolean> {
    const startedAt = performance.now()
    return await engines.isAnswering(target) || performance.now() - startedAt > MAXIMUM_TRY_MILLISECONDS
  }

  async function sample (service: string, unreachable?: Target): Promise<boolean> {
    const targets = drawTargets(service, unreachable).slice(0, SAMPLE_SIZE)
    if (targets.length === 0) return cutOff.has(service)
    let answers = 0
    for (const [index, size] of SAMPLE_STEPS.entries()) {
      const step = targets.slice(sumOf(SAMPLE_STEPS.slice(0, index)), sumOf(SAMPLE_STEPS.slice(0, index + 1)))
      const results = await Promise.all(step.map(mayAnswer))
      answers += results.filter(isAnswering => isAnswering).length
      if (answers > (index === SAMPLE_STEPS.length - 1 && step.length === size ? MAXIMUM_ANSWERS_IN_FULL_SAMPLE : 0)) return false
    }
    return true
  }

  async function runCheck (service: string, unreachable?: Target): Promise<boolean> {
    const isCutOff = await sample(service, unreachable)
    if (isCutOff !== cutOff.has(service)) change(service, isCutOff)
    return isCutOff
  }

  function change (service: string, isCutOff: boolean): void {
    if (isCutOff) {
      cutOff.add(service)
      log.warn(RelayEvent.TargetsUnreachable, { service, listed: directory.listed(service).length })
    } else {
      cutOff.delete(service)
      directory.dropOwnSuspicions(service)
      log.info(RelayEvent.TargetsReachable, { service })
    }
    for (const listener of listeners) listener(service, isCutOff)
  }

  function startCheck (service: string, unreachable?: Target): Promise<boolean> {
    const known = checks.get(service)
    if (known !== undefined) return known.result
    const started = { result: runCheck(service, unreachable), isRunning: true }
    checks.set(service, started)
    void started.result.finally(() => {
      started.isRunning = false
      setTimeout(() => checks.delete(service), RESULT_MILLISECONDS).unref()
    })
    return started.result
  }

  async function retry (service: string): Promise<void> {
    const targets = directory.listed(service)
    const target = targets[Math.floor(nextFloat() * targets.length)]
    if (target !== undefined && await engines.isAnswering(target)) await startCheck(service)
  }

  repeatInBackground(RETRY_INTERVAL_MILLISECONDS, signal, () => { for (const service of cutOff) void retry(service) })
  directory.onOwnLoss(target => { void startCheck(target.service, target) })

  return {
    isCutOff: service => cutOff.has(service),
    check: async unreachable => cutOff.has(unreachable.service) || await startCheck(unreachable.service, unreachable),
    mayReport: service => !cutOff.has(service) && checks.get(service)?.isRunning !== true,
    cutOffServices: () => [...cutOff],
    onChange: listener => { listeners.push(listener) }
  }
}

function sumOf (numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0)
}
