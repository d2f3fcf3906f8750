/**
 * Evidence that the content of requests crashes targets: which targets have ended while a request with this content had not delivered
 * anything, or before its answer was complete. Evidence of several VMs is merged; merging is idempotent, and its order does not matter.
 */

/** What the evidence is against. */
export enum SubjectKind {
  /** A part of prompts, which several requests may contain; it counts the targets that ended before the first event. */
  PromptPart = 'prompt-part',
  /** A whole request: what all attempts with the same path, workspace and body have in common; it counts as for `PromptPart`. */
  Request = 'request',
  /** A part of prompts; it counts the targets that ended within an answer, after at least one event. */
  AnsweredPromptPart = 'answered-prompt-part',
  /** A whole request; it counts as for `AnsweredPromptPart`. */
  AnsweredRequest = 'answered-request'
}

/** What shows that a subject does not crash its targets, and refutes the losses before it. */
export enum Proof {
  /** An answer to a request with the subject has begun. */
  Begin = 'begin',
  /** A target has given an answer to a request with the subject up to its regular end. */
  Completion = 'completion'
}

/** What distinguishes the kinds of subjects. */
export interface SubjectTraits {
  isPart: boolean
  proof: Proof
}

export const SUBJECT_TRAITS: Record<SubjectKind, SubjectTraits> = {
  [SubjectKind.PromptPart]: { isPart: true, proof: Proof.Begin },
  [SubjectKind.Request]: { isPart: false, proof: Proof.Begin },
  [SubjectKind.AnsweredPromptPart]: { isPart: true, proof: Proof.Completion },
  [SubjectKind.AnsweredRequest]: { isPart: false, proof: Proof.Completion }
}

/** One target that ended while requests with the subject ran there or waited there. */
export interface TargetLoss {
  /** Incarnation of the target. */
  incarnation: string
  /** When the last of the requests was sent, monotonic milliseconds. */
  sentAt: number
  /** When the last VM noticed the end of the target, monotonic milliseconds. */
  endedAt: number
  /** Whether the target had begun to answer: it had sent at least status line and headers. */
  hasHead: boolean
  /** Shared parts of the prompt that all these requests at the target had in common, including the part itself. */
  companions: readonly string[]
}

/** What is known of one subject at one service. */
export interface ContentEvidence {
  /** By `lossKey`. */
  losses: ReadonlyMap<string, TargetLoss>
  /** Whether there has ever been the proof that the kind of subject asks for. */
  hasSucceeded: boolean
  /** When there last was this proof, monotonic milliseconds; -Infinity if unknown. */
  succeededAt: number
  /** Whether there was this proof for a request of the service without the subject since the first loss: the service itself works. */
  hasControl: boolean
}

export const NO_EVIDENCE: ContentEvidence = { losses: new Map(), hasSucceeded: false, succeededAt: -Infinity, hasControl: false }

/** How strongly the evidence speaks against a subject. */
export enum Verdict {
  /** Requests with it are sent as usual. */
  Clear = 'clear',
  /** One more loss leads to the quarantine; a request with it that has lost its target is not sent again. */
  Doubtful = 'doubtful',
  /** Requests with it are refused. */
  Quarantined = 'quarantined'
}

/**
 * Number of successive losses that lead to the quarantine. A part that has begun before is known to work, so an unrelated series of losses
 * is the more likely cause.
 */
const LOSSES_TO_QUARANTINE: Record<'newPart' | 'begunPart', { withHead: number, any: number }> = {
  newPart: { withHead: 3, any: 5 },
  begunPart: { withHead: 5, any: Infinity }
}
/**
 * Number of successive losses within answers that lead to the quarantine of a part or a request. Sound answers last long, so that they
 * lose a target by chance more often than requests that wait for their first event.
 */
const ANSWERED_LOSSES_TO_QUARANTINE = 5
/** Time for which a quarantine lasts after the last loss, milliseconds. After it, one more loss starts the next. */
export const QUARANTINE_MILLISECONDS = 600_000
/** Number of successive losses that lead to the quarantine of a request. */
const REQUEST_LOSSES_TO_QUARANTINE = 3
/**
 * Number of successive losses that lead to a short quarantine of a request, if no other request was at all of these targets. A sound
 * request that loses two targets by chance is refused only for that time.
 */
const REQUEST_LOSSES_TO_SHORT_QUARANTINE = 2
const SHORT_QUARANTINE_MILLISECONDS = 30_000
/** Number of losses that are kept for one subject: more than any verdict needs. */
const MAXIMUM_LOSSES = 16
/** Differences in time up to this one only come from the transit of messages, or from VMs that notice the same end, milliseconds. */
const TIME_TOLERANCE_MILLISECONDS = 50

/** @returns the key of a loss. Requests that had their headers and those that had nothing count as two losses of the target. */
export function lossKey ({ incarnation, hasHead }: Pick<TargetLoss, 'incarnation' | 'hasHead'>): string {
  return hasHead ? `${incarnation} head` : incarnation
}

/** @returns the merged evidence; the first argument itself if the second adds nothing. */
export function mergeEvidence (known: ContentEvidence, added: ContentEvidence): ContentEvidence {
  const losses = new Map(known.losses)
  let isChanged = (added.hasSucceeded && !known.hasSucceeded) || (added.hasControl && !known.hasControl)
  for (const [key, loss] of added.losses) {
    const before = losses.get(key)
    const merged = before === undefined ? loss : mergeLosses(before, loss)
    losses.set(key, merged)
    isChanged ||= before === undefined || isDifferent(before, merged)
  }
  if (!isChanged && added.succeededAt <= known.succeededAt) return known
  return {
    losses: isChanged ? newestLosses(losses) : known.losses,
    hasSucceeded: known.hasSucceeded || added.hasSucceeded,
    succeededAt: Math.max(known.succeededAt, added.succeededAt),
    hasControl: known.hasControl || added.hasControl
  }
}

/** @returns the losses that no later proof refutes. */
export function openLosses ({ losses, succeededAt }: ContentEvidence): TargetLoss[] {
  return [...losses.values()].filter(({ endedAt }) => endedAt > succeededAt)
}

/** @returns when the first target ended, of those that no later proof refutes, monotonic milliseconds; Infinity if there is none. */
export function firstLossAt (evidence: ContentEvidence): number {
  return Math.min(...openLosses(evidence).map(({ endedAt }) => endedAt))
}

/** @returns the number of targets whose end no later proof refutes. */
export function countTargets (evidence: ContentEvidence): number {
  return new Set(openLosses(evidence).map(({ incarnation }) => incarnation)).size
}

function mergeLosses (known: TargetLoss, added: TargetLoss): TargetLoss {
  return {
    ...known,
    sentAt: Math.max(known.sentAt, added.sentAt),
    endedAt: Math.max(known.endedAt, added.endedAt),
    companions: known.companions.filter(part => added.companions.includes(part))
  }
}

function isDifferent (before: TargetLoss, after: TargetLoss): boolean {
  return before.companions.length !== after.companions.length || after.sentAt - before.sentAt > TIME_TOLERANCE_MILLISECONDS ||
    after.endedAt - before.endedAt > TIME_TOLERANCE_MILLISECONDS
}

function newestLosses (losses: ReadonlyMap<string, TargetLoss>): ReadonlyMap<string, TargetLoss> {
  if (losses.size <= MAXIMUM_LOSSES) return losses
  return new Map([...losses].sort(([, a], [, b]) => b.endedAt - a.endedAt).slice(0, MAXIMUM_LOSSES))
}

/** What the evidence against a part leads to. */
export interface Judgement {
  verdict: Verdict
  /** The verdict concerns requests that contain all of these parts: those that the counted losses had in common. */
  companions: readonly string[]
  /** Monotonic time at which the quarantine ends, milliseconds. */
  until: number
}

/**
 * Judges the evidence of losses within answers against a part or a request. Losses count as for `judge`.
 */
export function judgeAnswered (evidence: ContentEvidence, now: number): Judgement {
  const series = longestSeries(openLosses(evidence))
  const until = Math.max(...series.map(({ endedAt }) => endedAt), -Infinity) + QUARANTINE_MILLISECONDS
  const isDecided = series.length >= ANSWERED_LOSSES_TO_QUARANTINE
  const isQuarantined = isDecided && evidence.hasControl && until > now
  const isDoubtful = series.length >= ANSWERED_LOSSES_TO_QUARANTINE - 1
  return {
    verdict: isQuarantined ? Verdict.Quarantined : isDoubtful ? Verdict.Doubtful : Verdict.Clear, companions: commonParts(series), until
  }
}

/**
 * Judges the evidence against one part. Losses count only if their request was sent after the previous one that counts had ended: targets
 * that end together, by the loss of a rack, count once.
 */
export function judge (evidence: ContentEvidence, now: number): Judgement {
  const limits = LOSSES_TO_QUARANTINE[evidence.hasSucceeded ? 'begunPart' : 'newPart']
  const losses = openLosses(evidence)
  const withHead = longestSeries(losses.filter(({ hasHead }) => hasHead))
  const any = longestSeries(losses)
  const decisive = any.length >= limits.any && withHead.length < limits.withHead ? any : withHead
  const until = Math.max(...losses.map(({ endedAt }) => endedAt), -Infinity) + QUARANTINE_MILLISECONDS
  return { verdict: decideVerdict(), companions: commonParts(decisive.length > 0 ? decisive : any), until }

  function decideVerdict (): Verdict {
    const isDecided = withHead.length >= limits.withHead || any.length >= limits.any
    if (isDecided && evidence.hasControl && until > now) return Verdict.Quarantined
    return isDecided || withHead.length === limits.withHead - 1 || any.length === limits.any - 1 ? Verdict.Doubtful : Verdict.Clear
  }
}

/**
 * Judges the evidence against one whole request. A target that ends takes the requests of others along; their evidence tells which of the
 * requests explains the ends.
 * @param others evidence against other requests of the service that were at some of the same targets.
 */
export function judgeRequest (evidence: ContentEvidence, others: readonly ContentEvidence[], now: number): Judgement {
  const series = longestSeries(openLosses(evidence))
  const unexplained = series.filter(({ incarnation }) => !others.some(other => {
    const losses = openLosses(other)
    return hasLost(losses, incarnation) && longestSeries(losses).length > series.length
  }))
  const isAmbiguous = others.some(other => {
    const losses = openLosses(other)
    return unexplained.every(({ incarnation }) => hasLost(losses, incarnation))
  })
  const isProven = unexplained.length >= REQUEST_LOSSES_TO_QUARANTINE
  const isDecided = isProven || (unexplained.length === REQUEST_LOSSES_TO_SHORT_QUARANTINE && !isAmbiguous)
  const until = Math.max(...unexplained.map(({ endedAt }) => endedAt), -Infinity) +
    (isProven ? QUARANTINE_MILLISECONDS : SHORT_QUARANTINE_MILLISECONDS)
  return { verdict: decideVerdict(), companions: [], until }

  function decideVerdict (): Verdict {
    if (isDecided && evidence.hasControl && until > now) return Verdict.Quarantined
    return unexplained.length >= REQUEST_LOSSES_TO_SHORT_QUARANTINE ? Verdict.Doubtful : Verdict.Clear
  }
}

function hasLost (losses: readonly TargetLoss[], incarnation: string): boolean {
  return losses.some(loss => loss.incarnation === incarnation)
}

/** @returns the longest series in which each request was sent after the previous loss. */
function longestSeries (losses: readonly TargetLoss[]): TargetLoss[] {
  const series: TargetLoss[] = []
  for (const loss of [...losses].sort((a, b) => a.endedAt - b.endedAt)) {
    if (loss.sentAt + TIME_TOLERANCE_MILLISECONDS >= (series.at(-1)?.endedAt ?? -Infinity)) series.push(loss)
  }
  return series
}

function commonParts (losses: readonly TargetLoss[]): readonly string[] {
  const [first, ...others] = losses
  return (first?.companions ?? []).filter(part => others.every(({ companions }) => companions.includes(part)))
}
