/**
 * Handles requests whose target ended before it had completed the answer: the request itself may be the cause.
 */
import { SubjectKind } from '../process/suspicion/content-evidence.js'
import type { AnsweredRun } from '../process/suspicion/answered-runs.js'
import type { LostTarget, Quarantine } from '../process/suspicion/content-quarantine.js'
import { RelayEvent } from '../process/relay-log.js'
import { digestKey } from '../version/digest.js'
import { contentOf, type AdmittedRequest, type RequestDependencies } from './context.js'
import type { AttemptLedger } from './ledger.js'
import { refuse } from './outcome.js'
import { Refusal } from './refusal.js'

const REFUSALS: Record<SubjectKind, Refusal> = {
  [SubjectKind.PromptPart]: Refusal.PromptQuarantined,
  [SubjectKind.Request]: Refusal.RequestQuarantined,
  [SubjectKind.AnsweredPromptPart]: Refusal.PromptQuarantined,
  [SubjectKind.AnsweredRequest]: Refusal.RequestQuarantined
}
const SUBJECT_NAMES: Record<SubjectKind, string> = {
  [SubjectKind.PromptPart]: 'requests with part',
  [SubjectKind.Request]: 'the request with digest',
  [SubjectKind.AnsweredPromptPart]: 'requests with part',
  [SubjectKind.AnsweredRequest]: 'the request with digest'
}

/**
 * Finds out whether the target of a run that it broke off has ended, and if so counts it against the content of the request.
 * @returns whether the request may be sent to another target.
 */
export async function mayRepeatAfterLoss (
  request: AdmittedRequest, dependencies: RequestDependencies, lost: LostTarget
): Promise<boolean> {
  if (request.exchange.callerLeft.aborted) return true
  const target = dependencies.directory.findIncarnation(lost.incarnation)
  if (target !== undefined && !await dependencies.targetEnds.hasEnded(target)) return true
  const content = contentOf(request)
  dependencies.contentQuarantine.recordLoss(content, lost)
  return dependencies.contentQuarantine.mayRepeat(content)
}

/**
 * Finds out whether the target of a run that broke off within its answer has ended, and if so counts it against the content of the request.
 * The answer is continued meanwhile: its caller is waiting for the next event.
 */
export function recordLossWithinAnswer (
  request: AdmittedRequest, dependencies: RequestDependencies, { sentAt, ...run }: AnsweredRun & Pick<LostTarget, 'sentAt'>
): void {
  const endedAt = performance.now()
  const target = dependencies.directory.findIncarnation(run.incarnation)
  const hasEnded = target === undefined ? Promise.resolve(true) : dependencies.targetEnds.hasEnded(target)
  hasEnded.then(isEnded => {
    if (!isEnded) return
    const content = contentOf(request)
    const outlived = dependencies.answeredRuns.outlivedParts(content.service, content.parts, run)
    dependencies.contentQuarantine.recordSurvival(content.service, outlived)
    dependencies.contentQuarantine.recordLoss(content, { incarnation: run.incarnation, sentAt, endedAt, hasHead: true, hasEvents: true })
  }).catch((error: Error) => dependencies.log.warn(RelayEvent.InternalFault, { reason: error.message }))
}

/** Whether an incarnation of a target is gone; it then no longer counts against the limit of targets. */
export function isIncarnationGone (incarnation: string, { directory }: Pick<RequestDependencies, 'directory'>): boolean {
  return directory.findIncarnation(incarnation) === undefined
}

/**
 * Orders targets for a request under which a target has ended. Several such requests, of which one may be the cause, are spread over the
 * targets, so that the next end concerns as few of them as possible.
 * @returns the incarnations in the order of preference, the same at all VMs.
 */
export function rankForSuspect (request: AdmittedRequest, incarnations: readonly string[]): string[] {
  const digest = request.contentDigest()
  return incarnations.map(incarnation => ({ incarnation, rank: digestKey(`${digest} ${incarnation}`) }))
    .sort((a, b) => a.rank < b.rank ? -1 : 1).map(({ incarnation }) => incarnation)
}

/** Refuses a request whose content is quarantined, with the time at which the quarantine ends. */
export function refuseQuarantined (
  request: AdmittedRequest, dependencies: RequestDependencies, ledger: AttemptLedger, quarantine: Quarantine
): void {
  const { kind, subject, losses, remainingMilliseconds } = quarantine
  const detail = `${losses} targets have ended under ${SUBJECT_NAMES[kind]} ${subject}`
  refuse(request, dependencies, ledger, REFUSALS[kind], detail, remainingMilliseconds)
}
