/**
 * Tracks the sends of one attempt of a caller. Decides whether the request may be sent again and whether it certainly has not run.
 */

/** State of one send. */
export enum SendState {
  /** Nothing reached the target. */
  NotSent = 'not-sent',
  /** Handed to a connection; the result is not known yet. */
  Sent = 'sent',
  /** The target reported that it did not run the request. */
  ReportedNotRun = 'said-not-run',
  /** The request may have run. */
  MayHaveRun = 'may-have-run'
}

/** One send of the request to one incarnation of a target. */
export interface Send {
  targetIncarnation: string
  state: SendState
}

/** The sends of one attempt of a caller. */
export interface AttemptLedger {
  /** Adds a send that is about to start; the caller of this method updates its state. */
  begin: (targetIncarnation: string) => Send
  /** Whether the route's repeat rule allows another send. */
  maySendAgain: () => boolean
  /**
   * @param isGone whether an incarnation has ended; it then no longer counts against the limit of targets.
   * @returns the incarnations that the request has reached or may have reached, if their number has reached the limit of targets: another
   * send may only go to one of them. Undefined below the limit, where any target may be chosen.
   */
  allowedTargets: (isGone: (targetIncarnation: string) => boolean) => ReadonlySet<string> | undefined
  /** Whether it is certain that the request has not run and will not run. */
  isCertainlyNotRun: () => boolean
  /** Number of sends that reached, or may have reached, a target. */
  possibleArrivals: () => number
  /** Number of different targets that the request reached, or may have reached. */
  reachedTargets: () => number
  /** Incarnations of all targets for which a send was begun. */
  targetIncarnations: () => Set<string>
}

/** States that prove that the send did not and will not run the request. */
const NOT_RUN_STATES: ReadonlySet<SendState> = new Set([SendState.NotSent, SendState.ReportedNotRun])

/**
 * Creates an empty ledger.
 * @param mayRunAgain whether a request that may have run may be sent once more.
 * @param maximumTargets maximum number of targets that the request may reach.
 */
export function createAttemptLedger (mayRunAgain: boolean, maximumTargets: number): AttemptLedger {
  const sends: Send[] = []

  function sendsThatReachedTarget (): Send[] {
    return sends.filter(send => send.state !== SendState.NotSent)
  }

  return {
    begin (targetIncarnation) {
      const send = { targetIncarnation, state: SendState.NotSent }
      sends.push(send)
      return send
    },
    maySendAgain: () => mayRunAgain || sends.every(send => NOT_RUN_STATES.has(send.state)),
    allowedTargets (isGone) {
      const incarnations = new Set(sendsThatReachedTarget().map(send => send.targetIncarnation).filter(incarnation => !isGone(incarnation)))
      return incarnations.size < maximumTargets ? undefined : incarnations
    },
    isCertainlyNotRun: () => sends.every(send => NOT_RUN_STATES.has(send.state)),
    possibleArrivals: () => sendsThatReachedTarget().length,
    reachedTargets: () => new Set(sendsThatReachedTarget().map(send => send.targetIncarnation)).size,
    targetIncarnations: () => new Set(sends.map(send => send.targetIncarnation))
  }
}
