/**
 * Keeps requests away from targets if their content has crashed several targets in a row: a part of the prompt, or the request as a whole.
 */
import {
  NO_EVIDENCE, Proof, SUBJECT_TRAITS, SubjectKind, Verdict, countTargets, firstLossAt, judge, judgeAnswered, judgeRequest, lossKey,
  mergeEvidence, openLosses, type ContentEvidence, type Judgement, type TargetLoss
} from './content-evidence.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'

/** What of a request may crash targets, and the service that the request is for. */
export interface RequestContent {
  service: string
  /** Shared parts of the prompt; empty where the request names none. */
  parts: readonly string[]
  /** @returns the digest of the whole request. It is only computed while there is evidence against requests of the service. */
  digest: () => string
}

/** A target that ended before it had completed an answer. */
export interface LostTarget {
  incarnation: string
  /** When the request was sent there, monotonic milliseconds. */
  sentAt: number
  /** When its connection broke, monotonic milliseconds; now by default. */
  endedAt?: number
  /** Whether status line and headers of the answer had arrived. */
  hasHead: boolean
  /** Whether at least one event of the answer had arrived; by default, none had. */
  hasEvents?: boolean
}

/** A quarantine that applies to a request. */
export interface Quarantine {
  kind: SubjectKind
  /** The part of the prompt, or the digest of the request. */
  subject: string
  /** Targets that have ended. */
  losses: number
  /** Time until the quarantine ends if no more targets end, milliseconds. */
  remainingMilliseconds: number
}

/** A quarantined part or request, for operators. */
export interface QuarantinedContent {
  kind: SubjectKind
  service: string
  subject: string
  /** Parts that a request must contain too for the quarantine to apply. */
  companions: readonly string[]
  targets: number
  remainingMilliseconds: number
}

/** Evidence against one subject, as it is told to peers. */
export interface ToldEvidence {
  kind: SubjectKind
  service: string
  subject: string
  evidence: ContentEvidence
}

/** The evidence that this VM has, and what follows from it. */
export interface ContentQuarantine {
  /** @returns the quarantine that forbids to send the request; undefined if it may be sent. */
  find: (content: RequestContent) => Quarantine | undefined
  /** Whether a request that has lost its target may be sent to another one. */
  mayRepeat: (content: RequestContent) => boolean
  /** Whether a target has ended under the request, and no answer to it has begun since. */
  isSuspected: (content: RequestContent) => boolean
  /** Records that an answer has begun: neither the request nor any of its parts crashes targets before that. */
  recordBegin: (content: RequestContent) => void
  /** Records that a target has given an answer up to its regular end: neither the request nor any of its parts crashes targets. */
  recordCompletion: (content: RequestContent) => void
  /** Records that answers with certain parts go on at other targets after one has ended: these parts do not crash targets. */
  recordSurvival: (service: string, parts: readonly string[]) => void
  recordLoss: (content: RequestContent, lost: LostTarget) => void
  /** Merges evidence from a peer or from the store. */
  learn: (told: ToldEvidence) => void
  /** @returns evidence to tell, the strongest first: all that is held, or what changed within the given time in milliseconds. */
  tell: (changedWithin?: number) => ToldEvidence[]
  /** @returns the evidence of what is quarantined, for the store. */
  quarantined: () => ToldEvidence[]
  /** @returns what is quarantined, for operators. */
  list: () => QuarantinedContent[]
  /**
   * Refutes the evidence against a part or a request, on an operator's word that it is sound.
   * @returns whether there was any.
   */
  lift: (kind: SubjectKind, service: string, subject: string) => boolean
  /** Registers a listener for losses noticed by this VM that peers need to know of at once; it gets a kind that the loss concerns. */
  onLoss: (listener: (kind: SubjectKind) => void) => void
}

/** Maximum number of subjects of one kind with evidence. */
const MAXIMUM_ENTRIES = 512
/** Maximum number of parts for which one kind of proof is remembered. */
const MAXIMUM_PROVEN = 8192
/** Maximum number of parts of one request that a loss counts against; parts for which there has never been a proof come first. */
const MAXIMUM_SUSPECTS = 24
/** How long evidence is held after its last change if no quarantine follows from it, milliseconds. */
const EVIDENCE_EXPIRY_MILLISECONDS = 600_000
/** How long evidence that a proof has refuted is held, milliseconds: until peers know of the proof. */
const CLEARED_EXPIRY_MILLISECONDS = 10_000
/**
 * How long evidence is told against a request that has lost a single target, and against what has lost a single one within an answer,
 * milliseconds: about two rounds of the messages.
 */
const WEAK_EVIDENCE_TOLD_MILLISECONDS = 400
/** How long evidence against a doubtful subject is held, milliseconds: after the end of a quarantine, one more loss starts the next. */
const QUARANTINE_EVIDENCE_EXPIRY_MILLISECONDS = 24 * 3_600_000

/** Kinds of the subjects that a loss counts against: the parts of a request, and the request as a whole. */
interface LossKinds {
  ofPart: SubjectKind
  ofRequest: SubjectKind
}

const KINDS_BEFORE_EVENTS: LossKinds = { ofPart: SubjectKind.PromptPart, ofRequest: SubjectKind.Request }
const KINDS_WITHIN_ANSWERS: LossKinds = { ofPart: SubjectKind.AnsweredPromptPart, ofRequest: SubjectKind.AnsweredRequest }
/** Losses of a request within its answers from which on it is kept apart from other requests: one is frequent where answers last long. */
const ANSWERED_LOSSES_TO_SUSPICION = 2

interface Entry extends ToldEvidence {
  judgement: Judgement
  changedAt: number
}

/** The proofs of one kind that this process has seen itself. */
interface Proofs {
  /** Monotonic time of the last one by service and part, least recent first. */
  byPart: Map<string, number>
  /** The last one by service. */
  last: Map<string, { at: number, content: RequestContent }>
}

/** Creates the state of a process that has no evidence. */
export function createContentQuarantine (log: RelayLog): ContentQuarantine {
  /** By kind, and by service and subject; least recently changed first. */
  const entriesByKind: Record<SubjectKind, Map<string, Entry>> = {
    [SubjectKind.PromptPart]: new Map(),
    [SubjectKind.Request]: new Map(),
    [SubjectKind.AnsweredPromptPart]: new Map(),
    [SubjectKind.AnsweredRequest]: new Map()
  }
  const proofs: Record<Proof, Proofs> = {
    [Proof.Begin]: { byPart: new Map(), last: new Map() }, [Proof.Completion]: { byPart: new Map(), last: new Map() }
  }
  const listeners: Array<(kind: SubjectKind) => void> = []

  function keyOf (service: string, subject: string): string {
    return `${service} ${subject}`
  }

  function allEntries (): Entry[] {
    return Object.values(entriesByKind).flatMap(entries => [...entries.values()])
  }

  function add (kind: SubjectKind, service: string, subject: string, added: ContentEvidence, source: string): void {
    const entries = entriesByKind[kind]
    const key = keyOf(service, subject)
    const before = entries.get(key)
    const merged = mergeEvidence(before?.evidence ?? NO_EVIDENCE, added)
    const { isPart, proof } = SUBJECT_TRAITS[kind]
    const ownProofAt = isPart ? proofs[proof].byPart.get(key) ?? -Infinity : -Infinity
    const evidence = mergeEvidence(merged, {
      losses: new Map(),
      hasSucceeded: ownProofAt > -Infinity,
      succeededAt: ownProofAt,
      hasControl: isControlled(kind, service, subject, merged)
    })
    if (evidence === before?.evidence || (before === undefined && evidence.losses.size === 0)) return
    const isRefuted = openLosses(evidence).length === 0 && before !== undefined && openLosses(before.evidence).length > 0
    const isRelevant = evidence.losses !== before?.evidence.losses || isRefuted
    const now = performance.now()
    const judgement = judgeEntry(kind, service, subject, evidence)
    const entry: Entry = { kind, service, subject, evidence, judgement, changedAt: isRelevant ? now : before!.changedAt }
    entries.delete(key)
    entries.set(key, entry)
    logChange(before, entry, source)
    if (kind === SubjectKind.Request) judgeOthersAgain(entry, before)
    if (entries.size > MAXIMUM_ENTRIES) dropWeakest(entries)
  }

  function judgeEntry (kind: SubjectKind, service: string, subject: string, evidence: ContentEvidence): Judgement {
    const now = performance.now()
    if (SUBJECT_TRAITS[kind].proof === Proof.Completion) return judgeAnswered(evidence, now)
    if (kind === SubjectKind.PromptPart) return judge(evidence, now)
    // Most requests have lost one target: no other evidence changes their verdict.
    const others = evidence.losses.size < 2 ? [] : requestsAtSameTargets(service, subject, evidence).map(other => other.evidence)
    return judgeRequest(evidence, others, now)
  }

  /** @returns evidence against other requests of the service that were at one of the targets that ended. */
  function requestsAtSameTargets (service: string, subject: string, { losses }: ContentEvidence): Entry[] {
    return [...entriesByKind[SubjectKind.Request].values()].filter(other =>
      other.service === service && other.subject !== subject && [...other.evidence.losses.keys()].some(key => losses.has(key)))
  }

  function judgeOthersAgain (changed: Entry, before: Entry | undefined): void {
    if (changed.evidence.losses.size < 2 && before === undefined) return
    for (const other of requestsAtSameTargets(changed.service, changed.subject, changed.evidence)) {
      const judged = { ...other, judgement: judgeEntry(other.kind, other.service, other.subject, other.evidence) }
      entriesByKind[other.kind].set(keyOf(other.service, other.subject), judged)
      logChange(other, judged, 'other request')
    }
  }

  /** Drops the entry that changed first, of those that no verdict rests on if there are any. */
  function dropWeakest (entries: Map<string, Entry>): void {
    const weakest = [...entries].find(([, { judgement }]) => judgement.verdict === Verdict.Clear) ?? [...entries][0]!
    entries.delete(weakest[0])
  }

  /** Whether there was a proof here for a request without the subject since the first loss. */
  function isControlled (kind: SubjectKind, service: string, subject: string, evidence: ContentEvidence): boolean {
    const last = proofs[SUBJECT_TRAITS[kind].proof].last.get(service)
    return last !== undefined && last.at > firstLossAt(evidence) && !hasSubject(kind, subject, last.content)
  }

  function logChange (before: Entry | undefined, { kind, service, subject, evidence, judgement }: Entry, source: string): void {
    if (judgement.verdict === (before?.judgement.verdict ?? Verdict.Clear)) return
    const targets = countTargets(evidence)
    const fields = { kind, service, subject, source, targets, companions: judgement.companions.join(' '), hasSucceeded: evidence.hasSucceeded }
    if (judgement.verdict === Verdict.Quarantined) log.warn(RelayEvent.ContentQuarantined, fields)
    else log.info(RelayEvent.ContentJudged, { ...fields, verdict: judgement.verdict })
  }

  /** @returns the entries whose verdict concerns the request. */
  function applicable (content: RequestContent, verdict: Verdict): Entry[] {
    return [KINDS_BEFORE_EVENTS, KINDS_WITHIN_ANSWERS].flatMap(({ ofPart, ofRequest }) => {
      const request = findRequestEntry(ofRequest, content)
      const parts = findPartEntries(ofPart, content)
        .filter(entry => suspectsOf(entry).every(companion => content.parts.includes(companion)))
      return [...(request === undefined ? [] : [request]), ...parts].filter(({ judgement }) => judgement.verdict === verdict)
    })
  }

  function mayRepeat (content: RequestContent): boolean {
    return applicable(content, Verdict.Doubtful).length === 0 && applicable(content, Verdict.Quarantined).length === 0
  }

  function findPartEntries (kind: SubjectKind, { service, parts }: RequestContent): Entry[] {
    const entries = entriesByKind[kind]
    return entries.size === 0 ? [] : parts.flatMap(part => entries.get(keyOf(service, part)) ?? [])
  }

  function findRequestEntry (kind: SubjectKind, { service, digest }: RequestContent): Entry | undefined {
    const entries = entriesByKind[kind]
    return entries.size === 0 ? undefined : entries.get(keyOf(service, digest()))
  }

  /** @returns the companions of a part without those for which there was a proof since its first loss. */
  function suspectsOf ({ kind, service, subject, evidence, judgement }: Entry): string[] {
    const suspectedSince = firstLossAt(evidence)
    return judgement.companions.filter(companion => companion === subject || lastProofAt(kind, keyOf(service, companion)) < suspectedSince)
  }

  /** @returns when there last was a proof for a part, here or at a peer, monotonic milliseconds. */
  function lastProofAt (kind: SubjectKind, key: string): number {
    const own = proofs[SUBJECT_TRAITS[kind].proof].byPart.get(key) ?? -Infinity
    return Math.max(own, entriesByKind[kind].get(key)?.evidence.succeededAt ?? -Infinity)
  }

  /** @returns how many losses that nothing refutes count against the request as a whole. */
  function countRequestLosses (kind: SubjectKind, content: RequestContent): number {
    const entry = findRequestEntry(kind, content)
    return entry === undefined ? 0 : openLosses(entry.evidence).length
  }

  function expire (): void {
    const now = performance.now()
    for (const entry of allEntries()) {
      const entries = entriesByKind[entry.kind]
      const key = keyOf(entry.service, entry.subject)
      if (entry.judgement.verdict === Verdict.Quarantined && entry.judgement.until <= now) {
        const ended = { ...entry, judgement: judgeEntry(entry.kind, entry.service, entry.subject, entry.evidence) }
        entries.set(key, ended)
        logChange(entry, ended, 'expiry')
      }
      if (now - entry.changedAt > holdingTime(entry)) entries.delete(key)
    }
  }

  function holdingTime ({ evidence, judgement }: Entry): number {
    if (openLosses(evidence).length === 0) return CLEARED_EXPIRY_MILLISECONDS
    return judgement.verdict === Verdict.Clear ? EVIDENCE_EXPIRY_MILLISECONDS : QUARANTINE_EVIDENCE_EXPIRY_MILLISECONDS
  }

  function rememberProof ({ byPart }: Proofs, key: string, at: number): void {
    byPart.delete(key)
    byPart.set(key, at)
    if (byPart.size > MAXIMUM_PROVEN) byPart.delete(byPart.keys().next().value!)
  }

  function recordProof (proof: Proof, content: RequestContent): void {
    const { service, parts } = content
    const now = performance.now()
    for (const part of parts) rememberProof(proofs[proof], keyOf(service, part), now)
    proofs[proof].last.set(service, { at: now, content })
    const concerned = allEntries().filter(entry => entry.service === service && SUBJECT_TRAITS[entry.kind].proof === proof)
    for (const { kind, subject, evidence } of concerned) {
      const isContained = hasSubject(kind, subject, content)
      const added = isContained ? { ...NO_EVIDENCE, hasSucceeded: true, succeededAt: now } : NO_EVIDENCE
      if (isContained || !evidence.hasControl) add(kind, service, subject, added, proof)
    }
  }

  function prove (kind: SubjectKind, service: string, subject: string, source: string): void {
    const { isPart, proof } = SUBJECT_TRAITS[kind]
    const now = performance.now()
    if (isPart) rememberProof(proofs[proof], keyOf(service, subject), now)
    add(kind, service, subject, { ...NO_EVIDENCE, hasSucceeded: true, succeededAt: now }, source)
  }

  function told ({ kind, service, subject, evidence }: Entry): ToldEvidence {
    return { kind, service, subject, evidence }
  }

  /** Weak evidence is frequent, so it is passed on for a short time only. */
  function isTold (entry: Entry, changedWithin: number): boolean {
    const isSingle = entry.kind === SubjectKind.Request || (entry.kind !== SubjectKind.PromptPart && openLosses(entry.evidence).length < 2)
    const isWeak = isSingle && entry.judgement.verdict === Verdict.Clear
    return performance.now() - entry.changedAt < (isWeak ? Math.min(changedWithin, WEAK_EVIDENCE_TOLD_MILLISECONDS) : changedWithin)
  }

  function quarantinedEntries (): Entry[] {
    expire()
    return allEntries().filter(({ judgement }) => judgement.verdict === Verdict.Quarantined)
  }

  return {
    find (content) {
      const now = performance.now()
      const entry = applicable(content, Verdict.Quarantined).find(({ judgement }) => judgement.until > now)
      if (entry === undefined) return undefined
      const { kind, subject, evidence, judgement } = entry
      return { kind, subject, losses: countTargets(evidence), remainingMilliseconds: judgement.until - now }
    },
    mayRepeat,
    isSuspected: content => countRequestLosses(SubjectKind.Request, content) > 0 ||
      countRequestLosses(SubjectKind.AnsweredRequest, content) >= ANSWERED_LOSSES_TO_SUSPICION,
    recordBegin: content => recordProof(Proof.Begin, content),
    recordCompletion: content => recordProof(Proof.Completion, content),
    recordSurvival (service, parts) {
      for (const part of parts) prove(SubjectKind.AnsweredPromptPart, service, part, 'survival')
    },
    recordLoss (content, { incarnation, sentAt, endedAt = performance.now(), hasHead, hasEvents = false }) {
      const { service, parts, digest } = content
      const { ofPart, ofRequest } = hasEvents ? KINDS_WITHIN_ANSWERS : KINDS_BEFORE_EVENTS
      const { byPart } = proofs[SUBJECT_TRAITS[ofPart].proof]
      const suspects = [...parts].sort((a, b) => Number(byPart.has(keyOf(service, a))) - Number(byPart.has(keyOf(service, b))))
        .slice(0, MAXIMUM_SUSPECTS)
      const loss: TargetLoss = { incarnation, sentAt, endedAt, hasHead, companions: suspects }
      for (const part of suspects) add(ofPart, service, part, evidenceOf(loss), 'loss')
      add(ofRequest, service, digest(), evidenceOf({ ...loss, hasHead: false, companions: [] }), 'loss')
      // All answers of a target break at the same moment. Unless the loss decides something, the next periodic messages tell of it.
      if (hasEvents && mayRepeat(content)) return
      for (const listener of listeners) listener(ofPart)
    },
    learn ({ kind, service, subject, evidence }) {
      add(kind, service, subject, evidence, 'peer')
    },
    tell (changedWithin = Infinity) {
      expire()
      const entries = allEntries().filter(entry => isTold(entry, changedWithin))
      return entries.sort((a, b) => strengthOf(b) - strengthOf(a) || b.changedAt - a.changedAt).map(told)
    },
    quarantined: () => quarantinedEntries().map(told),
    list: () => quarantinedEntries().map(entry => ({
      kind: entry.kind,
      service: entry.service,
      subject: entry.subject,
      companions: suspectsOf(entry).filter(companion => companion !== entry.subject),
      targets: countTargets(entry.evidence),
      remainingMilliseconds: Math.round(entry.judgement.until - performance.now())
    })),
    lift (kind, service, subject) {
      if (!entriesByKind[kind].has(keyOf(service, subject))) return false
      prove(kind, service, subject, 'operator')
      return true
    },
    onLoss: listener => { listeners.push(listener) }
  }
}

function evidenceOf (loss: TargetLoss): ContentEvidence {
  return { ...NO_EVIDENCE, losses: new Map([[lossKey(loss), loss]]) }
}

function hasSubject (kind: SubjectKind, subject: string, { parts, digest }: RequestContent): boolean {
  return SUBJECT_TRAITS[kind].isPart ? parts.includes(subject) : digest() === subject
}

/** Number of targets whose end speaks against the subject: those that had begun to answer, or each that ended after the first one. */
function strengthOf ({ kind, evidence }: Entry): number {
  const losses = openLosses(evidence)
  return kind === SubjectKind.PromptPart ? losses.filter(({ hasHead }) => hasHead).length : losses.length - 1
}
