/**
 * Control calls to engines, separate from the requests that they serve: reports, placement orders and moves of requests.
 */
import { readAnswer } from '@wigeonlead/protocol'
import { incarnationOf, type Target } from '../version/target.js'
import { OrderResult, type Dialect, type PlaceOrder, type PathStage, type TargetReport } from './dialect.js'
import { SendResult, type TargetClient } from './target-client.js'

/** What a probe of a target found. */
export enum ProbeResult {
  /** No connection was established in time: the target may have ended, or the network between is cut. */
  Unreachable = 'unreachable',
  /** Nothing listens at the address. */
  Refused = 'refused',
  /** Nothing was sent, because the target has asked for a pause: this tells nothing of the present. */
  Withheld = 'withheld',
  /** A connection was established, but nothing answered in time. */
  Silent = 'silent',
  /** The answer was cut off. */
  CutOff = 'cut-off',
  /** Another target, or a later incarnation, has the address. */
  Replaced = 'replaced',
  Reachable = 'reachable'
}

/** Queries engines and gives them orders. No method rejects its promise. */
export interface EngineClient {
  /** @returns the target's report; undefined where no valid one arrived in time. */
  report: (target: Target, timeoutMilliseconds: number) => Promise<TargetReport | undefined>
  /**
   * Requests a report to find out whether this incarnation of a target still runs. Where a target reports no incarnation, any answer from
   * its address that does not come from another target counts.
   */
  probe: (target: Target, timeoutMilliseconds: number) => Promise<ProbeResult>
  /** Checks whether a target accepts a new connection: a slow target does, one that is dead or partitioned does not. */
  isReachable: (target: Target) => Promise<boolean>
  /** Checks by a new connection whether a target, or another one at its address, answers at all. In a pause, nothing does. */
  isAnswering: (target: Target) => Promise<boolean>
  /**
   * Checks by a new connection whether a target has certainly ended: nothing listens at its address, or another target or incarnation
   * does. A target that is cut off from this VM may go on.
   */
  hasEnded: (target: Target) => Promise<boolean>
  /** Orders a target to load a range of layers. */
  place: (target: Target, order: PlaceOrder) => Promise<OrderResult>
  /** Moves a running request to other stages behind the same first stage. */
  moveRequest: (first: Target, requestId: string, stages: readonly PathStage[]) => Promise<MoveAnswer>
}

/** An engine's answer to a move. */
export interface MoveAnswer {
  isAccepted: boolean
  /** HTTP status; 0 where no answer arrived. */
  status: number
  detail?: string
  /** Whether the engine answered that it has no such request (status 404). */
  isUnknown: boolean
  /** Address of the stage that rejected its part. */
  faultyAddress?: string
}

/** Timeouts of orders and moves, milliseconds; both are normally answered within a few milliseconds. */
const ORDER_TIMEOUT_MILLISECONDS = 600
const MOVE_TIMEOUT_MILLISECONDS = 400
/** Timeout of liveness checks, milliseconds: a live target answers within a few milliseconds, one that is gone never does. */
const LIVENESS_TIMEOUT_MILLISECONDS = 150
const ANSWER_BYTES_LIMIT = 1_048_576
const NOT_FOUND_STATUS = 404
/** Status of a target that is not the one named by the request. */
const MISDIRECTED_STATUS = 421
/** Maximum length of an answer's text in the log. */
const DETAIL_CHARACTERS = 100

const NO_CONNECTION: ReadonlySet<ProbeResult> = new Set([ProbeResult.Unreachable, ProbeResult.Refused])
const ANSWERS: ReadonlySet<ProbeResult> = new Set([ProbeResult.Replaced, ProbeResult.Reachable, ProbeResult.CutOff])
const PROOFS_OF_END: ReadonlySet<ProbeResult> = new Set([ProbeResult.Refused, ProbeResult.Replaced])

/** Creates the client. */
export function createEngineClient (dialect: Dialect, targets: TargetClient): EngineClient {
  async function call (
    method: string, target: Target, path: string, body: string, timeoutMilliseconds: number
  ): Promise<{ status: number, text: string, faultyAddress?: string } | undefined> {
    const abortController = new AbortController()
    const timer = setTimeout(() => abortController.abort(), timeoutMilliseconds)
    try {
      const { address } = target
      const headers = Object.entries({ Host: address, 'Content-Type': 'application/json', ...dialect.ownCallHeaders(target.id) }).flat()
      const outcome = await targets.send({
        address,
        incarnation: incarnationOf(target),
        method,
        path,
        headers,
        body: Buffer.from(body),
        mayReuseConnection: true,
        signal: abortController.signal
      })
      if (outcome.kind !== SendResult.Answered) return undefined
      const text = (await readAnswer(outcome.response, ANSWER_BYTES_LIMIT, outcome.openHolding)).toString()
      return { status: outcome.response.statusCode ?? 0, text, faultyAddress: outcome.terms.faultyAddress }
    } catch {
      // An answer that was cut off counts as no answer; each method has its own result for that.
      return undefined
    } finally {
      clearTimeout(timer)
    }
  }

  /** Whether the text of an answer is the report of another incarnation of a target; a text that is no report tells nothing. */
  function isOtherIncarnation (target: Target, text: string): boolean {
    try {
      const { bornAtMilliseconds } = dialect.readReport(text)
      return bornAtMilliseconds > 0 && target.bornAtMilliseconds > 0 && bornAtMilliseconds !== target.bornAtMilliseconds
    } catch {
      return false
    }
  }

  /** Requests a report, by default over a new connection. */
  async function probe (
    target: Target, timeoutMilliseconds = LIVENESS_TIMEOUT_MILLISECONDS, mayReuseConnection = false
  ): Promise<ProbeResult> {
    const abortController = new AbortController()
    // A process that was held up first reads what has arrived.
    const timer = setTimeout(() => setImmediate(() => abortController.abort()), timeoutMilliseconds)
    try {
      const outcome = await targets.send({
        address: target.address,
        incarnation: incarnationOf(target),
        method: 'GET',
        path: dialect.reportPath,
        headers: Object.entries({ Host: target.address, ...dialect.ownCallHeaders(target.id) }).flat(),
        body: Buffer.alloc(0),
        mayReuseConnection,
        signal: abortController.signal
      })
      if (outcome.kind === SendResult.NotSent) return outcome.isRefused ? ProbeResult.Refused : ProbeResult.Unreachable
      if (outcome.kind === SendResult.Withheld) return ProbeResult.Withheld
      if (outcome.kind !== SendResult.Answered) return ProbeResult.Silent
      if (outcome.response.statusCode === MISDIRECTED_STATUS) return ProbeResult.Replaced
      const text = (await readAnswer(outcome.response, ANSWER_BYTES_LIMIT, outcome.openHolding)).toString()
      return isOtherIncarnation(target, text) ? ProbeResult.Replaced : ProbeResult.Reachable
    } catch {
      return ProbeResult.CutOff
    } finally {
      clearTimeout(timer)
      abortController.abort()
    }
  }

  return {
    async report (target, limitMilliseconds) {
      const answer = await call('GET', target, dialect.reportPath, '', limitMilliseconds)
      if (answer?.status !== 200) return undefined
      try {
        return dialect.readReport(answer.text)
      } catch {
        return undefined
      }
    },
    probe: async (target, timeoutMilliseconds) => await probe(target, timeoutMilliseconds, true),
    isAnswering: async target => ANSWERS.has(await probe(target)),
    isReachable: async target => !NO_CONNECTION.has(await probe(target)),
    hasEnded: async target => PROOFS_OF_END.has(await probe(target)),
    async place (target, order) {
      const answer = await call('POST', target, dialect.orderPath, dialect.writePlaceOrder(order), ORDER_TIMEOUT_MILLISECONDS)
      return answer === undefined ? OrderResult.Unknown : dialect.readOrderStatus(answer.status)
    },
    async moveRequest (first, requestId, stages) {
      const body = dialect.writeRepathOrder(requestId, stages)
      const answer = await call('POST', first, dialect.repathPath, body, MOVE_TIMEOUT_MILLISECONDS)
      if (answer === undefined) return { isAccepted: false, status: 0, isUnknown: false }
      return {
        status: answer.status,
        detail: answer.text.slice(0, DETAIL_CHARACTERS),
        isAccepted: answer.status >= 200 && answer.status < 300,
        isUnknown: answer.status === NOT_FOUND_STATUS,
        faultyAddress: answer.faultyAddress ?? dialect.readFaultyAddress(answer.text)
      }
    }
  }
}
