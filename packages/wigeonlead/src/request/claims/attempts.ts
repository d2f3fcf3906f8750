/**
 * This node's own attempts to run orders. A peer that finds a claim of this node asks it for the outcome of the attempt.
 */
import {
  ClaimInquiryKind, ServiceResult,
  type ClaimInquiryParameters, type ClaimInquiryResult, type RandomSource, type ServiceOutcome
} from '@wigeonlead/protocol'
import { shortDigest } from './encoding.js'
import { toRecordedAnswer } from './recorded-answer.js'

/** One attempt to run an order. */
export interface Attempt {
  name: string
  /** Whether the order may have been sent to a target. */
  isPossiblySent: boolean
  /** Set once the order must not be sent any more, because its deadline has passed. */
  isCanceled: boolean
}

/** The attempts of one process. */
export interface Attempts {
  begin: () => Attempt
  /** Ends an attempt that was not sent and never will be. */
  abandon: (attempt: Attempt) => void
  /** Ends an attempt that was sent. Its outcome is kept in memory until `forget` is called. */
  end: (attempt: Attempt, outcome: ServiceOutcome) => void
  /** Forgets a sent attempt, once its outcome is stored in the key-value service or its claim has expired. */
  forget: (attempt: Attempt) => void
  /** Answers the inquiry of a peer. Waits for the outcome of an attempt that has not ended. */
  handleInquiry: (parameters: ClaimInquiryParameters) => Promise<ClaimInquiryResult>
}

interface AttemptRecord {
  attempt: Attempt
  outcome?: ServiceOutcome
  waiters: Set<() => void>
}

const MAXIMUM_WAIT_MILLISECONDS = 10_000

/**
 * Creates the attempts of a new process. An attempt of this process that is not in memory either was not sent and never will be, or
 * its outcome is stored, so that a node that tries to take over its claim finds the outcome there.
 */
export function createAttempts (random: RandomSource, address: string): Attempts {
  const processPrefix = shortDigest(`${address}|${random.nextNonce()}`).slice(0, 12)
  const records = new Map<string, AttemptRecord>()
  let startedCount = 0

  function resolveWaiters (record: AttemptRecord): void {
    for (const resolve of record.waiters) resolve()
    record.waiters.clear()
  }

  return {
    begin () {
      const attempt = { name: `${processPrefix}.${(startedCount++).toString(36)}`, isPossiblySent: false, isCanceled: false }
      records.set(attempt.name, { attempt, waiters: new Set() })
      return attempt
    },
    abandon (attempt) {
      const record = records.get(attempt.name)
      records.delete(attempt.name)
      if (record !== undefined) resolveWaiters(record)
    },
    end (attempt, outcome) {
      const record = records.get(attempt.name)
      if (record === undefined) return
      record.outcome = outcome
      resolveWaiters(record)
    },
    forget: attempt => { records.delete(attempt.name) },
    async handleInquiry ({ attempt, waitMilliseconds }) {
      if (!attempt.startsWith(`${processPrefix}.`)) return { kind: ClaimInquiryKind.Unknown }
      const record = records.get(attempt)
      if (record === undefined) return { kind: ClaimInquiryKind.Abandoned }
      if (record.outcome === undefined) await waitForEnd(record, Math.min(waitMilliseconds, MAXIMUM_WAIT_MILLISECONDS))
      if (record.outcome !== undefined) return toInquiryResult(record.outcome)
      return { kind: records.has(attempt) ? ClaimInquiryKind.Running : ClaimInquiryKind.Abandoned }
    }
  }
}

function waitForEnd (record: AttemptRecord, milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      record.waiters.delete(finish)
      resolve()
    }
    const timer = setTimeout(finish, milliseconds)
    record.waiters.add(finish)
  })
}

function toInquiryResult (outcome: ServiceOutcome): ClaimInquiryResult {
  if (outcome.kind !== ServiceResult.Answered) return { kind: ClaimInquiryKind.Uncertain }
  return { kind: ClaimInquiryKind.Answered, status: outcome.answer.status, answer: toRecordedAnswer(outcome.answer) }
}
