/**
 * Finds out whether this VM is cut off from the targets of a service. A target that it cannot reach may have ended; if it hardly reaches
 * any, the network between is the likelier cause, and what it observes says nothing about the targets.
 */
import type { EngineClient } from '../../connection/engine-client.js'
import { incarnationOf, type Target } from '../../version/target.js'
import { repeatInBackground } from '../background.js'
import type { Directory } from '../directory.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'

/** Which services' targets this VM reaches. */
export interface TargetReach {
  /** Whether this VM is cut off from the targets of a service, as far as the last check found. */
  isCutOff: (service: string) => boolean
  /**
   * Tries other targets of the same service, after this VM could not reach one.
   * @returns whether this VM is cut off.
   */
  check: (unreachable: Target) => Promise<boolean>
  /** Whether what this VM observes of targets may be told to peers: it reaches most of them, and no check is running. */
  mayReport: (service: string) => boolean
  /** @returns the services whose targets this VM is cut off from. */
  cutOffServices: () => string[]
  /** Registers a listener that is called when a service becomes cut off or is reached again. */
  onChange: (listener: (service: string, isCutOff: boolean) => void) => void
}

/** What a check found. */
enum Finding {
  /** There is no other target to try. */
  Unknown = 'unknown',
  /** Most targets answer, or all of the own failure domain do: those that do not are lost, or behind a cut that the whole domain sees. */
  Reached = 'reached',
  /** Some targets answer. */
  PartlyReached = 'partly-reached',
  CutOff = 'cut-off'
}

/** Numbers of targets that are tried together, one step after the other. */
const SAMPLE_STEPS = [1, 2, 3]
/** Size of a full sample. */
const SAMPLE_SIZE = 6
/** Number of targets of a full sample that may answer although this VM is cut off from the others. */
const MAXIMUM_ANSWERS_IN_FULL_SAMPLE = 1
/** If this VM takes this number of targets of a service for lost, one that answers does not prove that the VM reaches the others. */
const LOSSES_IN_DOUBT = 3
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

/** A check of one service, and its result: whether this VM is cut off. */
interface Check {
  /** Whether it ended with the first target that answered. */
  isSingleLoss: boolean
  isRunning: boolean
  result: Promise<boolean>
}

/** Creates the state of a VM that reaches all targets. */
export function createTargetReach (
  { ownFailureDomain, directory, engines, log, signal, nextFloat }: TargetReachDependencies
): TargetReach {
  const cutOff = new Set<string>()
  /** Services of which this VM reaches some targets only, so that it cannot tell which of the others are lost. */
  const doubtful = new Set<string>()
  const checks = new Map<string, Check>()
  const listeners: Array<(service: string, isCutOff: boolean) => void> = []

  /**
   * @returns targets in random order, one of each failure domain in turn, the own one first: where a failure domain is lost, or all others
   * are, the first few still include one that answers. Targets that have asked for a pause can't be tried.
   */
  function drawTargets (service: string, excluded?: Target): Target[] {
    const counts = new Map<string, number>()
    return directory.listed(service).filter(target => !target.isLeaving && target.id !== excluded?.id && !isPaused(target))
      .map(target => ({ target, rank: nextFloat() })).sort((a, b) => a.rank - b.rank)
      .map(({ target, rank }) => {
        const round = counts.get(target.failureDomain) ?? 0
        counts.set(target.failureDomain, round + 1)
        return { target, rank: round + (target.failureDomain === ownFailureDomain ? 0 : rank) }
      }).sort((a, b) => a.rank - b.rank).map(({ target }) => target)
  }

  /** Whether nothing may be sent to a target now. Its pause was asked for some time ago and tells nothing of the present. */
  function isPaused (target: Target): boolean {
    return directory.pauseRemaining(incarnationOf(target)) > 0
  }

  /** Whether a service has any target that this VM could be cut off from. */
  function hasTargets (service: string): boolean {
    return directory.listed(service).some(({ isLeaving }) => !isLeaving)
  }

  /** Whether a target answers, or this process was too busy to tell. */
  async function mayAnswer (target: Target): Promise<boolean> {
    const startedAt = performance.now()
    return await engines.isAnswering(target) || performance.now() - startedAt > MAXIMUM_TRY_MILLISECONDS
  }

  /** Tries targets until it is clear whether this VM is cut off. A single loss is explained by the first target that answers. */
  async function sample (service: string, isSingleLoss: boolean, unreachable?: Target): Promise<Finding> {
    const targets = drawTargets(service, unreachable).slice(0, SAMPLE_SIZE)
    const results = new Map<Target, boolean>()
    for (const size of SAMPLE_STEPS) {
      const step = targets.slice(results.size, results.size + size)
      await Promise.all(step.map(async target => { results.set(target, await mayAnswer(target)) }))
      if (isSingleLoss && results.size < SAMPLE_SIZE && [...results.values()].some(isAnswering => isAnswering)) return Finding.Reached
    }
    return interpret(results, ownFailureDomain)
  }

  async function runCheck (service: string, isSingleLoss: boolean, unreachable?: Target): Promise<boolean> {
    const finding = await sample(service, isSingleLoss, unreachable)
    if (finding === Finding.Unknown && hasTargets(service)) return cutOff.has(service)
    if (finding === Finding.PartlyReached) doubtful.add(service)
    else doubtful.delete(service)
    const isCutOff = finding === Finding.CutOff
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
    const isSingleLoss = directory.ownLosses(service) < LOSSES_IN_DOUBT
    const known = checks.get(service)
    if (known !== undefined && (isSingleLoss || !known.isSingleLoss)) return known.result
    const earlier = known?.isRunning === true ? known.result : Promise.resolve(false)
    const started: Check = {
      isSingleLoss, isRunning: true, result: earlier.then(async () => await runCheck(service, isSingleLoss, unreachable))
    }
    checks.set(service, started)
    void started.result.finally(() => {
      started.isRunning = false
      setTimeout(() => { if (checks.get(service) === started) checks.delete(service) }, RESULT_MILLISECONDS).unref()
    })
    return started.result
  }

  async function retry (service: string): Promise<void> {
    const targets = directory.listed(service).filter(target => !isPaused(target))
    const target = targets[Math.floor(nextFloat() * targets.length)]
    if (!hasTargets(service) || (target !== undefined && await engines.isAnswering(target))) await startCheck(service)
  }

  repeatInBackground(RETRY_INTERVAL_MILLISECONDS, signal, () => { for (const service of cutOff) void retry(service) })
  directory.onOwnLoss(target => { void startCheck(target.service, target) })

  return {
    isCutOff: service => cutOff.has(service),
    check: async unreachable => cutOff.has(unreachable.service) || await startCheck(unreachable.service, unreachable),
    mayReport: service => !cutOff.has(service) && !doubtful.has(service) && checks.get(service)?.isRunning !== true,
    cutOffServices: () => [...cutOff],
    onChange: listener => { listeners.push(listener) }
  }
}

/** @returns what a sample of targets, with whether each has answered, tells about this VM. */
function interpret (results: ReadonlyMap<Target, boolean>, ownFailureDomain: string): Finding {
  if (results.size === 0) return Finding.Unknown
  const answers = [...results.values()].filter(isAnswering => isAnswering).length
  if (answers <= (results.size === SAMPLE_SIZE ? MAXIMUM_ANSWERS_IN_FULL_SAMPLE : 0)) return Finding.CutOff
  const local = [...results].filter(([{ failureDomain }]) => failureDomain === ownFailureDomain)
  const reachesOwnDomain = local.length > 0 && local.every(([, isAnswering]) => isAnswering)
  return answers * 2 >= results.size || reachesOwnDomain ? Finding.Reached : Finding.PartlyReached
}
