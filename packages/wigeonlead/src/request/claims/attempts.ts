/**
 * What this node knows of its own attempts. A peer that meets a claim of this node asks here what became of it.
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
  /** Whether the order may have been handed to a target. */
  isPossiblySent: boolean
  /** Set once nobody wants the order to be sent any more. */
  isGivenUp: boolean
}

/** The attempts of one process. */
export interface Attempts {
  begin: () => Attempt
  /** Ends an attempt that was not sent; from now on it is abandoned for good. */
  abandon: (attempt: Attempt) => void
  /** Ends an attempt that was sent; its outcome is kept until it is forgotten. */
  end: (attempt: Attempt, outcome: ServiceOutcome) => void
  /** Forgets a sent attempt: its outcome stands in the key-value service, or its claim has expired. */
  forget: (attempt: Attempt) => void
  /** Answers a peer, at once where the attempt has ended. */
  answer: (parameters: ClaimInquiryParameters) => Promise<ClaimInquiryResult>
}

interface Record {
  attempt: Attempt
  outcome?: ServiceOutcome
  waiting: Set<() => void>
}

const MAXIMUM_WAIT_MILLISECONDS = 10_000

/**
 * Makes the attempts of a new process. An attempt of this process that is not remembered was never sent and never will be, or its
 * outcome is stored, which whoever takes the claim over then meets.
 */
export function createAttempts (random: RandomSource, address: string): Attempts {
  const processName = shortDigest(`${address}|${random.nextNonce()}`).slice(0, 12)
  const records = new Map<string, Record>()
  let begun = 0

  function wake (record: Record): void {
    for (const resolve of record.waiting) resolve()
    record.waiting.clear()
  }

  return {
    begin () {
      const attempt = { name: `${processName}.${(begun++).toString(36)}`, isPossiblySent: false, isGivenUp: false }
      records.set(attempt.name, { attempt, waiting: new Set() })
      return attempt
    },
    abandon (attempt) {
      const record = records.get(attempt.name)
      records.delete(attempt.name)
      if (record !== undefined) wake(record)
    },
    end (attempt, outcome) {
      const record = records.get(attempt.name)
      if (record === undefined) return
      record.outcome = outcome
      wake(record)
    },
    forget: attempt => { records.delete(attempt.name) },
    async answer ({ attempt, waitMilliseconds }) {
      if (!attempt.startsWith(`${processName}.`)) return { kind: ClaimInquiryKind.Unknown }
      const record = records.get(attempt)
      if (record === undefined) return { kind: ClaimInquiryKind.Abandoned }
      if (record.outcome === undefined) await waitForEnd(record, Math.min(waitMilliseconds, MAXIMUM_WAIT_MILLISECONDS))
      if (record.outcome !== undefined) return describe(record.outcome)
      return { kind: records.has(attempt) ? ClaimInquiryKind.Running : ClaimInquiryKind.Abandoned }
    }
  }
}

function waitForEnd (record: Record, milliseconds: number): Promise<void> {
  return new Promise(resolve => {
    const finish = (): void => {
      clearTimeout(timer)
      record.waiting.delete(finish)
      resolve()
    }
    const timer = setTimeout(finish, milliseconds)
    record.waiting.add(finish)
  })
}

function describe (outcome: ServiceOutcome): ClaimInquiryResult {
  if (outcome.kind !== ServiceResult.Answered) return { kind: ClaimInquiryKind.Uncertain }
  return { kind: ClaimInquiryKind.Answered, status: outcome.answer.status, answer: toRecordedAnswer(outcome.answer) }
}
