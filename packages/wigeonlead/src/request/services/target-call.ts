/**
 * One call to one target of a service: chooses the target, enforces a timeout, and records the outcome.
 */
import { FailureKind, ServiceResult, Step, type ManifestService, type ServiceOutcome } from '@wigeonlead/protocol'
import { TargetAvailability } from '../../process/targets.js'
import type { RequestContext } from '../context.js'
import { isServedIn } from '../placement.js'
import type { ServiceOrder } from './order.js'

type ServiceTarget = ManifestService['targets'][number]

/** Parameters of one call. */
export interface TargetCall {
  context: RequestContext
  order: ServiceOrder
  /** Targets tried so far; the chosen target is added. */
  tried: Set<string>
  /** Aborts the call. */
  signal?: AbortSignal
  /** Timeout of the call, milliseconds. */
  limitMilliseconds: number
}

/** Penalties that are added to a target's load. The target with the lowest sum is called. */
const TRIED_TARGET_PENALTY = 100
const SUSPECT_TARGET_PENALTY = 10
const OTHER_DOMAIN_PENALTY = 1

/** Calls the best target; targets that were not tried yet come first. */
export async function callTarget ({ context, order, tried, signal, limitMilliseconds }: TargetCall): Promise<ServiceOutcome> {
  const { targets, services, latencies } = context.dependencies
  const target = chooseTarget(context, order.service, tried)
  if (target === undefined) return noTargetOutcome(order.service)
  tried.add(target.name)
  const startedAt = performance.now()
  const release = targets.begin(target.name)
  const timeout = new AbortController()
  const timer = setTimeout(() => timeout.abort(), Math.max(0, limitMilliseconds))
  const combinedSignal = signal === undefined ? timeout.signal : AbortSignal.any([signal, timeout.signal])
  const outcome = await services.call({ target: target.name, address: target.address }, order.call, combinedSignal)
  clearTimeout(timer)
  release()
  if (outcome.kind === ServiceResult.Answered) {
    targets.recordSuccess(target.name)
    latencies.record(latencyKey(order), performance.now() - startedAt)
  } else if (signal?.aborted !== true) targets.recordFailure(target.name, outcome.failure)
  return outcome
}

/** @returns whether a usable target is left that was not tried yet. */
export function hasUntriedTarget (context: RequestContext, service: ManifestService, tried: ReadonlySet<string>): boolean {
  return usableTargets(context, service).some(target => !tried.has(target.name))
}

/** @returns the key under which the latencies of an operation are recorded. */
export function latencyKey ({ service, operation }: ServiceOrder): string {
  return `${service.name} ${operation.method} ${operation.path}`
}

function chooseTarget (context: RequestContext, service: ManifestService, tried: ReadonlySet<string>): ServiceTarget | undefined {
  const { targets, failureDomain } = context.dependencies
  const rank = (target: ServiceTarget): number => (tried.has(target.name) ? TRIED_TARGET_PENALTY : 0) +
    (targets.availability(target.name) === TargetAvailability.Suspect ? SUSPECT_TARGET_PENALTY : 0) +
    (target.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_PENALTY) + targets.inFlight(target.name) / target.capacity
  return usableTargets(context, service).sort((left, right) => rank(left) - rank(right))[0]
}

function usableTargets (context: RequestContext, service: ManifestService): ServiceTarget[] {
  return service.targets.filter(({ name, failureDomain }) => isServedIn(context.workspace, failureDomain) &&
    context.dependencies.targets.availability(name) !== TargetAvailability.Leaving &&
    !context.version.isTargetStopping(name, Date.now()))
}

function noTargetOutcome (service: ManifestService): ServiceOutcome {
  const detail = `no target serves ${service.name}`
  return { kind: ServiceResult.NotSent, failure: { kind: FailureKind.Refused, step: Step.PathChoice, peer: 'local', detail } }
}
