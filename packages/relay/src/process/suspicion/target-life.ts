/**
 * Decides whether a target survived the end of one of its connections. An answer without a length ends with its connection, and so does
 * one whose target crashes: only what the same incarnation has sent after that end proves that the answer is whole.
 */
import { pauseInBackground, type Metrics } from 'wigeonlead'
import { ProbeResult, type EngineClient } from '../../connection/engine-client.js'
import { incarnationOf, type Target } from '../../version/target.js'
import type { Directory } from '../directory.js'
import { RelayEvent, type RelayLog } from '../relay-log.js'
import type { TargetReach } from './target-reach.js'

/** Whether a target has survived the end of one of its connections. */
export enum TargetState {
  Lives = 'lives',
  HasEnded = 'has-ended',
  /** Nothing was learnt in time: the answer may be whole or not. */
  Unknown = 'unknown'
}

/** How long to wait for proof. */
export interface VerificationOptions {
  /** Longest wait, milliseconds; never longer than `MAXIMUM_WAIT_MILLISECONDS`. */
  waitMilliseconds: number
  /** Ends the wait, with nothing known. */
  signal: AbortSignal
}

/** Collects what proves that targets run, or that they have ended. */
export interface TargetLife {
  /** @returns whether a target has survived the present moment, at which one of its connections has ended. */
  verify: (target: Target, options: VerificationOptions) => Promise<TargetState>
  /**
   * Takes note that the copy of the store contains all entries that were acknowledged at a moment.
   * @param confirmedAt monotonic time, milliseconds.
   */
  recordConfirmation: (confirmedAt: number) => void
  /** Takes note of an entry of a target that the copy has lacked so far. It was written after the last confirmation. */
  recordEntry: (target: Target) => void
}

/** Dependencies of the evidence. */
export interface TargetLifeDependencies {
  directory: Pick<Directory, 'find' | 'pauseRemaining'>
  engines: Pick<EngineClient, 'probe'>
  reach: Pick<TargetReach, 'isCutOff'>
  log: RelayLog
  metrics: Pick<Metrics, 'count'>
}

/**
 * Longest wait for proof, milliseconds: a target that runs renews its entry within a third of the time after which the platform removes it,
 * and the copy of the store shows the entry a poll or two later.
 */
const MAXIMUM_WAIT_MILLISECONDS = 5000
/** Timeout of one report, milliseconds: a target may be silent for a second and go on. */
const REPORT_TIMEOUT_MILLISECONDS = 1000
/** Pause between two reports of a target where the first one proved nothing, milliseconds. */
const REPORT_INTERVAL_MILLISECONDS = 250

/** What decided a verification. */
enum Evidence {
  /** What the target, or nobody, answered to a request for its report. */
  Report = 'report',
  Entry = 'entry',
  LaterIncarnation = 'later-incarnation',
  None = 'none'
}

const STATES: Record<ProbeResult, TargetState> = {
  [ProbeResult.Reachable]: TargetState.Lives,
  [ProbeResult.Replaced]: TargetState.HasEnded,
  [ProbeResult.Refused]: TargetState.Unknown,
  [ProbeResult.Unreachable]: TargetState.Unknown,
  [ProbeResult.Silent]: TargetState.Unknown,
  [ProbeResult.CutOff]: TargetState.Unknown,
  [ProbeResult.Withheld]: TargetState.Unknown
}

/** One connection whose end is to be explained. */
interface Question {
  endedAt: number
  settle: (state: TargetState, evidence: Evidence) => void
}

/** All open questions about one incarnation. Its reports are requested one at a time, for all of them together. */
interface Inquiry {
  target: Target
  questions: Set<Question>
  isAsking: boolean
}

/** Creates the evidence. It keeps nothing of a target without an open question. */
export function createTargetLife ({ directory, engines, reach, log, metrics }: TargetLifeDependencies): TargetLife {
  const inquiries = new Map<string, Inquiry>()
  let copyConfirmedAt = -Infinity

  function settleAll (inquiry: Inquiry, before: number, state: TargetState, evidence: Evidence): void {
    for (const question of [...inquiry.questions]) if (question.endedAt <= before) question.settle(state, evidence)
  }

  async function askForReports (inquiry: Inquiry): Promise<void> {
    if (inquiry.isAsking) return
    inquiry.isAsking = true
    while (inquiry.questions.size > 0) {
      const sentAt = performance.now()
      const state = stateAfter(await engines.probe(inquiry.target, REPORT_TIMEOUT_MILLISECONDS), inquiry.target)
      if (state !== TargetState.Unknown) settleAll(inquiry, sentAt, state, Evidence.Report)
      else if (inquiry.questions.size > 0) await pauseInBackground(REPORT_INTERVAL_MILLISECONDS)
    }
    inquiries.delete(incarnationOf(inquiry.target))
  }

  function stateAfter (result: ProbeResult, target: Target): TargetState {
    return result === ProbeResult.Refused && mayTrustRefusal(target) ? TargetState.HasEnded : STATES[result]
  }

  /** Whether a refused connection proves that the target has ended: one that leaves, or behind a cut, may still complete its answers. */
  function mayTrustRefusal (target: Target): boolean {
    return directory.find(target.id)?.isLeaving === false && !reach.isCutOff(target.service)
  }

  function findInquiry (target: Target): Inquiry {
    const incarnation = incarnationOf(target)
    const known = inquiries.get(incarnation)
    if (known !== undefined) return known
    const opened: Inquiry = { target, questions: new Set(), isAsking: false }
    inquiries.set(incarnation, opened)
    return opened
  }

  function verify (target: Target, { waitMilliseconds, signal }: VerificationOptions): Promise<TargetState> {
    const listed = directory.find(target.id)
    if (listed !== undefined && isLater(listed, target)) return Promise.resolve(TargetState.HasEnded)
    if (signal.aborted) return Promise.resolve(TargetState.Unknown)
    const inquiry = findInquiry(target)
    const endedAt = performance.now()
    return new Promise(resolve => {
      const question: Question = { endedAt, settle }
      // An answer that has arrived already is read before the wait counts as over.
      const timer = setTimeout(() => setImmediate(giveUp), Math.max(0, Math.min(waitMilliseconds, MAXIMUM_WAIT_MILLISECONDS)))

      function giveUp (): void {
        settle(TargetState.Unknown, Evidence.None)
      }

      function settle (state: TargetState, evidence: Evidence): void {
        if (!inquiry.questions.delete(question)) return
        clearTimeout(timer)
        signal.removeEventListener('abort', giveUp)
        metrics.count('answer_ends_total', { service: target.service, state })
        log.info(RelayEvent.AnswerEndJudged, {
          target: target.id,
          service: target.service,
          state,
          evidence,
          waitedMilliseconds: Math.round(performance.now() - endedAt),
          pauseMilliseconds: Math.round(directory.pauseRemaining(incarnationOf(target)))
        })
        resolve(state)
      }

      inquiry.questions.add(question)
      signal.addEventListener('abort', giveUp, { once: true })
      void askForReports(inquiry)
    })
  }

  return {
    verify,
    recordConfirmation (confirmedAt) {
      copyConfirmedAt = Math.max(copyConfirmedAt, confirmedAt)
    },
    recordEntry (entry) {
      for (const inquiry of [...inquiries.values()]) {
        if (inquiry.target.id !== entry.id) continue
        if (isLater(entry, inquiry.target)) settleAll(inquiry, Infinity, TargetState.HasEnded, Evidence.LaterIncarnation)
        if (incarnationOf(entry) !== incarnationOf(inquiry.target)) continue
        settleAll(inquiry, copyConfirmedAt, TargetState.Lives, Evidence.Entry)
      }
    }
  }
}

/** Whether a target is a later incarnation of another with the same id. */
function isLater (target: Target, other: Target): boolean {
  return target.bornAtMilliseconds > other.bornAtMilliseconds
}
