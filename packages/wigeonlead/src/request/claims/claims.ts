/**
 * Claims: a non-idempotent order is sent only by the winner of a compare-and-swap on its key, and once.
 */
import {
  FailureKind, Step, WriteResult, digestText, failed, success,
  type Failure, type KeyValuePort, type Outcome, type RandomSource, type ServiceAnswer, type ServiceOutcome
} from '@wigeonlead/protocol'
import { ServiceResult } from '@wigeonlead/protocol'

/** An order that is to run at most once. */
export interface ClaimedOrder {
  workspace: string
  service: string
  key: string
  /** Digest of the request, to tell a repeat from another request with the same key. */
  requestDigest: string
  retentionSeconds: number
}

/** The closed set of what can be said of a claimed order. */
export enum ClaimResult {
  /** The order has run, now or earlier; its answer is here. */
  Answered = 'answered',
  /** The order has certainly not run under this key. */
  NotRun = 'not-run',
  /** The order may have run. */
  Uncertain = 'uncertain',
  /** The key was used for another request. */
  KeyReused = 'key-reused',
  /** The key-value service can't be asked. */
  Unavailable = 'unavailable'
}

/** What became of a claimed order. */
export type ClaimOutcome =
  | { kind: ClaimResult.Answered, answer: ServiceAnswer, isRepeat: boolean }
  | { kind: ClaimResult.NotRun | ClaimResult.Uncertain | ClaimResult.Unavailable, failure: Failure, wasSent: boolean }
  | { kind: ClaimResult.KeyReused }

/** Runs orders at most once. */
export interface Claims {
  run: (order: ClaimedOrder, send: () => Promise<ServiceOutcome>) => Promise<ClaimOutcome>
}

/** What the claims need. */
export interface ClaimsParts {
  keyValue: KeyValuePort
  random: RandomSource
}

interface ClaimRecord {
  attempt: string
  requestDigest: string
  answer?: { status: number, headers: Record<string, string>, body: string }
}

const CLAIM_PREFIX = '/wigeonlead/claims/'

/** Makes claims in the key-value service. */
export function createClaims ({ keyValue, random }: ClaimsParts): Claims {
  async function claim (key: string, record: ClaimRecord): Promise<Outcome<{ modRevision: number, found?: ClaimRecord }>> {
    const write = await keyValue.compareAndSwap({ key, expectedModRevision: 0, value: JSON.stringify(record) })
    if (write.kind === WriteResult.Committed) return success({ modRevision: write.revision })
    if (write.kind === WriteResult.Conflict && write.current !== undefined) {
      return success({ modRevision: write.current.modRevision, found: JSON.parse(write.current.value) as ClaimRecord })
    }
    if (write.kind === WriteResult.NotSent || write.kind === WriteResult.Ambiguous) return failed(write.failure)
    return failed({ kind: FailureKind.Malformed, step: Step.Claim, peer: key, detail: 'a conflict without a value' })
  }

  return {
    async run (order, send) {
      const key = CLAIM_PREFIX + digestText(`${order.workspace}|${order.service}|${order.key}`)
      const record: ClaimRecord = { attempt: random.nextNonce(), requestDigest: order.requestDigest }
      const claimed = await claim(key, record)
      if (!claimed.ok) return { kind: ClaimResult.Unavailable, failure: claimed.failure, wasSent: false }
      const { found } = claimed.value
      if (found !== undefined) return repeated(order, key, found)
      const outcome = await send()
      if (outcome.kind === ServiceResult.Answered) {
        const value = JSON.stringify({ ...record, answer: toRecord(outcome.answer) })
        await keyValue.compareAndSwap({ key, expectedModRevision: claimed.value.modRevision, value })
        return { kind: ClaimResult.Answered, answer: outcome.answer, isRepeat: false }
      }
      if (outcome.kind === ServiceResult.Ambiguous) return { kind: ClaimResult.Uncertain, failure: outcome.failure, wasSent: true }
      const released = await keyValue.compareAndSwap({ key, expectedModRevision: claimed.value.modRevision })
      const isReleased = released.kind === WriteResult.Committed
      return { kind: isReleased ? ClaimResult.NotRun : ClaimResult.Uncertain, failure: outcome.failure, wasSent: false }
    }
  }
}

function repeated (order: ClaimedOrder, key: string, found: ClaimRecord): ClaimOutcome {
  if (found.requestDigest !== order.requestDigest) return { kind: ClaimResult.KeyReused }
  if (found.answer === undefined) {
    const failure: Failure = { kind: FailureKind.Refused, step: Step.Claim, peer: key, detail: 'an earlier submission has not ended' }
    return { kind: ClaimResult.Uncertain, failure, wasSent: false }
  }
  const answer = { ...found.answer, body: Buffer.from(found.answer.body, 'base64') }
  return { kind: ClaimResult.Answered, answer, isRepeat: true }
}

function toRecord (answer: ServiceAnswer): NonNullable<ClaimRecord['answer']> {
  return { status: answer.status, headers: answer.headers, body: Buffer.from(answer.body).toString('base64') }
}
