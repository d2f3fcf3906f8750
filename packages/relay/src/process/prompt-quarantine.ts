/**
 * Keeps requests away from targets if they contain a part of a prompt that has crashed several targets in a row.
 */
import { NO_EVIDENCE, Verdict, judge, lossKey, mergeEvidence, openLosses, type Judgement, type PartEvidence, type PartLoss } from './prompt-evidence.js'
import { RelayEvent, type RelayLog } from './relay-log.js'

/** The shared parts of one request's prompt, and the service that the request is for. */
export interface Prompt {
  service: string
  /** Empty where the request names none. */
  parts: readonly string[]
}

/** A target that ended before it had delivered anything of an answer. */
export interface LostTarget {
  incarnation: string
  /** When the request was sent there, monotonic milliseconds. */
  sentAt: number
  /** Whether status line and headers of the answer had arrived. */
  hasHead: boolean
}

/** A quarantine that applies to a request. */
export interface Quarantine {
  part: string
  /** Targets that have ended. */
  losses: number
  /** Time until the quarantine ends if no more targets end, milliseconds. */
  remainingMilliseconds: number
}

/** A quarantined part, for operators. */
export interface QuarantinedPart {
  service: string
  part: string
  /** Parts that a request must contain too for the quarantine to apply. */
  companions: readonly string[]
  targets: number
  remainingMilliseconds: number
}

/** Evidence against one part, as it is told to peers. */
export interface ToldEvidence {
  service: string
  part: string
  evidence: PartEvidence
}

/** The evidence that this VM has, and what follows from it. */
export interface PromptQuarantine {
  /** @returns the quarantine that forbids to send the request; undefined if it may be sent. */
  find: (prompt: Prompt) => Quarantine | undefined
  /** Whether a request that has lost its target may be sent to another one. */
  mayRepeat: (prompt: Prompt) => boolean
  /** Records that an answer has begun: none of the request's parts crashes its targets. */
  recordBegin: (prompt: Prompt) => void
  recordLoss: (prompt: Prompt, lost: LostTarget) => void
  /** Merges evidence from a peer or from the store. */
  learn: (told: ToldEvidence) => void
  /** @returns evidence to tell, the strongest first: all that is held, or what changed within the given time in milliseconds. */
  tell: (changedWithin?: number) => ToldEvidence[]
  /** @returns the evidence of the parts that are quarantined, for the store. */
  quarantined: () => ToldEvidence[]
  /** @returns the parts that are quarantined, for operators. */
  list: () => QuarantinedPart[]
  /**
   * Refutes the evidence against a part, on an operator's word that it is sound.
   * @returns whether there was any.
   */
  lift: (service: string, part: string) => boolean
  /** Registers a listener that is called when this VM itself has noticed a loss. */
  onLoss: (listener: () => void) => void
}

/** Maximum number of parts with evidence. */
const MAXIMUM_ENTRIES = 512
/** Maximum number of parts that are known to have begun. */
const MAXIMUM_BEGUN = 8192
/** Maximum number of parts of one request that a loss counts against; parts that have never begun come first. */
const MAXIMUM_SUSPECTS = 24
/** How long evidence is held after its last change if no quarantine follows from it, milliseconds. */
const EVIDENCE_EXPIRY_MILLISECONDS = 600_000
/** How long evidence that a begin has refuted is held, milliseconds: until peers know that an answer has begun. */
const CLEARED_EXPIRY_MILLISECONDS = 10_000
/** How long evidence against a doubtful part is held, milliseconds: after the end of a quarantine, one more loss starts the next. */
const QUARANTINE_EVIDENCE_EXPIRY_MILLISECONDS = 24 * 3_600_000

interface Entry {
  service: string
  part: string
  evidence: PartEvidence
  judgement: Judgement
  changedAt: number
}

/** Creates the state of a process that has no evidence. */
export function createPromptQuarantine (log: RelayLog): PromptQuarantine {
  const entries = new Map<string, Entry>()
  /** Monotonic time of the last begin by part and service, least recent first. */
  const begunAt = new Map<string, number>()
  /** The last begin by service. */
  const lastBegins = new Map<string, { at: number, parts: readonly string[] }>()
  const listeners: Array<() => void> = []

  function keyOf (service: string, part: string): string {
    return `${service} ${part}`
  }

  function add (service: string, part: string, added: PartEvidence, source: string): void {
    const key = keyOf(service, part)
    const before = entries.get(key)
    const merged = mergeEvidence(before?.evidence ?? NO_EVIDENCE, added)
    const ownBeganAt = begunAt.get(key) ?? -Infinity
    const evidence = mergeEvidence(merged, {
      losses: new Map(), hasBegun: ownBeganAt > -Infinity, beganAt: ownBeganAt, hasControl: isControlled(service, part, merged)
    })
    if (evidence === before?.evidence || (before === undefined && evidence.losses.size === 0)) return
    const isRefuted = openLosses(evidence).length === 0 && before !== undefined && openLosses(before.evidence).length > 0
    const isRelevant = evidence.losses !== before?.evidence.losses || isRefuted
    const now = performance.now()
    const entry: Entry = {
      service, part, evidence, judgement: judge(evidence, now), changedAt: isRelevant ? now : before!.changedAt
    }
    entries.delete(key)
    entries.set(key, entry)
    logChange(before, entry, source)
    if (entries.size > MAXIMUM_ENTRIES) dropWeakest()
  }

  /** Drops the entry that changed first, of those that no verdict rests on if there are any. */
  function dropWeakest (): void {
    const weakest = [...entries].find(([, { judgement }]) => judgement.verdict === Verdict.Clear) ?? [...entries][0]!
    entries.delete(weakest[0])
  }

  /** Whether a request without the part has begun here since the first loss. */
  function isControlled (service: string, part: string, evidence: PartEvidence): boolean {
    const last = lastBegins.get(service)
    return last !== undefined && !last.parts.includes(part) && last.at > firstLossAt(evidence)
  }

  function logChange (before: Entry | undefined, { service, part, evidence, judgement }: Entry, source: string): void {
    if (judgement.verdict === (before?.judgement.verdict ?? Verdict.Clear)) return
    const targets = countTargets(evidence)
    const fields = { service, part, source, targets, companions: judgement.companions.join(' '), hasBegun: evidence.hasBegun }
    if (judgement.verdict === Verdict.Quarantined) log.warn(RelayEvent.PromptPartQuarantined, fields)
    else log.info(RelayEvent.PromptPartJudged, { ...fields, verdict: judgement.verdict })
  }

  /** @returns the entries whose verdict concerns the request. */
  function applicable ({ service, parts }: Prompt, verdict: Verdict): Entry[] {
    if (entries.size === 0) return []
    return parts.flatMap(part => {
      const entry = entries.get(keyOf(service, part))
      if (entry?.judgement.verdict !== verdict) return []
      return suspectsOf(entry).every(companion => parts.includes(companion)) ? entry : []
    })
  }

  /** @returns the companions of a part without those that have begun an answer since its first loss. */
  function suspectsOf ({ service, part, evidence, judgement }: Entry): string[] {
    const suspectedSince = firstLossAt(evidence)
    return judgement.companions.filter(companion => companion === part || lastBeganAt(keyOf(service, companion)) < suspectedSince)
  }

  /** @returns when an answer to a request with a part last began here or at a peer, monotonic milliseconds. */
  function lastBeganAt (key: string): number {
    return Math.max(begunAt.get(key) ?? -Infinity, entries.get(key)?.evidence.beganAt ?? -Infinity)
  }

  function expire (): void {
    const now = performance.now()
    for (const [key, entry] of entries) {
      if (entry.judgement.verdict === Verdict.Quarantined && entry.judgement.until <= now) {
        const ended = { ...entry, judgement: judge(entry.evidence, now) }
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

  function rememberBegin (key: string, at: number): void {
    begunAt.delete(key)
    begunAt.set(key, at)
    if (begunAt.size > MAXIMUM_BEGUN) begunAt.delete(begunAt.keys().next().value!)
  }

  function told ({ service, part, evidence }: Entry): ToldEvidence {
    return { service, part, evidence }
  }

  return {
    find (prompt) {
      const now = performance.now()
      const entry = applicable(prompt, Verdict.Quarantined).find(({ judgement }) => judgement.until > now)
      if (entry === undefined) return undefined
      return { part: entry.part, losses: countTargets(entry.evidence), remainingMilliseconds: entry.judgement.until - now }
    },
    mayRepeat: prompt => applicable(prompt, Verdict.Doubtful).length === 0 && applicable(prompt, Verdict.Quarantined).length === 0,
    recordBegin ({ service, parts }) {
      const now = performance.now()
      for (const part of parts) rememberBegin(keyOf(service, part), now)
      lastBegins.set(service, { at: now, parts })
      for (const entry of [...entries.values()]) {
        if (entry.service === service && (parts.includes(entry.part) || !entry.evidence.hasControl)) add(service, entry.part, NO_EVIDENCE, 'begin')
      }
    },
    recordLoss ({ service, parts }, { incarnation, sentAt, hasHead }) {
      if (parts.length === 0) return
      const suspects = [...parts].sort((a, b) => Number(begunAt.has(keyOf(service, a))) - Number(begunAt.has(keyOf(service, b))))
        .slice(0, MAXIMUM_SUSPECTS)
      const loss: PartLoss = { incarnation, sentAt, endedAt: performance.now(), hasHead, companions: suspects }
      for (const part of suspects) add(service, part, { ...NO_EVIDENCE, losses: new Map([[lossKey(loss), loss]]) }, 'loss')
      for (const listener of listeners) listener()
    },
    learn ({ service, part, evidence }) {
      add(service, part, evidence, 'peer')
    },
    tell (changedWithin = Infinity) {
      expire()
      const now = performance.now()
      const changed = [...entries.values()].filter(({ changedAt }) => now - changedAt < changedWithin)
      return changed.sort((a, b) => strengthOf(b) - strengthOf(a) || b.changedAt - a.changedAt).map(told)
    },
    quarantined () {
      expire()
      return [...entries.values()].filter(({ judgement }) => judgement.verdict === Verdict.Quarantined).map(told)
    },
    list () {
      expire()
      const now = performance.now()
      return [...entries.values()].filter(({ judgement }) => judgement.verdict === Verdict.Quarantined).map(entry => ({
        service: entry.service,
        part: entry.part,
        companions: suspectsOf(entry).filter(companion => companion !== entry.part),
        targets: countTargets(entry.evidence),
        remainingMilliseconds: Math.round(entry.judgement.until - now)
      }))
    },
    lift (service, part) {
      const key = keyOf(service, part)
      if (!entries.has(key)) return false
      rememberBegin(key, performance.now())
      add(service, part, NO_EVIDENCE, 'operator')
      return true
    },
    onLoss: listener => { listeners.push(listener) }
  }
}

/** @returns when the first target ended, of those that no later begin refutes, monotonic milliseconds; Infinity if there is none. */
function firstLossAt (evidence: PartEvidence): number {
  return Math.min(...openLosses(evidence).map(({ endedAt }) => endedAt))
}

/** Number of targets that had begun to answer when they ended. */
function strengthOf ({ evidence }: Entry): number {
  return openLosses(evidence).filter(({ hasHead }) => hasHead).length
}

function countTargets (evidence: PartEvidence): number {
  return new Set(openLosses(evidence).map(({ incarnation }) => incarnation)).size
}
